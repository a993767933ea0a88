#ifndef INCLUDE_PIMENTOSPAR_CONFIG_LOG_H_
#define INCLUDE_PIMENTOSPAR_CONFIG_LOG_H_

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "pimentospar/clock.h"
#include "pimentospar/config.h"
#include "pimentospar/random.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// Head of the hash chain before its first record.
inline constexpr std::string_view kGenesisHash =
    "0000000000000000000000000000000000000000000000000000000000000000";

/// One record of stream `config` as the log stores it.
struct ConfigRecord {
  LogOffset offset;
  /// Time at which the log stored the record, in milliseconds since 1970.
  std::int64_t time_ms = 0;
  std::string body;
};

/// The change is valid, and its configuration became the active one.
struct ChangeAccepted {};

/// The base version was no longer active: the change at `replaced_by` had
/// replaced it.
struct ChangeConflict {
  LogOffset replaced_by;
  std::string author;
};

/// The record, or the configuration that would result from it, is invalid.
struct ChangeInvalid {
  std::vector<ConfigError> errors;
};

/// The result of a change; every process computes the same one.
using ChangeOutcome =
    std::variant<ChangeAccepted, ChangeConflict, ChangeInvalid>;

/// One change in the history: author, time, base version and outcome.
struct ChangeSummary {
  LogOffset offset;
  std::string id;
  std::string author;
  /// Time given by the author, in milliseconds since 1970.
  std::int64_t time_ms = 0;
  ConfigVersion base;
  ChangeOutcome outcome;
  /// Head of the hash chain after this record.
  std::string hash;
};

/// A change was evaluated; it is active if its outcome is `ChangeAccepted`.
struct ChangeEvaluated {
  ChangeSummary change;
};

/// A snapshot replaced the state because earlier records were missing.
struct SnapshotInstalled {
  ConfigVersion version;
};

/// Records are missing: continue reading at `NextReadOffset()` or ask a peer.
struct RecordsMissing {
  LogOffset expected;
};

/// Why records or a snapshot were rejected.
enum class SourceRejection : std::uint8_t {
  /// Older than the local state; a process never reverts to an older version.
  kStale,
  /// Does not extend the local hash chain.
  kChainMismatch,
  /// Inconsistent: a hash, a part or the document is wrong.
  kCorrupt,
};

/// Records or a snapshot were rejected; the state is unchanged by them.
struct SourceRejected {
  SourceRejection reason;
  std::string detail;
};

using ConfigEvent = std::
    variant<ChangeEvaluated, SnapshotInstalled, RecordsMissing, SourceRejected>;

/// What a peer sends to bring another process up to date with the log.
struct PeerUpdate {
  /// All changes with offsets in [`from`, `next`) are in `records`.
  LogOffset from;
  LogOffset next;
  std::vector<ConfigRecord> records;
  /// Snapshot to start from; empty if `records` continue from the version that
  /// the receiver has.
  std::string snapshot;
  /// Head of the hash chain after the last record.
  std::string chain_head;
  /// Log time, in milliseconds since 1970, of the oldest record that the newest
  /// snapshot does not cover; 0 if the peer does not know.
  std::int64_t oldest_needed_ms = 0;
};

/// Options of a `ConfigLog`.
struct ConfigLogOptions {
  /// Offset of the first record of a stream.
  LogOffset first_offset{0};
  /// Bounds on the records that are kept for peers.
  std::size_t max_kept_records = 1024;
  std::size_t max_kept_bytes = std::size_t{8} << 20;
};

namespace detail {
struct ConfigState;
struct PartialSnapshot;
struct SnapshotRecord;
struct NeededRecord {
  LogOffset offset;
  std::int64_t time_ms = 0;
};
}  // namespace detail

/// Determines the active configuration from the records of stream `config`.
///
///     ConfigLog log(clock, random);
///     auto events = log.OnLogRecords(records);  // read from
///     log.NextReadOffset() const Configuration* configuration =
///     log.ActiveConfiguration();
class ConfigLog {
 public:
  ConfigLog(const Clock& clock,
            RandomSource& random,
            ConfigLogOptions options = {});
  ~ConfigLog();
  ConfigLog(const ConfigLog&) = delete;
  ConfigLog& operator=(const ConfigLog&) = delete;

  /// Processes records that were read from the log, in offset order.
  std::vector<ConfigEvent> OnLogRecords(std::span<const ConfigRecord> records);
  /// Applies an update from a peer, or none of it if any part does not match
  /// the hash chain.
  std::vector<ConfigEvent> OnPeerUpdate(const PeerUpdate& update);

  /// Returns the offset at which to continue reading the log.
  [[nodiscard]] LogOffset NextReadOffset() const;
  /// Returns the offset after the last processed record.
  [[nodiscard]] LogOffset NextOffset() const;
  /// Returns the active configuration, or null before the first one. A later
  /// change may destroy it.
  [[nodiscard]] const Configuration* ActiveConfiguration() const;
  /// Returns shared ownership of the active configuration, for other threads.
  [[nodiscard]] std::shared_ptr<const Configuration> ShareActiveConfiguration()
      const;
  /// Returns the active canonical document; empty before the first one.
  [[nodiscard]] std::string_view Document() const;
  /// Returns the active version, or nothing before the first one.
  [[nodiscard]] std::optional<ConfigVersion> Version() const;
  /// Returns the hash of the last change in the chain.
  [[nodiscard]] std::string_view ChainHead() const;
  /// Returns the newest changes, at most `kMaxHistory`, oldest first.
  [[nodiscard]] const std::deque<ChangeSummary>& History() const;
  /// Returns the change with this record id, or null.
  [[nodiscard]] const ChangeSummary* FindChange(std::string_view id) const;

  /// Returns the update that a peer with this version needs.
  [[nodiscard]] PeerUpdate UpdateSince(
      std::optional<ConfigVersion> version) const;
  /// Returns a snapshot of the state: the same bytes at every process that has
  /// processed the same records.
  [[nodiscard]] std::string Snapshot() const;
  /// Returns the record bodies to append if a new snapshot is due, and nothing
  /// otherwise. Call it after reading the log to its end.
  [[nodiscard]] std::vector<std::string> SnapshotIfDue();
  /// Returns a snapshot as record bodies of at most `kMaxSnapshotRecord` bytes.
  [[nodiscard]] std::vector<std::string> SnapshotRecords() const;

 private:
  void OnSnapshotRecord(const ConfigRecord& record,
                        std::vector<ConfigEvent>& events);
  void OnSnapshotComplete(LogOffset through);
  void AddNeeded(LogOffset offset, std::int64_t time_ms);
  void CheckReplay(const ConfigRecord& record,
                   std::vector<ConfigEvent>& events) const;
  void KeepForPeers(const ConfigRecord& record);
  /// Adds a part and returns the data of the snapshot if it is now complete.
  std::optional<std::string> CollectPart(detail::SnapshotRecord part);
  bool InstallSnapshot(LogOffset through,
                       std::string_view data,
                       std::vector<ConfigEvent>& events);
  void Commit(detail::ConfigState new_state,
              bool is_snapshot,
              std::span<const ConfigRecord* const> new_records);
  void AdoptSnapshotAge(const PeerUpdate& update);

  const Clock& clock;
  RandomSource& random;
  ConfigLogOptions options;
  std::unique_ptr<detail::ConfigState> state;
  std::vector<detail::PartialSnapshot> partial_snapshots;
  std::deque<ConfigRecord> kept;
  std::size_t kept_bytes = 0;
  /// Changes with offsets below this are not in `kept`.
  LogOffset kept_from;
  /// Offset up to which the log was searched for a snapshot that closes a gap.
  LogOffset scanned_to;
  /// Records that the newest complete snapshot does not cover. A paused writer
  /// can append an old snapshot late, so the age of a snapshot is the age of
  /// the oldest record that it does not cover.
  std::deque<detail::NeededRecord> needed;
  /// Random factor from 0 to 1 that spreads the writers of the next snapshot;
  /// drawn again after each one.
  double jitter = 0.0;
  std::optional<TimePoint> last_snapshot_write;
};

/// Number of changes in the history: four months at 420 changes a day. Not an
/// option, because all processes must write identical snapshots.
inline constexpr std::size_t kMaxHistory = 50'000;
/// Maximum size of a snapshot record, in bytes.
inline constexpr std::size_t kMaxSnapshotRecord = std::size_t{256} << 10;

/// Returns the head of the hash chain after appending `body` to `previous`.
[[nodiscard]] std::string ChainHash(std::string_view previous,
                                    std::string_view body);

/// Returns whether a record body is part of a snapshot; such records are not
/// part of the hash chain.
[[nodiscard]] bool IsSnapshotRecord(std::string_view body);

/// Content of a change record.
struct ChangeDraft {
  std::string id;
  std::string author;
  std::int64_t time_ms = 0;
  ConfigVersion base;
  /// Head of the hash chain that the author had read up to.
  std::string prev_hash;
  /// JSON Patch, or the whole document for the first version.
  std::string content;
  bool is_document = false;
};

/// Returns the body of a change record; `content` must be valid JSON.
[[nodiscard]] std::string MakeChange(const ChangeDraft& draft);

/// Returns a random record id: 128 bits in hexadecimal digits.
[[nodiscard]] std::string MakeRecordId(RandomSource& random);

/// Returns the JSON Patch that turns `from` into `to`, which must be valid
/// JSON. List items are matched by `id`, so removing one takes a single
/// operation.
[[nodiscard]] std::string MakePatch(std::string_view from, std::string_view to);

/// Applies a JSON Patch (RFC 6902) and returns the canonical document, or a
/// `ConfigErrors` on failure.
[[nodiscard]] boost::leaf::result<std::string> ApplyPatch(
    std::string_view document,
    std::string_view patch);

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_CONFIG_LOG_H_
