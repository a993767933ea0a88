#include "entry/attempts.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "net/log_line.h"
#include "pimentospar/response.h"

namespace pimentospar {

namespace {

// A copy that is loaded somewhere shows in the answers of the agents within
// this time; after it the request asks an agent to load the model.
constexpr std::chrono::milliseconds kCopyNewsTime{300};
constexpr std::chrono::milliseconds kLoadPoll{50};
constexpr std::chrono::seconds kRetryLater{1};
// Part of the deadline that a target leaves to the way back of its refusal.
constexpr std::chrono::milliseconds kAnswerReserve{100};

AttemptResult EndOf(Reason reason) {
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

std::chrono::milliseconds Remaining(TimePoint now, TimePoint deadline) {
  return std::max(
      std::chrono::milliseconds(0),
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now));
}

std::chrono::milliseconds RemainingAtTarget(TimePoint now, TimePoint deadline) {
  const auto remaining = Remaining(now, deadline);
  return remaining - std::min(kAnswerReserve, remaining / 4);
}

OutcomeMessage AwaitOutcome(AttemptStream& stream,
                            TimePoint until,
                            OutcomeMessage otherwise) {
  while (true) {
    AttemptEvent event = stream.Next(until);
    auto* outcome = std::get_if<OutcomeMessage>(&event);
    if (outcome == nullptr) {
      continue;
    }
    return outcome->reason == Reason::kDeadlineExceeded ? std::move(otherwise)
                                                        : std::move(*outcome);
  }
}

std::optional<Problem> Attempts::Admit() {
  const QuarantineDecision verdict =
      this->parts.routing.Judge(this->context.fingerprint);
  if (const auto* refused = std::get_if<RefuseQuarantined>(&verdict)) {
    return this->Failure(Reason::kRequestQuarantined,
                         "the request was in flight at " +
                             std::to_string(refused->strikes) +
                             " crashes of targets");
  }
  const auto* isolated = std::get_if<RunIsolated>(&verdict);
  this->struck = isolated != nullptr;
  if (isolated == nullptr || isolated->delay <= Duration(0)) {
    return std::nullopt;
  }
  const TimePoint start = this->parts.process.clock.Now() + isolated->delay;
  if (start >= this->context.deadline) {
    return this->Failure(Reason::kDeadlineExceeded,
                         "held back after crashes of targets");
  }
  boost::this_fiber::sleep_until(start);
  // Strikes at other entries may have arrived in the meantime.
  return this->Admit();
}

std::variant<Route, Problem> Attempts::Choose(ChoiceRequest request) {
  request.tried = this->tried;
  request.repeatable = this->idempotent;
  request.has_strike = this->struck;
  while (true) {
    const TargetChoice choice = this->parts.routing.Pick(request);
    if (std::holds_alternative<NoEligibleTarget>(choice)) {
      return this->NoTarget();
    }
    const auto* picked = std::get_if<PickedTarget>(&choice);
    if (picked == nullptr) {
      if (this->WaitForCopy(request.model)) {
        continue;
      }
      if (auto loading = this->ChooseLoader(request.model)) {
        return *loading;
      }
      if (this->context.exchange->IsDisconnected()) {
        return this->Failure(Reason::kCallerGone, "");
      }
      Problem problem = this->Failure(
          Reason::kModelLoading, "no target has '" + request.model.value + "'");
      problem.retry_after = kRetryLater;
      return problem;
    }
    if (auto agent = this->parts.directory.Find(picked->target)) {
      return Route{*agent, picked->trial, picked->loads_adapter};
    }
    // The directory is newer than what the picker was told.
    this->parts.routing.OnLeaving(picked->target);
  }
}

std::variant<Route, Problem> Attempts::ChooseFirst(
    std::span<const KnownAgent> ordered) {
  for (const KnownAgent& agent : ordered) {
    if (std::ranges::find(this->tried, agent.target) == this->tried.end()) {
      return Route{agent};
    }
  }
  return this->NoTarget();
}

std::optional<Route> Attempts::ChooseLoader(const ModelId& id) {
  const ModelConfig* model = FindModel(this->context.config->configuration, id);
  if (model == nullptr || this->context.exchange->IsDisconnected()) {
    return std::nullopt;
  }
  for (const KnownAgent& agent : this->parts.routing.LoadCandidates(*model)) {
    if (std::ranges::find(this->tried, agent.target) == this->tried.end()) {
      return Route{agent};
    }
  }
  return std::nullopt;
}

bool Attempts::WaitForCopy(const ModelId& model) {
  if (!this->parts.routing.TryWait()) {
    return false;
  }
  const TimePoint last_check =
      std::min(this->context.deadline - kLoadPoll,
               this->parts.process.clock.Now() + kCopyNewsTime);
  bool found = false;
  while (!found && !this->context.exchange->IsDisconnected() &&
         this->parts.process.clock.Now() < last_check) {
    boost::this_fiber::sleep_for(kLoadPoll);
    found = this->parts.routing.HasCopy(model);
  }
  this->parts.routing.EndWait();
  return found;
}

void Attempts::OnSent(const Route& route, AttemptId attempt, Duration work) {
  this->parts.process.metrics.Count(CountedEvent::kAttemptStarted);
  ++this->tries;
  ++this->counted;
  this->tried.push_back(route.agent.target);
  this->parts.routing.OnSent({attempt, route.agent.target, work, this->struck,
                              route.loads_adapter, route.trial});
}

void Attempts::OnSucceeded(const Route& route,
                           AttemptId attempt,
                           const OutcomeMessage& outcome,
                           bool slow) {
  this->parts.routing.OnEnd(
      attempt, slow ? AttemptResult::kSlow : AttemptResult::kSucceeded);
  this->parts.routing.OnOutcome(route.agent.target, outcome);
  this->parts.routing.OnCompleted(this->context.fingerprint);
}

std::optional<Problem> Attempts::OnFailed(const Route& route,
                                          AttemptId attempt,
                                          const OutcomeMessage& outcome) {
  this->parts.routing.OnEnd(attempt, EndOf(outcome.reason));
  this->parts.routing.OnOutcome(route.agent.target, outcome);
  if (outcome.reason == Reason::kTargetLeaving) {
    this->parts.directory.MarkLeaving(route.agent.target, route.agent.address);
    this->parts.routing.OnLeaving(route.agent.target);
    --this->counted;
  }
  this->executed = CombineExecuted(this->executed, outcome.executed);
  this->last = this->Failure(outcome.reason, outcome.detail);
  this->last->retry_after = outcome.retry_after;
  const RetryDecision decision =
      this->parts.routing.Decide({.reason = outcome.reason,
                                  .executed = this->executed,
                                  .idempotent = this->idempotent,
                                  .attempts = std::max(this->counted, 1U),
                                  .total_attempts = this->tries,
                                  .deadline = this->context.deadline});
  if (const auto* give_up = std::get_if<GiveUp>(&decision)) {
    Problem problem = *this->last;
    problem.reason = give_up->reason;
    return problem;
  }
  this->parts.process.metrics.CountRetry(outcome.reason);
  LogInfo("attempt_retried", {{"reason", CodeOf(outcome.reason)},
                              {"target", route.agent.target.value},
                              {"executed", ToString(outcome.executed)}});
  const Duration delay = std::get<RetryElsewhere>(decision).delay;
  if (delay > Duration(0)) {
    boost::this_fiber::sleep_for(delay);
  }
  if (this->context.exchange->IsDisconnected()) {
    return this->Failure(Reason::kCallerGone, "");
  }
  return std::nullopt;
}

Problem Attempts::Failure(Reason reason, std::string detail) const {
  return {.reason = reason,
          .executed = this->executed,
          .detail = std::move(detail),
          .attempts = this->tries};
}

Problem Attempts::NoTarget() const {
  if (this->last) {
    return *this->last;
  }
  Problem problem = this->Failure(
      Reason::kNoTarget, this->struck
                             ? "each target runs another request with a strike"
                             : "no agent is known");
  problem.retry_after = kRetryLater;
  return problem;
}

}  // namespace pimentospar
