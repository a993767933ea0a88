#ifndef INCLUDE_PIMENTOSPAR_QUESTIONNAIRE_H_
#define INCLUDE_PIMENTOSPAR_QUESTIONNAIRE_H_

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "pimentospar/config.h"

namespace pimentospar {

/// One thing that is wrong with a filled-in form.
struct FormError {
  /// Line of the form, from 1.
  std::size_t line = 0;
  std::string problem;
  std::string remedy;
};

/// All that is wrong with a form, ordered by line; the error of
/// `GenerateConfiguration`.
struct FormErrors {
  std::vector<FormError> errors;
};

/// Share of accelerator memory that the check of a form leaves for the KV cache
/// and the adapter pool.
inline constexpr double kReservedMemoryShare = 0.2;

/// Returns the commented TOML form, filled in with a small example.
[[nodiscard]] std::string_view QuestionnaireForm();

/// Turns a filled-in form into a configuration; the error is a `FormErrors`
/// that lists everything wrong. Draws no tokens: the form holds their hashes.
///
///     leaf::result<Configuration> configuration = GenerateConfiguration(form);
[[nodiscard]] boost::leaf::result<Configuration> GenerateConfiguration(
    std::string_view form);

/// Checks that each model has room for one copy while any one region is gone.
/// The paths name models, such as `models[3]`, or `targets`.
[[nodiscard]] std::vector<ConfigError> CheckCapacityWithoutRegion(
    const Configuration& configuration);

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_QUESTIONNAIRE_H_
