#ifndef REVIEW_STANDIN_NET_H_
#define REVIEW_STANDIN_NET_H_

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// Blocking sockets and HTTP/1.1 messages for the stand-ins of the review.
namespace review {

using std::chrono::milliseconds;
using Steady = std::chrono::steady_clock;

/// A socket address on loopback.
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  [[nodiscard]] std::string Text() const {
    return this->ip + ":" + std::to_string(this->port);
  }
};

/// Returns the loopback address of this run, so that runs at the same time do
/// not share ports. `last` is the last part of the address.
[[nodiscard]] std::string RunIp(int last);
/// Returns an address with a port that is free now.
[[nodiscard]] Address FreeAddress(const std::string& ip);
/// Returns the wall-clock time in milliseconds.
[[nodiscard]] std::int64_t UnixMs();

/// A file of what was sent, answered and run; each line starts with the
/// milliseconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file(path) {}

  void Line(const std::string& text);

 private:
  std::mutex mutex;
  std::ofstream file;
  Steady::time_point start = Steady::now();
};

/// Header fields in the order in which they were sent.
class Fields {
 public:
  void Add(std::string name, std::string value) {
    this->all.emplace_back(std::move(name), std::move(value));
  }
  /// Returns the value of the first field with this name, in any case, or an
  /// empty string.
  [[nodiscard]] std::string Get(std::string_view name) const;

 private:
  std::vector<std::pair<std::string, std::string>> all;
};

/// A request as a server has read it.
struct Request {
  std::string method;
  std::string target;
  Fields fields;
  std::string body;
};

/// A response as a client has read it.
struct Response {
  /// 0 if the connection ended before the status line.
  int status = 0;
  Fields fields;
  std::string body;
  /// False if the connection ended before the end of the response.
  bool complete = false;
  /// Bytes that arrived, complete or not.
  std::size_t bytes = 0;
};

/// One TCP connection. Not thread-safe, but for `Shutdown`.
class Connection {
 public:
  explicit Connection(int file) : file(file) {}
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection();

  /// Returns whether all bytes were written.
  bool Write(std::string_view bytes) const;
  /// Reads a request; returns nothing at the end of the connection.
  [[nodiscard]] std::optional<Request> ReadRequest();
  [[nodiscard]] Response ReadResponse();
  /// Returns the number of requests read so far.
  [[nodiscard]] int RequestCount() const { return this->request_count; }
  /// Returns whether the peer has closed the connection.
  [[nodiscard]] bool IsClosedByPeer() const;
  /// Reads fail from now on if no byte arrives for this time.
  void SetReadTimeout(milliseconds timeout) const;
  /// Ends the connection for both sides.
  void Shutdown() const;

 private:
  bool Fill();
  bool ReadUntil(std::string_view end, std::size_t& at);
  bool ReadBody(const Fields& fields,
                bool ends_with_connection,
                std::string& body);
  bool ReadChunks(std::string& body);

  int file;
  std::string buffer;
  std::size_t received = 0;
  int request_count = 0;
};

/// Returns a listening socket; `address.port` is set if it was 0.
[[nodiscard]] int Listen(Address& address);
/// Returns the file descriptor of a new connection, or -1.
[[nodiscard]] int Connect(const Address& address);
[[nodiscard]] Address ParseAddress(const std::string& text);

}  // namespace review

#endif  // REVIEW_STANDIN_NET_H_
