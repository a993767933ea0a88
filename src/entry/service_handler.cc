#include "entry/service_handler.h"

#include <algorithm>

#include "pimentospar/digest.h"

namespace pimentospar {

namespace {

// Estimate of the time that a target needs for a call.
constexpr Duration kCallWork = std::chrono::milliseconds(1);

}  // namespace

ServiceHandler::ServiceHandler(EntryParts parts, const RequestContext& context)
    : parts(parts),
      context(context),
      call(std::get<ServiceRequest>(context.request)),
      attempts(parts, context, this->call.idempotent) {}

std::variant<OutcomeMessage, Problem> ServiceHandler::Run() {
  while (true) {
    if (auto refused = this->attempts.Admit()) {
      return std::move(*refused);
    }
    auto choice = this->Choose();
    if (auto* problem = std::get_if<Problem>(&choice)) {
      return std::move(*problem);
    }
    const Route& route = std::get<Route>(choice);
    const AttemptId id = this->parts.process.NextAttempt();
    this->attempts.OnSent(route, id, kCallWork);
    OutcomeMessage outcome = this->RunAttempt(route, id);
    if (outcome.reason == Reason::kNone) {
      this->attempts.OnSucceeded(route, id, outcome, false);
      return outcome;
    }
    if (auto problem = this->attempts.OnFailed(route, id, outcome)) {
      return std::move(*problem);
    }
  }
}

std::variant<Route, Problem> ServiceHandler::Choose() {
  if (!this->call.idempotent) {
    return this->attempts.ChooseFirst(this->AgentsForKey());
  }
  ChoiceRequest request;
  request.model = ServiceAsModel(this->call.service);
  request.bytes = this->context.exchange->Request().body.size();
  // A service is never loaded, so there is nothing to wait for.
  if (!this->parts.routing.HasCopy(request.model)) {
    return this->attempts.ChooseFirst({});
  }
  return this->attempts.Choose(request);
}

std::vector<KnownAgent> ServiceHandler::AgentsForKey() const {
  const Configuration& configuration = this->context.config->configuration;
  const ServiceConfig* service = FindService(configuration, this->call.service);
  if (service == nullptr) {
    return {};
  }
  std::vector<KnownAgent> agents = this->parts.directory.Agents();
  std::erase_if(agents, [&](const KnownAgent& agent) {
    const TargetConfig* target = FindTarget(configuration, agent.target);
    return agent.is_leaving || agent.region != service->home_region ||
           target == nullptr || target->kind != TargetKind::kService ||
           target->service != this->call.service;
  });
  const std::uint64_t shard = Hash64(this->call.key) % service->shards;
  // The same order at every entry, so that repeats of a key meet at one agent.
  std::ranges::sort(agents, {}, [shard](const KnownAgent& agent) {
    return Hash64(agent.target.value, shard);
  });
  return agents;
}

OutcomeMessage ServiceHandler::RunAttempt(const Route& route, AttemptId id) {
  Invocation invocation;
  invocation.attempt = id;
  invocation.owner = this->context.owner;
  invocation.service = this->call.service;
  invocation.operation = this->call.operation;
  invocation.idempotency_key = this->call.idempotent ? "" : this->call.key;
  invocation.body = this->context.exchange->Request().body;
  invocation.remaining = RemainingAtTarget(this->parts.process.clock.Now(),
                                           this->context.deadline);
  invocation.fingerprint = this->context.fingerprint;
  invocation.config_version = this->context.config->version;
  invocation.struck = this->attempts.IsStruck();
  const auto stream = this->parts.process.agents.Invoke(route.agent.address,
                                                        std::move(invocation));
  OutcomeMessage silent;
  silent.attempt = id;
  silent.reason = Reason::kDeadlineExceeded;
  silent.executed = Executed::kUnknown;
  silent.detail = "no answer in time";
  OutcomeMessage outcome = AwaitOutcome(
      *stream, this->context.deadline + kSettleTime, std::move(silent));
  if (outcome.attempt == id) {
    return outcome;
  }
  OutcomeMessage crossed;
  crossed.attempt = id;
  crossed.reason = Reason::kCrossedAnswer;
  crossed.executed = Executed::kUnknown;
  return crossed;
}

}  // namespace pimentospar
