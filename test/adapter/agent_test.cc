#define BOOST_TEST_MODULE agent
#include "agent/agent.h"

#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>
#include <future>

namespace pimentospar {
namespace {

// Provides the outcome of an attempt as a future.
class FakeReply final : public AttemptReply {
 public:
  bool SendChunk(ChunkMessage) override { return true; }
  void Finish(OutcomeMessage outcome) override {
    this->outcome.set_value(std::move(outcome));
  }
  [[nodiscard]] bool IsCancelled() const override { return false; }

  std::promise<OutcomeMessage> outcome;
};

Settings AgentSettings(std::uint16_t engine_port) {
  Settings settings;
  settings.role = "agent";
  settings.target = "t";
  settings.target_address = "127.0.0.1:" + std::to_string(engine_port);
  settings.rpc_address = "127.0.0.1:0";
  settings.log_address = "127.0.0.1:1";
  settings.requests = 64;
  settings.engine_requests = 2;
  settings.state_interval = std::chrono::hours(1);
  return settings;
}

// An agent with a fake engine whose responses all break off on request.
class Fixture {
 public:
  Fixture()
      : worker(64, 64),
        engine(this->io,
               {boost::asio::ip::make_address("127.0.0.1"), 0},
               HttpLimits{},
               this->metrics,
               [this](const std::shared_ptr<HttpExchange>& exchange) {
                 return this->worker.TryRun(
                     [this, exchange] { this->Handle(*exchange); });
               }),
        process(AgentSettings(this->engine.LocalEndpoint().port())),
        agent(this->process) {
    this->agent.Start();
  }

  ~Fixture() { this->process.Stop(); }

  std::shared_ptr<FakeReply> Serve(std::uint64_t number) {
    ServeRequest request;
    request.attempt = AttemptId{number};
    request.fingerprint = Fingerprint{number};
    request.model = ModelId("m");
    request.body = "{}";
    request.remaining = std::chrono::seconds(30);
    auto reply = std::make_shared<FakeReply>();
    BOOST_REQUIRE(this->agent.OnServe(request, reply));
    return reply;
  }

  // Waits until this number of requests has reached the engine, then breaks off
  // their responses. The engine reports `next_incarnation` from then on.
  void BreakConnections(int requests, std::uint64_t next_incarnation) {
    while (this->arrived.load() < requests) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    this->arrived = 0;
    this->incarnation = next_incarnation;
    ++this->breaks;
  }

 private:
  void Handle(HttpExchange& exchange) {
    if (exchange.Request().path == "/state") {
      exchange.Respond({.body = R"({"incarnation":)" +
                                std::to_string(this->incarnation.load()) +
                                R"(,"capacity_bytes":100,"items":[)"
                                R"({"item":"m","kind":"model","bytes":1}]})"});
      return;
    }
    const int before = this->breaks.load();
    exchange.StartStream({.content_type = "text/event-stream"});
    ++this->arrived;
    while (this->breaks.load() == before) {
      boost::this_fiber::sleep_for(std::chrono::milliseconds(1));
    }
    exchange.FinishStream(false);
  }

  std::atomic<int> arrived = 0;
  std::atomic<int> breaks = 0;
  std::atomic<std::uint64_t> incarnation = 1;
  Metrics metrics;
  IoThread io;
  FiberThread worker;
  HttpServer engine;

 public:
  Process process;
  Agent agent;
};

// Guards against strikes for requests whose connection broke while the engine
// kept running, and against crash reports that omit a request in flight or
// count one crash twice.
BOOST_FIXTURE_TEST_CASE(DistinguishesCrashesFromBrokenConnections, Fixture) {
  const auto broken = this->Serve(1);
  this->BreakConnections(1, 1);
  const OutcomeMessage alive = broken->outcome.get_future().get();
  BOOST_TEST((alive.reason == Reason::kBrokenStream));
  BOOST_TEST(alive.crashed_with.empty());
  const auto first = this->Serve(2);
  const auto second = this->Serve(3);
  this->BreakConnections(2, 2);
  const OutcomeMessage one = first->outcome.get_future().get();
  const OutcomeMessage other = second->outcome.get_future().get();
  BOOST_TEST((one.reason == Reason::kTargetCrashed));
  BOOST_TEST(one.crashed_with.size() == 2U);
  BOOST_TEST((one.crashed_with == other.crashed_with));
  BOOST_TEST((one.crash == other.crash));
}

// Guards against a cancelled request that stays in the queue or is reported as
// executed.
BOOST_FIXTURE_TEST_CASE(CancelsWaitingRequests, Fixture) {
  const auto first = this->Serve(1);
  const auto second = this->Serve(2);
  const auto waits = this->Serve(3);
  auto outcome = waits->outcome.get_future();
  while (this->agent.OnFetchLoad().waiting == 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  this->agent.OnCancel(AttemptId{3});
  const OutcomeMessage cancelled = outcome.get();
  BOOST_TEST((cancelled.reason == Reason::kCallerGone));
  BOOST_TEST((cancelled.executed == Executed::kNo));
  this->BreakConnections(2, 1);
  first->outcome.get_future().wait();
  second->outcome.get_future().wait();
  BOOST_TEST(this->agent.OnFetchLoad().running == 0U);
}

}  // namespace
}  // namespace pimentospar
