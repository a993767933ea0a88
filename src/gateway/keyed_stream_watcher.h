#ifndef SRC_GATEWAY_KEYED_STREAM_WATCHER_H_
#define SRC_GATEWAY_KEYED_STREAM_WATCHER_H_

#include <functional>
#include <string>
#include <unordered_map>

#include "gateway/fiber_loop.h"
#include "gateway/shared_log.h"
#include "pimentospar/clock.h"
#include "pimentospar/random.h"

namespace pimentospar {

/// How often a watcher reads its stream.
struct PollTiming {
  /// Longest time that a read waits for a change.
  std::chrono::milliseconds wait{2000};
  /// Time between two reads.
  std::chrono::milliseconds interval{0};
};

/// Stream and read timing of a `KeyedStreamWatcher`.
struct WatcherOptions {
  std::string stream;
  /// Called before each read and repeatedly between reads; the result may
  /// change at any time.
  std::function<PollTiming()> timing;
};

/// The newest values of all keys of a stream.
struct KeyedSnapshot {
  std::vector<KeyedItem> items;
  /// True if the log was restored from an older copy since the last read. The
  /// values may then be older than what was read before, and lack keys that are
  /// about to be written again.
  bool after_restore = false;
};

/// Functions that a watcher calls with what it has read.
struct WatcherCallbacks {
  /// Receives the newest values of all keys; other keys were removed.
  std::function<void(const KeyedSnapshot&)> on_full_read;
  std::function<void(const KeyedItem&)> on_change;
  /// Called when the log answers again after failed reads, or was restored
  /// since the last one; may be unset.
  std::function<void()> on_recovered;
  /// Called after each read that reached the end of the stream, once its
  /// changes were reported, with the time at which the read began: the known
  /// values were the newest ones then. May be unset.
  std::function<void(TimePoint)> on_current;
};

/// Watches the newest value of each key of a stream. It first reads all pages
/// of newest values, then the log from the end that the first page named, since
/// a change that is made between two pages may be on neither. When the log was
/// restored from an older copy, its offsets name other records, so the watcher
/// reads all values again.
class KeyedStreamWatcher {
 public:
  KeyedStreamWatcher(FiberLoop& loop,
                     const Clock& clock,
                     RandomSource& random,
                     SharedLog& log,
                     WatcherOptions options,
                     WatcherCallbacks callbacks);

  void Start();
  /// Reads at once instead of waiting for the interval to end.
  void PollNow() {
    this->poll_requested = true;
    this->wake.NotifyAll();
  }
  /// Returns whether all keys have been read at least once.
  [[nodiscard]] bool HasSynced() const { return this->has_synced; }
  /// Returns the era of the log in which the values were read.
  [[nodiscard]] LogEra Era() const { return this->era; }
  /// Returns the time since the log last answered, which is the age of the
  /// known values.
  [[nodiscard]] Duration TimeSinceLastRead() const;

 private:
  void Run();
  void WaitForNextPoll();
  [[nodiscard]] LogStatus ReadAll();
  [[nodiscard]] LogStatus ReadChanges();
  void Apply(const KeyedItem& item);
  void OnReadSucceeded(bool was_restored = false);
  void ReportCurrent(TimePoint began_at);
  void OnReadFailed(LogStatus status);

  FiberLoop& loop;
  const Clock& clock;
  RandomSource& random;
  SharedLog& log;
  WatcherOptions options;
  WatcherCallbacks callbacks;
  FiberSignal wake;
  bool poll_requested = false;
  bool has_synced = false;
  bool needs_full_read = true;
  LogOffset next;
  /// The era in which `next` and the newest offsets count.
  LogEra era;
  /// Offset of the newest value of each key, so that no older value replaces
  /// it.
  std::unordered_map<std::string, LogOffset> newest_offsets;
  TimePoint last_read_at;
  std::uint32_t failures = 0;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_KEYED_STREAM_WATCHER_H_
