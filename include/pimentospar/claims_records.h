#ifndef INCLUDE_PIMENTOSPAR_CLAIMS_RECORDS_H_
#define INCLUDE_PIMENTOSPAR_CLAIMS_RECORDS_H_

#include <boost/leaf/result.hpp>
#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "pimentospar/random.h"
#include "pimentospar/types.h"

namespace pimentospar {

namespace detail {

/// A 128-bit identifier; ids with different tags do not convert to each other.
template <typename Tag>
struct Id128 {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  /// Returns a random id.
  [[nodiscard]] static Id128 Generate(RandomSource& random) {
    const std::uint64_t high = random.Next();
    return {high, random.Next()};
  }
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on `a < b`
  auto operator<=>(const Id128&) const = default;
};

}  // namespace detail

/// Unique id of a claim, generated at random by its writer.
using ClaimId = detail::Id128<struct ClaimTag>;
/// Unique id of an append, by which an unanswered one is found in the stream.
using GroupId = detail::Id128<struct GroupTag>;
/// First 128 bits of the SHA-256 of owner, operation and idempotency key.
using KeyHash = detail::Id128<struct KeyHashTag>;
/// First 128 bits of the SHA-256 of the request body.
using BodyHash = detail::Id128<struct BodyHashTag>;

/// Reserves an idempotency key; the first unreleased claim in log order wins.
struct ClaimRecord {
  ClaimId id;
  KeyHash key;
  BodyHash body;
  OwnerId owner;
  InstanceId instance;
  ConfigVersion epoch;
  /// Time left to the request's deadline when the record was written.
  std::chrono::milliseconds lifetime{0};

  bool operator==(const ClaimRecord&) const = default;
};

/// Outcome of a dispatched claim.
struct DoneRecord {
  ClaimId id;
  /// HTTP status of the target's response; 0 if it is unknown whether the
  /// operation ran.
  int status = 0;
  /// Response body, unless it exceeds the limit for stored responses.
  std::optional<std::string> response;
  /// Hexadecimal SHA-256 of a response body that exceeds the limit.
  std::string response_hash;

  bool operator==(const DoneRecord&) const = default;
};

/// States that a claim was not executed and never will be.
struct ReleaseRecord {
  ClaimId id;

  bool operator==(const ReleaseRecord&) const = default;
};

/// Sets the home region of the service for the records that follow.
struct HomeRecord {
  ConfigVersion epoch;
  RegionId region;

  bool operator==(const HomeRecord&) const = default;
};

/// One record of a claims stream.
using ClaimsRecord =
    std::variant<ClaimRecord, DoneRecord, ReleaseRecord, HomeRecord>;

/// Records that one append writes atomically.
struct RecordGroup {
  GroupId id;
  std::vector<ClaimsRecord> records;

  bool operator==(const RecordGroup&) const = default;
};

/// Describes why the body of a log record could not be decoded.
struct RecordError {
  std::string problem;
};

/// Encodes a group as the body of a log record of type `claims`.
[[nodiscard]] std::string Encode(const RecordGroup& group);
/// Decodes the body of a log record; fails with a `RecordError`.
[[nodiscard]] boost::leaf::result<RecordGroup> DecodeGroup(
    std::string_view body);

/// Hashes an idempotency key within its owner and operation.
[[nodiscard]] KeyHash HashKey(const OwnerId& owner,
                              const OperationId& operation,
                              std::string_view key);
/// Hashes a request body.
[[nodiscard]] BodyHash HashBody(std::string_view body);

}  // namespace pimentospar

template <typename Tag>
struct std::hash<pimentospar::detail::Id128<Tag>> {
  std::size_t operator()(const pimentospar::detail::Id128<Tag>& id) const {
    return std::hash<std::uint64_t>{}(id.high ^ id.low);
  }
};

#endif  // INCLUDE_PIMENTOSPAR_CLAIMS_RECORDS_H_
