#ifndef SRC_GATEWAY_ANSWER_FORWARDER_H_
#define SRC_GATEWAY_ANSWER_FORWARDER_H_

#include <functional>
#include <optional>
#include <string>

#include "gateway/caller_channel.h"
#include "gateway/front.h"
#include "gateway/upstream.h"
#include "pimentospar/routing/event_stream.h"

namespace pimentospar {

/// How the forwarding of a target's answer ended.
enum class ForwardEnd : std::uint8_t {
  /// The caller has its answer.
  kDelivered,
  /// The answer ended early or stopped.
  kBroken,
  /// An event of the stream is missing.
  kGap,
  /// The target answered that it failed; the answer is kept.
  kFailed,
  kCallerGone
};

/// Takes the answers of targets to the caller of one request: a whole answer of
/// one target, or a stream that goes on at another target where the last one
/// stopped.
class AnswerForwarder {
 public:
  /// `last_event` is the event that the caller has already; `on_gap` hears the
  /// time between two events of one target.
  AnswerForwarder(const Clock& clock,
                  Alarms& alarms,
                  UpstreamPool& pool,
                  const CallerRequest& request,
                  CallerChannel& channel,
                  std::optional<std::uint64_t> last_event,
                  std::function<void(Duration)> on_gap);

  /// Forwards events as they arrive, up to the end of the stream. A target that
  /// sends nothing for `silence` has stopped.
  [[nodiscard]] ForwardEnd ForwardStream(Exchange& exchange, Duration silence);
  /// Forwards an answer once all of it has arrived.
  [[nodiscard]] ForwardEnd ForwardWhole(Exchange& exchange);

  /// Returns the status of the last answer of a target that failed.
  [[nodiscard]] std::optional<unsigned> FailedStatus() const;
  /// Returns false if the caller is gone.
  bool SendFailed();

  /// Returns whether the caller has a part of a stream.
  [[nodiscard]] bool HasBegun() const { return this->begun; }
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
  /// An answer that was read to its end.
  struct WholeAnswer {
    unsigned status = 0;
    std::string head;
    std::string body;
  };

  [[nodiscard]] std::string HeadOf(const Exchange::Head& head) const;
  [[nodiscard]] BodyPart ReadPart(Exchange& exchange,
                                  Duration silence,
                                  std::string_view& data);
  /// Appends the whole events of `splitter` that the caller lacks to `out`.
  /// Returns false if one is missing.
  [[nodiscard]] bool TakeEvents(EventSplitter& splitter, std::string& out);
  [[nodiscard]] bool SendEvents(std::string_view events);
  [[nodiscard]] bool EndStream();
  [[nodiscard]] bool SendAnswer(WholeAnswer& answer);
  [[nodiscard]] std::string_view HeadOnce();
  void NoteEvents();

  const Clock& clock;
  Alarms& alarms;
  UpstreamPool& pool;
  const CallerRequest& request;
  CallerChannel& channel;
  EventSequenceChecker events;
  std::function<void(Duration)> on_gap;
  std::uint32_t event_count = 0;
  /// Set while events of the same target follow one another.
  std::optional<TimePoint> target_event_at;
  std::string stream_head;
  bool begun = false;
  std::optional<WholeAnswer> failed;
  std::optional<TimePoint> first_event_at;
  TimePoint last_event_at{};
  Duration longest_pause{0};
};

/// Returns whether the status says that the request was served.
[[nodiscard]] bool IsSuccess(unsigned status);

}  // namespace pimentospar

#endif  // SRC_GATEWAY_ANSWER_FORWARDER_H_
