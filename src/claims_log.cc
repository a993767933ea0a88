#include <algorithm>
#include <boost/leaf/handle_errors.hpp>

#include "pimentospar/claims.h"

namespace pimentospar {

namespace {

namespace leaf = boost::leaf;

using detail::ClaimState;
using detail::KeyState;

// Covers the time between the old home's deadline check before dispatch and the
// arrival of the operation at the target.
constexpr Duration kHomeMargin = std::chrono::seconds(1);

std::optional<RecordGroup> TryDecode(std::string_view body) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<RecordGroup>> {
        BOOST_LEAF_AUTO(group, DecodeGroup(body));
        return std::optional<RecordGroup>(std::move(group));
      },
      [] { return std::optional<RecordGroup>(); });
}

Bytes ResponseSize(const ClaimsRecord& record) {
  const auto* done = std::get_if<DoneRecord>(&record);
  return done != nullptr && done->response ? done->response->size() : 0;
}

}  // namespace

struct ClaimsShard::RecordApplier {
  ClaimsShard& shard;

  void operator()(const ClaimRecord& record) const {
    this->shard.ApplyClaim(record);
  }
  void operator()(const DoneRecord& record) const {
    const auto found = this->shard.claims.find(record.id);
    if (found == this->shard.claims.end() || found->second.own ||
        found->second.phase != Phase::kReadBack) {
      return;
    }
    this->shard.SetDone(record.id, record.status, record.response);
  }
  void operator()(const ReleaseRecord& record) const {
    this->shard.ApplyRelease(record);
  }
  void operator()(const HomeRecord& record) const {
    this->shard.ApplyHome(record);
  }
};

ClaimActions ClaimsShard::OnRead(const StreamPage& page) {
  if (!std::exchange(this->reading, false)) {
    return this->TakeActions();
  }
  if (page.first > this->next_offset) {
    this->truncated = true;
    // One of the missing records may have changed the home region.
    this->home.reset();
    this->home_queued = false;
  }
  for (const StreamRecord& record : page.records) {
    if (record.offset < this->next_offset) {
      continue;
    }
    this->next_offset = LogOffset{record.offset.value + 1};
    this->ApplyGroup(record.body);
  }
  this->next_offset = std::max(this->next_offset, page.next);
  const bool at_tail = page.records.empty() && this->reading_tail;
  if (at_tail) {
    this->tail_requested = false;
    this->caught_up = true;
    this->last_tail_read = this->clock.Now();
  }
  if (this->outstanding_append && this->outstanding_append->unanswered &&
      (at_tail || this->outstanding_append->read_back)) {
    this->SettleAppend(this->outstanding_append->read_back);
  }
  return this->TakeActions();
}

ClaimActions ClaimsShard::OnReadFailed() {
  this->reading = false;
  this->log_retry_at = this->clock.Now() + this->options.log_backoff;
  return this->TakeActions();
}

ClaimActions ClaimsShard::OnAppended(LogOffset offset) {
  if (this->outstanding_append && !this->outstanding_append->unanswered) {
    this->read_until = std::max(this->read_until, LogOffset{offset.value + 1});
    this->SettleAppend(true);
  }
  return this->TakeActions();
}

ClaimActions ClaimsShard::OnAppendRefused() {
  if (this->outstanding_append && !this->outstanding_append->unanswered) {
    this->Requeue(false);
  }
  return this->TakeActions();
}

ClaimActions ClaimsShard::OnAppendUnanswered() {
  if (!this->outstanding_append || this->outstanding_append->unanswered) {
    return this->TakeActions();
  }
  this->outstanding_append->unanswered = true;
  if (this->outstanding_append->read_back) {
    this->SettleAppend(true);
    return this->TakeActions();
  }
  this->tail_requested = true;
  // A read that is already in progress may miss the record.
  this->reading_tail = false;
  return this->TakeActions();
}

void ClaimsShard::SettleAppend(bool stored) {
  if (!stored) {
    this->Requeue(true);
    return;
  }
  for (const ClaimsRecord& record : this->outstanding_append->group.records) {
    const auto* claim_record = std::get_if<ClaimRecord>(&record);
    if (claim_record == nullptr) {
      continue;
    }
    const auto found = this->claims.find(claim_record->id);
    if (found != this->claims.end() && found->second.phase == Phase::kSent) {
      found->second.phase = Phase::kAppended;
    }
  }
  this->outstanding_append.reset();
}

// Returns the records of an append that was not found in the log to the queue,
// in order; claims of a refused append are abandoned instead. An unanswered
// append can still be stored later: its claims keep their ids, so that a second
// copy counts as the same claim.
void ClaimsShard::Requeue(bool unanswered) {
  const RecordGroup group = std::move(this->outstanding_append->group);
  this->outstanding_append.reset();
  this->log_retry_at = this->clock.Now() + this->options.log_backoff;
  std::vector<ClaimId> refused;
  for (auto record = group.records.rbegin(); record != group.records.rend();
       ++record) {
    const auto* claim_record = std::get_if<ClaimRecord>(&*record);
    if (claim_record == nullptr) {
      this->queue.push_front(*record);
      continue;
    }
    const auto found = this->claims.find(claim_record->id);
    if (found == this->claims.end() || found->second.phase != Phase::kSent) {
      continue;
    }
    ClaimState& claim = found->second;
    claim.phase = Phase::kQueued;
    claim.may_be_stored = claim.may_be_stored || unanswered;
    if (unanswered && !claim.abandoned) {
      this->queue.push_front(*record);
    } else if (!unanswered) {
      refused.push_back(claim_record->id);
    }
  }
  for (const ClaimId& id : refused) {
    const ClaimState& claim = this->claims.at(id);
    if (!claim.abandoned) {
      this->AbandonUndispatched(id, Reason::kLogUnavailable);
    } else if (!claim.may_be_stored) {
      this->RemoveClaim(id);
    }
  }
}

ClaimActions ClaimsShard::TakeActions() {
  this->MaybeQueueHomeRecord();
  this->StartAppend();
  this->StartRead();
  return std::exchange(this->actions, {});
}

void ClaimsShard::MaybeQueueHomeRecord() {
  if (!this->caught_up || this->home_queued || !this->config_version ||
      this->config_home != this->options.region) {
    return;
  }
  HomeRecord record{*this->config_version, this->options.region};
  if (this->home && this->home->region == this->options.region) {
    if (this->clock.Now() < this->home_read_at + this->options.home_renewal) {
      return;
    }
    record.epoch = this->home->epoch;
  } else if (this->home && *this->config_version <= this->home->epoch) {
    return;  // The configuration of this process is outdated.
  }
  this->home_queued = true;
  this->queue.emplace_back(std::move(record));
}

void ClaimsShard::StartAppend() {
  if (this->outstanding_append || this->clock.Now() < this->log_retry_at) {
    return;
  }
  RecordGroup group;
  Bytes response_bytes = 0;
  while (!this->queue.empty() &&
         group.records.size() < this->options.max_group_records &&
         response_bytes < this->options.max_group_response_bytes) {
    ClaimsRecord record = std::move(this->queue.front());
    this->queue.pop_front();
    if (this->PrepareRecord(record)) {
      response_bytes += ResponseSize(record);
      group.records.push_back(std::move(record));
    }
  }
  if (group.records.empty()) {
    return;
  }
  group.id = GroupId::Generate(this->random);
  this->outstanding_append = OutstandingAppend{group};
  this->actions.emplace_back(AppendGroup{std::move(group)});
}

// Completes a queued record; returns false if it must no longer be written.
bool ClaimsShard::PrepareRecord(ClaimsRecord& record) {
  if (const auto* release = std::get_if<ReleaseRecord>(&record)) {
    const auto found = this->claims.find(release->id);
    return found != this->claims.end() &&
           found->second.phase != Phase::kReleased;
  }
  auto* claim_record = std::get_if<ClaimRecord>(&record);
  if (claim_record == nullptr) {
    return true;
  }
  const ClaimId id = claim_record->id;
  const auto found = this->claims.find(id);
  if (found == this->claims.end() || found->second.abandoned ||
      found->second.phase != Phase::kQueued) {
    return false;
  }
  ClaimState& claim = found->second;
  const auto lifetime = std::chrono::duration_cast<std::chrono::milliseconds>(
      claim.deadline - this->clock.Now());
  if (lifetime.count() <= 0) {
    this->AbandonUndispatched(id, Reason::kDeadlineExceeded);
    return false;
  }
  if (!this->IsHomeRegion()) {
    this->AbandonUndispatched(id, Reason::kHomeMoving);
    return false;
  }
  claim.phase = Phase::kSent;
  *claim_record = {id,
                   claim.key,
                   claim.body,
                   claim.owner,
                   this->options.instance,
                   this->home->epoch,
                   lifetime};
  return true;
}

void ClaimsShard::StartRead() {
  const TimePoint now = this->clock.Now();
  if (this->reading || now < this->log_retry_at) {
    return;
  }
  if (!this->tail_requested &&
      now >= this->last_tail_read + this->options.poll_interval) {
    this->tail_requested =
        std::ranges::any_of(this->active, [&](const ClaimId& id) {
          const ClaimState& claim = this->claims.at(id);
          return claim.phase == Phase::kWaiting ||
                 this->IsBehindOtherInstance(id, claim);
        });
  }
  if (!this->tail_requested && this->next_offset >= this->read_until) {
    return;
  }
  this->reading = true;
  this->reading_tail = this->tail_requested;
  this->actions.emplace_back(ReadStream{this->next_offset});
}

void ClaimsShard::ApplyGroup(std::string_view body) {
  const std::optional<RecordGroup> group = TryDecode(body);
  if (!group) {
    ++this->malformed;
    return;
  }
  if (this->outstanding_append &&
      this->outstanding_append->group.id == group->id) {
    this->outstanding_append->read_back = true;
  }
  for (const ClaimsRecord& record : group->records) {
    std::visit(RecordApplier{*this}, record);
  }
}

void ClaimsShard::ApplyClaim(const ClaimRecord& record) {
  const bool matches = this->home && this->home->epoch == record.epoch;
  // Before the first `home` record of a truncated stream it is unknown whether
  // the claim is void; it then blocks the key but is not dispatched.
  const bool is_void = !matches && (this->home || !this->truncated);
  const auto found = this->claims.find(record.id);
  if (found == this->claims.end()) {
    if (!is_void) {
      this->ApplyForeignClaim(record, matches);
    }
    return;
  }
  ClaimState& claim = found->second;
  if (!claim.own || claim.phase >= Phase::kReadBack) {
    return;  // A duplicate, or the claim was released before.
  }
  if (is_void) {
    if (!claim.abandoned) {
      this->AbandonUndispatched(record.id, Reason::kHomeMoving);
    }
    return;
  }
  claim.phase = Phase::kReadBack;
  claim.epoch_matches = matches;
  this->keys.at(claim.key).claim_order.push_back(record.id);
  this->ExtendRetention(claim.key);
  this->EvaluateKey(record.key);
}

void ClaimsShard::ApplyForeignClaim(const ClaimRecord& record, bool matches) {
  const TimePoint now = this->clock.Now();
  // A claim on a key in the table is added even if the table is full: without
  // it, a claim of this instance would be taken for the winner.
  if (this->claims.size() >= this->options.max_claims &&
      !this->keys.contains(record.key)) {
    this->table_incomplete_until = now + this->options.key_retention;
    return;
  }
  ClaimState& claim = this->claims[record.id];
  claim.key = record.key;
  claim.body = record.body;
  claim.phase = Phase::kReadBack;
  claim.epoch_matches = matches;
  claim.deadline = now + record.lifetime;
  KeyState& state = this->keys[record.key];
  state.claim_order.push_back(record.id);
  state.claims.push_back(record.id);
  this->ExtendRetention(record.key);
  this->EvaluateKey(record.key);
}

void ClaimsShard::ApplyRelease(const ReleaseRecord& record) {
  const auto found = this->claims.find(record.id);
  if (found == this->claims.end()) {
    if (this->claims.size() < this->options.max_claims) {
      this->claims[record.id].phase = Phase::kReleased;
      this->early_releases.emplace_back(
          this->clock.Now() + this->options.key_retention, record.id);
    }
    return;
  }
  ClaimState& claim = found->second;
  if (claim.phase >= Phase::kDispatched || (claim.own && !claim.abandoned)) {
    return;
  }
  claim.phase = Phase::kReleased;
  std::erase(this->keys.at(claim.key).claim_order, record.id);
  const KeyHash key = claim.key;
  this->EvaluateKey(key);
}

void ClaimsShard::ApplyHome(const HomeRecord& record) {
  if (this->home && record.epoch < this->home->epoch) {
    return;  // Written by a process with an outdated configuration.
  }
  const bool moved =
      this->home ? this->home->region != record.region : this->truncated;
  if (this->home && record.epoch == this->home->epoch && moved) {
    return;  // The first record of an epoch takes precedence.
  }
  this->home = record;
  this->home_read_at = this->clock.Now();
  if (record.region == this->options.region) {
    this->home_queued = false;
  }
  if (!moved) {
    return;
  }
  for (const auto& [id, claim] : this->claims) {
    const bool unsettled = !claim.own && claim.phase == Phase::kReadBack &&
                           !this->keys.at(claim.key).done;
    if (unsettled) {
      this->home_ready_at =
          std::max(this->home_ready_at, claim.deadline + kHomeMargin);
    }
  }
}

}  // namespace pimentospar
