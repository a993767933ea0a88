#include "entry/request_attempts.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "net/log_line.h"
#include "pimentospar/response.h"

namespace pimentospar {

namespace {

// If a target has the model in memory, its load report arrives within this
// time; after that, the request is sent to an agent that loads the model.
constexpr std::chrono::milliseconds kCopyDiscoveryTime{300};
constexpr std::chrono::milliseconds kCopyPollInterval{50};
constexpr std::chrono::seconds kDefaultRetryAfter{1};
// Part of the remaining time that is reserved for a target's refusal to arrive.
constexpr std::chrono::milliseconds kResponseReserve{100};

AttemptResult ToAttemptResult(Reason reason) {
  switch (reason) {
    case Reason::kNone:
      return AttemptResult::kSucceeded;
    case Reason::kCallerGone:
    case Reason::kCallerTooSlow:
    case Reason::kDeadlineExceeded:
      return AttemptResult::kCancelled;
    case Reason::kTargetUnreachable:
    case Reason::kTargetCrashed:
    case Reason::kTargetError:
    case Reason::kBrokenStream:
    case Reason::kCrossedAnswer:
      return AttemptResult::kFailed;
    default:
      return AttemptResult::kRefused;
  }
}

}  // namespace

std::chrono::milliseconds RemainingTime(TimePoint now, TimePoint deadline) {
  return std::max(
      std::chrono::milliseconds(0),
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now));
}

std::chrono::milliseconds RemainingTimeForTarget(TimePoint now,
                                                 TimePoint deadline) {
  const auto remaining = RemainingTime(now, deadline);
  return remaining - std::min(kResponseReserve, remaining / 4);
}

OutcomeMessage AwaitOutcome(AttemptStream& stream,
                            TimePoint until,
                            OutcomeMessage fallback) {
  while (true) {
    AttemptEvent event = stream.Next(until);
    auto* outcome = std::get_if<OutcomeMessage>(&event);
    if (outcome == nullptr) {
      continue;
    }
    return outcome->reason == Reason::kDeadlineExceeded ? std::move(fallback)
                                                        : std::move(*outcome);
  }
}

std::optional<RequestError> RequestAttempts::CheckQuarantine() {
  const QuarantineDecision decision =
      this->dependencies.router.CheckQuarantine(this->context.fingerprint);
  if (const auto* refused = std::get_if<RefuseQuarantined>(&decision)) {
    return this->MakeError(Reason::kRequestQuarantined,
                           "the request was in flight during " +
                               std::to_string(refused->strikes) +
                               " target crashes");
  }
  const auto* isolated = std::get_if<RunIsolated>(&decision);
  this->has_strike = isolated != nullptr;
  if (isolated == nullptr || isolated->delay <= Duration(0)) {
    return std::nullopt;
  }
  const TimePoint start =
      this->dependencies.process.clock.Now() + isolated->delay;
  if (start >= this->context.deadline) {
    return this->MakeError(
        Reason::kDeadlineExceeded,
        "the delay after target crashes exceeds the deadline");
  }
  boost::this_fiber::sleep_until(start);
  // Other entries may have reported strikes during the delay.
  return this->CheckQuarantine();
}

std::variant<AttemptRoute, RequestError> RequestAttempts::ChooseTarget(
    ChoiceRequest request) {
  request.tried = this->tried;
  request.repeatable = this->idempotent;
  request.has_strike = this->has_strike;
  while (true) {
    const TargetChoice choice = this->dependencies.router.Pick(request);
    if (std::holds_alternative<NoEligibleTarget>(choice)) {
      return this->NoTargetError();
    }
    const auto* picked = std::get_if<PickedTarget>(&choice);
    if (picked == nullptr) {
      if (this->WaitForCopy(request.model)) {
        continue;
      }
      if (auto loading = this->ChooseAgentForLoad(request.model)) {
        return *loading;
      }
      if (this->context.exchange->IsDisconnected()) {
        return this->MakeError(Reason::kCallerGone, "");
      }
      RequestError error = this->MakeError(
          Reason::kModelLoading,
          "no target has loaded model '" + request.model.value + "'");
      error.retry_after = kDefaultRetryAfter;
      return error;
    }
    if (auto agent = this->dependencies.directory.Find(picked->target)) {
      return AttemptRoute{*agent, picked->trial, picked->loads_adapter};
    }
    // The agent is no longer in the directory, but the router has not been
    // updated yet.
    this->dependencies.router.OnTargetLeaving(picked->target);
  }
}

std::variant<AttemptRoute, RequestError> RequestAttempts::ChooseFirstUntried(
    std::span<const KnownAgent> ordered) {
  for (const KnownAgent& agent : ordered) {
    if (std::ranges::find(this->tried, agent.target) == this->tried.end()) {
      return AttemptRoute{agent};
    }
  }
  return this->NoTargetError();
}

std::optional<AttemptRoute> RequestAttempts::ChooseAgentForLoad(
    const ModelId& id) {
  const ModelConfig* model = FindModel(this->context.config->configuration, id);
  if (model == nullptr || this->context.exchange->IsDisconnected()) {
    return std::nullopt;
  }
  for (const KnownAgent& agent :
       this->dependencies.router.LoadCandidates(*model)) {
    if (std::ranges::find(this->tried, agent.target) == this->tried.end()) {
      return AttemptRoute{agent};
    }
  }
  return std::nullopt;
}

bool RequestAttempts::WaitForCopy(const ModelId& model) {
  if (!this->dependencies.router.TryBeginWait()) {
    return false;
  }
  const TimePoint last_check =
      std::min(this->context.deadline - kCopyPollInterval,
               this->dependencies.process.clock.Now() + kCopyDiscoveryTime);
  bool found = false;
  while (!found && !this->context.exchange->IsDisconnected() &&
         this->dependencies.process.clock.Now() < last_check) {
    boost::this_fiber::sleep_for(kCopyPollInterval);
    found = this->dependencies.router.HasCopy(model);
  }
  this->dependencies.router.EndWait();
  return found;
}

void RequestAttempts::OnSent(const AttemptRoute& route,
                             AttemptId attempt,
                             Duration work) {
  this->dependencies.process.metrics.Count(CountedEvent::kAttemptStarted);
  ++this->total_attempts;
  ++this->counted_attempts;
  this->tried.push_back(route.agent.target);
  this->dependencies.router.OnSent({attempt, route.agent.target, work,
                                    this->has_strike, route.loads_adapter,
                                    route.trial});
}

void RequestAttempts::OnSucceeded(const AttemptRoute& route,
                                  AttemptId attempt,
                                  const OutcomeMessage& outcome,
                                  bool slow) {
  this->dependencies.router.OnEnd(
      attempt, slow ? AttemptResult::kSlow : AttemptResult::kSucceeded);
  this->dependencies.router.OnOutcome(route.agent.target, outcome);
  this->dependencies.router.OnCompleted(this->context.fingerprint);
}

std::optional<RequestError> RequestAttempts::OnFailed(
    const AttemptRoute& route,
    AttemptId attempt,
    const OutcomeMessage& outcome) {
  this->dependencies.router.OnEnd(attempt, ToAttemptResult(outcome.reason));
  this->dependencies.router.OnOutcome(route.agent.target, outcome);
  if (outcome.reason == Reason::kTargetLeaving) {
    this->dependencies.directory.MarkLeaving(route.agent.target,
                                             route.agent.address);
    this->dependencies.router.OnTargetLeaving(route.agent.target);
    --this->counted_attempts;
  }
  this->executed = CombineExecuted(this->executed, outcome.executed);
  this->last_error = this->MakeError(outcome.reason, outcome.detail);
  this->last_error->retry_after = outcome.retry_after;
  const RetryDecision decision = this->dependencies.router.DecideRetry(
      {.reason = outcome.reason,
       .executed = this->executed,
       .idempotent = this->idempotent,
       .attempts = std::max(this->counted_attempts, 1U),
       .total_attempts = this->total_attempts,
       .deadline = this->context.deadline});
  if (const auto* give_up = std::get_if<GiveUp>(&decision)) {
    RequestError error = *this->last_error;
    error.reason = give_up->reason;
    return error;
  }
  this->dependencies.process.metrics.CountRetry(outcome.reason);
  LogInfo("attempt_retried", {{"reason", CodeOf(outcome.reason)},
                              {"target", route.agent.target.value},
                              {"executed", ToString(outcome.executed)}});
  const Duration delay = std::get<RetryElsewhere>(decision).delay;
  if (delay > Duration(0)) {
    boost::this_fiber::sleep_for(delay);
  }
  if (this->context.exchange->IsDisconnected()) {
    return this->MakeError(Reason::kCallerGone, "");
  }
  return std::nullopt;
}

RequestError RequestAttempts::MakeError(Reason reason,
                                        std::string detail) const {
  return {.reason = reason,
          .executed = this->executed,
          .detail = std::move(detail),
          .attempts = this->total_attempts};
}

RequestError RequestAttempts::NoTargetError() const {
  if (this->last_error) {
    return *this->last_error;
  }
  RequestError error = this->MakeError(
      Reason::kNoTarget,
      this->has_strike ? "each target already runs a request with a strike"
                       : "no eligible agent");
  error.retry_after = kDefaultRetryAfter;
  return error;
}

}  // namespace pimentospar
