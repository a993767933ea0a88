#include "net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cstdio>
#include <cstdlib>

namespace review {

namespace {

constexpr int kBacklog = 512;

sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &to.sin_addr);
  return to;
}

bool IsSameName(std::string_view left, std::string_view right) {
  return std::ranges::equal(left, right, [](char one, char other) {
    return std::tolower(static_cast<unsigned char>(one)) ==
           std::tolower(static_cast<unsigned char>(other));
  });
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && text.front() == ' ') {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\r')) {
    text.remove_suffix(1);
  }
  return text;
}

// Parses the lines after the first one of a head.
Fields ParseFields(std::string_view lines) {
  Fields fields;
  while (!lines.empty()) {
    const std::size_t end = std::min(lines.find('\n'), lines.size());
    const std::string_view line = Trim(lines.substr(0, end));
    lines.remove_prefix(std::min(end + 1, lines.size()));
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
      continue;
    }
    fields.Add(std::string(line.substr(0, colon)),
               std::string(Trim(line.substr(colon + 1))));
  }
  return fields;
}

}  // namespace

std::string RunIp(int last) {
  const int pid = getpid();
  constexpr int kRange = 250;
  return "127." + std::to_string(1 + (pid / kRange) % kRange) + "." +
         std::to_string(1 + pid % kRange) + "." + std::to_string(last);
}

Address FreeAddress(const std::string& ip) {
  Address address{ip, 0};
  close(Listen(address));
  return address;
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void Record::Line(const std::string& text) {
  const auto at =
      std::chrono::duration_cast<milliseconds>(Steady::now() - this->start);
  const std::lock_guard lock(this->mutex);
  this->file << at.count() << " " << text << std::endl;
}

std::string Fields::Get(std::string_view name) const {
  const auto found = std::ranges::find_if(this->all, [name](const auto& field) {
    return IsSameName(field.first, name);
  });
  return found == this->all.end() ? std::string() : found->second;
}

Connection::~Connection() {
  close(this->file);
}

bool Connection::Write(std::string_view bytes) const {
  while (!bytes.empty()) {
    const ssize_t sent =
        send(this->file, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

bool Connection::IsClosedByPeer() const {
  char byte = 0;
  const ssize_t size =
      recv(this->file, &byte, 1, MSG_PEEK | MSG_DONTWAIT | MSG_NOSIGNAL);
  return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Connection::SetReadTimeout(milliseconds timeout) const {
  constexpr int kMsPerSecond = 1000;
  timeval time{};
  time.tv_sec = timeout.count() / kMsPerSecond;
  time.tv_usec = (timeout.count() % kMsPerSecond) * kMsPerSecond;
  setsockopt(this->file, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
}

void Connection::Shutdown() const {
  shutdown(this->file, SHUT_RDWR);
}

bool Connection::Fill() {
  std::array<char, 65536> bytes{};
  const ssize_t size = recv(this->file, bytes.data(), bytes.size(), 0);
  if (size <= 0) {
    return false;
  }
  this->buffer.append(bytes.data(), static_cast<std::size_t>(size));
  this->received += static_cast<std::size_t>(size);
  return true;
}

bool Connection::ReadUntil(std::string_view end, std::size_t& at) {
  while ((at = this->buffer.find(end)) == std::string::npos) {
    if (!this->Fill()) {
      return false;
    }
  }
  return true;
}

bool Connection::ReadChunks(std::string& body) {
  while (true) {
    std::size_t at = 0;
    if (!this->ReadUntil("\r\n", at)) {
      return false;
    }
    std::size_t size = 0;
    std::from_chars(this->buffer.data(), this->buffer.data() + at, size, 16);
    while (this->buffer.size() < at + size + 4) {
      if (!this->Fill()) {
        body.append(this->buffer, at + 2, size);
        return false;
      }
    }
    body.append(this->buffer, at + 2, size);
    this->buffer.erase(0, at + size + 4);
    if (size == 0) {
      return true;
    }
  }
}

bool Connection::ReadBody(const Fields& fields,
                          bool ends_with_connection,
                          std::string& body) {
  if (IsSameName(fields.Get("Transfer-Encoding"), "chunked")) {
    return this->ReadChunks(body);
  }
  const std::string length = fields.Get("Content-Length");
  if (length.empty() && !ends_with_connection) {
    return true;
  }
  const std::size_t size =
      length.empty() ? SIZE_MAX : std::strtoull(length.c_str(), nullptr, 10);
  while (this->buffer.size() < size && this->Fill()) {
  }
  body = this->buffer.substr(0, size);
  this->buffer.erase(0, body.size());
  return length.empty() || body.size() == size;
}

std::optional<Request> Connection::ReadRequest() {
  std::size_t at = 0;
  if (!this->ReadUntil("\r\n\r\n", at)) {
    return std::nullopt;
  }
  const std::string head = this->buffer.substr(0, at + 2);
  this->buffer.erase(0, at + 4);
  Request request;
  const std::size_t line_end = head.find('\r');
  const std::size_t first = head.find(' ');
  const std::size_t second = head.find(' ', first + 1);
  request.method = head.substr(0, first);
  request.target = head.substr(first + 1, second - first - 1);
  request.fields = ParseFields(std::string_view(head).substr(line_end + 2));
  if (!this->ReadBody(request.fields, false, request.body)) {
    return std::nullopt;
  }
  ++this->request_count;
  return request;
}

Response Connection::ReadResponse() {
  constexpr std::size_t kStatusAt = 9;
  Response response;
  this->received = this->buffer.size();
  std::size_t at = 0;
  if (this->ReadUntil("\r\n\r\n", at)) {
    const std::string head = this->buffer.substr(0, at + 2);
    this->buffer.erase(0, at + 4);
    response.status = std::atoi(head.c_str() + kStatusAt);
    response.fields =
        ParseFields(std::string_view(head).substr(head.find('\r') + 2));
    response.complete = this->ReadBody(response.fields, true, response.body);
  }
  response.bytes = this->received;
  return response;
}

int Listen(Address& address) {
  const int file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(file, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in to = ToSocketAddress(address);
  if (bind(file, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0 ||
      listen(file, kBacklog) != 0) {
    std::fprintf(stderr, "cannot listen at %s\n", address.Text().c_str());
    std::exit(2);
  }
  socklen_t size = sizeof to;
  getsockname(file, reinterpret_cast<sockaddr*>(&to), &size);
  address.port = ntohs(to.sin_port);
  return file;
}

int Connect(const Address& address) {
  const int file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(file, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  sockaddr_in to = ToSocketAddress(address);
  if (connect(file, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
    close(file);
    return -1;
  }
  return file;
}

Address ParseAddress(const std::string& text) {
  const std::size_t colon = text.find(':');
  return {text.substr(0, colon),
          static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1))};
}

}  // namespace review
