#ifndef SRC_ENTRY_REQUEST_ROUTER_H_
#define SRC_ENTRY_REQUEST_ROUTER_H_

#include <map>
#include <mutex>
#include <span>
#include <vector>

#include "daemon/process.h"
#include "entry/agent_directory.h"
#include "pimentospar/quarantine.h"
#include "pimentospar/retry.h"
#include "pimentospar/target_choice.h"

namespace pimentospar {

/// Returns the name under which the targets of a service are chosen; no model
/// has it, because a colon ends the name of a model.
[[nodiscard]] ModelId ServiceAsModel(const ServiceId& service);
/// Returns the name under which a target reports an adapter.
[[nodiscard]] AdapterId QualifiedAdapter(const ModelId& model,
                                         const AdapterId& adapter);

/// What an entry has learned about targets and requests, and its choices from
/// that; may be used from any thread.
class RequestRouter {
 public:
  explicit RequestRouter(Process& process);

  /// Takes over which agents there are. A target whose agent has another
  /// address than before counts as new.
  void UpdateAgents(std::span<const KnownAgent> agents,
                    const Configuration& configuration);
  void OnTargetLeaving(const TargetId& target);
  void OnLoadReport(const TargetId& target, const TargetLoad& load);
  /// Learns from the load and the crash that an outcome reports.
  void OnOutcome(const TargetId& target, const Outcome& outcome);
  void OnCacheUse(const TargetId& target,
                  const ModelId& model,
                  std::span<const PrefixBlock> prefix,
                  std::uint32_t cached_tokens);

  [[nodiscard]] TargetChoice Pick(const ChoiceRequest& request);
  [[nodiscard]] bool HasCopy(const ModelId& model) const;
  /// Returns the agents that may be asked to load a model that no target has,
  /// best first: all entries of a region agree on the order, so that a burst of
  /// requests causes one load.
  [[nodiscard]] std::vector<KnownAgent> LoadCandidates(
      const ModelConfig& model) const;
  void OnSent(const SentAttempt& sent);
  void OnEnd(AttemptId attempt, AttemptResult end);

  [[nodiscard]] QuarantineDecision CheckQuarantine(Fingerprint fingerprint);
  void OnCompleted(Fingerprint fingerprint);
  void OnRequest();
  [[nodiscard]] RetryDecision DecideRetry(const FailedAttempt& failed);

  /// Counts a request that waits for a load; false if too many wait.
  [[nodiscard]] bool TryBeginWait();
  void EndWait();

  /// Returns the agents whose load should be asked for now, those not heard of
  /// for longest first.
  [[nodiscard]] std::vector<KnownAgent> TakeAgentsToPoll();

  /// Demand for models that no target has in memory, since the last call.
  [[nodiscard]] std::vector<ModelDemand> TakeDemand();
  void ImportStrikes(std::span<const StrikeReport> reports);
  [[nodiscard]] std::vector<StrikeReport> ExportStrikes(
      std::size_t limit) const;

 private:
  struct TrackedTarget {
    KnownAgent agent;
    bool is_service = false;
    bool has_reported = false;
    Bytes free_bytes = 0;
    /// When its load was last heard or asked for.
    TimePoint last_checked;
  };

  void AddTarget(const KnownAgent& agent, const TargetConfig& config);
  void ApplyLoad(const TargetId& target, const TargetLoad& load);

  Process& process;
  mutable std::mutex mutex;
  TargetPicker picker;
  Quarantine quarantine;
  RetryPolicy retries;
  std::map<TargetId, TrackedTarget> targets;
  std::size_t waiting_requests = 0;
  TimePoint last_poll;
};

}  // namespace pimentospar

#endif  // SRC_ENTRY_REQUEST_ROUTER_H_
