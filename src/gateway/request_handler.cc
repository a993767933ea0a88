#include "gateway/request_handler.h"

#include <algorithm>
#include <boost/beast/http/verb.hpp>

#include "gateway/silence_timer.h"
#include "net/log_line.h"

namespace pimentospar {

namespace {

namespace http = boost::beast::http;

// If no response begins within this time, or within a multiple of the expected
// time if that is longer, a repeatable call or stream is retried at another
// target, provided there is one.
constexpr std::chrono::milliseconds kCallFirstByteTimeout{300};
constexpr std::chrono::milliseconds kStreamFirstByteTimeout{1500};
constexpr int kFirstByteTimeoutFactor = 4;
// A resumable stream continues at another target after this time without an
// event.
constexpr std::chrono::milliseconds kEventTimeout{1500};
constexpr unsigned kMisdirectedRequest = 421;
constexpr unsigned kTooManyRequestsStatus = 429;
constexpr std::string_view kEventStreamType = "text/event-stream";

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace

RequestHandler::RequestHandler(RequestDependencies& deps,
                               CallerRequest& request,
                               CallerChannel& channel)
    : deps(deps),
      request(request),
      channel(channel),
      table(deps.routes()),
      meta(deps.protocol.ParseRequest(request.message.base())),
      received_at(deps.clock.Now()),
      forwarder(deps.clock,
                deps.timers,
                request,
                channel,
                this->meta.last_event,
                [this](std::optional<Duration> interval) {
                  this->OnTargetEvent(interval);
                }) {}

Duration RequestHandler::RemainingTime() const {
  return this->deadline - this->deps.clock.Now();
}

bool RequestHandler::FindRoute() {
  const std::string_view target = this->request.message.target();
  const std::string_view host = this->request.message[http::field::host];
  this->route = this->table->Match(host, PathOf(target));
  if (this->route == nullptr) {
    return false;
  }
  const ServiceId* chosen =
      ChooseService(*this->route, this->deps.random.NextDouble());
  if (chosen == nullptr) {
    return false;
  }
  this->service = *chosen;
  this->deadline = this->received_at +
                   std::min(this->meta.deadline.value_or(this->route->timeout),
                            this->route->timeout);
  return true;
}

bool RequestHandler::Run() {
  this->deps.metrics.Count(CountedEvent::kRequestStarted);
  if (this->table == nullptr) {
    return this->RefuseNotReady();
  }
  if (!this->FindRoute()) {
    return this->RefuseNotFound();
  }
  if (const auto denied = this->Authenticate()) {
    return this->RefuseAccess(*denied);
  }
  if (const auto exceeded = this->Charge()) {
    return this->Refuse(kTooManyRequestsStatus, Reason::kQuotaExceeded,
                        exceeded->retry_after);
  }
  return this->Serve();
}

bool RequestHandler::Serve() {
  this->deps.retry_budget.OnRequest(this->service);
  this->body = std::make_shared<const std::string>(
      std::move(this->request.message.body()));
  this->IdentifyRequest();
  const auto cancel = [this] {
    if (this->queue_place) {
      this->queue_place->Interrupt();
    }
    if (this->current_exchange != nullptr) {
      this->current_exchange->Cancel();
    }
  };
  this->channel.WatchForDisconnect(cancel);
  const ScopedTimer deadline_timer(this->deps.timers, this->RemainingTime(),
                                   cancel);
  const Subscription causes(this->deps.crashes.CausesChanged(),
                            [this] { this->OnCausesChanged(); });
  const Subscription grace_time_end(this->deps.grace_time_ended,
                                    [this] { this->OnGraceTimeEnd(); });
  return this->RunAttempts();
}

bool RequestHandler::RunAttempts() {
  AttemptStatus attempt_status = AttemptStatus::kNotSent;
  Reason reason = Reason::kNoTarget;
  while (true) {
    Attempt attempt;
    if (auto selected = this->SelectTarget()) {
      attempt.target = std::move(*selected);
    } else {
      const bool quarantined =
          std::holds_alternative<RefuseQuarantined>(this->admission);
      return this->Finish(attempt_status,
                          quarantined ? Reason::kRequestQuarantined : reason);
    }
    if (this->channel.IsDisconnected()) {
      return this->Finish(AttemptStatus::kCallerDisconnected,
                          Reason::kCallerGone);
    }
    attempt_status = this->RunAttempt(attempt);
    reason = attempt.reason;
    this->OnAttemptEnd(attempt, attempt_status);
    if (attempt_status == AttemptStatus::kDelivered) {
      if (this->forwarder.EventCount() > 0) {
        this->RecordOutputLength();
      }
      this->LogOutcome("answered", attempt.exchange->GetHead().result_int(),
                       Reason::kNone);
      return true;
    }
    if (!this->AllowRetry(attempt, attempt_status)) {
      return this->Finish(attempt_status, reason);
    }
    this->deps.metrics.CountRetry(reason);
  }
}

void RequestHandler::OnGraceTimeEnd() {
  this->is_cut_off = true;
  this->request.close_after = true;
  this->deadline = std::min(this->deadline, this->deps.clock.Now());
  if (this->queue_place) {
    this->queue_place->Interrupt();
  }
  if (this->current_exchange != nullptr) {
    this->current_exchange->Cancel();
  }
}

bool RequestHandler::Connect(Attempt& attempt) {
  const std::string& address = attempt.target.address;
  // A copy of an earlier refusal of this request may still arrive on a
  // connection that was in use then.
  const bool was_refused =
      std::ranges::find(this->refused_by, attempt.target.target) !=
      this->refused_by.end();
  auto connection = was_refused ? nullptr : this->deps.pool.TakeIdle(address);
  if (connection == nullptr) {
    connection = this->deps.pool.Connect(address);
  }
  if (connection == nullptr) {
    return false;
  }
  attempt.exchange = std::make_unique<UpstreamExchange>(
      this->deps.pool, std::move(connection),
      this->request.message.method() == http::verb::head);
  return true;
}

std::string RequestHandler::BuildRequestHead(const Attempt& attempt) const {
  const auto& message = this->request.message;
  const bool hides_keys = !this->table->Config().workspaces.empty();
  std::string head;
  head.append(message.method_string())
      .append(" ")
      .append(message.target())
      .append(" HTTP/1.1\r\n");
  AppendEndToEndHeaders(
      head, message.base(), [this, hides_keys](std::string_view name) {
        return this->deps.protocol.IsReserved(name) ||
               (hides_keys && this->deps.protocol.IsCredential(name)) ||
               boost::beast::iequals(name, "Expect");
      });
  this->deps.protocol.AppendAttemptHeaders(
      head, {attempt.target.target,
             std::chrono::duration_cast<std::chrono::milliseconds>(
                 this->RemainingTime()),
             this->forwarder.LastEvent(),
             this->workspace == nullptr ? WorkspaceId() : this->workspace->id,
             this->TargetPriority()});
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

Duration RequestHandler::FirstByteTimeout(const SelectedTarget& target) const {
  const Duration min_timeout = this->route->kind == RequestKind::kStream
                                   ? Duration(kStreamFirstByteTimeout)
                                   : Duration(kCallFirstByteTimeout);
  return std::max(min_timeout, kFirstByteTimeoutFactor * target.expected_ttfb);
}

RequestHandler::AttemptStatus RequestHandler::RunAttempt(Attempt& attempt) {
  const bool connected = this->Connect(attempt);
  if (connected && this->channel.IsDisconnected()) {
    return AttemptStatus::kCallerDisconnected;
  }
  attempt.id = AttemptId{this->deps.random.Next()};
  this->deps.targets.OnSent(attempt.id, attempt.target, this->BuildQuery());
  this->queue_place.reset();
  if (!connected) {
    // A failed connection counts as a failed attempt of the target.
    attempt.reason = Reason::kTargetUnreachable;
    return AttemptStatus::kNotSent;
  }
  this->deps.metrics.Count(CountedEvent::kAttemptStarted);
  if (this->forwarder.HasStarted()) {
    this->deps.metrics.Count(CountedEvent::kStreamResumed);
  }
  if (this->send_count == 0 && this->charged_units > 0) {
    this->deps.quotas.OnSent(this->workspace->id, this->charged_units);
  }
  ++this->send_count;
  this->last_target = attempt.target.target;
  this->current_attempt = attempt.id;
  this->predicted_first_event = attempt.target.expected_end > Duration(0)
                                    ? attempt.target.expected_ttfb
                                    : Duration(0);
  this->current_exchange = attempt.exchange.get();
  const AttemptStatus attempt_status = this->SendAndReceive(attempt);
  this->current_exchange = nullptr;
  if (attempt_status == AttemptStatus::kUnknown &&
      this->channel.IsDisconnected()) {
    return AttemptStatus::kCallerDisconnected;
  }
  return attempt_status;
}

RequestHandler::AttemptStatus RequestHandler::SendAndReceive(Attempt& attempt) {
  this->last_sent_at = this->deps.clock.Now();
  this->survival_recorded = false;
  attempt.earlier_events = this->forwarder.EventCount();
  attempt.exchange->Send(this->BuildRequestHead(attempt), this->body);
  bool has_head = false;
  {
    const SilenceTimer timer(
        this->deps.timers, this->deps.clock, *attempt.exchange,
        this->last_sent_at, this->FirstByteTimeout(attempt.target),
        [this](Duration silence) {
          return this->TryReserveRetry(this->run_count + 1, silence);
        });
    has_head = this->ReadMatchingHead(attempt);
  }
  if (!has_head) {
    ++this->run_count;
    attempt.reason = this->ReasonOfBreak(Reason::kTargetCrashed);
    return AttemptStatus::kUnknown;
  }
  this->deps.targets.OnFirstByte(attempt.id);
  this->RecordNotice(attempt);
  if (attempt.meta.load) {
    this->deps.targets.OnLoadReport(attempt.target.target, *attempt.meta.load);
  }
  this->deps.rate_limits.OnResponse(attempt.target.target,
                                    attempt.target.started_ms,
                                    attempt.meta.rate_limit);
  if (attempt.meta.rate_limit) {
    this->LogRateLimit(attempt);
  }
  return this->HandleResponseHead(attempt);
}

// Skips responses to earlier requests on the same connection. An error without
// an ID belongs to this request only if there was no earlier one.
bool RequestHandler::ReadMatchingHead(Attempt& attempt) {
  UpstreamExchange& exchange = *attempt.exchange;
  while (exchange.ReadHead()) {
    const auto& head = exchange.GetHead();
    attempt.meta = this->deps.protocol.ParseResponse(head.result_int(), head,
                                                     attempt.target.target);
    if (attempt.meta.id == this->meta.id ||
        (attempt.meta.id.empty() && !IsSuccess(head.result_int()) &&
         !exchange.IsReused())) {
      return true;
    }
    this->deps.metrics.Count(CountedEvent::kChunkCrossed);
    LogWarning("answer_of_another_request",
               {{"request", this->meta.id},
                {"target", attempt.target.target.value},
                {"answered", attempt.meta.id}});
    if (!exchange.DiscardRemainingBody()) {
      return false;
    }
  }
  return false;
}

RequestHandler::AttemptStatus RequestHandler::HandleResponseHead(
    Attempt& attempt) {
  const unsigned status = attempt.exchange->GetHead().result_int();
  if (attempt.meta.is_other_target) {
    attempt.reason = Reason::kTargetLeaving;
    this->deps.targets.OnReplaced(attempt.target.target);
    return AttemptStatus::kNotRun;
  }
  if (attempt.meta.not_run || status == kMisdirectedRequest) {
    attempt.reason = Reason::kTargetRefused;
    if (status == kMisdirectedRequest) {
      this->deps.targets.OnCopyMissing(attempt.target.target, this->meta.copy);
    } else {
      this->tried_targets.push_back(attempt.target.target);
    }
    return AttemptStatus::kNotRun;
  }
  ++this->run_count;
  // An error without the id belongs to no request.
  const bool is_own_response = attempt.meta.id == this->meta.id;
  if (!is_own_response ||
      (IsSuccess(status) && !this->IsUsableSuccess(attempt))) {
    attempt.reason = Reason::kTargetError;
    return AttemptStatus::kUnknown;
  }
  return this->ForwardResponse(attempt);
}

bool RequestHandler::IsUsableSuccess(const Attempt& attempt) const {
  if (!attempt.meta.is_signed || !this->forwarder.HasStarted()) {
    return attempt.meta.is_signed;
  }
  const std::string_view type =
      attempt.exchange->GetHead()[http::field::content_type];
  return boost::beast::iequals(type.substr(0, kEventStreamType.size()),
                               kEventStreamType);
}

RequestHandler::AttemptStatus RequestHandler::ForwardResponse(
    Attempt& attempt) {
  const bool is_success = IsSuccess(attempt.exchange->GetHead().result_int());
  const bool is_stream =
      is_success && this->route->kind == RequestKind::kStream;
  const ForwardResult result =
      is_stream ? this->forwarder.ForwardStream(
                      *attempt.exchange, kEventTimeout,
                      [this](Duration silence) {
                        return this->TryReserveRetry(this->run_count, silence);
                      })
                : this->forwarder.ForwardBuffered(*attempt.exchange);
  switch (result) {
    case ForwardResult::kDelivered:
      return AttemptStatus::kDelivered;
    case ForwardResult::kCallerDisconnected:
      return AttemptStatus::kCallerDisconnected;
    case ForwardResult::kErrorResponse:
      attempt.reason = Reason::kTargetError;
      return AttemptStatus::kErrorResponse;
    case ForwardResult::kMissingEvent:
      attempt.reason = Reason::kCrossedAnswer;
      return AttemptStatus::kUnknown;
    case ForwardResult::kIncomplete:
      break;
  }
  attempt.reason = this->ReasonOfBreak(is_stream ? Reason::kBrokenStream
                                                 : Reason::kTargetCrashed);
  return AttemptStatus::kUnknown;
}

AttemptOutcome RequestHandler::ToAttemptOutcome(AttemptStatus attempt_status,
                                                Reason reason) {
  switch (attempt_status) {
    case AttemptStatus::kDelivered:
      return AttemptOutcome::kSuccess;
    case AttemptStatus::kErrorResponse:
      return AttemptOutcome::kError;
    case AttemptStatus::kNotSent:
      return AttemptOutcome::kNoValidResponse;
    case AttemptStatus::kUnknown:
      return reason == Reason::kDeadlineExceeded ||
                     reason == Reason::kDraining ||
                     reason == Reason::kRequestQuarantined
                 ? AttemptOutcome::kCancelled
                 : AttemptOutcome::kNoValidResponse;
    case AttemptStatus::kNotRun:
      return AttemptOutcome::kRefused;
    case AttemptStatus::kCallerDisconnected:
      break;
  }
  return AttemptOutcome::kCancelled;
}

Reason RequestHandler::ReasonOfBreak(Reason by_target) const {
  if (this->is_cut_off) {
    return Reason::kDraining;
  }
  if (this->IsPastDeadline()) {
    return Reason::kDeadlineExceeded;
  }
  return std::holds_alternative<RefuseQuarantined>(this->admission)
             ? Reason::kRequestQuarantined
             : by_target;
}

void RequestHandler::OnAttemptEnd(Attempt& attempt,
                                  AttemptStatus attempt_status) {
  this->RecordSurvival(attempt, attempt_status);
  if (attempt_status == AttemptStatus::kNotSent ||
      attempt_status == AttemptStatus::kUnknown ||
      attempt_status == AttemptStatus::kErrorResponse) {
    this->tried_targets.push_back(attempt.target.target);
  }
  if (attempt_status == AttemptStatus::kNotRun) {
    this->refused_by.push_back(attempt.target.target);
  }
  this->deps.targets.OnEnd(attempt.id,
                           ToAttemptOutcome(attempt_status, attempt.reason));
  if (attempt_status == AttemptStatus::kDelivered &&
      attempt.earlier_events == 0) {
    const TimePoint now = this->deps.clock.Now();
    const TimePoint goal_reached = this->forwarder.FirstEventAt().value_or(now);
    this->deps.selection_queue.OnResponse(
        this->service, this->route->name,
        {goal_reached - this->last_sent_at, now - this->last_sent_at});
  }
  this->deps.selection_queue.OnAttemptEnd(this->service);
  if (attempt_status != AttemptStatus::kDelivered) {
    this->LogFailedAttempt(attempt);
  }
}

}  // namespace pimentospar
