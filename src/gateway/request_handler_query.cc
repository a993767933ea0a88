#include <algorithm>

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
    query.tokens_per_event = spec->engine->tokens_per_event;
  }
  query.entry_count = this->deps.entry_count();
  query.prompt_tokens = this->meta.prompt_tokens;
  query.prefix = this->meta.prefix;
  query.tried = this->tried_targets;
  query.repeatable = this->route->IsRepeatable();
  query.limits = &this->deps.rate_limits.Limits();
  if (this->route->kind == RequestKind::kStream) {
    const std::uint32_t expected =
        this->deps.stream_lengths.ExpectedEvents(this->route->name);
    query.expected_events =
        expected - std::min(expected, this->forwarder.EventCount());
    query.time_left = this->RemainingTime();
  }
  return query;
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
