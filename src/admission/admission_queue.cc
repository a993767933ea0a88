#include "pimentospar/admission/admission_queue.h"

#include <algorithm>
#include <cmath>

namespace pimentospar {

namespace {

constexpr double kMinSpeed = 0.02;
constexpr double kMaxSpeed = 50.0;
// The measured speed is an average over one to two windows of saturated time.
constexpr Duration kSpeedWindow = std::chrono::seconds(10);
// With a shorter time, callers would retry before the load has changed.
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);

std::size_t LevelOf(Priority priority) {
  return static_cast<std::size_t>(priority);
}

}  // namespace

AdmissionQueue::AdmissionQueue(const Clock& clock,
                               const AdmissionOptions& options)
    : clock(clock),
      options(options),
      shares_updated(clock.Now()),
      saturation_checked(clock.Now()),
      saturated_time(kSpeedWindow),
      saturated_work(kSpeedWindow) {}

void AdmissionQueue::SetWeights(std::span<const OwnerWeight> weights) {
  this->weights.clear();
  for (const OwnerWeight& entry : weights) {
    this->weights[entry.owner] = entry.weight;
  }
}

double AdmissionQueue::WeightOf(const OwnerId& owner) const {
  const auto found = this->weights.find(owner);
  return found == this->weights.end() || found->second <= 0 ? 1.0
                                                            : found->second;
}

AdmissionQueue::EstimatedRequest AdmissionQueue::Estimate(
    const WorkRequest& request) const {
  const std::uint32_t prefill =
      request.prompt_tokens -
      std::min(request.prompt_tokens, request.cached_prompt_tokens);
  const Duration work =
      prefill * this->options.prefill_per_token +
      Scale(request.max_output_tokens * this->options.decode_per_token,
            this->output_share);
  const Bytes tokens = Bytes{request.prompt_tokens} + request.max_output_tokens;
  return {request, work, tokens * request.kv_bytes_per_token};
}

// Returns the work in the same class that fair queueing starts before a new
// request of this owner.
Duration AdmissionQueue::WorkAhead(const OwnerId& owner,
                                   std::size_t level) const {
  const auto& flows = this->classes[level].flows;
  const auto own = flows.find(owner);
  if (own == flows.end()) {
    return Duration(0);
  }
  const Duration backlog = own->second.backlog;
  Duration ahead{0};
  for (const auto& [other, flow] : flows) {
    const double ratio = this->WeightOf(other) / this->WeightOf(owner);
    ahead += std::min(flow.backlog, Scale(backlog, ratio));
  }
  return ahead;
}

double AdmissionQueue::ServiceRate(std::size_t level) const {
  double used_above = 0;
  bool lower_waits = false;
  for (std::size_t other = 0; other < kClassCount; ++other) {
    used_above += other < level ? this->classes[other].recent_work : 0;
    lower_waits |= other > level && this->classes[other].backlog > Duration(0);
  }
  used_above /= Seconds(this->options.share_window);
  const double lower = this->options.lower_class_share;
  const double least = level == 0 ? 1 - lower : lower / (kClassCount - 1);
  const double rate =
      (this->speed - used_above) * (lower_waits ? 1 - lower : 1);
  return std::max(rate, this->speed * least);
}

// Returns the expected duration of a request that shares the engine with
// `others` requests. The past slowdown alone is too low when the load rises.
Duration AdmissionQueue::ServiceTime(const EstimatedRequest& item,
                                     std::size_t others) const {
  const std::size_t sharing =
      1 + std::min<std::size_t>(others, this->options.max_running - 1);
  return Scale(item.work,
               std::max(this->mean_slowdown,
                        this->concurrency_slowdown.Predict(sharing)));
}

// Returns the wait in a lower class that is served only from the reserve for
// lower classes.
Duration AdmissionQueue::ReserveWait(Duration ahead, std::size_t level) const {
  std::size_t sharing = 1;
  for (std::size_t other = 1; other < kClassCount; ++other) {
    sharing +=
        other != level && this->classes[other].backlog > Duration(0) ? 1 : 0;
  }
  const double rate = this->speed * this->options.lower_class_share;
  const double debt = std::max(0.0, -this->reserve);
  return Scale(ahead, static_cast<double>(sharing) / rate) +
         Scale(std::chrono::seconds(1), debt / rate);
}

Duration AdmissionQueue::ExpectedWait(const OwnerId& owner,
                                      Priority priority) const {
  const std::size_t level = LevelOf(priority);
  const Duration ahead = this->WorkAhead(owner, level);
  Duration higher{0};
  for (std::size_t other = 0; other < level; ++other) {
    higher += this->classes[other].backlog;
  }
  const Duration wait = Scale(higher + ahead, 1 / this->ServiceRate(level));
  return level == 0 ? wait : std::min(wait, this->ReserveWait(ahead, level));
}

Duration AdmissionQueue::QueuedWork() const {
  Duration work{0};
  for (const PriorityClass& each : this->classes) {
    work += each.backlog;
  }
  return Scale(work, 1 / this->speed);
}

Duration AdmissionQueue::RunningWork() const {
  const TimePoint now = this->clock.Now();
  Duration work{0};
  for (const auto& [attempt, started] : this->running) {
    const Duration done =
        Scale(now - started.start_time, 1 / this->mean_slowdown);
    work += std::max(Duration(0), started.item.work - done);
  }
  return Scale(work, 1 / this->speed);
}

Duration AdmissionQueue::RetryAfter(Duration excess) const {
  return std::clamp(excess, kMinRetryAfter,
                    std::max(kMinRetryAfter, this->options.max_retry_after));
}

bool AdmissionQueue::IsFull() const {
  return this->waiting >= this->options.max_length;
}

AdmissionDecision AdmissionQueue::Offer(const WorkRequest& request) {
  this->UpdateSaturation();
  this->DecayShares();
  const TimePoint now = this->clock.Now();
  if (now >= request.deadline) {
    ++this->counters.expired;
    return WorkRefused{Reason::kDeadlineExceeded};
  }
  const EstimatedRequest item = this->Estimate(request);
  if (item.kv_bytes > this->options.kv_capacity) {
    ++this->counters.refused_by_memory;
    return WorkRefused{Reason::kTargetRefused};
  }
  const Duration wait = this->ExpectedWait(request.owner, request.priority);
  const Duration excess =
      now + wait +
      this->ServiceTime(item, this->running.size() + this->waiting) -
      request.deadline;
  // A request at an idle target is never refused: only running it can correct
  // an estimate that has become too high.
  const bool idle = this->running.empty() && this->waiting == 0;
  if (excess > Duration(0) && !idle) {
    ++this->counters.refused_by_deadline;
    return WorkRefused{Reason::kOverloaded, this->RetryAfter(excess)};
  }
  if (this->IsFull() &&
      !this->MakeRoom(request.owner, LevelOf(request.priority))) {
    ++this->counters.refused_by_length;
    return WorkRefused{Reason::kOverloaded, this->RetryAfter(wait)};
  }
  this->Enqueue(item);
  ++this->counters.queued;
  return WorkQueued{wait};
}

void AdmissionQueue::Enqueue(EstimatedRequest item) {
  PriorityClass& target = this->classes[LevelOf(item.request.priority)];
  if (target.backlog == Duration(0)) {
    for (std::size_t level = 1; level < kClassCount; ++level) {
      // A class accumulates no claim on the reserve while it is idle.
      target.reserve_used = std::max(target.reserve_used,
                                     this->classes[level].backlog > Duration(0)
                                         ? this->classes[level].reserve_used
                                         : 0);
    }
  }
  Flow& flow = target.flows[item.request.owner];
  if (flow.items.empty()) {
    flow.start_tag = std::max(flow.start_tag, target.virtual_time);
  }
  flow.backlog += item.work;
  target.backlog += item.work;
  ++this->waiting;
  flow.items.push_back(std::move(item));
}

AdmissionQueue::EstimatedRequest AdmissionQueue::RemoveAt(
    std::size_t level,
    const OwnerId& owner,
    std::size_t position) {
  PriorityClass& from = this->classes[level];
  const auto found = from.flows.find(owner);
  Flow& flow = found->second;
  const auto place = flow.items.begin() + static_cast<std::ptrdiff_t>(position);
  EstimatedRequest item = std::move(*place);
  flow.items.erase(place);
  flow.backlog -= item.work;
  from.backlog -= item.work;
  --this->waiting;
  return item;
}

void AdmissionQueue::Drop(const EstimatedRequest& item, Reason reason) {
  const bool expired = reason == Reason::kDeadlineExceeded;
  ++(expired ? this->counters.expired : this->counters.refused_by_length);
  this->dropped.push_back(
      {item.request.attempt, reason,
       expired ? Duration(0) : this->RetryAfter(this->QueuedWork())});
}

bool AdmissionQueue::MakeRoom(const OwnerId& owner, std::size_t level) {
  this->DropExpired();
  if (!this->IsFull()) {
    return true;
  }
  for (std::size_t lower = kClassCount - 1; lower > level; --lower) {
    if (this->EvictRequest(lower, nullptr)) {
      return true;
    }
  }
  return this->EvictRequest(level, &owner);
}

// Drops the newest request of the owner with the most waiting requests relative
// to its weight, if that is more than the owner of the new request would have.
bool AdmissionQueue::EvictRequest(std::size_t level, const OwnerId* newcomer) {
  const auto& flows = this->classes[level].flows;
  double most = 0;
  if (newcomer != nullptr) {
    const auto own = flows.find(*newcomer);
    const std::size_t length =
        own == flows.end() ? 0 : own->second.items.size();
    most = static_cast<double>(length + 1) / this->WeightOf(*newcomer);
  }
  const OwnerId* victim = nullptr;
  for (const auto& [owner, flow] : flows) {
    const double length =
        static_cast<double>(flow.items.size()) / this->WeightOf(owner);
    if (length > most) {
      most = length;
      victim = &owner;
    }
  }
  if (victim == nullptr) {
    return false;
  }
  const std::size_t last = flows.at(*victim).items.size() - 1;
  this->Drop(this->RemoveAt(level, *victim, last), Reason::kOverloaded);
  return true;
}

void AdmissionQueue::DropExpired() {
  const TimePoint now = this->clock.Now();
  for (std::size_t level = 0; level < kClassCount; ++level) {
    for (auto& [owner, flow] : this->classes[level].flows) {
      for (std::size_t i = flow.items.size(); i-- > 0;) {
        if (flow.items[i].request.deadline <= now) {
          this->Drop(this->RemoveAt(level, owner, i),
                     Reason::kDeadlineExceeded);
        }
      }
    }
  }
}

std::vector<DroppedWork> AdmissionQueue::TakeDropped() {
  this->UpdateSaturation();
  this->DropExpired();
  return std::exchange(this->dropped, {});
}

bool AdmissionQueue::Cancel(AttemptId attempt) {
  this->UpdateSaturation();
  for (std::size_t level = 0; level < kClassCount; ++level) {
    for (auto& [owner, flow] : this->classes[level].flows) {
      for (std::size_t i = 0; i < flow.items.size(); ++i) {
        if (flow.items[i].request.attempt == attempt) {
          this->RemoveAt(level, owner, i);
          return true;
        }
      }
    }
  }
  return false;
}

std::size_t AdmissionQueue::ChooseReserveClass(std::size_t level) const {
  std::size_t chosen = level;
  for (std::size_t lower = level + 1; lower < kClassCount; ++lower) {
    if (this->classes[lower].backlog == Duration(0)) {
      continue;
    }
    if (chosen == level || this->classes[lower].reserve_used <
                               this->classes[chosen].reserve_used) {
      chosen = lower;
    }
  }
  return chosen;
}

std::optional<std::size_t> AdmissionQueue::ChooseClass() const {
  for (std::size_t level = 0; level < kClassCount; ++level) {
    if (this->classes[level].backlog > Duration(0)) {
      return this->reserve > 0 ? this->ChooseReserveClass(level) : level;
    }
  }
  return std::nullopt;
}

const OwnerId* AdmissionQueue::ChooseOwner(const PriorityClass& chosen) {
  const OwnerId* owner = nullptr;
  double least = 0;
  for (const auto& [candidate, flow] : chosen.flows) {
    if (!flow.items.empty() && (owner == nullptr || flow.start_tag < least)) {
      owner = &candidate;
      least = flow.start_tag;
    }
  }
  return owner;
}

std::optional<AttemptId> AdmissionQueue::TakeNext() {
  this->UpdateSaturation();
  const TimePoint now = this->clock.Now();
  while (this->running.size() < this->options.max_running) {
    const auto level = this->ChooseClass();
    if (!level) {
      return std::nullopt;
    }
    const OwnerId owner = *ChooseOwner(this->classes[*level]);
    const EstimatedRequest& head =
        this->classes[*level].flows.at(owner).items.front();
    if (now >= head.request.deadline) {
      this->Drop(this->RemoveAt(*level, owner, 0), Reason::kDeadlineExceeded);
      continue;
    }
    if (now + this->ServiceTime(head,
                                this->running.size() + this->waiting - 1) >
            head.request.deadline &&
        !this->running.empty()) {
      this->Drop(this->RemoveAt(*level, owner, 0), Reason::kOverloaded);
      continue;
    }
    // A request that does not fit blocks smaller ones; otherwise it might never
    // run.
    if (this->kv_in_use + head.kv_bytes > this->options.kv_capacity) {
      return std::nullopt;
    }
    EstimatedRequest item = this->RemoveAt(*level, owner, 0);
    this->RecordStart(*level, item);
    const AttemptId attempt = item.request.attempt;
    this->kv_in_use += item.kv_bytes;
    this->running.emplace(
        attempt, RunningRequest{std::move(item), now, this->saturated_total,
                                this->concurrency_time});
    ++this->counters.started;
    return attempt;
  }
  return std::nullopt;
}

void AdmissionQueue::RecordStart(std::size_t level,
                                 const EstimatedRequest& item) {
  this->DecayShares();
  PriorityClass& chosen = this->classes[level];
  const double work = Seconds(item.work);
  Flow& flow = chosen.flows.at(item.request.owner);
  chosen.virtual_time = std::max(chosen.virtual_time, flow.start_tag);
  flow.start_tag += work / this->WeightOf(item.request.owner);
  chosen.recent_work += work;
  if (chosen.backlog == Duration(0)) {
    // Fair queueing restarts from zero when the class is empty.
    chosen.flows.clear();
    chosen.virtual_time = 0;
  }
  bool higher_waits = false;
  for (std::size_t higher = 0; higher < level; ++higher) {
    higher_waits |= this->classes[higher].backlog > Duration(0);
  }
  const double share = this->options.lower_class_share;
  if (higher_waits) {
    this->reserve -= work;
    chosen.reserve_used += work;
  } else if (this->ChooseReserveClass(level) != level) {
    this->reserve += work * share / (1 - share);
  }
}

void AdmissionQueue::DecayShares() {
  const TimePoint now = this->clock.Now();
  const double factor = std::exp(-Seconds(now - this->shares_updated) /
                                 Seconds(this->options.share_window));
  this->shares_updated = now;
  for (PriorityClass& each : this->classes) {
    each.recent_work *= factor;
  }
}

void AdmissionQueue::UpdateSaturation() {
  const TimePoint now = this->clock.Now();
  if (this->waiting > 0) {
    const Duration step = now - this->saturation_checked;
    this->saturated_time += step;
    this->saturated_total += step;
  }
  this->concurrency_time +=
      (now - this->saturation_checked) * this->running.size();
  this->saturation_checked = now;
}

void AdmissionQueue::OnFinished(const WorkDone& done) {
  this->UpdateSaturation();
  const auto found = this->running.find(done.attempt);
  if (found == this->running.end()) {
    return;
  }
  const RunningRequest started = std::move(found->second);
  this->running.erase(found);
  this->kv_in_use -= started.item.kv_bytes;
  ++this->counters.finished;
  WorkRequest real = started.item.request;
  real.max_output_tokens = done.output_tokens;
  const double gain = this->options.feedback_gain;
  const double share_before = std::exchange(this->output_share, 1.0);
  const Duration work = this->Estimate(real).work;
  this->output_share = share_before;
  this->CorrectStartTag(started.item, work);
  const Duration elapsed = this->clock.Now() - started.start_time;
  if (!done.complete || elapsed <= Duration(0) || work <= Duration(0)) {
    return;
  }
  if (const auto limit = started.item.request.max_output_tokens; limit > 0) {
    this->output_share +=
        gain *
        (static_cast<double>(done.output_tokens) / limit - this->output_share);
  }
  const double slowdown = Seconds(elapsed) / Seconds(work);
  this->mean_slowdown += gain * (slowdown - this->mean_slowdown);
  this->concurrency_slowdown.AddSample(
      Seconds(this->concurrency_time - started.concurrency_time_at_start) /
          Seconds(elapsed),
      slowdown, gain);
  this->UpdateSpeed(
      work, Seconds(this->saturated_total - started.saturated_total_at_start) /
                Seconds(elapsed));
}

// Charges the owner for the actual work of the request instead of the estimate.
void AdmissionQueue::CorrectStartTag(const EstimatedRequest& item,
                                     Duration work) {
  auto& flows = this->classes[LevelOf(item.request.priority)].flows;
  const auto flow = flows.find(item.request.owner);
  if (flow != flows.end()) {
    flow->second.start_tag +=
        Seconds(work - item.work) / this->WeightOf(item.request.owner);
  }
}

// The engine's speed is only measurable while requests wait; a request counts
// with the fraction of its run during which that was the case.
void AdmissionQueue::UpdateSpeed(Duration work, double saturated_part) {
  this->saturated_work += Scale(work, saturated_part);
  if (this->saturated_time > 2 * kSpeedWindow) {
    this->saturated_time /= 2;
    this->saturated_work /= 2;
  }
  this->speed =
      std::clamp(Seconds(this->saturated_work) / Seconds(this->saturated_time),
                 kMinSpeed, kMaxSpeed);
}

}  // namespace pimentospar
