#ifndef SRC_CTL_OUTPUT_H_
#define SRC_CTL_OUTPUT_H_

#include <optional>
#include <string>
#include <vector>

#include "pimentospar/config_log.h"

namespace pimentospar::ctl {

/// Prints rows below their titles in columns; with `json` as a list of objects
/// whose keys are the titles.
void PrintTable(const std::vector<std::string>& titles,
                const std::vector<std::vector<std::string>>& rows,
                bool json);

/// Prints errors on standard error, or with `json` on standard output.
void PrintErrors(const std::vector<ConfigError>& errors, bool json);

/// Returns the result of a change in one line.
std::string Describe(const ChangeOutcome& outcome);

/// Returns the content of a file; nothing if it cannot be read.
std::optional<std::string> ReadFile(const std::string& path);

}  // namespace pimentospar::ctl

#endif  // SRC_CTL_OUTPUT_H_
