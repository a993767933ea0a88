#include "pimentospar/routing/prompt_split.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "pimentospar/digest.h"

namespace pimentospar {

namespace {

// One engine in three serves short prompts, because streams with short prompts
// take little engine time compared with the others.
constexpr std::size_t kShareDivisor = 3;
constexpr std::uint64_t kSeed = 0x73686f7274;

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

}  // namespace pimentospar
