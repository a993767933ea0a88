#ifndef SRC_GATEWAY_TARGET_CONTROL_H_
#define SRC_GATEWAY_TARGET_CONTROL_H_

#include <optional>
#include <vector>

#include "pimentospar/planning/copy_planner.h"
#include "pimentospar/routing/target_selector.h"

namespace pimentospar {

/// How a target answered an order.
enum class OrderAnswer : std::uint8_t {
  /// The target is executing the order.
  kAccepted,
  /// The order was in effect already, or took effect at once.
  kInEffect,
  /// The target is executing another order, or the number of orders that it has
  /// accepted differs from the `after` sent with this one.
  kConflict,
  /// The target has accepted an order of a newer lease holder.
  kFenced,
  /// Another target answers at this address.
  kOtherTarget,
  kRejected,
  /// The target may have accepted the order, or may execute it later.
  kNoAnswer
};

[[nodiscard]] std::string_view ToString(OrderAnswer answer);

/// The state of a target as it reports it.
struct TargetState {
  Inventory inventory;
  /// The target is executing an order.
  bool busy = false;
  ReportedLoad load;
};

/// A notice of one incarnation of a target.
struct TargetNoticeReport {
  TargetId target;
  /// Start time of the incarnation in milliseconds since the Unix epoch.
  std::int64_t started_ms = 0;
  TargetNotice notice;
};

/// Sends orders to targets and reads their states. Calls suspend the calling
/// fiber.
class TargetControl {
 public:
  virtual ~TargetControl() = default;

  /// Sends an order, which the target accepts only if it has accepted exactly
  /// `after` orders before and has seen no fencing token newer than `fence`.
  [[nodiscard]] virtual OrderAnswer Send(const TargetDescription& target,
                                         const PlannedOrder& order,
                                         std::uint64_t after,
                                         FencingToken fence) = 0;
  /// Returns nothing if the target does not answer.
  [[nodiscard]] virtual std::optional<TargetState> FetchState(
      const TargetDescription& target) = 0;
  /// Returns the notices in all responses since the last call.
  [[nodiscard]] virtual std::vector<TargetNoticeReport> TakeNotices() {
    return {};
  }
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_TARGET_CONTROL_H_
