#ifndef INCLUDE_PIMENTOSPAR_QUOTA_USAGE_REPORTER_H_
#define INCLUDE_PIMENTOSPAR_QUOTA_USAGE_REPORTER_H_

#include <map>
#include <optional>
#include <vector>

#include "pimentospar/quota/quota_limiter.h"

namespace pimentospar {

/// Returns how often an entry reports its usage; grows with the number of
/// entries so that the lease holder gets a bounded number of reports.
[[nodiscard]] Duration UsageReportInterval(std::size_t entry_count);

/// Decides when an entry reports its usage to the lease holder, and which.
class UsageReporter {
 public:
  UsageReporter(const Clock& clock,
                RandomSource& random,
                const QuotaLimiter& limiter)
      : clock(clock), random(random), limiter(limiter) {}

  /// Returns the totals to be sent now to the holder of `lease`; empty if no
  /// report is due. An entry whose totals do not change reports a single one
  /// from time to time, which shows that it reaches the lease holder. The first
  /// reports to a new lease holder contain all totals, also those that are 0,
  /// and later ones those of new workspaces, so that it can tell old usage from
  /// new.
  [[nodiscard]] std::vector<QuotaUsage> Take(LogOffset lease,
                                             std::size_t entry_count);

 private:
  struct Reported {
    double asked = 0;
    double sent = 0;
    /// Units asked per second before the last report.
    double asked_per_second = 0;
    int repeats_left = 0;
  };

  [[nodiscard]] bool IsDue(TimePoint now, std::size_t entry_count) const;
  [[nodiscard]] std::vector<QuotaUsage> TakeChanges(Duration elapsed);
  [[nodiscard]] std::vector<QuotaUsage> AnyTotal() const;
  /// Returns whether callers ask for far more than before the last report.
  [[nodiscard]] bool HasJump(Duration elapsed) const;

  const Clock& clock;
  RandomSource& random;
  const QuotaLimiter& limiter;
  std::optional<LogOffset> lease;
  int full_reports_left = 0;
  TimePoint reported_at;
  TimePoint next_report_at;
  TimePoint sent_at;
  std::map<WorkspaceId, Reported> reported;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_QUOTA_USAGE_REPORTER_H_
