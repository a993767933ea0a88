#ifndef INCLUDE_PIMENTOSPAR_ACCESS_WORKSPACE_H_
#define INCLUDE_PIMENTOSPAR_ACCESS_WORKSPACE_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "pimentospar/types.h"

namespace pimentospar {

/// SHA-256 digest of an API key. Keys themselves are not kept.
using KeyDigest = std::array<std::uint8_t, 32>;

/// What the units of a quota count.
enum class QuotaUnit : std::uint8_t { kRequests, kTokens };

/// The rate that a workspace may use, over all entries together.
struct WorkspaceQuota {
  QuotaUnit unit = QuotaUnit::kRequests;
  /// Units per second.
  double per_second = 0;
  /// Units that may be used at once after a pause.
  double burst = 0;
  /// Units of a request that does not tell its number of tokens.
  double plain_request_tokens = 0;
};

/// A workspace: a customer's account, known by its keys.
struct WorkspaceSpec {
  WorkspaceId id;
  std::vector<KeyDigest> keys;
  /// Rank of its requests, 0 is the most urgent; takes precedence over that of
  /// the route.
  std::optional<std::uint32_t> priority;
  /// Nothing for a workspace without a limit.
  std::optional<WorkspaceQuota> quota;
};

/// Returns the digest by which a key is known.
[[nodiscard]] KeyDigest DigestOfKey(std::string_view key);

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ACCESS_WORKSPACE_H_
