#ifndef INCLUDE_PIMENTOSPAR_ACCESS_ACCESS_CONTROL_H_
#define INCLUDE_PIMENTOSPAR_ACCESS_ACCESS_CONTROL_H_

#include <optional>
#include <string_view>
#include <variant>

#include "pimentospar/access/config_freshness.h"
#include "pimentospar/access/workspace.h"
#include "pimentospar/clock.h"
#include "pimentospar/reason.h"
#include "pimentospar/routing/route_table.h"

namespace pimentospar {

/// The request may go on.
struct AccessGranted {
  /// Null where the request names no workspace.
  const WorkspaceSpec* workspace = nullptr;
  /// False on a route that needs no key: its requests are not charged.
  bool charged = true;
};
/// The request must not run.
struct AccessDenied {
  Reason reason = Reason::kUnauthorized;
  std::optional<Duration> retry_after;
};
using AccessDecision = std::variant<AccessGranted, AccessDenied>;

/// Decides which workspace sends a request, by its key. Without a proof that
/// the configuration is fresh, no request that needs a key may go on.
class AccessControl {
 public:
  explicit AccessControl(ConfigFreshness& freshness) : freshness(freshness) {}

  /// The result refers to `table`.
  [[nodiscard]] AccessDecision Check(const RouteTable& table,
                                     const RouteSpec& route,
                                     std::string_view key) const;

 private:
  ConfigFreshness& freshness;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ACCESS_ACCESS_CONTROL_H_
