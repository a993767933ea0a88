#ifndef SRC_AGENT_AGENT_H_
#define SRC_AGENT_AGENT_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>

#include "agent/admission_gate.h"
#include "agent/claims_driver.h"
#include "agent/copy_use_tracker.h"
#include "agent/crash_detector.h"
#include "agent/engine_client.h"
#include "agent/load_grants.h"
#include "agent/on_demand_loader.h"
#include "agent/order_driver.h"
#include "agent/peer_targets.h"
#include "daemon/process.h"
#include "rpc/agent_server.h"

namespace pimentospar {

/// The role `agent`: runs attempts on one target and manages the copies that
/// are loaded there.
class Agent final : public AgentHandler {
 public:
  explicit Agent(Process& process);
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  /// Starts reading the claims streams, managing the copies and polling the
  /// target.
  void Start();
  /// Returns what is missing before the process is ready; empty if it is ready.
  [[nodiscard]] std::string Missing() const;
  /// Returns the number of attempts in progress, plus one while an outcome is
  /// not yet on the log.
  [[nodiscard]] std::size_t InFlight() const {
    return this->process.worker.Running() + (this->claims.IsSettled() ? 0 : 1);
  }
  /// Writes a log line for each attempt that is still in flight.
  void LogCutOff() const;
  /// Waits until entries have stopped calling. An entry that does not know yet
  /// that the agent is leaving learns it from a refused call.
  void StopAccepting() const;

  bool OnServe(ServeRequest request,
               std::shared_ptr<AttemptReply> reply) override;
  bool OnInvoke(Invocation invocation,
                std::shared_ptr<AttemptReply> reply) override;
  void OnCancel(AttemptId attempt) override;
  PeerUpdate OnConfigSince(std::optional<ConfigVersion> version) override;
  TargetLoad OnFetchLoad() override { return this->CurrentLoad(); }
  std::optional<LoadGrant> OnRequestLoad(const LoadRequest& request) override;
  void OnLoadEnded(const LoadGrant& grant) override;
  bool OnKeepCopy(const ModelId& model,
                  std::chrono::milliseconds time) override;

 private:
  /// What crash detection needs to know of an attempt.
  struct AttemptInfo {
    AttemptId attempt;
    Fingerprint fingerprint;
    bool has_strike = false;
  };
  using EngineCall = std::function<EngineResult()>;

  void Serve(const ServeRequest& request, AttemptReply& reply);
  [[nodiscard]] OutcomeMessage RunChat(const ServeRequest& request,
                                       const std::atomic<bool>& cancelled,
                                       AttemptReply& reply,
                                       std::uint32_t& sequence);
  /// Waits until the requested copy is loaded. Sets `acquired` if the copy is
  /// now marked as in use until `ReleaseCopy`.
  [[nodiscard]] CopyLoadResult AcquireCopy(const RequestedCopy& requested,
                                           TimePoint deadline,
                                           bool& acquired);
  [[nodiscard]] bool TryAcquireCopy(const RequestedCopy& requested);
  void ReleaseCopy(const RequestedCopy& requested);
  void PollEngine();
  [[nodiscard]] bool HasCopy(const RequestedCopy& requested) const;
  void Invoke(const Invocation& invocation, AttemptReply& reply);
  /// Runs an attempt on the target and determines whether it ended by a crash.
  /// Refuses it if two requests with strikes would run at the same time.
  [[nodiscard]] OutcomeMessage RunWithCrashCheck(const AttemptInfo& info,
                                                 const EngineCall& call);
  [[nodiscard]] WorkRequest ToWorkRequest(const ServeRequest& request,
                                          TimePoint deadline) const;
  void RefreshEngineState();
  void SetEngineState(std::optional<EngineState> state);
  /// Returns the incarnation of the engine, after fetching its state if that is
  /// not known.
  [[nodiscard]] std::optional<std::uint64_t> EngineIncarnation();
  [[nodiscard]] OutcomeMessage ToOutcome(AttemptId attempt,
                                         EngineResult result) const;
  [[nodiscard]] TargetLoad CurrentLoad() const;

  Process& process;
  EngineClient engine;
  ClaimsDriver claims;
  AdmissionGate gate;
  const WallTime started_at;
  PeerTargets peers;
  CopyUseTracker copy_use;
  FallbackShareOwner share_owner;
  FallbackGrantClient grant_client;
  OrderDriver order_driver;
  OnDemandLoader on_demand;
  CrashDetector crash_detector;
  mutable std::mutex mutex;
  std::optional<EngineState> engine_state;
  mutable std::uint64_t load_sequence = 0;
  std::atomic<TimePoint> last_call{TimePoint{}};
  std::map<AttemptId, std::weak_ptr<std::atomic<bool>>> cancel_flags;
};

}  // namespace pimentospar

#endif  // SRC_AGENT_AGENT_H_
