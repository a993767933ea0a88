#ifndef SRC_GATEWAY_ENTRY_REGISTRATION_H_
#define SRC_GATEWAY_ENTRY_REGISTRATION_H_

#include <optional>
#include <string>
#include <string_view>

#include "net/address.h"

namespace pimentospar {

/// What an entry registers on the shared log under its host ID.
struct EntryRegistration {
  /// Where the entry receives the datagrams of other entries.
  Address address;
  /// Processor capacity of its host in cores; 0 if unknown.
  double processor_cores = 0;

  bool operator==(const EntryRegistration&) const = default;
};

/// Returns the address, a space and the thousandths of a core.
[[nodiscard]] std::string Encode(const EntryRegistration& registration);
/// Returns nothing if the text does not start with an address. The cores may be
/// missing, as in the registrations of earlier versions.
[[nodiscard]] std::optional<EntryRegistration> DecodeEntryRegistration(
    std::string_view text);

}  // namespace pimentospar

#endif  // SRC_GATEWAY_ENTRY_REGISTRATION_H_
