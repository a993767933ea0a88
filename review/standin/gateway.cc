#include "gateway.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>

namespace review {

namespace {

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    CannotRun("cannot read " + path);
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void Replace(std::string& text,
             const std::string& from,
             const std::string& to) {
  for (std::size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
}

// Returns the command of the deploy file.
std::string RunCommand() {
  const std::string text = ReadFile("deploy/system.toml");
  const std::string key = "run = \"";
  const std::size_t from = text.find(key) + key.size();
  return text.substr(from, text.find('"', from) - from);
}

}  // namespace

void CannotRun(const std::string& reason) {
  std::fprintf(stderr, "the case could not run: %s\n", reason.c_str());
  End(2);
}

void End(int code) {
  std::fflush(nullptr);
  std::_Exit(code);
}

std::string Setting(const char* name) {
  const char* value = std::getenv(name);
  if (value == nullptr) {
    CannotRun(std::string(name) + " is not set");
  }
  return value;
}

bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

Gateway::Gateway(Record& record, GatewayOptions options)
    : record(record),
      options(std::move(options)),
      front(FreeAddress(this->options.ip)),
      ready(FreeAddress(this->options.ip)),
      entry(FreeAddress(this->options.ip)) {}

Gateway::~Gateway() {
  this->Kill();
}

// Fills in the template of the deploy file with the bounds of a small site.
void Gateway::WriteSettings() const {
  std::string text = ReadFile("deploy/gateway.toml.tmpl");
  const std::array<std::pair<std::string, std::string>, 16> values = {{
      {"{{node}}", this->options.host},
      {"{{region}}", "r"},
      {"{{zone}}", this->options.zone},
      {"{{listen.front}}", this->front.Text()},
      {"{{listen.ready}}", this->ready.Text()},
      {"{{ip}}", this->options.ip},
      {"{{port_range.0}}", std::to_string(this->entry.port)},
      {"{{platform.addr}}", this->options.store.Text()},
      {"{{bounds.budget_ratio}}", "0.2"},
      {"{{bounds.budget_slack}}", "58"},
      {"{{bounds.budget_window_s}}", "10"},
      {"{{bounds.lease_ms}}", "3000"},
      {"{{bounds.require_fence}}", "true"},
      {"{{bounds.grace_s}}", "8"},
      {"{{limits.cpu_share}}", "0.19"},
      {"{{limits.cores}}", "1"},
  }};
  for (const auto& [name, value] : values) {
    Replace(text, name, value);
  }
  Replace(text, "{{#zones}}\n", "");
  Replace(text, "{{/zones}}\n", "");
  Replace(text, "{{@}}", this->options.zone);
  Replace(text, "{{.}}", "r");
  std::ofstream(this->options.folder + "/" + this->options.host + ".toml")
      << text;
}

void Gateway::Start() {
  this->WriteSettings();
  const std::string settings = "PIMENTOSPAR_NODE_FILE=" + this->options.folder +
                               "/" + this->options.host + ".toml";
  const std::string output =
      this->options.folder + "/" + this->options.host + ".log";
  const std::string command = RunCommand();
  this->pid = fork();
  if (this->pid == 0) {
    // The process ends with its parent, also if that one is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file =
        open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, S_IRUSR | S_IWUSR);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    const char* const arguments[] = {command.c_str(), nullptr};
    const char* const environment[] = {settings.c_str(), "LANG=C", nullptr};
    execve(command.c_str(), const_cast<char* const*>(arguments),
           const_cast<char* const*>(environment));
    _exit(2);
  }
  this->record.Line("started " + this->options.host);
}

void Gateway::Signal(int number) const {
  if (this->pid > 0) {
    kill(this->pid, number);
  }
}

void Gateway::Kill() {
  if (this->pid > 0) {
    kill(this->pid, SIGKILL);
    waitpid(this->pid, nullptr, 0);
    this->pid = -1;
    this->record.Line("killed " + this->options.host);
  }
}

bool Gateway::HasEnded() {
  if (this->pid > 0 && waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
    this->pid = -1;
    this->record.Line("ended " + this->options.host);
  }
  return this->pid < 0;
}

bool Gateway::AwaitReady() const {
  constexpr int kTries = 200;
  constexpr milliseconds kPause{50};
  for (int i = 0; i < kTries; ++i) {
    const int file = Connect(this->ready);
    if (file >= 0) {
      Connection connection(file);
      connection.SetReadTimeout(std::chrono::seconds(1));
      (void)connection.Write("GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n");
      if (connection.ReadResponse().status == 200) {
        return true;
      }
    }
    std::this_thread::sleep_for(kPause);
  }
  return false;
}

long Gateway::MemoryKb() const {
  std::ifstream file("/proc/" + std::to_string(this->pid) + "/status");
  std::string line;
  const std::string key = "VmRSS:";
  while (std::getline(file, line)) {
    if (line.starts_with(key)) {
      return std::atol(line.c_str() + key.size());
    }
  }
  return 0;
}

}  // namespace review
