#ifndef INCLUDE_PIMENTOSPAR_QUOTA_QUOTA_USAGE_H_
#define INCLUDE_PIMENTOSPAR_QUOTA_QUOTA_USAGE_H_

#include "pimentospar/types.h"

namespace pimentospar {

/// The units of a quota that an entry has counted since it started.
struct QuotaUsage {
  WorkspaceId workspace;
  /// Units that callers asked for.
  double asked = 0;
  /// Units that were passed on.
  double sent = 0;
};

/// The part of a workspace's demand that entries may pass on.
struct QuotaLimit {
  WorkspaceId workspace;
  /// From 0 to 1.
  double fraction = 1;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_QUOTA_QUOTA_USAGE_H_
