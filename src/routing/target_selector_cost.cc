#include <algorithm>
#include <cmath>

#include "pimentospar/routing/prompt_split.h"
#include "pimentospar/routing/target_selector.h"

// The selection of an engine by predicted cost, and what is learned for it.
namespace pimentospar {

namespace {

// Weight of one request in the moving averages.
constexpr double kRequestGain = 0.05;
// A run that should have begun waits for prompts of which this entry does not
// know; it counts at least as much as half a chunk.
constexpr double kMinPendingTokens = 1024;
constexpr double kMaxRecentFactor = 3;
constexpr std::chrono::milliseconds kLatencyHalfLife{4000};
// Deviations of costs within which candidates count as similar: a base, and
// this share of the work that arrived since the loads were reported.
constexpr double kBaseDeviationMs = 4;
constexpr double kUnseenWorkShare = 0.2;
constexpr std::chrono::milliseconds kMaxReportAge{1500};

double Milliseconds(Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

Duration FromMilliseconds(double ms) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(ms));
}

void UpdateShortest(Duration& shortest, Duration limit) {
  if (limit > Duration(0) && (shortest == Duration(0) || limit < shortest)) {
    shortest = limit;
  }
}

void Follow(double& average, double sample) {
  average += kRequestGain * (sample - average);
}

}  // namespace

const TargetSelector::ServiceState& TargetSelector::StateOf(
    const ServiceId& service) const {
  static const ServiceState initial;
  const auto found = this->service_states.find(service);
  return found == this->service_states.end() ? initial : found->second;
}

double TargetSelector::PendingTokens(const EngineState& engine,
                                     double ms_per_token,
                                     TimePoint now) {
  double pending = 0;
  TimePoint free_at{};
  for (const EngineRun& run : engine.runs) {
    if (run.has_first_event) {
      continue;
    }
    free_at = std::max(free_at, run.sent_at) +
              FromMilliseconds(run.prompt_tokens * ms_per_token);
    const double left = Milliseconds(free_at - now) / ms_per_token;
    pending += std::clamp(left - pending,
                          std::min(kMinPendingTokens, run.prompt_tokens),
                          run.prompt_tokens);
  }
  return pending;
}

EngineWork TargetSelector::WorkAt(const KnownTarget& target,
                                  TimePoint now) const {
  const ServiceState& state = this->StateOf(target.description.service);
  const double decay = this->LoadReportWeight(target, now);
  const double slowdown = target.engine.slowdown.Factor(now);
  EngineWork work;
  work.times = target.engine.speed.Times(state.speed.Baseline());
  work.times.ms_per_prompt_token *= slowdown;
  work.times.ms_per_step *= slowdown;
  const RequestMix& mix = state.MixAt(target.engine);
  work.mean_prompt_tokens = mix.prompt_tokens;
  work.service_prompt_tokens = state.mean_prompt_tokens;
  work.mean_square_prompt_tokens = mix.square_prompt_tokens;
  // The prompts that waited are prefilled since.
  const double prefilled = Milliseconds(now - target.load_reported_at) /
                           work.times.ms_per_prompt_token;
  work.pending_tokens =
      PendingTokens(target.engine, work.times.ms_per_prompt_token, now) +
      std::max(0.0,
               target.others_waiting * work.mean_prompt_tokens - prefilled);
  work.others_running = target.others_running * decay;
  work.running = target.in_flight + work.others_running;
  work.arrival_rate = work.running / mix.duration_ms;
  work.max_pauses = target.engine.max_pauses;
  return work;
}

double TargetSelector::RecentLatencyFactor(const KnownTarget& target,
                                           TimePoint now) {
  const double half_lives =
      Seconds(now - target.latency_measured_at) / Seconds(kLatencyHalfLife);
  return std::min(kMaxRecentFactor,
                  1 + (target.latency_factor - 1) * std::exp2(-half_lives));
}

TargetSelector::CostEstimate TargetSelector::PredictEstimate(
    const KnownTarget& target,
    const TargetQuery& query,
    const PrefixHomes& homes,
    TimePoint now) const {
  const UncachedTokens uncached =
      this->EstimateUncached(target, query, homes, now);
  const EngineWork work = this->WorkAt(target, now);
  const Duration network_cost = this->NetworkCost(target.description);
  RequestWork request;
  request.prompt_tokens = uncached.all;
  request.events = query.expected_events;
  request.tokens_per_event = query.tokens_per_event;
  request.max_pause = query.max_pause;
  request.first_event_left = query.first_event_left;
  request.others_max_pause = this->StateOf(query.service).max_pause;
  const PredictedCost predicted = PredictCost(work, request);
  const Duration first_event =
      Scale(predicted.first_event, this->RecentLatencyFactor(target, now));
  const Duration decode = predicted.end - predicted.first_event;
  const Duration miss_cost = FromMilliseconds(
      uncached.of_prefix * (this->options.prefix_miss_factor - 1) *
      work.times.ms_per_prompt_token);
  const Duration cost =
      first_event +
      Scale(this->options.late_stream_cost, predicted.late_streams) +
      miss_cost + network_cost + this->PredictedSplitCost(target, query);
  return {first_event, cost, static_cast<std::uint32_t>(uncached.all),
          first_event + decode + network_cost};
}

// The costs of mixing prompts are times of prefills at the first guess of their
// rate. Without long prompts, short ones need not be kept apart.
Duration TargetSelector::PredictedSplitCost(const KnownTarget& target,
                                            const TargetQuery& query) const {
  const ServiceState& state = this->StateOf(query.service);
  const double scale = state.speed.Baseline().ms_per_prompt_token /
                       EngineTimes().ms_per_prompt_token;
  const bool is_long = query.prompt_tokens >= kLongPromptTokens;
  if (target.engine.is_for_short_prompts == !is_long) {
    return Duration(0);
  }
  return is_long ? Scale(this->options.long_prompt_at_slow_engine_cost, scale)
                 : Scale(this->options.short_prompt_cost,
                         scale * state.long_prompt_share);
}

const TargetSelector::Candidate& TargetSelector::DrawCandidate(
    std::span<const Candidate> candidates,
    TimePoint now) {
  const auto trial = std::ranges::find(candidates, true, &Candidate::trial);
  if (trial != candidates.end()) {
    return *trial;
  }
  double deviation_ms = 0;
  for (const Candidate& candidate : candidates) {
    const EngineWork work = this->WorkAt(*candidate.target, now);
    const double age = Milliseconds(std::min<Duration>(
        now - candidate.target->load_reported_at, kMaxReportAge));
    const double unseen = std::sqrt(work.arrival_rate * age);
    deviation_ms += kUnseenWorkShare * unseen * work.mean_prompt_tokens *
                    work.times.ms_per_prompt_token;
  }
  const Duration deviation = FromMilliseconds(
      kBaseDeviationMs + deviation_ms / static_cast<double>(candidates.size()));
  // Subtracting noise with a Gumbel distribution draws each candidate with a
  // probability that falls exponentially with its cost.
  const auto drawn_cost = [&](const Candidate& candidate) {
    const double uniform = std::max(this->random.NextDouble(), 1e-12);
    return candidate.cost + static_cast<double>(deviation.count()) *
                                std::log(-std::log(uniform));
  };
  const Candidate* best = &candidates.front();
  double best_cost = drawn_cost(*best);
  for (const Candidate& candidate : candidates.subspan(1)) {
    const double cost = drawn_cost(candidate);
    if (cost < best_cost) {
      best = &candidate;
      best_cost = cost;
    }
  }
  return *best;
}

void TargetSelector::OnEngineSent(KnownTarget& target,
                                  AttemptId attempt,
                                  const SelectedTarget& selected,
                                  const TargetQuery& query) {
  ServiceState& state = this->service_states[query.service];
  EngineState& engine = target.engine;
  const TimePoint now = this->clock.Now();
  const double ms_per_token =
      engine.speed.Times(state.speed.Baseline()).ms_per_prompt_token;
  engine.runs.push_back({attempt, static_cast<double>(selected.new_tokens),
                         PendingTokens(engine, ms_per_token, now), now});
  engine.max_pauses.push_back(query.max_pause);
  engine.tokens_per_event = query.tokens_per_event;
  UpdateShortest(state.max_pause, query.max_pause);
  const double tokens = selected.new_tokens;
  RequestMix& mix = state.MixAt(engine);
  // Weighted by the tokens, so that the share is one of work.
  state.long_prompt_share +=
      kRequestGain * std::min(1.0, tokens / state.mean_prompt_tokens) *
      ((query.prompt_tokens >= kLongPromptTokens ? 1 : 0) -
       state.long_prompt_share);
  Follow(state.mean_prompt_tokens, tokens);
  Follow(mix.prompt_tokens, tokens);
  Follow(mix.square_prompt_tokens, tokens * tokens);
}

void TargetSelector::OnFirstEvent(AttemptId attempt) {
  const auto sent = this->in_flight_attempts.find(attempt);
  if (!this->options.predicted_cost || sent == this->in_flight_attempts.end()) {
    return;
  }
  const auto found = this->targets.find(sent->second.target);
  if (found == this->targets.end()) {
    return;
  }
  KnownTarget& target = found->second;
  EngineState& engine = target.engine;
  const auto run = std::ranges::find(engine.runs, attempt, &EngineRun::attempt);
  if (run == engine.runs.end() || run->has_first_event) {
    return;
  }
  run->has_first_event = true;
  const TimePoint now = this->clock.Now();
  if (!engine.slowdown.IsKnown(now)) {
    return;
  }
  const Duration took =
      now - run->sent_at - this->NetworkCost(target.description);
  this->service_states[target.description.service].speed.OnFirstEvent(
      engine.speed, run->prompt_tokens + run->tokens_ahead,
      engine.tokens_per_event,
      Milliseconds(took) / engine.slowdown.Factor(now));
}

void TargetSelector::OnEngineEvent(KnownTarget& target, Duration interval) {
  const TimePoint now = this->clock.Now();
  EngineState& engine = target.engine;
  if (engine.runs.empty() || !engine.slowdown.IsKnown(now)) {
    return;
  }
  const double running =
      target.in_flight +
      target.others_running * this->LoadReportWeight(target, now);
  const double step_ms = Milliseconds(interval) /
                         (engine.tokens_per_event *
                          engine.slowdown.Factor(now) * RunningFactor(running));
  this->StateOf(target.description.service).speed.OnStep(engine.speed, step_ms);
}

void TargetSelector::OnEngineEnd(KnownTarget& target,
                                 AttemptId attempt,
                                 AttemptOutcome outcome) {
  EngineState& engine = target.engine;
  const auto run = std::ranges::find(engine.runs, attempt, &EngineRun::attempt);
  if (run == engine.runs.end()) {
    return;
  }
  if (outcome == AttemptOutcome::kSuccess) {
    ServiceState& state = this->service_states[target.description.service];
    Follow(state.MixAt(engine).duration_ms,
           Milliseconds(this->clock.Now() - run->sent_at));
  }
  engine.max_pauses.erase(engine.max_pauses.begin() +
                          (run - engine.runs.begin()));
  engine.runs.erase(run);
}

void TargetSelector::UpdateBaseline(const ServiceId& service) {
  std::vector<const TargetSpeed*> speeds;
  for (const auto& [id, target] : this->targets) {
    if (target.description.service == service) {
      speeds.push_back(&target.engine.speed);
    }
  }
  this->service_states[service].speed.UpdateBaseline(speeds);
}

std::set<TargetId> TargetSelector::FindShortPromptEngines(
    const ServiceId& service,
    const std::set<TargetId>& previous,
    TimePoint now) const {
  const EngineTimes& baseline = this->StateOf(service).speed.Baseline();
  std::vector<EngineSpeed> engines;
  for (const auto& [id, target] : this->targets) {
    if (target.description.service == service && this->IsUsable(target, now)) {
      engines.push_back({id, target.engine.speed.TimeFactor(baseline)});
    }
  }
  return SelectShortPromptEngines(engines, previous);
}

}  // namespace pimentospar
