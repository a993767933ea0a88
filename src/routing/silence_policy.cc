#include "pimentospar/routing/silence_policy.h"

namespace pimentospar {

namespace {

constexpr std::chrono::milliseconds kMaxResponsiveSilence{4000};

}  // namespace

bool MayGiveUpAfter(Duration silence, bool is_responsive) {
  return !is_responsive || silence >= kMaxResponsiveSilence;
}

}  // namespace pimentospar
