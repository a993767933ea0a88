#include "pimentospar/quota/quota_ledger.h"

#include <algorithm>
#include <cmath>

namespace pimentospar {

namespace {

constexpr Duration kSlotTime = std::chrono::milliseconds(25);
constexpr Duration kDemandWindow = std::chrono::milliseconds(500);
// The demand of a small workspace is observed for longer.
constexpr Duration kLongDemandWindow = std::chrono::milliseconds(1000);
// Relative standard deviation of the demand of a small workspace.
constexpr double kSmallDeviation = 0.45;
// Shows a jump of the demand sooner.
constexpr Duration kFastWindow = std::chrono::milliseconds(150);
// A jump is larger than this many standard deviations of what is reported.
constexpr double kJumpDeviations = 2;
// The rest of a jump has not been reported yet.
constexpr double kJumpGain = 1;
// Time from a change of a fraction until all entries apply it, without the time
// that usage waits for the next report.
constexpr Duration kReactionTime = std::chrono::milliseconds(130);
// Time in which a balance returns to its reserve.
constexpr Duration kSpendTime = std::chrono::milliseconds(1000);
constexpr Duration kRepayTime = std::chrono::milliseconds(600);
// Part of the burst, or of the units of a second, that is kept for what is sent
// before a fraction takes effect.
constexpr double kMinReserveShare = 0.15;
constexpr double kReserveSharePerSecond = 0.4;
constexpr double kMaxReserveShare = 0.5;
// There is no reserve where a bucket holds less than half as many reports.
constexpr double kLargeReports = 8;
// A bucket holds at least this much, since usage is reported in steps.
constexpr Duration kMinBurstTime = std::chrono::milliseconds(300);
// Usage that is older than the window of a quota need not be repaid.
constexpr Duration kMaxDebtTime = std::chrono::seconds(8);
// Part of its capacity that a bucket has at first if the workspace was within
// its quota. Entries may have used the rest since the last lease.
constexpr double kFirstBalanceShare = 0.25;
constexpr Duration kLearnTime = std::chrono::milliseconds(700);
constexpr int kLearnReports = 3;
// Longer than the time between two requests of a small workspace at an entry.
constexpr Duration kEntryRetention = std::chrono::minutes(10);
constexpr std::size_t kMaxEntries = 4096;
// Entries report at least every 2 s.
constexpr Duration kReportingTime = std::chrono::seconds(5);
// Smaller limits are not worth a message.
constexpr double kNoLimitFraction = 0.999;

std::int64_t SlotNumber(TimePoint time) {
  return time.time_since_epoch() / kSlotTime;
}

double Capacity(const WorkspaceQuota& quota) {
  return std::max(quota.burst, quota.per_second * Seconds(kMinBurstTime));
}

// The balance of a workspace whose requests are large for its quota varies by
// more than a reserve, which would only be lost when the bucket overflows.
double ReserveWeight(double report_units, double capacity) {
  return std::clamp(2 - kLargeReports * report_units / capacity, 0.0, 1.0);
}

double Reserve(const WorkspaceQuota& quota,
               double report_units,
               Duration report_interval) {
  const double capacity = std::min(Capacity(quota), quota.per_second);
  const double share =
      kMinReserveShare + kReserveSharePerSecond * Seconds(report_interval);
  return ReserveWeight(report_units, capacity) *
         std::min(share, kMaxReserveShare) * capacity;
}

}  // namespace

void QuotaLedger::Restart(std::span<const WorkspaceId> within_quota) {
  this->started_at = this->clock.Now();
  this->share = 1;
  this->entries.clear();
  for (auto& [id, account] : this->accounts) {
    account = Account{account.quota, {}, this->started_at, {}};
    if (std::ranges::find(within_quota, id) != within_quota.end()) {
      account.status.balance = kFirstBalanceShare * Capacity(account.quota);
    }
  }
}

void QuotaLedger::OnConfig(std::span<const WorkspaceSpec> workspaces) {
  const TimePoint now = this->clock.Now();
  std::map<WorkspaceId, Account> kept;
  for (const WorkspaceSpec& workspace : workspaces) {
    if (!workspace.quota) {
      continue;
    }
    const auto known = this->accounts.find(workspace.id);
    Account account;
    account.updated_at = now;
    if (known != this->accounts.end()) {
      Refill(known->second, now);
      account = known->second;
    }
    account.quota = *workspace.quota;
    account.status.balance =
        std::min(account.status.balance, Capacity(account.quota));
    kept.emplace(workspace.id, account);
  }
  this->accounts = std::move(kept);
  for (auto& [host, entry] : this->entries) {
    std::erase_if(entry.totals, [this](const auto& row) {
      return !this->accounts.contains(row.first);
    });
  }
}

QuotaLedger::Entry* QuotaLedger::FindOrAddEntry(const UsageReport& report) {
  const TimePoint now = this->clock.Now();
  const auto found = this->entries.find(report.host);
  if (found != this->entries.end()) {
    Entry& entry = found->second;
    if (entry.previous_instance == report.instance) {
      return nullptr;
    }
    // A restarted entry counts from 0.
    if (entry.instance != report.instance) {
      entry = Entry{report.instance, entry.instance, true, now, {}};
    }
    entry.reported_at = now;
    return &entry;
  }
  this->DropOldEntries(now);
  if (this->entries.size() >= kMaxEntries) {
    return nullptr;
  }
  Entry& entry = this->entries[report.host];
  // What an instance has sent since its recent start counts in full: its
  // predecessors may have used the quota before it.
  const bool counts_from_zero = report.uptime < kMaxDebtTime;
  entry = Entry{report.instance, std::nullopt, counts_from_zero, now, {}};
  return &entry;
}

void QuotaLedger::DropOldEntries(TimePoint now) {
  std::erase_if(this->entries, [now](const auto& known) {
    return now - known.second.reported_at > kEntryRetention;
  });
}

void QuotaLedger::OnReport(const UsageReport& report) {
  Entry* entry = this->FindOrAddEntry(report);
  if (entry == nullptr) {
    return;
  }
  const TimePoint now = this->clock.Now();
  for (const QuotaUsage& used : report.usage) {
    const auto account = this->accounts.find(used.workspace);
    if (account == this->accounts.end()) {
      continue;
    }
    const auto [row, is_first] = entry->totals.try_emplace(used.workspace);
    Totals& known = row->second;
    if (is_first && !entry->counts_from_zero) {
      known = {used.asked, used.sent, report.sequence};
      continue;
    }
    if (report.sequence <= known.sequence) {
      continue;
    }
    // An entry counts from 0 again if the quota was removed for some time.
    if (used.asked < known.asked || used.sent < known.sent) {
      known = {};
    }
    this->Deduct(account->second, used.asked - known.asked,
                 used.sent - known.sent, now);
    known = {used.asked, used.sent, report.sequence};
  }
}

void QuotaLedger::Refill(Account& account, TimePoint now) const {
  account.status.balance =
      std::min(account.status.balance + this->share * account.quota.per_second *
                                            Seconds(now - account.updated_at),
               Capacity(account.quota));
  account.updated_at = now;
}

void QuotaLedger::Deduct(Account& account,
                         double asked,
                         double sent,
                         TimePoint now) {
  Refill(account, now);
  account.status.balance =
      std::max(account.status.balance - sent,
               -account.quota.per_second * Seconds(kMaxDebtTime));
  const std::int64_t number = SlotNumber(now);
  Slot& slot =
      account.slots[static_cast<std::size_t>(number) % account.slots.size()];
  if (slot.number != number) {
    slot = Slot{number, 0, 0};
  }
  slot.asked += asked;
  slot.squares += asked * asked;
}

QuotaLedger::Rate QuotaLedger::RateOver(const Account& account,
                                        Duration window,
                                        TimePoint now) {
  const std::int64_t first = SlotNumber(now - window);
  double asked = 0;
  double squares = 0;
  for (const Slot& slot : account.slots) {
    if (slot.number > first) {
      asked += slot.asked;
      squares += slot.squares;
    }
  }
  return {asked / Seconds(window), std::sqrt(squares) / Seconds(window)};
}

double QuotaLedger::ReportUnits(const Account& account, TimePoint now) {
  const Rate rate = RateOver(account, kLongDemandWindow, now);
  return rate.per_second > 0 ? rate.deviation * rate.deviation /
                                   rate.per_second * Seconds(kLongDemandWindow)
                             : 0;
}

double QuotaLedger::EstimateDemand(const Account& account, TimePoint now) {
  Rate mean = RateOver(account, kDemandWindow, now);
  if (mean.deviation > kSmallDeviation * mean.per_second) {
    mean = RateOver(account, kLongDemandWindow, now);
  }
  const Rate recent = RateOver(account, kFastWindow, now);
  const double jump =
      recent.per_second - mean.per_second - kJumpDeviations * recent.deviation;
  return std::max({mean.per_second, recent.per_second - recent.deviation,
                   recent.per_second + kJumpGain * jump});
}

double QuotaLedger::ComputeFraction(const Account& account,
                                    Duration report_interval) const {
  const QuotaStatus& status = account.status;
  if (status.demand <= 0) {
    return 1;
  }
  const double per_second = this->share * account.quota.per_second;
  const double excess =
      std::max(0.0, status.fraction * status.demand - per_second);
  const double available =
      status.balance -
      Reserve(account.quota, ReportUnits(account, account.updated_at),
              report_interval) -
      excess * Seconds(kReactionTime + report_interval / 2);
  const Duration time =
      (available > 0 ? kSpendTime : kRepayTime) + report_interval / 2;
  return std::clamp((per_second + available / Seconds(time)) / status.demand,
                    0.0, 1.0);
}

void QuotaLedger::Update(Duration report_interval) {
  const TimePoint now = this->clock.Now();
  for (auto& [id, account] : this->accounts) {
    Refill(account, now);
    account.status.demand = EstimateDemand(account, now);
    account.status.fraction = this->HasLearned(report_interval)
                                  ? ComputeFraction(account, report_interval)
                                  : 1;
  }
}

void QuotaLedger::SetShare(double share) {
  if (share == this->share) {
    return;
  }
  const TimePoint now = this->clock.Now();
  for (auto& [id, account] : this->accounts) {
    this->Refill(account, now);
  }
  this->share = share;
}

std::size_t QuotaLedger::ReportingEntries() const {
  const TimePoint now = this->clock.Now();
  return static_cast<std::size_t>(
      std::ranges::count_if(this->entries, [now](const auto& known) {
        return now - known.second.reported_at < kReportingTime;
      }));
}

bool QuotaLedger::HasLearned(Duration report_interval) const {
  return this->clock.Now() - this->started_at >=
         std::max(kLearnTime, kLearnReports * report_interval);
}

std::vector<QuotaLimit> QuotaLedger::Limits() const {
  std::vector<QuotaLimit> limits;
  for (const auto& [id, account] : this->accounts) {
    if (account.status.fraction < kNoLimitFraction) {
      limits.push_back({id, account.status.fraction});
    }
  }
  std::ranges::sort(limits, {}, &QuotaLimit::fraction);
  limits.resize(std::min(limits.size(), kMaxLimits));
  return limits;
}

}  // namespace pimentospar
