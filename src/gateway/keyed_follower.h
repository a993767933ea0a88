#ifndef SRC_GATEWAY_KEYED_FOLLOWER_H_
#define SRC_GATEWAY_KEYED_FOLLOWER_H_

#include <functional>
#include <string>
#include <unordered_map>

#include "gateway/fiber_loop.h"
#include "gateway/shared_log.h"
#include "pimentospar/clock.h"
#include "pimentospar/random.h"

namespace pimentospar {

/// How often a follower reads.
struct FollowerPace {
  /// A read waits so long for a change.
  std::chrono::milliseconds wait{2000};
  /// Time between two reads.
  std::chrono::milliseconds pause{0};
};

struct FollowerOptions {
  std::string stream;
  /// Asked before each read; may change while a pause lasts.
  std::function<FollowerPace()> pace;
};

/// What a follower tells about its stream.
struct FollowerHandler {
  /// The newest values of all keys; what is not among them is gone.
  std::function<void(const std::vector<KeyedItem>&)> on_all;
  std::function<void(const KeyedItem&)> on_change;
  /// The log answers again after it did not.
  std::function<void()> on_regained;
};

/// Follows the newest value of each key of a stream: first all pages, then the
/// log from the end that the first page named, since a change between two pages
/// stands on neither.
class KeyedFollower {
 public:
  KeyedFollower(FiberLoop& loop,
                const Clock& clock,
                RandomSource& random,
                SharedLog& log,
                FollowerOptions options,
                FollowerHandler handler);

  void Start();
  /// Reads at once instead of waiting for the pause to end.
  void ReadSoon() {
    this->read_soon = true;
    this->poked.NotifyAll();
  }
  /// Returns whether all keys have been read once.
  [[nodiscard]] bool HasAll() const { return this->has_all; }
  /// Returns the time since the log last answered; the age of what is known.
  [[nodiscard]] Duration Age() const;

 private:
  void Run();
  void Pause();
  [[nodiscard]] LogStatus ReadAll();
  [[nodiscard]] LogStatus ReadChanges();
  void Apply(const KeyedItem& item);
  void OnAnswered();
  void OnFailed(LogStatus status);

  FiberLoop& loop;
  const Clock& clock;
  RandomSource& random;
  SharedLog& log;
  FollowerOptions options;
  FollowerHandler handler;
  FiberSignal poked;
  bool read_soon = false;
  bool has_all = false;
  bool needs_all = true;
  LogOffset next;
  /// Newest offset seen of each key, so that no older value comes back.
  std::unordered_map<std::string, LogOffset> seen;
  TimePoint answered_at;
  std::uint32_t failures = 0;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_KEYED_FOLLOWER_H_
