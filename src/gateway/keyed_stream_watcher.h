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

/// How often a follower reads.
struct PollTiming {
  /// A read waits so long for a change.
  std::chrono::milliseconds wait{2000};
  /// Time between two reads.
  std::chrono::milliseconds interval{0};
};

struct WatcherOptions {
  std::string stream;
  /// Asked before each read; may change while a pause lasts.
  std::function<PollTiming()> timing;
};

/// What a follower tells about its stream.
struct WatcherCallbacks {
  /// The newest values of all keys; what is not among them is gone.
  std::function<void(const std::vector<KeyedItem>&)> on_full_read;
  std::function<void(const KeyedItem&)> on_change;
  /// The log answers again after it did not.
  std::function<void()> on_recovered;
};

/// Follows the newest value of each key of a stream: first all pages, then the
/// log from the end that the first page named, since a change between two pages
/// stands on neither.
class KeyedStreamWatcher {
 public:
  KeyedStreamWatcher(FiberLoop& loop,
                     const Clock& clock,
                     RandomSource& random,
                     SharedLog& log,
                     WatcherOptions options,
                     WatcherCallbacks callbacks);

  void Start();
  /// Reads at once instead of waiting for the pause to end.
  void PollNow() {
    this->poll_requested = true;
    this->wake.NotifyAll();
  }
  /// Returns whether all keys have been read once.
  [[nodiscard]] bool HasSynced() const { return this->has_synced; }
  /// Returns the time since the log last answered; the age of what is known.
  [[nodiscard]] Duration TimeSinceLastRead() const;

 private:
  void Run();
  void WaitForNextPoll();
  [[nodiscard]] LogStatus ReadAll();
  [[nodiscard]] LogStatus ReadChanges();
  void Apply(const KeyedItem& item);
  void OnReadSucceeded();
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
  /// Newest offset seen of each key, so that no older value comes back.
  std::unordered_map<std::string, LogOffset> newest_offsets;
  TimePoint last_read_at;
  std::uint32_t failures = 0;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_KEYED_STREAM_WATCHER_H_
