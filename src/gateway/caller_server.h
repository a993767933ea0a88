#ifndef SRC_GATEWAY_CALLER_SERVER_H_
#define SRC_GATEWAY_CALLER_SERVER_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_set>

#include "gateway/caller_channel.h"
#include "gateway/fiber_loop.h"
#include "pimentospar/routing/route_table.h"

namespace pimentospar {

/// A complete request of a caller.
struct CallerRequest {
  boost::beast::http::request<boost::beast::http::string_body> message;
  /// Whether to close the connection after the response.
  bool close_after = false;
};

/// Handles one request; returns false if the connection cannot be reused.
using CallerHandler = std::function<bool(CallerRequest&, CallerChannel&)>;

/// HTTP server that accepts callers at one address and handles the requests of
/// a connection in order. Must live until the process exits, since the fibers
/// of its connections refer to it.
class CallerServer {
 public:
  /// Listens at `address` if it is free.
  CallerServer(FiberLoop& loop,
               TimerQueue& timers,
               const Tcp::endpoint& address,
               CallerHandler handler);

  /// Sets the limits on requests; applies to requests that begin later.
  void SetLimits(const CallerLimits& limits) { this->limits = limits; }
  /// Accepts connections until the process exits, from the time on when
  /// another process no longer uses the address.
  void Start();
  /// Returns whether callers can connect.
  [[nodiscard]] bool IsListening() const { return this->acceptor.is_open(); }
  /// Makes every response from now on ask its caller to close the connection.
  void BeginDrain() { this->draining = true; }
  /// Closes the connections that are waiting for a request.
  void CloseIdle();
  /// Returns the number of requests that are being handled.
  [[nodiscard]] std::size_t InFlight() const { return this->in_flight; }
  /// Returns the address of the server, with the port that the system chose if
  /// none was given.
  [[nodiscard]] Tcp::endpoint LocalAddress() const { return this->address; }

 private:
  struct Connection;
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// Opens the acceptor; leaves it closed on an error.
  [[nodiscard]] error_code Listen();
  void Accept();
  void Serve(const std::shared_ptr<Connection>& connection);
  bool ServeNext(Connection& connection);
  [[nodiscard]] error_code ReadRequest(Connection& connection, Parser& parser);
  bool HandleRequest(Connection& connection, Parser& parser);
  void RejectMalformed(Connection& connection, const error_code& error);

  FiberLoop& loop;
  TimerQueue& timers;
  Tcp::endpoint address;
  TcpAcceptor acceptor;
  CallerHandler handler;
  CallerLimits limits;
  bool draining = false;
  std::size_t in_flight = 0;
  std::unordered_set<Connection*> idle_connections;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_CALLER_SERVER_H_
