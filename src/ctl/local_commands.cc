#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <boost/leaf/handle_errors.hpp>
#include <iostream>

#include "ctl/commands.h"
#include "ctl/output.h"
#include "pimentospar/digest.h"
#include "pimentospar/questionnaire.h"
#include "pimentospar/reason.h"

namespace pimentospar::ctl {

namespace {

namespace leaf = boost::leaf;

constexpr std::size_t kTokenBytes = 32;

ExitCode RunQuestionnaire(const Options&) {
  std::cout << QuestionnaireForm();
  return kDone;
}

ExitCode PrintFormErrors(const FormErrors& found, const Options& options) {
  if (options.json) {
    std::vector<std::vector<std::string>> rows;
    for (const FormError& error : found.errors) {
      rows.push_back({std::to_string(error.line), error.problem, error.remedy});
    }
    PrintTable({"line", "problem", "remedy"}, rows, true);
    return kInvalidInput;
  }
  for (const FormError& error : found.errors) {
    std::cerr << options.arguments[0] << ":" << error.line << ": "
              << error.problem << "; " << error.remedy << "\n";
  }
  return kInvalidInput;
}

ExitCode RunGenerate(const Options& options) {
  const std::optional<std::string> form = ReadFile(options.arguments[0]);
  if (!form) {
    std::cerr << "cannot read " << options.arguments[0] << "\n";
    return kInvalidInput;
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<ExitCode> {
        BOOST_LEAF_AUTO(configuration, GenerateConfiguration(*form));
        std::cout << ToJson(configuration) << "\n";
        return kDone;
      },
      [&](const FormErrors& found) { return PrintFormErrors(found, options); },
      [] { return kFailure; });
}

ExitCode RunToken(const Options& options) {
  std::array<unsigned char, kTokenBytes> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    std::cerr << "no randomness is available\n";
    return kFailure;
  }
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string token;
  for (const unsigned char byte : bytes) {
    token += kDigits[byte >> 4U];
    token += kDigits[byte & 15U];
  }
  PrintTable({"token", "sha256"}, {{token, Sha256Hex(token)}}, options.json);
  return kDone;
}

ExitCode RunExplain(const Options& options) {
  const auto table = ReasonTable();
  const auto found =
      std::ranges::find(table, options.arguments[0], &ReasonInfo::code);
  if (found == table.end()) {
    std::cerr << "'" << options.arguments[0] << "' is not a reason code\n";
    return kInvalidInput;
  }
  PrintTable({"reason", "status", "title", "remedy"},
             {{std::string(found->code), std::to_string(found->http_status),
               std::string(found->title), std::string(found->remedy)}},
             options.json);
  return kDone;
}

}  // namespace

std::span<const Command> LocalCommands() {
  static const std::vector<Command> commands{
      {{"questionnaire", "", "Prints the form to fill in."}, RunQuestionnaire},
      {{"generate", "FORM", "Turns a form into a configuration.", 1, 1},
       RunGenerate},
      {{"token", "", "Makes a token and its SHA-256 for the form."}, RunToken},
      {{"explain", "REASON", "Explains a reason code.", 1, 1}, RunExplain},
      {{"config explain", "REASON", "Explains a reason code.", 1, 1},
       RunExplain}};
  return commands;
}

}  // namespace pimentospar::ctl
