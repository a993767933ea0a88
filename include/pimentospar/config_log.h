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

/// Hash before the first record of the chain.
inline constexpr std::string_view kGenesisHash =
    "0000000000000000000000000000000000000000000000000000000000000000";

/// One record of stream `config` as the log stores it.
struct ConfigRecord {
  LogOffset offset;
  /// Time at which the log took the record, in milliseconds since 1970.
  std::int64_t time_ms = 0;
  std::string body;
};

struct ChangeAccepted {};

/// The base version was no longer in force; the change named here replaced it.
struct ChangeConflict {
  LogOffset replaced_by;
  std::string author;
};

/// The record or the configuration that it would give is wrong.
struct ChangeInvalid {
  std::vector<ConfigError> errors;
};

/// The result of a change; the same at every process.
using ChangeOutcome =
    std::variant<ChangeAccepted, ChangeConflict, ChangeInvalid>;

/// One line of the history: who changed what base when, with which result.
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

/// A change was judged; it is in force if its outcome is `ChangeAccepted`.
struct ChangeEvaluated {
  ChangeSummary change;
};

/// A snapshot replaced the state because the records before it are gone.
struct SnapshotInstalled {
  ConfigVersion version;
};

/// Records are missing; read the log from `NextReadOffset()` or ask a peer.
struct RecordsMissing {
  LogOffset expected;
};

/// Why records or a snapshot were not used.
enum class SourceRejection : std::uint8_t {
  /// Older than the own state; a process never goes back.
  kStale,
  /// Does not extend the own hash chain.
  kChainMismatch,
  /// Does not agree with itself: a hash, a part or the document is wrong.
  kCorrupt,
};

struct SourceRejected {
  SourceRejection reason;
  std::string detail;
};

using ConfigEvent = std::
    variant<ChangeEvaluated, SnapshotInstalled, RecordsMissing, SourceRejected>;

/// What a peer sends to bring another process up to date.
struct PeerUpdate {
  /// All changes with offsets in [`from`, `next`) are in `records`.
  LogOffset from;
  LogOffset next;
  std::vector<ConfigRecord> records;
  /// Snapshot to start from; empty if `records` continue the asker's version.
  std::string snapshot;
  /// Head of the hash chain after the last record.
  std::string chain_head;
  /// Log time of the oldest record that the newest snapshot does not replace;
  /// 0 if the peer does not know.
  std::int64_t oldest_needed_ms = 0;
};

struct ConfigLogOptions {
  /// Offset that the log gives to the first record of a stream.
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

/// Decides which configuration is in force from the records of stream `config`.
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

  /// Takes records that were read from the log, in the order of their offsets.
  std::vector<ConfigEvent> OnLogRecords(std::span<const ConfigRecord> records);
  /// Takes the answer of a peer; nothing of it is used unless all of it agrees
  /// with the hash chain.
  std::vector<ConfigEvent> OnPeerUpdate(const PeerUpdate& update);

  /// Returns the offset to read the log from.
  [[nodiscard]] LogOffset NextReadOffset() const;
  /// Returns the offset after the last record that was evaluated.
  [[nodiscard]] LogOffset NextOffset() const;
  /// Returns the configuration in force, or null before the first one.
  [[nodiscard]] const Configuration* ActiveConfiguration() const;
  /// Shares the configuration in force with other threads.
  [[nodiscard]] std::shared_ptr<const Configuration> ShareActiveConfiguration()
      const;
  /// Returns the canonical document in force; empty before the first one.
  [[nodiscard]] std::string_view Document() const;
  [[nodiscard]] std::optional<ConfigVersion> Version() const;
  [[nodiscard]] std::string_view ChainHead() const;
  /// Returns the kept lines, oldest first; see `kMaxHistory`.
  [[nodiscard]] const std::deque<ChangeSummary>& History() const;
  /// Returns the line of the change with this record id, or null.
  [[nodiscard]] const ChangeSummary* FindChange(std::string_view id) const;

  /// Returns what a peer with this version needs.
  [[nodiscard]] PeerUpdate UpdateSince(
      std::optional<ConfigVersion> version) const;
  /// Returns the snapshot of the present state; the same bytes at every process
  /// that has judged the same records.
  [[nodiscard]] std::string Snapshot() const;
  /// Returns the record bodies to append if a new snapshot is due, else none.
  /// Call it after reading the log to its tail.
  [[nodiscard]] std::vector<std::string> SnapshotIfDue();
  /// Returns the record bodies of the snapshot, at most 256 KiB each.
  [[nodiscard]] std::vector<std::string> SnapshotRecords() const;

 private:
  void OnSnapshotRecord(const ConfigRecord& record,
                        std::vector<ConfigEvent>& events);
  void OnSnapshotComplete(LogOffset through);
  void AddNeeded(LogOffset offset, std::int64_t time_ms);
  void CheckReplay(const ConfigRecord& record,
                   std::vector<ConfigEvent>& events) const;
  void KeepForPeers(const ConfigRecord& record);
  /// Returns the data of the snapshot if this part completes it.
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
  /// Offset up to which the log was scanned for a snapshot during a gap.
  LogOffset scanned_to;
  /// Log times of the records after the newest complete snapshot. A writer that
  /// was paused appends an old snapshot late, so the age of a snapshot is that
  /// of the oldest record it leaves out.
  std::deque<detail::NeededRecord> needed;
  /// Extra age, as a share of a quarter of the retention.
  double jitter = 0.0;
  std::optional<TimePoint> last_snapshot_write;
};

/// Number of history lines that are kept: four months at 420 changes a day. It
/// is no option, because all processes must write the same snapshots.
inline constexpr std::size_t kMaxHistory = 50'000;
/// Largest snapshot record.
inline constexpr std::size_t kMaxSnapshotRecord = std::size_t{256} << 10;

/// Returns the next head of the hash chain.
[[nodiscard]] std::string ChainHash(std::string_view previous,
                                    std::string_view body);

/// Returns whether a record body is a part of a snapshot and thus no link of
/// the hash chain.
[[nodiscard]] bool IsSnapshotRecord(std::string_view body);

/// Content of a change record.
struct ChangeDraft {
  std::string id;
  std::string author;
  std::int64_t time_ms = 0;
  ConfigVersion base;
  /// Head of the hash chain that the author has read.
  std::string prev_hash;
  /// JSON Patch, or the whole document if it is for the first version.
  std::string content;
  bool is_document = false;
};

/// Writes the body of a change record; `content` must be valid JSON.
[[nodiscard]] std::string MakeChange(const ChangeDraft& draft);

/// Returns a random record id: 128 bits in hexadecimal.
[[nodiscard]] std::string MakeRecordId(RandomSource& random);

/// Returns the JSON Patch that turns one document into another; items of lists
/// are matched by their `id`, so that one removal stays one operation. Both
/// must be valid JSON.
[[nodiscard]] std::string MakePatch(std::string_view from, std::string_view to);

/// Applies a JSON Patch (RFC 6902) and returns the canonical document; the
/// error is a `ConfigErrors`.
[[nodiscard]] boost::leaf::result<std::string> ApplyPatch(
    std::string_view document,
    std::string_view patch);

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_CONFIG_LOG_H_
