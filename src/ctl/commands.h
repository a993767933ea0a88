#ifndef SRC_CTL_COMMANDS_H_
#define SRC_CTL_COMMANDS_H_

#include <span>

#include "ctl/options.h"

namespace pimentospar::ctl {

struct Command {
  CommandShape shape;
  ExitCode (*run)(const Options& options);
};

/// Commands that need no log: questionnaire, generate, token, explain.
std::span<const Command> LocalCommands();
/// Commands on the log or the processes: config ...
std::span<const Command> ConfigCommands();

}  // namespace pimentospar::ctl

#endif  // SRC_CTL_COMMANDS_H_
