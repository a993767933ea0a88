#include "daemon/settings.h"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <array>
#include <fstream>
#include <limits>
#include <set>
#include <sstream>
#include <variant>

#include "net/address.h"

namespace pimentospar {

namespace {

namespace leaf = boost::leaf;
using std::chrono::milliseconds;

enum class Need : std::uint8_t { kOptional, kAlways, kEntry, kAgent };

// One kind of value each; the visitors below read, check and describe them.
struct TextSetting {
  std::string Settings::*member;
  std::string_view fallback;
};
struct ChoiceSetting {
  std::string Settings::*member;
  std::string_view fallback;
  std::array<std::string_view, 4> choices;
};
struct AddressSetting {
  std::string Settings::*member;
};
struct AddressListSetting {
  std::vector<std::string> Settings::*member;
};
struct NumberSetting {
  std::uint64_t Settings::*member;
  std::uint64_t fallback;
  std::uint64_t low;
  std::uint64_t high;
};
struct TimeSetting {
  milliseconds Settings::*member;
  milliseconds fallback;
  milliseconds low;
  milliseconds high;
};
using Value = std::variant<TextSetting,
                           ChoiceSetting,
                           AddressSetting,
                           AddressListSetting,
                           NumberSetting,
                           TimeSetting>;

struct Setting {
  std::string_view key;
  Need need;
  Value value;
  std::string_view description;
};

using namespace std::chrono_literals;

constexpr std::array kSettings = {
    Setting{"role", Need::kAlways,
            ChoiceSetting{&Settings::role, "", {"entry", "agent"}},
            "What the process does"},
    Setting{"host", Need::kAlways, TextSetting{&Settings::host},
            "Name of the host"},
    Setting{"region", Need::kAlways, TextSetting{&Settings::region},
            "Region of the host"},
    Setting{"data_centre", Need::kAlways, TextSetting{&Settings::data_centre},
            "Data centre of the host"},
    Setting{"address.caller", Need::kEntry,
            AddressSetting{&Settings::caller_address}, "Where callers connect"},
    Setting{"address.operator", Need::kAlways,
            AddressSetting{&Settings::operator_address},
            "Where operators and monitoring connect"},
    Setting{"address.rpc", Need::kAlways,
            AddressSetting{&Settings::rpc_address},
            "Where other processes of the system connect"},
    Setting{
        "address.gossip", Need::kOptional,
        AddressSetting{&Settings::gossip_address},
        "UDP address for membership; without it only the host list is used"},
    Setting{"platform.log", Need::kAlways,
            AddressSetting{&Settings::log_address},
            "Address of the log service"},
    Setting{"platform.hosts", Need::kAlways,
            AddressSetting{&Settings::hosts_address},
            "Address of the host list"},
    Setting{"platform.store", Need::kOptional,
            AddressSetting{&Settings::store_address},
            "Address of the weight store"},
    Setting{"target.id", Need::kAgent, TextSetting{&Settings::target},
            "The target beside which the agent runs, as the configuration "
            "names it"},
    Setting{"target.address", Need::kAgent,
            AddressSetting{&Settings::target_address},
            "Where the engine or service listens"},
    Setting{"peers", Need::kOptional, AddressListSetting{&Settings::peers},
            "RPC addresses of processes to ask first after a start"},
    Setting{"operator.token_sha256", Need::kOptional,
            TextSetting{&Settings::operator_token_sha256},
            "SHA-256 of the operators' token in hexadecimal; without it no "
            "token is accepted"},
    Setting{"limits.header_bytes", Need::kOptional,
            NumberSetting{&Settings::header_bytes, 16'384, 1'024, 1'048'576},
            "Largest header of a request, in bytes"},
    Setting{
        "limits.body_bytes", Need::kOptional,
        NumberSetting{&Settings::body_bytes, 1'048'576, 1'024, 1'073'741'824},
        "Largest body of a request, in bytes"},
    Setting{"limits.connections", Need::kOptional,
            NumberSetting{&Settings::connections, 4'096, 1, 1'000'000},
            "Connections that one address accepts at once"},
    Setting{"limits.requests", Need::kOptional,
            NumberSetting{&Settings::requests, 2'048, 1, 100'000},
            "Requests that the process handles at once"},
    Setting{"limits.key_table_size", Need::kOptional,
            NumberSetting{&Settings::key_table_size, 100'000, 1, 100'000'000},
            "Idempotency keys that an agent remembers"},
    Setting{"limits.engine_requests", Need::kOptional,
            NumberSetting{&Settings::engine_requests, 32, 1, 10'000},
            "Requests that an agent sends to its engine at once"},
    Setting{"limits.idle_ms", Need::kOptional,
            TimeSetting{&Settings::idle_time, 60s, 100ms, 1h},
            "Time after which an idle connection is closed, in milliseconds"},
    Setting{"limits.stall_ms", Need::kOptional,
            TimeSetting{&Settings::stall_time, 10s, 100ms, 1h},
            "Time in which a request must arrive once begun, in milliseconds"},
    Setting{"deadline.default_ms", Need::kOptional,
            TimeSetting{&Settings::deadline_default, 60s, 1ms, 1h},
            "Deadline of a request without Deadline-Ms, in milliseconds"},
    Setting{"deadline.max_ms", Need::kOptional,
            TimeSetting{&Settings::deadline_max, 600s, 1ms, 24h},
            "Longest deadline that a request may ask for, in milliseconds"},
    Setting{"drain_limit_ms", Need::kOptional,
            TimeSetting{&Settings::drain_limit, 60s, 0ms, 24h},
            "Time for requests in flight after SIGTERM, in milliseconds"},
    Setting{"interval.hosts_ms", Need::kOptional,
            TimeSetting{&Settings::hosts_interval, 1s, 50ms, 1h},
            "Time between reads of the host list, in milliseconds"},
    Setting{"interval.config_ms", Need::kOptional,
            TimeSetting{&Settings::config_interval, 1s, 50ms, 1h},
            "Time between reads of the configuration stream, in milliseconds"},
    Setting{"interval.state_ms", Need::kOptional,
            TimeSetting{&Settings::state_interval, 500ms, 10ms, 1h},
            "Time between reads of the target's state, in milliseconds"},
    Setting{"grant_lifetime_ms", Need::kOptional,
            TimeSetting{&Settings::grant_lifetime, 60s, 1s, 1h},
            "Longest time from the grant of a load to its end, the same in all "
            "processes, in milliseconds"},
    Setting{"log.level", Need::kOptional,
            ChoiceSetting{&Settings::log_level,
                          "info",
                          {"debug", "info", "warn", "error"}},
            "Least level that is logged"},
};

template <typename... Visitors>
struct Overload : Visitors... {
  using Visitors::operator()...;
};
template <typename... Visitors>
Overload(Visitors...) -> Overload<Visitors...>;

// Reads the values of one file and collects what is wrong.
class Reader {
 public:
  Reader(const toml::table& table, std::string file)
      : table(table), file(std::move(file)) {}

  Settings Read() {
    Settings settings;
    for (const Setting& setting : kSettings) {
      std::visit(
          [&](const auto& value) { this->ReadValue(settings, setting, value); },
          setting.value);
    }
    for (const Setting& setting : kSettings) {
      this->CheckPresent(settings, setting);
    }
    this->CheckUnknown(this->table, "");
    return settings;
  }

  std::vector<SettingsError> errors;

 private:
  [[nodiscard]] toml::node_view<const toml::node> Find(
      std::string_view key) const {
    return this->table.at_path(key);
  }

  void Note(const toml::node* node, std::string_view key, std::string problem) {
    const std::uint32_t line = node == nullptr ? 1 : node->source().begin.line;
    this->errors.push_back(
        {this->file, line, std::string(key), std::move(problem)});
  }

  void ReadValue(Settings& settings,
                 const Setting& setting,
                 const TextSetting& value) {
    settings.*value.member = value.fallback;
    this->ReadText(settings.*value.member, setting.key);
  }

  void ReadValue(Settings& settings,
                 const Setting& setting,
                 const ChoiceSetting& value) {
    settings.*value.member = value.fallback;
    std::string& text = settings.*value.member;
    this->ReadText(text, setting.key);
    if (text.empty()) {
      return;
    }
    std::string names;
    for (const std::string_view choice : value.choices) {
      if (choice == text) {
        return;
      }
      names += choice.empty() || names.empty() ? "" : ", ";
      names += choice;
    }
    this->Note(this->Find(setting.key).node(), setting.key,
               fmt::format("'{}' is not one of: {}", text, names));
  }

  void ReadValue(Settings& settings,
                 const Setting& setting,
                 const AddressSetting& value) {
    std::string& text = settings.*value.member;
    this->ReadText(text, setting.key);
    if (!text.empty() && !ParseAddress(text)) {
      this->Note(this->Find(setting.key).node(), setting.key,
                 fmt::format("'{}' is not an IP number and a port", text));
    }
  }

  void ReadValue(Settings& settings,
                 const Setting& setting,
                 const AddressListSetting& value) {
    const auto found = this->Find(setting.key);
    if (!found) {
      return;
    }
    const toml::array* array = found.as_array();
    if (array == nullptr) {
      this->Note(found.node(), setting.key, "is not a list of strings");
      return;
    }
    for (const toml::node& node : *array) {
      const std::string text = node.value_exact<std::string>().value_or("");
      if (!ParseAddress(text)) {
        this->Note(&node, setting.key,
                   fmt::format("'{}' is not an IP number and a port", text));
        continue;
      }
      (settings.*value.member).push_back(text);
    }
  }

  void ReadValue(Settings& settings,
                 const Setting& setting,
                 const NumberSetting& value) {
    settings.*value.member =
        this->ReadNumber(setting.key, value.fallback, value.low, value.high);
  }

  void ReadValue(Settings& settings,
                 const Setting& setting,
                 const TimeSetting& value) {
    const auto count = [](milliseconds time) {
      return static_cast<std::uint64_t>(time.count());
    };
    settings.*value.member =
        milliseconds(this->ReadNumber(setting.key, count(value.fallback),
                                      count(value.low), count(value.high)));
  }

  void ReadText(std::string& text, std::string_view key) {
    const auto found = this->Find(key);
    if (!found) {
      return;
    }
    if (const auto value = found.value_exact<std::string>()) {
      text = *value;
      return;
    }
    this->Note(found.node(), key, "is not a string");
  }

  std::uint64_t ReadNumber(std::string_view key,
                           std::uint64_t fallback,
                           std::uint64_t low,
                           std::uint64_t high) {
    const auto found = this->Find(key);
    if (!found) {
      return fallback;
    }
    const auto value = found.value_exact<std::int64_t>();
    if (!value) {
      this->Note(found.node(), key, "is not a whole number");
      return fallback;
    }
    if (*value < 0 || static_cast<std::uint64_t>(*value) < low ||
        static_cast<std::uint64_t>(*value) > high) {
      this->Note(found.node(), key,
                 fmt::format("{} is out of range {} to {}", *value, low, high));
      return fallback;
    }
    return static_cast<std::uint64_t>(*value);
  }

  void CheckPresent(const Settings& settings, const Setting& setting) {
    const bool needed =
        setting.need == Need::kAlways ||
        (setting.need == Need::kEntry && settings.role == "entry") ||
        (setting.need == Need::kAgent && settings.role == "agent");
    if (needed && !this->Find(setting.key)) {
      this->Note(nullptr, setting.key, "is missing");
    }
  }

  void CheckUnknown(const toml::table& part, const std::string& prefix) {
    for (const auto& [key, node] : part) {
      const std::string path = prefix + std::string(key.str());
      const bool known = std::ranges::any_of(
          kSettings,
          [&](const Setting& setting) { return setting.key == path; });
      if (known) {
        continue;
      }
      const bool is_section =
          std::ranges::any_of(kSettings, [&](const Setting& setting) {
            return setting.key.starts_with(path + ".");
          });
      if (is_section && node.is_table()) {
        this->CheckUnknown(*node.as_table(), path + ".");
        continue;
      }
      this->Note(&node, path, "is an unknown key");
    }
  }

  const toml::table& table;
  std::string file;
};

std::string_view NeedName(Need need) {
  switch (need) {
    case Need::kAlways:
      return "always";
    case Need::kEntry:
      return "for an entry";
    case Need::kAgent:
      return "for an agent";
    case Need::kOptional:
      break;
  }
  return "no";
}

std::string DescribeValue(const Value& value) {
  const Overload describe{
      [](const TextSetting&) { return std::string("string | |"); },
      [](const ChoiceSetting& choice) {
        std::string names;
        for (const std::string_view name : choice.choices) {
          names += name.empty() ? ""
                                : (names.empty() ? "" : ", ") +
                                      fmt::format("`{}`", name);
        }
        return fmt::format("string | {} | {}", choice.fallback, names);
      },
      [](const AddressSetting&) {
        return std::string("string | | IP number and port");
      },
      [](const AddressListSetting&) {
        return std::string("list of strings | | IP numbers and ports");
      },
      [](const NumberSetting& number) {
        return fmt::format("number | {} | {} to {}", number.fallback,
                           number.low, number.high);
      },
      [](const TimeSetting& time) {
        return fmt::format("milliseconds | {} | {} to {}",
                           time.fallback.count(), time.low.count(),
                           time.high.count());
      }};
  return std::visit(describe, value);
}

}  // namespace

leaf::result<Settings> ParseSettings(std::string_view text,
                                     const std::string& file) {
  toml::table table;
  try {
    table = toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    return leaf::new_error(
        SettingsErrors{{{file, error.source().begin.line, "",
                         std::string(error.description())}}});
  }
  Reader reader(table, file);
  Settings settings = reader.Read();
  if (settings.deadline_default > settings.deadline_max) {
    reader.errors.push_back(
        {file, 1, "deadline.default_ms", "is above deadline.max_ms"});
  }
  if (!reader.errors.empty()) {
    return leaf::new_error(SettingsErrors{std::move(reader.errors)});
  }
  return settings;
}

leaf::result<Settings> LoadSettings(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    return leaf::new_error(SettingsErrors{{{file, 0, "", "cannot be read"}}});
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return ParseSettings(text.str(), file);
}

std::string DescribeSettings() {
  std::string text =
      "| Key | Required | Type | Default | Range | Meaning "
      "|\n|---|---|---|---|---|---|\n";
  for (const Setting& setting : kSettings) {
    text += fmt::format("| `{}` | {} | {} | {} |\n", setting.key,
                        NeedName(setting.need), DescribeValue(setting.value),
                        setting.description);
  }
  return text;
}

std::string ToString(const SettingsError& error) {
  return fmt::format("{}:{}: {}{}{}", error.file, error.line, error.key,
                     error.key.empty() ? "" : ": ", error.problem);
}

}  // namespace pimentospar
