#ifndef SRC_GATEWAY_RESPONSE_FORWARDER_H_
#define SRC_GATEWAY_RESPONSE_FORWARDER_H_

#include <functional>
#include <optional>
#include <string>

#include "gateway/caller_channel.h"
#include "gateway/caller_server.h"
#include "gateway/upstream.h"
#include "pimentospar/routing/event_stream.h"

namespace pimentospar {

/// How the forwarding of a target's response ended.
enum class ForwardResult : std::uint8_t {
  /// The caller has its response.
  kDelivered,
  /// The response ended early or stopped.
  kIncomplete,
  /// An event of the stream is missing.
  kMissingEvent,
  /// The target answered that it failed; the response is kept.
  kErrorResponse,
  kCallerDisconnected
};

/// Takes the answers of targets to the caller of one request: a whole response
/// of one target, or a stream that goes on at another target where the last one
/// stopped.
class ResponseForwarder {
 public:
  /// `last_event` is the event that the caller has already; `on_event_interval`
  /// hears the time between two events of one target.
  ResponseForwarder(const Clock& clock,
                    TimerQueue& timers,
                    UpstreamPool& pool,
                    const CallerRequest& request,
                    CallerChannel& channel,
                    std::optional<std::uint64_t> last_event,
                    std::function<void(Duration)> on_event_interval);

  /// Forwards events as they arrive, up to the end of the stream. A target that
  /// sends nothing for `idle_timeout` has stopped.
  [[nodiscard]] ForwardResult ForwardStream(UpstreamExchange& exchange,
                                            Duration idle_timeout);
  /// Forwards a response once all of it has arrived.
  [[nodiscard]] ForwardResult ForwardBuffered(UpstreamExchange& exchange);

  /// Returns the status of the last response of a target that failed.
  [[nodiscard]] std::optional<unsigned> ErrorStatus() const;
  /// Returns false if the caller is gone.
  bool SendErrorResponse();

  /// Returns whether the caller has a part of a stream.
  [[nodiscard]] bool HasStarted() const { return this->started; }
  [[nodiscard]] std::optional<std::uint64_t> LastEvent() const {
    return this->events.LastId();
  }
  /// Returns when the first event was forwarded.
  [[nodiscard]] std::optional<TimePoint> FirstEventAt() const {
    return this->first_event_at;
  }
  [[nodiscard]] Duration LongestPause() const { return this->longest_pause; }
  /// Returns the number of events that were forwarded.
  [[nodiscard]] std::uint32_t EventCount() const { return this->event_count; }

 private:
  /// A response that was read to its end.
  struct BufferedResponse {
    unsigned status = 0;
    std::string head;
    std::string body;
  };

  [[nodiscard]] std::string BuildHead(const UpstreamExchange::Head& head) const;
  [[nodiscard]] BodyReadResult ReadBodyPart(UpstreamExchange& exchange,
                                            Duration idle_timeout,
                                            std::string_view& data);
  /// Appends the whole events of `splitter` that the caller lacks to `out`.
  /// Returns false if one is missing.
  [[nodiscard]] bool CollectEvents(EventSplitter& splitter, std::string& out);
  [[nodiscard]] bool SendEvents(std::string_view events);
  [[nodiscard]] bool EndStream();
  [[nodiscard]] bool SendBuffered(BufferedResponse& response);
  [[nodiscard]] std::string_view TakeHead();
  void RecordEventTimes();

  const Clock& clock;
  TimerQueue& timers;
  UpstreamPool& pool;
  const CallerRequest& request;
  CallerChannel& channel;
  EventSequenceChecker events;
  std::function<void(Duration)> on_event_interval;
  std::uint32_t event_count = 0;
  /// Set while events of the same target follow one another.
  std::optional<TimePoint> last_target_event_at;
  std::string stream_head;
  bool started = false;
  std::optional<BufferedResponse> error_response;
  std::optional<TimePoint> first_event_at;
  TimePoint last_event_at{};
  Duration longest_pause{0};
};

/// Returns whether the status says that the request was served.
[[nodiscard]] bool IsSuccess(unsigned status);

}  // namespace pimentospar

#endif  // SRC_GATEWAY_RESPONSE_FORWARDER_H_
