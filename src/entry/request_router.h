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

/// Returns the model id that represents a service in the `TargetPicker`. No
/// model has this id, because a colon in a request ends the name of the model.
[[nodiscard]] ModelId ServiceAsModel(const ServiceId& service);
/// Returns the id under which targets report an adapter.
[[nodiscard]] AdapterId QualifiedAdapter(const ModelId& model,
                                         const AdapterId& adapter);

/// Chooses targets and decides on quarantine and retries by what the entry has
/// observed of targets and requests. Thread-safe.
class RequestRouter {
 public:
  explicit RequestRouter(Process& process);

  /// Replaces the list of agents. A target counts as new if its agent has
  /// another address than before or is no longer leaving.
  void UpdateAgents(std::span<const KnownAgent> agents,
                    const Configuration& configuration);
  /// The target is shutting down and gets no new requests.
  void OnTargetLeaving(const TargetId& target);
  /// Applies a load report, unless it is older than the last one.
  void OnLoadReport(const TargetId& target, const TargetLoad& load);
  /// Applies the load and the crash that an outcome reports.
  void OnOutcome(const TargetId& target, const OutcomeMessage& outcome);
  /// Updates the estimate of the prefix cache of a target.
  void OnCacheUse(const TargetId& target,
                  const ModelId& model,
                  std::span<const PrefixBlock> prefix,
                  std::uint32_t cached_tokens);

  /// Chooses a target; see `TargetPicker::Pick`.
  [[nodiscard]] TargetChoice Pick(const ChoiceRequest& request);
  /// Returns whether a target that accepts requests has the model in memory.
  [[nodiscard]] bool HasCopy(const ModelId& model) const;
  /// Returns the agents that can load a model that no target has in memory,
  /// best first. All entries of a region use the same order, so that a burst of
  /// requests causes one load.
  [[nodiscard]] std::vector<KnownAgent> LoadCandidates(
      const ModelConfig& model) const;
  /// Records an attempt that was sent to a target.
  void OnSent(const SentAttempt& sent);
  /// Records the end of an attempt and updates the health of its target.
  void OnEnd(AttemptId attempt, AttemptResult end);

  /// Returns how a request may run; called before each of its attempts.
  [[nodiscard]] QuarantineDecision CheckQuarantine(Fingerprint fingerprint);
  /// Clears the strikes of a request, and reports that to the peers if it had
  /// any.
  void OnCompleted(Fingerprint fingerprint);
  /// Counts a request towards the retry budget.
  void OnRequest();
  /// Decides whether a failed attempt is retried.
  [[nodiscard]] RetryDecision DecideRetry(const FailedAttempt& failed);

  /// Counts a request that waits for a load; returns false if too many are
  /// waiting.
  [[nodiscard]] bool TryBeginWait();
  /// Ends a wait that `TryBeginWait` counted.
  void EndWait();

  /// Returns the agents to poll for their load now: some that never reported,
  /// and the one whose last report or poll is the oldest.
  [[nodiscard]] std::vector<KnownAgent> TakeAgentsToPoll();

  /// Returns and resets the demand for models that no target has in memory.
  [[nodiscard]] std::vector<ModelDemand> TakeDemand();
  /// Merges strikes that peers reported.
  void ImportStrikes(std::span<const StrikeReport> reports);
  /// Returns at most `limit` strike reports, newest first.
  [[nodiscard]] std::vector<StrikeReport> ExportStrikes(
      std::size_t limit) const;

 private:
  struct TrackedTarget {
    KnownAgent agent;
    bool is_service = false;
    bool has_reported = false;
    Bytes free_bytes = 0;
    /// Time of the last load report or poll.
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
