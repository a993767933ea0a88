#include "pimentospar/config_log.h"

#include <algorithm>

#include "config_log_detail.h"

namespace pimentospar {

namespace {

constexpr std::size_t kMaxPartialSnapshots = 4;
constexpr std::size_t kMaxNeeded = std::size_t{1} << 16;
// Leaves time for a written snapshot to appear on the log, so that it is not
// written twice.
constexpr Duration kSnapshotWriteInterval = std::chrono::minutes(2);
// A snapshot is due after a quarter of the retention plus a random delay of up
// to this share of a quarter, which spreads the writers. The snapshot is at
// most 3/8 of the retention old when the last of them writes.
constexpr double kMaxJitter = 0.5;

// Returns whether the chain of `newer` contains the last change of `older`.
bool ExtendsChain(const detail::ConfigState& newer,
                  const detail::ConfigState& older) {
  if (older.history.empty()) {
    return true;
  }
  const ChangeSummary* change =
      detail::FindInHistory(newer, older.history.back().offset);
  return change != nullptr && change->hash == older.chain_head;
}

}  // namespace

ConfigLog::ConfigLog(const Clock& clock,
                     RandomSource& random,
                     ConfigLogOptions options)
    : clock(clock),
      random(random),
      options(options),
      state(std::make_unique<detail::ConfigState>()),
      kept_from(options.first_offset),
      scanned_to(options.first_offset),
      jitter(random.NextDouble()) {
  this->state->next = options.first_offset;
}

ConfigLog::~ConfigLog() = default;

std::vector<ConfigEvent> ConfigLog::OnLogRecords(
    std::span<const ConfigRecord> records) {
  std::vector<ConfigEvent> events;
  bool is_missing = false;
  for (std::size_t i = 0; i < records.size(); ++i) {
    const ConfigRecord& record = records[i];
    this->scanned_to =
        std::max(this->scanned_to, LogOffset{record.offset.value + 1});
    this->AddNeeded(record.offset, record.time_ms);
    if (IsSnapshotRecord(record.body)) {
      const LogOffset before = this->state->next;
      this->OnSnapshotRecord(record, events);
      if (this->state->next == record.offset) {
        this->state->next = LogOffset{record.offset.value + 1};
        continue;
      }
      if (this->state->next != before) {
        // The snapshot closed the gap. Start over: records that follow its last
        // change may be earlier in this batch.
        is_missing = false;
        this->scanned_to = this->state->next;
        i = static_cast<std::size_t>(-1);
      } else {
        is_missing = is_missing || this->state->next < record.offset;
      }
      continue;
    }
    if (record.offset < this->state->next) {
      this->CheckReplay(record, events);
      continue;
    }
    if (record.offset > this->state->next) {
      is_missing = true;
      continue;
    }
    this->KeepForPeers(record);
    events.emplace_back(
        ChangeEvaluated{detail::ApplyChange(*this->state, record)});
  }
  if (is_missing) {
    events.emplace_back(RecordsMissing{this->state->next});
  } else {
    this->scanned_to = this->state->next;
  }
  return events;
}

void ConfigLog::CheckReplay(const ConfigRecord& record,
                            std::vector<ConfigEvent>& events) const {
  const ChangeSummary* change =
      detail::FindInHistory(*this->state, record.offset);
  if (change == nullptr || change == &this->state->history.front()) {
    return;
  }
  const auto previous =
      std::ranges::lower_bound(
          this->state->history, record.offset, {},
          [](const ChangeSummary& item) { return item.offset; }) -
      1;
  if (ChainHash(previous->hash, record.body) != change->hash) {
    events.emplace_back(SourceRejected{
        SourceRejection::kChainMismatch,
        "offset " + std::to_string(record.offset.value) +
            " holds a different record than the one processed before"});
  }
}

void ConfigLog::OnSnapshotRecord(const ConfigRecord& record,
                                 std::vector<ConfigEvent>& events) {
  std::optional<detail::SnapshotRecord> part =
      detail::DecodeSnapshotRecord(record.body);
  if (!part || part->through >= record.offset) {
    events.emplace_back(
        SourceRejected{SourceRejection::kCorrupt, "malformed snapshot record"});
    return;
  }
  const std::optional<std::string_view> own =
      detail::ChainHeadAt(*this->state, part->through);
  if (own && *own != part->chain_head) {
    events.emplace_back(SourceRejected{SourceRejection::kChainMismatch,
                                       "snapshot has a different chain head"});
    return;
  }
  if (own && *own == this->state->chain_head) {
    // No change follows `through`, so the exact bytes of its snapshot are
    // known.
    const std::vector<std::string> expected =
        detail::EncodeSnapshotRecords(*this->state, part->through);
    if (part->part >= expected.size() || expected[part->part] != record.body) {
      events.emplace_back(
          SourceRejected{SourceRejection::kCorrupt,
                         "snapshot differs from the one for the same state"});
      return;
    }
  }
  const bool is_known = part->through < this->state->next;
  const LogOffset through = part->through;
  if (std::optional<std::string> data = this->CollectPart(std::move(*part))) {
    if (is_known || this->InstallSnapshot(through, *data, events)) {
      this->OnSnapshotComplete(through);
    }
  }
}

std::optional<std::string> ConfigLog::CollectPart(detail::SnapshotRecord part) {
  auto found = std::ranges::find_if(
      this->partial_snapshots, [&](const detail::PartialSnapshot& item) {
        return item.through == part.through &&
               item.chain_head == part.chain_head && item.parts == part.parts;
      });
  if (found == this->partial_snapshots.end()) {
    if (this->partial_snapshots.size() == kMaxPartialSnapshots) {
      this->partial_snapshots.erase(std::ranges::min_element(
          this->partial_snapshots, {}, &detail::PartialSnapshot::through));
    }
    found = this->partial_snapshots.insert(
        this->partial_snapshots.end(),
        {part.through, part.chain_head, part.parts, {}});
  }
  const bool is_known = part.through < this->state->next;
  found->data[part.part] = is_known ? "" : std::move(part.data);
  if (found->data.size() < found->parts) {
    return std::nullopt;
  }
  std::string data;
  for (const auto& [number, text] : found->data) {
    data += text;
  }
  this->partial_snapshots.erase(found);
  return data;
}

void ConfigLog::OnSnapshotComplete(LogOffset through) {
  const bool is_newer =
      !this->needed.empty() && this->needed.front().offset <= through;
  while (!this->needed.empty() && this->needed.front().offset <= through) {
    this->needed.pop_front();
  }
  if (is_newer) {
    this->jitter = this->random.NextDouble();
  }
}

void ConfigLog::AddNeeded(LogOffset offset, std::int64_t time_ms) {
  if (this->needed.size() < kMaxNeeded &&
      (this->needed.empty() || this->needed.back().offset < offset)) {
    this->needed.push_back({offset, time_ms});
  }
}

bool ConfigLog::InstallSnapshot(LogOffset through,
                                std::string_view data,
                                std::vector<ConfigEvent>& events) {
  std::optional<detail::ConfigState> snapshot = detail::DecodeSnapshot(data);
  // The header was compared with the local state, so the content must match the
  // header: one that claims a later offset would bring back an old version.
  if (!snapshot || snapshot->next.value != through.value + 1) {
    events.emplace_back(
        SourceRejected{SourceRejection::kCorrupt,
                       "snapshot data is malformed or inconsistent"});
    return false;
  }
  if (!ExtendsChain(*snapshot, *this->state)) {
    events.emplace_back(
        SourceRejected{SourceRejection::kChainMismatch,
                       "snapshot does not extend the local hash chain"});
    return false;
  }
  *this->state = std::move(*snapshot);
  this->kept.clear();
  this->kept_bytes = 0;
  this->kept_from = this->state->next;
  events.emplace_back(SnapshotInstalled{*this->state->version});
  return true;
}

std::vector<ConfigEvent> ConfigLog::OnPeerUpdate(const PeerUpdate& update) {
  if (update.next <= this->state->next) {
    return update.next == this->state->next
               ? std::vector<ConfigEvent>()
               : std::vector<ConfigEvent>{SourceRejected{
                     SourceRejection::kStale,
                     "the peer has processed fewer records of the log"}};
  }
  std::vector<ConfigEvent> events;
  detail::ConfigState new_state = *this->state;
  bool is_snapshot = false;
  if (!update.snapshot.empty()) {
    std::optional<detail::ConfigState> snapshot =
        detail::DecodeSnapshot(update.snapshot);
    if (!snapshot) {
      return {SourceRejected{SourceRejection::kCorrupt,
                             "snapshot from the peer is malformed"}};
    }
    if (snapshot->next > new_state.next) {
      if (!ExtendsChain(*snapshot, new_state)) {
        return {SourceRejected{
            SourceRejection::kChainMismatch,
            "snapshot from the peer does not extend the local hash chain"}};
      }
      new_state = std::move(*snapshot);
      is_snapshot = true;
      events.emplace_back(SnapshotInstalled{*new_state.version});
    }
  }
  if (update.from > new_state.next) {
    return {RecordsMissing{new_state.next}};
  }
  std::vector<const ConfigRecord*> new_records;
  for (const ConfigRecord& record : update.records) {
    if (record.offset < new_state.next || IsSnapshotRecord(record.body)) {
      continue;
    }
    events.emplace_back(
        ChangeEvaluated{detail::ApplyChange(new_state, record)});
    new_records.push_back(&record);
  }
  if (new_state.chain_head != update.chain_head ||
      new_state.next > update.next) {
    return {
        SourceRejected{SourceRejection::kChainMismatch,
                       "records from the peer do not match its chain head"}};
  }
  new_state.next = update.next;
  this->Commit(std::move(new_state), is_snapshot, new_records);
  this->AdoptSnapshotAge(update);
  return events;
}

void ConfigLog::Commit(detail::ConfigState new_state,
                       bool is_snapshot,
                       std::span<const ConfigRecord* const> new_records) {
  if (is_snapshot) {
    this->kept.clear();
    this->kept_bytes = 0;
    this->kept_from =
        new_records.empty() ? new_state.next : new_records.front()->offset;
    this->needed.clear();
  }
  *this->state = std::move(new_state);
  for (const ConfigRecord* record : new_records) {
    this->KeepForPeers(*record);
    this->AddNeeded(record->offset, record->time_ms);
  }
  this->scanned_to = this->state->next;
}

// If the peer does not know the age, a snapshot counts as due. Most processes
// start from a peer; if none of them knew the age, none would write a new
// snapshot.
void ConfigLog::AdoptSnapshotAge(const PeerUpdate& update) {
  while (!this->needed.empty() &&
         this->needed.front().time_ms < update.oldest_needed_ms) {
    this->needed.pop_front();
  }
  if (this->needed.empty() || !update.snapshot.empty()) {
    this->needed.push_front(
        {LogOffset{update.next.value - 1}, update.oldest_needed_ms});
  }
}

void ConfigLog::KeepForPeers(const ConfigRecord& record) {
  this->kept.push_back(record);
  this->kept_bytes += record.body.size();
  while (!this->kept.empty() &&
         (this->kept.size() > this->options.max_kept_records ||
          this->kept_bytes > this->options.max_kept_bytes)) {
    this->kept_from = LogOffset{this->kept.front().offset.value + 1};
    this->kept_bytes -= this->kept.front().body.size();
    this->kept.pop_front();
  }
}

PeerUpdate ConfigLog::UpdateSince(std::optional<ConfigVersion> version) const {
  PeerUpdate update;
  update.from = version ? LogOffset{version->value + 1} : this->state->next;
  update.next = this->state->next;
  update.chain_head = this->state->chain_head;
  update.oldest_needed_ms =
      this->needed.empty() ? 0 : this->needed.front().time_ms;
  if (!version || update.from < this->kept_from) {
    update.snapshot = this->Snapshot();
    update.from = this->state->next;
    return update;
  }
  for (const ConfigRecord& record : this->kept) {
    if (record.offset >= update.from) {
      update.records.push_back(record);
    }
  }
  return update;
}

std::vector<std::string> ConfigLog::SnapshotIfDue() {
  if (!this->state->version || this->scanned_to != this->state->next ||
      this->needed.empty()) {
    return {};
  }
  const auto quarter = std::chrono::duration<double, std::milli>(
      this->ActiveConfiguration()->log.retention / 4.0);
  const std::int64_t now = this->clock.WallNow().time_since_epoch().count();
  const double due = quarter.count() * (1.0 + this->jitter * kMaxJitter);
  if (static_cast<double>(now - this->needed.front().time_ms) < due) {
    return {};
  }
  if (this->last_snapshot_write &&
      this->clock.Now() - *this->last_snapshot_write < kSnapshotWriteInterval) {
    return {};
  }
  this->last_snapshot_write = this->clock.Now();
  return this->SnapshotRecords();
}

std::vector<std::string> ConfigLog::SnapshotRecords() const {
  return detail::EncodeSnapshotRecords(*this->state,
                                       LogOffset{this->state->next.value - 1});
}

std::string ConfigLog::Snapshot() const {
  return detail::EncodeSnapshot(*this->state,
                                LogOffset{this->state->next.value - 1});
}

LogOffset ConfigLog::NextReadOffset() const {
  return std::max(this->scanned_to, this->state->next);
}

LogOffset ConfigLog::NextOffset() const {
  return this->state->next;
}

const Configuration* ConfigLog::ActiveConfiguration() const {
  return this->state->configuration.get();
}

std::shared_ptr<const Configuration> ConfigLog::ShareActiveConfiguration()
    const {
  return this->state->configuration;
}

std::string_view ConfigLog::Document() const {
  return this->state->document;
}

std::optional<ConfigVersion> ConfigLog::Version() const {
  return this->state->version;
}

std::string_view ConfigLog::ChainHead() const {
  return this->state->chain_head;
}

const std::deque<ChangeSummary>& ConfigLog::History() const {
  return this->state->history;
}

const ChangeSummary* ConfigLog::FindChange(std::string_view id) const {
  const auto found =
      std::ranges::find(this->state->history, id, &ChangeSummary::id);
  return found == this->state->history.end() ? nullptr : &*found;
}

}  // namespace pimentospar
