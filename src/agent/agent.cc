#include "agent/agent.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <thread>

#include "net/log_line.h"

namespace pimentospar {

namespace {

// An entry learns from its first refused call that the agent is leaving. Calls
// that it sent earlier are answered within this time instead of being cut off.
constexpr std::chrono::milliseconds kQuietPeriod{300};
// Limits how long an agent waits for entries that keep calling.
constexpr std::chrono::milliseconds kMaxQuietWait{3'000};

Address EngineAddress(const Settings& settings) {
  return ParseAddress(settings.target_address).value_or(Address{});
}

bool IsServable(const EngineItem& item) {
  return item.kind != "loading";
}

}  // namespace

Agent::Agent(Process& process)
    : process(process),
      engine(process.http, process.clock, EngineAddress(process.settings)),
      claims(process, this->engine),
      gate(process),
      started_at(process.clock.WallNow()),
      peers(TargetId(process.settings.target), process.instance),
      copy_use(process.clock),
      share_owner(process),
      grant_client(process, this->peers, this->share_owner),
      order_driver(
          process,
          EngineAddress(process.settings),
          [this] { return this->peers.IsReplaced(this->started_at); },
          this->gate),
      on_demand(process,
                this->order_driver,
                this->copy_use,
                this->peers,
                this->grant_client),
      crash_detector(process.clock, TargetId(process.settings.target)) {
  process.SetOnHosts([this](std::span<const ListedHost> hosts) {
    this->peers.UpdateHosts(hosts);
  });
  process.SetOnMember(
      [this](const MemberUpdate& member) { this->peers.UpdateMember(member); });
}

void Agent::Start() {
  this->claims.Start();
  this->order_driver.Start();
  this->process.Repeat(this->process.settings.state_interval,
                       [this] { this->PollEngine(); });
}

void Agent::PollEngine() {
  if (const ActiveConfigPtr active = this->process.config.Get()) {
    this->share_owner.OnConfiguration(active->configuration);
  }
  const std::uint64_t unload_count = this->copy_use.UnloadCount();
  auto state = this->engine.FetchState();
  LoadSummary load;
  std::vector<ModelId> models;
  std::vector<ItemId> servable;
  if (state) {
    load = {state->running, state->waiting, state->queued_tokens};
    for (const EngineItem& item : state->items) {
      if (!IsServable(item)) {
        continue;
      }
      servable.emplace_back(item.item);
      if (item.item.find(':') == std::string::npos) {
        models.emplace_back(item.item);
      }
    }
  }
  this->copy_use.SetLoaded(servable, unload_count);
  this->process.SetTargetState(load, std::move(models));
  this->SetEngineState(std::move(state));
}

void Agent::RefreshEngineState() {
  this->SetEngineState(this->engine.FetchState());
}

void Agent::SetEngineState(std::optional<EngineState> state) {
  // Without a memory account nothing is loaded, so requests may use all memory
  // that the engine's items leave free. With one, the order driver divides the
  // memory.
  if (state && !this->order_driver.HasAccount()) {
    Bytes used = 0;
    for (const EngineItem& item : state->items) {
      used += item.bytes;
    }
    this->gate.SetKvCapacity(state->capacity_bytes -
                             std::min(used, state->capacity_bytes));
  }
  const std::lock_guard lock(this->mutex);
  this->engine_state = std::move(state);
}

std::optional<std::uint64_t> Agent::EngineIncarnation() {
  {
    const std::lock_guard lock(this->mutex);
    if (this->engine_state) {
      return this->engine_state->incarnation;
    }
  }
  this->RefreshEngineState();
  const std::lock_guard lock(this->mutex);
  return this->engine_state ? std::optional(this->engine_state->incarnation)
                            : std::nullopt;
}

bool Agent::HasCopy(const RequestedCopy& requested) const {
  const std::lock_guard lock(this->mutex);
  // While the engine does not answer, the attempt fails when it is run, which
  // is sooner than after a wait for a load.
  if (!this->engine_state) {
    return true;
  }
  const auto has_item = [this](const ItemId& id) {
    return std::ranges::any_of(
        this->engine_state->items, [&](const EngineItem& item) {
          return item.item == id.value && IsServable(item);
        });
  };
  return has_item(ModelItemId(requested.model)) &&
         (requested.adapter.IsEmpty() ||
          has_item(AdapterItemId(requested.model, requested.adapter)));
}

bool Agent::TryAcquireCopy(const RequestedCopy& requested) {
  if (!this->copy_use.BeginUse(ModelItemId(requested.model))) {
    return false;
  }
  if (requested.adapter.IsEmpty() || this->copy_use.BeginUse(AdapterItemId(
                                         requested.model, requested.adapter))) {
    return true;
  }
  this->copy_use.EndUse(ModelItemId(requested.model));
  return false;
}

void Agent::ReleaseCopy(const RequestedCopy& requested) {
  this->copy_use.EndUse(ModelItemId(requested.model));
  if (!requested.adapter.IsEmpty()) {
    this->copy_use.EndUse(AdapterItemId(requested.model, requested.adapter));
  }
}

CopyLoadResult Agent::AcquireCopy(const RequestedCopy& requested,
                                  TimePoint deadline,
                                  bool& acquired) {
  constexpr std::chrono::milliseconds kRetryInterval{10};
  while (this->process.clock.Now() < deadline) {
    if (!this->HasCopy(requested)) {
      CopyLoadResult result = this->on_demand.EnsureLoaded(requested, deadline);
      if (result.reason != Reason::kNone) {
        return result;
      }
    }
    if (this->TryAcquireCopy(requested)) {
      acquired = true;
      return {};
    }
    {
      const std::lock_guard lock(this->mutex);
      if (!this->engine_state) {
        return {};
      }
    }
    // Either the copy is loaded and the next poll of the engine state will show
    // it, or it is being unloaded.
    boost::this_fiber::sleep_for(kRetryInterval);
  }
  return {Reason::kModelLoading, "the copy was not ready before the deadline"};
}

std::string Agent::Missing() const {
  if (this->process.config.Get() == nullptr) {
    return "configuration";
  }
  if (!this->claims.IsReady()) {
    return "claims streams";
  }
  const std::lock_guard lock(this->mutex);
  return this->engine_state ? "" : "state of the target";
}

void Agent::StopAccepting() const {
  const TimePoint drained = this->process.clock.Now();
  TimePoint now = drained;
  while (now < drained + kMaxQuietWait &&
         now < std::max(drained, this->last_call.load()) + kQuietPeriod) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    now = this->process.clock.Now();
  }
}

void Agent::LogCutOff() const {
  const std::lock_guard lock(this->mutex);
  for (const auto& [attempt, cancelled] : this->cancel_flags) {
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
  this->gate.Cancel(attempt);
  const std::lock_guard lock(this->mutex);
  const auto found = this->cancel_flags.find(attempt);
  if (found == this->cancel_flags.end()) {
    return;
  }
  if (const auto cancelled = found->second.lock()) {
    cancelled->store(true);
  }
}

PeerUpdate Agent::OnConfigSince(std::optional<ConfigVersion> version) {
  return this->process.config_feed.UpdateSince(version);
}

WorkRequest Agent::ToWorkRequest(const ServeRequest& request,
                                 TimePoint deadline) const {
  const ActiveConfigPtr active = this->process.config.Get();
  const ModelConfig* model =
      active == nullptr ? nullptr
                        : FindModel(active->configuration, request.model);
  return {
      .attempt = request.attempt,
      .owner = request.owner,
      .priority = request.priority,
      // The queue starts only requests with at least one token of work.
      .prompt_tokens = std::max(request.prompt_tokens, 1U),
      .max_output_tokens = request.max_tokens,
      .kv_bytes_per_token = model == nullptr ? 0 : model->kv_bytes_per_token,
      .deadline = deadline};
}

OutcomeMessage Agent::RunWithCrashCheck(const AttemptInfo& info,
                                        const EngineCall& call) {
  const auto incarnation_before = this->EngineIncarnation();
  if (!incarnation_before) {
    return this->ToOutcome(
        info.attempt, {.reason = Reason::kTargetUnreachable,
                       .detail = "the state of the target could not be read"});
  }
  if (!this->crash_detector.TryStart(info.attempt, info.fingerprint,
                                     info.has_strike)) {
    return this->ToOutcome(
        info.attempt, {.reason = Reason::kTargetRefused,
                       .detail = "another request with a strike is running"});
  }
  EngineResult result = call();
  std::optional<CrashReport> crash;
  if (result.reason == Reason::kTargetCrashed) {
    this->RefreshEngineState();
    crash = this->crash_detector.OnConnectionBroken(*incarnation_before,
                                                    this->EngineIncarnation());
    if (crash) {
      LogError("target_crashed", {{"crash", crash->crash.value},
                                  {"in_flight", crash->in_flight.size()}});
    } else {
      result.reason = Reason::kBrokenStream;
    }
  }
  this->crash_detector.OnEnd(info.attempt);
  if (result.reason == Reason::kNone) {
    this->crash_detector.OnCompleted(info.fingerprint);
  }
  OutcomeMessage outcome = this->ToOutcome(info.attempt, std::move(result));
  if (crash) {
    outcome.crash = crash->crash;
    outcome.crashed_with = std::move(crash->in_flight);
  }
  return outcome;
}

OutcomeMessage Agent::RunChat(const ServeRequest& request,
                              const std::atomic<bool>& cancelled,
                              AttemptReply& reply,
                              std::uint32_t& sequence) {
  const TimePoint deadline = this->process.clock.Now() + request.remaining;
  const RequestedCopy requested{request.model, request.adapter};
  bool acquired = false;
  CopyLoadResult copy = this->AcquireCopy(requested, deadline, acquired);
  if (copy.reason != Reason::kNone) {
    return this->ToOutcome(request.attempt,
                           {.reason = copy.reason,
                            .executed = Executed::kNo,
                            .detail = std::move(copy.detail),
                            .retry_after = std::chrono::seconds(1)});
  }
  const std::uint32_t first = sequence;
  const EngineClient::OnToken on_token = [&](EngineToken token) {
    if (cancelled.load()) {
      return false;
    }
    if (!token.text.empty() &&
        !reply.SendChunk(
            {request.attempt, sequence++, std::move(token.text), false, ""})) {
      return false;
    }
    return token.finish_reason.empty() ||
           reply.SendChunk(
               {request.attempt, sequence++, "", true, token.finish_reason});
  };
  OutcomeMessage outcome;
  if (auto refused = this->gate.Enter(this->ToWorkRequest(request, deadline))) {
    outcome = this->ToOutcome(request.attempt, std::move(*refused));
  } else {
    outcome = this->RunWithCrashCheck(
        {request.attempt, request.fingerprint, request.struck},
        [&] { return this->engine.Chat(request, deadline, on_token); });
    this->gate.Leave({.attempt = request.attempt,
                      .output_tokens = sequence - first,
                      .complete = outcome.reason == Reason::kNone});
    outcome.load = this->CurrentLoad();
    if (outcome.reason == Reason::kCallerGone ||
        (outcome.reason == Reason::kDeadlineExceeded &&
         outcome.executed != Executed::kNo)) {
      this->engine.Cancel(request.attempt);
    }
  }
  if (acquired) {
    this->ReleaseCopy(requested);
  }
  return outcome;
}

std::optional<LoadGrant> Agent::OnRequestLoad(const LoadRequest& request) {
  return this->share_owner.TryGrant(request);
}

void Agent::OnLoadEnded(const LoadGrant& grant) {
  this->share_owner.OnLoadEnded(grant);
}

bool Agent::OnKeepCopy(const ModelId& model, std::chrono::milliseconds time) {
  return this->copy_use.KeepFor(ModelItemId(model), time);
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
    this->cancel_flags[request.attempt] = cancelled;
  }
  auto sequence = static_cast<std::uint32_t>(request.resume_tokens.size());
  OutcomeMessage outcome = this->RunChat(request, *cancelled, reply, sequence);
  {
    const std::lock_guard lock(this->mutex);
    this->cancel_flags.erase(request.attempt);
  }
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
  const AttemptInfo info{invocation.attempt, invocation.fingerprint,
                         invocation.struck};
  // A claim may wait a long time for the log, so it must not occupy a place
  // that another request could use at the target.
  if (!invocation.idempotency_key.empty()) {
    reply.Finish(this->RunWithCrashCheck(
        info, [&] { return this->claims.Run(invocation, deadline); }));
    return;
  }
  if (auto refused = this->gate.Enter({.attempt = invocation.attempt,
                                       .owner = invocation.owner,
                                       .prompt_tokens = 1,
                                       .max_output_tokens = 1,
                                       .deadline = deadline})) {
    reply.Finish(this->ToOutcome(invocation.attempt, std::move(*refused)));
    return;
  }
  OutcomeMessage outcome = this->RunWithCrashCheck(info, [&] {
    this->process.metrics.Count(CountedEvent::kOperationDispatched);
    return this->engine.Invoke(invocation, deadline);
  });
  this->gate.Leave({.attempt = invocation.attempt,
                    .output_tokens = 1,
                    .complete = outcome.reason == Reason::kNone});
  outcome.load = this->CurrentLoad();
  reply.Finish(std::move(outcome));
}

OutcomeMessage Agent::ToOutcome(AttemptId attempt, EngineResult result) const {
  if (result.reason != Reason::kNone) {
    this->process.metrics.CountRefusal(result.reason);
  }
  OutcomeMessage outcome;
  outcome.attempt = attempt;
  outcome.reason = result.reason;
  outcome.executed = result.executed;
  outcome.status = result.status;
  outcome.detail = std::move(result.detail);
  outcome.body = std::move(result.body);
  outcome.retry_after = result.retry_after;
  outcome.cached_prompt_tokens = result.cached_prompt_tokens;
  outcome.load = this->CurrentLoad();
  return outcome;
}

TargetLoad Agent::CurrentLoad() const {
  const QueueLoad queue = this->gate.Load();
  const std::lock_guard lock(this->mutex);
  TargetLoad load;
  load.sequence = ++this->load_sequence;
  load.queued_work =
      std::chrono::duration_cast<std::chrono::milliseconds>(queue.engine_time);
  load.running = queue.running;
  load.waiting = queue.waiting;
  if (!this->engine_state) {
    return load;
  }
  Bytes used = queue.kv_in_use;
  for (const EngineItem& item : this->engine_state->items) {
    used += item.bytes;
    if (item.kind == "model") {
      load.models.emplace_back(item.item);
    } else if (item.kind == "adapter") {
      load.adapters.emplace_back(item.item);
    }
  }
  load.free_kv_bytes = this->engine_state->capacity_bytes -
                       std::min(used, this->engine_state->capacity_bytes);
  return load;
}

}  // namespace pimentospar
