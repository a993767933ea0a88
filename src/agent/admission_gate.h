#ifndef SRC_AGENT_ADMISSION_GATE_H_
#define SRC_AGENT_ADMISSION_GATE_H_

#include <boost/fiber/future.hpp>
#include <map>
#include <mutex>
#include <optional>

#include "agent/engine_client.h"
#include "daemon/process.h"
#include "pimentospar/admission/admission_queue.h"

namespace pimentospar {

/// Load of the admission queue, as reported to the entries.
struct QueueLoad {
  /// Estimated engine time of all waiting and running requests.
  Duration engine_time{0};
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  Bytes kv_in_use = 0;
};

/// Suspends the fiber of each request until the admission queue starts it.
/// Thread-safe.
class AdmissionGate {
 public:
  explicit AdmissionGate(Process& process);

  /// Suspends the calling fiber until the request may start; the caller must
  /// then call `Leave`. Returns the failure if the request will not be run,
  /// otherwise nothing.
  [[nodiscard]] std::optional<EngineResult> Enter(const WorkRequest& request);
  /// Reports the end of an admitted request and starts the requests that can
  /// run now.
  void Leave(const WorkDone& done);
  /// Removes a waiting request whose caller has disconnected.
  void Cancel(AttemptId attempt);
  /// Sets the KV cache memory of all admitted requests together, in bytes.
  void SetKvCapacity(Bytes capacity);
  /// Returns the current load of the queue.
  [[nodiscard]] QueueLoad Load() const;

 private:
  /// Empty if the request may start.
  using Refusal = std::optional<WorkRefused>;
  using Promise = boost::fibers::promise<Refusal>;

  void ApplyWeights();
  /// Starts every request that can run now and refuses those that the queue has
  /// dropped.
  void StartRequests();
  /// Resumes the fiber of a waiting request; ignored if there is none.
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
