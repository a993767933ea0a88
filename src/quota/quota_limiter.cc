#include "pimentospar/quota/quota_limiter.h"

namespace pimentospar {

QuotaDecision QuotaLimiter::Charge(const WorkspaceSpec& /*workspace*/,
                                   double /*units*/) {
  return QuotaGranted{};
}

void QuotaLimiter::OnSent(const WorkspaceId& /*workspace*/, double /*units*/) {}

double RequestUnits(const WorkspaceQuota& quota, std::optional<double> tokens) {
  if (quota.unit == QuotaUnit::kRequests) {
    return 1;
  }
  return tokens.value_or(quota.plain_request_tokens);
}

}  // namespace pimentospar
