#define BOOST_TEST_MODULE caller_server
#include "gateway/caller_server.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>

#include "net/bounded_log_sink.h"
#include "support.h"

namespace pimentospar {
namespace {

using test::Contains;
using test::Eventually;
using test::Loop;
using test::RawConnection;

constexpr std::string_view kRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

// A server and its handler. Fixtures live until the program exits, since the
// fibers of their connections refer to them.
struct ServerFixture {
  ServerFixture()
      : server(Loop(),
               this->timers,
               this->clock,
               Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0),
               [this](CallerRequest&, CallerChannel& channel) {
                 while (this->is_blocked) {
                   (void)this->unblocked.WaitFor(std::chrono::milliseconds(50));
                 }
                 return channel.SendResponse(
                     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "ok");
               }) {
    this->server.Start();
  }

  static ServerFixture& Create() {
    static std::vector<std::unique_ptr<ServerFixture>> all;
    all.push_back(std::make_unique<ServerFixture>());
    return *all.back();
  }

  SystemClock clock;
  TimerQueue timers{Loop(), clock};
  bool is_blocked = false;
  FiberSignal unblocked;
  CallerServer server;
};

BOOST_AUTO_TEST_CASE(KeepsAConnectionForFurtherRequests) {
  ServerFixture& fixture = ServerFixture::Create();
  RawConnection caller(fixture.server.LocalAddress());
  for (int i = 0; i < 3; ++i) {
    caller.text.clear();
    caller.Write(kRequest);
    BOOST_TEST(caller.ReadUntil("ok"));
  }
}

// The response to a request that began before the drain does not ask the caller
// to close. Unless the server closes the connection, the caller sends its next
// request to a process that is stopping.
BOOST_AUTO_TEST_CASE(ClosesABusyConnectionAfterItsAnswerWhenDraining) {
  ServerFixture& fixture = ServerFixture::Create();
  fixture.is_blocked = true;
  RawConnection caller(fixture.server.LocalAddress());
  caller.Write(kRequest);
  BOOST_TEST(Eventually([&] { return fixture.server.ActiveRequests() == 1; }));
  fixture.server.BeginDrain();
  fixture.is_blocked = false;
  fixture.unblocked.NotifyAll();
  BOOST_TEST(caller.ReadAll().ends_with("ok"));
  BOOST_TEST(fixture.server.ActiveRequests() == 0U);
}

BOOST_AUTO_TEST_CASE(ClosesIdleConnections) {
  ServerFixture& fixture = ServerFixture::Create();
  RawConnection caller(fixture.server.LocalAddress());
  caller.Write(kRequest);
  BOOST_TEST(caller.ReadUntil("ok"));
  Loop().Spawn([&fixture] {
    boost::this_fiber::sleep_for(std::chrono::milliseconds(5));
    fixture.server.CloseIdle();
  });
  (void)caller.ReadAll();
}

BOOST_AUTO_TEST_CASE(RefusesTooLargeHeadersAndBodies) {
  ServerFixture& fixture = ServerFixture::Create();
  CallerLimits limits;
  limits.max_header_bytes = 200;
  limits.max_body_bytes = 10;
  fixture.server.SetLimits(limits);
  RawConnection header(fixture.server.LocalAddress());
  header.Write("GET / HTTP/1.1\r\nX: " + std::string(300, 'x') + "\r\n\r\n");
  BOOST_TEST(header.ReadAll().starts_with("HTTP/1.1 431"));
  RawConnection body(fixture.server.LocalAddress());
  body.Write("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n");
  BOOST_TEST(body.ReadAll().starts_with("HTTP/1.1 413"));
}

// A caller that sends its head or its body too slowly met a closed connection.
BOOST_AUTO_TEST_CASE(SlowRequestGetsNoAnswer) {
  ServerFixture& fixture = ServerFixture::Create();
  CallerLimits limits;
  limits.header_timeout = std::chrono::milliseconds(100);
  limits.idle_timeout = std::chrono::milliseconds(100);
  fixture.server.SetLimits(limits);
  for (const std::string_view part :
       {"POST / HTTP/1.1\r\nHost",
        "POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\nx"}) {
    RawConnection caller(fixture.server.LocalAddress());
    caller.Write(part);
    BOOST_TEST(caller.ReadAll().starts_with("HTTP/1.1 408"), caller.text);
  }
}

// The line with the size of a chunk, or a trailer field, of a request never
// ends. The server kept all bytes of it.
BOOST_AUTO_TEST_CASE(EndsEndlessFramingOfARequest) {
  ServerFixture& fixture = ServerFixture::Create();
  constexpr std::size_t kMaxSentBytes = 16ULL << 20;
  constexpr std::size_t kMaxReadBytes = 8ULL << 20;
  for (const std::string_view start : {"1;", "0\r\nX-Filler: "}) {
    RawConnection caller(fixture.server.LocalAddress());
    caller.Write(
        "POST / HTTP/1.1\r\nHost: a\r\n"
        "Transfer-Encoding: chunked\r\n\r\n");
    caller.Write(start);
    std::size_t sent = 0;
    while (sent < kMaxSentBytes && caller.IsOpen()) {
      caller.Write(std::string(64 << 10, 'x'));
      sent += 64 << 10;
    }
    BOOST_TEST(sent < kMaxReadBytes);
  }
}

// Many callers send large bodies and hold back the last byte. Nothing limited
// the memory of all of them together, and the process was killed.
BOOST_AUTO_TEST_CASE(BodiesOfManyCallersExceedTheMemory) {
  ServerFixture& fixture = ServerFixture::Create();
  constexpr std::size_t kBodyBytes = 4UL << 20;
  constexpr std::size_t kCallers = 40;
  CallerLimits limits;
  limits.max_body_bytes = kBodyBytes;
  fixture.server.SetLimits(limits);
  const std::string head =
      "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(kBodyBytes) +
      "\r\n\r\n";
  std::vector<std::unique_ptr<RawConnection>> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(
        std::make_unique<RawConnection>(fixture.server.LocalAddress()));
    callers.back()->Write(head + std::string(kBodyBytes - 1, 'x'));
  }
  std::size_t served = 0;
  std::size_t refused = 0;
  for (const auto& caller : callers) {
    caller->Write("x");
    if (!caller->IsOpen()) {
      ++refused;
      continue;
    }
    (void)caller->ReadUntil("\r\n\r\n");
    served += caller->text.starts_with("HTTP/1.1 200") ? 1 : 0;
    refused += caller->text.starts_with("HTTP/1.1 503") ? 1 : 0;
  }
  // 64 MB for all bodies; those of served requests make room for others.
  BOOST_TEST(served >= 15U);
  BOOST_TEST(refused >= 20U);
  BOOST_TEST(served + refused == kCallers);
  callers.clear();
  RawConnection next(fixture.server.LocalAddress());
  next.Write(kRequest);
  BOOST_TEST(next.ReadUntil("ok"));
}

// A log reader that stops reading must not block the program. Lines that do not
// fit are dropped, and their number is logged when the reader resumes.
BOOST_AUTO_TEST_CASE(LogNeverBlocksOnItsReader) {
  int ends[2];
  BOOST_REQUIRE(pipe(ends) == 0);
  BoundedLogSink log(ends[1], 100'000);
  const std::string line(100, 'x');
  for (int i = 0; i < 10'000; ++i) {
    log.log(spdlog::details::log_msg("", spdlog::level::info, line));
    log.WritePending();
  }
  BOOST_TEST(log.DroppedLines() > 1000U);
  std::string read(4'000'000, '\0');
  std::string all;
  while (!Contains(all, "event=log_lines_dropped total=")) {
    const ssize_t size = ::read(ends[0], read.data(), read.size());
    BOOST_REQUIRE(size > 0);
    all.append(read, 0, static_cast<std::size_t>(size));
    log.WritePending();
  }
  ::close(ends[0]);
  ::close(ends[1]);
}

}  // namespace
}  // namespace pimentospar
