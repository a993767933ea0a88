#define BOOST_TEST_MODULE odd_registration
#include <boost/test/unit_test.hpp>

#include "fleet.h"
#include "request_handler_fixture.h"

// Registrations that another writer left among those of the targets.
namespace pimentospar {
namespace {

using test::Contains;
using test::Eventually;
using test::Fleet;
using test::RawConnection;
using test::ScriptedTarget;

constexpr std::string_view kConfig =
    R"({"version":1,"services":[{"name":"s"}],"routes":[)"
    R"({"name":"call","host":"a.example","path_prefix":"/call/",)"
    R"("kind":"safe","service":"s","attempts":2,)"
    R"("timeout_ms":4000,"goal_ms":1000}]})";

std::string Nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

std::string WithField(const std::string& name, const std::string& value) {
  return R"({"service":"s","addr":"127.0.0.1:9","zone":"d","state":"ready",")" +
         name + "\":" + value + "}";
}

std::vector<std::string> OddRegistrations() {
  return {
      Nested(100000),
      R"({"models":)" + Nested(100000) + "}",
      WithField("models", Nested(31)),
      WithField("slots", "1e300"),
      WithField("slots", "-1e300"),
      WithField("slots", "99999999999999999999999"),
      WithField("slots", "1e999999"),
      WithField("born", "1e300"),
      WithField("born", "-1e300"),
      WithField("born", "\"soon\""),
      WithField("addr", R"("127.0.0.1:70000")"),
      WithField("addr", R"("127.0.0.1:0")"),
      WithField("addr", R"("127.0.0.1:-1")"),
      WithField("addr", "7"),
      WithField("state", "\"lost\""),
      WithField("service", "null"),
      "\xff\xfe",
      "null",
      "[]",
      "{",
  };
}

// An entry that follows the registrations, and one sound target.
class OddRegistrationFixture {
 public:
  OddRegistrationFixture() : fleet(Fleet::Create()) {
    this->fleet.SetConfig(std::string(kConfig));
    const Gateway& entry = this->fleet.Start("h0", 0.2);
    BOOST_TEST(Eventually([&] { return entry.IsReady(); }));
  }

  void Register(const std::string& name, const std::string& registration) {
    (void)this->fleet.log.AppendKeyed(this->fleet.registry.TargetStream(), name,
                                      registration);
  }

  std::string Send() {
    RawConnection caller(this->fleet.gateways.front()->CallerAddress());
    caller.Write(
        "GET /call/1 HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
        "X-Pimentospar-Request-Id: r1\r\n\r\n");
    return caller.ReadAll();
  }

  Fleet& fleet;
  ScriptedTarget& target = *new ScriptedTarget(test::Echo);
};

BOOST_AUTO_TEST_CASE(EntryStopsFollowingTargetsAtAnOddRegistration) {
  OddRegistrationFixture fixture;
  std::size_t number = 0;
  for (const std::string& odd : OddRegistrations()) {
    fixture.Register("odd" + std::to_string(++number), odd);
  }
  fixture.fleet.AddTarget("t", "s", fixture.target.Address());
  BOOST_TEST(Eventually([&] { return Contains(fixture.Send(), "200 OK"); }));
  // An entry that starts later reads them all at once.
  const Gateway& later = fixture.fleet.Start("h1", 0.2);
  BOOST_TEST(Eventually([&] { return later.IsReady(); }));
}

// A number out of range became a start time that no incarnation exceeds.
BOOST_AUTO_TEST_CASE(TargetStaysLostAfterAnOddRegistrationUnderItsName) {
  for (const std::string& odd : OddRegistrations()) {
    OddRegistrationFixture fixture;
    fixture.fleet.AddTarget("t", "s", fixture.target.Address());
    BOOST_TEST(Eventually([&] { return Contains(fixture.Send(), "200 OK"); }));
    fixture.Register("t", odd);
    fixture.fleet.AddTarget("t", "s", fixture.target.Address());
    BOOST_TEST(Eventually([&] { return Contains(fixture.Send(), "200 OK"); }),
               odd.substr(0, 100));
  }
}

BOOST_AUTO_TEST_CASE(RegistrationsWithNumbersOutOfRangeAreTaken) {
  const platform::PlatformRegistryFormat registry{{}};
  std::size_t number = 0;
  for (const std::string& odd : OddRegistrations()) {
    ++number;
    const bool is_taken = static_cast<bool>(
        registry.DecodeTarget(TargetId("t" + std::to_string(number)), odd));
    BOOST_TEST(!is_taken, odd.substr(0, 100));
  }
}

// The name of a target becomes a header of the requests to it.
BOOST_AUTO_TEST_CASE(NameOfATargetAddsAHeader) {
  const platform::PlatformRegistryFormat registry{{}};
  const std::string sound = WithField("slots", "1");
  BOOST_TEST(static_cast<bool>(registry.DecodeTarget(TargetId("i-1"), sound)));
  for (const std::string_view name : {"i-1\r\nX-Other: 1", "", "a b", "\xff"}) {
    const bool is_taken =
        static_cast<bool>(registry.DecodeTarget(TargetId(name), sound));
    BOOST_TEST(!is_taken, name);
  }
}

}  // namespace
}  // namespace pimentospar
