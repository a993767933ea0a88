#include "ctl/output.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

namespace pimentospar::ctl {

namespace {

namespace json = boost::json;

// Names come from other people's records, so control characters are replaced.
std::string Printable(std::string text) {
  std::ranges::replace_if(
      text,
      [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return byte < 0x20U || byte == 0x7FU;
      },
      '?');
  return text;
}

}  // namespace

void PrintTable(const std::vector<std::string>& titles,
                const std::vector<std::vector<std::string>>& rows,
                bool json) {
  if (json) {
    json::array list;
    for (const auto& row : rows) {
      json::object object;
      for (std::size_t i = 0; i < titles.size(); ++i) {
        object[titles[i]] = row[i];
      }
      list.push_back(std::move(object));
    }
    std::cout << json::serialize(list) << "\n";
    return;
  }
  std::vector<std::size_t> widths;
  for (std::size_t i = 0; i < titles.size(); ++i) {
    widths.push_back(titles[i].size());
    for (const auto& row : rows) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  const auto print = [&](const std::vector<std::string>& row) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line += Printable(row[i]);
      line.append(i + 1 < row.size() ? widths[i] - row[i].size() + 2 : 0, ' ');
    }
    std::cout << line << "\n";
  };
  print(titles);
  for (const auto& row : rows) {
    print(row);
  }
}

void PrintErrors(const std::vector<ConfigError>& errors, bool json) {
  if (json) {
    std::vector<std::vector<std::string>> rows;
    rows.reserve(errors.size());
    for (const ConfigError& error : errors) {
      rows.push_back({error.path, error.problem, error.remedy});
    }
    PrintTable({"path", "problem", "remedy"}, rows, true);
    return;
  }
  for (const ConfigError& error : errors) {
    std::cerr << Printable(error.path + ": " + error.problem + "; " +
                           error.remedy)
              << "\n";
  }
}

std::string Describe(const ChangeOutcome& outcome) {
  if (const ChangeConflict* conflict = std::get_if<ChangeConflict>(&outcome)) {
    return "overtaken by " + std::to_string(conflict->replaced_by.value) +
           " of " + conflict->author;
  }
  const ChangeInvalid* invalid = std::get_if<ChangeInvalid>(&outcome);
  if (invalid == nullptr) {
    return "accepted";
  }
  std::string text = "invalid";
  for (const ConfigError& error : invalid->errors) {
    text +=
        (text == "invalid" ? ": " : "; ") + error.path + " " + error.problem;
  }
  return text;
}

std::optional<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    return std::nullopt;
  }
  return text.str();
}

}  // namespace pimentospar::ctl
