#include "gateway/upstream.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <charconv>

#include "gateway/sockets.h"
#include "net/address.h"

namespace pimentospar {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t kBodyBuffer = 8192;
constexpr std::uint32_t kMaxHeadBytes = 64 * 1024;
// A peer without power answers nothing; unacknowledged bytes end the connection
// after this time.
constexpr std::chrono::milliseconds kUserTimeout{3000};

std::optional<std::chrono::seconds> NamedIdleTime(const http::fields& fields) {
  constexpr std::string_view kName = "timeout=";
  const std::string_view value = fields[http::field::keep_alive];
  const auto at = value.find(kName);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = value.substr(at + kName.size());
  int seconds = 0;
  const auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (parsed.ec != std::errc()) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

}  // namespace

std::unique_ptr<UpstreamConnection> UpstreamPool::TakeIdle(
    const std::string& address) {
  const auto found = this->idle.find(address);
  if (found == this->idle.end()) {
    return nullptr;
  }
  Idle& connections = found->second;
  const TimePoint now = this->clock.Now();
  while (!connections.empty()) {
    // The most recently used one, so that the others can end.
    auto connection = std::move(connections.back());
    connections.pop_back();
    // What nobody asked for belongs to no request.
    if (now < connection->usable_until &&
        Peek(connection->socket) == Readable::kNothing) {
      return connection;
    }
  }
  return nullptr;
}

std::unique_ptr<UpstreamConnection> UpstreamPool::Connect(
    const std::string& address) {
  const auto peer = ParseAddress(address);
  if (!peer) {
    return nullptr;
  }
  auto connection = std::make_unique<UpstreamConnection>(this->loop.Context());
  connection->address = address;
  TcpSocket& socket = connection->socket;
  const Alarm limit(this->alarms, this->options.connect_time, [&socket] {
    error_code ignored;
    socket.close(ignored);
  });
  const IoResult connected = Await([&](auto handler) {
    socket.async_connect(peer->ToEndpoint(), std::move(handler));
  });
  if (!connected.IsGood() || !socket.is_open()) {
    return nullptr;
  }
  SetUpSocket(socket, kUserTimeout);
  return connection;
}

void UpstreamPool::Keep(std::unique_ptr<UpstreamConnection> connection,
                        std::optional<std::chrono::seconds> idle_time) {
  this->CloseExpired();
  const TimePoint now = this->clock.Now();
  const Duration kept = idle_time
                            ? Duration(*idle_time) - this->options.idle_margin
                            : this->options.idle_time;
  Idle& connections = this->idle[connection->address];
  if (kept <= Duration(0) || connections.size() >= this->options.max_idle) {
    return;
  }
  connection->usable_until = now + kept;
  connections.push_back(std::move(connection));
}

void UpstreamPool::CloseExpired() {
  const TimePoint now = this->clock.Now();
  if (now - this->swept < std::chrono::seconds(1)) {
    return;
  }
  this->swept = now;
  for (auto& [address, connections] : this->idle) {
    std::erase_if(connections, [now](const auto& connection) {
      return now >= connection->usable_until;
    });
  }
  std::erase_if(this->idle,
                [](const auto& entry) { return entry.second.empty(); });
}

struct Exchange::State {
  State(std::unique_ptr<UpstreamConnection> connection, bool head_only)
      : connection(std::move(connection)), head_only(head_only) {
    this->parser.emplace();
  }

  std::unique_ptr<UpstreamConnection> connection;
  bool head_only;
  std::string head;
  std::shared_ptr<const std::string> body;
  std::optional<http::response_parser<http::buffer_body>> parser;
  std::array<char, kBodyBuffer> bytes{};
  bool is_sent = false;
  bool cancelled = false;
  bool complete = false;
};

Exchange::Exchange(std::unique_ptr<UpstreamConnection> connection,
                   bool head_only)
    : state(std::make_shared<State>(std::move(connection), head_only)) {}

Exchange::~Exchange() {
  if (this->state->connection != nullptr) {
    // Waiting writes end; their handler keeps the state.
    error_code ignored;
    this->state->connection->socket.close(ignored);
  }
}

void Exchange::Send(std::string head, std::shared_ptr<const std::string> body) {
  State& state = *this->state;
  state.head = std::move(head);
  state.body = std::move(body);
  const std::array<boost::asio::const_buffer, 2> parts = {
      boost::asio::buffer(state.head), state.body == nullptr
                                           ? boost::asio::const_buffer()
                                           : boost::asio::buffer(*state.body)};
  boost::asio::async_write(
      state.connection->socket, parts,
      [shared = this->state](error_code error, std::size_t) {
        shared->is_sent = !error;
      });
}

bool Exchange::ReadHead() {
  State& state = *this->state;
  while (!state.cancelled) {
    state.parser.emplace();
    state.parser->header_limit(kMaxHeadBytes);
    state.parser->body_limit(boost::none);
    state.parser->skip(state.head_only);
    const IoResult read = Await([&](auto handler) {
      http::async_read_header(state.connection->socket,
                              state.connection->buffer, *state.parser,
                              std::move(handler));
    });
    if (!read.IsGood()) {
      return false;
    }
    constexpr int kFirstFinalStatus = 200;
    if (state.parser->get().result_int() >= kFirstFinalStatus) {
      return true;
    }
  }
  return false;
}

const Exchange::Head& Exchange::GetHead() const {
  return this->state->parser->get().base();
}

BodyPart Exchange::ReadBody(std::string_view& data) {
  State& state = *this->state;
  auto& parser = *state.parser;
  while (!parser.is_done()) {
    parser.get().body().data = state.bytes.data();
    parser.get().body().size = state.bytes.size();
    const IoResult read = Await([&](auto handler) {
      http::async_read_some(state.connection->socket, state.connection->buffer,
                            parser, std::move(handler));
    });
    if (read.error && read.error != http::error::need_buffer) {
      return BodyPart::kBroken;
    }
    const std::size_t size = state.bytes.size() - parser.get().body().size;
    if (size > 0) {
      data = {state.bytes.data(), size};
      return BodyPart::kData;
    }
  }
  state.complete = true;
  return BodyPart::kEnd;
}

std::optional<std::string> Exchange::ReadRest() {
  std::string rest;
  std::string_view data;
  BodyPart part = this->ReadBody(data);
  while (part == BodyPart::kData) {
    rest += data;
    part = this->ReadBody(data);
  }
  return part == BodyPart::kEnd ? std::optional(std::move(rest)) : std::nullopt;
}

bool Exchange::SkipRest() {
  std::string_view ignored;
  BodyPart part = this->ReadBody(ignored);
  while (part == BodyPart::kData) {
    part = this->ReadBody(ignored);
  }
  return part == BodyPart::kEnd;
}

void Exchange::Cancel() {
  this->state->cancelled = true;
  if (this->state->connection != nullptr) {
    error_code ignored;
    this->state->connection->socket.close(ignored);
  }
}

void Exchange::Release(UpstreamPool& pool) {
  State& state = *this->state;
  // Bytes behind the answer belong to no request, and a request that is not
  // read to its end would be followed by the next one.
  const bool usable = state.complete && state.is_sent && !state.cancelled &&
                      state.parser->keep_alive() &&
                      state.connection->buffer.size() == 0;
  if (usable) {
    const auto idle_time = NamedIdleTime(state.parser->get().base());
    pool.Keep(std::move(state.connection), idle_time);
  }
}

}  // namespace pimentospar
