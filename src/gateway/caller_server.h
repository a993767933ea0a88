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

#include "gateway/buffer_budget.h"
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
               const Clock& clock,
               const Tcp::endpoint& address,
               CallerHandler handler);

  /// Sets the limits on requests; applies to requests that begin later.
  void SetLimits(const CallerLimits& limits) { this->limits = limits; }
  /// Accepts connections until the process exits, from the time on when
  /// another process no longer uses the address.
  void Start();
  /// Returns whether callers can connect.
  [[nodiscard]] bool IsListening() const { return this->acceptor.is_open(); }
  /// Makes every response whose head is not sent yet ask its caller to close
  /// the connection.
  void BeginDrain();
  /// Closes the connections that wait for a request. A connection on which one
  /// has just arrived is kept, and so is a new one for a moment.
  void CloseIdle();
  /// Stops listening; returns the number of callers that were still waiting to
  /// be accepted, whose connections are served.
  std::size_t StopAccepting();
  /// Refuses the requests of which only a part has arrived.
  void RefuseIncomplete();
  /// Returns the number of requests of which a part has arrived and whose
  /// response is not complete.
  [[nodiscard]] std::size_t ActiveRequests() const;
  /// Returns the number of open connections.
  [[nodiscard]] std::size_t ConnectionCount() const {
    return this->connections.size();
  }
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
  /// Serves the requests of a connection in a fiber of its own.
  void Serve(std::shared_ptr<Connection> connection);
  [[nodiscard]] bool ServeNext(Connection& connection);
  /// Returns whether a request begins before the idle timeout.
  [[nodiscard]] bool AwaitRequest(Connection& connection);
  [[nodiscard]] error_code ReadRequest(Connection& connection,
                                       Parser& parser,
                                       BufferReservation& reservation);
  [[nodiscard]] error_code ReadBody(Connection& connection,
                                    Parser& parser,
                                    BufferReservation& reservation);
  [[nodiscard]] error_code SendContinue(Connection& connection);
  [[nodiscard]] bool HandleRequest(Connection& connection, Parser& parser);
  /// Refuses a request that cannot be read completely.
  void Refuse(Connection& connection, unsigned status);
  /// Reads what the caller still sends, because closing a socket with unread
  /// input resets the connection before the caller has read the response.
  void DiscardInput(Connection& connection);

  FiberLoop& loop;
  TimerQueue& timers;
  const Clock& clock;
  Tcp::endpoint address;
  TcpAcceptor acceptor;
  CallerHandler handler;
  CallerLimits limits;
  BufferBudget bodies;
  bool draining = false;
  std::unordered_set<Connection*> connections;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_CALLER_SERVER_H_
