#ifndef SRC_GATEWAY_QUOTA_EXCHANGE_H_
#define SRC_GATEWAY_QUOTA_EXCHANGE_H_

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>

#include "gateway/entry_transport.h"
#include "gateway/fiber_loop.h"
#include "pimentospar/quota/limit_publisher.h"
#include "pimentospar/quota/quota_ledger.h"
#include "pimentospar/quota/quota_limiter.h"
#include "pimentospar/quota/usage_reporter.h"

namespace pimentospar {

/// What a `QuotaExchange` needs to know of its entry.
struct QuotaExchangeOptions {
  HostId self;
  InstanceId instance;
  /// Returns the planner's lease that this entry holds, if any.
  std::function<std::optional<LogOffset>()> held_lease;
  /// Returns the time since this entry last read the log.
  std::function<Duration()> log_age;
};

/// Passes the usage of the quotas from all entries to the lease holder, and its
/// limits back. Sends nothing while no workspace has a quota.
class QuotaExchange {
 public:
  QuotaExchange(FiberLoop& loop,
                const Clock& clock,
                RandomSource& random,
                EntryTransport& transport,
                QuotaLimiter& limiter,
                QuotaExchangeOptions options);

  void Start();
  /// Replaces the quotas.
  void OnConfig(std::span<const WorkspaceSpec> workspaces);
  /// Handles the lease, the usage and the limits of a message. Returns whether
  /// the message is only about quotas.
  bool OnMessage(const EntryMessage& message);
  /// Returns the counters of all workspaces in the Prometheus text format.
  [[nodiscard]] std::string RenderMetrics() const;

 private:
  /// When the log last told of the limit of a workspace.
  struct LoggedLimit {
    bool is_limited = false;
    TimePoint unlimited_since;
    TimePoint logged_at;
  };

  void Run();
  void Step();
  void StepAsHolder(LogOffset lease);
  void ReportToHolder();
  void AccountForOwnUsage();
  /// Returns the part of the quotas that this entry may grant as lease holder.
  [[nodiscard]] double Share(std::size_t entry_count) const;
  void OnLimits(const EntryMessage& message);
  void LogChanges();
  void LogChange(const WorkspaceId& workspace,
                 const QuotaStatus& status,
                 TimePoint now);

  FiberLoop& loop;
  const Clock& clock;
  EntryTransport& transport;
  QuotaLimiter& limiter;
  QuotaExchangeOptions options;
  TimePoint started_at;
  UsageReporter reporter;
  QuotaLedger ledger;
  LimitPublisher publisher;
  /// The lease under which the ledger was started; nothing while this entry
  /// does not hold one.
  std::optional<LogOffset> ledger_lease;
  std::uint64_t own_sequence = 0;
  /// The newest lease that was announced, and the newest limits under it.
  std::optional<LogOffset> newest_lease;
  std::uint64_t newest_epoch = 0;
  std::map<WorkspaceId, LoggedLimit> logged;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_QUOTA_EXCHANGE_H_
