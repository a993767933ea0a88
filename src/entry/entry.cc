#include "entry/entry.h"

#include <algorithm>
#include <boost/json.hpp>
#include <set>
#include <thread>

#include "net/log_line.h"
#include "pimentospar/digest.h"

namespace pimentospar {

namespace {

using Filter = std::variant<DeadlineFilter,
                            AuthenticateFilter,
                            ValidateFilter,
                            AuthorizeFilter>;

constexpr unsigned kMaxAttempts = 3;
// A connection that was open when the entry stopped may still bring a request
// that is on its way; after this time it is closed as idle.
constexpr std::chrono::milliseconds kLastRequestTime{1'000};

// Whether another agent may do better; a full key table or a missing log is the
// same everywhere.
bool IsWorthRetrying(Reason reason) {
  switch (reason) {
    case Reason::kTargetLeaving:
    case Reason::kTargetUnreachable:
    case Reason::kTargetRefused:
    case Reason::kTargetCrashed:
    case Reason::kTargetError:
    case Reason::kRingFull:
    case Reason::kNotReady:
    case Reason::kOverloaded:
      return true;
    default:
      return false;
  }
}

// A request is reported as not run only if none of its attempts ran.
Executed Combine(Executed earlier, Executed last) {
  return last == Executed::kNo ? earlier : last;
}

std::chrono::milliseconds Remaining(TimePoint now, TimePoint deadline) {
  return std::max(
      std::chrono::milliseconds(0),
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now));
}

}  // namespace

Entry::Entry(Process& process) : process(process) {
  process.SetOnHosts([this](std::span<const ListedHost> hosts) {
    this->directory.Update(hosts);
  });
  process.SetOnMember(
      [this](const MemberUpdate& member) { this->directory.Update(member); });
}

void Entry::Start() {
  const Settings& settings = this->process.settings;
  const HttpLimits limits{
      .header_bytes = static_cast<std::uint32_t>(settings.header_bytes),
      .body_bytes = settings.body_bytes,
      .connections = settings.connections,
      .idle_time = settings.idle_time,
      .stall_time = settings.stall_time};
  this->server = std::make_unique<HttpServer>(
      this->process.io,
      ParseAddress(settings.caller_address).value_or(Address{}).ToEndpoint(),
      limits, this->process.metrics,
      [this](const std::shared_ptr<HttpExchange>& exchange) {
        return this->OnRequest(exchange);
      });
  LogInfo("listening",
          {{"purpose", "caller"},
           {"address", ToString(FromEndpoint(this->server->LocalEndpoint()))}});
}

PeerUpdate Entry::OnConfigSince(std::optional<ConfigVersion> version) {
  return this->process.config_feed.UpdateSince(version);
}

void Entry::StopAccepting() {
  this->server->StopAccepting();
  const TimePoint limit = this->process.clock.Now() + kLastRequestTime;
  while (!this->server->IsClosed() && this->process.clock.Now() < limit) {
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
}

std::size_t Entry::InFlight() const {
  return std::max(this->process.worker.Running(), this->server->Requests());
}

std::string Entry::Missing() const {
  if (this->process.config.Get() == nullptr) {
    return "configuration";
  }
  return this->directory.Agents().empty() ? "agents" : "";
}

bool Entry::OnRequest(const std::shared_ptr<HttpExchange>& exchange) {
  return this->process.worker.TryRun([this, exchange] {
    {
      const std::lock_guard lock(this->mutex);
      this->in_flight[exchange.get()] = exchange->Request().path;
    }
    this->Handle(exchange);
    const std::lock_guard lock(this->mutex);
    this->in_flight.erase(exchange.get());
  });
}

void Entry::LogCutOff() const {
  const std::lock_guard lock(this->mutex);
  for (const auto& [exchange, path] : this->in_flight) {
    LogError("request_cut_off", {{"path", path}});
  }
}

void Entry::Handle(const std::shared_ptr<HttpExchange>& exchange) {
  RequestContext context;
  context.exchange = exchange;
  context.received = this->process.clock.Now();
  context.config = this->process.config.Get();
  this->process.metrics.Count(Event::kRequestStarted);
  if (this->process.IsDraining()) {
    this->Refuse(context, {.reason = Reason::kDraining,
                           .detail = "the entry is stopping"});
    return;
  }
  if (context.config == nullptr) {
    this->Refuse(context, {.reason = Reason::kNotReady,
                           .detail = "no configuration yet",
                           .retry_after = std::chrono::seconds(1)});
    return;
  }
  if (exchange->Request().path == "/v1/models") {
    this->ListModels(context);
    return;
  }
  if (auto problem = this->Prepare(context)) {
    this->Refuse(context, *problem);
    return;
  }
  if (std::holds_alternative<ChatRequest>(context.request)) {
    this->ServeChat(context);
  } else {
    this->ServeService(context);
  }
  this->process.metrics.RecordRequestTime(this->process.clock.Now() -
                                          context.received);
}

FilterResult Entry::Prepare(RequestContext& context) const {
  const std::array<Filter, 4> filters = {DeadlineFilter{this->process.settings},
                                         AuthenticateFilter{}, ValidateFilter{},
                                         AuthorizeFilter{}};
  for (const Filter& filter : filters) {
    auto problem =
        std::visit([&](const auto& step) { return step(context); }, filter);
    if (problem) {
      return problem;
    }
  }
  return std::nullopt;
}

void Entry::Refuse(const RequestContext& context, const Problem& problem) {
  this->process.metrics.CountRefusal(problem.reason);
  LogInfo("request_refused", {{"reason", CodeOf(problem.reason)},
                              {"executed", ToString(problem.executed)},
                              {"owner", context.owner.value},
                              {"detail", problem.detail}});
  context.exchange->Respond(ProblemResponse(problem.reason, problem.executed,
                                            problem.detail, problem.attempts,
                                            problem.retry_after));
}

void Entry::ListModels(const RequestContext& context) {
  RequestContext authenticated = context;
  if (auto problem = AuthenticateFilter{}(authenticated)) {
    this->Refuse(context, *problem);
    return;
  }
  boost::json::array data;
  const Configuration& configuration = context.config->configuration;
  for (const OwnerConfig& owner : configuration.owners) {
    if (owner.id != authenticated.owner) {
      continue;
    }
    for (const ModelConfig& model : configuration.models) {
      if (!MayUse(owner, model.id)) {
        continue;
      }
      data.push_back(boost::json::object{{"id", model.id.value},
                                         {"object", "model"},
                                         {"owned_by", model.owner.value}});
    }
  }
  context.exchange->Respond({.body = boost::json::serialize(boost::json::object{
                                 {"object", "list"}, {"data", data}})});
}

std::vector<KnownAgent> Entry::Candidates(const RequestContext& context) const {
  const auto* call = std::get_if<ServiceRequest>(&context.request);
  std::vector<KnownAgent> candidates;
  for (const KnownAgent& agent : this->directory.Agents()) {
    const TargetConfig* target =
        FindTarget(context.config->configuration, agent.target);
    if (target == nullptr || agent.is_leaving) {
      continue;
    }
    const bool fits = call == nullptr ? target->kind == TargetKind::kModels
                                      : target->kind == TargetKind::kService &&
                                            target->service == call->service;
    if (fits) {
      candidates.push_back(agent);
    }
  }
  return candidates;
}

void Entry::ServeChat(RequestContext& context) {
  ChatAnswerWriter writer(context, this->process.NextAttempt(),
                          std::chrono::duration_cast<std::chrono::seconds>(
                              this->process.clock.WallNow().time_since_epoch())
                              .count());
  Problem problem{.reason = Reason::kNoTarget, .detail = "no agent is known"};
  std::set<TargetId> tried;
  for (unsigned attempt = 0; attempt < kMaxAttempts; ++attempt) {
    std::vector<KnownAgent> candidates = this->Candidates(context);
    std::erase_if(candidates, [&](const KnownAgent& agent) {
      return tried.contains(agent.target);
    });
    if (candidates.empty()) {
      break;
    }
    const KnownAgent& agent =
        candidates[this->process.random.Below(candidates.size())];
    tried.insert(agent.target);
    std::string finish_reason;
    const Outcome outcome =
        this->RunAttempt(context, agent, writer, finish_reason);
    if (outcome.reason == Reason::kNone) {
      writer.Finish(finish_reason);
      this->process.metrics.Count(Event::kRequestCompleted);
      return;
    }
    problem = {.reason = outcome.reason,
               .executed = Combine(problem.executed, outcome.executed),
               .detail = outcome.detail,
               .attempts = attempt + 1,
               .retry_after = outcome.retry_after};
    if (outcome.reason == Reason::kTargetLeaving) {
      this->directory.MarkLeaving(agent.target, agent.address);
    }
    if (outcome.reason == Reason::kCallerGone ||
        outcome.reason == Reason::kDeadlineExceeded) {
      break;
    }
    this->process.metrics.CountRetry(outcome.reason);
  }
  this->process.metrics.CountRefusal(problem.reason);
  LogInfo("request_failed", {{"reason", CodeOf(problem.reason)},
                             {"executed", ToString(problem.executed)},
                             {"attempts", problem.attempts},
                             {"detail", problem.detail}});
  writer.Fail(problem);
}

Outcome Entry::RunAttempt(const RequestContext& context,
                          const KnownAgent& agent,
                          ChatAnswerWriter& writer,
                          std::string& finish_reason) {
  const auto& chat = std::get<ChatRequest>(context.request);
  const AttemptId id = this->process.NextAttempt();
  ServeRequest request;
  request.attempt = id;
  request.owner = context.owner;
  request.model = chat.model;
  request.adapter = chat.adapter;
  request.priority = context.priority;
  request.body = context.exchange->Request().body;
  request.remaining = Remaining(this->process.clock.Now(), context.deadline);
  request.fingerprint = context.fingerprint;
  request.resume_tokens = writer.Tokens();
  request.config_version = context.config->version;
  request.prompt_tokens = chat.prompt_tokens;
  request.max_tokens = chat.max_tokens;
  this->process.metrics.Count(Event::kAttemptStarted);
  if (!request.resume_tokens.empty()) {
    this->process.metrics.Count(Event::kStreamResumed);
  }
  std::uint32_t expected = static_cast<std::uint32_t>(writer.Tokens().size());
  bool whole = false;
  const auto stream =
      this->process.agents.Serve(agent.address, std::move(request));
  context.exchange->OnGone([this, stream, address = agent.address] {
    stream->Close();
    this->process.agents.Cancel(address, stream->Id());
  });
  while (true) {
    AttemptEvent event = stream->Next(context.deadline);
    if (auto* chunk = std::get_if<ChunkMessage>(&event)) {
      if (chunk->attempt != id || chunk->sequence != expected || whole) {
        this->process.metrics.Count(Event::kChunkDropped);
        continue;
      }
      ++expected;
      if (chunk->last) {
        whole = true;
        finish_reason = chunk->finish_reason;
        continue;
      }
      if (writer.Tokens().empty()) {
        this->process.metrics.RecordFirstTokenTime(this->process.clock.Now() -
                                                   context.received);
      }
      (void)writer.WriteToken(chunk->text);
      continue;
    }
    Outcome outcome = std::get<Outcome>(std::move(event));
    if (context.exchange->IsGone()) {
      outcome.reason = Reason::kCallerGone;
    } else if (outcome.reason == Reason::kNone && !whole) {
      outcome.reason = Reason::kBrokenStream;
    }
    if (outcome.reason == Reason::kDeadlineExceeded) {
      this->process.agents.Cancel(agent.address, id);
    }
    return outcome;
  }
}

std::vector<KnownAgent> Entry::ServiceCandidates(
    const RequestContext& context) const {
  const auto& call = std::get<ServiceRequest>(context.request);
  std::vector<KnownAgent> candidates = this->Candidates(context);
  const ServiceConfig* service =
      FindService(context.config->configuration, call.service);
  std::uint64_t seed = context.fingerprint.value;
  if (!call.idempotent && service != nullptr) {
    std::erase_if(candidates, [&](const KnownAgent& agent) {
      return agent.region != service->home_region;
    });
    seed = Hash64(call.key) % service->shards;
  }
  // The same order at every entry, so that repeats of a key meet at one agent.
  std::ranges::sort(candidates, {}, [seed](const KnownAgent& agent) {
    return Hash64(agent.target.value, seed);
  });
  return candidates;
}

void Entry::ServeService(RequestContext& context) {
  const auto& call = std::get<ServiceRequest>(context.request);
  Problem problem{.reason = Reason::kNoTarget, .detail = "no agent is known"};
  for (const KnownAgent& agent : this->ServiceCandidates(context)) {
    const Outcome outcome = this->RunInvocation(context, agent);
    if (outcome.reason == Reason::kNone) {
      this->process.metrics.Count(Event::kRequestCompleted);
      context.exchange->Respond(
          {.status = outcome.status, .body = outcome.body});
      return;
    }
    problem = {.reason = outcome.reason,
               .executed = Combine(problem.executed, outcome.executed),
               .detail = outcome.detail,
               .attempts = problem.attempts + 1,
               .retry_after = outcome.retry_after};
    if (outcome.reason == Reason::kTargetLeaving) {
      this->directory.MarkLeaving(agent.target, agent.address);
    }
    const bool may_repeat =
        outcome.executed == Executed::kNo || call.idempotent;
    if (!may_repeat || !IsWorthRetrying(outcome.reason) ||
        problem.attempts >= kMaxAttempts) {
      break;
    }
    this->process.metrics.CountRetry(outcome.reason);
  }
  this->Refuse(context, problem);
}

Outcome Entry::RunInvocation(const RequestContext& context,
                             const KnownAgent& agent) {
  const auto& call = std::get<ServiceRequest>(context.request);
  Invocation invocation;
  invocation.attempt = this->process.NextAttempt();
  invocation.owner = context.owner;
  invocation.service = call.service;
  invocation.operation = call.operation;
  invocation.idempotency_key = call.idempotent ? "" : call.key;
  invocation.body = context.exchange->Request().body;
  invocation.remaining = Remaining(this->process.clock.Now(), context.deadline);
  invocation.fingerprint = context.fingerprint;
  invocation.config_version = context.config->version;
  this->process.metrics.Count(Event::kAttemptStarted);
  const auto stream =
      this->process.agents.Invoke(agent.address, std::move(invocation));
  AttemptEvent event = stream->Next(context.deadline);
  if (auto* outcome = std::get_if<Outcome>(&event);
      outcome != nullptr && outcome->attempt == stream->Id()) {
    return std::move(*outcome);
  }
  Outcome crossed;
  crossed.reason = Reason::kCrossedAnswer;
  crossed.executed = Executed::kUnknown;
  return crossed;
}

}  // namespace pimentospar
