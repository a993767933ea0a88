#include "pimentospar/store_share.h"

#include <algorithm>
#include <cstdio>

namespace pimentospar {

namespace {

PlanRecordId GenerateId(RandomSource& random) {
  char text[33];
  std::snprintf(text, sizeof text, "%016llx%016llx",
                static_cast<unsigned long long>(random.Next()),
                static_cast<unsigned long long>(random.Next()));
  return PlanRecordId(text);
}

Duration GrantInterval(double per_second) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1.0 / per_second));
}

}  // namespace

PlannerLease::PlannerLease(const Clock& clock,
                           RandomSource& random,
                           InstanceId self,
                           LeaseOptions options)
    : clock(clock),
      random(random),
      self(self),
      options(options),
      renewed_at(clock.Now()) {}

bool PlannerLease::OnLease(const LeaseRecord& record) {
  const auto sent_at = this->RemovePending(record.id);
  const auto newest =
      this->current ? std::optional(this->current->offset) : std::nullopt;
  if (record.previous != newest) {
    return false;
  }
  this->current = record;
  this->renewed_at = this->clock.Now();
  this->acquire_at.reset();
  this->replacement_requested = false;
  this->held_until.reset();
  if (record.instance == this->self && sent_at) {
    this->held_until = *sent_at + record.duration;
  }
  return true;
}

void PlannerLease::OnRenew(const RenewRecord& record) {
  const auto sent_at = this->RemovePending(record.id);
  this->AdoptMissedLease(record);
  if (!this->IsCurrent(record.lease)) {
    return;
  }
  this->renewed_at = this->clock.Now();
  this->acquire_at.reset();
  if (this->held_until && sent_at) {
    this->held_until =
        std::max(*this->held_until, *sent_at + this->current->duration);
  }
}

void PlannerLease::AdoptMissedLease(const RenewRecord& record) {
  const bool is_newer = !this->current || record.lease > this->current->offset;
  if (!is_newer || record.duration <= Duration(0)) {
    return;
  }
  this->current = LeaseRecord{
      record.lease, {}, record.instance, std::nullopt, record.duration};
  this->held_until.reset();
  this->replacement_requested = false;
}

void PlannerLease::OnHolderHeartbeat(LogOffset lease) {
  if (this->IsCurrent(lease)) {
    this->renewed_at = this->clock.Now();
    this->acquire_at.reset();
  }
}

void PlannerLease::OnHolderExited(InstanceId holder) {
  if (this->current && this->current->instance == holder &&
      holder != this->self) {
    this->renewed_at = this->clock.Now() - this->current->duration;
  }
}

void PlannerLease::OnTailReached(TimePoint read_started) {
  this->tail_read_at = read_started;
  this->tail_reached = true;
}

void PlannerLease::OnLogRestored() {
  if (this->current && this->current->instance != this->self) {
    this->void_lease_until = this->renewed_at + this->current->duration;
  }
  this->current.reset();
  this->held_until.reset();
  this->acquire_at.reset();
  this->pending.clear();
  this->tail_reached = false;
  this->replacement_requested = false;
}

void PlannerLease::OnVoidLease() {
  this->void_lease_until = this->clock.Now() + this->options.duration;
}

std::optional<LeaseAction> PlannerLease::Step() {
  if (!this->tail_reached || this->IsAppendPending()) {
    return std::nullopt;
  }
  if (const auto lease = this->Held()) {
    return this->StepHolder(*lease);
  }
  return this->StepCandidate();
}

TimePoint PlannerLease::NextStep() const {
  if (!this->tail_reached || this->replacement_requested) {
    return this->clock.Now();
  }
  if (this->IsAppendPending()) {
    return this->last_sent + this->options.append_timeout;
  }
  if (this->Held()) {
    return this->last_sent + this->options.renew_interval;
  }
  if (this->acquire_at) {
    return *this->acquire_at;
  }
  if (this->CanAcquire()) {
    return this->clock.Now();
  }
  return this->current ? this->renewed_at + this->current->duration
                       : this->void_lease_until;
}

std::optional<LogOffset> PlannerLease::Held() const {
  if (!this->held_until || this->clock.Now() >= *this->held_until) {
    return std::nullopt;
  }
  return this->current->offset;
}

bool PlannerLease::IsCurrent(LogOffset lease) const {
  return this->current && this->current->offset == lease;
}

bool PlannerLease::HasExpired() const {
  return !this->current ||
         this->clock.Now() >= this->renewed_at + this->current->duration;
}

// Once a process no longer holds its own lease, it need not wait until the
// lease expires for readers, however late a renewal was read: only this process
// could act under it.
bool PlannerLease::CanAcquire() const {
  if (!this->current) {
    return this->clock.Now() >= this->void_lease_until;
  }
  return this->HasExpired() || this->current->instance == this->self;
}

std::optional<TimePoint> PlannerLease::RemovePending(const PlanRecordId& id) {
  const auto found = std::ranges::find(this->pending, id, &Pending::id);
  if (found == this->pending.end()) {
    return std::nullopt;
  }
  const TimePoint sent_at = found->sent_at;
  this->pending.erase(found);
  return sent_at;
}

PlanRecordId PlannerLease::AddPending() {
  if (this->pending.size() >= this->options.max_pending) {
    this->pending.erase(this->pending.begin());
  }
  this->last_sent = this->clock.Now();
  this->pending.push_back({GenerateId(this->random), this->last_sent});
  return this->pending.back().id;
}

// Whether an unanswered append reached the log is found out by reading: it is
// repeated only after a read that began later has not shown it.
bool PlannerLease::IsAppendPending() const {
  return !this->pending.empty() &&
         this->pending.back().sent_at == this->last_sent &&
         (this->clock.Now() < this->last_sent + this->options.append_timeout ||
          this->tail_read_at <= this->last_sent);
}

std::optional<LeaseAction> PlannerLease::StepHolder(LogOffset lease) {
  if (this->replacement_requested) {
    return AppendLease{this->AddPending(), this->self, lease,
                       this->options.duration};
  }
  if (this->clock.Now() < this->last_sent + this->options.renew_interval) {
    return std::nullopt;
  }
  return AppendRenew{this->AddPending(), lease, this->self,
                     this->current->duration};
}

std::optional<LeaseAction> PlannerLease::StepCandidate() {
  if (!this->CanAcquire()) {
    return std::nullopt;
  }
  const TimePoint now = this->clock.Now();
  if (!this->acquire_at) {
    const auto spread = this->options.acquire_spread.count();
    this->acquire_at =
        now + this->acquire_delay +
        Duration(static_cast<Duration::rep>(this->random.NextDouble() *
                                            static_cast<double>(spread)));
  }
  if (now < *this->acquire_at) {
    return std::nullopt;
  }
  this->acquire_at.reset();
  const auto previous =
      this->current ? std::optional(this->current->offset) : std::nullopt;
  return AppendLease{this->AddPending(), this->self, previous,
                     this->options.duration};
}

PlannerGrants::PlannerGrants(const Clock& clock,
                             RandomSource& random,
                             StoreLimits limits,
                             StoreShareOptions options)
    : clock(clock), random(random), limits(limits), options(options) {}

void PlannerGrants::OnGrant(const GrantRecord& record) {
  std::erase_if(this->unconfirmed, [&](const UnconfirmedGrant& sent) {
    return sent.id == record.id;
  });
  const TimePoint now = this->clock.Now();
  this->open[record.offset] = {record.target, now + record.lifetime};
  const auto interval = GrantInterval(this->limits.loads_per_second *
                                      this->options.planner_rate_fraction);
  this->next_grant = std::max(this->next_grant, now + interval);
}

void PlannerGrants::OnAgentReleased(const TargetId& target, LogOffset through) {
  for (auto& [offset, grant] : this->open) {
    if (offset.value <= through.value && grant.target == target) {
      grant.released = true;
    }
  }
}

void PlannerGrants::OnTargetRemoved(const TargetId& target) {
  std::erase_if(this->open, [&](const auto& entry) {
    return entry.second.target == target;
  });
}

bool PlannerGrants::CanGrant() {
  this->CloseExpired();
  return this->OpenCount() < this->MaxOpen() &&
         this->clock.Now() >= this->next_grant;
}

std::optional<AppendGrant> PlannerGrants::TryGrant(LogOffset lease,
                                                   const TargetId& target,
                                                   const ModelId& model) {
  if (!this->CanGrant()) {
    return std::nullopt;
  }
  const TimePoint now = this->clock.Now();
  this->next_grant = now + GrantInterval(this->limits.loads_per_second *
                                         this->options.planner_rate_fraction);
  this->unconfirmed.push_back({GenerateId(this->random), now});
  return AppendGrant{this->unconfirmed.back().id, lease, target, model,
                     this->options.lifetime};
}

bool PlannerGrants::NeedsNewLease() const {
  const TimePoint now = this->clock.Now();
  return std::ranges::any_of(
      this->unconfirmed, [&](const UnconfirmedGrant& sent) {
        return now >= sent.sent_at + this->options.unconfirmed_timeout;
      });
}

std::size_t PlannerGrants::OpenCount() const {
  return this->open.size() + this->unconfirmed.size();
}

std::size_t PlannerGrants::MaxOpen() const {
  return std::max<std::size_t>(this->limits.parallel_loads, 2) - 1;
}

void PlannerGrants::CloseExpired() {
  const TimePoint now = this->clock.Now();
  std::erase_if(this->open, [&](const auto& entry) {
    return entry.second.released && now >= entry.second.deadline;
  });
}

void AgentGrants::OnGrant(const GrantRecord& record) {
  if (this->last_tail_read) {
    this->held[record.offset] = {*this->last_tail_read + record.lifetime};
    return;
  }
  // The grant was given to a predecessor, which may be paused and still
  // loading; its load ends by then.
  this->held[record.offset] = {this->clock.Now() + record.lifetime,
                               GrantState::kStarted};
}

bool AgentGrants::TryStart(LogOffset grant) {
  const auto found = this->held.find(grant);
  if (found == this->held.end() || found->second.state != GrantState::kUnused ||
      this->clock.Now() + this->options.transfer_time >
          found->second.deadline) {
    return false;
  }
  found->second.state = GrantState::kStarted;
  return true;
}

void AgentGrants::OnLoadEnded(LogOffset grant) {
  const auto found = this->held.find(grant);
  if (found != this->held.end()) {
    found->second.state = GrantState::kEnded;
  }
}

std::vector<LogOffset> AgentGrants::DropExpired() {
  std::vector<LogOffset> dropped;
  const TimePoint now = this->clock.Now();
  for (auto& [offset, grant] : this->held) {
    const Duration kept = grant.state == GrantState::kUnused
                              ? this->options.transfer_time
                              : Duration{};
    if (grant.state != GrantState::kEnded && now + kept > grant.deadline) {
      grant.state = GrantState::kEnded;
      dropped.push_back(offset);
    }
  }
  return dropped;
}

std::vector<LogOffset> AgentGrants::TakeEndsDue() {
  std::vector<LogOffset> due;
  const TimePoint now = this->clock.Now();
  for (auto& [offset, grant] : this->held) {
    if (grant.state == GrantState::kEnded && now >= grant.end_append_at) {
      grant.end_append_at = now + this->options.end_retry_interval;
      due.push_back(offset);
    }
  }
  return due;
}

FallbackShare::FallbackShare(const Clock& clock,
                             StoreLimits limits,
                             StoreShareOptions options)
    : clock(clock), limits(limits), options(options) {}

void FallbackShare::SetOwner(bool is_owner) {
  if (is_owner && !this->is_owner) {
    this->next_grant_at = this->clock.Now() + this->options.lifetime;
  }
  this->is_owner = is_owner;
}

std::optional<FallbackGrantId> FallbackShare::TryGrant(
    const FallbackRequest& request,
    TimePoint planner_renewed_at) {
  const TimePoint now = this->clock.Now();
  if (!this->is_owner || this->limits.parallel_loads < 2 ||
      request.loaded_anywhere || this->open || now < this->next_grant_at ||
      now < planner_renewed_at + this->options.planner_timeout) {
    return std::nullopt;
  }
  this->next_grant_at =
      now + GrantInterval(this->limits.loads_per_second *
                          (1.0 - this->options.planner_rate_fraction));
  this->open = FallbackGrantId{++this->last_id};
  return this->open;
}

void FallbackShare::OnLoadEnded(FallbackGrantId grant) {
  if (this->open == grant) {
    this->open.reset();
  }
}

}  // namespace pimentospar
