#include "pimentospar/access/access_control.h"

#include <algorithm>

namespace pimentospar {

AccessDecision AccessControl::Check(const RouteTable& table,
                                    const RouteSpec& route,
                                    std::string_view key) const {
  const auto& workspaces = table.Config().workspaces;
  if (workspaces.empty()) {
    return AccessGranted{};
  }
  const KeyDigest digest = DigestOfKey(key);
  for (const WorkspaceSpec& workspace : workspaces) {
    if (std::ranges::find(workspace.keys, digest) != workspace.keys.end()) {
      return AccessGranted{&workspace, route.requires_key};
    }
  }
  if (!route.requires_key) {
    return AccessGranted{};
  }
  return AccessDenied{Reason::kUnauthorized, std::nullopt};
}

}  // namespace pimentospar
