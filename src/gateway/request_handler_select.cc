#include <algorithm>

#include "gateway/request_handler.h"
#include "net/log_line.h"

// The selection of a target, the wait for a missing copy, and the queue of the
// entry.
namespace pimentospar {

namespace {

// A waiting request checks the targets at least this often; a change wakes it
// earlier.
constexpr std::chrono::milliseconds kTargetPollInterval{100};
// An adapter is loaded within milliseconds of the order. A longer wait than
// this means that no process is sending orders.
constexpr std::chrono::milliseconds kMaxAdapterWait{1500};
constexpr std::chrono::milliseconds kMaxModelWait{4000};
// A request waits for the load of a copy at most for its own time limit divided
// by this.
constexpr int kLoadWaitDivisor = 2;
// An overload rarely ends sooner than this; a longer wait would only delay the
// refusal.
constexpr std::chrono::milliseconds kMaxOverloadWait{200};
// Work of an output token in relation to that of a prompt token.
constexpr double kOutputTokenWeight = 12;
constexpr std::uint32_t kTypicalOutputTokens = 200;

// Returns what a load would have to bring so that a target could take the
// request; nothing if no load helps.
std::optional<CopyNotLoaded> MissingCopy(const TargetSelection& selection) {
  if (const auto* limited = std::get_if<AllTargetsLimited>(&selection)) {
    return limited->other_targets;
  }
  const auto* missing = std::get_if<CopyNotLoaded>(&selection);
  return missing == nullptr ? std::nullopt : std::optional(*missing);
}

}  // namespace

std::optional<SelectedTarget> RequestHandler::SelectTarget() {
  std::optional<SelectedTarget> selected = this->SelectInTurn();
  if (!selected) {
    this->queue_place.reset();
  }
  return selected;
}

std::optional<SelectedTarget> RequestHandler::SelectInTurn() {
  std::optional<CopyWait> wait;
  this->RecordArrival();
  if (this->MustQueueFirst() && !this->WaitInQueue()) {
    return std::nullopt;
  }
  while (!this->channel.IsDisconnected() &&
         this->RemainingTime() > kMinAttemptTime && !this->IsQuarantined()) {
    const TargetQuery query = this->BuildQuery();
    this->RecordCopyDemand(query);
    TargetSelection selection = this->deps.targets.Select(query);
    if (auto* selected = std::get_if<SelectedTarget>(&selection)) {
      this->RecordQueueOutcome(true);
      if (this->queue_place) {
        this->queue_place->OnSelected();
      }
      if (!selected->rate_limit) {
        return std::move(*selected);
      }
      this->queue_place.reset();
      if (this->AcquirePermit(*selected)) {
        return std::move(*selected);
      }
      continue;
    }
    this->last_selection = selection;
    if (std::holds_alternative<AllTargetsOverloaded>(selection)) {
      if (this->UsesQueue()) {
        if (!this->WaitInQueue()) {
          return std::nullopt;
        }
        continue;
      }
      if (!this->WaitForTargetChange(kMaxOverloadWait)) {
        return std::nullopt;
      }
      continue;
    }
    this->queue_place.reset();
    const auto missing = MissingCopy(selection);
    if (!missing || !this->WaitForCopy(missing->model_loaded, wait)) {
      return std::nullopt;
    }
  }
  return std::nullopt;
}

bool RequestHandler::UsesQueue() const {
  return this->deps.selection_queue.IsEnabled(this->table.get());
}

// Requests that are sent again, or whose response has begun, have had their
// turn.
bool RequestHandler::MustQueueFirst() const {
  return this->send_count == 0 && !this->forwarder.HasStarted() &&
         this->UsesQueue() && this->deps.selection_queue.Waiting() > 0 &&
         this->deps.selection_queue.MustWait(this->BuildEntryRequest());
}

double RequestHandler::PredictedWork() const {
  const std::uint32_t output =
      this->meta.output_hint.value_or(kTypicalOutputTokens);
  return 1.0 + this->meta.prompt_tokens +
         kOutputTokenWeight * std::min(this->meta.max_tokens, output);
}

void RequestHandler::RecordArrival() {
  if (this->in_excess || this->workspace == nullptr || !this->UsesQueue()) {
    return;
  }
  this->in_excess = this->deps.selection_queue.OnArrival(this->workspace->id,
                                                         this->PredictedWork());
}

EntryRequest RequestHandler::BuildEntryRequest() const {
  EntryRequest entry;
  if (this->workspace != nullptr) {
    entry.workspace = this->workspace->id;
  }
  entry.rank = this->Rank();
  entry.service = this->service;
  const ServiceSpec* spec = this->table->FindService(this->service);
  if (spec != nullptr && spec->engine) {
    entry.model = this->meta.copy.model;
  }
  entry.work = this->PredictedWork();
  entry.in_excess = this->in_excess.value_or(false);
  entry.route = this->route->name;
  entry.received_at = this->received_at;
  entry.goal_at = this->received_at + this->route->latency_goal;
  entry.deadline = this->deadline;
  entry.bytes = this->body->size();
  entry.has_begun = this->forwarder.HasStarted();
  return entry;
}

bool RequestHandler::WaitInQueue() {
  if (!std::holds_alternative<AllTargetsOverloaded>(this->last_selection)) {
    this->last_selection = AllTargetsOverloaded{};
  }
  if (!this->queue_place) {
    this->queue_place.emplace(this->deps.selection_queue,
                              this->BuildEntryRequest());
  }
  while (!this->channel.IsDisconnected() &&
         this->RemainingTime() > kMinAttemptTime && !this->IsQuarantined()) {
    const QueueWaitResult result = this->queue_place->WaitForTurn();
    if (const auto* refusal = std::get_if<QueueRefusal>(&result)) {
      this->queue_refusal = *refusal;
      this->LogQueueRefusal(*refusal);
      this->RecordQueueOutcome(false);
      return false;
    }
    if (std::holds_alternative<TurnGranted>(result)) {
      return true;
    }
  }
  if (this->IsPastDeadline()) {
    this->RecordQueueOutcome(false);
  }
  return false;
}

void RequestHandler::RecordQueueOutcome(bool served) {
  if (this->workspace != nullptr && !this->queue_outcome_recorded &&
      !this->in_excess.value_or(false)) {
    this->queue_outcome_recorded = true;
    this->deps.selection_queue.OnOutcome(this->workspace->id, served);
  }
}

void RequestHandler::LogQueueRefusal(const QueueRefusal& refusal) const {
  LogInfo("queue_refused",
          {{"request", this->meta.id},
           {"cause", ToString(refusal.cause)},
           {"route", this->route->name},
           {"workspace",
            this->workspace == nullptr ? "" : this->workspace->id.value},
           {"rank", this->Rank()},
           {"excess", this->in_excess.value_or(false) ? 1 : 0},
           {"backlog", refusal.backlog},
           {"predicted_ms",
            refusal.predicted_wait.value_or(std::chrono::milliseconds(-1))},
           {"left_ms", refusal.left},
           {"retry_after_ms", refusal.retry_after}});
}

Duration RequestHandler::MaxLoadWait(bool model_loaded) const {
  const Duration limit = model_loaded ? kMaxAdapterWait : kMaxModelWait;
  return std::min(limit,
                  (this->deadline - this->received_at) / kLoadWaitDivisor);
}

bool RequestHandler::WaitForCopy(bool model_loaded,
                                 std::optional<CopyWait>& wait) {
  const Duration max_wait = this->MaxLoadWait(model_loaded);
  if (this->send_count >= kMaxSends ||
      this->deps.clock.Now() >= this->received_at + max_wait) {
    return false;
  }
  const ServiceCopy copy{
      this->service,
      model_loaded ? this->meta.copy : CopyRef{this->meta.copy.model, {}}};
  if (!wait || wait->Copy() != copy) {
    wait.emplace(this->deps.copy_demand, copy);
  }
  return this->WaitForTargetChange(max_wait);
}

// Waits for a change of the known targets. Returns false if the request was
// received more than `max_wait` ago.
bool RequestHandler::WaitForTargetChange(Duration max_wait) {
  const Duration left = this->received_at + max_wait - this->deps.clock.Now();
  if (left <= Duration(0)) {
    return false;
  }
  (void)this->deps.targets_changed.WaitFor(
      std::min<Duration>(left, kTargetPollInterval));
  return true;
}

}  // namespace pimentospar
