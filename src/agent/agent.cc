#include "agent/agent.h"

#include <algorithm>
#include <thread>

#include "net/log_line.h"

namespace pimentospar {

namespace {

// An entry learns from its first refusal that an agent leaves; a call that it
// sent before is answered within this time and not cut off.
constexpr std::chrono::milliseconds kQuietTime{300};
// Bounds the time that an agent waits for entries that go on calling.
constexpr std::chrono::milliseconds kLongestQuietWait{3'000};

}  // namespace

Agent::Agent(Process& process)
    : process(process),
      engine(process.http,
             process.clock,
             ParseAddress(process.settings.target_address).value_or(Address{})),
      claims(process, this->engine) {}

void Agent::Start() {
  this->server = std::make_unique<AgentServer>(
      this->process.rpc,
      ParseAddress(this->process.settings.rpc_address).value_or(Address{}),
      *this);
  LogInfo("listening", {{"purpose", "rpc"},
                        {"address", ToString(this->server->LocalAddress())}});
  this->claims.Start();
  this->process.Repeat(this->process.settings.state_interval, [this] {
    auto read = this->engine.ReadState();
    const std::lock_guard lock(this->mutex);
    this->state = std::move(read);
  });
}

std::string Agent::Missing() const {
  if (this->process.config.Get() == nullptr) {
    return "configuration";
  }
  if (!this->claims.IsReady()) {
    return "claims streams";
  }
  const std::lock_guard lock(this->mutex);
  return this->state ? "" : "state of the target";
}

void Agent::StopAccepting() const {
  const TimePoint drained = this->process.clock.Now();
  TimePoint now = drained;
  while (now < drained + kLongestQuietWait &&
         now < std::max(drained, this->last_call.load()) + kQuietTime) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    now = this->process.clock.Now();
  }
}

void Agent::LogCutOff() const {
  const std::lock_guard lock(this->mutex);
  for (const auto& [attempt, cancelled] : this->cancels) {
    LogError("attempt_cut_off", {{"attempt", attempt.value}});
  }
}

bool Agent::OnServe(ServeRequest request, std::shared_ptr<AttemptReply> reply) {
  this->last_call.store(this->process.clock.Now());
  return this->process.worker.TryRun(
      [this, request = std::move(request), reply = std::move(reply)] {
        this->Serve(request, *reply);
      });
}

bool Agent::OnInvoke(Invocation invocation,
                     std::shared_ptr<AttemptReply> reply) {
  this->last_call.store(this->process.clock.Now());
  return this->process.worker.TryRun(
      [this, invocation = std::move(invocation), reply = std::move(reply)] {
        this->Invoke(invocation, *reply);
      });
}

void Agent::OnCancel(AttemptId attempt) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->cancels.find(attempt);
  if (found == this->cancels.end()) {
    return;
  }
  if (const auto cancelled = found->second.lock()) {
    cancelled->store(true);
  }
}

ConfigRecords Agent::OnConfigSince(LogOffset) {
  return {};
}

void Agent::Serve(const ServeRequest& request, AttemptReply& reply) {
  if (this->process.IsDraining()) {
    reply.Finish(
        this->ToOutcome(request.attempt, {.reason = Reason::kTargetLeaving}));
    return;
  }
  const auto cancelled = std::make_shared<std::atomic<bool>>(false);
  {
    const std::lock_guard lock(this->mutex);
    this->cancels[request.attempt] = cancelled;
  }
  std::uint32_t sequence =
      static_cast<std::uint32_t>(request.resume_tokens.size());
  const TimePoint deadline = this->process.clock.Now() + request.remaining;
  EngineResult result =
      this->engine.Chat(request, deadline, [&](EngineToken token) {
        if (cancelled->load()) {
          return false;
        }
        if (!token.text.empty() &&
            !reply.SendChunk({request.attempt, sequence++,
                              std::move(token.text), false, ""})) {
          return false;
        }
        return token.finish_reason.empty() ||
               reply.SendChunk({request.attempt, sequence++, "", true,
                                token.finish_reason});
      });
  if (result.reason == Reason::kCallerGone ||
      result.reason == Reason::kDeadlineExceeded) {
    this->engine.Cancel(request.attempt);
  }
  {
    const std::lock_guard lock(this->mutex);
    this->cancels.erase(request.attempt);
  }
  Outcome outcome = this->ToOutcome(request.attempt, std::move(result));
  outcome.chunks = sequence;
  reply.Finish(std::move(outcome));
}

void Agent::Invoke(const Invocation& invocation, AttemptReply& reply) {
  if (this->process.IsDraining()) {
    reply.Finish(this->ToOutcome(invocation.attempt,
                                 {.reason = Reason::kTargetLeaving}));
    return;
  }
  const TimePoint deadline = this->process.clock.Now() + invocation.remaining;
  if (!invocation.idempotency_key.empty()) {
    reply.Finish(this->ToOutcome(invocation.attempt,
                                 this->claims.Run(invocation, deadline)));
    return;
  }
  this->process.metrics.Count(Event::kOperationDispatched);
  reply.Finish(this->ToOutcome(invocation.attempt,
                               this->engine.Invoke(invocation, deadline)));
}

Outcome Agent::ToOutcome(AttemptId attempt, EngineResult result) const {
  if (result.reason != Reason::kNone) {
    this->process.metrics.CountRefusal(result.reason);
  }
  Outcome outcome;
  outcome.attempt = attempt;
  outcome.reason = result.reason;
  outcome.executed = result.executed;
  outcome.status = result.status;
  outcome.detail = std::move(result.detail);
  outcome.body = std::move(result.body);
  outcome.retry_after = result.retry_after;
  outcome.load = this->CurrentLoad();
  return outcome;
}

TargetLoad Agent::CurrentLoad() const {
  const std::lock_guard lock(this->mutex);
  TargetLoad load;
  load.sequence = ++this->load_sequence;
  if (!this->state) {
    return load;
  }
  load.running = this->state->running;
  load.waiting = this->state->waiting;
  load.free_kv_bytes = this->state->capacity_bytes - this->state->kv_used_bytes;
  for (const EngineItem& item : this->state->items) {
    load.loaded.push_back(item.item);
  }
  return load;
}

}  // namespace pimentospar
