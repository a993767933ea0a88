#ifndef REVIEW_STANDIN_2_NET_H_
#define REVIEW_STANDIN_2_NET_H_

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>

/// Blocking sockets on the loopback interface, and HTTP/1.1 over them.
namespace standin {

/// Milliseconds since the program started.
long NowMs();
void SleepMs(long ms);
/// Sleeps until `ms` milliseconds after the start of the program.
void SleepUntil(long ms);

/// Writes one line, with the time in front, to the record of the run.
void OpenRecord(const std::string& path);
void Record(const char* format, ...) __attribute__((format(printf, 1, 2)));

/// Returns a TCP port of 127.0.0.1 that is free now.
int FreePort();
/// Listens at 127.0.0.1; `port` 0 lets the system choose. Returns the socket.
int Listen(int& port);
/// Returns a connected socket, or -1.
int Connect(int port);

struct Message {
  /// Request line or status line.
  std::string start;
  /// Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;

  std::string Header(const std::string& name) const;
  /// Second word of the start line: path or status.
  std::string Target() const;
  int Status() const;
};

/// How the read of a message ended.
enum class ReadEnd { kComplete, kClosed, kReset, kTimeout, kMalformed };

/// One connection with the bytes that were read ahead.
class Channel {
 public:
  explicit Channel(int socket) : socket(socket) {}
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;
  ~Channel();

  bool Send(const std::string& bytes);
  /// Reads a request or a response with its whole body: of the given length,
  /// in chunks or, for a response without either, up to the end of the
  /// connection.
  ReadEnd Read(Message& message, long timeout_ms, bool is_response);
  /// Closes the connection with a reset.
  void Reset();
  /// Makes pending and later operations fail.
  void Shutdown();
  int Socket() const { return this->socket; }

 private:
  ReadEnd Fill(long deadline_ms);

  int socket;
  std::string buffer;
};

/// Serves each connection in a thread of its own.
class Server {
 public:
  /// Returns false to close the connection.
  using Handler = std::function<bool(const Message&, Channel&)>;

  explicit Server(Handler handler);
  ~Server() { this->Stop(); }
  int Port() const { return this->port; }
  /// Closes the listening socket and all connections.
  void Stop();

 private:
  void Accept();
  void Serve(int socket);

  Handler handler;
  int port = 0;
  int listener = -1;
  std::atomic<bool> stopped{false};
  std::mutex mutex;
  std::set<Channel*> channels;
  std::atomic<int> threads{0};
  std::thread acceptor;
};

}  // namespace standin

#endif  // REVIEW_STANDIN_2_NET_H_
