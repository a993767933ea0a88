#ifndef SRC_QUESTIONNAIRE_DETAIL_H_
#define SRC_QUESTIONNAIRE_DETAIL_H_

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "pimentospar/questionnaire.h"

namespace pimentospar::detail {

/// Returns the line of the form at which a node begins.
inline std::size_t LineOf(const toml::node& node) {
  return node.source().begin.line;
}

/// Collects errors, and maps each path of the configuration to its line in the
/// form.
struct FormErrorCollector {
  struct PathLine {
    std::string path;
    std::size_t line = 0;
  };
  std::vector<FormError> errors;
  std::vector<PathLine> path_lines;

  void AddError(std::size_t line, std::string problem, std::string remedy) {
    const bool is_known =
        std::ranges::any_of(this->errors, [&](const FormError& error) {
          return error.line == line && error.problem == problem;
        });
    if (!is_known) {
      this->errors.push_back({line, std::move(problem), std::move(remedy)});
    }
  }

  // Returns the line of a path such as `models[3].owner`, or of its closest
  // known parent: `models[3]`, then `models`. Returns line 1 if none is known.
  [[nodiscard]] std::size_t LineOfPath(std::string_view path) const {
    while (!path.empty()) {
      const auto found =
          std::ranges::find(this->path_lines, path, &PathLine::path);
      if (found != this->path_lines.end()) {
        return found->line;
      }
      const std::size_t cut = path.find_last_of(".[");
      path = cut == std::string_view::npos ? "" : path.substr(0, cut);
    }
    return 1;
  }
};

/// Reads the values of a TOML table and records each error with its line.
class TableReader {
 public:
  TableReader(const toml::table& table, FormErrorCollector& collector)
      : table(table), collector(collector) {}

  // Maps `path` in the configuration to this table, so that errors found later
  // in the configuration are reported at the right line.
  void SetConfigPath(const std::string& path) {
    this->collector.path_lines.push_back({path, this->Line()});
    for (const auto& [key, node] : this->table) {
      this->collector.path_lines.push_back(
          {path + "." + std::string(key.str()), LineOf(node)});
    }
  }

  [[nodiscard]] std::size_t Line() const { return LineOf(this->table); }

  std::string ReadString(std::string_view key, std::string fallback) {
    const toml::node* node = this->Find(key);
    if (node == nullptr) {
      return fallback;
    }
    const auto text = node->value_exact<std::string>();
    if (!text || text->empty()) {
      this->AddError(*node, key, "is not a non-empty string",
                     "write a string in quotes");
      return fallback;
    }
    return *text;
  }

  std::string ReadId() {
    if (this->table.get("id") == nullptr) {
      this->collector.AddError(this->Line(), "id is missing",
                               "add id = \"...\"");
    }
    return this->ReadString("id", "line-" + std::to_string(this->Line()));
  }

  bool ReadBool(std::string_view key, bool fallback) {
    const toml::node* node = this->Find(key);
    if (node == nullptr) {
      return fallback;
    }
    const auto flag = node->value_exact<bool>();
    if (!flag) {
      this->AddError(*node, key, "is not true or false", "write true or false");
    }
    return flag.value_or(fallback);
  }

  double ReadDouble(std::string_view key,
                    double fallback,
                    double min,
                    double max) {
    const toml::node* node = this->Find(key);
    if (node == nullptr) {
      return fallback;
    }
    const auto number =
        node->is_number() ? node->value<double>() : std::optional<double>();
    if (!number || !(*number >= min && *number <= max)) {
      this->AddError(*node, key, "is not a number in range",
                     "choose a value from " + FormatNumber(min) + " to " +
                         FormatNumber(max));
      return fallback;
    }
    return *number;
  }

  std::uint64_t ReadInteger(std::string_view key,
                            std::uint64_t fallback,
                            std::uint64_t min,
                            std::uint64_t max) {
    const toml::node* node = this->Find(key);
    if (node == nullptr) {
      return fallback;
    }
    const auto number = node->value_exact<std::int64_t>();
    if (!number || *number < 0 || static_cast<std::uint64_t>(*number) < min ||
        static_cast<std::uint64_t>(*number) > max) {
      this->AddError(*node, key, "is not a whole number in range",
                     "choose a value from " + std::to_string(min) + " to " +
                         std::to_string(max));
      return fallback;
    }
    return static_cast<std::uint64_t>(*number);
  }

  Bytes ReadSize(std::string_view key, double unit, bool is_required) {
    if (is_required && this->table.get(key) == nullptr) {
      this->collector.AddError(this->Line(), std::string(key) + " is missing",
                               "add it, as the size of a single item");
    }
    return static_cast<Bytes>(
        std::llround(this->ReadDouble(key, 0.0, 0.0, 1e6) * unit));
  }

  std::vector<std::string> ReadStrings(std::string_view key) {
    std::vector<std::string> texts;
    const toml::node* node = this->Find(key);
    if (node == nullptr) {
      return texts;
    }
    const toml::array* array = node->as_array();
    if (array == nullptr) {
      this->AddError(*node, key, "is not a list", "write [\"...\", \"...\"]");
      return texts;
    }
    for (const toml::node& item : *array) {
      const auto text = item.value_exact<std::string>();
      if (!text || text->empty()) {
        this->AddError(item, key,
                       "contains an item that is not a non-empty string",
                       "write a string in quotes");
        continue;
      }
      texts.push_back(*text);
    }
    return texts;
  }

  template <typename Enum>
  Enum ReadEnum(
      std::string_view key,
      Enum fallback,
      std::initializer_list<std::pair<std::string_view, Enum>> choices) {
    const toml::node* node = this->Find(key);
    if (node == nullptr) {
      return fallback;
    }
    const std::string text = node->value_or(std::string());
    std::string names;
    for (const auto& [name, choice] : choices) {
      if (name == text) {
        return choice;
      }
      names += (names.empty() ? "" : ", ") + std::string(name);
    }
    this->AddError(*node, key, "has an unknown value",
                   "choose one of " + names);
    return fallback;
  }

  // Calls `read` with a reader for each table of an array of tables.
  template <typename Function>
  void ReadTables(std::string_view key, Function read) {
    const toml::node* node = this->Find(key);
    if (node == nullptr) {
      return;
    }
    const toml::array* array = node->as_array();
    if (array == nullptr) {
      this->AddError(*node, key, "is not a list of tables",
                     "write [[" + std::string(key) + "]] above each entry");
      return;
    }
    this->collector.path_lines.push_back({std::string(key), LineOf(*node)});
    for (const toml::node& item : *array) {
      if (const toml::table* entry = item.as_table()) {
        TableReader reader(*entry, this->collector);
        read(reader);
        reader.ReportUnknownKeys();
        continue;
      }
      this->AddError(item, key, "contains an item that is not a table",
                     "write [[" + std::string(key) + "]] above each entry");
    }
  }

  template <typename Function>
  void ReadTable(std::string_view key, Function read) {
    const toml::node* node = this->Find(key);
    if (node == nullptr) {
      return;
    }
    if (const toml::table* entry = node->as_table()) {
      TableReader reader(*entry, this->collector);
      reader.SetConfigPath(std::string(key));
      read(reader);
      reader.ReportUnknownKeys();
      return;
    }
    this->AddError(*node, key, "is not a table",
                   "write [" + std::string(key) + "] above its values");
  }

  // Returns the line of a value, or of the table if the value is missing.
  [[nodiscard]] std::size_t LineOfKey(std::string_view key) const {
    const toml::node* node = this->table.get(key);
    return node == nullptr ? this->Line() : LineOf(*node);
  }

  void ReportUnknownKeys() {
    for (const auto& [key, node] : this->table) {
      if (!this->known_keys.contains(std::string(key.str()))) {
        this->collector.AddError(
            LineOf(node), "'" + std::string(key.str()) + "' is an unknown key",
            "remove it or correct its name");
      }
    }
  }

  FormErrorCollector& Errors() { return this->collector; }

 private:
  const toml::node* Find(std::string_view key) {
    this->known_keys.emplace(key);
    return this->table.get(key);
  }

  void AddError(const toml::node& node,
                std::string_view key,
                std::string_view problem,
                std::string remedy) {
    this->collector.AddError(LineOf(node),
                             std::string(key) + " " + std::string(problem),
                             std::move(remedy));
  }

  static std::string FormatNumber(double number) {
    std::string text = std::to_string(number);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.back() == '.') {
      text.pop_back();
    }
    return text;
  }

  const toml::table& table;
  FormErrorCollector& collector;
  std::set<std::string> known_keys;
};

}  // namespace pimentospar::detail

#endif  // SRC_QUESTIONNAIRE_DETAIL_H_
