#ifndef SRC_RPC_WIRE_VALUES_H_
#define SRC_RPC_WIRE_VALUES_H_

#include <capnp/blob.h>

#include <algorithm>
#include <chrono>
#include <string>

#include "pimentospar/clock.h"

namespace pimentospar {

/// Copies a text field of a message.
[[nodiscard]] inline std::string ToStdString(capnp::Text::Reader text) {
  return {text.cStr(), text.size()};
}

/// Returns whole milliseconds for a message field, clamped to the range of the
/// field.
[[nodiscard]] inline std::uint32_t ToWireMilliseconds(Duration time) {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(milliseconds, 0, 0xffffffff));
}

}  // namespace pimentospar

#endif  // SRC_RPC_WIRE_VALUES_H_
