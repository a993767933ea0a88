#ifndef INCLUDE_PIMENTOSPAR_TYPES_H_
#define INCLUDE_PIMENTOSPAR_TYPES_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace pimentospar {

namespace detail {

/// String identifier; the tag makes each kind a distinct type.
template <typename Tag>
struct TextId {
  std::string value;

  TextId() = default;
  explicit TextId(std::string_view text) : value(text) {}
  explicit TextId(std::string text) : value(std::move(text)) {}
  explicit TextId(const char* text) : value(text) {}

  [[nodiscard]] bool IsEmpty() const { return this->value.empty(); }
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on `a < b`
  auto operator<=>(const TextId&) const = default;
};

/// Numeric identifier; the tag makes each kind a distinct type.
template <typename Tag>
struct NumberId {
  std::uint64_t value = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on `a < b`
  auto operator<=>(const NumberId&) const = default;
};

}  // namespace detail

using AdapterId = detail::TextId<struct AdapterTag>;
using DataCentreId = detail::TextId<struct DataCentreTag>;
using HostId = detail::TextId<struct HostTag>;
using ModelId = detail::TextId<struct ModelTag>;
using OperationId = detail::TextId<struct OperationTag>;
using OwnerId = detail::TextId<struct OwnerTag>;
using RegionId = detail::TextId<struct RegionTag>;
using ServiceId = detail::TextId<struct ServiceTag>;
using TargetId = detail::TextId<struct TargetTag>;
using WorkspaceId = detail::TextId<struct WorkspaceTag>;

/// Identifies one attempt to run a request at one target; never reused.
using AttemptId = detail::NumberId<struct AttemptTag>;
/// Log offset of the accepted change that produced a configuration; a higher
/// offset is newer.
using ConfigVersion = detail::NumberId<struct ConfigVersionTag>;
/// Log offset of the record that granted a process ownership of a resource.
using FencingToken = detail::NumberId<struct FencingTag>;
/// Hash of a request, of its owner, model or service operation and canonical
/// body, or of one part of a prompt.
using Fingerprint = detail::NumberId<struct FingerprintTag>;
/// Random number that a process draws at its start, so that it differs from the
/// id of the previous instance.
using InstanceId = detail::NumberId<struct InstanceTag>;
/// Counts how often a log was restored from an older copy of itself. Within one
/// era, an offset names one record.
using LogEra = detail::NumberId<struct LogEraTag>;
/// Position of a record in a log stream.
using LogOffset = detail::NumberId<struct LogOffsetTag>;

using Bytes = std::uint64_t;

}  // namespace pimentospar

template <typename Tag>
struct std::hash<pimentospar::detail::TextId<Tag>> {
  std::size_t operator()(const pimentospar::detail::TextId<Tag>& id) const {
    return std::hash<std::string>{}(id.value);
  }
};

template <typename Tag>
struct std::hash<pimentospar::detail::NumberId<Tag>> {
  std::size_t operator()(const pimentospar::detail::NumberId<Tag>& id) const {
    return std::hash<std::uint64_t>{}(id.value);
  }
};

#endif  // INCLUDE_PIMENTOSPAR_TYPES_H_
