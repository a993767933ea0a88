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

/// A 128-bit identifier that does not convert to the identifiers of other
/// kinds.
template <typename Tag>
struct Id128 {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  [[nodiscard]] static Id128 Generate(RandomSource& random) {
    const std::uint64_t high = random.Next();
    return {high, random.Next()};
  }
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on `a < b`
  auto operator<=>(const Id128&) const = default;
};

}  // namespace detail

/// Unique id of one claim; drawn at random by its writer.
using ClaimId = detail::Id128<struct ClaimTag>;
/// Unique id of one append; by it a lost append is found again.
using GroupId = detail::Id128<struct GroupTag>;
/// First 128 bits of the SHA-256 of owner, operation and idempotency key.
using KeyHash = detail::Id128<struct KeyHashTag>;
/// First 128 bits of the SHA-256 of the request body.
using BodyHash = detail::Id128<struct BodyHashTag>;

/// Claim on a key; the first unreleased one in log order wins.
struct ClaimRecord {
  ClaimId id;
  KeyHash key;
  BodyHash body;
  OwnerId owner;
  InstanceId instance;
  ConfigVersion epoch;
  /// Remaining time of the request when the record was written.
  std::chrono::milliseconds lifetime{0};

  bool operator==(const ClaimRecord&) const = default;
};

/// Outcome of a claim.
struct DoneRecord {
  ClaimId id;
  /// HTTP status of the target's answer; 0 if it is not known whether the
  /// operation ran.
  int status = 0;
  /// The answer, unless it is over the limit for stored answers.
  std::optional<std::string> response;
  /// SHA-256 in hexadecimal of an answer that is over the limit.
  std::string response_hash;

  bool operator==(const DoneRecord&) const = default;
};

/// The claim was not executed and never will be.
struct ReleaseRecord {
  ClaimId id;

  bool operator==(const ReleaseRecord&) const = default;
};

/// Home region of the service from here on.
struct HomeRecord {
  ConfigVersion epoch;
  RegionId region;

  bool operator==(const HomeRecord&) const = default;
};

using ClaimsRecord =
    std::variant<ClaimRecord, DoneRecord, ReleaseRecord, HomeRecord>;

/// The records that one append writes, all or none.
struct RecordGroup {
  GroupId id;
  std::vector<ClaimsRecord> records;

  bool operator==(const RecordGroup&) const = default;
};

/// Why the body of a log record is not a `RecordGroup`.
struct RecordError {
  std::string problem;
};

/// Writes the body of a log record of type `claims`.
[[nodiscard]] std::string Encode(const RecordGroup& group);
/// Reads the body of a log record; the error is a `RecordError`.
[[nodiscard]] boost::leaf::result<RecordGroup> DecodeGroup(
    std::string_view body);

[[nodiscard]] KeyHash HashKey(const OwnerId& owner,
                              const OperationId& operation,
                              std::string_view key);
[[nodiscard]] BodyHash HashBody(std::string_view body);

}  // namespace pimentospar

template <typename Tag>
struct std::hash<pimentospar::detail::Id128<Tag>> {
  std::size_t operator()(const pimentospar::detail::Id128<Tag>& id) const {
    return std::hash<std::uint64_t>{}(id.high ^ id.low);
  }
};

#endif  // INCLUDE_PIMENTOSPAR_CLAIMS_RECORDS_H_
