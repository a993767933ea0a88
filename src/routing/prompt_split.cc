#include "pimentospar/routing/prompt_split.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "pimentospar/digest.h"
#include "pimentospar/random.h"

namespace pimentospar {

namespace {

// One engine in three serves short prompts, because streams with short prompts
// take little engine time compared with the others.
constexpr std::size_t kShareDivisor = 3;
constexpr std::uint64_t kSeed = 0x73686f7274;
// Engines whose times differ by less than this (a ratio of 1.35) are ranked by
// hash, so that entries agree although each measures its own speeds.
constexpr double kNoticeableLogRatio = 0.3;
// A selected engine ranks as if its times were longer by this (a ratio of
// 1.16).
constexpr double kHysteresisLogRatio = 0.15;

}  // namespace

std::set<TargetId> SelectShortPromptEngines(std::span<const TargetId> engines) {
  std::vector<std::pair<std::uint64_t, TargetId>> ranked;
  ranked.reserve(engines.size());
  for (const TargetId& engine : engines) {
    ranked.emplace_back(Hash64(engine.value, kSeed), engine);
  }
  std::ranges::sort(ranked);
  std::set<TargetId> chosen;
  for (std::size_t i = 0; i < ranked.size() / kShareDivisor; ++i) {
    chosen.insert(ranked[i].second);
  }
  return chosen;
}

std::set<TargetId> SelectShortPromptEngines(
    std::span<const EngineSpeed> engines,
    const std::set<TargetId>& previous) {
  std::vector<std::pair<double, TargetId>> ranked;
  ranked.reserve(engines.size());
  for (const EngineSpeed& engine : engines) {
    const double hashed = ToUnitInterval(Hash64(engine.id.value, kSeed));
    const double bonus = previous.contains(engine.id) ? kHysteresisLogRatio : 0;
    ranked.emplace_back(
        kNoticeableLogRatio * hashed - std::log(engine.time_factor) - bonus,
        engine.id);
  }
  std::ranges::sort(ranked);
  std::set<TargetId> chosen;
  for (std::size_t i = 0; i < ranked.size() / kShareDivisor; ++i) {
    chosen.insert(ranked[i].second);
  }
  return chosen;
}

}  // namespace pimentospar
