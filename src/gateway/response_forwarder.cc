#include "gateway/response_forwarder.h"

#include <algorithm>
#include <utility>

namespace pimentospar {

namespace {

// An event that is longer is not a valid part of a stream.
constexpr std::size_t kMaxEventBytes = 1ULL << 20;

}  // namespace

bool IsSuccess(unsigned status) {
  return status >= 200 && status < 300;
}

ResponseForwarder::ResponseForwarder(
    const Clock& clock,
    TimerQueue& timers,
    const CallerRequest& request,
    CallerChannel& channel,
    std::optional<std::uint64_t> last_event,
    std::function<void(std::optional<Duration>)> on_target_event)
    : clock(clock),
      timers(timers),
      request(request),
      channel(channel),
      events(last_event),
      on_target_event(std::move(on_target_event)) {}

std::string ResponseForwarder::BuildHead(
    const UpstreamExchange::Head& head) const {
  std::string text = StatusLine(head.result_int());
  AppendEndToEndHeaders(text, head, [](std::string_view) { return false; });
  if (this->request.close_after) {
    text += "Connection: close\r\n";
  }
  return text;
}

ForwardResult ResponseForwarder::ForwardStream(
    UpstreamExchange& exchange,
    Duration idle_timeout,
    const AbandonCheck& may_abandon) {
  const bool continues = this->started;
  if (!continues) {
    this->stream_head = this->BuildHead(exchange.GetHead()) +
                        "Transfer-Encoding: chunked\r\n\r\n";
  }
  EventSplitter splitter;
  std::string out;
  this->last_target_event_at.reset();
  this->target_first_event_at.reset();
  TimePoint last_complete_at = this->clock.Now();
  while (true) {
    std::string_view data;
    const BodyReadResult part = this->ReadBodyPart(
        exchange, last_complete_at, idle_timeout, may_abandon, data);
    if (part == BodyReadResult::kError) {
      return ForwardResult::kIncomplete;
    }
    splitter.Append(data);
    out.clear();
    if (!this->CollectEvents(splitter, out)) {
      return ForwardResult::kMissingEvent;
    }
    if (!out.empty()) {
      if (!this->SendEvents(out)) {
        return ForwardResult::kCallerDisconnected;
      }
      // Only complete events are progress, not single bytes of one.
      last_complete_at = this->clock.Now();
    }
    if (splitter.PendingBytes() > kMaxEventBytes) {
      return ForwardResult::kIncomplete;
    }
    if (part != BodyReadResult::kEnd) {
      continue;
    }
    // A caller that has all events may ask for the rest; a stream that this
    // process continues had no proper end.
    const bool is_empty =
        !this->target_first_event_at && (continues || !this->events.LastId());
    if (splitter.PendingBytes() > 0 ||
        (is_empty && exchange.EndsWithConnection())) {
      return ForwardResult::kIncomplete;
    }
    exchange.Release();
    return this->EndStream() ? ForwardResult::kDelivered
                             : ForwardResult::kCallerDisconnected;
  }
}

BodyReadResult ResponseForwarder::ReadBodyPart(UpstreamExchange& exchange,
                                               TimePoint last_event_at,
                                               Duration idle_timeout,
                                               const AbandonCheck& may_abandon,
                                               std::string_view& data) {
  const SilenceTimer timer(this->timers, this->clock, exchange, last_event_at,
                           idle_timeout, may_abandon);
  const BodyReadResult part = exchange.ReadBody(data);
  if (part != BodyReadResult::kData) {
    data = {};
  }
  return part;
}

bool ResponseForwarder::CollectEvents(EventSplitter& splitter,
                                      std::string& out) {
  while (const auto event = splitter.Next()) {
    const EventSequenceStatus status = this->events.OnEvent(event->id);
    if (status == EventSequenceStatus::kGap) {
      return false;
    }
    if (status == EventSequenceStatus::kInSequence) {
      out += event->text;
      ++this->event_count;
    }
  }
  return true;
}

std::string_view ResponseForwarder::TakeHead() {
  const bool is_first = !std::exchange(this->started, true);
  return is_first ? std::string_view(this->stream_head) : std::string_view();
}

bool ResponseForwarder::SendEvents(std::string_view events) {
  this->RecordEventTimes();
  return this->channel.SendChunk(this->TakeHead(), events);
}

bool ResponseForwarder::EndStream() {
  return this->channel.SendLastChunk(this->TakeHead());
}

void ResponseForwarder::RecordEventTimes() {
  const TimePoint now = this->clock.Now();
  if (!this->first_event_at) {
    this->first_event_at = now;
  } else {
    this->longest_pause =
        std::max(this->longest_pause, now - this->last_event_at);
  }
  this->last_event_at = now;
  if (this->last_target_event_at) {
    this->on_target_event(now - *this->last_target_event_at);
  } else {
    this->target_first_event_at = now;
    this->on_target_event(std::nullopt);
  }
  this->last_target_event_at = now;
}

ForwardResult ResponseForwarder::ForwardBuffered(UpstreamExchange& exchange) {
  BufferedResponse response;
  response.status = exchange.GetHead().result_int();
  response.head = this->BuildHead(exchange.GetHead());
  auto body = exchange.ReadRemainingBody();
  if (!body) {
    return ForwardResult::kIncomplete;
  }
  response.body = std::move(*body);
  exchange.Release();
  if (!IsSuccess(response.status)) {
    this->error_response = std::move(response);
    return ForwardResult::kErrorResponse;
  }
  return this->SendBuffered(response) ? ForwardResult::kDelivered
                                      : ForwardResult::kCallerDisconnected;
}

std::optional<unsigned> ResponseForwarder::ErrorStatus() const {
  return this->error_response ? std::optional(this->error_response->status)
                              : std::nullopt;
}

bool ResponseForwarder::SendErrorResponse() {
  return this->error_response && this->SendBuffered(*this->error_response);
}

bool ResponseForwarder::SendBuffered(BufferedResponse& response) {
  response.head +=
      "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n";
  return this->channel.SendResponse(response.head, response.body);
}

}  // namespace pimentospar
