#ifndef INCLUDE_PIMENTOSPAR_ROUTING_TARGET_LIMITS_H_
#define INCLUDE_PIMENTOSPAR_ROUTING_TARGET_LIMITS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "pimentospar/clock.h"
#include "pimentospar/random.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// What a process knows of the limit of one incarnation of a target, as
/// processes send it to each other. Ages replace times since clocks differ.
struct TargetLimitReport {
  TargetId target;
  /// Start time of the target in milliseconds since the Unix epoch.
  std::int64_t started_ms = 0;
  /// Requests per second from all entries together; nothing if the target has
  /// ended its limit.
  std::optional<double> per_second;
  /// Time since the target last said so.
  std::chrono::milliseconds age{0};
};

/// Keeps the limits that targets name in their responses, and those that other
/// entries have heard of.
class TargetLimits {
 public:
  explicit TargetLimits(const Clock& clock) : clock(clock) {}

  /// Records what a response of the target says; nothing if it names no limit.
  void OnResponse(const TargetId& target,
                  std::int64_t started_ms,
                  std::optional<double> per_second);
  /// Merges the reports of another entry; the newest word of a target counts.
  void Import(std::span<const TargetLimitReport> reports);
  /// Returns at most `limit` reports: the newest changes, and others drawn at
  /// random.
  [[nodiscard]] std::vector<TargetLimitReport> Export(
      std::size_t limit,
      RandomSource& random) const;

  /// Returns the limit of this incarnation of the target, if it has one.
  [[nodiscard]] std::optional<double> Find(const TargetId& target,
                                           std::int64_t started_ms) const;
  [[nodiscard]] bool HasLimits() const;
  /// Returns a number that grows when a limit begins, changes or ends.
  [[nodiscard]] std::uint64_t Version() const { return this->version; }

 private:
  struct Limit {
    std::int64_t started_ms = 0;
    std::optional<double> per_second;
    TimePoint confirmed_at;
    TimePoint changed_at;
  };

  void Update(const TargetId& target, const Limit& update);
  void DropExpired();

  const Clock& clock;
  std::unordered_map<TargetId, Limit> limits;
  std::uint64_t version = 0;
  TimePoint dropped_at;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ROUTING_TARGET_LIMITS_H_
