#define BOOST_TEST_MODULE http_connection
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "net/http_client.h"

namespace pimentospar {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

// Guards against a client that reopens a closed connection, which would send an
// order to a restarted engine, and against a request that is reported as not
// sent although bytes were sent.
BOOST_AUTO_TEST_CASE(NeverReplacesClosedConnection) {
  asio::io_context context;
  Tcp::acceptor acceptor(context,
                         Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  const auto serve = [&](int responses) {
    Tcp::socket socket(context);
    acceptor.accept(socket);
    std::string data;
    for (int call = 0; call <= responses; ++call) {
      data.erase(
          0, asio::read_until(socket, asio::dynamic_buffer(data), "\r\n\r\n"));
      if (call < responses) {
        asio::write(socket, asio::buffer(std::string(
                                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
                                "ok")));
      }
    }
  };
  IoThread io;
  HttpClient client(io);
  const Address address = FromEndpoint(acceptor.local_endpoint());
  HttpConnection connection(client, address, 1);
  const SystemClock clock;
  const auto fetch = [&] {
    return connection.Fetch({.path = "/"},
                            clock.Now() + std::chrono::seconds(20));
  };
  std::thread server(serve, 2);
  BOOST_TEST(fetch().body == "ok");
  BOOST_TEST(fetch().body == "ok");
  const HttpResult interrupted = fetch();
  server.join();
  BOOST_TEST(!interrupted.complete);
  BOOST_TEST((interrupted.progress == HttpProgress::kMaybeSent));
  BOOST_TEST((fetch().progress == HttpProgress::kNotSent));
  acceptor.non_blocking(true);
  Tcp::socket socket(context);
  boost::system::error_code error;
  acceptor.accept(socket, error);
  BOOST_TEST((error == asio::error::would_block));
}

// Guards against a process that keeps all bytes of a response whose framing
// never ends until the deadline of the call.
BOOST_AUTO_TEST_CASE(EndsAResponseWithEndlessFraming) {
  asio::io_context context;
  Tcp::acceptor acceptor(context,
                         Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  std::thread server([&] {
    Tcp::socket socket(context);
    acceptor.accept(socket);
    boost::system::error_code error;
    std::string data;
    asio::read_until(socket, asio::dynamic_buffer(data), "\r\n\r\n", error);
    asio::write(socket, asio::buffer(std::string(
                            "HTTP/1.1 200 OK\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n1;")));
    const std::string filler(1 << 20, 'x');
    for (int i = 0; i < 16 && !error; ++i) {
      asio::write(socket, asio::buffer(filler), error);
    }
    // Waits until the client closes the connection.
    asio::read(socket, asio::dynamic_buffer(data), error);
  });
  IoThread io;
  HttpClient client(io);
  const SystemClock clock;
  const HttpResult result = client.Fetch(
      {.address = FromEndpoint(acceptor.local_endpoint()), .path = "/"},
      clock.Now() + std::chrono::seconds(5));
  server.join();
  BOOST_TEST(!result.complete);
  BOOST_TEST(result.error != "deadline");
}

}  // namespace
}  // namespace pimentospar
