#include "entry/chat_handler.h"

#include "net/log_line.h"

namespace pimentospar {

namespace {

// A million tokens, the largest answer that can be asked for, at four bytes.
constexpr Bytes kMaxAnswerBytes = Bytes{4} * 1024 * 1024;
// Time of an engine of speed 1, as in AdmissionOptions.
constexpr Duration kPrefillPerToken = std::chrono::microseconds(50);
constexpr Duration kDecodePerToken = std::chrono::milliseconds(1);
// Fewer gaps than this say little about a target's speed.
constexpr std::uint32_t kLeastTokensForSpeed = 8;

std::int64_t Seconds(WallTime time) {
  return std::chrono::duration_cast<std::chrono::seconds>(
             time.time_since_epoch())
      .count();
}

}  // namespace

ChatHandler::ChatHandler(EntryParts parts, const RequestContext& context)
    : parts(parts),
      context(context),
      chat(std::get<ChatRequest>(context.request)),
      attempts(parts, context, true),
      assembler(parts.process.NextAttempt(), kMaxAnswerBytes),
      writer(context,
             this->assembler.Current(),
             Seconds(parts.process.clock.WallNow())) {}

void ChatHandler::Run() {
  const auto problem = this->RunAttempts();
  if (!problem) {
    this->writer.Finish(this->finish_reason, this->assembler.Delivered());
    this->parts.process.metrics.Count(CountedEvent::kRequestCompleted);
    return;
  }
  this->parts.process.metrics.CountRefusal(problem->reason);
  LogInfo("request_failed", {{"reason", CodeOf(problem->reason)},
                             {"executed", ToString(problem->executed)},
                             {"attempts", problem->attempts},
                             {"owner", this->context.owner.value},
                             {"detail", problem->detail}});
  this->writer.Fail(*problem);
}

std::optional<Problem> ChatHandler::RunAttempts() {
  ChoiceRequest request;
  request.model = this->chat.model;
  request.adapter = QualifiedAdapter(this->chat.model, this->chat.adapter);
  request.prefix = this->chat.prefix;
  request.bytes = this->context.exchange->Request().body.size();
  while (true) {
    if (auto refused = this->attempts.Admit()) {
      return refused;
    }
    auto choice = this->attempts.Choose(request);
    if (auto* problem = std::get_if<Problem>(&choice)) {
      return std::move(*problem);
    }
    Attempt attempt{.route = std::get<Route>(std::move(choice)),
                    .id = this->parts.process.NextAttempt()};
    const OutcomeMessage outcome = this->RunAttempt(attempt);
    if (outcome.reason == Reason::kNone) {
      this->attempts.OnSucceeded(attempt.route, attempt.id, outcome,
                                 this->IsSlow(attempt));
      this->parts.routing.OnCacheUse(attempt.route.agent.target,
                                     this->chat.model, this->chat.prefix,
                                     outcome.cached_prompt_tokens);
      return std::nullopt;
    }
    if (auto problem =
            this->attempts.OnFailed(attempt.route, attempt.id, outcome)) {
      return problem;
    }
  }
}

ServeRequest ChatHandler::ToServe(AttemptId id) const {
  const auto delivered = this->assembler.Delivered();
  ServeRequest request;
  request.attempt = id;
  request.owner = this->context.owner;
  request.model = this->chat.model;
  request.adapter = this->chat.adapter;
  request.priority = this->context.priority;
  request.body = this->context.exchange->Request().body;
  request.remaining = RemainingAtTarget(this->parts.process.clock.Now(),
                                        this->context.deadline);
  request.fingerprint = this->context.fingerprint;
  request.resume_tokens = {delivered.begin(), delivered.end()};
  request.config_version = this->context.config->version;
  request.prompt_tokens = this->chat.prompt_tokens;
  request.max_tokens = this->chat.max_tokens;
  request.struck = this->attempts.IsStruck();
  return request;
}

std::shared_ptr<AttemptStream> ChatHandler::Send(const Attempt& attempt) {
  if (this->assembler.NextSequence() > 0) {
    this->parts.process.metrics.Count(CountedEvent::kStreamResumed);
  }
  const Address& address = attempt.route.agent.address;
  auto stream =
      this->parts.process.agents.Serve(address, this->ToServe(attempt.id));
  this->context.exchange->OnDisconnect(
      [&agents = this->parts.process.agents, stream, address] {
        stream->Close();
        agents.Cancel(address, stream->Id());
      });
  return stream;
}

OutcomeMessage ChatHandler::RunAttempt(Attempt& attempt) {
  (void)this->assembler.ContinueWith(attempt.id);
  this->attempts.OnSent(attempt.route, attempt.id, this->Work());
  attempt.execution.OnDispatch();
  const auto stream = this->Send(attempt);
  while (!this->too_large) {
    const TimePoint start = this->parts.process.clock.Now();
    AttemptEvent event = stream->Next(this->context.deadline);
    auto* chunk = std::get_if<ChunkMessage>(&event);
    if (chunk == nullptr) {
      return this->Judge(
          attempt,
          this->Settle(attempt, *stream, std::get<OutcomeMessage>(event)));
    }
    if (attempt.tokens > 0) {
      attempt.waited += this->parts.process.clock.Now() - start;
    }
    this->OnChunk(attempt, *chunk);
  }
  stream->Close();
  this->parts.process.agents.Cancel(attempt.route.agent.address, attempt.id);
  OutcomeMessage outcome;
  outcome.reason = Reason::kInternal;
  outcome.executed = Executed::kUnknown;
  outcome.detail = "the answer is too large";
  return outcome;
}

OutcomeMessage ChatHandler::Settle(const Attempt& attempt,
                                   AttemptStream& stream,
                                   OutcomeMessage outcome) {
  if (outcome.reason != Reason::kDeadlineExceeded) {
    return outcome;
  }
  this->parts.process.agents.Cancel(attempt.route.agent.address, attempt.id);
  if (attempt.tokens > 0) {
    return outcome;
  }
  return AwaitOutcome(stream, this->parts.process.clock.Now() + kSettleTime,
                      std::move(outcome));
}

void ChatHandler::OnChunk(Attempt& attempt, ChunkMessage& chunk) {
  const ChunkStatus verdict = this->assembler.OnChunk(
      {chunk.attempt, chunk.sequence, chunk.text, chunk.last});
  if (verdict != ChunkStatus::kAccepted && verdict != ChunkStatus::kCompleted) {
    this->CountDropped(verdict);
    return;
  }
  attempt.execution.OnPartialResponse();
  ++attempt.tokens;
  if (verdict == ChunkStatus::kCompleted) {
    this->finish_reason = std::move(chunk.finish_reason);
    return;
  }
  if (this->assembler.NextSequence() == 1) {
    this->parts.process.metrics.RecordFirstTokenTime(
        this->parts.process.clock.Now() - this->context.received);
  }
  (void)this->writer.WriteToken(chunk.text);
}

OutcomeMessage ChatHandler::Judge(const Attempt& attempt,
                                  OutcomeMessage outcome) {
  if (outcome.attempt != attempt.id) {
    // Nothing in an answer to another request can be trusted.
    outcome = {};
    outcome.attempt = attempt.id;
    outcome.reason = Reason::kCrossedAnswer;
    outcome.executed = Executed::kUnknown;
  }
  if (attempt.tokens > 0) {
    outcome.executed =
        CombineExecuted(outcome.executed, attempt.execution.Get());
  }
  if (this->context.exchange->IsDisconnected()) {
    outcome.reason = Reason::kCallerGone;
  } else if (outcome.reason == Reason::kNone) {
    const ChunkStatus verdict =
        this->assembler.OnEnd(attempt.id, outcome.chunks);
    if (verdict != ChunkStatus::kCompleted) {
      this->CountDropped(verdict);
      // An answer that was marked as complete cannot be continued.
      outcome.reason = this->assembler.IsComplete() ? Reason::kInternal
                                                    : Reason::kBrokenStream;
      outcome.executed = Executed::kUnknown;
    }
  } else if (this->assembler.IsComplete()) {
    // Only the outcome was lost; the chunks, the last one too, have arrived.
    outcome.reason = Reason::kNone;
    outcome.executed = Executed::kYes;
  }
  return outcome;
}

void ChatHandler::CountDropped(ChunkStatus verdict) {
  this->too_large = this->too_large || verdict == ChunkStatus::kTooLarge;
  Metrics& metrics = this->parts.process.metrics;
  metrics.Count(CountedEvent::kChunkDropped);
  switch (verdict) {
    case ChunkStatus::kMissingChunk:
      metrics.Count(CountedEvent::kChunkShort);
      break;
    case ChunkStatus::kUnknownAttempt:
      metrics.Count(CountedEvent::kChunkCrossed);
      break;
    case ChunkStatus::kLate:
      metrics.Count(CountedEvent::kChunkLate);
      break;
    case ChunkStatus::kRepeated:
      metrics.Count(CountedEvent::kChunkRepeated);
      break;
    default:
      break;
  }
}

bool ChatHandler::IsSlow(const Attempt& attempt) const {
  const ModelConfig* model =
      FindModel(this->context.config->configuration, this->chat.model);
  return model != nullptr && attempt.tokens > kLeastTokensForSpeed &&
         attempt.waited >
             (attempt.tokens - 1) * Duration(model->latency.between_tokens);
}

Duration ChatHandler::Work() const {
  return this->chat.prompt_tokens * kPrefillPerToken +
         this->chat.max_tokens * kDecodePerToken;
}

}  // namespace pimentospar
