#ifndef SRC_AGENT_ADMISSION_GATE_H_
#define SRC_AGENT_ADMISSION_GATE_H_

#include <boost/fiber/future.hpp>
#include <map>
#include <mutex>
#include <optional>

#include "agent/engine_client.h"
#include "daemon/process.h"
#include "pimentospar/admission.h"

namespace pimentospar {

/// Load of the admission queue as it is reported to entries.
struct QueueLoad {
  /// Engine time of the requests that wait or run.
  Duration engine_time{0};
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  Bytes kv_in_use = 0;
};

/// Lets requests wait in their fibers until the admission queue starts them;
/// may be used from any thread.
class AdmissionGate {
 public:
  explicit AdmissionGate(Process& process);

  /// Suspends the fiber until the request may start. Returns why it was not and
  /// will not be run, or nothing once it may; then call `Leave`.
  [[nodiscard]] std::optional<EngineResult> Enter(const WorkRequest& request);
  void Leave(const WorkDone& done);
  /// Removes a request that waits because its caller has gone.
  void Cancel(AttemptId attempt);
  void SetKvCapacity(Bytes capacity);
  [[nodiscard]] QueueLoad Load() const;

 private:
  using Refusal = std::optional<WorkRefused>;
  using Promise = boost::fibers::promise<Refusal>;

  void ApplyWeights();
  void StartRequests();
  void Resolve(AttemptId attempt, const Refusal& refusal);
  [[nodiscard]] static EngineResult ToResult(const WorkRefused& refused);

  Process& process;
  mutable std::mutex mutex;
  AdmissionQueue queue;
  std::map<AttemptId, Promise> waiting;
  ActiveConfigPtr weights_config;
};

}  // namespace pimentospar

#endif  // SRC_AGENT_ADMISSION_GATE_H_
