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
constexpr double kMaxPrefillShare = 0.8;
// Predicted times are off by about this share, so lateness sets in gradually.
constexpr double kTimeUncertainty = 0.1;
// Mean wait behind prompts of which this entry does not know, for each running
// request and as a share of the time of a prompt.
constexpr double kWaitShare = 0.03;
// Predicted pauses are not certain enough to outweigh all else.
constexpr double kMaxCausedLate = 2;
// Keeps the mean time of a prefill above 0 at engines without work.
constexpr double kMinPrefillMs = 0.1;

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

// Returns the probability that the stream pauses for too long because of later
// prompts, whose prefills in a row take an exponential time.
double LatePauseProbability(const EngineWork& engine,
                            const RequestWork& request,
                            double decode_ms) {
  if (request.max_pause <= Duration(0)) {
    return 0;
  }
  const double share = PrefillShare(engine);
  const double mean_ms = std::max(
      kMinPrefillMs,
      engine.mean_square_prompt_tokens * engine.times.ms_per_prompt_token /
          (2 * std::max(1.0, engine.mean_prompt_tokens) * (1 - share)));
  const double longest =
      EventMs(engine, request, request.tokens_per_event * kChunkTokens);
  const double slack = ToMilliseconds(request.max_pause) -
                       request.tokens_per_event * StepMs(engine);
  const double pauses = engine.arrival_rate * (1 - share) * decode_ms *
                        std::exp(-std::max(0.0, slack) / mean_ms);
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
  const double tokens = engine.pending_tokens + request.prompt_tokens;
  const double unknown_tokens =
      kWaitShare * engine.running * engine.service_prompt_tokens;
  const double first_event =
      (tokens + unknown_tokens) * engine.times.ms_per_prompt_token +
      request.tokens_per_event * StepMs(engine);
  const double decode = std::max(0.0, request.events - 1) *
                        request.tokens_per_event *
                        MeanStepMs(engine, PrefillShare(engine));
  const double caused_pause = EventMs(engine, request, tokens);
  const double late =
      std::min(kMaxCausedLate,
               CausedLateStreams(engine, request, caused_pause)) +
      LateProbability(first_event, request.first_event_left) +
      LatePauseProbability(engine, request, decode);
  return {Milliseconds(first_event), Milliseconds(first_event + decode),
          Milliseconds(caused_pause), late};
}

}  // namespace pimentospar
