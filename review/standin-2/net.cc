#include "net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>

namespace standin {

namespace {

const auto start_time = std::chrono::steady_clock::now();
FILE* record_file = nullptr;
std::mutex record_mutex;

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  return address;
}

std::string Lower(std::string text) {
  for (char& c : text) {
    c = static_cast<char>(tolower(c));
  }
  return text;
}

}  // namespace

long NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start_time)
      .count();
}

void SleepMs(long ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void SleepUntil(long ms) {
  const long left = ms - NowMs();
  if (left > 0) {
    SleepMs(left);
  }
}

void OpenRecord(const std::string& path) {
  record_file = fopen(path.c_str(), "w");
  if (record_file == nullptr) {
    perror(path.c_str());
    exit(2);
  }
}

void Record(const char* format, ...) {
  const std::lock_guard lock(record_mutex);
  const long now = NowMs();
  va_list arguments;
  va_start(arguments, format);
  fprintf(record_file, "%7.3f ", static_cast<double>(now) / 1000);
  vfprintf(record_file, format, arguments);
  fputc('\n', record_file);
  fflush(record_file);
  va_end(arguments);
}

int Listen(int& port) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = Loopback(port);
  socklen_t size = sizeof address;
  if (bind(listener, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(listener, 512) != 0) {
    close(listener);
    return -1;
  }
  getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return listener;
}

// Ports below those that the system gives to outgoing connections, which could
// take a port before its process listens.
int FreePort() {
  constexpr int kFirst = 12000;
  constexpr int kCount = 18000;
  static int next = getpid() * 37 % kCount;
  for (int tries = 0; tries < kCount; ++tries) {
    int port = kFirst + next++ % kCount;
    const int listener = Listen(port);
    if (listener >= 0) {
      close(listener);
      return port;
    }
  }
  fprintf(stderr, "no free port\n");
  exit(2);
}

int Connect(int port) {
  const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  if (connect(connection, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0) {
    close(connection);
    return -1;
  }
  const int on = 1;
  setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return connection;
}

std::string Message::Header(const std::string& name) const {
  const auto found = this->headers.find(Lower(name));
  return found == this->headers.end() ? std::string() : found->second;
}

std::string Message::Target() const {
  const auto first = this->start.find(' ');
  if (first == std::string::npos) {
    return {};
  }
  return this->start.substr(first + 1,
                            this->start.find(' ', first + 1) - first - 1);
}

int Message::Status() const {
  return atoi(this->Target().c_str());
}

Channel::~Channel() {
  close(this->socket);
}

bool Channel::Send(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t size = send(this->socket, bytes.data() + sent,
                              bytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(size);
  }
  return true;
}

void Channel::Reset() {
  const linger reset{1, 0};
  setsockopt(this->socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
}

void Channel::Shutdown() {
  shutdown(this->socket, SHUT_RDWR);
}

ReadEnd Channel::Fill(long deadline_ms) {
  pollfd entry{this->socket, POLLIN, 0};
  const long left = deadline_ms - NowMs();
  if (left <= 0 || poll(&entry, 1, static_cast<int>(left)) <= 0) {
    return ReadEnd::kTimeout;
  }
  char bytes[16384];
  const ssize_t size = recv(this->socket, bytes, sizeof bytes, 0);
  if (size < 0) {
    return ReadEnd::kReset;
  }
  if (size == 0) {
    return ReadEnd::kClosed;
  }
  this->buffer.append(bytes, static_cast<std::size_t>(size));
  return ReadEnd::kComplete;
}

ReadEnd Channel::Read(Message& message, long timeout_ms, bool is_response) {
  const long deadline = NowMs() + timeout_ms;
  message = {};
  std::size_t end = 0;
  while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
    const ReadEnd read = this->Fill(deadline);
    if (read != ReadEnd::kComplete) {
      return read;
    }
  }
  const std::string head = this->buffer.substr(0, end + 2);
  this->buffer.erase(0, end + 4);
  std::size_t at = head.find("\r\n");
  message.start = head.substr(0, at);
  for (at += 2; at < head.size();) {
    const std::size_t line_end = head.find("\r\n", at);
    const std::string line = head.substr(at, line_end - at);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      return ReadEnd::kMalformed;
    }
    std::size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') {
      ++value;
    }
    message.headers[Lower(line.substr(0, colon))] = line.substr(value);
    at = line_end + 2;
  }
  if (message.Header("transfer-encoding") == "chunked") {
    while (true) {
      std::size_t line_end = 0;
      while ((line_end = this->buffer.find("\r\n")) == std::string::npos) {
        const ReadEnd read = this->Fill(deadline);
        if (read != ReadEnd::kComplete) {
          return read;
        }
      }
      const std::size_t size = strtoul(this->buffer.c_str(), nullptr, 16);
      while (this->buffer.size() < line_end + 2 + size + 2) {
        const ReadEnd read = this->Fill(deadline);
        if (read != ReadEnd::kComplete) {
          return read;
        }
      }
      message.body += this->buffer.substr(line_end + 2, size);
      this->buffer.erase(0, line_end + 2 + size + 2);
      if (size == 0) {
        return ReadEnd::kComplete;
      }
    }
  }
  const std::string length = message.Header("content-length");
  if (length.empty() && is_response) {
    while (true) {
      const ReadEnd read = this->Fill(deadline);
      if (read != ReadEnd::kComplete) {
        message.body = this->buffer;
        return read == ReadEnd::kClosed ? ReadEnd::kComplete : read;
      }
    }
  }
  const std::size_t size = strtoul(length.c_str(), nullptr, 10);
  while (this->buffer.size() < size) {
    const ReadEnd read = this->Fill(deadline);
    if (read != ReadEnd::kComplete) {
      return read;
    }
  }
  message.body = this->buffer.substr(0, size);
  this->buffer.erase(0, size);
  return ReadEnd::kComplete;
}

Server::Server(Handler handler) : handler(std::move(handler)) {
  this->listener = Listen(this->port);
  this->acceptor = std::thread([this] { this->Accept(); });
}

void Server::Accept() {
  while (!this->stopped) {
    const int connection =
        accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) {
      if (this->stopped || errno == EINVAL || errno == EBADF) {
        return;
      }
      SleepMs(5);
      continue;
    }
    const int on = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ++this->threads;
    std::thread([this, connection] { this->Serve(connection); }).detach();
  }
}

void Server::Serve(int socket) {
  {
    Channel channel(socket);
    {
      const std::lock_guard lock(this->mutex);
      this->channels.insert(&channel);
    }
    Message message;
    while (!this->stopped &&
           channel.Read(message, 600000, false) == ReadEnd::kComplete &&
           this->handler(message, channel)) {
    }
    const std::lock_guard lock(this->mutex);
    this->channels.erase(&channel);
  }
  --this->threads;
}

void Server::Stop() {
  if (this->stopped.exchange(true)) {
    return;
  }
  shutdown(this->listener, SHUT_RDWR);
  close(this->listener);
  {
    const std::lock_guard lock(this->mutex);
    for (Channel* channel : this->channels) {
      channel->Shutdown();
    }
  }
  this->acceptor.join();
  for (int i = 0; this->threads > 0 && i < 500; ++i) {
    SleepMs(10);
  }
}

}  // namespace standin
