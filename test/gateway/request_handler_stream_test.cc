#define BOOST_TEST_MODULE request_handler_stream
#include "gateway/request_handler.h"

#include <boost/test/unit_test.hpp>

#include "pimentospar/fingerprint.h"
#include "request_handler_fixture.h"

namespace pimentospar {
namespace {

using Fixture = test::HandlerFixture;
using test::Chunk;
using test::Contains;
using test::Count;
using test::Echo;
using test::Event;
using test::Eventually;
using test::kStamp;
using test::Loop;
using test::RawConnection;
using test::RequestIdOf;
using test::ScriptedTarget;
using test::StreamHead;
using test::UnframedStreamHead;

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
// The first target breaks off, and the second one crashes when it has sent the
// head of a response that ends with its connection.
BOOST_FIXTURE_TEST_CASE(EndsAStreamWithoutTheEventsOfItsSecondTarget, Fixture) {
  const auto script = [](RawConnection& connection,
                         const std::string& request) {
    const std::string id = RequestIdOf(request);
    connection.Write(Contains(request, "Last-Event-Id: ")
                         ? UnframedStreamHead(id)
                         : StreamHead(id) + Chunk(Event(1)));
    return false;
  };
  ScriptedTarget one(script);
  ScriptedTarget two(script);
  this->AddTarget("one", one);
  this->AddTarget("two", two);
  const std::string response = this->Send("POST /stream/1", "", "x");
  BOOST_TEST(Contains(response, "id: 1"), response);
  BOOST_TEST(!response.ends_with("0\r\n\r\n"), response);
}

// A caller that has all events of a stream may ask for the rest of it.
BOOST_FIXTURE_TEST_CASE(BreaksOffAStreamWithoutFurtherEvents, Fixture) {
  ScriptedTarget target(
      [](RawConnection& connection, const std::string& request) {
        connection.Write(UnframedStreamHead(RequestIdOf(request)));
        return false;
      });
  this->AddTarget("t", target);
  const std::string response =
      this->Send("POST /stream/1", "Last-Event-Id: 7\r\n", "x");
  BOOST_TEST(response.ends_with("0\r\n\r\n"), response);
}

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
  BOOST_TEST(Eventually([&] { return this->server.ActiveRequests() == 0; }));
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
