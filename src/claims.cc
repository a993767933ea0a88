#include "pimentospar/claims.h"

#include <algorithm>

#include "pimentospar/digest.h"

namespace pimentospar {

using detail::ClaimState;
using detail::KeyState;

ClaimsShard::ClaimsShard(ClaimsOptions options,
                         const Clock& clock,
                         RandomSource& random)
    : options(std::move(options)), clock(clock), random(random) {}

ClaimActions ClaimsShard::Start() {
  this->tail_requested = true;
  return this->TakeActions();
}

ClaimActions ClaimsShard::OnRequest(const ClaimRequest& request) {
  this->ExpireKeys();
  const auto found = this->keys.find(request.key);
  bool wait_for_other = false;
  if (found != this->keys.end()) {
    const KeyState& state = found->second;
    if (state.done) {
      this->RespondFromOutcome(request.id, request.body,
                               this->claims.at(*state.done));
      return this->TakeActions();
    }
    const ClaimId* other = nullptr;
    if (state.local) {
      other = &*state.local;
    } else if (!state.claim_order.empty() &&
               !this->claims.at(state.claim_order.front()).own) {
      other = &state.claim_order.front();
      wait_for_other = true;
    }
    if (other != nullptr) {
      ClaimState& claim = this->claims.at(*other);
      if (claim.body != request.body) {
        this->Respond(request.id, {Reason::kKeyReused, Executed::kNo});
        return this->TakeActions();
      }
      if (!wait_for_other) {
        claim.waiters.push_back({request.id, request.deadline});
        this->actions.emplace_back(DeferResponse{request.id});
        return this->TakeActions();
      }
    }
  }
  const bool expired = request.deadline <= this->clock.Now();
  if (wait_for_other && expired) {
    this->Respond(request.id, {Reason::kOutcomeUnknown, Executed::kUnknown});
    return this->TakeActions();
  }
  Reason refusal =
      expired ? Reason::kDeadlineExceeded : this->RefusalOfNewKey();
  if (wait_for_other) {
    refusal = this->claims.size() >= this->options.max_claims
                  ? Reason::kKeyTableFull
                  : Reason::kNone;
  }
  if (refusal != Reason::kNone) {
    // Another instance may run the operation, so `Executed::kNo` would be
    // wrong.
    this->Respond(request.id, {refusal, wait_for_other ? Executed::kUnknown
                                                       : Executed::kNo});
    return this->TakeActions();
  }
  this->AddClaim(request, wait_for_other);
  return this->TakeActions();
}

ClaimActions ClaimsShard::OnDispatched(ClaimId id, DispatchOutcome outcome) {
  const auto found = this->claims.find(id);
  if (found == this->claims.end() ||
      found->second.phase != Phase::kDispatched) {
    return this->TakeActions();
  }
  ClaimState& claim = found->second;
  if (const auto* refused = std::get_if<DispatchRefused>(&outcome)) {
    claim.phase = Phase::kReadBack;
    this->Abandon(id, {refused->reason, Executed::kNo});
    return this->TakeActions();
  }
  DoneRecord record{id};
  if (auto* completed = std::get_if<DispatchCompleted>(&outcome)) {
    const std::string& body = completed->response.body;
    record.status = completed->response.status;
    if (body.size() <= this->options.max_stored_response) {
      record.response = body;
    } else {
      record.response_hash = Sha256Hex(body);
    }
    // Callers get the response even if it exceeds the memory limit.
    this->RespondToAll(claim,
                       {Reason::kNone, Executed::kYes, completed->response});
    this->SetDone(id, record.status, std::move(completed->response.body));
  } else {
    const Reason reason = std::get<DispatchUnknown>(outcome).reason;
    this->RespondToAll(claim, {reason, Executed::kUnknown});
    this->SetDone(id, 0, std::nullopt);
  }
  this->queue.emplace_back(std::move(record));
  return this->TakeActions();
}

ClaimActions ClaimsShard::OnConfiguration(ConfigVersion version,
                                          const RegionId& home_region) {
  if (this->config_version && version < *this->config_version) {
    return this->TakeActions();
  }
  this->config_version = version;
  this->config_home = home_region;
  return this->TakeActions();
}

ClaimActions ClaimsShard::OnTick() {
  this->ExpireKeys();
  const std::vector<ClaimId> waiting(this->active.begin(), this->active.end());
  for (const ClaimId& id : waiting) {
    this->ExpireClaim(id);
  }
  return this->TakeActions();
}

std::optional<TimePoint> ClaimsShard::NextWake() const {
  std::optional<TimePoint> wake;
  const auto add = [&](TimePoint time) {
    wake = wake ? std::min(*wake, time) : time;
  };
  for (const ClaimId& id : this->active) {
    const ClaimState& claim = this->claims.at(id);
    for (const detail::ClaimWaiter& waiter : claim.waiters) {
      add(waiter.deadline);
    }
    if (claim.phase == Phase::kWaiting ||
        this->IsBehindOtherInstance(id, claim)) {
      add(this->last_tail_read + this->options.poll_interval);
    }
    if (claim.phase < Phase::kDispatched) {
      add(claim.deadline);
    }
    if (claim.phase > Phase::kWaiting && claim.phase < Phase::kReadBack) {
      add(claim.queued_at + this->options.log_timeout);
    }
  }
  const bool must_read =
      this->tail_requested || this->next_offset < this->read_until;
  const bool must_append = !this->queue.empty() && !this->outstanding_append;
  if ((must_read && !this->reading) || must_append) {
    add(this->log_retry_at);
  }
  if (this->IsHomeRegion()) {
    add(this->home_read_at + this->options.home_renewal);
  }
  if (!this->key_expiry.empty()) {
    add(this->key_expiry.front().first);
  }
  return wake;
}

bool ClaimsShard::IsReady() const {
  return this->RefusalOfNewKey() == Reason::kNone;
}

bool ClaimsShard::IsHomeRegion() const {
  return this->home && this->home->region == this->options.region &&
         this->config_home == this->options.region;
}

Reason ClaimsShard::RefusalOfNewKey() const {
  if (!this->caught_up || !this->config_version) {
    return Reason::kNotReady;
  }
  const bool first_home =
      !this->home && this->config_home == this->options.region;
  if (first_home) {
    return Reason::kNotReady;
  }
  if (!this->IsHomeRegion() || this->clock.Now() < this->home_ready_at) {
    return Reason::kHomeMoving;
  }
  if (this->claims.size() >= this->options.max_claims ||
      this->clock.Now() < this->table_incomplete_until) {
    return Reason::kKeyTableFull;
  }
  return Reason::kNone;
}

void ClaimsShard::AddClaim(const ClaimRequest& request, bool wait_for_other) {
  const auto id = ClaimId::Generate(this->random);
  ClaimState& claim = this->claims[id];
  claim.key = request.key;
  claim.body = request.body;
  claim.owner = request.owner;
  claim.own = true;
  claim.deadline = request.deadline;
  claim.waiters.push_back({request.id, request.deadline});
  KeyState& state = this->keys[request.key];
  state.claims.push_back(id);
  state.local = id;
  this->ExtendRetention(request.key);
  this->active.insert(id);
  this->actions.emplace_back(DeferResponse{request.id});
  if (!wait_for_other) {
    this->QueueClaim(id, claim);
  }
}

void ClaimsShard::QueueClaim(const ClaimId& id, ClaimState& claim) {
  claim.phase = Phase::kQueued;
  claim.queued_at = this->clock.Now();
  this->queue.emplace_back(ClaimRecord{.id = id});
}

void ClaimsShard::Respond(ClaimRequestId request, ClaimResult result) {
  this->actions.emplace_back(RespondToRequest{request, std::move(result)});
}

void ClaimsShard::RespondToAll(ClaimState& claim, const ClaimResult& result) {
  for (const detail::ClaimWaiter& waiter : claim.waiters) {
    this->Respond(waiter.request, result);
  }
  claim.waiters.clear();
}

void ClaimsShard::RespondFromOutcome(ClaimRequestId request,
                                     const BodyHash& body,
                                     const ClaimState& done) {
  if (done.body != body) {
    this->Respond(request, {Reason::kKeyReused, Executed::kNo});
  } else if (done.status == 0) {
    this->Respond(request, {Reason::kOutcomeUnknown, Executed::kUnknown});
  } else if (!done.response) {
    this->Respond(request, {Reason::kAnswerExpired, Executed::kUnknown});
  } else {
    this->Respond(request, {Reason::kNone, Executed::kYes,
                            StoredResponse{done.status, *done.response}});
  }
}

void ClaimsShard::Abandon(const ClaimId& id, const ClaimResult& result) {
  ClaimState& claim = this->claims.at(id);
  claim.abandoned = true;
  this->RespondToAll(claim, result);
  this->active.erase(id);
  KeyState& state = this->keys.at(claim.key);
  if (state.local == id) {
    state.local.reset();
  }
  const bool unwritten =
      claim.phase == Phase::kWaiting || claim.phase == Phase::kQueued;
  if (unwritten && !claim.may_be_stored) {
    this->RemoveClaim(id);
    return;
  }
  this->queue.emplace_back(ReleaseRecord{id});
}

// Abandons a claim that was not dispatched.
void ClaimsShard::AbandonUndispatched(const ClaimId& id, Reason reason) {
  if (this->IsBehindOtherInstance(id, this->claims.at(id))) {
    // The claim of another instance may have run the operation.
    this->Abandon(id, {Reason::kOutcomeUnknown, Executed::kUnknown});
    return;
  }
  this->Abandon(id, {reason, Executed::kNo});
}

// Removes a claim that is not and never will be in the log.
void ClaimsShard::RemoveClaim(const ClaimId& id) {
  const KeyHash key = this->claims.at(id).key;
  this->claims.erase(id);
  KeyState& state = this->keys.at(key);
  std::erase(state.claims, id);
  if (state.claims.empty()) {
    this->keys.erase(key);
  }
}

bool ClaimsShard::IsBehindOtherInstance(const ClaimId& id,
                                        const ClaimState& claim) const {
  for (const ClaimId& other : this->keys.at(claim.key).claim_order) {
    if (other == id) {
      return false;
    }
    if (!this->claims.at(other).own) {
      return true;
    }
  }
  return false;
}

// Acts on the outcome of a key or, without one, on its winning claim.
void ClaimsShard::EvaluateKey(const KeyHash& key) {
  bool again = true;
  while (again) {
    const auto found = this->keys.find(key);
    if (found == this->keys.end()) {
      return;
    }
    if (found->second.done) {
      this->EvaluateDone(found->second);
      return;
    }
    again = this->EvaluateWinner(found->second);
  }
}

void ClaimsShard::EvaluateDone(KeyState& state) {
  if (!state.local || *state.local == *state.done) {
    return;
  }
  const ClaimId id = *state.local;
  const ClaimState& done = this->claims.at(*state.done);
  ClaimState& claim = this->claims.at(id);
  for (const detail::ClaimWaiter& waiter : claim.waiters) {
    this->RespondFromOutcome(waiter.request, claim.body, done);
  }
  claim.waiters.clear();
  this->Abandon(id, {});
}

// Returns true if the key must be evaluated again.
bool ClaimsShard::EvaluateWinner(KeyState& state) {
  if (state.claim_order.empty()) {
    if (!state.local) {
      return false;
    }
    const ClaimId id = *state.local;
    ClaimState& local = this->claims.at(id);
    if (local.phase != Phase::kWaiting) {
      return false;
    }
    const Reason refusal = this->RefusalOfNewKey();
    // A full table does not matter: the claim is already in it.
    if (refusal != Reason::kNone && refusal != Reason::kKeyTableFull) {
      this->Abandon(id, {refusal, Executed::kNo});
      return false;
    }
    this->QueueClaim(id, local);
    return false;
  }
  const ClaimId id = state.claim_order.front();
  ClaimState& winner = this->claims.at(id);
  if (!winner.own) {
    if (!state.local || this->claims.at(*state.local).body == winner.body) {
      return false;
    }
    const ClaimId local = *state.local;
    this->Abandon(local, {Reason::kKeyReused, Executed::kNo});
    return true;
  }
  if (winner.abandoned || winner.phase != Phase::kReadBack) {
    return false;
  }
  if (this->clock.Now() >= winner.deadline) {
    this->Abandon(id, {Reason::kDeadlineExceeded, Executed::kNo});
    return false;
  }
  if (!winner.epoch_matches) {
    this->Abandon(id, {Reason::kLogUnavailable, Executed::kNo});
    return false;
  }
  winner.phase = Phase::kDispatched;
  // The claim has the deadline of its first request, so that request is still
  // waiting.
  this->actions.emplace_back(
      DispatchClaim{id, winner.waiters.front().request, winner.deadline});
  return false;
}

void ClaimsShard::SetDone(const ClaimId& id,
                          int status,
                          std::optional<std::string> body) {
  ClaimState& claim = this->claims.at(id);
  if (claim.phase == Phase::kDone) {
    return;
  }
  claim.phase = Phase::kDone;
  claim.status = status;
  this->active.erase(id);
  KeyState& state = this->keys.at(claim.key);
  if (!state.done) {
    state.done = id;
  }
  const KeyHash key = claim.key;
  this->ExtendRetention(key);
  if (body) {
    this->CacheResponse(id, std::move(*body));
  }
  this->EvaluateKey(key);
}

void ClaimsShard::CacheResponse(const ClaimId& id, std::string body) {
  this->response_memory += body.size();
  this->claims.at(id).response = std::move(body);
  this->cached_responses.push_back(id);
  while (this->response_memory > this->options.max_response_memory) {
    const auto oldest = this->claims.find(this->cached_responses.front());
    this->cached_responses.pop_front();
    if (oldest != this->claims.end() && oldest->second.response) {
      this->response_memory -= oldest->second.response->size();
      oldest->second.response.reset();
    }
  }
}

// Abandons a claim of this instance that timed out, or responds to those of its
// requests whose deadlines have passed.
void ClaimsShard::ExpireClaim(const ClaimId& id) {
  const auto found = this->claims.find(id);
  if (found == this->claims.end()) {
    return;
  }
  ClaimState& claim = found->second;
  const TimePoint now = this->clock.Now();
  if (claim.phase < Phase::kDispatched && now >= claim.deadline) {
    this->AbandonUndispatched(id, Reason::kDeadlineExceeded);
    return;
  }
  const bool on_log =
      claim.phase > Phase::kWaiting && claim.phase < Phase::kReadBack;
  if (on_log && now >= claim.queued_at + this->options.log_timeout) {
    this->AbandonUndispatched(id, Reason::kLogUnavailable);
    return;
  }
  // The claim stays for its other requests, so the operation may still run.
  std::erase_if(claim.waiters, [&](const detail::ClaimWaiter& waiter) {
    if (waiter.deadline > now) {
      return false;
    }
    this->Respond(waiter.request,
                  {Reason::kDeadlineExceeded, Executed::kUnknown});
    return true;
  });
}

void ClaimsShard::ExtendRetention(const KeyHash& key) {
  KeyState& state = this->keys.at(key);
  state.retain_until = this->clock.Now() + this->options.key_retention;
  this->key_expiry.emplace_back(state.retain_until, key);
}

void ClaimsShard::ExpireKeys() {
  const TimePoint now = this->clock.Now();
  while (!this->early_releases.empty() &&
         this->early_releases.front().first <= now) {
    const auto found = this->claims.find(this->early_releases.front().second);
    if (found != this->claims.end() && found->second.key == KeyHash{}) {
      this->claims.erase(found);
    }
    this->early_releases.pop_front();
  }
  while (!this->key_expiry.empty() && this->key_expiry.front().first <= now) {
    const KeyHash key = this->key_expiry.front().second;
    this->key_expiry.pop_front();
    const auto found = this->keys.find(key);
    if (found == this->keys.end() || found->second.retain_until > now) {
      continue;
    }
    if (found->second.local && this->active.contains(*found->second.local)) {
      this->ExtendRetention(key);
      continue;
    }
    for (const ClaimId& id : found->second.claims) {
      const auto claim = this->claims.find(id);
      if (claim->second.response) {
        this->response_memory -= claim->second.response->size();
      }
      this->claims.erase(claim);
    }
    this->keys.erase(found);
  }
  while (!this->cached_responses.empty() &&
         !this->claims.contains(this->cached_responses.front())) {
    this->cached_responses.pop_front();
  }
}

}  // namespace pimentospar
