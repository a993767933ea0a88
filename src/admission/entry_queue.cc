#include "pimentospar/admission/entry_queue.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace pimentospar {

namespace {

// No response arrives in less time than this.
constexpr std::chrono::milliseconds kMinTimeLeft{20};
constexpr std::chrono::milliseconds kDrainRetryAfter{250};
// Time constant with which the measured pace of selections decays.
constexpr std::chrono::seconds kPaceDecayTime{5};
// The pace is known after this much time and this many selections.
constexpr std::chrono::seconds kMinPaceTime{1};
constexpr std::uint32_t kMinPaceCount = 10;
constexpr double kMinWorkRate = 1e-6;
// A request is refused on arrival only if the predicted wait exceeds the time
// that it has by this factor, since the prediction is rough.
constexpr double kDoubtFactor = 1.5;
// The shortest service time is tracked as a low quantile of the observed ones,
// with a step that is relative to the estimate.
constexpr double kServiceTimeQuantile = 0.1;
constexpr double kServiceTimeGain = 0.2;
constexpr double kGoalTimeGain = 0.1;
// Some requests of a route are shorter than the quantile.
constexpr double kServiceTimeShare = 0.8;
// Requests in excess of the usual load come after all ranks.
constexpr std::uint32_t kExcessRank = 1 << 16;
constexpr double kMinRetrySpread = 0.5;
constexpr double kMaxUpwardSpread = 0.5;

std::uint32_t EffectiveRank(const EntryRequest& request) {
  return request.rank % kExcessRank + (request.in_excess ? kExcessRank : 0);
}

}  // namespace

std::string_view ToString(QueueRefusalCause cause) {
  switch (cause) {
    case QueueRefusalCause::kPredictedLate:
      return "predicted_late";
    case QueueRefusalCause::kFull:
      return "full";
    case QueueRefusalCause::kEvicted:
      return "evicted";
    case QueueRefusalCause::kExpired:
      return "expired";
    case QueueRefusalCause::kDraining:
      break;
  }
  return "draining";
}

EntryQueue::EntryQueue(const Clock& clock,
                       RandomSource& random,
                       const EntryQueueOptions& options)
    : clock(clock),
      random(random),
      options(options),
      shares(clock),
      usual_load(clock) {}

const EntryRequest* EntryQueue::Find(QueueTicket ticket) const {
  const auto found = this->items.find(ticket);
  return found == this->items.end() ? nullptr : &found->second.request;
}

std::vector<ServiceId> EntryQueue::WaitingServices() const {
  std::vector<ServiceId> waiting;
  for (const auto& [service, queue] : this->services) {
    if (queue.length > 0) {
      waiting.push_back(service);
    }
  }
  return waiting;
}

std::size_t EntryQueue::Waiting(const ServiceId& service) const {
  const auto found = this->services.find(service);
  return found == this->services.end() ? 0 : found->second.length;
}

EntryQueue::Usage EntryQueue::UsageOf(const WorkspaceId& workspace) const {
  const auto found = this->usage.find(workspace);
  return found == this->usage.end() ? Usage{} : found->second;
}

// The order of requests.

// The promise of a least share does not extend to bursts.
bool EntryQueue::HasPrecedence(const EntryRequest& request) const {
  return !request.in_excess && this->shares.IsUnderserved(request.workspace);
}

EntryQueue::Position EntryQueue::PositionOf(const ServiceQueue& queue,
                                            const EntryRequest& request) const {
  Position position;
  position.precedence = this->HasPrecedence(request) ? 0 : 1;
  position.rank = request.rank;
  const auto rank = queue.ranks.find(request.rank);
  if (rank != queue.ranks.end()) {
    const auto tag = rank->second.start_tags.find(request.workspace);
    position.start_tag = tag == rank->second.start_tags.end()
                             ? rank->second.virtual_time
                             : tag->second;
  }
  position.misses_goal = this->MissesGoal(request);
  const Duration arrival = request.received_at.time_since_epoch();
  position.arrival = position.misses_goal ? -arrival : arrival;
  return position;
}

bool EntryQueue::MustWait(const EntryRequest& request) const {
  const auto urgency = [this](const EntryRequest& each) {
    return std::pair<int, std::uint32_t>(this->HasPrecedence(each) ? 0 : 1,
                                         EffectiveRank(each));
  };
  if (this->Waiting(request.service) == 0) {
    return false;
  }
  const auto own = urgency(request);
  return std::ranges::any_of(this->items, [&](const auto& entry) {
    const EntryRequest& other = entry.second.request;
    return other.service == request.service && other.model == request.model &&
           urgency(other) <= own;
  });
}

bool EntryQueue::MayTry(const ServiceQueue& queue, const Item& item) const {
  const EntryRequest& request = item.request;
  if (item.tried_round >= queue.round ||
      queue.blocked_kinds.contains(
          {request.workspace, request.model, request.route})) {
    return false;
  }
  const auto blocked = queue.blocked_below.find(request.model);
  return blocked == queue.blocked_below.end() ||
         request.rank <= blocked->second ||
         this->clock.Now() - queue.last_selected > this->options.max_stall ||
         this->HasPrecedence(request);
}

EntryQueue::Items::iterator EntryQueue::FindFirst(const ServiceId& service,
                                                  const ServiceQueue& queue) {
  auto first = this->items.end();
  Position least;
  for (auto it = this->items.begin(); it != this->items.end(); ++it) {
    if (it->second.request.service != service ||
        !this->MayTry(queue, it->second)) {
      continue;
    }
    const Position position = this->PositionOf(queue, it->second.request);
    if (first == this->items.end() || position < least) {
      first = it;
      least = position;
    }
  }
  return first;
}

// Returns the request that has waited longest among those that are less urgent
// than another one.
EntryQueue::Items::iterator EntryQueue::FindReserved(
    const ServiceId& service,
    const ServiceQueue& queue) {
  Rank most_urgent = std::numeric_limits<Rank>::max();
  for (const auto& [ticket, item] : this->items) {
    if (item.request.service == service) {
      most_urgent = std::min(most_urgent, item.request.rank);
    }
  }
  auto first = this->items.end();
  for (auto it = this->items.begin(); it != this->items.end(); ++it) {
    const EntryRequest& request = it->second.request;
    if (request.service != service || request.rank == most_urgent ||
        request.in_excess || it->second.tried_round >= queue.round ||
        queue.blocked_kinds.contains(
            {request.workspace, request.model, request.route})) {
      continue;
    }
    if (first == this->items.end() ||
        request.received_at < first->second.request.received_at) {
      first = it;
    }
  }
  return first;
}

// Rounds.

void EntryQueue::StartRound(const ServiceId& service) {
  const auto found = this->services.find(service);
  if (found == this->services.end()) {
    return;
  }
  ++found->second.round;
  found->second.blocked_kinds.clear();
  found->second.blocked_below.clear();
}

std::optional<QueueTicket> EntryQueue::NextTurn(const ServiceId& service) {
  const auto found = this->services.find(service);
  if (found == this->services.end() || found->second.length == 0) {
    return std::nullopt;
  }
  ServiceQueue& queue = found->second;
  auto next = queue.reserve > 0 ? this->FindReserved(service, queue)
                                : this->items.end();
  // The reserve has to cover the whole request.
  if (next == this->items.end() || next->second.request.work > queue.reserve) {
    next = this->FindFirst(service, queue);
  }
  if (next == this->items.end()) {
    return std::nullopt;
  }
  next->second.tried_round = queue.round;
  return next->first;
}

void EntryQueue::OnBlocked(QueueTicket ticket) {
  const auto found = this->items.find(ticket);
  if (found == this->items.end()) {
    return;
  }
  const EntryRequest& request = found->second.request;
  ServiceQueue& queue = this->services[request.service];
  queue.blocked_kinds.insert({request.workspace, request.model, request.route});
  const auto below =
      queue.blocked_below.try_emplace(request.model, request.rank).first;
  below->second = std::min(below->second, request.rank);
}

void EntryQueue::OnSelected(QueueTicket ticket) {
  const auto found = this->items.find(ticket);
  if (found == this->items.end()) {
    return;
  }
  const EntryRequest& request = found->second.request;
  ServiceQueue& queue = this->services[request.service];
  FairShare& rank = queue.ranks[request.rank];
  double& tag = rank.start_tags[request.workspace];
  rank.virtual_time = std::max(rank.virtual_time, tag);
  tag += request.work;
  queue.last_selected = this->clock.Now();
  this->UpdatePace(queue);
  queue.selected_work += request.work;
  ++queue.selected_count;
  this->ChargeReserve(queue, request);
  this->Erase(found);
}

void EntryQueue::ChargeReserve(ServiceQueue& queue,
                               const EntryRequest& request) {
  bool more_urgent_waits = false;
  bool less_urgent_waits = false;
  for (const auto& [ticket, item] : this->items) {
    if (item.request.service != request.service) {
      continue;
    }
    more_urgent_waits |= item.request.rank < request.rank;
    less_urgent_waits |= item.request.rank > request.rank;
  }
  const double share = this->options.lower_rank_share;
  if (more_urgent_waits) {
    queue.reserve -= request.work;
  } else if (less_urgent_waits) {
    queue.reserve += request.work * share / (1 - share);
  }
}

// Arrival and removal.

QueueDecision EntryQueue::Offer(EntryRequest request) {
  if (this->draining) {
    return this->Refusal(request, QueueRefusalCause::kDraining);
  }
  request.rank = EffectiveRank(request);
  this->RemoveExpired();
  const Duration left = request.deadline - this->clock.Now();
  const Duration min_time = this->MinServiceTime(request);
  if (left < min_time) {
    return this->Refusal(request, QueueRefusalCause::kPredictedLate);
  }
  const auto wait = this->PredictWait(request);
  if (wait && !request.has_begun && !this->HasPrecedence(request) &&
      *wait > Scale(left - min_time, kDoubtFactor)) {
    return this->Refusal(request, QueueRefusalCause::kPredictedLate);
  }
  if (!this->MakeRoom(request)) {
    return this->Refusal(request, QueueRefusalCause::kFull);
  }
  ServiceQueue& queue = this->services[request.service];
  this->UpdatePace(queue);
  if (queue.length == 0) {
    queue.last_selected = this->clock.Now();
  }
  FairShare& rank = queue.ranks[request.rank];
  const bool is_idle =
      std::ranges::none_of(this->items, [&](const auto& entry) {
        const EntryRequest& other = entry.second.request;
        return other.service == request.service && other.rank == request.rank &&
               other.workspace == request.workspace;
      });
  double& tag = rank.start_tags[request.workspace];
  // A workspace accumulates no claim while nothing of it waits.
  tag = is_idle ? std::max(tag, rank.virtual_time) : tag;
  ++queue.length;
  Usage& used = this->usage[request.workspace];
  ++used.count;
  used.bytes += request.bytes;
  this->bytes += request.bytes;
  const QueueTicket ticket{++this->last_ticket};
  this->items.emplace(ticket, Item{request, 0});
  return ticket;
}

void EntryQueue::Cancel(QueueTicket ticket) {
  const auto found = this->items.find(ticket);
  if (found != this->items.end()) {
    this->Erase(found);
  }
}

void EntryQueue::Erase(Items::iterator item) {
  const EntryRequest& request = item->second.request;
  ServiceQueue& queue = this->services[request.service];
  this->UpdatePace(queue);
  --queue.length;
  if (queue.length == 0) {
    // Fair queueing restarts when nothing waits.
    queue.ranks.clear();
    queue.reserve = 0;
  }
  this->bytes -= request.bytes;
  const auto used = this->usage.find(request.workspace);
  used->second.bytes -= request.bytes;
  if (--used->second.count == 0) {
    this->usage.erase(used);
  }
  this->items.erase(item);
}

QueueRefusal EntryQueue::Refusal(const EntryRequest& request,
                                 QueueRefusalCause cause) {
  QueueRefusal refusal;
  refusal.cause = cause;
  refusal.backlog = this->Waiting(request.service);
  refusal.predicted_wait = this->PredictWait(request);
  refusal.left = request.deadline - this->clock.Now();
  if (cause == QueueRefusalCause::kDraining) {
    refusal.reason = Reason::kDraining;
    refusal.retry_after = this->Spread(kDrainRetryAfter);
  } else {
    refusal.retry_after = this->RetryAfter(request.service);
  }
  return refusal;
}

void EntryQueue::Remove(Items::iterator item, QueueRefusalCause cause) {
  this->removed.push_back(
      {item->first, this->Refusal(item->second.request, cause)});
  this->Erase(item);
}

void EntryQueue::RemoveExpired() {
  const TimePoint now = this->clock.Now();
  for (auto it = this->items.begin(); it != this->items.end();) {
    const auto current = it++;
    const EntryRequest& request = current->second.request;
    if (request.deadline - now < this->MinServiceTime(request)) {
      this->Remove(current, QueueRefusalCause::kExpired);
    }
  }
}

void EntryQueue::BeginDrain() {
  this->draining = true;
  while (!this->items.empty()) {
    this->Remove(this->items.begin(), QueueRefusalCause::kDraining);
  }
}

std::vector<RemovedRequest> EntryQueue::TakeRemoved() {
  return std::exchange(this->removed, {});
}

bool EntryQueue::Fits(const EntryRequest& request) const {
  return this->items.size() < this->options.max_length &&
         this->bytes + request.bytes <= this->options.max_bytes;
}

bool EntryQueue::MakeRoom(const EntryRequest& request) {
  const auto exceeds_share = [&] {
    const Usage used = this->UsageOf(request.workspace);
    const double share = this->options.max_workspace_share;
    return !request.workspace.IsEmpty() &&
           (static_cast<double>(used.count + 1) >
                share * static_cast<double>(this->options.max_length) ||
            static_cast<double>(used.bytes + request.bytes) >
                share * static_cast<double>(this->options.max_bytes));
  };
  while (true) {
    const bool too_many = exceeds_share();
    if (!too_many && this->Fits(request)) {
      return true;
    }
    const auto victim = this->FindVictim(request, too_many);
    if (victim == this->items.end()) {
      return false;
    }
    this->Remove(victim, QueueRefusalCause::kEvicted);
  }
}

bool EntryQueue::IsLessUrgent(const Item& item,
                              const EntryRequest& newcomer) const {
  const EntryRequest& request = item.request;
  if (request.has_begun || (this->HasPrecedence(request) &&
                            request.workspace != newcomer.workspace)) {
    return false;
  }
  if (request.rank != newcomer.rank) {
    return request.rank > newcomer.rank;
  }
  if (request.workspace == newcomer.workspace) {
    return this->MissesGoal(request) && !this->MissesGoal(newcomer);
  }
  return this->UsageOf(request.workspace).count >
         this->UsageOf(newcomer.workspace).count + 1;
}

// Returns the least urgent request: of the last rank, then of the workspace
// with most requests, then the oldest that will miss its
// goal, then the newest.
EntryQueue::Items::iterator EntryQueue::FindVictim(const EntryRequest& newcomer,
                                                   bool same_workspace) {
  const auto order = [this](const EntryRequest& request) {
    const bool misses_goal = this->MissesGoal(request);
    const Duration arrival = request.received_at.time_since_epoch();
    return std::tuple(request.rank, this->UsageOf(request.workspace).count,
                      misses_goal, misses_goal ? -arrival : arrival);
  };
  auto victim = this->items.end();
  for (auto it = this->items.begin(); it != this->items.end(); ++it) {
    const EntryRequest& request = it->second.request;
    if ((same_workspace && request.workspace != newcomer.workspace) ||
        !this->IsLessUrgent(it->second, newcomer)) {
      continue;
    }
    if (victim == this->items.end() ||
        order(victim->second.request) < order(request)) {
      victim = it;
    }
  }
  return victim;
}

// Predictions.

void EntryQueue::UpdatePace(ServiceQueue& queue) {
  const TimePoint now = this->clock.Now();
  if (queue.length > 0) {
    const double step = Seconds(now - queue.pace_updated);
    const double factor = std::exp(-step / Seconds(kPaceDecayTime));
    queue.busy_seconds = queue.busy_seconds * factor + step;
    queue.selected_work *= factor;
  }
  queue.pace_updated = now;
}

std::optional<double> EntryQueue::WorkRate(const ServiceQueue& queue) {
  if (queue.busy_seconds < Seconds(kMinPaceTime) ||
      queue.selected_count < kMinPaceCount) {
    return std::nullopt;
  }
  return std::max(queue.selected_work / queue.busy_seconds, kMinWorkRate);
}

// Returns the waiting work that goes before a new request.
double EntryQueue::WorkAhead(const EntryRequest& request) const {
  if (this->HasPrecedence(request)) {
    return 0;
  }
  double ahead = 0;
  std::unordered_map<WorkspaceId, double> same_rank;
  for (const auto& [ticket, item] : this->items) {
    const EntryRequest& other = item.request;
    if (other.service != request.service) {
      continue;
    }
    if (other.rank < request.rank) {
      ahead += other.work;
    } else if (other.rank == request.rank) {
      same_rank[other.workspace] += other.work;
    }
  }
  const double own = same_rank[request.workspace];
  for (const auto& [workspace, work] : same_rank) {
    ahead += workspace == request.workspace
                 ? own
                 : std::min(work, own + request.work);
  }
  return ahead;
}

std::optional<Duration> EntryQueue::PredictWait(
    const EntryRequest& request) const {
  const auto found = this->services.find(request.service);
  if (found == this->services.end()) {
    return std::nullopt;
  }
  const auto rate = WorkRate(found->second);
  if (!rate) {
    return std::nullopt;
  }
  const double longest = Seconds(std::chrono::hours(1));
  return Scale(std::chrono::seconds(1),
               std::min(longest, this->WorkAhead(request) / *rate));
}

Duration EntryQueue::MinServiceTime(const EntryRequest& request) const {
  const auto found =
      this->response_times.find({request.service, request.route});
  if (request.has_begun || found == this->response_times.end()) {
    return kMinTimeLeft;
  }
  return std::max<Duration>(kMinTimeLeft,
                            Scale(found->second.total, kServiceTimeShare));
}

bool EntryQueue::MissesGoal(const EntryRequest& request) const {
  const auto found =
      this->response_times.find({request.service, request.route});
  const Duration time =
      found == this->response_times.end() ? Duration(0) : found->second.to_goal;
  return this->clock.Now() + time > request.goal_at;
}

void EntryQueue::OnResponse(const ServiceId& service,
                            const std::string& route,
                            const ResponseTimes& times) {
  const auto [found, is_first] = this->response_times.try_emplace(
      {service, route}, ResponseTimes{times.to_goal, times.total / 2});
  if (is_first) {
    return;
  }
  ResponseTimes& known = found->second;
  known.to_goal += Scale(times.to_goal - known.to_goal, kGoalTimeGain);
  const double step = times.total < known.total ? kServiceTimeQuantile - 1
                                                : kServiceTimeQuantile;
  known.total = Scale(known.total, 1 + kServiceTimeGain * step);
}

Duration EntryQueue::RetryAfter(const ServiceId& service) {
  double work = 0;
  for (const auto& [ticket, item] : this->items) {
    work += item.request.service == service ? item.request.work : 0;
  }
  Duration backlog{0};
  const auto found = this->services.find(service);
  const auto rate =
      found == this->services.end() ? std::nullopt : WorkRate(found->second);
  if (rate) {
    backlog =
        Scale(std::chrono::seconds(1),
              std::min(work / *rate, Seconds(this->options.max_retry_after)));
  }
  const Duration base = std::clamp(backlog, this->options.min_retry_after,
                                   this->options.max_retry_after);
  return Scale(base, kMinRetrySpread + this->random.NextDouble());
}

Duration EntryQueue::Spread(Duration base) {
  return Scale(base, 1 + kMaxUpwardSpread * this->random.NextDouble());
}

}  // namespace pimentospar
