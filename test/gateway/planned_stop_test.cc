#define BOOST_TEST_MODULE planned_stop
#include <boost/test/unit_test.hpp>

#include "fleet.h"
#include "request_handler_fixture.h"

// A process that is asked to stop answers every request that reaches it.
namespace pimentospar {
namespace {

using std::chrono::milliseconds;
using test::Contains;
using test::Eventually;
using test::Fleet;
using test::Loop;
using test::RawConnection;
using test::ScriptedTarget;

constexpr std::string_view kConfig =
    R"({"version":1,"services":[{"name":"s"}],"routes":[)"
    R"({"name":"r","host":"a.example","path_prefix":"/call/","kind":"unsafe",)"
    R"("service":"s","attempts":1,"timeout_ms":20000,"goal_ms":1000}]})";
constexpr std::string_view kHead =
    "POST /call/1 HTTP/1.1\r\nHost: a.example\r\n"
    "X-Pimentospar-Request-Id: r1\r\nContent-Length: 8\r\n\r\n";
// The balancer has taken an entry out this long after the stop signal.
constexpr milliseconds kBalancerRemovalTime{2300};

void SleepFor(Duration time) {
  boost::this_fiber::sleep_for(time);
}

// One entry in calm, with one target, that is asked to stop.
struct StoppingEntry {
  explicit StoppingEntry(ScriptedTarget::Script script,
                         milliseconds grace_time = milliseconds(8000))
      : target(std::move(script)),
        fleet(Fleet::Create()),
        entry(fleet.Start("h", 0.5, grace_time)) {
    this->fleet.AddTarget("t", "s", this->target.Address());
    this->fleet.SetConfig(std::string(kConfig));
    BOOST_TEST(Eventually([&] { return this->entry.IsReady(); }));
  }

  void BeginStop() {
    Loop().Spawn([this] {
      this->entry.Drain();
      this->stopped = true;
    });
    SleepFor(milliseconds(5));
  }

  ScriptedTarget target;
  Fleet& fleet;
  Gateway& entry;
  bool stopped = false;
};

ScriptedTarget::Script Silent() {
  return [](RawConnection& connection, const std::string&) {
    (void)connection.ReadUntil("never");
    return false;
  };
}

// The head and half of the body had arrived at the stop signal. The process
// counted complete requests only, and exited while it read this one.
BOOST_AUTO_TEST_CASE(StopCutsOffARequestThatIsBeingRead) {
  StoppingEntry stopping(test::Echo);
  RawConnection caller(stopping.entry.CallerAddress());
  caller.Write(kHead);
  caller.Write("half");
  SleepFor(milliseconds(20));
  stopping.BeginStop();
  SleepFor(kBalancerRemovalTime + milliseconds(400));
  BOOST_TEST(!stopping.stopped);
  caller.Write("rest");
  BOOST_TEST(caller.ReadAll().starts_with("HTTP/1.1 200"));
  BOOST_TEST(stopping.target.Requests().size() == 1U);
  BOOST_TEST(Eventually([&] { return stopping.stopped; }));
}

// The rest of a request comes when no target could finish it in time. It is
// refused, with the promise that it has not run.
BOOST_AUTO_TEST_CASE(StopLeavesALateRequestWithoutAnAnswer) {
  StoppingEntry stopping(test::Echo);
  RawConnection caller(stopping.entry.CallerAddress());
  caller.Write(kHead);
  caller.Write("half");
  SleepFor(milliseconds(20));
  stopping.BeginStop();
  SleepFor(milliseconds(3500));
  BOOST_TEST(!stopping.stopped);
  caller.Write("rest");
  const std::string& response = caller.ReadAll();
  BOOST_TEST(response.starts_with("HTTP/1.1 503"), response);
  BOOST_TEST(Contains(response, "Retry-After: "), response);
  BOOST_TEST(stopping.target.Requests().empty());
}

// A request that is still being read when the grace time ends was closed.
BOOST_AUTO_TEST_CASE(EndOfTheGraceTimeClosesARequestThatIsBeingRead) {
  StoppingEntry stopping(test::Echo, milliseconds(3500));
  RawConnection caller(stopping.entry.CallerAddress());
  caller.Write(kHead);
  caller.Write("half");
  SleepFor(milliseconds(20));
  stopping.BeginStop();
  const std::string& response = caller.ReadAll();
  BOOST_TEST(response.starts_with("HTTP/1.1 503"), response);
  BOOST_TEST(stopping.target.Requests().empty());
  BOOST_TEST(Eventually([&] { return stopping.stopped; }));
}

// A request that may not be repeated was at a target when the grace time ended.
// Its connection was closed without an answer.
BOOST_AUTO_TEST_CASE(EndOfTheGraceTimeLeavesARequestWithoutAnAnswer) {
  StoppingEntry stopping(Silent(), milliseconds(3500));
  RawConnection caller(stopping.entry.CallerAddress());
  caller.Write(kHead);
  caller.Write("halfrest");
  BOOST_TEST(Eventually([&] { return !stopping.target.Requests().empty(); }));
  stopping.BeginStop();
  BOOST_TEST(caller.ReadUntil("\r\n\r\n"));
  // It may have run, so that no status may promise that it has not.
  BOOST_TEST(caller.text.starts_with("HTTP/1.1 502"), caller.text);
  BOOST_TEST(Contains(caller.text, "Connection: close"), caller.text);
  BOOST_TEST(Eventually([&] { return stopping.stopped; }));
}

// A caller has just connected when the process is about to exit. Its request
// met a closed connection.
BOOST_AUTO_TEST_CASE(StopClosesANewConnectionBeforeItsRequestArrives) {
  StoppingEntry stopping(test::Echo);
  stopping.BeginStop();
  SleepFor(kBalancerRemovalTime - milliseconds(20));
  RawConnection caller(stopping.entry.CallerAddress());
  SleepFor(milliseconds(120));
  caller.Write(kHead);
  caller.Write("halfrest");
  BOOST_TEST(caller.ReadAll().starts_with("HTTP/1.1 200"));
  BOOST_TEST(Eventually([&] { return stopping.stopped; }));
}

}  // namespace
}  // namespace pimentospar
