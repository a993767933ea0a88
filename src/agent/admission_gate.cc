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
    this->Start();
  }
  if (started.wait_until(request.deadline) !=
      boost::fibers::future_status::ready) {
    const std::lock_guard lock(this->mutex);
    if (this->queue.Cancel(request.attempt)) {
      this->Settle(request.attempt, WorkRefused{Reason::kDeadlineExceeded});
    }
  }
  const Refusal refusal = started.get();
  return refusal ? std::optional(ToResult(*refusal)) : std::nullopt;
}

void AdmissionGate::Leave(const WorkDone& done) {
  const std::lock_guard lock(this->mutex);
  this->queue.OnFinished(done);
  this->Start();
}

void AdmissionGate::Cancel(AttemptId attempt) {
  const std::lock_guard lock(this->mutex);
  if (this->queue.Cancel(attempt)) {
    this->Settle(attempt, WorkRefused{Reason::kCallerGone});
    this->Start();
  }
}

void AdmissionGate::SetKvCapacity(Bytes capacity) {
  const std::lock_guard lock(this->mutex);
  this->queue.SetKvCapacity(capacity);
  this->Start();
}

QueueLoad AdmissionGate::Load() const {
  const std::lock_guard lock(this->mutex);
  return {.work = this->queue.QueuedWork() + this->queue.RunningWork(),
          .running = static_cast<std::uint32_t>(this->queue.Running()),
          .waiting = static_cast<std::uint32_t>(this->queue.Waiting()),
          .kv_in_use = this->queue.KvInUse()};
}

void AdmissionGate::ApplyWeights() {
  const ActiveConfigPtr active = this->process.config.Get();
  if (active == nullptr || active == this->weights_from) {
    return;
  }
  std::vector<OwnerWeight> weights;
  for (const OwnerConfig& owner : active->configuration.owners) {
    weights.push_back({owner.id, owner.weight});
  }
  this->queue.SetWeights(weights);
  this->weights_from = active;
}

void AdmissionGate::Start() {
  while (const std::optional<AttemptId> next = this->queue.TakeNext()) {
    this->Settle(*next, std::nullopt);
  }
  for (const DroppedWork& dropped : this->queue.TakeDropped()) {
    this->Settle(dropped.attempt,
                 WorkRefused{dropped.reason, dropped.retry_after});
  }
}

void AdmissionGate::Settle(AttemptId attempt, const Refusal& refusal) {
  auto settled = this->waiting.extract(attempt);
  if (!settled.empty()) {
    settled.mapped().set_value(refusal);
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
