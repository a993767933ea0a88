#ifndef INCLUDE_PIMENTOSPAR_QUOTA_QUOTA_LIMITER_H_
#define INCLUDE_PIMENTOSPAR_QUOTA_QUOTA_LIMITER_H_

#include <optional>
#include <variant>

#include "pimentospar/access/workspace.h"
#include "pimentospar/clock.h"

namespace pimentospar {

/// The request is within the quota of its workspace.
struct QuotaGranted {};
/// The request would exceed the quota.
struct QuotaExceeded {
  /// Time after which another try is expected to pass.
  Duration retry_after{0};
};
using QuotaDecision = std::variant<QuotaGranted, QuotaExceeded>;

/// Keeps the requests of one entry within its part of the workspaces' quotas.
class QuotaLimiter {
 public:
  /// A caller asks for a request of `units`.
  [[nodiscard]] QuotaDecision Charge(const WorkspaceSpec& workspace,
                                     double units);
  /// A request that was charged is sent to a target for the first time.
  void OnSent(const WorkspaceId& workspace, double units);
};

/// Returns the units that a request with these numbers of tokens has; `tokens`
/// is nothing if its caller has not named them.
[[nodiscard]] double RequestUnits(const WorkspaceQuota& quota,
                                  std::optional<double> tokens);

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_QUOTA_QUOTA_LIMITER_H_
