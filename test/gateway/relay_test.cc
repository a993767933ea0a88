#define BOOST_TEST_MODULE relay
#include "gateway/relay.h"

#include <boost/test/unit_test.hpp>

#include "platform/headers.h"
#include "support.h"

namespace pimentospar {
namespace {

using test::Contains;
using test::Count;
using test::Eventually;
using test::Loop;
using test::RawConnection;
using test::ScriptedTarget;

constexpr std::string_view kStamp = "X-Pimentospar-Response-Stamp: s\r\n";

std::string IdOf(const std::string& request) {
  const std::string name = "X-Pimentospar-Request-Id: ";
  const auto at = request.find(name);
  if (at == std::string::npos) {
    return {};
  }
  return request.substr(at + name.size(),
                        request.find('\r', at) - at - name.size());
}

std::string Answer(const std::string& id,
                   std::string_view body,
                   std::string_view extra = kStamp,
                   std::string_view status = "200 OK") {
  return "HTTP/1.1 " + std::string(status) +
         "\r\nX-Pimentospar-Request-Id: " + id + "\r\n" + std::string(extra) +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         std::string(body);
}

std::string StreamHead(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nX-Pimentospar-Request-Id: " + id + "\r\n" +
         std::string(kStamp) +
         "Content-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string Chunk(std::string_view data) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", data.size());
  return size + std::string(data) + "\r\n";
}

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

RouteSpec Route(std::string prefix, RequestKind kind, bool resumable = false) {
  RouteSpec route;
  route.name = prefix;
  route.host = "a.example";
  route.path_prefix = std::move(prefix);
  route.kind = kind;
  route.timeout = std::chrono::seconds(20);
  route.latency_goal = std::chrono::seconds(1);
  route.services = {{ServiceId("s"), 1}};
  route.max_attempts = 2;
  route.resumable = resumable;
  return route;
}

// An entry in front of scripted targets of one plain service.
class Fixture {
 public:
  Fixture()
      : front(Loop(),
              this->alarms,
              Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0),
              [this](CallerRequest& request, CallerChannel& channel) {
                return Relay(this->parts, request, channel).Run();
              }) {
    RoutingConfig config;
    config.version = {1};
    config.routes = {Route("/safe/", RequestKind::kSafe),
                     Route("/unsafe/", RequestKind::kUnsafe),
                     Route("/stream/", RequestKind::kStream, true),
                     Route("/once/", RequestKind::kStream)};
    config.services = {{ServiceId("s"), std::nullopt}};
    this->table = std::make_shared<const RouteTable>(config);
    this->front.Start();
  }

  void Add(const std::string& name, const ScriptedTarget& target) {
    TargetDescription description;
    description.id = TargetId(name);
    description.service = ServiceId("s");
    description.address = target.Address();
    description.slots = 4;
    this->board.OnTarget(description);
  }

  std::string Ask(std::string_view line,
                  std::string_view headers = "",
                  std::string_view body = "") {
    RawConnection caller(this->front.LocalAddress());
    caller.Write(Request(line, headers, body));
    return caller.ReadAll();
  }

  static std::string Request(std::string_view line,
                             std::string_view headers = "",
                             std::string_view body = "") {
    std::string text = std::string(line) +
                       " HTTP/1.1\r\nHost: a.example\r\n"
                       "X-Pimentospar-Request-Id: r1\r\nConnection: close\r\n" +
                       std::string(headers);
    if (!body.empty()) {
      text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + std::string(body);
  }

  SystemClock clock;
  SeededRandom random{3};
  Alarms alarms{Loop(), clock};
  UpstreamPool pool{Loop(), alarms, clock, {}};
  platform::Headers headers;
  TargetSelector board{clock, random, {}};
  FiberSignal board_changed;
  SharedRetryBudget retries{clock, {0.2, std::chrono::seconds(10), 50, 1.0}};
  StreamLengthEstimator lengths;
  CopyInterest interest;
  Metrics metrics;
  std::shared_ptr<const RouteTable> table;
  RelayParts parts{clock,
                   random,
                   alarms,
                   pool,
                   headers,
                   board,
                   board_changed,
                   retries,
                   lengths,
                   interest,
                   metrics,
                   [this] { return this->table; },
                   [] { return std::size_t{1}; }};
  Front front;
};

bool Echo(RawConnection& connection, const std::string& request) {
  connection.Write(Answer(IdOf(request), "body"));
  return true;
}

BOOST_FIXTURE_TEST_CASE(ForwardsRequestAndAnswer, Fixture) {
  ScriptedTarget target(Echo);
  this->Add("t", target);
  const std::string answer =
      this->Ask("POST /unsafe/1?q=2",
                "X-Other: kept\r\nX-Pimentospar-Hold: mine\r\nTE: x\r\n"
                "X-Pimentospar-Deadline-Ms: 2000\r\n",
                "hello");
  BOOST_TEST(answer.starts_with("HTTP/1.1 200 OK\r\n"), answer);
  BOOST_TEST(answer.ends_with("\r\n\r\nbody"), answer);
  BOOST_TEST(Contains(answer, kStamp), answer);
  BOOST_REQUIRE(target.Requests().size() == 1U);
  const std::string& sent = target.Requests()[0];
  BOOST_TEST(sent.starts_with("POST /unsafe/1?q=2 HTTP/1.1\r\n"), sent);
  BOOST_TEST(sent.ends_with("\r\n\r\nhello"), sent);
  BOOST_TEST(Contains(sent, "X-Other: kept\r\n"), sent);
  BOOST_TEST(Contains(sent, "X-Pimentospar-Expect-Instance: t\r\n"), sent);
  BOOST_TEST(!Contains(sent, "X-Pimentospar-Hold"), sent);
  BOOST_TEST(!Contains(sent, "TE: x"), sent);
  BOOST_TEST(!Contains(sent, "Connection"), sent);
  BOOST_TEST(Count(sent, "X-Pimentospar-Deadline-Ms: ") == 1U, sent);
  BOOST_TEST(!Contains(sent, "Deadline-Ms: 20000"), sent);
}

BOOST_FIXTURE_TEST_CASE(RefusesWithoutAConfiguration, Fixture) {
  this->table = nullptr;
  const std::string answer = this->Ask("GET /safe/1");
  BOOST_TEST(answer.starts_with("HTTP/1.1 503"), answer);
  BOOST_TEST(Contains(answer, "Retry-After: 2.000"), answer);
}

BOOST_FIXTURE_TEST_CASE(FindsNoRoute, Fixture) {
  BOOST_TEST(this->Ask("GET /nowhere/1").starts_with("HTTP/1.1 404"));
}

BOOST_FIXTURE_TEST_CASE(RefusesSmuggledLengths, Fixture) {
  ScriptedTarget target(Echo);
  this->Add("t", target);
  const std::string answer = this->Ask(
      "POST /unsafe/1", "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n");
  BOOST_TEST(answer.starts_with("HTTP/1.1 400"), answer);
  BOOST_TEST(target.Requests().empty());
}

BOOST_FIXTURE_TEST_CASE(RepeatsASafeRequestElsewhere, Fixture) {
  ScriptedTarget broken(
      [](RawConnection& connection, const std::string& request) {
        connection.Write(Answer(IdOf(request), "whole").substr(0, 60));
        return false;
      });
  ScriptedTarget good(Echo);
  this->Add("broken", broken);
  this->Add("good", good);
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(this->Ask("GET /safe/1").starts_with("HTTP/1.1 200"));
  }
  BOOST_TEST(!broken.Requests().empty());
}

BOOST_FIXTURE_TEST_CASE(RunsAnUnsafeRequestOnce, Fixture) {
  ScriptedTarget first(
      [](RawConnection&, const std::string&) { return false; });
  ScriptedTarget second(
      [](RawConnection&, const std::string&) { return false; });
  this->Add("first", first);
  this->Add("second", second);
  const std::string answer = this->Ask("POST /unsafe/1", "", "x");
  BOOST_TEST(answer.starts_with("HTTP/1.1 502"), answer);
  BOOST_TEST(first.Requests().size() + second.Requests().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(SendsAnUnsafeRequestOnAfterATrueRefusal, Fixture) {
  const auto refuse = [](RawConnection& connection,
                         const std::string& request) {
    connection.Write(Answer(IdOf(request), "", "X-Pimentospar-Not-Run: 1\r\n",
                            "503 Service Unavailable"));
    return true;
  };
  ScriptedTarget full(refuse);
  ScriptedTarget full_too(refuse);
  this->Add("full", full);
  this->Add("full_too", full_too);
  const std::string refused = this->Ask("POST /unsafe/1", "", "x");
  BOOST_TEST(refused.starts_with("HTTP/1.1 503"), refused);
  BOOST_TEST(Contains(refused, "Retry-After"), refused);
  BOOST_TEST(full.Requests().size() == 1U);
  BOOST_TEST(full_too.Requests().size() == 1U);
  ScriptedTarget good(Echo);
  this->Add("good", good);
  BOOST_TEST(this->Ask("POST /unsafe/1", "", "x").starts_with("HTTP/1.1 200"));
}

BOOST_FIXTURE_TEST_CASE(ReadsPastAnExtraAnswer, Fixture) {
  ScriptedTarget target(
      [](RawConnection& connection, const std::string& request) {
        connection.Write(Answer("another", "wrong") +
                         Answer(IdOf(request), "right"));
        return true;
      });
  this->Add("t", target);
  const std::string answer = this->Ask("POST /unsafe/1", "", "x");
  BOOST_TEST(answer.ends_with("\r\n\r\nright"), answer);
  BOOST_TEST(!Contains(answer, "wrong"), answer);
}

BOOST_FIXTURE_TEST_CASE(NeverPassesOnAnUnsignedSuccess, Fixture) {
  ScriptedTarget target(
      [](RawConnection& connection, const std::string& request) {
        connection.Write(Answer(IdOf(request), "forged", ""));
        return true;
      });
  this->Add("t", target);
  const std::string answer = this->Ask("POST /unsafe/1", "", "x");
  BOOST_TEST(answer.starts_with("HTTP/1.1 502"), answer);
}

BOOST_FIXTURE_TEST_CASE(TakesAnAnswerWithoutLengthOnlyIfItEndsCleanly,
                        Fixture) {
  bool clean = true;
  ScriptedTarget target(
      [&](RawConnection& connection, const std::string& request) {
        connection.Write(
            "HTTP/1.1 200 OK\r\nX-Pimentospar-Request-Id: " + IdOf(request) +
            "\r\n" + std::string(kStamp) + "\r\nunframed");
        if (!clean) {
          connection.Reset();
        }
        return false;
      });
  this->Add("t", target);
  const std::string whole = this->Ask("POST /unsafe/1", "", "x");
  BOOST_TEST(whole.ends_with("Content-Length: 8\r\n\r\nunframed"), whole);
  clean = false;
  const std::string reset = this->Ask("POST /unsafe/1", "", "x");
  BOOST_TEST(reset.starts_with("HTTP/1.1 502"), reset);
}

BOOST_FIXTURE_TEST_CASE(ForwardsAFailureOfTheTargetUnchanged, Fixture) {
  ScriptedTarget target(
      [](RawConnection& connection, const std::string& request) {
        connection.Write(
            Answer(IdOf(request), "why", kStamp, "500 Internal Server Error"));
        return true;
      });
  this->Add("t", target);
  const std::string answer = this->Ask("POST /unsafe/1", "", "x");
  BOOST_TEST(answer.starts_with("HTTP/1.1 500"), answer);
  BOOST_TEST(answer.ends_with("\r\n\r\nwhy"), answer);
}

// The first run stops in the middle of its third event.
BOOST_FIXTURE_TEST_CASE(GoesOnWithAStreamElsewhere, Fixture) {
  std::vector<std::string> resumed;
  const auto script = [&](RawConnection& connection,
                          const std::string& request) {
    const std::string id = IdOf(request);
    if (!Contains(request, "Last-Event-Id: ")) {
      connection.Write(StreamHead(id) +
                       Chunk(Event(1) + Event(2) + "id: 3\nda"));
      return false;
    }
    resumed.push_back(request);
    connection.Write(StreamHead(id) + Chunk(Event(3)) + Chunk(Event(4)) +
                     "0\r\n\r\n");
    return true;
  };
  ScriptedTarget one(script);
  ScriptedTarget two(script);
  this->Add("one", one);
  this->Add("two", two);
  const std::string answer = this->Ask("POST /stream/1", "", "x");
  BOOST_REQUIRE(resumed.size() == 1U);
  BOOST_TEST(Contains(resumed[0], "Last-Event-Id: 2\r\n"), resumed[0]);
  for (int id = 1; id <= 4; ++id) {
    BOOST_TEST(Count(answer, Event(id)) == 1U, answer);
  }
  BOOST_TEST(answer.ends_with("0\r\n\r\n"), answer);
  BOOST_TEST(one.Requests().size() + two.Requests().size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(CutsAStreamThatCannotGoOn, Fixture) {
  const auto script = [](RawConnection& connection,
                         const std::string& request) {
    connection.Write(StreamHead(IdOf(request)) + Chunk(Event(1)));
    return false;
  };
  ScriptedTarget one(script);
  ScriptedTarget two(script);
  this->Add("one", one);
  this->Add("two", two);
  const std::string answer = this->Ask("POST /once/1", "", "x");
  BOOST_TEST(Contains(answer, Event(1)), answer);
  BOOST_TEST(!answer.ends_with("0\r\n\r\n"), answer);
  BOOST_TEST(one.Requests().size() + two.Requests().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(EndsTheWorkOfACallerThatLeaves, Fixture) {
  ScriptedTarget target(
      [](RawConnection& connection, const std::string& request) {
        connection.Write(StreamHead(IdOf(request)) + Chunk(Event(1)));
        (void)connection.ReadUntil("never");
        return false;
      });
  this->Add("t", target);
  RawConnection caller(this->front.LocalAddress());
  caller.Write(Request("POST /once/1", "", "x"));
  BOOST_TEST(caller.ReadUntil(Event(1)));
  caller.Close();
  BOOST_TEST(Eventually([&] { return target.Ended() == 1; }));
  BOOST_TEST(Eventually([&] { return this->front.InFlight() == 0; }));
}

BOOST_FIXTURE_TEST_CASE(WaitsForAMissingAdapter, Fixture) {
  ScriptedTarget target([](RawConnection& connection,
                           const std::string& request) {
    connection.Write(StreamHead(IdOf(request)) + Chunk(Event(1)) + "0\r\n\r\n");
    return true;
  });
  RoutingConfig config = this->table->Config();
  config.services[0].engine = EngineSpec{};
  this->table = std::make_shared<const RouteTable>(config);
  TargetDescription description;
  description.id = TargetId("t");
  description.service = ServiceId("s");
  description.address = target.Address();
  description.inventory = {1, 0, {{ModelId("m"), {}}}};
  this->board.OnTarget(description);
  Loop().Spawn([this] {
    (void)Eventually([this] { return !this->interest.Wanted().empty(); });
    this->board.OnInventory(TargetId("t"),
                            {1, 1, {{ModelId("m"), {AdapterId("a1")}}}},
                            InventorySource::kPlanner);
    this->board_changed.NotifyAll();
  });
  const std::string answer =
      this->Ask("POST /stream/1", "X-Pimentospar-Model: m/a1\r\n", "x");
  BOOST_TEST(answer.starts_with("HTTP/1.1 200"), answer);
  BOOST_TEST(this->interest.Wanted().empty());
}

}  // namespace
}  // namespace pimentospar
