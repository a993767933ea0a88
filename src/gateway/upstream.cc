#include "gateway/upstream.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <charconv>

#include "gateway/sockets.h"
#include "net/address.h"
#include "net/log_line.h"
#include "net/message_framing.h"

namespace pimentospar {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t kBodyBufferBytes = 8192;
constexpr int kMaxInterimResponses = 16;
// A peer that has lost power sends no reset. The kernel closes the connection
// when data stays unacknowledged for this time.
constexpr std::chrono::milliseconds kUserTimeout{3000};

std::optional<std::chrono::seconds> ParseKeepAliveTimeout(
    const http::fields& fields) {
  constexpr std::string_view kTimeoutParameter = "timeout=";
  const std::string_view value = fields[http::field::keep_alive];
  const auto at = value.find(kTimeoutParameter);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = value.substr(at + kTimeoutParameter.size());
  int seconds = 0;
  const auto parsed =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (parsed.ec != std::errc()) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

enum class StatusKind : std::uint8_t { kInterim, kFinal, kInvalid };

// The gateway never asks for another protocol, so 101 answers nothing.
StatusKind KindOf(unsigned status) {
  constexpr unsigned kSwitchingProtocols = 101;
  if (status < 100 || status > 599 || status == kSwitchingProtocols) {
    return StatusKind::kInvalid;
  }
  return status < 200 ? StatusKind::kInterim : StatusKind::kFinal;
}

}  // namespace

std::unique_ptr<UpstreamConnection> UpstreamPool::TakeIdle(
    const std::string& address) {
  const auto found = this->idle.find(address);
  if (found == this->idle.end()) {
    return nullptr;
  }
  IdleConnections& connections = found->second;
  const TimePoint now = this->clock.Now();
  while (!connections.empty()) {
    // Takes the most recently used connection, so that the others can expire.
    auto connection = std::move(connections.back());
    connections.pop_back();
    // Data on an idle connection belongs to no request.
    if (now < connection->usable_until &&
        PeekSocket(connection->socket) == SocketReadState::kNothing) {
      return connection;
    }
  }
  return nullptr;
}

std::unique_ptr<UpstreamConnection> UpstreamPool::Connect(
    const std::string& address) {
  return this->TryConnect(address).connection;
}

bool UpstreamPool::IsRefused(const std::string& address) {
  ConnectResult result = this->TryConnect(address);
  if (result.connection != nullptr) {
    this->AddIdle(std::move(result.connection), std::nullopt);
  }
  return result.error == boost::asio::error::connection_refused;
}

UpstreamPool::ConnectResult UpstreamPool::TryConnect(
    const std::string& address) {
  const auto peer = ParseAddress(address);
  if (!peer) {
    return {nullptr, boost::asio::error::invalid_argument};
  }
  auto connection = std::make_unique<UpstreamConnection>(this->loop.Context());
  connection->address = address;
  TcpSocket& socket = connection->socket;
  const ScopedTimer timeout(this->timers, this->options.connect_timeout,
                            [&socket] {
                              error_code ignored;
                              socket.close(ignored);
                            });
  const IoResult connected = Await([&](auto handler) {
    socket.async_connect(peer->ToEndpoint(), std::move(handler));
  });
  if (!connected.IsGood() || !socket.is_open()) {
    return {nullptr, connected.error};
  }
  SetSocketOptions(socket, kUserTimeout);
  return {std::move(connection), {}};
}

void UpstreamPool::AddIdle(std::unique_ptr<UpstreamConnection> connection,
                           std::optional<std::chrono::seconds> idle_time) {
  this->CloseExpired();
  const TimePoint now = this->clock.Now();
  const Duration kept = idle_time
                            ? Duration(*idle_time) - this->options.idle_margin
                            : this->options.idle_time;
  IdleConnections& connections = this->idle[connection->address];
  if (kept <= Duration(0) ||
      connections.size() >= this->options.max_idle_per_address) {
    return;
  }
  connection->usable_until = now + kept;
  connections.push_back(std::move(connection));
}

void UpstreamPool::CloseExpired() {
  const TimePoint now = this->clock.Now();
  if (now - this->last_expiry < std::chrono::seconds(1)) {
    return;
  }
  this->last_expiry = now;
  for (auto& [address, connections] : this->idle) {
    std::erase_if(connections, [now](const auto& connection) {
      return now >= connection->usable_until;
    });
  }
  std::erase_if(this->idle,
                [](const auto& entry) { return entry.second.empty(); });
}

struct UpstreamExchange::State {
  State(UpstreamPool& pool,
        std::shared_ptr<BufferBudget> buffers,
        std::unique_ptr<UpstreamConnection> connection,
        bool is_head_request)
      : pool(pool),
        buffers(std::move(buffers)),
        reservation(*this->buffers),
        connection(std::move(connection)),
        is_head_request(is_head_request),
        is_reused(this->connection->used) {
    this->parser.emplace();
    this->connection->used = true;
  }
  UpstreamPool& pool;
  std::shared_ptr<BufferBudget> buffers;
  BufferReservation reservation;
  std::unique_ptr<UpstreamConnection> connection;
  bool is_head_request;
  bool is_reused;
  std::string head;
  std::shared_ptr<const std::string> body;
  std::optional<http::response_parser<http::buffer_body>> parser;
  std::array<char, kBodyBufferBytes> bytes{};
  std::size_t framing_bytes = 0;
  error_code read_error;
  bool is_sent = false;
  bool cancelled = false;
  bool complete = false;
};

UpstreamExchange::UpstreamExchange(
    UpstreamPool& pool,
    std::unique_ptr<UpstreamConnection> connection,
    bool is_head_request)
    : state(std::make_shared<State>(pool,
                                    pool.buffers,
                                    std::move(connection),
                                    is_head_request)) {}

UpstreamExchange::~UpstreamExchange() {
  if (this->state->connection != nullptr) {
    // Closing cancels a pending write, whose handler holds a reference to the
    // state.
    error_code ignored;
    this->state->connection->socket.close(ignored);
  }
}

bool UpstreamExchange::IsReused() const {
  return this->state->is_reused;
}

void UpstreamExchange::Send(std::string head,
                            std::shared_ptr<const std::string> body) {
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

bool UpstreamExchange::ReadHead() {
  State& state = *this->state;
  for (int i = 0; i <= kMaxInterimResponses && !state.cancelled; ++i) {
    state.parser.emplace();
    state.parser->header_limit(kMaxResponseHeadBytes);
    state.parser->body_limit(boost::none);
    state.parser->skip(state.is_head_request);
    const IoResult read = Await([&](auto handler) {
      http::async_read_header(state.connection->socket,
                              state.connection->buffer, *state.parser,
                              std::move(handler));
    });
    state.read_error = read.error;
    if (!read.IsGood()) {
      return false;
    }
    if (!HasKnownTransferCoding(state.parser->get())) {
      state.read_error = http::error::bad_transfer_encoding;
      return false;
    }
    const StatusKind kind = KindOf(state.parser->get().result_int());
    if (kind == StatusKind::kInvalid) {
      state.read_error = http::error::bad_status;
      return false;
    }
    if (kind == StatusKind::kFinal) {
      return true;
    }
  }
  return false;
}

const UpstreamExchange::Head& UpstreamExchange::GetHead() const {
  return this->state->parser->get().base();
}

bool UpstreamExchange::EndsWithConnection() const {
  return this->state->parser->need_eof();
}

BodyReadResult UpstreamExchange::ReadBody(std::string_view& data) {
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
      state.read_error = read.error;
      return BodyReadResult::kError;
    }
    const std::size_t size = state.bytes.size() - parser.get().body().size;
    state.framing_bytes += read.bytes - size;
    if (state.framing_bytes > state.pool.options.max_framing_bytes) {
      state.read_error = http::error::buffer_overflow;
      return BodyReadResult::kError;
    }
    if (size > 0) {
      data = {state.bytes.data(), size};
      return BodyReadResult::kData;
    }
  }
  // A pending write takes the error of a reset, so that the read finds the end
  // of the connection. A peer that closes before it has the whole request has
  // not ended its response properly either.
  if (parser.need_eof() && !state.is_sent) {
    state.read_error = http::error::partial_message;
    return BodyReadResult::kError;
  }
  state.complete = true;
  return BodyReadResult::kEnd;
}

std::optional<std::string> UpstreamExchange::ReadRemainingBody() {
  std::string rest;
  std::string_view data;
  State& state = *this->state;
  BodyReadResult part = this->ReadBody(data);
  while (part == BodyReadResult::kData) {
    if (rest.size() + data.size() > state.pool.options.max_buffered_body ||
        !state.reservation.GrowTo(rest.size() + data.size())) {
      LogWarning("body_too_large", {{"address", state.connection->address},
                                    {"bytes", rest.size()},
                                    {"all", state.buffers->Reserved()}});
      return std::nullopt;
    }
    rest += data;
    part = this->ReadBody(data);
  }
  return part == BodyReadResult::kEnd ? std::optional(std::move(rest))
                                      : std::nullopt;
}

bool UpstreamExchange::DiscardRemainingBody() {
  std::string_view ignored;
  std::size_t discarded = 0;
  BodyReadResult part = this->ReadBody(ignored);
  while (part == BodyReadResult::kData) {
    discarded += ignored.size();
    if (discarded > this->state->pool.options.max_buffered_body) {
      return false;
    }
    part = this->ReadBody(ignored);
  }
  return part == BodyReadResult::kEnd;
}

error_code UpstreamExchange::ReadError() const {
  return this->state->read_error;
}

void UpstreamExchange::Cancel() {
  this->state->cancelled = true;
  if (this->state->connection != nullptr) {
    error_code ignored;
    this->state->connection->socket.close(ignored);
  }
}

void UpstreamExchange::Release() {
  State& state = *this->state;
  // Bytes after the response belong to no request. If the request was not sent
  // completely, the peer would read the next request as the rest of it.
  const bool reusable = state.complete && state.is_sent && !state.cancelled &&
                        state.parser->keep_alive() &&
                        state.connection->buffer.size() == 0;
  if (reusable) {
    const auto idle_time = ParseKeepAliveTimeout(state.parser->get().base());
    state.pool.AddIdle(std::move(state.connection), idle_time);
  }
}

}  // namespace pimentospar
