#define BOOST_TEST_MODULE front
#include "gateway/front.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>

#include "net/bounded_log.h"
#include "support.h"

namespace pimentospar {
namespace {

using test::Contains;
using test::Eventually;
using test::Loop;
using test::RawConnection;

constexpr std::string_view kRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

// A front and its handler; kept until the program ends, like their fibers.
struct World {
  World()
      : front(Loop(),
              this->alarms,
              Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0),
              [this](CallerRequest&, CallerChannel& channel) {
                while (this->held) {
                  (void)this->released.WaitFor(std::chrono::milliseconds(50));
                }
                return channel.SendWhole(
                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "ok");
              }) {
    this->front.Start();
  }

  static World& Create() {
    static std::vector<std::unique_ptr<World>> all;
    all.push_back(std::make_unique<World>());
    return *all.back();
  }

  SystemClock clock;
  Alarms alarms{Loop(), clock};
  bool held = false;
  FiberSignal released;
  Front front;
};

BOOST_AUTO_TEST_CASE(KeepsAConnectionForFurtherRequests) {
  World& world = World::Create();
  RawConnection caller(world.front.LocalAddress());
  for (int i = 0; i < 3; ++i) {
    caller.text.clear();
    caller.Write(kRequest);
    BOOST_TEST(caller.ReadUntil("ok"));
  }
}

// A request that began before the drain was not told to close, and its caller
// would send the next one into a process that stops.
BOOST_AUTO_TEST_CASE(ClosesABusyConnectionAfterItsAnswerWhenDraining) {
  World& world = World::Create();
  world.held = true;
  RawConnection caller(world.front.LocalAddress());
  caller.Write(kRequest);
  BOOST_TEST(Eventually([&] { return world.front.InFlight() == 1; }));
  world.front.BeginDrain();
  world.held = false;
  world.released.NotifyAll();
  BOOST_TEST(caller.ReadAll().ends_with("ok"));
  BOOST_TEST(world.front.InFlight() == 0U);
}

BOOST_AUTO_TEST_CASE(ClosesIdleConnections) {
  World& world = World::Create();
  RawConnection caller(world.front.LocalAddress());
  caller.Write(kRequest);
  BOOST_TEST(caller.ReadUntil("ok"));
  Loop().Spawn([&world] {
    boost::this_fiber::sleep_for(std::chrono::milliseconds(5));
    world.front.CloseIdle();
  });
  (void)caller.ReadAll();
}

BOOST_AUTO_TEST_CASE(RefusesTooLargeHeadersAndBodies) {
  World& world = World::Create();
  CallerLimits limits;
  limits.max_header_bytes = 200;
  limits.max_body_bytes = 10;
  world.front.SetLimits(limits);
  RawConnection header(world.front.LocalAddress());
  header.Write("GET / HTTP/1.1\r\nX: " + std::string(300, 'x') + "\r\n\r\n");
  BOOST_TEST(header.ReadAll().starts_with("HTTP/1.1 431"));
  RawConnection body(world.front.LocalAddress());
  body.Write("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n");
  BOOST_TEST(body.ReadAll().starts_with("HTTP/1.1 413"));
}

// A reader of the log that has stopped reading holds nothing up; the lines that
// find no room are counted and told once it reads again.
BOOST_AUTO_TEST_CASE(LogNeverWaitsForItsReader) {
  int ends[2];
  BOOST_REQUIRE(pipe(ends) == 0);
  BoundedLog log(ends[1], 100'000);
  const std::string line(100, 'x');
  for (int i = 0; i < 10'000; ++i) {
    log.log(spdlog::details::log_msg("", spdlog::level::info, line));
    log.WritePending();
  }
  BOOST_TEST(log.Dropped() > 1000U);
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
