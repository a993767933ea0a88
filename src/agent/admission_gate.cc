#include "agent/admission_gate.h"

#include <utility>

namespace pimentospar {

AdmissionGate::AdmissionGate(Process& process)
    : process(process),
      queue(process.clock,
            {.max_running = static_cast<std::uint32_t>(
                 process.settings.engine_requests)}) {}

std::optional<EngineResult> AdmissionGate::Enter(const WorkRequest& request) {
  boost::fibers::future<Refusal> started;
  {
    const std::lock_guard lock(this->mutex);
    this->ApplyWeights();
    const AdmissionDecision decision = this->queue.Offer(request);
    if (const auto* refused = std::get_if<WorkRefused>(&decision)) {
      return ToResult(*refused);
    }
    started = this->waiting[request.attempt].get_future();
    this->StartRequests();
  }
  if (started.wait_until(request.deadline) !=
      boost::fibers::future_status::ready) {
    const std::lock_guard lock(this->mutex);
    if (this->queue.Cancel(request.attempt)) {
      this->Resolve(request.attempt, WorkRefused{Reason::kDeadlineExceeded});
    }
  }
  const Refusal refusal = started.get();
  return refusal ? std::optional(ToResult(*refusal)) : std::nullopt;
}

void AdmissionGate::Leave(const WorkDone& done) {
  const std::lock_guard lock(this->mutex);
  this->queue.OnFinished(done);
  this->StartRequests();
}

void AdmissionGate::Cancel(AttemptId attempt) {
  const std::lock_guard lock(this->mutex);
  if (this->queue.Cancel(attempt)) {
    this->Resolve(attempt, WorkRefused{Reason::kCallerGone});
    this->StartRequests();
  }
}

void AdmissionGate::SetKvCapacity(Bytes capacity) {
  const std::lock_guard lock(this->mutex);
  this->queue.SetKvCapacity(capacity);
  this->StartRequests();
}

QueueLoad AdmissionGate::Load() const {
  const std::lock_guard lock(this->mutex);
  return {.engine_time = this->queue.QueuedWork() + this->queue.RunningWork(),
          .running = static_cast<std::uint32_t>(this->queue.Running()),
          .waiting = static_cast<std::uint32_t>(this->queue.Waiting()),
          .kv_in_use = this->queue.KvInUse()};
}

void AdmissionGate::ApplyWeights() {
  const ActiveConfigPtr active = this->process.config.Get();
  if (active == nullptr || active == this->weights_config) {
    return;
  }
  std::vector<OwnerWeight> weights;
  for (const OwnerConfig& owner : active->configuration.owners) {
    weights.push_back({owner.id, owner.weight});
  }
  this->queue.SetWeights(weights);
  this->weights_config = active;
}

void AdmissionGate::StartRequests() {
  while (const std::optional<AttemptId> next = this->queue.TakeNext()) {
    this->Resolve(*next, std::nullopt);
  }
  for (const DroppedWork& dropped : this->queue.TakeDropped()) {
    this->Resolve(dropped.attempt,
                  WorkRefused{dropped.reason, dropped.retry_after});
  }
}

void AdmissionGate::Resolve(AttemptId attempt, const Refusal& refusal) {
  auto resolved = this->waiting.extract(attempt);
  if (!resolved.empty()) {
    resolved.mapped().set_value(refusal);
  }
}

EngineResult AdmissionGate::ToResult(const WorkRefused& refused) {
  EngineResult result;
  result.reason = refused.reason;
  result.executed = Executed::kNo;
  result.detail = "not admitted at the target";
  result.retry_after = std::chrono::duration_cast<std::chrono::milliseconds>(
      refused.retry_after);
  return result;
}

}  // namespace pimentospar
