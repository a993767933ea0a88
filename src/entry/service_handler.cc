#include "entry/service_handler.h"

#include <algorithm>

#include "pimentospar/digest.h"

namespace pimentospar {

namespace {

constexpr Duration kEstimatedCallTime = std::chrono::milliseconds(1);

}  // namespace

ServiceHandler::ServiceHandler(EntryDependencies dependencies,
                               const RequestContext& context)
    : dependencies(dependencies),
      context(context),
      call(std::get<ServiceRequest>(context.request)),
      attempts(dependencies, context, this->call.idempotent) {}

std::variant<OutcomeMessage, RequestError> ServiceHandler::Run() {
  while (true) {
    if (auto refused = this->attempts.CheckQuarantine()) {
      return std::move(*refused);
    }
    auto choice = this->ChooseTarget();
    if (auto* error = std::get_if<RequestError>(&choice)) {
      return std::move(*error);
    }
    const AttemptRoute& route = std::get<AttemptRoute>(choice);
    const AttemptId id = this->dependencies.process.NextAttempt();
    this->attempts.OnSent(route, id, kEstimatedCallTime);
    OutcomeMessage outcome = this->RunAttempt(route, id);
    if (outcome.reason == Reason::kNone) {
      this->attempts.OnSucceeded(route, id, outcome, false);
      return outcome;
    }
    if (auto error = this->attempts.OnFailed(route, id, outcome)) {
      return std::move(*error);
    }
  }
}

std::variant<AttemptRoute, RequestError> ServiceHandler::ChooseTarget() {
  if (!this->call.idempotent) {
    return this->attempts.ChooseFirstUntried(this->AgentsForKey());
  }
  ChoiceRequest request;
  request.model = ServiceAsModel(this->call.service);
  request.bytes = this->context.exchange->Request().body.size();
  // Services are not loaded on demand, so the request does not wait.
  if (!this->dependencies.router.HasCopy(request.model)) {
    return this->attempts.ChooseFirstUntried({});
  }
  return this->attempts.ChooseTarget(request);
}

std::vector<KnownAgent> ServiceHandler::AgentsForKey() const {
  const Configuration& configuration = this->context.config->configuration;
  const ServiceConfig* service = FindService(configuration, this->call.service);
  if (service == nullptr) {
    return {};
  }
  std::vector<KnownAgent> agents = this->dependencies.directory.Agents();
  std::erase_if(agents, [&](const KnownAgent& agent) {
    const TargetConfig* target = FindTarget(configuration, agent.target);
    return agent.is_leaving || agent.region != service->home_region ||
           target == nullptr || target->kind != TargetKind::kService ||
           target->service != this->call.service;
  });
  const std::uint64_t shard = Hash64(this->call.key) % service->shards;
  // All entries use the same order, so that requests with the same key reach
  // the same agent.
  std::ranges::sort(agents, {}, [shard](const KnownAgent& agent) {
    return Hash64(agent.target.value, shard);
  });
  return agents;
}

OutcomeMessage ServiceHandler::RunAttempt(const AttemptRoute& route,
                                          AttemptId id) {
  Invocation invocation;
  invocation.attempt = id;
  invocation.owner = this->context.owner;
  invocation.service = this->call.service;
  invocation.operation = this->call.operation;
  invocation.idempotency_key = this->call.idempotent ? "" : this->call.key;
  invocation.body = this->context.exchange->Request().body;
  invocation.remaining = RemainingTimeForTarget(
      this->dependencies.process.clock.Now(), this->context.deadline);
  invocation.fingerprint = this->context.fingerprint;
  invocation.config_version = this->context.config->version;
  invocation.struck = this->attempts.HasStrike();
  const auto stream = this->dependencies.process.agents.Invoke(
      route.agent.address, std::move(invocation));
  OutcomeMessage timed_out;
  timed_out.attempt = id;
  timed_out.reason = Reason::kDeadlineExceeded;
  timed_out.executed = Executed::kUnknown;
  timed_out.detail = "no answer in time";
  OutcomeMessage outcome =
      AwaitOutcome(*stream, this->context.deadline + kOutcomeGracePeriod,
                   std::move(timed_out));
  if (outcome.attempt == id) {
    return outcome;
  }
  OutcomeMessage mismatched;
  mismatched.attempt = id;
  mismatched.reason = Reason::kCrossedAnswer;
  mismatched.executed = Executed::kUnknown;
  return mismatched;
}

}  // namespace pimentospar
