#ifndef INCLUDE_PIMENTOSPAR_ROUTING_PROMPT_SPLIT_H_
#define INCLUDE_PIMENTOSPAR_ROUTING_PROMPT_SPLIT_H_

#include <cstdint>
#include <set>
#include <span>

#include "pimentospar/types.h"

namespace pimentospar {

/// Prompts from this many tokens are long: while an engine reads a few of them,
/// the streams that run there pause noticeably.
constexpr std::uint32_t kLongPromptTokens = 2000;

/// Returns the engines that should serve short prompts, a third of all: the
/// same ones at every entry that knows the same engines.
[[nodiscard]] std::set<TargetId> SelectShortPromptEngines(
    std::span<const TargetId> engines);

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ROUTING_PROMPT_SPLIT_H_
