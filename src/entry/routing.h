#ifndef SRC_ENTRY_ROUTING_H_
#define SRC_ENTRY_ROUTING_H_

#include <map>
#include <mutex>
#include <span>
#include <vector>

#include "daemon/process.h"
#include "entry/directory.h"
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
class Routing {
 public:
  explicit Routing(Process& process);

  /// Takes over which agents there are. A target whose agent has another
  /// address than before counts as new.
  void OnAgents(std::span<const KnownAgent> agents,
                const Configuration& configuration);
  void OnLeaving(const TargetId& target);
  void OnLoad(const TargetId& target, const TargetLoad& load);
  /// Learns from the load and the crash that an outcome reports.
  void OnOutcome(const TargetId& target, const OutcomeMessage& outcome);
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

  [[nodiscard]] QuarantineDecision Judge(Fingerprint fingerprint);
  void OnCompleted(Fingerprint fingerprint);
  void OnRequest();
  [[nodiscard]] RetryDecision Decide(const FailedAttempt& failed);

  /// Counts a request that waits for a load; false if too many wait.
  [[nodiscard]] bool TryWait();
  void EndWait();

  /// Returns the agents whose load should be asked for now, those not heard of
  /// for longest first.
  [[nodiscard]] std::vector<KnownAgent> TakeToAsk();

  /// Demand for models that no target has in memory, since the last call.
  [[nodiscard]] std::vector<ModelDemand> TakeDemand();
  void ImportStrikes(std::span<const StrikeReport> reports);
  [[nodiscard]] std::vector<StrikeReport> ExportStrikes(
      std::size_t limit) const;

 private:
  struct Known {
    KnownAgent agent;
    bool is_service = false;
    bool heard = false;
    Bytes free_bytes = 0;
    /// When its load was last heard or asked for.
    TimePoint checked;
  };

  void Add(const KnownAgent& agent, const TargetConfig& config);
  void TakeLoad(const TargetId& target, const TargetLoad& load);

  Process& process;
  mutable std::mutex mutex;
  TargetPicker picker;
  Quarantine quarantine;
  RetryPolicy retries;
  std::map<TargetId, Known> known;
  std::size_t waiting = 0;
  TimePoint asked;
};

}  // namespace pimentospar

#endif  // SRC_ENTRY_ROUTING_H_
