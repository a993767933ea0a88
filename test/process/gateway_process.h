#ifndef TEST_PROCESS_GATEWAY_PROCESS_H_
#define TEST_PROCESS_GATEWAY_PROCESS_H_

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace pimentospar::test {

using Tcp = boost::asio::ip::tcp;

/// Polls until `condition` holds; returns false after 20 seconds, far longer
/// than a passing test takes.
bool Eventually(const std::function<bool()>& condition);

/// Returns a loopback address that only this program uses, so that tests that
/// run at the same time do not take each other's ports.
std::string OwnIp();

/// Addresses of one gateway process.
struct ProcessAddresses {
  std::string ip;
  std::uint16_t caller = 18149;
  std::uint16_t ready = 18141;
  std::uint16_t metrics = 19464;
  std::uint16_t entry = 17380;
};

/// Returns a settings file of the gateway program. No store listens at its
/// address, so that the process never becomes ready.
std::string SettingsText(const ProcessAddresses& addresses);

/// How a process ended.
struct ProcessEnd {
  /// Unset if a signal ended the process.
  std::optional<int> exit_code;
  /// The signal that ended the process, or 0.
  int signal = 0;
};

/// The gateway program as a child process. The destructor kills it.
class GatewayProcess {
 public:
  /// Starts the program; returns once it has replaced the forked process.
  explicit GatewayProcess(const std::string& settings_file);
  GatewayProcess(const GatewayProcess&) = delete;
  GatewayProcess& operator=(const GatewayProcess&) = delete;
  ~GatewayProcess();

  void Signal(int number) const;
  /// Returns how the process ended, or nothing while it runs.
  [[nodiscard]] std::optional<ProcessEnd> End();
  /// Waits for the end of the process; returns nothing if it takes too long.
  [[nodiscard]] std::optional<ProcessEnd> AwaitEnd();
  /// Returns what the process has written so far.
  [[nodiscard]] std::string Output() const;
  /// Waits until the output contains `text`.
  [[nodiscard]] bool AwaitOutput(const std::string& text);

 private:
  pid_t pid = -1;
  std::string output_file;
  std::optional<ProcessEnd> end;
};

/// A folder that is removed with the object.
class TemporaryFolder {
 public:
  TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  ~TemporaryFolder();

  [[nodiscard]] std::string File(const std::string& name) const {
    return this->path + "/" + name;
  }

 private:
  std::string path;
};

/// Sends a GET request and returns the response, or an empty string if nobody
/// answers.
std::string Get(const Tcp::endpoint& address, const std::string& path);

}  // namespace pimentospar::test

#endif  // TEST_PROCESS_GATEWAY_PROCESS_H_
