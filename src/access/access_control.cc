#include "pimentospar/access/access_control.h"

namespace pimentospar {

AccessDecision AccessControl::Check(const RouteTable& table,
                                    const RouteSpec& route,
                                    std::string_view key) const {
  if (table.Config().workspaces.empty()) {
    return AccessGranted{};
  }
  if (!this->freshness.IsFresh()) {
    // A key that may have been revoked identifies no workspace.
    if (!route.requires_key) {
      return AccessGranted{nullptr, false};
    }
    return AccessDenied{Reason::kConfigStale, this->freshness.RetryAfter()};
  }
  const WorkspaceSpec* workspace =
      key.empty() ? nullptr : table.FindWorkspace(DigestOfKey(key));
  if (workspace == nullptr && route.requires_key) {
    return AccessDenied{Reason::kUnauthorized, std::nullopt};
  }
  return AccessGranted{workspace, route.requires_key};
}

}  // namespace pimentospar
