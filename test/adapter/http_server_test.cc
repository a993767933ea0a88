#define BOOST_TEST_MODULE http_server
#include "net/http_server.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

#include "net/fiber_thread.h"

namespace pimentospar {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

// A server with small limits. Its handler responds `ok`, or streams until the
// caller disconnects.
class Fixture {
 public:
  Fixture()
      : worker(64, 64),
        server(this->io,
               Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0),
               HttpLimits{.max_header_bytes = 1024,
                          .max_body_bytes = 2048,
                          .max_connections = 4,
                          .idle_timeout = std::chrono::seconds(20),
                          .stall_timeout = std::chrono::milliseconds(300)},
               this->metrics,
               [this](const std::shared_ptr<HttpExchange>& exchange) {
                 return this->accept_requests &&
                        this->worker.TryRun(
                            [this, exchange] { this->Handle(*exchange); });
               }) {}

  // Sends text on a new connection and returns all that the server sends until
  // it closes the connection.
  std::string Send(std::string_view text) {
    Tcp::socket socket(this->client);
    socket.connect(this->server.LocalEndpoint());
    asio::write(socket, asio::buffer(text));
    std::string response;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(response), error);
    return response;
  }

  [[nodiscard]] bool HasCounted(std::string_view reason) const {
    const std::string line = "pimentospar_refusals_total{reason=\"" +
                             std::string(reason) + "\"} 1\n";
    return this->metrics.Render().find(line) != std::string::npos;
  }

  std::atomic<bool> accept_requests = true;
  std::promise<void> disconnected;
  asio::io_context client;

 private:
  void Handle(HttpExchange& exchange) {
    if (exchange.Request().path != "/stream") {
      exchange.Respond({.body = "ok"});
      return;
    }
    exchange.OnDisconnect([this] { this->disconnected.set_value(); });
    exchange.StartStream({});
    while (exchange.Write(std::string(10'000, 'x'))) {
    }
  }

  Metrics metrics;
  IoThread io;
  FiberThread worker;

 public:
  HttpServer server;
};

// Guards against error responses without a reason code for input that cannot be
// parsed.
BOOST_FIXTURE_TEST_CASE(RefusesMalformedInputWithReason, Fixture) {
  BOOST_TEST(this->Send("nonsense\r\n\r\n").find("\"malformed_http\"") !=
             std::string::npos);
  BOOST_TEST(this->HasCounted("malformed_http"));
  const std::string header(2000, 'h');
  BOOST_TEST(this->Send("GET / HTTP/1.1\r\nX: " + header + "\r\n\r\n")
                 .find("\"header_too_large\"") != std::string::npos);
  BOOST_TEST(this->HasCounted("header_too_large"));
  BOOST_TEST(this->Send("POST / HTTP/1.1\r\nContent-Length: 5000\r\n\r\n")
                 .find("\"body_too_large\"") != std::string::npos);
  BOOST_TEST(this->HasCounted("body_too_large"));
}

// Guards against a body that is read as the next request, because its transfer
// coding is not decoded.
BOOST_FIXTURE_TEST_CASE(ReadsARequestThatIsHiddenInABody, Fixture) {
  for (const std::string coding : {"identity", "chunked, identity", "gzip"}) {
    const std::string response =
        this->Send("POST / HTTP/1.1\r\nTransfer-Encoding: " + coding +
                   "\r\n\r\nGET /hidden HTTP/1.1\r\nConnection: close\r\n\r\n");
    BOOST_TEST(response.find("\"malformed_http\"") != std::string::npos);
    BOOST_TEST(response.find("HTTP/1.1 200") == std::string::npos);
  }
}

// Guards against a process that keeps all bytes of a line with the size of a
// chunk, or of a trailer field, that never ends.
BOOST_FIXTURE_TEST_CASE(RefusesEndlessFramingOfARequest, Fixture) {
  for (const std::string_view start : {"1;", "0\r\nX-Filler: "}) {
    std::string request =
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    request += start;
    request.append(4 << 20, 'x');
    BOOST_TEST(this->Send(request).find("\"malformed_http\"") !=
               std::string::npos);
  }
}

// Guards against a connection that stays open for ever because its caller stops
// sending in the middle of a request.
BOOST_FIXTURE_TEST_CASE(ClosesConnectionOfStalledSender, Fixture) {
  BOOST_TEST(
      this->Send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc").empty());
  // The timer closes the connection before the server counts the refusal.
  for (int i = 0; i < 2000 && !this->HasCounted("sender_stalled"); ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  BOOST_TEST(this->HasCounted("sender_stalled"));
}

// Guards against a request that blocks or gets no response because the queue is
// full.
BOOST_FIXTURE_TEST_CASE(RespondsWhenQueueIsFull, Fixture) {
  this->accept_requests = false;
  const std::string response =
      this->Send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  BOOST_TEST(response.find("503") != std::string::npos);
  BOOST_TEST(response.find("\"executed\":\"no\"") != std::string::npos);
  BOOST_TEST(this->HasCounted("ring_full"));
}

// Guards against work that continues after the caller has disconnected during a
// stream, and against a response that accumulates in memory because its caller
// reads slowly: Write suspends the fiber while nobody reads.
BOOST_FIXTURE_TEST_CASE(DetectsDisconnectDuringStream, Fixture) {
  {
    Tcp::socket socket(this->client);
    socket.connect(this->server.LocalEndpoint());
    asio::write(socket,
                asio::buffer(std::string_view("GET /stream HTTP/1.1\r\n\r\n")));
    std::array<char, 1000> part{};
    BOOST_TEST(asio::read(socket, asio::buffer(part)) == part.size());
  }
  BOOST_TEST((this->disconnected.get_future().wait_for(
                  std::chrono::seconds(30)) == std::future_status::ready));
}

// Guards against a planned stop that resets connections opened before it whose
// requests arrive after it.
BOOST_FIXTURE_TEST_CASE(ServesOpenConnectionsAfterStop, Fixture) {
  const Tcp::endpoint address = this->server.LocalEndpoint();
  std::vector<Tcp::socket> sockets;
  for (int i = 0; i < 3; ++i) {
    sockets.emplace_back(this->client).connect(address);
  }
  this->server.StopAccepting();
  for (Tcp::socket& socket : sockets) {
    BOOST_TEST(!this->server.IsClosed());
    asio::write(socket,
                asio::buffer(std::string_view("GET / HTTP/1.1\r\n\r\n")));
    std::string response;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(response), error);
    BOOST_TEST(response.find("200 OK") != std::string::npos);
  }
  Tcp::socket late(this->client);
  boost::system::error_code refused;
  late.connect(address, refused);
  BOOST_TEST(refused.failed());
}

}  // namespace
}  // namespace pimentospar
