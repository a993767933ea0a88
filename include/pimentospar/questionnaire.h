#ifndef INCLUDE_PIMENTOSPAR_QUESTIONNAIRE_H_
#define INCLUDE_PIMENTOSPAR_QUESTIONNAIRE_H_

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "pimentospar/config.h"

namespace pimentospar {

/// One error in a completed questionnaire form.
struct FormError {
  /// Line of the form; the first line is 1.
  std::size_t line = 0;
  std::string problem;
  /// What the operator can do about it.
  std::string remedy;
};

/// All errors of a form, ordered by line; the error type of
/// `GenerateConfiguration`.
struct FormErrors {
  std::vector<FormError> errors;
};

/// Share of accelerator memory that `CheckCapacityWithoutRegion` reserves for
/// the KV cache and the adapter pool.
inline constexpr double kReservedMemoryShare = 0.2;

/// Returns the commented TOML form, with a small example deployment filled in.
[[nodiscard]] std::string_view QuestionnaireForm();

/// Converts a completed form to a configuration, or returns a `FormErrors` with
/// every error found. Generates no tokens: the form contains their hashes.
///
///     leaf::result<Configuration> configuration = GenerateConfiguration(form);
[[nodiscard]] boost::leaf::result<Configuration> GenerateConfiguration(
    std::string_view form);

/// Checks that one copy of each model still fits when any one region is down.
/// The paths of the errors are models, such as `models[3]`, or `targets`.
[[nodiscard]] std::vector<ConfigError> CheckCapacityWithoutRegion(
    const Configuration& configuration);

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_QUESTIONNAIRE_H_
