#define BOOST_TEST_MODULE request_handler
#include "gateway/request_handler.h"

#include <boost/test/unit_test.hpp>

#include "pimentospar/fingerprint.h"
#include "platform/platform_headers.h"
#include "support.h"

namespace pimentospar {
namespace {

using test::Contains;
using test::Count;
using test::Eventually;
using test::Loop;
using test::RawConnection;
using test::RequestIdOf;
using test::ScriptedTarget;

constexpr std::string_view kStamp = "X-Pimentospar-Response-Stamp: s\r\n";

std::string Response(const std::string& id,
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

// An entry with scripted targets of one service that has no engine.
class Fixture {
 public:
  Fixture()
      : server(Loop(),
               this->timers,
               Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0),
               [this](CallerRequest& request, CallerChannel& channel) {
                 return RequestHandler(this->deps, request, channel).Run();
               }) {
    RoutingConfig config;
    config.version = {1};
    config.routes = {Route("/safe/", RequestKind::kSafe),
                     Route("/unsafe/", RequestKind::kUnsafe),
                     Route("/stream/", RequestKind::kStream, true),
                     Route("/once/", RequestKind::kStream)};
    config.services = {{ServiceId("s"), std::nullopt}};
    this->table = std::make_shared<const RouteTable>(config);
    this->server.Start();
  }

  void AddTarget(const std::string& name, const ScriptedTarget& target) {
    TargetDescription description;
    description.id = TargetId(name);
    description.service = ServiceId("s");
    description.address = target.Address();
    description.slots = 4;
    this->targets.OnTarget(description);
  }

  std::string Send(std::string_view line,
                   std::string_view headers = "",
                   std::string_view body = "") {
    RawConnection caller(this->server.LocalAddress());
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
  TimerQueue timers{Loop(), clock};
  UpstreamPool pool{Loop(), timers, clock, {}};
  platform::PlatformHeaders headers;
  TargetSelector targets{clock, random, {}};
  FiberSignal targets_changed;
  SharedRetryBudget retry_budget{clock,
                                 {0.2, std::chrono::seconds(10), 50, 1.0}};
  StreamLengthEstimator stream_lengths;
  CopyDemandTracker copy_demand;
  Metrics metrics;
  CrashTracker crashes{clock, pool, metrics, [] { return false; }};
  EntryTransport transport{
      Loop(),      clock, {boost::asio::ip::make_address("127.0.0.1"), 0},
      HostId("h"), {1},   [](const EntryMessage&) {}};
  RateLimitCoordinator rate_limits{Loop(), clock, random, transport,
                                   HostId("h")};
  std::shared_ptr<const RouteTable> table;
  RequestDependencies deps{clock,
                           random,
                           timers,
                           pool,
                           headers,
                           targets,
                           targets_changed,
                           retry_budget,
                           stream_lengths,
                           copy_demand,
                           crashes,
                           rate_limits,
                           metrics,
                           [this] { return this->table; },
                           [] { return std::size_t{1}; }};
  CallerServer server;
};

bool Echo(RawConnection& connection, const std::string& request) {
  connection.Write(Response(RequestIdOf(request), "body"));
  return true;
}

BOOST_FIXTURE_TEST_CASE(ForwardsRequestAndResponse, Fixture) {
  ScriptedTarget target(Echo);
  this->AddTarget("t", target);
  const std::string response =
      this->Send("POST /unsafe/1?q=2",
                 "X-Other: kept\r\nX-Pimentospar-Hold: mine\r\nTE: x\r\n"
                 "X-Pimentospar-Deadline-Ms: 2000\r\n",
                 "hello");
  BOOST_TEST(response.starts_with("HTTP/1.1 200 OK\r\n"), response);
  BOOST_TEST(response.ends_with("\r\n\r\nbody"), response);
  BOOST_TEST(Contains(response, kStamp), response);
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
  const std::string response = this->Send("GET /safe/1");
  BOOST_TEST(response.starts_with("HTTP/1.1 503"), response);
  BOOST_TEST(Contains(response, "Retry-After: 2.000"), response);
}

BOOST_FIXTURE_TEST_CASE(RespondsNotFoundWithoutARoute, Fixture) {
  BOOST_TEST(this->Send("GET /nowhere/1").starts_with("HTTP/1.1 404"));
}

BOOST_FIXTURE_TEST_CASE(RefusesSmuggledLengths, Fixture) {
  ScriptedTarget target(Echo);
  this->AddTarget("t", target);
  const std::string response = this->Send(
      "POST /unsafe/1", "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n");
  BOOST_TEST(response.starts_with("HTTP/1.1 400"), response);
  BOOST_TEST(target.Requests().empty());
}

BOOST_FIXTURE_TEST_CASE(RetriesASafeRequestAtAnotherTarget, Fixture) {
  ScriptedTarget broken(
      [](RawConnection& connection, const std::string& request) {
        connection.Write(Response(RequestIdOf(request), "whole").substr(0, 60));
        return false;
      });
  ScriptedTarget good(Echo);
  this->AddTarget("broken", broken);
  this->AddTarget("good", good);
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(this->Send("GET /safe/1").starts_with("HTTP/1.1 200"));
  }
  BOOST_TEST(!broken.Requests().empty());
}

BOOST_FIXTURE_TEST_CASE(RunsAnUnsafeRequestOnce, Fixture) {
  ScriptedTarget first(
      [](RawConnection&, const std::string&) { return false; });
  ScriptedTarget second(
      [](RawConnection&, const std::string&) { return false; });
  this->AddTarget("first", first);
  this->AddTarget("second", second);
  const std::string response = this->Send("POST /unsafe/1", "", "x");
  BOOST_TEST(response.starts_with("HTTP/1.1 502"), response);
  BOOST_TEST(first.Requests().size() + second.Requests().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(RetriesAnUnsafeRequestThatDidNotRun, Fixture) {
  const auto refuse = [](RawConnection& connection,
                         const std::string& request) {
    connection.Write(Response(RequestIdOf(request), "",
                              "X-Pimentospar-Not-Run: 1\r\n",
                              "503 Service Unavailable"));
    return true;
  };
  ScriptedTarget full(refuse);
  ScriptedTarget full_too(refuse);
  this->AddTarget("full", full);
  this->AddTarget("full_too", full_too);
  const std::string refused = this->Send("POST /unsafe/1", "", "x");
  BOOST_TEST(refused.starts_with("HTTP/1.1 503"), refused);
  BOOST_TEST(Contains(refused, "Retry-After"), refused);
  BOOST_TEST(full.Requests().size() == 1U);
  BOOST_TEST(full_too.Requests().size() == 1U);
  ScriptedTarget good(Echo);
  this->AddTarget("good", good);
  BOOST_TEST(this->Send("POST /unsafe/1", "", "x").starts_with("HTTP/1.1 200"));
}

BOOST_FIXTURE_TEST_CASE(SkipsResponsesToOtherRequests, Fixture) {
  ScriptedTarget target(
      [](RawConnection& connection, const std::string& request) {
        connection.Write(Response("another", "wrong") +
                         Response(RequestIdOf(request), "right"));
        return true;
      });
  this->AddTarget("t", target);
  const std::string response = this->Send("POST /unsafe/1", "", "x");
  BOOST_TEST(response.ends_with("\r\n\r\nright"), response);
  BOOST_TEST(!Contains(response, "wrong"), response);
}

// A late copy of an earlier refusal without an ID must not be taken for the
// response to the next request on the connection, which then runs twice.
BOOST_FIXTURE_TEST_CASE(IgnoresARefusalWithoutIdOnAReusedConnection, Fixture) {
  std::size_t requests = 0;
  ScriptedTarget target(
      [&](RawConnection& connection, const std::string& request) {
        if (++requests == 2) {
          connection.Write(
              "HTTP/1.1 503 Service Unavailable\r\n"
              "X-Pimentospar-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        }
        return Echo(connection, request);
      });
  this->AddTarget("t", target);
  BOOST_TEST(this->Send("POST /unsafe/1", "", "x").ends_with("body"));
  std::string request = Request("POST /unsafe/1", "", "x");
  request.replace(request.find("Id: r1"), 6, "Id: r2");
  RawConnection caller(this->server.LocalAddress());
  caller.Write(request);
  const std::string response = caller.ReadAll();
  BOOST_TEST(response.ends_with("\r\n\r\nbody"), response);
  BOOST_TEST(target.Requests().size() == 2U);
  BOOST_TEST(target.EndedConnections() == 0U);
}

// The first attempt is refused and its refusal is sent twice, the second time
// when the target already runs the second attempt.
BOOST_FIXTURE_TEST_CASE(IgnoresASecondCopyOfItsOwnRefusal, Fixture) {
  std::size_t runs = 0;
  const RawConnection* refused = nullptr;
  const auto misdirected = [](const std::string& request) {
    return Response(RequestIdOf(request), "", "", "421 Misdirected Request");
  };
  ScriptedTarget target(
      [&](RawConnection& connection, const std::string& request) {
        if (refused == nullptr) {
          refused = &connection;
          connection.Write(misdirected(request));
          return true;
        }
        ++runs;
        if (refused == &connection) {
          connection.Write(misdirected(request));
        }
        connection.Write(Response(RequestIdOf(request), "body"));
        return true;
      });
  this->AddTarget("t", target);
  const std::string response = this->Send("POST /unsafe/1", "", "x");
  BOOST_TEST(response.ends_with("\r\n\r\nbody"), response);
  BOOST_TEST(runs == 1U);
}

// Responses without an end: nothing may be kept or read without a limit.
class EndlessResponse : public Fixture {
 public:
  // Sends `part` again and again until the connection is closed, at most
  // `kMaxSentBytes`.
  ScriptedTarget::Script Repeat(const std::string& head,
                                const std::string& part) {
    return [this, head, part](RawConnection& connection,
                              const std::string& request) {
      std::string text = head;
      const auto at = text.find("ID");
      if (at != std::string::npos) {
        text.replace(at, 2, RequestIdOf(request));
      }
      connection.Write(text);
      while (this->sent_bytes < kMaxSentBytes && connection.IsOpen()) {
        connection.Write(part);
        this->sent_bytes += part.size();
      }
      return false;
    };
  }

  static constexpr std::size_t kMaxSentBytes = 64ULL << 20;
  // What an entry may read of one response, with room for socket buffers.
  static constexpr std::size_t kMaxReadBytes = 24ULL << 20;
  std::size_t sent_bytes = 0;
};

BOOST_FIXTURE_TEST_CASE(EndsABodyWithoutEnd, EndlessResponse) {
  ScriptedTarget target(this->Repeat(
      "HTTP/1.1 200 OK\r\nX-Pimentospar-Request-Id: ID\r\n" +
          std::string(kStamp) + "Transfer-Encoding: chunked\r\n\r\n",
      Chunk(std::string(64 << 10, 'x'))));
  this->AddTarget("t", target);
  const std::string response = this->Send("POST /unsafe/1", "", "x");
  BOOST_TEST(response.starts_with("HTTP/1.1 502"), response.substr(0, 100));
  BOOST_TEST(this->sent_bytes < kMaxReadBytes);
}

BOOST_FIXTURE_TEST_CASE(EndsAnEventWithoutEnd, EndlessResponse) {
  ScriptedTarget target(this->Repeat(
      "HTTP/1.1 200 OK\r\nX-Pimentospar-Request-Id: ID\r\n" +
          std::string(kStamp) + "Transfer-Encoding: chunked\r\n\r\n",
      Chunk("data: " + std::string(64 << 10, 'x') + "\n")));
  this->AddTarget("t", target);
  const std::string response = this->Send("POST /once/1", "", "x");
  BOOST_TEST(!Contains(response, "HTTP/1.1 200"), response.substr(0, 100));
  BOOST_TEST(this->sent_bytes < kMaxReadBytes);
}

BOOST_FIXTURE_TEST_CASE(EndsInterimHeadsWithoutEnd, EndlessResponse) {
  ScriptedTarget target(
      this->Repeat("", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"));
  this->AddTarget("t", target);
  const std::string response = this->Send("POST /unsafe/1", "", "x");
  BOOST_TEST(response.starts_with("HTTP/1.1 502"), response.substr(0, 100));
  BOOST_TEST(this->sent_bytes < kMaxReadBytes);
}

BOOST_FIXTURE_TEST_CASE(EndsAHeadWithoutEnd, EndlessResponse) {
  ScriptedTarget target(
      this->Repeat("HTTP/1.1 200 OK\r\n", "X-Filler: 0123456789\r\n"));
  this->AddTarget("t", target);
  const std::string response = this->Send("POST /unsafe/1", "", "x");
  BOOST_TEST(response.starts_with("HTTP/1.1 502"), response.substr(0, 100));
  BOOST_TEST(this->sent_bytes < kMaxReadBytes);
}

BOOST_FIXTURE_TEST_CASE(EndsTheBodyOfAnotherRequestWithoutEnd,
                        EndlessResponse) {
  ScriptedTarget target(this->Repeat(
      "HTTP/1.1 200 OK\r\nX-Pimentospar-Request-Id: other\r\n" +
          std::string(kStamp) + "Transfer-Encoding: chunked\r\n\r\n",
      Chunk(std::string(64 << 10, 'x'))));
  this->AddTarget("t", target);
  const std::string response = this->Send("POST /unsafe/1", "", "x");
  BOOST_TEST(response.starts_with("HTTP/1.1 502"), response.substr(0, 100));
  BOOST_TEST(this->sent_bytes < kMaxReadBytes);
}

// Many targets with such bodies together stay within one limit.
BOOST_FIXTURE_TEST_CASE(EndsManyBodiesWithoutEnd, EndlessResponse) {
  ScriptedTarget target([](RawConnection& connection,
                           const std::string& request) {
    connection.Write(
        "HTTP/1.1 200 OK\r\nX-Pimentospar-Request-Id: " + RequestIdOf(request) +
        "\r\n" + std::string(kStamp) + "Transfer-Encoding: chunked\r\n\r\n");
    // Below the limit of one response, and never completed.
    for (int i = 0; i < 48 && connection.IsOpen(); ++i) {
      connection.Write(Chunk(std::string(64 << 10, 'x')));
    }
    (void)connection.ReadUntil("never");
    return false;
  });
  this->AddTarget("t", target);
  std::size_t ended = 0;
  constexpr std::size_t kCallers = 24;
  for (std::size_t i = 0; i < kCallers; ++i) {
    Loop().Spawn([this, &ended] {
      (void)this->Send("POST /unsafe/1", "X-Pimentospar-Deadline-Ms: 4000\r\n",
                       "x");
      ++ended;
    });
  }
  BOOST_TEST(Eventually([&] { return this->pool.BufferedBytes() > 0; }));
  while (ended < kCallers) {
    BOOST_REQUIRE_LE(this->pool.BufferedBytes(), 48U << 20);
    boost::this_fiber::sleep_for(std::chrono::milliseconds(1));
  }
  BOOST_TEST(this->pool.BufferedBytes() == 0U);
}

BOOST_FIXTURE_TEST_CASE(RejectsAnUnsignedSuccess, Fixture) {
  ScriptedTarget target(
      [](RawConnection& connection, const std::string& request) {
        connection.Write(Response(RequestIdOf(request), "forged", ""));
        return true;
      });
  this->AddTarget("t", target);
  const std::string response = this->Send("POST /unsafe/1", "", "x");
  BOOST_TEST(response.starts_with("HTTP/1.1 502"), response);
}

BOOST_FIXTURE_TEST_CASE(ForwardsAnUnframedResponseOnlyAfterACleanClose,
                        Fixture) {
  bool clean = true;
  ScriptedTarget target([&](RawConnection& connection,
                            const std::string& request) {
    connection.Write(
        "HTTP/1.1 200 OK\r\nX-Pimentospar-Request-Id: " + RequestIdOf(request) +
        "\r\n" + std::string(kStamp) + "\r\nunframed");
    if (!clean) {
      connection.Reset();
    }
    return false;
  });
  this->AddTarget("t", target);
  const std::string whole = this->Send("POST /unsafe/1", "", "x");
  BOOST_TEST(whole.ends_with("Content-Length: 8\r\n\r\nunframed"), whole);
  clean = false;
  const std::string reset = this->Send("POST /unsafe/1", "", "x");
  BOOST_TEST(reset.starts_with("HTTP/1.1 502"), reset);
}

BOOST_FIXTURE_TEST_CASE(ForwardsAnErrorResponseUnchanged, Fixture) {
  ScriptedTarget target(
      [](RawConnection& connection, const std::string& request) {
        connection.Write(Response(RequestIdOf(request), "why", kStamp,
                                  "500 Internal Server Error"));
        return true;
      });
  this->AddTarget("t", target);
  const std::string response = this->Send("POST /unsafe/1", "", "x");
  BOOST_TEST(response.starts_with("HTTP/1.1 500"), response);
  BOOST_TEST(response.ends_with("\r\n\r\nwhy"), response);
}

// The first target closes the connection in the middle of its third event.
BOOST_FIXTURE_TEST_CASE(ResumesAStreamAtAnotherTarget, Fixture) {
  std::vector<std::string> resumed;
  const auto script = [&](RawConnection& connection,
                          const std::string& request) {
    const std::string id = RequestIdOf(request);
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
  this->AddTarget("one", one);
  this->AddTarget("two", two);
  const std::string response = this->Send("POST /stream/1", "", "x");
  BOOST_REQUIRE(resumed.size() == 1U);
  BOOST_TEST(Contains(resumed[0], "Last-Event-Id: 2\r\n"), resumed[0]);
  for (int id = 1; id <= 4; ++id) {
    BOOST_TEST(Count(response, Event(id)) == 1U, response);
  }
  BOOST_TEST(response.ends_with("0\r\n\r\n"), response);
  BOOST_TEST(one.Requests().size() + two.Requests().size() == 2U);
}

// Streams that end with their connection, as `first_part` says, and go on at
// another target.
class UnframedStream : public Fixture {
 public:
  enum class End : std::uint8_t { kClose, kReset };

  UnframedStream() {
    this->AddTarget("one", this->one);
    this->AddTarget("two", this->two);
  }

  static std::string Head(const std::string& id) {
    return "HTTP/1.1 200 OK\r\nX-Pimentospar-Request-Id: " + id + "\r\n" +
           std::string(kStamp) + "Content-Type: text/event-stream\r\n\r\n";
  }

  std::string SendStream(std::string first_part,
                         End end,
                         std::string_view path = "/stream/1") {
    this->first_part = std::move(first_part);
    this->end = end;
    return this->Send("POST " + std::string(path), "", "x");
  }

  [[nodiscard]] std::size_t Attempts() const {
    return this->one.Requests().size() + this->two.Requests().size();
  }

 private:
  bool Respond(RawConnection& connection, const std::string& request) {
    const std::string head = Head(RequestIdOf(request));
    if (std::exchange(this->is_first, false)) {
      connection.Write(head + this->first_part);
      if (this->end == End::kReset) {
        connection.Reset();
      }
      return false;
    }
    const bool resumed = Contains(request, "Last-Event-Id: 1\r\n");
    connection.Write(head + (resumed ? "" : Event(1)) + Event(2));
    return false;
  }

  std::string first_part;
  End end = End::kClose;
  bool is_first = true;
  ScriptedTarget one{[this](auto& connection, const auto& request) {
    return this->Respond(connection, request);
  }};
  ScriptedTarget two{[this](auto& connection, const auto& request) {
    return this->Respond(connection, request);
  }};
};

void CheckBothEventsOnce(const std::string& response) {
  BOOST_TEST(Count(response, Event(1)) == 1U, response);
  BOOST_TEST(Count(response, Event(2)) == 1U, response);
  BOOST_TEST(response.ends_with("0\r\n\r\n"), response);
}

BOOST_FIXTURE_TEST_CASE(ForwardsAStreamThatEndsWithItsConnection,
                        UnframedStream) {
  CheckBothEventsOnce(this->SendStream(Event(1) + Event(2), End::kClose));
  BOOST_TEST(this->Attempts() == 1U);
}

BOOST_FIXTURE_TEST_CASE(ResumesAnUnframedStreamThatEndsInsideAnEvent,
                        UnframedStream) {
  CheckBothEventsOnce(
      this->SendStream(Event(1) + "id: 2\ndata: x\n", End::kClose));
  BOOST_TEST(this->Attempts() == 2U);
}

BOOST_FIXTURE_TEST_CASE(ResumesAnUnframedStreamThatIsReset, UnframedStream) {
  CheckBothEventsOnce(this->SendStream(Event(1), End::kReset));
  BOOST_TEST(this->Attempts() == 2U);
}

// A target that crashes before its first event leaves only a head.
BOOST_FIXTURE_TEST_CASE(RetriesAnUnframedStreamWithoutEvents, UnframedStream) {
  CheckBothEventsOnce(this->SendStream("", End::kClose));
  BOOST_TEST(this->Attempts() == 2U);
}

BOOST_FIXTURE_TEST_CASE(AbortsAnUnframedStreamThatEndsInsideAnEvent,
                        UnframedStream) {
  const std::string response =
      this->SendStream(Event(1) + "id: 2\nda", End::kClose, "/once/1");
  BOOST_TEST(Contains(response, Event(1)), response);
  BOOST_TEST(!Contains(response, "id: 2"), response);
  BOOST_TEST(!response.ends_with("0\r\n\r\n"), response);
  BOOST_TEST(this->Attempts() == 1U);
}

// The chunks end properly, but the last event does not.
BOOST_FIXTURE_TEST_CASE(ResumesAChunkedStreamThatEndsInsideAnEvent, Fixture) {
  const auto script = [](RawConnection& connection,
                         const std::string& request) {
    const bool resumed = Contains(request, "Last-Event-Id: 1\r\n");
    connection.Write(StreamHead(RequestIdOf(request)) +
                     Chunk(resumed ? Event(2) : Event(1) + "id: 2\nda") +
                     "0\r\n\r\n");
    return true;
  };
  ScriptedTarget one(script);
  ScriptedTarget two(script);
  this->AddTarget("one", one);
  this->AddTarget("two", two);
  CheckBothEventsOnce(this->Send("POST /stream/1", "", "x"));
  BOOST_TEST(one.Requests().size() + two.Requests().size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(AbortsAStreamThatCannotBeResumed, Fixture) {
  const auto script = [](RawConnection& connection,
                         const std::string& request) {
    connection.Write(StreamHead(RequestIdOf(request)) + Chunk(Event(1)));
    return false;
  };
  ScriptedTarget one(script);
  ScriptedTarget two(script);
  this->AddTarget("one", one);
  this->AddTarget("two", two);
  const std::string response = this->Send("POST /once/1", "", "x");
  BOOST_TEST(Contains(response, Event(1)), response);
  BOOST_TEST(!response.ends_with("0\r\n\r\n"), response);
  BOOST_TEST(one.Requests().size() + two.Requests().size() == 1U);
}

// Single bytes of an event are no progress: the stream continues elsewhere.
BOOST_FIXTURE_TEST_CASE(ResumesAStreamThatSendsOnlyBytesNowAndThen, Fixture) {
  const auto script = [](RawConnection& connection,
                         const std::string& request) {
    const std::string id = RequestIdOf(request);
    if (Contains(request, "Last-Event-Id: ")) {
      connection.Write(StreamHead(id) + Chunk(Event(2)) + "0\r\n\r\n");
      return true;
    }
    connection.Write(StreamHead(id) + Chunk(Event(1)));
    while (connection.IsOpen()) {
      connection.Write(Chunk("d"));
      boost::this_fiber::sleep_for(std::chrono::milliseconds(100));
    }
    return false;
  };
  ScriptedTarget one(script);
  ScriptedTarget two(script);
  this->AddTarget("one", one);
  this->AddTarget("two", two);
  const TimePoint start = this->clock.Now();
  const std::string response =
      this->Send("POST /stream/1", "X-Pimentospar-Deadline-Ms: 9000\r\n", "x");
  BOOST_TEST(response.ends_with("0\r\n\r\n"), response);
  BOOST_TEST(Count(response, Event(2)) == 1U, response);
  BOOST_TEST((this->clock.Now() - start < std::chrono::seconds(6)));
}

// A silent target that nobody can replace may still respond. The stream was cut
// after the first pause.
BOOST_FIXTURE_TEST_CASE(KeepsASilentStreamThatNobodyCanContinue, Fixture) {
  ScriptedTarget target(
      [](RawConnection& connection, const std::string& request) {
        connection.Write(StreamHead(RequestIdOf(request)) + Chunk(Event(1)));
        boost::this_fiber::sleep_for(std::chrono::milliseconds(2200));
        connection.Write(Chunk(Event(2)) + "0\r\n\r\n");
        return true;
      });
  this->AddTarget("t", target);
  const std::string response = this->Send("POST /stream/1", "", "x");
  BOOST_TEST(response.ends_with("0\r\n\r\n"), response);
  BOOST_TEST(Count(response, Event(2)) == 1U, response);
  BOOST_TEST(target.Requests().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(KeepsASilentStreamWithoutARetryBudget, Fixture) {
  while (this->retry_budget.TryAcquire(ServiceId("s"), 1)) {
  }
  const auto script = [](RawConnection& connection,
                         const std::string& request) {
    connection.Write(StreamHead(RequestIdOf(request)) + Chunk(Event(1)));
    boost::this_fiber::sleep_for(std::chrono::milliseconds(2200));
    connection.Write(Chunk(Event(2)) + "0\r\n\r\n");
    return true;
  };
  ScriptedTarget one(script);
  ScriptedTarget two(script);
  this->AddTarget("one", one);
  this->AddTarget("two", two);
  const std::string response = this->Send("POST /stream/1", "", "x");
  BOOST_TEST(response.ends_with("0\r\n\r\n"), response);
  BOOST_TEST(one.Requests().size() + two.Requests().size() == 1U);
}

// All targets of a burst have long queues but respond to polls. Each request
// was sent again after 1.5 s, which doubled the work of the targets.
BOOST_FIXTURE_TEST_CASE(WaitsForABusyTargetThatResponds, Fixture) {
  const auto script = [](RawConnection& connection,
                         const std::string& request) {
    boost::this_fiber::sleep_for(std::chrono::milliseconds(2600));
    connection.Write(StreamHead(RequestIdOf(request)) + Chunk(Event(1)) +
                     "0\r\n\r\n");
    return true;
  };
  ScriptedTarget one(script);
  ScriptedTarget two(script);
  this->AddTarget("one", one);
  this->AddTarget("two", two);
  bool ended = false;
  Loop().Spawn([this, &ended] {
    while (!ended) {
      this->targets.OnLoadReport(TargetId("one"), {4, 9});
      this->targets.OnLoadReport(TargetId("two"), {4, 9});
      boost::this_fiber::sleep_for(std::chrono::milliseconds(100));
    }
    ended = false;
  });
  const std::string response = this->Send("POST /stream/1", "", "x");
  BOOST_TEST(response.ends_with("0\r\n\r\n"), response);
  BOOST_TEST(one.Requests().size() + two.Requests().size() == 1U);
  ended = true;
  BOOST_TEST(Eventually([&] { return !ended; }));
}

// A call that hangs at a target which responds to others is soon repeated.
BOOST_FIXTURE_TEST_CASE(RepeatsACallThatHangsAtABusyTarget, Fixture) {
  ScriptedTarget hanging([](RawConnection& connection, const std::string&) {
    (void)connection.ReadUntil("never");
    return false;
  });
  ScriptedTarget good(Echo);
  this->AddTarget("hanging", hanging);
  this->AddTarget("good", good);
  for (int i = 0; i < 4; ++i) {
    this->targets.OnLoadReport(TargetId("hanging"), {0, 0});
    const TimePoint start = this->clock.Now();
    BOOST_TEST(this->Send("GET /safe/1").starts_with("HTTP/1.1 200"));
    BOOST_TEST((this->clock.Now() - start < std::chrono::milliseconds(1500)));
  }
  BOOST_TEST(!hanging.Requests().empty());
}

// A stream that is slow, but sends whole events, is not cut.
BOOST_FIXTURE_TEST_CASE(KeepsASlowStream, Fixture) {
  ScriptedTarget target(
      [](RawConnection& connection, const std::string& request) {
        connection.Write(StreamHead(RequestIdOf(request)));
        for (int i = 1; i <= 4; ++i) {
          boost::this_fiber::sleep_for(std::chrono::milliseconds(900));
          connection.Write(Chunk(Event(i)));
        }
        connection.Write("0\r\n\r\n");
        return true;
      });
  this->AddTarget("t", target);
  const std::string response = this->Send("POST /stream/1", "", "x");
  BOOST_TEST(response.ends_with("0\r\n\r\n"), response);
  BOOST_TEST(target.Requests().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(CancelsTheAttemptWhenTheCallerDisconnects, Fixture) {
  ScriptedTarget target(
      [](RawConnection& connection, const std::string& request) {
        connection.Write(StreamHead(RequestIdOf(request)) + Chunk(Event(1)));
        (void)connection.ReadUntil("never");
        return false;
      });
  this->AddTarget("t", target);
  RawConnection caller(this->server.LocalAddress());
  caller.Write(Request("POST /once/1", "", "x"));
  BOOST_TEST(caller.ReadUntil(Event(1)));
  caller.Close();
  BOOST_TEST(Eventually([&] { return target.EndedConnections() == 1; }));
  BOOST_TEST(Eventually([&] { return this->server.InFlight() == 0; }));
}

// Strikes of another entry arrive while a request with their part is in flight.
struct StrikesFixture : Fixture {
  static constexpr std::string_view kParts =
      "X-Pimentospar-Prompt-Prefix: part:100,own:10\r\n";

  void ImportStrikes() {
    std::vector<StrikeReport> strikes;
    for (std::uint64_t crash = 1; crash <= 3; ++crash) {
      strikes.push_back({FingerprintOfPromptPart("part"), CrashId{crash}});
    }
    this->crashes.Import(strikes);
  }
};

// Guards against a crash that was known not to be worth waiting for.
BOOST_FIXTURE_TEST_CASE(LetsARequestCrashItsTargetThoughItsPartIsKnown,
                        StrikesFixture) {
  ScriptedTarget target([](RawConnection& connection, const std::string&) {
    (void)connection.ReadUntil("never");
    return false;
  });
  this->AddTarget("t", target);
  Loop().Spawn([this, &target] {
    (void)Eventually([&] { return target.Requests().size() == 1; });
    this->ImportStrikes();
  });
  const std::string response = this->Send("POST /stream/1", kParts, "x");
  BOOST_TEST(response.starts_with("HTTP/1.1 502"), response);
  BOOST_TEST(Contains(response, "request_quarantined"), response);
  BOOST_TEST(Eventually([&] { return target.EndedConnections() == 1; }));
}

// Guards against sound streams that are cut for strikes that are cleared a
// moment later: a request that crashes its target does so as it begins to
// respond.
BOOST_FIXTURE_TEST_CASE(CutsAStreamThatHasBegunForThePartsOfItsPrompt,
                        StrikesFixture) {
  ScriptedTarget target(
      [this](RawConnection& connection, const std::string& request) {
        connection.Write(StreamHead(RequestIdOf(request)) + Chunk(Event(1)));
        boost::this_fiber::sleep_for(std::chrono::milliseconds(20));
        this->ImportStrikes();
        boost::this_fiber::sleep_for(std::chrono::milliseconds(20));
        connection.Write(Chunk(Event(2)) + "0\r\n\r\n");
        return true;
      });
  this->AddTarget("t", target);
  CheckBothEventsOnce(this->Send("POST /stream/1", kParts, "x"));
}

// Targets of a service whose engines load models.
struct EngineFixture : Fixture {
  EngineFixture() {
    RoutingConfig config = this->table->Config();
    config.services[0].engine = EngineSpec{};
    this->table = std::make_shared<const RouteTable>(config);
  }

  void AddEngine(const std::string& name, std::vector<LoadedModel> models) {
    TargetDescription description;
    description.id = TargetId(name);
    description.service = ServiceId("s");
    description.address = this->target.Address();
    description.inventory = {1, 0, std::move(models)};
    this->targets.OnTarget(description);
  }

  // Loads the adapter when a request waits for it.
  void LoadWhenWanted(const std::string& engine) {
    Loop().Spawn([this, engine] {
      (void)Eventually(
          [this] { return !this->copy_demand.WantedCopies().empty(); });
      this->targets.OnInventory(TargetId(engine), {1, 1, this->loaded},
                                InventorySource::kPlanner);
      this->targets_changed.NotifyAll();
    });
  }

  std::vector<LoadedModel> loaded = {{ModelId("m"), {AdapterId("a1")}}};
  ScriptedTarget target{
      [](RawConnection& connection, const std::string& request) {
        connection.Write(StreamHead(RequestIdOf(request)) + Chunk(Event(1)) +
                         "0\r\n\r\n");
        return true;
      }};
};

BOOST_FIXTURE_TEST_CASE(WaitsForAMissingAdapter, EngineFixture) {
  this->AddEngine("t", {{ModelId("m"), {}}});
  this->LoadWhenWanted("t");
  const std::string response =
      this->Send("POST /stream/1", "X-Pimentospar-Model: m/a1\r\n", "x");
  BOOST_TEST(response.starts_with("HTTP/1.1 200"), response);
  BOOST_TEST(this->copy_demand.WantedCopies().empty());
}

// Guards against a refusal while another target could load what the request
// needs.
BOOST_FIXTURE_TEST_CASE(RefusesACopyThatOnlyALimitedTargetHas, EngineFixture) {
  this->AddEngine("limited", this->loaded);
  this->AddEngine("other", {{ModelId("m"), {}}});
  this->rate_limits.OnResponse(TargetId("limited"), 1, 1.0);
  this->targets.OnPermitDenied(TargetId("limited"),
                               this->clock.Now() + std::chrono::minutes(1));
  this->LoadWhenWanted("other");
  const std::string response =
      this->Send("POST /stream/1", "X-Pimentospar-Model: m/a1\r\n", "x");
  BOOST_TEST(response.starts_with("HTTP/1.1 200"), response);
  BOOST_TEST(this->copy_demand.WantedCopies().empty());
}

// Guards against reports to the lease holder with each change of the targets,
// of which its replies cause more.
BOOST_FIXTURE_TEST_CASE(ReportsAMissingCopyWithEachChangeOfTheTargets,
                        EngineFixture) {
  this->AddEngine("t", {{ModelId("m"), {}}});
  std::size_t reports = 0;
  bool ended = false;
  Loop().Spawn([&] {
    while (!ended) {
      reports += this->copy_demand.WaitStarted().WaitFor(
          std::chrono::milliseconds(20));
      this->targets_changed.NotifyAll();
    }
  });
  const std::string response = this->Send("POST /stream/1",
                                          "X-Pimentospar-Model: m/a1\r\n"
                                          "X-Pimentospar-Deadline-Ms: 800\r\n",
                                          "x");
  ended = true;
  BOOST_TEST(response.starts_with("HTTP/1.1 503"), response);
  BOOST_TEST(reports == 1U);
  boost::this_fiber::sleep_for(std::chrono::milliseconds(50));
}

}  // namespace
}  // namespace pimentospar
