#ifndef SRC_AGENT_AGENT_H_
#define SRC_AGENT_AGENT_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>

#include "agent/claims_guard.h"
#include "agent/engine.h"
#include "daemon/process.h"
#include "rpc/agent_server.h"

namespace pimentospar {

/// The role `agent`: guards one target and runs attempts on it.
class Agent final : public AgentHandler {
 public:
  explicit Agent(Process& process);
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  /// Opens the RPC address. Throws if it cannot be bound.
  void Start();
  /// What is missing before the process is ready; empty if nothing.
  [[nodiscard]] std::string Missing() const;
  /// Attempts in progress, and one more while an outcome is not on the log yet.
  [[nodiscard]] std::size_t InFlight() const {
    return this->process.worker.Running() + (this->claims.IsSettled() ? 0 : 1);
  }
  /// Writes a log line for each attempt that is still in flight.
  void LogCutOff() const;
  /// Refuses the calls of entries that do not know yet that the agent leaves,
  /// until there have been none for a while.
  void StopAccepting() const;

  bool OnServe(ServeRequest request,
               std::shared_ptr<AttemptReply> reply) override;
  bool OnInvoke(Invocation invocation,
                std::shared_ptr<AttemptReply> reply) override;
  void OnCancel(AttemptId attempt) override;
  ConfigRecords OnConfigSince(LogOffset from) override;

 private:
  void Serve(const ServeRequest& request, AttemptReply& reply);
  void Invoke(const Invocation& invocation, AttemptReply& reply);
  [[nodiscard]] Outcome ToOutcome(AttemptId attempt, EngineResult result) const;
  [[nodiscard]] TargetLoad CurrentLoad() const;

  Process& process;
  Engine engine;
  ClaimsGuard claims;
  std::unique_ptr<AgentServer> server;
  mutable std::mutex mutex;
  std::optional<EngineState> state;
  mutable std::uint64_t load_sequence = 0;
  std::atomic<TimePoint> last_call{TimePoint{}};
  std::map<AttemptId, std::weak_ptr<std::atomic<bool>>> cancels;
};

}  // namespace pimentospar

#endif  // SRC_AGENT_AGENT_H_
