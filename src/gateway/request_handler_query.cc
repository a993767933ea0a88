#include <algorithm>
#include <cmath>

#include "gateway/request_handler.h"

// What a request requires of its target, and the demand that it adds.
namespace pimentospar {

namespace {

// Engine time per output token when the engine runs other requests at the same
// time.
constexpr std::chrono::microseconds kOutputTokenWork{300};
constexpr std::uint32_t kTypicalOutputTokens = 200;
constexpr std::chrono::microseconds kPromptTokenWork{26};

}  // namespace

TargetQuery RequestHandler::BuildQuery() const {
  TargetQuery query;
  query.service = this->service;
  const ServiceSpec* spec = this->table->FindService(this->service);
  if (spec != nullptr && spec->engine) {
    query.copy = this->meta.copy;
    query.kv_capacity_tokens = spec->engine->kv_capacity_tokens;
  }
  query.entry_count = this->deps.entry_count();
  query.prompt_tokens = this->meta.prompt_tokens;
  query.prefix = this->meta.prefix;
  query.tried = this->tried_targets;
  query.repeatable = this->route->IsRepeatable();
  query.limits = &this->deps.rate_limits.Limits();
  if (this->route->kind == RequestKind::kStream) {
    query.tokens_per_event = this->TokensPerEvent();
    query.expected_events = this->ExpectedEvents(query.tokens_per_event);
    query.time_left = this->RemainingTime();
    query.max_pause = this->route->max_pause;
  }
  if (!this->forwarder.HasStarted() &&
      this->route->latency_goal > Duration(0)) {
    query.first_event_left =
        std::max(Duration(0), this->received_at + this->route->latency_goal -
                                  this->deps.clock.Now());
  }
  return query;
}

std::uint32_t RequestHandler::TokensPerEvent() const {
  const ServiceSpec* spec = this->table->FindService(this->service);
  return spec != nullptr && spec->engine ? spec->engine->tokens_per_event : 1;
}

OutputSource RequestHandler::FindOutputSource() const {
  return {this->route->name, this->meta.copy.model.value,
          this->workspace == nullptr ? std::string_view()
                                     : this->workspace->id.value};
}

std::uint32_t RequestHandler::ExpectedEvents(
    std::uint32_t tokens_per_event) const {
  const std::uint32_t forwarded = this->forwarder.EventCount();
  if (!this->deps.targets.PredictsCost()) {
    const std::uint32_t expected =
        this->deps.stream_lengths.ExpectedEvents(this->route->name);
    return expected - std::min(expected, forwarded);
  }
  double tokens = this->deps.output_lengths.ExpectedTokens(
      this->FindOutputSource(), this->meta.output_hint);
  if (this->meta.max_tokens > 0) {
    tokens = std::min<double>(tokens, this->meta.max_tokens);
  }
  const auto expected =
      static_cast<std::uint32_t>(std::ceil(tokens / tokens_per_event));
  // A stream that is longer than expected has at least one more event.
  return expected > forwarded ? expected - forwarded : std::min(expected, 1U);
}

void RequestHandler::RecordOutputLength() {
  const std::uint32_t events = this->forwarder.EventCount();
  this->deps.stream_lengths.OnStreamEnd(this->route->name, events);
  // The rest of a stream that the caller resumes says nothing about its length.
  if (this->deps.targets.PredictsCost() && !this->meta.last_event) {
    this->deps.output_lengths.OnEnd(
        this->FindOutputSource(), this->meta.output_hint,
        static_cast<double>(events) * this->TokensPerEvent());
  }
}

void RequestHandler::OnFirstTargetEvent() {
  this->deps.targets.OnFirstEvent(this->current_attempt);
  if (this->predicted_first_event > Duration(0)) {
    const Duration observed = this->deps.clock.Now() - this->last_sent_at;
    this->deps.metrics.RecordPrediction(
        this->route->name,
        Seconds(observed) / Seconds(this->predicted_first_event));
  }
}

void RequestHandler::RecordCopyDemand(const TargetQuery& query) {
  if (this->demand_recorded || query.copy.model.IsEmpty()) {
    return;
  }
  this->demand_recorded = true;
  const std::uint32_t output =
      std::min(this->meta.max_tokens, kTypicalOutputTokens);
  const std::uint32_t shared =
      query.prefix.empty() ? 0 : query.prefix.back().tokens;
  const std::uint32_t own =
      query.prompt_tokens - std::min(shared, query.prompt_tokens);
  const Duration work =
      own * Duration(kPromptTokenWork) + output * Duration(kOutputTokenWork);
  this->deps.copy_demand.OnRequest({this->service, {query.copy.model, {}}},
                                   work);
  if (!query.copy.adapter.IsEmpty()) {
    this->deps.copy_demand.OnRequest({this->service, query.copy}, Duration(0));
  }
}

}  // namespace pimentospar
