#include <algorithm>

#include "pimentospar/routing/target_selector.h"

// What a target selector learns from the attempts and from reported loads.
namespace pimentospar {

namespace {

// Weight of one measured time in the latency factor of a target.
constexpr double kLatencyFactorGain = 0.2;
constexpr double kMaxLatencyFactor = 8;
// Added to actual and expected times, so that noise in short ones does not
// dominate the latency factor.
constexpr std::chrono::milliseconds kLatencyFloor{20};

}  // namespace

void TargetSelector::OnSent(AttemptId attempt,
                            const SelectedTarget& selected,
                            const TargetQuery& query) {
  const auto found = this->targets.find(selected.target);
  if (found == this->targets.end()) {
    return;
  }
  KnownTarget& target = found->second;
  const TimePoint now = this->clock.Now();
  ++target.in_flight;
  target.pending_prompt_tokens += selected.new_tokens;
  if (selected.trial) {
    target.health.OnTrialSent(now);
  }
  if (!query.prefix.empty()) {
    // Unknown until the response; 0 would count as a cache miss.
    constexpr std::uint32_t kUnknownCachedTokens = 1;
    target.prefixes.OnUse(PrefixScope(query.copy), query.prefix,
                          kUnknownCachedTokens, now);
  }
  if (this->options.adaptive_homes) {
    this->LearnPrefixUse(target, selected, query);
  }
  this->in_flight_attempts[attempt] = {
      selected.target, now,  selected.expected_ttfb, selected.new_tokens,
      selected.trial,  false};
  if (this->PredictsCostOf(query)) {
    this->OnEngineSent(target, attempt, selected, query);
  }
}

void TargetSelector::OnFirstByte(AttemptId attempt) {
  const auto sent = this->in_flight_attempts.find(attempt);
  if (sent == this->in_flight_attempts.end() || sent->second.has_first_byte) {
    return;
  }
  sent->second.has_first_byte = true;
  const auto found = this->targets.find(sent->second.target);
  if (found == this->targets.end()) {
    return;
  }
  KnownTarget& target = found->second;
  target.responded_at = this->clock.Now();
  target.pending_prompt_tokens -= std::min<std::uint64_t>(
      target.pending_prompt_tokens, sent->second.new_tokens);
  const Duration actual_ttfb = this->clock.Now() - sent->second.sent_at;
  const Duration network_cost = this->NetworkCost(target.description);
  const double ratio =
      static_cast<double>(
          (std::max(actual_ttfb - network_cost, Duration(0)) + kLatencyFloor)
              .count()) /
      static_cast<double>((sent->second.expected_ttfb + kLatencyFloor).count());
  // The expected time already includes the latency factor.
  target.latency_factor = std::clamp(
      target.latency_factor *
          (1 + kLatencyFactorGain * (std::clamp(ratio, 0.25, 4.0) - 1)),
      1.0, kMaxLatencyFactor);
  target.latency_measured_at = this->clock.Now();
}

void TargetSelector::OnEvent(const TargetId& target, Duration interval) {
  const auto found = this->targets.find(target);
  if (found != this->targets.end()) {
    found->second.event_interval.OnEvent(interval, this->clock.Now());
    found->second.responded_at = this->clock.Now();
    if (this->options.predicted_cost) {
      this->OnEngineEvent(found->second, interval);
    }
  }
}

void TargetSelector::OnLoadReport(const TargetId& target,
                                  const ReportedLoad& load) {
  const auto found = this->targets.find(target);
  if (found == this->targets.end()) {
    return;
  }
  KnownTarget& known = found->second;
  const double total = load.running + load.waiting;
  const double others = std::max(0.0, total - known.in_flight);
  known.others_waiting = std::min<double>(others, load.waiting);
  known.others_running = others;
  known.load_reported_at = this->clock.Now();
  known.responded_at = known.load_reported_at;
  if (load.slowdown) {
    known.engine.slowdown.OnReport(*load.slowdown, known.load_reported_at);
  }
}

bool TargetSelector::IsResponsive(const TargetId& target) const {
  const auto found = this->targets.find(target);
  return found != this->targets.end() && found->second.responded_at &&
         this->clock.Now() - *found->second.responded_at <
             this->options.responsive_time;
}

void TargetSelector::OnEnd(AttemptId attempt, AttemptOutcome outcome) {
  const auto entry = this->in_flight_attempts.extract(attempt);
  if (entry.empty()) {
    return;
  }
  const InFlightAttempt& sent = entry.mapped();
  const auto found = this->targets.find(sent.target);
  if (found == this->targets.end()) {
    return;
  }
  KnownTarget& target = found->second;
  target.in_flight -= std::min<std::uint32_t>(target.in_flight, 1);
  this->OnEngineEnd(target, attempt, outcome);
  if (!sent.has_first_byte) {
    target.pending_prompt_tokens -=
        std::min<std::uint64_t>(target.pending_prompt_tokens, sent.new_tokens);
  }
  const TimePoint now = this->clock.Now();
  switch (outcome) {
    case AttemptOutcome::kSuccess:
      target.health.OnSuccess(sent.trial);
      break;
    case AttemptOutcome::kError:
      target.health.OnSlow(now, this->random);
      break;
    case AttemptOutcome::kNoValidResponse:
      target.health.OnFailed(now, this->random);
      break;
    case AttemptOutcome::kRefused:
    case AttemptOutcome::kCancelled:
      if (sent.trial) {
        target.health.OnTrialInconclusive();
      }
      break;
  }
}

}  // namespace pimentospar
