#ifndef SRC_DAEMON_SETTINGS_H_
#define SRC_DAEMON_SETTINGS_H_

#include <boost/leaf/result.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pimentospar {

enum class Role : std::uint8_t { kEntry, kAgent };

/// What a process reads from its settings file.
struct Settings {
  std::string role;
  std::string host;
  std::string region;
  std::string data_centre;

  std::string caller_address;
  std::string operator_address;
  std::string operator_token_sha256;
  std::string rpc_address;
  std::string gossip_address;
  std::string log_address;
  std::string hosts_address;
  std::string store_address;
  std::string target;
  std::string target_address;
  std::vector<std::string> peers;

  std::uint64_t header_bytes = 0;
  std::uint64_t body_bytes = 0;
  std::uint64_t connections = 0;
  std::uint64_t requests = 0;
  std::uint64_t key_table_size = 0;
  std::uint64_t engine_requests = 0;
  std::chrono::milliseconds idle_time{};
  std::chrono::milliseconds stall_time{};

  std::chrono::milliseconds deadline_default{};
  std::chrono::milliseconds deadline_max{};
  std::chrono::milliseconds drain_limit{};
  std::chrono::milliseconds hosts_interval{};
  std::chrono::milliseconds config_interval{};
  std::chrono::milliseconds state_interval{};
  std::chrono::milliseconds grant_lifetime{};

  std::string log_level;

  [[nodiscard]] Role GetRole() const {
    return this->role == "agent" ? Role::kAgent : Role::kEntry;
  }
};

/// One thing that is wrong with a settings file.
struct SettingsError {
  std::string file;
  std::uint32_t line = 0;
  std::string key;
  std::string problem;
};

/// All that is wrong with a settings file; the error of `LoadSettings`.
struct SettingsErrors {
  std::vector<SettingsError> errors;
};

/// Reads and checks a TOML settings file; the error is a `SettingsErrors` that
/// lists everything.
[[nodiscard]] boost::leaf::result<Settings> LoadSettings(
    const std::string& file);

/// Checks TOML text; `file` is the name to use in errors.
[[nodiscard]] boost::leaf::result<Settings> ParseSettings(
    std::string_view text,
    const std::string& file);

/// Writes the table of all settings in Markdown, as docs/configuration.md has
/// it.
[[nodiscard]] std::string DescribeSettings();

/// Writes an error as `file:line: key: problem`.
[[nodiscard]] std::string ToString(const SettingsError& error);

}  // namespace pimentospar

#endif  // SRC_DAEMON_SETTINGS_H_
