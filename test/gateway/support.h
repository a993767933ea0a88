#ifndef TEST_GATEWAY_SUPPORT_H_
#define TEST_GATEWAY_SUPPORT_H_

#include <algorithm>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/fiber_loop.h"
#include "gateway/shared_log.h"

namespace pimentospar::test {

/// Returns the fiber loop of the test program, which has one thread.
inline FiberLoop& Loop() {
  static FiberLoop loop;
  return loop;
}

/// Polls until `condition` holds; returns false after 10 seconds, far longer
/// than a passing test takes.
inline bool Eventually(const std::function<bool()>& condition) {
  for (int i = 0; i < 5000; ++i) {
    if (condition()) {
      return true;
    }
    boost::this_fiber::sleep_for(std::chrono::milliseconds(2));
  }
  return false;
}

inline bool Contains(std::string_view text, std::string_view part) {
  return text.find(part) != std::string_view::npos;
}

/// Returns the ID of a request as it arrives at a target, or an empty string.
inline std::string RequestIdOf(const std::string& request) {
  const std::string name = "X-Pimentospar-Request-Id: ";
  const auto at = request.find(name);
  if (at == std::string::npos) {
    return {};
  }
  return request.substr(at + name.size(),
                        request.find('\r', at) - at - name.size());
}

inline std::size_t Count(std::string_view text, std::string_view part) {
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string_view::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

/// A raw TCP connection of a caller, or of a target to its caller.
class RawConnection {
 public:
  explicit RawConnection(TcpSocket connected) : socket(std::move(connected)) {}
  explicit RawConnection(const Tcp::endpoint& address)
      : socket(Loop().Context()) {
    (void)Await([&](auto handler) {
      this->socket.async_connect(address, std::move(handler));
    });
  }

  void Write(std::string_view text) {
    const std::string copy(text);
    const IoResult written = Await([&](auto handler) {
      boost::asio::async_write(this->socket, boost::asio::buffer(copy),
                               std::move(handler));
    });
    if (!written.IsGood()) {
      this->Close();
    }
  }

  /// Returns whether no write has failed so far.
  [[nodiscard]] bool IsOpen() const { return this->socket.is_open(); }

  /// Appends the next received bytes to `text`; returns false at the end of the
  /// connection.
  bool ReadMore() {
    char bytes[4096];
    const IoResult read = Await([&](auto handler) {
      this->socket.async_read_some(boost::asio::buffer(bytes),
                                   std::move(handler));
    });
    this->text.append(bytes, read.bytes);
    return read.IsGood();
  }

  /// Reads until `text` contains `part`; returns false if the connection ends
  /// before that.
  bool ReadUntil(std::string_view part) {
    while (!Contains(this->text, part)) {
      if (!this->ReadMore()) {
        return Contains(this->text, part);
      }
    }
    return true;
  }

  const std::string& ReadAll() {
    while (this->ReadMore()) {
    }
    return this->text;
  }

  /// Reads one request with the body that its Content-Length gives; empty at
  /// the end of the connection.
  std::string ReadRequest() {
    if (!this->ReadUntil("\r\n\r\n")) {
      return {};
    }
    std::size_t size = this->text.find("\r\n\r\n") + 4;
    const auto length = this->text.find("Content-Length: ");
    if (length != std::string::npos && length < size) {
      size += std::stoul(this->text.substr(length + 16));
    }
    while (this->text.size() < size && this->ReadMore()) {
    }
    std::string request = this->text.substr(0, size);
    this->text.erase(0, size);
    return request;
  }

  void Close() {
    error_code ignored;
    this->socket.close(ignored);
  }

  void Reset() {
    error_code ignored;
    this->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    this->socket.close(ignored);
  }

  std::string text;
  TcpSocket socket;
};

/// A target whose responses are written by a script.
class ScriptedTarget {
 public:
  /// Responds to one request; the connection is kept while it returns true.
  using Script = std::function<bool(RawConnection& connection,
                                    const std::string& request)>;

  explicit ScriptedTarget(Script script)
      : state(std::make_shared<State>(std::move(script))) {
    const auto shared = this->state;
    Loop().Spawn([shared] { shared->Accept(shared); });
  }

  ~ScriptedTarget() {
    error_code ignored;
    this->state->acceptor.close(ignored);
  }

  /// Refuses new connections and closes the existing ones.
  void Crash() {
    error_code ignored;
    this->state->acceptor.close(ignored);
    for (RawConnection* connection : this->state->open_connections) {
      connection->Close();
    }
  }

  /// Accepts connections again, at the same address.
  void Restart() {
    this->state->acceptor = TcpAcceptor(Loop().Context(), this->state->address);
    const auto shared = this->state;
    Loop().Spawn([shared] { shared->Accept(shared); });
  }

  [[nodiscard]] std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->state->address.port());
  }
  [[nodiscard]] const std::vector<std::string>& Requests() const {
    return this->state->requests;
  }
  [[nodiscard]] std::size_t EndedConnections() const {
    return this->state->ended;
  }

 private:
  struct State {
    explicit State(Script script)
        : acceptor(
              Loop().Context(),
              Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)),
          address(acceptor.local_endpoint()),
          script(std::move(script)) {}

    void Accept(const std::shared_ptr<State>& self) {
      while (this->acceptor.is_open()) {
        TcpSocket socket(Loop().Context());
        const IoResult accepted = Await([&](auto handler) {
          this->acceptor.async_accept(socket, std::move(handler));
        });
        if (!accepted.IsGood()) {
          return;
        }
        auto connection = std::make_shared<RawConnection>(std::move(socket));
        Loop().Spawn([self, connection] { self->Serve(*connection); });
      }
    }

    void Serve(RawConnection& connection) {
      this->open_connections.push_back(&connection);
      while (true) {
        const std::string request = connection.ReadRequest();
        if (request.empty()) {
          break;
        }
        this->requests.push_back(request);
        if (!this->script(connection, request)) {
          break;
        }
      }
      ++this->ended;
      std::erase(this->open_connections, &connection);
      connection.Close();
    }

    TcpAcceptor acceptor;
    Tcp::endpoint address;
    Script script;
    std::vector<std::string> requests;
    std::vector<RawConnection*> open_connections;
    std::size_t ended = 0;
  };

  std::shared_ptr<State> state;
};

/// An in-memory shared log that can inject faults.
class MemoryLog final : public SharedLog {
 public:
  LogStatus Append(std::string_view stream, std::string_view record) override {
    ++this->calls;
    if (this->down) {
      return LogStatus::kRefused;
    }
    if (!this->lost_appends.empty()) {
      const bool takes_effect = this->lost_appends.front();
      this->lost_appends.pop_front();
      if (takes_effect) {
        this->streams[std::string(stream)].emplace_back(record);
      }
      return LogStatus::kUnknown;
    }
    this->streams[std::string(stream)].emplace_back(record);
    this->changed.NotifyAll();
    return LogStatus::kDone;
  }

  LogStatus AppendKeyed(std::string_view stream,
                        std::string_view key,
                        std::optional<std::string_view> value) override {
    return this->Append(
        stream, std::string(key) + "=" + std::string(value.value_or("")));
  }

  LogRead Read(std::string_view stream,
               LogOffset from,
               std::chrono::milliseconds wait) override {
    ++this->calls;
    const std::string name(stream);
    const auto wait_end = std::chrono::steady_clock::now() + wait;
    while (!this->down && from.value == this->streams[name].size() &&
           std::chrono::steady_clock::now() < wait_end) {
      (void)this->changed.WaitFor(wait_end - std::chrono::steady_clock::now());
    }
    LogRead read;
    if (this->down) {
      read.status = LogStatus::kRefused;
      return read;
    }
    const auto& records = this->streams[name];
    read.era = this->era;
    read.end = {records.size()};
    if (from < this->first[name] || from.value > records.size()) {
      read.status = LogStatus::kExpired;
      read.first = this->first[name];
      return read;
    }
    if (records.size() > from.value + this->longest_read) {
      read.status = LogStatus::kUnknown;
      return read;
    }
    for (std::size_t i = from.value; i < records.size(); ++i) {
      read.records.push_back(records[i]);
    }
    read.status = LogStatus::kDone;
    return read;
  }

  KeyedPage ReadLatestValues(std::string_view stream,
                             std::string_view after) override {
    ++this->calls;
    KeyedPage page;
    if (this->down) {
      page.status = LogStatus::kRefused;
      return page;
    }
    page.status = LogStatus::kDone;
    page.era = this->era;
    const auto& records = this->streams[std::string(stream)];
    page.end = {records.size()};
    std::map<std::string, KeyedItem> newest;
    for (std::size_t i = 0; i < records.size(); ++i) {
      const auto item = this->ParseKeyedRecord(records[i], {i});
      newest[item->key] = *item;
    }
    for (const auto& [key, item] : newest) {
      if (!item.value || (!after.empty() && key <= after)) {
        continue;
      }
      if (page.items.size() == this->page_size) {
        page.more = true;
        break;
      }
      page.items.push_back(item);
    }
    if (this->between_pages) {
      std::exchange(this->between_pages, nullptr)();
    }
    return page;
  }

  std::optional<KeyedItem> ParseKeyedRecord(std::string_view record,
                                            LogOffset offset) const override {
    const auto sign = record.find('=');
    KeyedItem item{std::string(record.substr(0, sign)), std::nullopt, offset};
    if (sign + 1 < record.size()) {
      item.value = std::string(record.substr(sign + 1));
    }
    return item;
  }

  using Streams = std::map<std::string, std::vector<std::string>>;

  /// Replaces all records by those of an earlier time.
  void Restore(Streams copy) {
    this->streams = std::move(copy);
    ++this->era.value;
    this->changed.NotifyAll();
  }

  Streams streams;
  LogEra era;
  std::map<std::string, LogOffset> first;
  std::deque<bool> lost_appends;
  std::function<void()> between_pages;
  std::size_t page_size = 100;
  /// Reads of more records than this time out.
  std::size_t longest_read = 1000;
  std::size_t calls = 0;
  bool down = false;
  FiberSignal changed;
};

}  // namespace pimentospar::test

#endif  // TEST_GATEWAY_SUPPORT_H_
