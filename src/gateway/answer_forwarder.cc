#include "gateway/answer_forwarder.h"

#include <algorithm>
#include <utility>

namespace pimentospar {

bool IsSuccess(unsigned status) {
  return status >= 200 && status < 300;
}

AnswerForwarder::AnswerForwarder(const Clock& clock,
                                 Alarms& alarms,
                                 UpstreamPool& pool,
                                 const CallerRequest& request,
                                 CallerChannel& channel,
                                 std::optional<std::uint64_t> last_event,
                                 std::function<void(Duration)> on_gap)
    : clock(clock),
      alarms(alarms),
      pool(pool),
      request(request),
      channel(channel),
      events(last_event),
      on_gap(std::move(on_gap)) {}

std::string AnswerForwarder::HeadOf(const Exchange::Head& head) const {
  std::string text = StatusLine(head.result_int());
  AppendEndToEnd(text, head, [](std::string_view) { return false; });
  if (this->request.close_after) {
    text += "Connection: close\r\n";
  }
  return text;
}

ForwardEnd AnswerForwarder::ForwardStream(Exchange& exchange,
                                          Duration silence) {
  if (!this->begun) {
    this->stream_head =
        this->HeadOf(exchange.GetHead()) + "Transfer-Encoding: chunked\r\n\r\n";
  }
  EventSplitter splitter;
  std::string out;
  this->target_event_at.reset();
  while (true) {
    std::string_view data;
    const BodyPart part = this->ReadPart(exchange, silence, data);
    if (part == BodyPart::kBroken) {
      return ForwardEnd::kBroken;
    }
    splitter.Append(data);
    out.clear();
    if (!this->TakeEvents(splitter, out)) {
      return ForwardEnd::kGap;
    }
    if (!out.empty() && !this->SendEvents(out)) {
      return ForwardEnd::kCallerGone;
    }
    if (part != BodyPart::kEnd) {
      continue;
    }
    if (splitter.PendingBytes() > 0) {
      return ForwardEnd::kBroken;
    }
    exchange.Release(this->pool);
    return this->EndStream() ? ForwardEnd::kDelivered : ForwardEnd::kCallerGone;
  }
}

BodyPart AnswerForwarder::ReadPart(Exchange& exchange,
                                   Duration silence,
                                   std::string_view& data) {
  const Alarm limit(this->alarms, silence, [&exchange] { exchange.Cancel(); });
  const BodyPart part = exchange.ReadBody(data);
  if (part != BodyPart::kData) {
    data = {};
  }
  return part;
}

bool AnswerForwarder::TakeEvents(EventSplitter& splitter, std::string& out) {
  while (const auto event = splitter.Next()) {
    const EventSequenceStatus verdict = this->events.OnEvent(event->id);
    if (verdict == EventSequenceStatus::kGap) {
      return false;
    }
    if (verdict == EventSequenceStatus::kInSequence) {
      out += event->text;
      ++this->event_count;
    }
  }
  return true;
}

std::string_view AnswerForwarder::HeadOnce() {
  const bool is_first = !std::exchange(this->begun, true);
  return is_first ? std::string_view(this->stream_head) : std::string_view();
}

bool AnswerForwarder::SendEvents(std::string_view events) {
  this->NoteEvents();
  return this->channel.SendChunk(this->HeadOnce(), events);
}

bool AnswerForwarder::EndStream() {
  return this->channel.EndChunks(this->HeadOnce());
}

void AnswerForwarder::NoteEvents() {
  const TimePoint now = this->clock.Now();
  if (!this->first_event_at) {
    this->first_event_at = now;
  } else {
    this->longest_pause =
        std::max(this->longest_pause, now - this->last_event_at);
  }
  this->last_event_at = now;
  if (this->target_event_at) {
    this->on_gap(now - *this->target_event_at);
  }
  this->target_event_at = now;
}

ForwardEnd AnswerForwarder::ForwardWhole(Exchange& exchange) {
  WholeAnswer answer;
  answer.status = exchange.GetHead().result_int();
  answer.head = this->HeadOf(exchange.GetHead());
  auto body = exchange.ReadRest();
  if (!body) {
    return ForwardEnd::kBroken;
  }
  answer.body = std::move(*body);
  exchange.Release(this->pool);
  if (!IsSuccess(answer.status)) {
    this->failed = std::move(answer);
    return ForwardEnd::kFailed;
  }
  return this->SendAnswer(answer) ? ForwardEnd::kDelivered
                                  : ForwardEnd::kCallerGone;
}

std::optional<unsigned> AnswerForwarder::FailedStatus() const {
  return this->failed ? std::optional(this->failed->status) : std::nullopt;
}

bool AnswerForwarder::SendFailed() {
  return this->failed && this->SendAnswer(*this->failed);
}

bool AnswerForwarder::SendAnswer(WholeAnswer& answer) {
  answer.head +=
      "Content-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n";
  return this->channel.SendWhole(answer.head, answer.body);
}

}  // namespace pimentospar
