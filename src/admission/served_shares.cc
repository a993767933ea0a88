#include "pimentospar/admission/served_shares.h"

#include <cmath>

namespace pimentospar {

namespace {

// Long enough for a few requests of a small workspace at one of many entries.
constexpr std::chrono::seconds kDecayTime{30};
// A workspace gets precedence below this share of the common rate. Above the
// promised quarter, so that the precedence takes effect before the promise is
// broken.
constexpr double kMinRelativeShare = 0.4;

}  // namespace

void ServedShares::Decay(Counts& counts) const {
  const TimePoint now = this->clock.Now();
  const double factor =
      std::exp(-Seconds(now - counts.updated) / Seconds(kDecayTime));
  counts.total *= factor;
  counts.served *= factor;
  counts.updated = now;
}

void ServedShares::Record(const WorkspaceId& workspace, bool served) {
  for (Counts* counts : {&this->workspaces[workspace], &this->all}) {
    this->Decay(*counts);
    counts->total += 1;
    counts->served += served ? 1 : 0;
  }
}

bool ServedShares::IsUnderserved(const WorkspaceId& workspace) const {
  const auto found = this->workspaces.find(workspace);
  if (workspace.IsEmpty() || found == this->workspaces.end() ||
      this->all.total <= 0) {
    return false;
  }
  // Ratios need no decay: both counts decay alike.
  const Counts& own = found->second;
  return own.served * this->all.total <
         kMinRelativeShare * this->all.served * own.total;
}

}  // namespace pimentospar
