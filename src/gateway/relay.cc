#include "gateway/relay.h"

#include <algorithm>
#include <boost/beast/http/verb.hpp>

#include "net/log_line.h"

namespace pimentospar {

namespace {

namespace http = boost::beast::http;

constexpr std::uint32_t kMaxSends = 5;
constexpr std::size_t kMaxTried = 8;
// Less time than this gives no answer.
constexpr std::chrono::milliseconds kShortestRun{20};
// A waiting request looks again this often, although changes wake it.
constexpr std::chrono::milliseconds kChangePoll{100};
// An adapter is loaded within milliseconds of the order; more than this means
// that nobody gives orders.
constexpr std::chrono::milliseconds kAdapterPatience{1500};
constexpr std::chrono::milliseconds kModelPatience{4000};
// Part of its time that a request may wait for a load.
constexpr int kPatienceDivisor = 2;
// A call or stream that may run twice is tried elsewhere after this time
// without an answer, or a multiple of the expected one.
constexpr std::chrono::milliseconds kCallSilence{300};
constexpr std::chrono::milliseconds kStreamSilence{1500};
constexpr int kSilenceFactor = 4;
// A stream that may go on elsewhere does so after this time without an event.
constexpr std::chrono::milliseconds kEventSilence{1500};
// An overload rarely ends sooner; a longer wait here would only delay the
// refusal.
constexpr std::chrono::milliseconds kCapacityPatience{200};
// Time of an engine that each output token takes beside those of others.
constexpr std::chrono::microseconds kTokenWork{300};
constexpr std::uint32_t kTypicalOutput = 200;
constexpr std::chrono::microseconds kPromptTokenWork{26};
constexpr unsigned kMisdirected = 421;
std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace

Relay::Relay(RelayParts& parts, CallerRequest& request, CallerChannel& channel)
    : parts(parts),
      request(request),
      channel(channel),
      table(parts.routes()),
      meta(parts.protocol.ReadRequest(request.message.base())),
      received(parts.clock.Now()),
      forwarder(parts.clock,
                parts.alarms,
                parts.pool,
                request,
                channel,
                this->meta.last_event,
                [this](Duration gap) {
                  this->parts.board.OnEvent(this->last_target, gap);
                }) {}

Duration Relay::Left() const {
  return this->deadline - this->parts.clock.Now();
}

bool Relay::FindRoute() {
  const std::string_view target = this->request.message.target();
  const std::string_view host = this->request.message[http::field::host];
  this->route = this->table->Match(host, PathOf(target));
  if (this->route == nullptr) {
    return false;
  }
  const ServiceId* chosen =
      ChooseService(*this->route, this->parts.random.Unit());
  if (chosen == nullptr) {
    return false;
  }
  this->service = *chosen;
  this->deadline = this->received +
                   std::min(this->meta.deadline.value_or(this->route->timeout),
                            this->route->timeout);
  return true;
}

bool Relay::Run() {
  this->parts.metrics.Count(Event::kRequestStarted);
  if (this->table == nullptr) {
    return this->RefuseNotReady();
  }
  if (!this->FindRoute()) {
    return this->RefuseNotFound();
  }
  this->parts.retries.OnRequest(this->service);
  this->body = std::make_shared<const std::string>(
      std::move(this->request.message.body()));
  const auto cancel = [this] {
    if (this->current != nullptr) {
      this->current->Cancel();
    }
  };
  this->channel.Watch(cancel);
  const Alarm limit(this->parts.alarms, this->Left(), cancel);
  End end = End::kUnsent;
  Reason reason = Reason::kNoTarget;
  while (true) {
    Attempt attempt;
    if (auto chosen = this->Choose()) {
      attempt.target = std::move(*chosen);
    } else {
      return this->Finish(end, reason);
    }
    if (this->channel.IsGone()) {
      return this->Finish(End::kCallerGone, Reason::kCallerGone);
    }
    end = this->Try(attempt);
    reason = attempt.reason;
    this->OnAttemptEnd(attempt, end);
    if (end == End::kDelivered) {
      if (this->forwarder.EventCount() > 0) {
        this->parts.lengths.OnStreamEnd(this->route->name,
                                        this->forwarder.EventCount());
      }
      this->LogEnd("answered", attempt.exchange->GetHead().result_int(),
                   Reason::kNone);
      return true;
    }
    if (!this->MayRepeat(end, reason)) {
      return this->Finish(end, reason);
    }
    this->parts.metrics.CountRetry(reason);
  }
}

TargetQuery Relay::Query() const {
  TargetQuery query;
  query.service = this->service;
  const ServiceSpec* spec = this->table->FindService(this->service);
  if (spec != nullptr && spec->engine) {
    query.copy = this->meta.copy;
  }
  query.prompt_tokens = this->meta.prompt_tokens;
  query.prefix = this->meta.prefix;
  query.tried = this->tried;
  query.repeatable = this->route->IsRepeatable();
  if (this->route->kind == RequestKind::kStream) {
    const std::uint32_t expected =
        this->parts.lengths.ExpectedEvents(this->route->name);
    query.expected_events =
        expected - std::min(expected, this->forwarder.EventCount());
    query.time_left = this->Left();
  }
  return query;
}

void Relay::CountInterest(const TargetQuery& query) {
  if (this->counted || query.copy.model.IsEmpty()) {
    return;
  }
  this->counted = true;
  const std::uint32_t output = std::min(this->meta.max_tokens, kTypicalOutput);
  const std::uint32_t shared =
      query.prefix.empty() ? 0 : query.prefix.back().tokens;
  const std::uint32_t own =
      query.prompt_tokens - std::min(shared, query.prompt_tokens);
  const Duration work =
      own * Duration(kPromptTokenWork) + output * Duration(kTokenWork);
  this->parts.interest.OnRequest({this->service, {query.copy.model, {}}}, work);
  if (!query.copy.adapter.IsEmpty()) {
    this->parts.interest.OnRequest({this->service, query.copy}, Duration(0));
  }
}

std::optional<SelectedTarget> Relay::Choose() {
  while (!this->channel.IsGone() && this->Left() > kShortestRun) {
    const TargetQuery query = this->Query();
    this->CountInterest(query);
    TargetSelection choice = this->parts.board.Select(query);
    if (auto* chosen = std::get_if<SelectedTarget>(&choice)) {
      return std::move(*chosen);
    }
    this->unplaced = choice;
    if (std::holds_alternative<AllTargetsOverloaded>(choice)) {
      if (!this->AwaitChange(kCapacityPatience)) {
        return std::nullopt;
      }
      continue;
    }
    const auto* missing = std::get_if<CopyNotLoaded>(&choice);
    if (missing == nullptr || !this->AwaitCopy(missing->model_loaded)) {
      return std::nullopt;
    }
  }
  return std::nullopt;
}

Duration Relay::Patience(bool model_loaded) const {
  const Duration limit = model_loaded ? kAdapterPatience : kModelPatience;
  return std::min(limit, (this->deadline - this->received) / kPatienceDivisor);
}

// Tells that the request waits for the copy, and waits for the next change;
// false if it should not wait any longer.
bool Relay::AwaitCopy(bool model_loaded) {
  const Duration patience = this->Patience(model_loaded);
  if (this->sends >= kMaxSends ||
      this->parts.clock.Now() >= this->received + patience) {
    return false;
  }
  const CopyRef copy =
      model_loaded ? this->meta.copy : CopyRef{this->meta.copy.model, {}};
  this->parts.interest.BeginWaiting({this->service, copy});
  const bool waited = this->AwaitChange(patience);
  this->parts.interest.EndWaiting({this->service, copy});
  return waited;
}

// Waits for a change of what is known of the targets; false if the request has
// waited for `patience` since it came.
bool Relay::AwaitChange(Duration patience) {
  const Duration left = this->received + patience - this->parts.clock.Now();
  if (left <= Duration(0)) {
    return false;
  }
  (void)this->parts.board_changed.WaitFor(
      std::min<Duration>(left, kChangePoll));
  return true;
}

bool Relay::Connect(Attempt& attempt) {
  const std::string& address = attempt.target.address;
  auto connection = this->parts.pool.TakeIdle(address);
  if (connection == nullptr) {
    connection = this->parts.pool.Connect(address);
  }
  if (connection == nullptr) {
    return false;
  }
  attempt.exchange = std::make_unique<Exchange>(
      std::move(connection),
      this->request.message.method() == http::verb::head);
  return true;
}

std::string Relay::HeadFor(const Attempt& attempt) const {
  const auto& message = this->request.message;
  std::string head;
  head.append(message.method_string())
      .append(" ")
      .append(message.target())
      .append(" HTTP/1.1\r\n");
  AppendEndToEnd(head, message.base(), [this](std::string_view name) {
    return this->parts.protocol.IsReserved(name) ||
           boost::beast::iequals(name, "Expect");
  });
  this->parts.protocol.AppendSend(
      head,
      {attempt.target.target,
       std::chrono::duration_cast<std::chrono::milliseconds>(this->Left()),
       this->forwarder.LastEvent()});
  const bool has_body = !this->body->empty() ||
                        message.count(http::field::content_length) > 0 ||
                        message.count(http::field::transfer_encoding) > 0;
  if (has_body) {
    head.append("Content-Length: ")
        .append(std::to_string(this->body->size()))
        .append("\r\n");
  }
  head.append("\r\n");
  return head;
}

Duration Relay::FirstByteLimit(const SelectedTarget& target) const {
  if (!this->route->IsRepeatable() ||
      this->runs + 1 >= this->route->max_attempts) {
    return this->Left();
  }
  const Duration silence = this->route->kind == RequestKind::kStream
                               ? Duration(kStreamSilence)
                               : Duration(kCallSilence);
  return std::min(this->Left(),
                  std::max(silence, kSilenceFactor * target.expected_ttfb));
}

Relay::End Relay::Try(Attempt& attempt) {
  const bool connected = this->Connect(attempt);
  if (connected && this->channel.IsGone()) {
    return End::kCallerGone;
  }
  attempt.id = AttemptId{this->parts.random.Next()};
  this->parts.board.OnSent(attempt.id, attempt.target, this->Query());
  if (!connected) {
    // The board learns from it as from a failed attempt.
    attempt.reason = Reason::kTargetUnreachable;
    return End::kUnsent;
  }
  this->parts.metrics.Count(Event::kAttemptStarted);
  if (this->forwarder.HasBegun()) {
    this->parts.metrics.Count(Event::kStreamResumed);
  }
  ++this->sends;
  this->last_target = attempt.target.target;
  this->current = attempt.exchange.get();
  const End end = this->Exchanged(attempt);
  this->current = nullptr;
  if (end == End::kUnknown && this->channel.IsGone()) {
    return End::kCallerGone;
  }
  return end;
}

Relay::End Relay::Exchanged(Attempt& attempt) {
  attempt.exchange->Send(this->HeadFor(attempt), this->body);
  bool has_head = false;
  {
    Exchange& exchange = *attempt.exchange;
    const Alarm silence(this->parts.alarms,
                        this->FirstByteLimit(attempt.target),
                        [&exchange] { exchange.Cancel(); });
    has_head = this->ReadOwnHead(attempt);
  }
  if (!has_head) {
    ++this->runs;
    attempt.reason =
        this->IsLate() ? Reason::kDeadlineExceeded : Reason::kTargetCrashed;
    return End::kUnknown;
  }
  this->parts.board.OnFirstByte(attempt.id);
  if (attempt.meta.load) {
    this->parts.board.OnLoadReport(attempt.target.target, *attempt.meta.load);
  }
  return this->JudgeHead(attempt);
}

// Reads past answers to earlier requests on the same connection.
bool Relay::ReadOwnHead(Attempt& attempt) {
  Exchange& exchange = *attempt.exchange;
  while (exchange.ReadHead()) {
    const auto& head = exchange.GetHead();
    attempt.meta = this->parts.protocol.ReadAnswer(head.result_int(), head,
                                                   attempt.target.target);
    if (attempt.meta.id == this->meta.id ||
        (attempt.meta.id.empty() && !IsSuccess(head.result_int()))) {
      return true;
    }
    this->parts.metrics.Count(Event::kChunkCrossed);
    LogWarning("answer_of_another_request",
               {{"request", this->meta.id},
                {"target", attempt.target.target.value},
                {"answered", attempt.meta.id}});
    if (!exchange.SkipRest()) {
      return false;
    }
  }
  return false;
}

Relay::End Relay::JudgeHead(Attempt& attempt) {
  const unsigned status = attempt.exchange->GetHead().result_int();
  if (attempt.meta.is_other_target) {
    attempt.reason = Reason::kTargetLeaving;
    this->parts.board.OnReplaced(attempt.target.target);
    return End::kNotRun;
  }
  if (attempt.meta.not_run || status == kMisdirected) {
    attempt.reason = Reason::kTargetRefused;
    if (status == kMisdirected) {
      this->parts.board.OnCopyMissing(attempt.target.target, this->meta.copy);
    } else {
      this->tried.push_back(attempt.target.target);
    }
    return End::kNotRun;
  }
  ++this->runs;
  if (IsSuccess(status) && !attempt.meta.is_signed) {
    attempt.reason = Reason::kTargetError;
    return End::kUnknown;
  }
  return this->Forward(attempt);
}

Duration Relay::EventSilence() const {
  const bool may_go_on =
      this->route->IsRepeatable() && this->runs < this->route->max_attempts;
  return may_go_on ? Duration(kEventSilence) : this->Left();
}

Relay::End Relay::Forward(Attempt& attempt) {
  const bool is_success = IsSuccess(attempt.exchange->GetHead().result_int());
  const bool is_stream =
      is_success && this->route->kind == RequestKind::kStream;
  const ForwardEnd end = is_stream
                             ? this->forwarder.ForwardStream(
                                   *attempt.exchange, this->EventSilence())
                             : this->forwarder.ForwardWhole(*attempt.exchange);
  switch (end) {
    case ForwardEnd::kDelivered:
      return End::kDelivered;
    case ForwardEnd::kCallerGone:
      return End::kCallerGone;
    case ForwardEnd::kFailed:
      attempt.reason = Reason::kTargetError;
      return End::kFailed;
    case ForwardEnd::kGap:
      attempt.reason = Reason::kCrossedAnswer;
      return End::kUnknown;
    case ForwardEnd::kBroken:
      break;
  }
  const Reason broken =
      is_stream ? Reason::kBrokenStream : Reason::kTargetCrashed;
  attempt.reason = this->IsLate() ? Reason::kDeadlineExceeded : broken;
  return End::kUnknown;
}

AttemptOutcome Relay::ForBoard(End end, Reason reason) {
  switch (end) {
    case End::kDelivered:
      return AttemptOutcome::kSuccess;
    case End::kFailed:
      return AttemptOutcome::kError;
    case End::kUnsent:
      return AttemptOutcome::kNoValidResponse;
    case End::kUnknown:
      return reason == Reason::kDeadlineExceeded
                 ? AttemptOutcome::kCancelled
                 : AttemptOutcome::kNoValidResponse;
    case End::kNotRun:
      return AttemptOutcome::kRefused;
    case End::kCallerGone:
      break;
  }
  return AttemptOutcome::kCancelled;
}

void Relay::OnAttemptEnd(Attempt& attempt, End end) {
  if (end == End::kUnsent || end == End::kUnknown || end == End::kFailed) {
    this->tried.push_back(attempt.target.target);
  }
  this->parts.board.OnEnd(attempt.id, ForBoard(end, attempt.reason));
  if (end != End::kDelivered) {
    LogInfo("attempt_failed",
            {{"request", this->meta.id},
             {"target", attempt.target.target.value},
             {"reason", CodeOf(attempt.reason)},
             {"expected_ms", attempt.target.expected_ttfb},
             {"left_ms", this->Left()},
             {"config", this->table->Config().version.value}});
  }
}

bool Relay::MayRepeat(End end, Reason reason) {
  if (this->Left() <= kShortestRun || this->sends >= kMaxSends ||
      this->tried.size() >= kMaxTried || this->channel.IsGone()) {
    return false;
  }
  switch (end) {
    case End::kUnsent:
      return true;
    case End::kNotRun:
      break;
    case End::kUnknown:
    case End::kFailed:
      if (!this->route->IsRepeatable() ||
          this->runs >= this->route->max_attempts ||
          reason == Reason::kDeadlineExceeded ||
          (this->forwarder.HasBegun() && !this->forwarder.LastEvent())) {
        return false;
      }
      break;
    case End::kDelivered:
    case End::kCallerGone:
      return false;
  }
  return this->parts.retries.TryAcquire(this->service,
                                        this->parts.entry_count());
}

}  // namespace pimentospar
