#ifndef INCLUDE_PIMENTOSPAR_ROUTING_STREAM_ESTIMATORS_H_
#define INCLUDE_PIMENTOSPAR_ROUTING_STREAM_ESTIMATORS_H_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "pimentospar/clock.h"

namespace pimentospar {

/// Time between the events of the streams of one target. It grows when the
/// target reads prompts all the time, since each step that makes tokens then
/// reads a part of a prompt as well.
class EventIntervalEstimator {
 public:
  void OnEvent(Duration interval, TimePoint now);
  /// Returns the mean of what was seen lately; it fades while nothing is seen.
  [[nodiscard]] Duration MeanInterval(TimePoint now) const;

 private:
  Duration mean{0};
  TimePoint last_event_at{};
};

/// Number of events that the streams of a route have.
class StreamLengthEstimator {
 public:
  void OnStreamEnd(const std::string& route, std::uint32_t events);
  /// Returns the mean of the last streams; 0 if none has ended.
  [[nodiscard]] std::uint32_t ExpectedEvents(const std::string& route) const;

 private:
  std::unordered_map<std::string, double> means;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ROUTING_STREAM_ESTIMATORS_H_
