#include "agent/agent.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "net/log_line.h"

namespace pimentospar {

namespace {

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
      started(process.clock.WallNow()),
      peers(TargetId(process.settings.target), process.instance),
      use(process.clock),
      share(process),
      loader(process, this->peers, this->share),
      orders(process,
             EngineAddress(process.settings),
             [this] { return this->peers.IsReplaced(this->started); }),
      on_demand(process, this->orders, this->use, this->peers, this->loader) {
  process.SetOnHosts(
      [this](std::span<const ListedHost> hosts) { this->peers.Update(hosts); });
  process.SetOnMember(
      [this](const MemberUpdate& member) { this->peers.Update(member); });
}

void Agent::Start() {
  this->claims.Start();
  this->orders.Start();
  this->process.Repeat(this->process.settings.state_interval,
                       [this] { this->FollowTarget(); });
}

void Agent::FollowTarget() {
  if (const ActiveConfigPtr active = this->process.config.Get()) {
    this->share.OnConfiguration(active->configuration);
  }
  const std::uint64_t mark = this->use.Mark();
  auto read = this->engine.ReadState();
  LoadSummary load;
  std::vector<ModelId> models;
  std::vector<ItemId> servable;
  if (read) {
    load = {read->running, read->waiting, read->queued_tokens};
    for (const EngineItem& item : read->items) {
      if (!IsServable(item)) {
        continue;
      }
      servable.emplace_back(item.item);
      if (item.item.find(':') == std::string::npos) {
        models.emplace_back(item.item);
      }
    }
  }
  this->use.SetLoaded(servable, mark);
  this->process.SetTargetState(load, std::move(models));
  const std::lock_guard lock(this->mutex);
  this->state = std::move(read);
}

bool Agent::Holds(const WantedCopy& wanted) const {
  const std::lock_guard lock(this->mutex);
  // An engine that does not answer refuses the attempt by itself, and sooner.
  if (!this->state) {
    return true;
  }
  const auto holds = [this](const ItemId& id) {
    return std::ranges::any_of(this->state->items, [&](const EngineItem& item) {
      return item.item == id.value && IsServable(item);
    });
  };
  return holds(ModelItem(wanted.model)) &&
         (wanted.adapter.IsEmpty() ||
          holds(AdapterItem(wanted.model, wanted.adapter)));
}

bool Agent::TryUse(const WantedCopy& wanted) {
  if (!this->use.Begin(ModelItem(wanted.model))) {
    return false;
  }
  if (wanted.adapter.IsEmpty() ||
      this->use.Begin(AdapterItem(wanted.model, wanted.adapter))) {
    return true;
  }
  this->use.End(ModelItem(wanted.model));
  return false;
}

void Agent::EndUse(const WantedCopy& wanted) {
  this->use.End(ModelItem(wanted.model));
  if (!wanted.adapter.IsEmpty()) {
    this->use.End(AdapterItem(wanted.model, wanted.adapter));
  }
}

CopyResult Agent::BeginUse(const WantedCopy& wanted,
                           TimePoint deadline,
                           bool& counted) {
  constexpr std::chrono::milliseconds kPause{10};
  while (this->process.clock.Now() < deadline) {
    if (!this->Holds(wanted)) {
      CopyResult result = this->on_demand.EnsureLoaded(wanted, deadline);
      if (result.reason != Reason::kNone) {
        return result;
      }
    }
    if (this->TryUse(wanted)) {
      counted = true;
      return {};
    }
    {
      const std::lock_guard lock(this->mutex);
      if (!this->state) {
        return {};
      }
    }
    // The state read that shows the copy is still to come, or the copy is being
    // unloaded.
    boost::this_fiber::sleep_for(kPause);
  }
  return {Reason::kModelLoading, "the deadline has passed"};
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

void Agent::LogCutOff() const {
  const std::lock_guard lock(this->mutex);
  for (const auto& [attempt, cancelled] : this->cancels) {
    LogError("attempt_cut_off", {{"attempt", attempt.value}});
  }
}

bool Agent::OnServe(ServeRequest request, std::shared_ptr<AttemptReply> reply) {
  return this->process.worker.TryRun(
      [this, request = std::move(request), reply = std::move(reply)] {
        this->Serve(request, *reply);
      });
}

bool Agent::OnInvoke(Invocation invocation,
                     std::shared_ptr<AttemptReply> reply) {
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

PeerUpdate Agent::OnConfigSince(std::optional<ConfigVersion> version) {
  return this->process.config_feed.UpdateSince(version);
}

EngineResult Agent::RunChat(const ServeRequest& request,
                            const std::atomic<bool>& cancelled,
                            AttemptReply& reply,
                            std::uint32_t& sequence) {
  const TimePoint deadline = this->process.clock.Now() + request.remaining;
  const WantedCopy wanted{request.model, request.adapter};
  bool counted = false;
  CopyResult copy = this->BeginUse(wanted, deadline, counted);
  if (copy.reason != Reason::kNone) {
    return {.reason = copy.reason,
            .executed = Executed::kNo,
            .detail = std::move(copy.detail),
            .retry_after = std::chrono::seconds(1)};
  }
  EngineResult result =
      this->engine.Chat(request, deadline, [&](EngineToken token) {
        if (cancelled.load()) {
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
  if (counted) {
    this->EndUse(wanted);
  }
  return result;
}

std::optional<LoadGrant> Agent::OnRequestLoad(const LoadRequest& request) {
  return this->share.Request(request);
}

void Agent::OnLoadEnded(const LoadGrant& grant) {
  this->share.End(grant);
}

bool Agent::OnKeepCopy(const ModelId& model, std::chrono::milliseconds time) {
  return this->use.Keep(ModelItem(model), time);
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
  EngineResult result = this->RunChat(request, *cancelled, reply, sequence);
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
