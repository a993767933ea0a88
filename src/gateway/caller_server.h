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

/// A request as a caller sent it, read to its end.
struct CallerRequest {
  boost::beast::http::request<boost::beast::http::string_body> message;
  /// Whether the connection is to be closed after the answer.
  bool close_after = false;
};

/// Answers one request; returns false if the connection cannot be used any
/// more.
using CallerHandler = std::function<bool(CallerRequest&, CallerChannel&)>;

/// Accepts callers at one address and reads their requests one after the other.
/// Lives until the program ends, like the fibers of its connections.
class CallerServer {
 public:
  CallerServer(FiberLoop& loop,
               TimerQueue& timers,
               const Tcp::endpoint& address,
               CallerHandler handler);

  /// Sets what callers may send; counts for requests that begin later.
  void SetLimits(const CallerLimits& limits) { this->limits = limits; }
  /// Accepts callers until the process ends.
  void Start();
  /// From now on each answer asks its caller to close.
  void BeginDrain() { this->draining = true; }
  /// Closes the connections that wait for a request.
  void CloseIdle();
  [[nodiscard]] std::size_t InFlight() const { return this->in_flight; }
  [[nodiscard]] Tcp::endpoint LocalAddress() const;

 private:
  struct Connection;
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void Accept();
  void Serve(const std::shared_ptr<Connection>& connection);
  bool ServeNext(Connection& connection);
  [[nodiscard]] error_code ReadRequest(Connection& connection, Parser& parser);
  bool HandleRequest(Connection& connection, Parser& parser);
  void RejectMalformed(Connection& connection, const error_code& error);

  FiberLoop& loop;
  TimerQueue& timers;
  TcpAcceptor acceptor;
  CallerHandler handler;
  CallerLimits limits;
  bool draining = false;
  std::size_t in_flight = 0;
  std::unordered_set<Connection*> idle_connections;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_CALLER_SERVER_H_
