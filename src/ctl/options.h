#ifndef SRC_CTL_OPTIONS_H_
#define SRC_CTL_OPTIONS_H_

#include <optional>
#include <string>
#include <vector>

namespace pimentospar::ctl {

/// Exit codes of section 6 of the design page.
enum ExitCode : int {
  kDone = 0,
  kFailure = 1,
  kUsage = 2,
  kRejected = 3,
  kInvalidInput = 4,
  kUnreachable = 5,
  kOutcomeUnknown = 6,
};

/// Options and arguments of one command.
struct Options {
  bool json = false;
  std::string log;
  std::string file;
  std::string save;
  std::string base;
  std::string author;
  std::vector<std::string> processes;
  std::vector<std::string> arguments;
};

/// Which options a command takes, for its `--help`.
struct CommandShape {
  /// Such as `config propose`.
  std::string name;
  /// Such as `FILE`.
  std::string arguments;
  std::string summary;
  std::size_t min_arguments = 0;
  std::size_t max_arguments = 0;
  bool reads_log = false;
  bool takes_file = false;
  bool proposes = false;
  bool asks_processes = false;
};

/// Reads the words after the command. After `--help` the process has ended;
/// nothing is returned for wrong usage, which is told on standard error.
std::optional<Options> ReadOptions(const CommandShape& shape,
                                   const std::vector<std::string>& words);

}  // namespace pimentospar::ctl

#endif  // SRC_CTL_OPTIONS_H_
