#include "pimentospar/quota/usage_reporter.h"

#include <algorithm>

namespace pimentospar {

namespace {

constexpr Duration kReportInterval = std::chrono::milliseconds(150);
// Time between two reports where the demand has jumped.
constexpr Duration kMinReportInterval = std::chrono::milliseconds(50);
// At most 1,000 reports a second reach the lease holder.
constexpr Duration kIntervalPerEntry = std::chrono::milliseconds(1);
// The entries' reports must not arrive all at the same time, so the interval is
// drawn from 1 - this to 1 + this times its mean.
constexpr double kIntervalSpread = 0.2;
// Reports that contain all totals, in case some of them are lost.
constexpr int kFullReports = 3;
// A changed total is contained in this many further reports.
constexpr int kRepeats = 1;
constexpr Duration kKeepAliveInterval = std::chrono::seconds(2);
// A jump is this many times the demand before, and this many requests more.
constexpr double kJumpFactor = 2;
constexpr double kJumpRequests = 4;

Duration MinInterval(std::size_t entry_count) {
  return Scale(kIntervalPerEntry, static_cast<double>(entry_count));
}

}  // namespace

Duration UsageReportInterval(std::size_t entry_count) {
  return std::max(kReportInterval, MinInterval(entry_count));
}

bool UsageReporter::HasJump(Duration elapsed) const {
  bool has_jump = false;
  this->limiter.VisitCounts([&](const WorkspaceId& id,
                                const QuotaCounts& counts) {
    const auto known = this->reported.find(id);
    if (known == this->reported.end() || counts.requests == 0) {
      return;
    }
    const double mean_units =
        counts.asked / static_cast<double>(counts.requests);
    const double expected = known->second.asked_per_second * Seconds(elapsed);
    has_jump =
        has_jump || counts.asked - known->second.asked >
                        kJumpFactor * expected + kJumpRequests * mean_units;
  });
  return has_jump;
}

bool UsageReporter::IsDue(TimePoint now, std::size_t entry_count) const {
  const Duration elapsed = now - this->reported_at;
  return now >= this->next_report_at ||
         (elapsed >= std::max(kMinReportInterval, MinInterval(entry_count)) &&
          this->HasJump(elapsed));
}

std::vector<QuotaUsage> UsageReporter::Take(LogOffset lease,
                                            std::size_t entry_count) {
  const TimePoint now = this->clock.Now();
  const Duration interval = UsageReportInterval(entry_count);
  if (this->lease != lease) {
    this->lease = lease;
    this->full_reports_left = kFullReports;
    this->reported_at = now;
    this->next_report_at = now + Scale(interval, this->random.NextDouble());
  }
  if (!this->IsDue(now, entry_count)) {
    return {};
  }
  const Duration elapsed =
      std::max(now - this->reported_at, kMinReportInterval);
  const double spread = kIntervalSpread * (2 * this->random.NextDouble() - 1);
  this->reported_at = now;
  this->next_report_at = now + Scale(interval, 1 + spread);
  std::vector<QuotaUsage> usage = this->TakeChanges(elapsed);
  if (usage.empty() && now - this->sent_at >= kKeepAliveInterval) {
    usage = this->AnyTotal();
  }
  if (!usage.empty()) {
    this->sent_at = now;
  }
  return usage;
}

std::vector<QuotaUsage> UsageReporter::AnyTotal() const {
  std::vector<QuotaUsage> usage;
  this->limiter.VisitCounts(
      [&usage](const WorkspaceId& id, const QuotaCounts& counts) {
        if (usage.empty()) {
          usage.push_back({id, counts.asked, counts.sent});
        }
      });
  return usage;
}

std::vector<QuotaUsage> UsageReporter::TakeChanges(Duration elapsed) {
  const bool is_full = this->full_reports_left > 0;
  this->full_reports_left = std::max(this->full_reports_left - 1, 0);
  std::vector<QuotaUsage> usage;
  std::map<WorkspaceId, Reported> next;
  this->limiter.VisitCounts(
      [&](const WorkspaceId& id, const QuotaCounts& counts) {
        const auto known = this->reported.find(id);
        const bool is_new = known == this->reported.end();
        Reported& row = next[id] = is_new ? Reported{} : known->second;
        const bool changed =
            is_new || counts.asked != row.asked || counts.sent != row.sent;
        row.repeats_left =
            changed ? kRepeats + 1 : std::max(row.repeats_left - 1, 0);
        if (is_full || row.repeats_left > 0) {
          usage.push_back({id, counts.asked, counts.sent});
        }
        row.asked_per_second =
            std::max(0.0, counts.asked - row.asked) / Seconds(elapsed);
        row.asked = counts.asked;
        row.sent = counts.sent;
      });
  this->reported = std::move(next);
  return usage;
}

}  // namespace pimentospar
