#ifndef INCLUDE_PIMENTOSPAR_QUOTA_QUOTA_LEDGER_H_
#define INCLUDE_PIMENTOSPAR_QUOTA_QUOTA_LEDGER_H_

#include <array>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "pimentospar/access/workspace.h"
#include "pimentospar/clock.h"
#include "pimentospar/quota/quota_usage.h"

namespace pimentospar {

/// The usage that one entry reports to the lease holder.
struct UsageReport {
  HostId host;
  InstanceId instance;
  /// Grows with each message of the instance.
  std::uint64_t sequence = 0;
  std::span<const QuotaUsage> usage;
  /// Time since the instance started.
  Duration uptime = Duration::max();
};

/// The state of a quota at the lease holder.
struct QuotaStatus {
  /// Units that may be used at once; negative if too many were used.
  double balance = 0;
  /// Units that callers currently ask for per second.
  double demand = 0;
  /// Part of the demand that entries may pass on.
  double fraction = 1;
};

/// Accounts for the usage of all entries at the lease holder: keeps a token
/// bucket for each workspace, and computes the part of its demand that may pass
/// so that the bucket neither empties nor overflows.
class QuotaLedger {
 public:
  explicit QuotaLedger(const Clock& clock) : clock(clock) {}

  /// Forgets all usage, since a new lease began. The buckets are empty, except
  /// for those of workspaces that were within their quotas under the last
  /// lease.
  void Restart(std::span<const WorkspaceId> within_quota = {});
  /// Replaces the quotas. A balance is cut to the new burst.
  void OnConfig(std::span<const WorkspaceSpec> workspaces);
  /// Accounts for what has changed since the last report of the entry. The
  /// first total of a workspace that an entry reports is its baseline, unless
  /// the entry has started within the window of the quotas.
  void OnReport(const UsageReport& report);
  /// Computes the fractions. `report_interval` is the time between two reports
  /// of an entry.
  void Update(Duration report_interval);

  /// Uses only this part of all quotas, from 0 to 1; 1 after `Restart`. Another
  /// lease holder may account for the rest.
  void SetShare(double share);
  /// Returns the number of entries that have reported recently.
  [[nodiscard]] std::size_t ReportingEntries() const;
  /// Returns whether the demand has been observed for long enough to compute
  /// fractions.
  [[nodiscard]] bool HasLearned(Duration report_interval) const;
  /// Returns the workspaces whose fraction is below 1, the smallest first, at
  /// most `kMaxLimits`.
  [[nodiscard]] std::vector<QuotaLimit> Limits() const;
  /// Calls `visitor` with the id and the `QuotaStatus` of each workspace.
  template <typename Visitor>
  void VisitStatus(Visitor&& visitor) const {
    for (const auto& [id, account] : this->accounts) {
      visitor(id, account.status);
    }
  }

  /// Limits that fit one datagram.
  static constexpr std::size_t kMaxLimits = 400;

 private:
  /// What was reported in a short time.
  struct Slot {
    std::int64_t number = 0;
    double asked = 0;
    /// Sum of the squares of the reported amounts, the variance of their sum.
    double squares = 0;
  };
  struct Rate {
    double per_second = 0;
    double deviation = 0;
  };
  struct Account {
    WorkspaceQuota quota;
    QuotaStatus status;
    TimePoint updated_at;
    std::array<Slot, 64> slots;
  };
  struct Totals {
    double asked = 0;
    double sent = 0;
    std::uint64_t sequence = 0;
  };
  struct Entry {
    InstanceId instance;
    std::optional<InstanceId> previous_instance;
    /// Whether the instance started while the ledger knew the host, so that
    /// none of its totals contains older usage.
    bool counts_from_zero = false;
    TimePoint reported_at;
    std::map<WorkspaceId, Totals> totals;
  };

  /// Returns null for a report of an instance that has been replaced.
  [[nodiscard]] Entry* FindOrAddEntry(const UsageReport& report);
  void DropOldEntries(TimePoint now);
  void Deduct(Account& account, double asked, double sent, TimePoint now);
  void Refill(Account& account, TimePoint now) const;
  [[nodiscard]] static Rate RateOver(const Account& account,
                                     Duration window,
                                     TimePoint now);
  /// Returns the mean of the reported amounts, weighted by themselves.
  [[nodiscard]] static double ReportUnits(const Account& account,
                                          TimePoint now);
  [[nodiscard]] static double EstimateDemand(const Account& account,
                                             TimePoint now);
  [[nodiscard]] double ComputeFraction(const Account& account,
                                       Duration report_interval) const;

  const Clock& clock;
  TimePoint started_at;
  double share = 1;
  std::map<WorkspaceId, Account> accounts;
  std::map<HostId, Entry> entries;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_QUOTA_QUOTA_LEDGER_H_
