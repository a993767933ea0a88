#ifndef SRC_GATEWAY_RESPONSE_FORWARDER_H_
#define SRC_GATEWAY_RESPONSE_FORWARDER_H_

#include <functional>
#include <optional>
#include <string>

#include "gateway/caller_channel.h"
#include "gateway/caller_server.h"
#include "gateway/silence_timer.h"
#include "gateway/upstream.h"
#include "pimentospar/routing/event_stream.h"

namespace pimentospar {

/// How the forwarding of a target's response ended.
enum class ForwardResult : std::uint8_t {
  /// The complete response was sent to the caller.
  kDelivered,
  /// The response ended early or stalled.
  kIncomplete,
  /// An event of the stream is missing.
  kMissingEvent,
  /// The target responded with an error, which is kept for `SendErrorResponse`.
  kErrorResponse,
  kCallerDisconnected
};

/// Forwards the responses of targets to the caller of one request: either one
/// complete response, or a stream that another target continues where the last
/// one stopped.
class ResponseForwarder {
 public:
  /// `last_event` is the last event that the caller already has.
  /// `on_target_event` is called with the time since the previous event of the
  /// same target, or with nothing for its first event.
  ResponseForwarder(
      const Clock& clock,
      TimerQueue& timers,
      const CallerRequest& request,
      CallerChannel& channel,
      std::optional<std::uint64_t> last_event,
      std::function<void(std::optional<Duration>)> on_target_event);

  /// Forwards events as they arrive, up to the end of the stream. If the target
  /// sends no complete event for `idle_timeout`, the stream is given up as soon
  /// as `may_abandon` returns true; until then, a slow target may go on.
  [[nodiscard]] ForwardResult ForwardStream(UpstreamExchange& exchange,
                                            Duration idle_timeout,
                                            const AbandonCheck& may_abandon);
  /// Forwards a response after all of it has arrived.
  [[nodiscard]] ForwardResult ForwardBuffered(UpstreamExchange& exchange);

  /// Returns the status of the last error response, if any.
  [[nodiscard]] std::optional<unsigned> ErrorStatus() const;
  /// Sends the last error response; returns false if there is none or the
  /// caller has disconnected.
  bool SendErrorResponse();

  /// Returns whether a part of a stream was sent to the caller.
  [[nodiscard]] bool HasStarted() const { return this->started; }
  /// Returns the ID of the last event that the caller has, if any.
  [[nodiscard]] std::optional<std::uint64_t> LastEvent() const {
    return this->events.LastId();
  }
  /// Returns when the first event was forwarded.
  [[nodiscard]] std::optional<TimePoint> FirstEventAt() const {
    return this->first_event_at;
  }
  /// Returns when the current target sent its first event, if it has.
  [[nodiscard]] std::optional<TimePoint> TargetFirstEventAt() const {
    return this->target_first_event_at;
  }
  /// Returns the longest time between two forwarded events.
  [[nodiscard]] Duration LongestPause() const { return this->longest_pause; }
  /// Returns the number of events that were forwarded.
  [[nodiscard]] std::uint32_t EventCount() const { return this->event_count; }

 private:
  /// A response that was read completely.
  struct BufferedResponse {
    unsigned status = 0;
    std::string head;
    std::string body;
  };

  [[nodiscard]] std::string BuildHead(const UpstreamExchange::Head& head) const;
  [[nodiscard]] BodyReadResult ReadBodyPart(UpstreamExchange& exchange,
                                            TimePoint last_event_at,
                                            Duration idle_timeout,
                                            const AbandonCheck& may_abandon,
                                            std::string_view& data);
  /// Appends the complete events of `splitter` that the caller lacks to `out`;
  /// returns false if an event is missing.
  [[nodiscard]] bool CollectEvents(EventSplitter& splitter, std::string& out);
  [[nodiscard]] bool SendEvents(std::string_view events);
  [[nodiscard]] bool EndStream();
  [[nodiscard]] bool SendBuffered(BufferedResponse& response);
  [[nodiscard]] std::string_view TakeHead();
  void RecordEventTimes();

  const Clock& clock;
  TimerQueue& timers;
  const CallerRequest& request;
  CallerChannel& channel;
  EventSequenceChecker events;
  std::function<void(std::optional<Duration>)> on_target_event;
  std::uint32_t event_count = 0;
  /// When the current target last sent events; empty before its first event.
  std::optional<TimePoint> last_target_event_at;
  std::optional<TimePoint> target_first_event_at;
  std::string stream_head;
  bool started = false;
  std::optional<BufferedResponse> error_response;
  std::optional<TimePoint> first_event_at;
  TimePoint last_event_at{};
  Duration longest_pause{0};
};

/// Returns whether `status` means success (2xx).
[[nodiscard]] bool IsSuccess(unsigned status);

}  // namespace pimentospar

#endif  // SRC_GATEWAY_RESPONSE_FORWARDER_H_
