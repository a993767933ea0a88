#define BOOST_TEST_MODULE http_connection
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

}  // namespace
}  // namespace pimentospar
