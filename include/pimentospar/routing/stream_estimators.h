#ifndef INCLUDE_PIMENTOSPAR_ROUTING_STREAM_ESTIMATORS_H_
#define INCLUDE_PIMENTOSPAR_ROUTING_STREAM_ESTIMATORS_H_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "pimentospar/clock.h"

namespace pimentospar {

/// Estimates the time between the events of a target's streams. It grows while
/// the target prefills prompts, since each decoding step then also processes a
/// part of a prompt.
class EventIntervalEstimator {
 public:
  /// An event arrived `interval` after the previous event of its stream.
  void OnEvent(Duration interval, TimePoint now);
  /// Returns the moving average, which decays while no events arrive.
  [[nodiscard]] Duration MeanInterval(TimePoint now) const;

 private:
  Duration mean{0};
  TimePoint last_event_at{};
};

/// Estimates the number of events in the streams of each route.
class StreamLengthEstimator {
 public:
  void OnStreamEnd(const std::string& route, std::uint32_t events);
  /// Returns the moving average over the ended streams; 0 if none has ended.
  [[nodiscard]] std::uint32_t ExpectedEvents(const std::string& route) const;

 private:
  std::unordered_map<std::string, double> means;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ROUTING_STREAM_ESTIMATORS_H_
