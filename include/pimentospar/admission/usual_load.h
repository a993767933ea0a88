#ifndef INCLUDE_PIMENTOSPAR_ADMISSION_USUAL_LOAD_H_
#define INCLUDE_PIMENTOSPAR_ADMISSION_USUAL_LOAD_H_

#include <unordered_map>

#include "pimentospar/clock.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// Learns how much work each workspace usually asks for, and finds what goes
/// far beyond that.
class UsualLoad {
 public:
  explicit UsualLoad(const Clock& clock) : clock(clock) {}

  /// Records a request that arrived; returns whether it is part of a burst far
  /// above the usual load of its workspace.
  [[nodiscard]] bool Record(const WorkspaceId& workspace, double work);

 private:
  struct Load {
    TimePoint first_seen;
    TimePoint updated;
    /// Work that decays exponentially.
    double recent_work = 0;
    /// Work that the workspace may ask for before it is in excess.
    double allowance = 0;
  };

  const Clock& clock;
  std::unordered_map<WorkspaceId, Load> loads;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ADMISSION_USUAL_LOAD_H_
