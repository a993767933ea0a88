#include "entry/chat_handler.h"

#include "net/log_line.h"

namespace pimentospar {

namespace {

// One million tokens, the highest `max_tokens` of a request, at four bytes
// each.
constexpr Bytes kMaxResponseBytes = Bytes{4} * 1024 * 1024;
// Times of an engine of speed 1, as in `AdmissionOptions`.
constexpr Duration kPrefillPerToken = std::chrono::microseconds(50);
constexpr Duration kDecodePerToken = std::chrono::milliseconds(1);
// The mean interval of fewer tokens says little about the speed of a target.
constexpr std::uint32_t kMinTokensForSpeed = 8;

std::int64_t ToUnixSeconds(WallTime time) {
  return std::chrono::duration_cast<std::chrono::seconds>(
             time.time_since_epoch())
      .count();
}

}  // namespace

ChatHandler::ChatHandler(EntryDependencies dependencies,
                         const RequestContext& context)
    : dependencies(dependencies),
      context(context),
      chat(std::get<ChatRequest>(context.request)),
      attempts(dependencies, context, true),
      assembler(dependencies.process.NextAttempt(), kMaxResponseBytes),
      writer(context,
             this->assembler.Current(),
             ToUnixSeconds(dependencies.process.clock.WallNow())) {}

void ChatHandler::Run() {
  const auto error = this->RunAttempts();
  if (!error) {
    this->writer.Finish(this->finish_reason, this->assembler.Delivered());
    this->dependencies.process.metrics.Count(CountedEvent::kRequestCompleted);
    return;
  }
  this->dependencies.process.metrics.CountRefusal(error->reason);
  LogInfo("request_failed", {{"reason", CodeOf(error->reason)},
                             {"executed", ToString(error->executed)},
                             {"attempts", error->attempts},
                             {"owner", this->context.owner.value},
                             {"detail", error->detail}});
  this->writer.Fail(*error);
}

std::optional<RequestError> ChatHandler::RunAttempts() {
  ChoiceRequest request;
  request.model = this->chat.model;
  request.adapter = QualifiedAdapter(this->chat.model, this->chat.adapter);
  request.prefix = this->chat.prefix;
  request.bytes = this->context.exchange->Request().body.size();
  while (true) {
    if (auto refused = this->attempts.CheckQuarantine()) {
      return refused;
    }
    auto choice = this->attempts.ChooseTarget(request);
    if (auto* error = std::get_if<RequestError>(&choice)) {
      return std::move(*error);
    }
    Attempt attempt{.route = std::get<AttemptRoute>(std::move(choice)),
                    .id = this->dependencies.process.NextAttempt()};
    const OutcomeMessage outcome = this->RunAttempt(attempt);
    if (outcome.reason == Reason::kNone) {
      this->attempts.OnSucceeded(attempt.route, attempt.id, outcome,
                                 this->IsSlow(attempt));
      this->dependencies.router.OnCacheUse(attempt.route.agent.target,
                                           this->chat.model, this->chat.prefix,
                                           outcome.cached_prompt_tokens);
      return std::nullopt;
    }
    if (auto error =
            this->attempts.OnFailed(attempt.route, attempt.id, outcome)) {
      return error;
    }
  }
}

ServeRequest ChatHandler::MakeServeRequest(AttemptId id) const {
  const auto delivered = this->assembler.Delivered();
  ServeRequest request;
  request.attempt = id;
  request.owner = this->context.owner;
  request.model = this->chat.model;
  request.adapter = this->chat.adapter;
  request.priority = this->context.priority;
  request.body = this->context.exchange->Request().body;
  request.remaining = RemainingTimeForTarget(
      this->dependencies.process.clock.Now(), this->context.deadline);
  request.fingerprint = this->context.fingerprint;
  request.resume_tokens = {delivered.begin(), delivered.end()};
  request.config_version = this->context.config->version;
  request.prompt_tokens = this->chat.prompt_tokens;
  request.max_tokens = this->chat.max_tokens;
  request.struck = this->attempts.HasStrike();
  return request;
}

std::shared_ptr<AttemptStream> ChatHandler::Send(const Attempt& attempt) {
  if (this->assembler.NextSequence() > 0) {
    this->dependencies.process.metrics.Count(CountedEvent::kStreamResumed);
  }
  const Address& address = attempt.route.agent.address;
  auto stream = this->dependencies.process.agents.Serve(
      address, this->MakeServeRequest(attempt.id));
  this->context.exchange->OnDisconnect(
      [&agents = this->dependencies.process.agents, stream, address] {
        stream->Close();
        agents.Cancel(address, stream->Id());
      });
  return stream;
}

OutcomeMessage ChatHandler::RunAttempt(Attempt& attempt) {
  (void)this->assembler.ContinueWith(attempt.id);
  this->attempts.OnSent(attempt.route, attempt.id, this->EstimateWork());
  attempt.execution.OnDispatch();
  const auto stream = this->Send(attempt);
  while (!this->too_large) {
    const TimePoint start = this->dependencies.process.clock.Now();
    AttemptEvent event = stream->Next(this->context.deadline);
    auto* chunk = std::get_if<ChunkMessage>(&event);
    if (chunk == nullptr) {
      return this->ValidateOutcome(
          attempt, this->AwaitCancelledOutcome(
                       attempt, *stream, std::get<OutcomeMessage>(event)));
    }
    if (attempt.tokens > 0) {
      attempt.token_wait += this->dependencies.process.clock.Now() - start;
    }
    this->OnChunk(attempt, *chunk);
  }
  stream->Close();
  this->dependencies.process.agents.Cancel(attempt.route.agent.address,
                                           attempt.id);
  OutcomeMessage outcome;
  outcome.reason = Reason::kInternal;
  outcome.executed = Executed::kUnknown;
  outcome.detail = "the response is too large";
  return outcome;
}

OutcomeMessage ChatHandler::AwaitCancelledOutcome(const Attempt& attempt,
                                                  AttemptStream& stream,
                                                  OutcomeMessage outcome) {
  if (outcome.reason != Reason::kDeadlineExceeded) {
    return outcome;
  }
  this->dependencies.process.agents.Cancel(attempt.route.agent.address,
                                           attempt.id);
  if (attempt.tokens > 0) {
    return outcome;
  }
  return AwaitOutcome(
      stream, this->dependencies.process.clock.Now() + kOutcomeGracePeriod,
      std::move(outcome));
}

void ChatHandler::OnChunk(Attempt& attempt, ChunkMessage& chunk) {
  const ChunkStatus status = this->assembler.OnChunk(
      {chunk.attempt, chunk.sequence, chunk.text, chunk.last});
  if (status != ChunkStatus::kAccepted && status != ChunkStatus::kCompleted) {
    this->RecordDroppedChunk(status);
    return;
  }
  attempt.execution.OnPartialResponse();
  ++attempt.tokens;
  if (status == ChunkStatus::kCompleted) {
    this->finish_reason = std::move(chunk.finish_reason);
    return;
  }
  if (this->assembler.NextSequence() == 1) {
    this->dependencies.process.metrics.RecordFirstTokenTime(
        this->dependencies.process.clock.Now() - this->context.received);
  }
  (void)this->writer.WriteToken(chunk.text);
}

OutcomeMessage ChatHandler::ValidateOutcome(const Attempt& attempt,
                                            OutcomeMessage outcome) {
  if (outcome.attempt != attempt.id) {
    // The outcome belongs to another attempt, so none of its fields can be
    // trusted.
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
    const ChunkStatus status =
        this->assembler.OnEnd(attempt.id, outcome.chunks);
    if (status != ChunkStatus::kCompleted) {
      this->RecordDroppedChunk(status);
      // A response that was marked as complete cannot be continued.
      outcome.reason = this->assembler.IsComplete() ? Reason::kInternal
                                                    : Reason::kBrokenStream;
      outcome.executed = Executed::kUnknown;
    }
  } else if (this->assembler.IsComplete()) {
    // All chunks, including the last one, have arrived; only the outcome was
    // lost.
    outcome.reason = Reason::kNone;
    outcome.executed = Executed::kYes;
  }
  return outcome;
}

void ChatHandler::RecordDroppedChunk(ChunkStatus status) {
  this->too_large = this->too_large || status == ChunkStatus::kTooLarge;
  Metrics& metrics = this->dependencies.process.metrics;
  metrics.Count(CountedEvent::kChunkDropped);
  switch (status) {
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
  return model != nullptr && attempt.tokens > kMinTokensForSpeed &&
         attempt.token_wait >
             (attempt.tokens - 1) * Duration(model->latency.between_tokens);
}

Duration ChatHandler::EstimateWork() const {
  return this->chat.prompt_tokens * kPrefillPerToken +
         this->chat.max_tokens * kDecodePerToken;
}

}  // namespace pimentospar
