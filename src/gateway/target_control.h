#ifndef SRC_GATEWAY_TARGET_CONTROL_H_
#define SRC_GATEWAY_TARGET_CONTROL_H_

#include <optional>
#include <vector>

#include "pimentospar/planning/copy_planner.h"
#include "pimentospar/routing/target_selector.h"

namespace pimentospar {

/// How a target answered an order.
enum class OrderAnswer : std::uint8_t {
  /// It is being carried out.
  kAccepted,
  /// It holds already, or took effect at once.
  kInEffect,
  /// Another order is under way, or the target has had other orders.
  kConflict,
  /// A newer holder of the lease has given orders.
  kFenced,
  /// Another target answers at the address.
  kOtherTarget,
  kRejected,
  /// It may have been accepted, or may be carried out later.
  kNoAnswer
};

[[nodiscard]] std::string_view ToString(OrderAnswer answer);

/// The state of a target as it tells it itself.
struct TargetState {
  Inventory inventory;
  bool busy = false;
  ReportedLoad load;
};

/// Sends orders to targets and reads their state. Calls suspend the fiber.
class TargetControl {
 public:
  virtual ~TargetControl() = default;

  /// The target takes the order only if it has accepted `after` orders before.
  [[nodiscard]] virtual OrderAnswer Send(const TargetDescription& target,
                                         const PlannedOrder& order,
                                         std::uint64_t after,
                                         FencingToken fence) = 0;
  /// Returns nothing if the target does not answer.
  [[nodiscard]] virtual std::optional<TargetState> FetchState(
      const TargetDescription& target) = 0;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_TARGET_CONTROL_H_
