#include "gateway_process.h"

#include <fcntl.h>
#include <linux/close_range.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace pimentospar::test {

bool Eventually(const std::function<bool()>& condition) {
  for (int i = 0; i < 2000; ++i) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

std::string OwnIp() {
  const auto number = static_cast<unsigned>(getpid());
  return "127." + std::to_string(1 + (number >> 16) % 250) + "." +
         std::to_string((number >> 8) % 256) + "." +
         std::to_string(1 + number % 254);
}

std::string SettingsText(const ProcessAddresses& addresses) {
  const auto at = [&](std::uint16_t port) {
    return "\"" + addresses.ip + ":" + std::to_string(port) + "\"\n";
  };
  return "host = \"h\"\nregion = \"r\"\ndata_centre = \"d\"\n[address]\n"
         "caller = " +
         at(addresses.caller) + "ready = " + at(addresses.ready) +
         "operator = " + at(addresses.metrics) +
         "entry = " + at(addresses.entry) + "store = " + at(1) +
         "[bounds]\nretry_ratio = 0.2\nretry_slack = 58\nretry_window_s = 10\n"
         "lease_ms = 3000\ntargets_check_leases = true\ngrace_s = 8\n"
         "[capacity]\nprocessor_share = 0.19\nprocessor_speed = 1\n"
         "[regions]\n\"d\" = \"r\"\n";
}

TemporaryFolder::TemporaryFolder() {
  std::string name =
      (std::filesystem::temp_directory_path() / "pimentospar-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    throw std::runtime_error("cannot make a temporary folder");
  }
  this->path = name;
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code ignored;
  std::filesystem::remove_all(this->path, ignored);
}

GatewayProcess::GatewayProcess(const std::string& settings_file)
    : output_file(settings_file + ".output") {
  // Closed when the program replaces the forked process.
  std::array<int, 2> replaced{};
  if (pipe2(replaced.data(), O_CLOEXEC) != 0) {
    throw std::runtime_error("cannot make a pipe");
  }
  const std::string settings = "PIMENTOSPAR_NODE_FILE=" + settings_file;
  this->pid = fork();
  if (this->pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(this->output_file.c_str(),
                            O_WRONLY | O_CREAT | O_APPEND, S_IRUSR | S_IWUSR);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    // The sockets of the test are not the program's.
    close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
    const std::array<const char*, 2> arguments = {PIMENTOSPAR_GATEWAY_PROGRAM,
                                                  nullptr};
    const std::array<const char*, 2> environment = {settings.c_str(), nullptr};
    execve(arguments[0], const_cast<char* const*>(arguments.data()),
           const_cast<char* const*>(environment.data()));
    _exit(EXIT_FAILURE);
  }
  close(replaced[1]);
  char byte = 0;
  (void)!read(replaced[0], &byte, 1);
  close(replaced[0]);
}

GatewayProcess::~GatewayProcess() {
  if (!this->End()) {
    kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
  }
}

void GatewayProcess::Signal(int number) const {
  kill(this->pid, number);
}

std::optional<ProcessEnd> GatewayProcess::End() {
  int status = 0;
  if (!this->end && waitpid(this->pid, &status, WNOHANG) == this->pid) {
    this->end.emplace();
    if (WIFEXITED(status)) {
      this->end->exit_code = WEXITSTATUS(status);
    } else {
      this->end->signal = WTERMSIG(status);
    }
  }
  return this->end;
}

std::optional<ProcessEnd> GatewayProcess::AwaitEnd() {
  (void)Eventually([this] { return this->End().has_value(); });
  return this->end;
}

std::string GatewayProcess::Output() const {
  const std::ifstream file(this->output_file);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

bool GatewayProcess::AwaitOutput(const std::string& text) {
  return Eventually(
      [&] { return this->Output().find(text) != std::string::npos; });
}

std::string Get(const Tcp::endpoint& address, const std::string& path) {
  boost::asio::io_context context;
  Tcp::socket socket(context);
  boost::system::error_code error;
  socket.connect(address, error);
  if (error) {
    return {};
  }
  const std::string request =
      "GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  boost::asio::write(socket, boost::asio::buffer(request), error);
  std::string response;
  boost::asio::read(socket, boost::asio::dynamic_buffer(response), error);
  return response;
}

}  // namespace pimentospar::test
