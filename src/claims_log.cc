#include <algorithm>
#include <boost/leaf/handle_errors.hpp>

#include "pimentospar/claims.h"

namespace pimentospar {

namespace {

namespace leaf = boost::leaf;

using detail::ClaimState;
using detail::KeyState;

// Covers the time between the dispatch check of the old home and the moment
// when the operation reaches the target.
constexpr Duration kHomeMargin = std::chrono::seconds(1);

std::optional<RecordGroup> TryDecode(std::string_view body) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<RecordGroup>> {
        BOOST_LEAF_AUTO(group, DecodeGroup(body));
        return std::optional<RecordGroup>(std::move(group));
      },
      [] { return std::optional<RecordGroup>(); });
}

Bytes AnswerSize(const ClaimsRecord& record) {
  const auto* done = std::get_if<DoneRecord>(&record);
  return done != nullptr && done->answer ? done->answer->size() : 0;
}

}  // namespace

struct ClaimsShard::RecordReader {
  ClaimsShard& shard;

  void operator()(const ClaimRecord& record) const {
    this->shard.ReadClaim(record);
  }
  void operator()(const DoneRecord& record) const {
    const auto found = this->shard.claims.find(record.id);
    if (found == this->shard.claims.end() || found->second.own ||
        found->second.phase != Phase::kLanded) {
      return;
    }
    this->shard.SetDone(record.id, record.status, record.answer);
  }
  void operator()(const ReleaseRecord& record) const {
    this->shard.ReadRelease(record);
  }
  void operator()(const HomeRecord& record) const {
    this->shard.ReadHome(record);
  }
};

ClaimActions ClaimsShard::OnRead(const StreamPage& page) {
  if (!std::exchange(this->reading, false)) {
    return this->Finish();
  }
  if (page.first > this->next_offset) {
    this->truncated = true;
    // A missed record may have moved the home.
    this->home.reset();
    this->home_queued = false;
  }
  for (const StreamRecord& record : page.records) {
    if (record.offset < this->next_offset) {
      continue;
    }
    this->next_offset = LogOffset{record.offset.value + 1};
    this->ReadGroup(record.body);
  }
  this->next_offset = std::max(this->next_offset, page.next);
  const bool at_tail = page.records.empty() && this->reading_tail;
  if (at_tail) {
    this->want_tail = false;
    this->caught_up = true;
    this->last_tail_read = this->clock.Now();
  }
  if (this->outstanding && this->outstanding->lost &&
      (at_tail || this->outstanding->seen)) {
    this->SettleAppend(this->outstanding->seen);
  }
  return this->Finish();
}

ClaimActions ClaimsShard::OnReadFailed() {
  this->reading = false;
  this->log_retry_at = this->clock.Now() + this->options.log_backoff;
  return this->Finish();
}

ClaimActions ClaimsShard::OnAppended(LogOffset offset) {
  if (this->outstanding && !this->outstanding->lost) {
    this->read_target =
        std::max(this->read_target, LogOffset{offset.value + 1});
    this->SettleAppend(true);
  }
  return this->Finish();
}

ClaimActions ClaimsShard::OnAppendRefused() {
  if (this->outstanding && !this->outstanding->lost) {
    this->Requeue(false);
  }
  return this->Finish();
}

ClaimActions ClaimsShard::OnAppendLost() {
  if (!this->outstanding || this->outstanding->lost) {
    return this->Finish();
  }
  this->outstanding->lost = true;
  if (this->outstanding->seen) {
    this->SettleAppend(true);
    return this->Finish();
  }
  this->want_tail = true;
  // A read that began before the loss may have missed the record.
  this->reading_tail = false;
  return this->Finish();
}

void ClaimsShard::SettleAppend(bool stored) {
  if (!stored) {
    this->Requeue(true);
    return;
  }
  for (const ClaimsRecord& record : this->outstanding->group.records) {
    const auto* claim_record = std::get_if<ClaimRecord>(&record);
    if (claim_record == nullptr) {
      continue;
    }
    const auto found = this->claims.find(claim_record->id);
    if (found != this->claims.end() && found->second.phase == Phase::kSent) {
      found->second.phase = Phase::kAppended;
    }
  }
  this->outstanding.reset();
}

// Puts the records of an append that did not take effect back, in their order.
// A lost append can still land; its claims keep their ids, so that a second
// copy counts as the same claim.
void ClaimsShard::Requeue(bool lost) {
  const RecordGroup group = std::move(this->outstanding->group);
  this->outstanding.reset();
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
    claim.may_land = claim.may_land || lost;
    if (lost && !claim.abandoned) {
      this->queue.push_front(*record);
    } else if (!lost) {
      refused.push_back(claim_record->id);
    }
  }
  for (const ClaimId& id : refused) {
    const ClaimState& claim = this->claims.at(id);
    if (!claim.abandoned) {
      this->AbandonUndispatched(id, Reason::kLogUnavailable);
    } else if (!claim.may_land) {
      this->Drop(id);
    }
  }
}

ClaimActions ClaimsShard::Finish() {
  this->MaybeWriteHome();
  this->FlushAppend();
  this->FlushRead();
  return std::exchange(this->actions, {});
}

void ClaimsShard::MaybeWriteHome() {
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
    return;  // This process has an old configuration.
  }
  this->home_queued = true;
  this->queue.emplace_back(std::move(record));
}

void ClaimsShard::FlushAppend() {
  if (this->outstanding || this->clock.Now() < this->log_retry_at) {
    return;
  }
  RecordGroup group;
  Bytes answer_bytes = 0;
  while (!this->queue.empty() &&
         group.records.size() < this->options.max_group_records &&
         answer_bytes < this->options.max_group_answers) {
    ClaimsRecord record = std::move(this->queue.front());
    this->queue.pop_front();
    if (this->TakeRecord(record)) {
      answer_bytes += AnswerSize(record);
      group.records.push_back(std::move(record));
    }
  }
  if (group.records.empty()) {
    return;
  }
  group.id = GroupId::Draw(this->random);
  this->outstanding = Outstanding{group};
  this->actions.emplace_back(AppendGroup{std::move(group)});
}

// Completes a queued record; returns false if it is no longer to be written.
bool ClaimsShard::TakeRecord(ClaimsRecord& record) {
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
  if (!this->ServesHome()) {
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

void ClaimsShard::FlushRead() {
  const TimePoint now = this->clock.Now();
  if (this->reading || now < this->log_retry_at) {
    return;
  }
  if (!this->want_tail &&
      now >= this->last_tail_read + this->options.poll_interval) {
    this->want_tail = std::ranges::any_of(this->active, [&](const ClaimId& id) {
      const ClaimState& claim = this->claims.at(id);
      return claim.phase == Phase::kWaiting || this->IsBehindOther(id, claim);
    });
  }
  if (!this->want_tail && this->next_offset >= this->read_target) {
    return;
  }
  this->reading = true;
  this->reading_tail = this->want_tail;
  this->actions.emplace_back(ReadStream{this->next_offset});
}

void ClaimsShard::ReadGroup(std::string_view body) {
  const std::optional<RecordGroup> group = TryDecode(body);
  if (!group) {
    ++this->malformed;
    return;
  }
  if (this->outstanding && this->outstanding->group.id == group->id) {
    this->outstanding->seen = true;
  }
  for (const ClaimsRecord& record : group->records) {
    std::visit(RecordReader{*this}, record);
  }
}

void ClaimsShard::ReadClaim(const ClaimRecord& record) {
  const bool matches = this->home && this->home->epoch == record.epoch;
  // Before the first `home` record of a truncated stream it is not known
  // whether the claim is void; it then blocks the key but is not dispatched.
  const bool is_void = !matches && (this->home || !this->truncated);
  const auto found = this->claims.find(record.id);
  if (found == this->claims.end()) {
    if (!is_void) {
      this->ReadForeignClaim(record, matches);
    }
    return;
  }
  ClaimState& claim = found->second;
  if (!claim.own || claim.phase >= Phase::kLanded) {
    return;  // A second copy of a claim, or its release was read before it.
  }
  if (is_void) {
    if (!claim.abandoned) {
      this->AbandonUndispatched(record.id, Reason::kHomeMoving);
    }
    return;
  }
  claim.phase = Phase::kLanded;
  claim.epoch_matches = matches;
  this->keys.at(claim.key).order.push_back(record.id);
  this->Keep(claim.key);
  this->Evaluate(record.key);
}

void ClaimsShard::ReadForeignClaim(const ClaimRecord& record, bool matches) {
  const TimePoint now = this->clock.Now();
  // A claim on a key that is in the table is kept even over the bound: without
  // it, a claim of this instance would look like the winner.
  if (this->claims.size() >= this->options.max_claims &&
      !this->keys.contains(record.key)) {
    this->incomplete_until = now + this->options.key_retention;
    return;
  }
  ClaimState& claim = this->claims[record.id];
  claim.key = record.key;
  claim.body = record.body;
  claim.phase = Phase::kLanded;
  claim.epoch_matches = matches;
  claim.deadline = now + record.lifetime;
  KeyState& state = this->keys[record.key];
  state.order.push_back(record.id);
  state.claims.push_back(record.id);
  this->Keep(record.key);
  this->Evaluate(record.key);
}

void ClaimsShard::ReadRelease(const ReleaseRecord& record) {
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
  std::erase(this->keys.at(claim.key).order, record.id);
  const KeyHash key = claim.key;
  this->Evaluate(key);
}

void ClaimsShard::ReadHome(const HomeRecord& record) {
  if (this->home && record.epoch < this->home->epoch) {
    return;  // Written by a process with an old configuration.
  }
  const bool moved =
      this->home ? this->home->region != record.region : this->truncated;
  if (this->home && record.epoch == this->home->epoch && moved) {
    return;  // The first record of an epoch decides.
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
    const bool unsettled = !claim.own && claim.phase == Phase::kLanded &&
                           !this->keys.at(claim.key).done;
    if (unsettled) {
      this->home_free_at =
          std::max(this->home_free_at, claim.deadline + kHomeMargin);
    }
  }
}

}  // namespace pimentospar
