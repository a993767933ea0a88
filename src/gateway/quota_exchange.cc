#include "gateway/quota_exchange.h"

#include <fmt/format.h>

#include <boost/fiber/operations.hpp>
#include <utility>

#include "net/log_line.h"

namespace pimentospar {

namespace {

constexpr std::chrono::milliseconds kStepInterval{50};
constexpr std::chrono::milliseconds kIdleInterval{500};
constexpr std::size_t kMaxUsagePerMessage = 400;
constexpr std::chrono::seconds kMaxLogAge{3};
constexpr double kMinHeardShare = 0.75;
constexpr double kCutOffShare = 0.25;
// A workspace at its quota is limited and not limited in turns. The end of a
// limit is logged if it has lasted for this time.
constexpr std::chrono::seconds kRestoredTime{2};
constexpr std::chrono::seconds kMinLogInterval{5};

std::string LabelValue(std::string_view text) {
  std::string escaped;
  for (const char character : text) {
    if (character == '"' || character == '\\') {
      escaped += '\\';
    }
    escaped += character == '\n' ? ' ' : character;
  }
  return escaped;
}

}  // namespace

QuotaExchange::QuotaExchange(FiberLoop& loop,
                             const Clock& clock,
                             RandomSource& random,
                             EntryTransport& transport,
                             QuotaLimiter& limiter,
                             QuotaExchangeOptions options)
    : loop(loop),
      clock(clock),
      transport(transport),
      limiter(limiter),
      options(std::move(options)),
      started_at(clock.Now()),
      reporter(clock, random, limiter),
      ledger(clock),
      publisher(clock) {}

void QuotaExchange::Start() {
  this->loop.SpawnDuty("quotas", [this] { this->Run(); });
}

void QuotaExchange::OnConfig(std::span<const WorkspaceSpec> workspaces) {
  this->limiter.OnConfig(workspaces);
  this->ledger.OnConfig(workspaces);
  std::erase_if(this->logged, [this](const auto& known) {
    return this->limiter.Find(known.first) == nullptr;
  });
}

void QuotaExchange::Run() {
  while (true) {
    const bool has_quotas = this->limiter.HasQuotas();
    boost::this_fiber::sleep_for(has_quotas ? kStepInterval : kIdleInterval);
    if (has_quotas) {
      this->Step();
    }
  }
}

void QuotaExchange::Step() {
  if (const auto lease = this->options.held_lease()) {
    this->StepAsHolder(*lease);
    return;
  }
  this->ledger_lease.reset();
  this->limiter.SetEntryCount(this->transport.EntryCount());
  this->ReportToHolder();
}

void QuotaExchange::StepAsHolder(LogOffset lease) {
  if (this->ledger_lease != lease) {
    this->ledger_lease = lease;
    this->newest_lease = std::max(this->newest_lease.value_or(lease), lease);
    this->newest_epoch = 0;
    this->ledger.Restart(this->limiter.WorkspacesWithinQuota());
    this->publisher.Restart();
  }
  const std::size_t entry_count = this->transport.PeerCount() + 1;
  const Duration interval = UsageReportInterval(entry_count);
  this->limiter.SetEntryCount(entry_count);
  this->limiter.OnHolderMessage();
  this->AccountForOwnUsage();
  this->ledger.SetShare(this->Share(entry_count));
  this->ledger.Update(interval);
  if (!this->ledger.HasLearned(interval)) {
    return;
  }
  std::vector<QuotaLimit> limits = this->ledger.Limits();
  this->limiter.OnLimits(limits);
  this->LogChanges();
  if (this->publisher.Take(limits, entry_count)) {
    EntryMessage message;
    message.lease = lease;
    message.quota_limits = std::move(limits);
    message.quota_epoch = this->publisher.Epoch();
    this->transport.Broadcast(std::move(message));
  }
}

// A lease holder may continue while it does not reach the log. If it hears from
// only some of the entries, another one may have gained the lease.
double QuotaExchange::Share(std::size_t entry_count) const {
  const double heard = static_cast<double>(this->ledger.ReportingEntries()) /
                       static_cast<double>(entry_count);
  const bool may_be_replaced =
      this->options.log_age() > kMaxLogAge && heard < kMinHeardShare;
  return may_be_replaced ? kCutOffShare * heard : 1;
}

void QuotaExchange::AccountForOwnUsage() {
  std::vector<QuotaUsage> usage;
  this->limiter.VisitCounts(
      [&usage](const WorkspaceId& id, const QuotaCounts& counts) {
        usage.push_back({id, counts.asked, counts.sent});
      });
  this->ledger.OnReport({this->options.self, this->options.instance,
                         ++this->own_sequence, usage,
                         this->clock.Now() - this->started_at});
}

void QuotaExchange::ReportToHolder() {
  const auto holder = this->transport.Holder();
  if (!holder || !this->newest_lease) {
    return;
  }
  std::vector<QuotaUsage> usage =
      this->reporter.Take(*this->newest_lease, this->transport.EntryCount());
  for (std::size_t first = 0; first < usage.size();
       first += kMaxUsagePerMessage) {
    const auto begin = usage.begin() + static_cast<std::ptrdiff_t>(first);
    const auto count = std::min(kMaxUsagePerMessage, usage.size() - first);
    EntryMessage message;
    message.quota_usage.assign(begin,
                               begin + static_cast<std::ptrdiff_t>(count));
    message.uptime = this->clock.Now() - this->started_at;
    this->transport.Send(*holder, std::move(message));
  }
}

bool QuotaExchange::OnMessage(const EntryMessage& message) {
  if (message.lease && message.lease >= this->newest_lease) {
    if (message.lease > this->newest_lease) {
      this->newest_lease = message.lease;
      this->newest_epoch = 0;
    }
    this->limiter.OnHolderMessage();
    this->OnLimits(message);
  }
  if (this->ledger_lease && !message.quota_usage.empty()) {
    this->ledger.OnReport({message.host, message.instance, message.sequence,
                           message.quota_usage, message.uptime});
  }
  return !message.quota_usage.empty() || message.quota_epoch > 0;
}

void QuotaExchange::OnLimits(const EntryMessage& message) {
  if (message.quota_epoch > this->newest_epoch && !this->ledger_lease) {
    this->newest_epoch = message.quota_epoch;
    this->limiter.OnLimits(message.quota_limits);
  }
}

void QuotaExchange::LogChanges() {
  const TimePoint now = this->clock.Now();
  this->ledger.VisitStatus(
      [&](const WorkspaceId& workspace, const QuotaStatus& status) {
        this->LogChange(workspace, status, now);
      });
}

void QuotaExchange::LogChange(const WorkspaceId& workspace,
                              const QuotaStatus& status,
                              TimePoint now) {
  LoggedLimit& known = this->logged[workspace];
  const bool is_limited = status.fraction < 1;
  if (is_limited || !known.is_limited) {
    known.unlimited_since = now;
  }
  const bool is_stable =
      is_limited || now - known.unlimited_since >= kRestoredTime;
  if (is_limited == known.is_limited || !is_stable ||
      now - known.logged_at < kMinLogInterval) {
    return;
  }
  known.is_limited = is_limited;
  known.logged_at = now;
  LogInfo(is_limited ? "quota_limited" : "quota_restored",
          {{"workspace", workspace.value},
           {"balance", fmt::format("{:.0f}", status.balance)},
           {"demand", fmt::format("{:.0f}", status.demand)},
           {"fraction", fmt::format("{:.3f}", status.fraction)}});
}

std::string QuotaExchange::RenderMetrics() const {
  if (!this->limiter.HasQuotas()) {
    return {};
  }
  constexpr std::string_view kName = "pimentospar_quota_units_total";
  std::string text = fmt::format(
      "# HELP {0} Units of quotas at this entry, by workspace\n"
      "# TYPE {0} counter\n",
      kName);
  this->limiter.VisitCounts(
      [&](const WorkspaceId& id, const QuotaCounts& counts) {
        const std::string workspace = LabelValue(id.value);
        for (const auto& [state, units] :
             {std::pair("asked", counts.asked), std::pair("sent", counts.sent),
              std::pair("refused", counts.refused)}) {
          text += fmt::format("{}{{workspace=\"{}\",state=\"{}\"}} {:.0f}\n",
                              kName, workspace, state, units);
        }
      });
  return text;
}

}  // namespace pimentospar
