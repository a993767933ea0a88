#include "pimentospar/routing/request_cost.h"

#include <algorithm>
#include <cmath>

namespace pimentospar {

namespace {

// Prompt tokens that an engine prefills in one step.
constexpr double kChunkTokens = 2048;
// Share of a step's time that each running request adds.
constexpr double kRunningShare = 0.005;
// An engine that gets more work than this is not expected to keep up.
constexpr double kMaxPrefillShare = 0.9;
// Predicted times are off by about this share, so lateness sets in gradually.
constexpr double kTimeUncertainty = 0.1;
// Keeps the mean wait above 0 at engines without work.
constexpr double kMinWaitMs = 0.1;

Duration Milliseconds(double ms) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(ms));
}

double ToMilliseconds(Duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

// Returns the probability that a time predicted as `ms` exceeds the limit.
double LateProbability(double ms, Duration limit) {
  if (limit <= Duration(0)) {
    return 0;
  }
  const double ratio = ms / ToMilliseconds(limit);
  return std::clamp((ratio - 1 + kTimeUncertainty) / (2 * kTimeUncertainty),
                    0.0, 1.0);
}

double StepMs(const EngineWork& engine) {
  return engine.times.ms_per_step * RunningFactor(engine.running);
}

// Returns the longest event interval while `tokens` of prompts are prefilled
// without a break.
double EventMs(const EngineWork& engine,
               const RequestWork& request,
               double tokens) {
  const double during_event =
      std::min(tokens, request.tokens_per_event * kChunkTokens);
  return request.tokens_per_event * StepMs(engine) +
         during_event * engine.times.ms_per_prompt_token;
}

// Returns the mean time of a step when a share of the time goes to prefill.
double MeanStepMs(const EngineWork& engine, double prefill_share) {
  const double step = StepMs(engine);
  const double step_with_chunk =
      step + std::min(engine.mean_prompt_tokens, kChunkTokens) *
                 engine.times.ms_per_prompt_token;
  return 1 / (prefill_share / step_with_chunk + (1 - prefill_share) / step);
}

// Returns how many running streams the prefill makes late that would not be
// late without it.
double CausedLateStreams(const EngineWork& engine,
                         const RequestWork& request,
                         double caused_pause) {
  const double earlier = EventMs(engine, request, engine.pending_tokens);
  const auto added = [&](Duration limit) {
    return LateProbability(caused_pause, limit) -
           LateProbability(earlier, limit);
  };
  double late = engine.others_running * added(request.others_max_pause);
  for (const Duration limit : engine.max_pauses) {
    late += added(limit);
  }
  return late;
}

// The prefill of prompts of which this entry does not know: a queue with random
// arrivals, whose wait is about exponential where there is one.
struct UnknownWork {
  explicit UnknownWork(const EngineWork& engine)
      : share(PrefillShare(engine)),
        mean_ms(std::max(kMinWaitMs,
                         engine.mean_square_prompt_tokens *
                             engine.times.ms_per_prompt_token /
                             (2 * std::max(1.0, engine.mean_prompt_tokens) *
                              (1 - this->share)))) {}

  // Returns the probability that the wait exceeds `ms`.
  [[nodiscard]] double Exceeds(double ms) const {
    return ms <= 0 ? 1 : this->share * std::exp(-ms / this->mean_ms);
  }
  // Returns the mean time by which the wait exceeds `ms`.
  [[nodiscard]] double MeanExcess(double ms) const {
    const double at_zero = this->share * this->mean_ms;
    return ms <= 0 ? at_zero - ms : at_zero * std::exp(-ms / this->mean_ms);
  }

  // Share of the time in which there is a wait, and its mean then.
  double share;
  double mean_ms;
};

// Returns how many later requests begin too late because they arrive during
// the prefill.
double CausedLateStarts(const EngineWork& engine,
                        const RequestWork& request,
                        const UnknownWork& unknown) {
  if (request.others_first_event_goal <= Duration(0)) {
    return 0;
  }
  const double ms_per_token = engine.times.ms_per_prompt_token;
  const double slack = ToMilliseconds(request.others_first_event_goal) -
                       request.tokens_per_event * StepMs(engine) -
                       engine.pending_tokens * ms_per_token;
  return engine.arrival_rate *
         (unknown.MeanExcess(slack - request.prompt_tokens * ms_per_token) -
          unknown.MeanExcess(slack));
}

// Returns the probability that the stream pauses for too long because of later
// prompts.
double LatePauseProbability(const EngineWork& engine,
                            const RequestWork& request,
                            const UnknownWork& unknown,
                            double decode_ms) {
  if (request.max_pause <= Duration(0)) {
    return 0;
  }
  const double longest =
      EventMs(engine, request, request.tokens_per_event * kChunkTokens);
  const double slack = ToMilliseconds(request.max_pause) -
                       request.tokens_per_event * StepMs(engine);
  const double pauses = engine.arrival_rate * (1 - unknown.share) * decode_ms *
                        std::exp(-std::max(0.0, slack) / unknown.mean_ms);
  return LateProbability(longest, request.max_pause) * (1 - std::exp(-pauses));
}

}  // namespace

double RunningFactor(double running) {
  return 1 + kRunningShare * running;
}

double PrefillShare(const EngineWork& engine) {
  return std::min(kMaxPrefillShare, engine.arrival_rate *
                                        engine.mean_prompt_tokens *
                                        engine.times.ms_per_prompt_token);
}

PredictedCost PredictCost(const EngineWork& engine,
                          const RequestWork& request) {
  const UnknownWork unknown(engine);
  const double tokens = engine.pending_tokens + request.prompt_tokens;
  const double known = tokens * engine.times.ms_per_prompt_token +
                       request.tokens_per_event * StepMs(engine);
  const double first_event = known + unknown.MeanExcess(0);
  const double decode = std::max(0.0, request.events - 1) *
                        request.tokens_per_event *
                        MeanStepMs(engine, unknown.share);
  const double caused_pause = EventMs(engine, request, tokens);
  double late = CausedLateStreams(engine, request, caused_pause) +
                CausedLateStarts(engine, request, unknown);
  if (request.first_event_left > Duration(0)) {
    const double slack = ToMilliseconds(request.first_event_left) - known;
    late += std::max(LateProbability(known, request.first_event_left),
                     unknown.Exceeds(slack));
  }
  late += LatePauseProbability(engine, request, unknown, decode);
  return {Milliseconds(first_event), Milliseconds(first_event + decode),
          Milliseconds(caused_pause), late};
}

}  // namespace pimentospar
