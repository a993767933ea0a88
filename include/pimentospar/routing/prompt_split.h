#ifndef INCLUDE_PIMENTOSPAR_ROUTING_PROMPT_SPLIT_H_
#define INCLUDE_PIMENTOSPAR_ROUTING_PROMPT_SPLIT_H_

#include <cstdint>
#include <set>
#include <span>

#include "pimentospar/types.h"

namespace pimentospar {

/// Prompts of at least this many tokens count as long: while an engine prefills
/// a few of them, the other streams on that engine pause noticeably.
constexpr std::uint32_t kLongPromptTokens = 2000;

/// Returns the third of the engines that should serve short prompts. Entries
/// that know the same engines get the same result.
[[nodiscard]] std::set<TargetId> SelectShortPromptEngines(
    std::span<const TargetId> engines);

/// An engine and how long it takes in relation to others.
struct EngineSpeed {
  TargetId id;
  double time_factor = 1;
};

/// Returns the slowest third of the engines, as far as their speeds differ
/// noticeably. Engines in `previous` stay until others are clearly slower, so
/// that copies need not move.
[[nodiscard]] std::set<TargetId> SelectShortPromptEngines(
    std::span<const EngineSpeed> engines,
    const std::set<TargetId>& previous);

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ROUTING_PROMPT_SPLIT_H_
