#include "platform.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <sstream>

namespace standin {

namespace {

std::mutex started_mutex;
// The processes that run.
std::set<pid_t> started;

void Forget(pid_t process) {
  const std::lock_guard lock(started_mutex);
  started.erase(process);
}

std::string Query(const std::string& target, const std::string& name) {
  const std::size_t query = target.find('?');
  std::size_t at = query == std::string::npos ? std::string::npos : query + 1;
  while (at != std::string::npos && at < target.size()) {
    const std::size_t end = std::min(target.find('&', at), target.size());
    const std::string pair = target.substr(at, end - at);
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name && equals != std::string::npos) {
      return pair.substr(equals + 1);
    }
    at = end + 1;
  }
  return {};
}

std::string BigEndian(std::uint64_t value, int bytes) {
  std::string text;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
    text += static_cast<char>(value >> shift);
  }
  return text;
}

std::string Base64(const std::string& bytes) {
  static const char* const digits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    std::uint32_t group = 0;
    for (std::size_t i = 0; i < 3; ++i) {
      const std::uint32_t byte =
          at + i < bytes.size() ? static_cast<unsigned char>(bytes[at + i]) : 0;
      group = group << 8 | byte;
    }
    for (std::size_t i = 0; i < 4; ++i) {
      text += at + i <= bytes.size() ? digits[group >> (18 - 6 * i) & 63] : '=';
    }
  }
  return text;
}

std::string Answer(const std::string& status,
                   const std::string& type,
                   const std::string& body) {
  return "HTTP/1.1 " + status + "\r\nStore-Era: 1\r\nContent-Type: " + type +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

}  // namespace

Store::Store() {
  this->server = std::make_unique<Server>(
      [this](const Message& request, Channel& channel) {
        return this->Handle(request, channel);
      });
}

std::size_t Store::Append(const std::string& topic, const std::string& record) {
  const std::lock_guard lock(this->mutex);
  Topic& known = this->topics[topic];
  known.records.push_back(record);
  const std::size_t offset = known.records.size() - 1;
  if (topic.rfind("keyed.", 0) == 0 && !record.empty()) {
    const std::size_t size = static_cast<unsigned char>(record[0]);
    known.newest[record.substr(1, size)] = offset;
  }
  this->changed.notify_all();
  return offset;
}

long Store::PutKeyed(const std::string& topic,
                     const std::string& key,
                     const std::string& value) {
  this->Append(topic,
               std::string(1, static_cast<char>(key.size())) + key + value);
  return NowMs();
}

std::string Store::Read(const std::string& topic,
                        std::size_t from,
                        long wait_ms) {
  std::unique_lock lock(this->mutex);
  this->changed.wait_for(lock, std::chrono::milliseconds(wait_ms), [&] {
    return this->topics[topic].records.size() > from;
  });
  const Topic& known = this->topics[topic];
  std::string body = BigEndian(known.records.size(), 8) + BigEndian(0, 8);
  for (std::size_t at = from; at < known.records.size(); ++at) {
    body += BigEndian(known.records[at].size(), 4) + known.records[at];
  }
  return body;
}

std::string Store::Newest(const std::string& topic) {
  const std::lock_guard lock(this->mutex);
  Topic& known = this->topics[topic];
  std::string items;
  for (const auto& [key, offset] : known.newest) {
    const std::string value = known.records[offset].substr(1 + key.size());
    if (value.empty()) {
      continue;
    }
    items += std::string(items.empty() ? "" : ",") + "{\"key\":\"" + key +
             "\",\"value\":\"" + Base64(value) +
             "\",\"offset\":" + std::to_string(offset) + "}";
  }
  return "{\"items\":[" + items +
         "],\"more\":false,\"end\":" + std::to_string(known.records.size()) +
         "}";
}

bool Store::Handle(const Message& request, Channel& channel) {
  const std::string target = request.Target();
  const std::string topic = Query(target, "topic");
  const std::string path = target.substr(0, target.find('?'));
  SleepMs(4);
  if (path == "/api/log-append") {
    std::string bytes = request.body;
    std::size_t first = 0;
    bool is_first = true;
    while (bytes.size() >= 4) {
      std::size_t size = 0;
      for (int i = 0; i < 4; ++i) {
        size = size << 8 | static_cast<unsigned char>(bytes[i]);
      }
      const std::size_t offset = this->Append(topic, bytes.substr(4, size));
      first = is_first ? offset : first;
      is_first = false;
      bytes.erase(0, 4 + size);
    }
    return channel.Send(Answer("200 OK", "application/json",
                               "{\"offset\":" + std::to_string(first) +
                                   ",\"end\":" + std::to_string(first + 1) +
                                   "}"));
  }
  if (path == "/api/log-read") {
    const long wait = atol(Query(target, "wait_ms").c_str());
    const std::size_t from =
        strtoul(Query(target, "from").c_str(), nullptr, 10);
    return channel.Send(Answer("200 OK", "application/octet-stream",
                               this->Read(topic, from, wait)));
  }
  if (path == "/api/log-newest") {
    return channel.Send(
        Answer("200 OK", "application/json", this->Newest(topic)));
  }
  return channel.Send(Answer("400 Bad Request", "application/json", "{}"));
}

void KillAllGateways() {
  const std::lock_guard lock(started_mutex);
  for (const pid_t process : started) {
    kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
  }
  started.clear();
}

const std::string& TemporaryFolder() {
  static const std::string folder = [] {
    char name[] = "/tmp/pimentospar-review-XXXXXX";
    if (mkdtemp(name) == nullptr) {
      perror("mkdtemp");
      exit(2);
    }
    return std::string(name);
  }();
  return folder;
}

void RemoveTemporaryFolder() {
  if (getenv("KEEP") != nullptr) {
    return;
  }
  const std::string command = "rm -rf '" + TemporaryFolder() + "'";
  if (system(command.c_str()) != 0) {
    fprintf(stderr, "%s is left\n", TemporaryFolder().c_str());
  }
}

Gateway::Gateway(const GatewaySettings& settings, int store_port)
    : settings(settings),
      caller_port(FreePort()),
      ready_port(FreePort()),
      folder(TemporaryFolder() + "/" + settings.name) {
  std::ostringstream text;
  text
      << "host = \"" << settings.name << "\"\nregion = \"region\"\n"
      << "data_centre = \"" << settings.zone << "\"\n[address]\n"
      << "caller = \"127.0.0.1:" << this->caller_port << "\"\n"
      << "ready = \"127.0.0.1:" << this->ready_port << "\"\n"
      << "operator = \"127.0.0.1:" << FreePort() << "\"\n"
      << "entry = \"127.0.0.1:" << FreePort() << "\"\n"
      << "store = \"127.0.0.1:" << store_port << "\"\n"
      << "[bounds]\nretry_ratio = 0.2\nretry_slack = 54\nretry_window_s = 10\n"
      << "lease_ms = 3000\ntargets_check_leases = true\ngrace_s = 8\n"
      << "[features]\ncontracts = [\"base\",\"drain\",\"config\",\"cost\","
      << "\"retry\",\"recover\",\"fleet\",\"stream\",\"engine\",\"platform\"]\n"
      << "[capacity]\nprocessor_share = " << settings.processor_share
      << "\nprocessor_speed = 1\n[regions]\n\"zone-a\" = \"region\"\n";
  std::ofstream(this->folder + ".toml") << text.str();
}

void Gateway::Start() {
  this->process = fork();
  if (this->process == 0) {
    // Ends with the program that started it, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open((this->folder + ".log").c_str(),
                         O_CREAT | O_WRONLY | O_APPEND, 0600);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    const std::string variable =
        "PIMENTOSPAR_NODE_FILE=" + this->folder + ".toml";
    char program[] = "target/platform/pimentospar-gateway";
    char* arguments[] = {program, nullptr};
    char* environment[] = {const_cast<char*>(variable.c_str()), nullptr};
    execve(program, arguments, environment);
    _exit(127);
  }
  {
    const std::lock_guard lock(started_mutex);
    started.insert(this->process);
  }
  Record("gateway %s starts as process %d, callers at port %d",
         this->settings.name.c_str(), static_cast<int>(this->process),
         this->caller_port);
}

bool Gateway::IsReady() const {
  const int socket = Connect(this->ready_port);
  if (socket < 0) {
    return false;
  }
  Channel channel(socket);
  Message answer;
  return channel.Send("GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
         channel.Read(answer, 1000, true) == ReadEnd::kComplete &&
         answer.Status() == 200;
}

bool Gateway::AwaitReady(long timeout_ms) const {
  const long limit = NowMs() + timeout_ms;
  while (NowMs() < limit) {
    if (this->IsReady()) {
      return true;
    }
    SleepMs(50);
  }
  return false;
}

bool Gateway::HasLogged(const std::string& text) const {
  std::ifstream log(this->folder + ".log");
  std::string line;
  while (std::getline(log, line)) {
    if (line.find(text) != std::string::npos) {
      return true;
    }
  }
  return false;
}

void Gateway::Signal(int number) const {
  Record("gateway %s gets signal %d", this->settings.name.c_str(), number);
  kill(this->process, number);
}

void Gateway::Kill() {
  if (this->process > 0) {
    kill(this->process, SIGKILL);
    waitpid(this->process, nullptr, 0);
    Forget(this->process);
    this->process = 0;
  }
}

std::optional<int> Gateway::Ended() {
  int status = 0;
  if (this->process > 0 && waitpid(this->process, &status, WNOHANG) > 0) {
    Forget(this->process);
    this->process = 0;
    return status;
  }
  return std::nullopt;
}

}  // namespace standin
