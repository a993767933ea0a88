#ifndef INCLUDE_PIMENTOSPAR_ADMISSION_SERVED_SHARES_H_
#define INCLUDE_PIMENTOSPAR_ADMISSION_SERVED_SHARES_H_

#include <chrono>
#include <unordered_map>

#include "pimentospar/clock.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// Tracks which share of the recent requests of each workspace was sent to a
/// target rather than refused.
class ServedShares {
 public:
  explicit ServedShares(const Clock& clock) : clock(clock) {}

  /// A request was sent to a target or refused.
  void Record(const WorkspaceId& workspace, bool served);
  /// Returns whether a workspace is served much less often than all together.
  [[nodiscard]] bool IsUnderserved(const WorkspaceId& workspace) const;

 private:
  /// Counts that decay exponentially.
  struct Counts {
    double total = 0;
    double served = 0;
    TimePoint updated;
  };

  void Decay(Counts& counts) const;

  const Clock& clock;
  std::unordered_map<WorkspaceId, Counts> workspaces;
  Counts all;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ADMISSION_SERVED_SHARES_H_
