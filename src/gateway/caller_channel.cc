#include "gateway/caller_channel.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

#include "gateway/sockets.h"

namespace pimentospar {

namespace {

namespace beast = boost::beast;

constexpr std::array<std::string_view, 10> kConnectionFields = {
    "Connection",          "Keep-Alive", "Proxy-Authenticate",
    "Proxy-Authorization", "TE",         "Trailer",
    "Transfer-Encoding",   "Upgrade",    "Proxy-Connection",
    "Content-Length"};

bool IsConnectionField(std::string_view name) {
  return std::ranges::any_of(kConnectionFields, [name](std::string_view field) {
    return beast::iequals(field, name);
  });
}

bool IsNamedByConnection(const HttpFields& fields, std::string_view name) {
  const auto range = fields.equal_range(beast::http::field::connection);
  for (auto field = range.first; field != range.second; ++field) {
    if (beast::http::token_list(field->value()).exists(name)) {
      return true;
    }
  }
  return false;
}

}  // namespace

std::string StatusLine(unsigned status) {
  const auto reason =
      beast::http::obsolete_reason(beast::http::int_to_status(status));
  return fmt::format("HTTP/1.1 {} {}\r\n", status,
                     std::string_view(reason.data(), reason.size()));
}

void AppendEndToEndHeaders(
    std::string& head,
    const HttpFields& fields,
    const std::function<bool(std::string_view)>& is_excluded) {
  for (const auto& field : fields) {
    const std::string_view name = field.name_string();
    if (IsConnectionField(name) || IsNamedByConnection(fields, name) ||
        is_excluded(name)) {
      continue;
    }
    const std::string_view value = field.value();
    head.append(name).append(": ").append(value).append("\r\n");
  }
}

struct CallerChannel::Watcher {
  TcpSocket& socket;
  std::function<void()> on_disconnect;
  bool active = true;
  bool disconnected = false;

  void OnDisconnect() {
    this->disconnected = true;
    this->active = false;
    if (this->on_disconnect) {
      this->on_disconnect();
    }
  }
};

CallerChannel::CallerChannel(TcpSocket& socket,
                             TimerQueue& timers,
                             Duration write_timeout)
    : socket(socket),
      timers(timers),
      write_timeout(write_timeout),
      watcher(std::make_shared<Watcher>(Watcher{socket, nullptr, false})) {}

void CallerChannel::WatchForDisconnect(std::function<void()> on_disconnect) {
  this->watcher->on_disconnect = std::move(on_disconnect);
  if (!this->watcher->active && !this->watcher->disconnected) {
    this->watcher->active = true;
    WaitReadable(this->watcher);
  }
}

void CallerChannel::WaitReadable(const std::shared_ptr<Watcher>& watcher) {
  watcher->socket.async_wait(TcpSocket::wait_read, [watcher](error_code error) {
    if (!watcher->active) {
      return;
    }
    switch (error ? SocketReadState::kClosed : PeekSocket(watcher->socket)) {
      case SocketReadState::kData:
        // The caller has sent its next request, which is read after this one.
        watcher->active = false;
        break;
      case SocketReadState::kClosed:
        watcher->OnDisconnect();
        break;
      case SocketReadState::kNothing:
        WaitReadable(watcher);
        break;
    }
  });
}

void CallerChannel::StopWatching() {
  this->watcher->on_disconnect = nullptr;
  if (this->watcher->active) {
    this->watcher->active = false;
    error_code ignored;
    this->socket.cancel(ignored);
  }
}

bool CallerChannel::IsDisconnected() const {
  return this->watcher->disconnected;
}

bool CallerChannel::Write(std::string_view first,
                          std::string_view second,
                          std::string_view third) {
  if (this->IsDisconnected()) {
    return false;
  }
  const std::array<boost::asio::const_buffer, 3> parts = {
      boost::asio::buffer(first.data(), first.size()),
      boost::asio::buffer(second.data(), second.size()),
      boost::asio::buffer(third.data(), third.size())};
  error_code error;
  const std::size_t size = first.size() + second.size() + third.size();
  // Most responses fit into the socket's send buffer and need no timer.
  this->socket.non_blocking(true, error);
  std::size_t written = this->socket.write_some(parts, error);
  if (!error && written == size) {
    return true;
  }
  if (error && error != boost::asio::error::would_block) {
    this->watcher->disconnected = true;
    return false;
  }
  std::string rest;
  for (const std::string_view part : {first, second, third}) {
    const std::size_t skipped = std::min(written, part.size());
    rest.append(part.substr(skipped));
    written -= skipped;
  }
  const ScopedTimer timeout(this->timers, this->write_timeout, [this] {
    error_code ignored;
    this->socket.close(ignored);
  });
  const IoResult sent = Await([&](auto handler) {
    boost::asio::async_write(this->socket, boost::asio::buffer(rest),
                             std::move(handler));
  });
  if (!sent.IsGood()) {
    this->watcher->disconnected = true;
  }
  return sent.IsGood();
}

bool CallerChannel::SendResponse(std::string_view head, std::string_view body) {
  return this->Write(head, body, {});
}

bool CallerChannel::SendChunk(std::string_view head, std::string_view data) {
  const std::string start = fmt::format("{}{:x}\r\n", head, data.size());
  return this->Write(start, data, "\r\n");
}

bool CallerChannel::SendLastChunk(std::string_view head) {
  return this->Write(head, "0\r\n\r\n", {});
}

}  // namespace pimentospar
