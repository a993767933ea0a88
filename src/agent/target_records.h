#ifndef SRC_AGENT_TARGET_RECORDS_H_
#define SRC_AGENT_TARGET_RECORDS_H_

#include <optional>
#include <string>
#include <string_view>

#include "pimentospar/memory_account.h"

namespace pimentospar {

/// Encodes a record of stream `target.<target>` as JSON.
[[nodiscard]] std::string Encode(const TargetRecord& record,
                                 const TargetId& target);
/// Decodes a record; returns nothing if it is malformed or of an unknown type.
[[nodiscard]] std::optional<TargetRecord> DecodeTargetRecord(
    std::string_view text);

/// Encodes the body of `POST /orders`.
[[nodiscard]] std::string Encode(const Order& order);

}  // namespace pimentospar

#endif  // SRC_AGENT_TARGET_RECORDS_H_
