#ifndef INCLUDE_PIMENTOSPAR_ROUTING_REQUEST_COST_H_
#define INCLUDE_PIMENTOSPAR_ROUTING_REQUEST_COST_H_

#include <cstdint>
#include <span>

#include "pimentospar/clock.h"
#include "pimentospar/routing/target_speed.h"

namespace pimentospar {

/// The work left at an engine, and its speed at this moment.
struct EngineWork {
  EngineTimes times;
  /// Prompt tokens that the engine prefills before those of a new request.
  double pending_tokens = 0;
  /// Requests that it runs, with those of other entries.
  double running = 0;
  /// Requests of other entries among them.
  double others_running = 0;
  /// New requests per millisecond.
  double arrival_rate = 0;
  /// Mean prompt tokens of a request that it has to prefill, and mean of their
  /// square.
  double mean_prompt_tokens = 0;
  double mean_square_prompt_tokens = 0;
  /// Mean prompt tokens at all engines of the service.
  double service_prompt_tokens = 0;
  /// Longest pauses that the running streams of this entry accept; 0 if any.
  std::span<const Duration> max_pauses;
};

/// The work of a request, and what its caller accepts.
struct RequestWork {
  /// Prompt tokens that the engine has not cached.
  double prompt_tokens = 0;
  double events = 0;
  double tokens_per_event = 1;
  /// Longest pause between events that the caller accepts; 0 if any.
  Duration max_pause{0};
  /// Time left until the first event is late; 0 if it is never late.
  Duration first_event_left{0};
  /// Pause that the streams of other entries accept; 0 if any.
  Duration others_max_pause{0};
};

/// What a request is expected to bring at one engine.
struct PredictedCost {
  Duration first_event{0};
  Duration end{0};
  /// Longest event interval that the prefill causes in running streams.
  Duration caused_pause{0};
  /// Expected number of streams that become late: this one, and running ones
  /// because of it.
  double late_streams = 0;
};

/// Returns how much longer a step takes with `running` requests than with none.
[[nodiscard]] double RunningFactor(double running);

/// Returns the share of its time that an engine prefills prompts.
[[nodiscard]] double PrefillShare(const EngineWork& engine);

/// Predicts a request at an engine with continuous batching: each decoding step
/// produces a token of every stream, and takes longer while a chunk of a prompt
/// is prefilled with it.
[[nodiscard]] PredictedCost PredictCost(const EngineWork& engine,
                                        const RequestWork& request);

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ROUTING_REQUEST_COST_H_
