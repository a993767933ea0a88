#define BOOST_TEST_MODULE selection_queue
#include "gateway/selection_queue.h"

#include <boost/test/unit_test.hpp>

#include "request_handler_fixture.h"

namespace pimentospar {
namespace {

using std::chrono::milliseconds;
using test::Contains;
using test::Eventually;
using test::Loop;
using test::RawConnection;
using test::ScriptedTarget;

constexpr std::uint32_t kEvents = 10;

bool SendStream(RawConnection& connection, const std::string& request) {
  connection.Write(test::StreamHead(test::RequestIdOf(request)) +
                   test::Chunk(test::Event(1)) + "0\r\n\r\n");
  return true;
}

// An entry with a configuration that has workspaces. Its one target is
// overloaded while the interval of its events is long.
struct QueueFixture : test::HandlerFixture {
  explicit QueueFixture(bool predicted_cost = false)
      : test::HandlerFixture(std::nullopt, predicted_cost), target(SendStream) {
    RoutingConfig config = this->table->Config();
    config.workspaces.resize(1);
    config.workspaces[0].id = WorkspaceId("w");
    for (const std::uint32_t rank : {0U, 1U, 2U}) {
      RouteSpec route = test::Route("/rank" + std::to_string(rank) + "/",
                                    RequestKind::kStream);
      route.priority = rank;
      route.requires_key = false;
      config.routes.push_back(route);
      this->stream_lengths.OnStreamEnd(route.name, kEvents);
    }
    this->table = std::make_shared<const RouteTable>(config);
    this->AddTarget("t", this->target);
    this->SetOverloaded(true);
  }

  // The mean interval decays in time, so that an overload has to be renewed.
  void SetOverloaded(bool overloaded) {
    TargetDescription description = *this->targets.Find(TargetId("t"));
    this->targets.OnRemoved(TargetId("t"), this->clock.Now());
    (void)this->targets.Select({});
    this->targets.OnTarget(description);
    for (int i = 0; overloaded && i < 300; ++i) {
      this->targets.OnEvent(TargetId("t"), std::chrono::hours(1));
    }
  }

  // Sends a request and waits until `waiting` requests are in the queue.
  std::unique_ptr<RawConnection> Call(const std::string& path,
                                      std::size_t waiting) {
    auto caller = std::make_unique<RawConnection>(this->server.LocalAddress());
    caller->Write(Request("POST " + path, "", "x"));
    BOOST_TEST(
        Eventually([&] { return this->selection_queue.Waiting() == waiting; }));
    return caller;
  }

  ScriptedTarget target;
};

// Guards against the order in which polls happen to run.
BOOST_FIXTURE_TEST_CASE(SendsTheMostUrgentRequestFirst, QueueFixture) {
  const auto last = this->Call("/rank2/last", 1);
  const auto second = this->Call("/rank1/second", 2);
  const auto first = this->Call("/rank0/first", 3);
  const auto third = this->Call("/rank1/third", 4);
  BOOST_TEST(this->target.Requests().empty());
  this->SetOverloaded(false);
  this->targets_changed.NotifyAll();
  for (const auto& caller : {&first, &second, &third, &last}) {
    BOOST_TEST((*caller)->ReadAll().starts_with("HTTP/1.1 200"),
               (*caller)->text);
  }
  BOOST_REQUIRE(this->target.Requests().size() == 4U);
  const std::vector<std::string> names = {"first", "second", "third", "last"};
  for (std::size_t i = 0; i < names.size(); ++i) {
    BOOST_TEST(Contains(this->target.Requests()[i], names[i]),
               this->target.Requests()[i]);
  }
  BOOST_TEST(Contains(this->metrics.Render(),
                      "pimentospar_queue_milliseconds_count 4\n"));
}

// Guards against places that are taken by callers that have left.
BOOST_FIXTURE_TEST_CASE(ACallerThatLeavesFreesItsPlace, QueueFixture) {
  auto leaving = this->Call("/rank0/leaving", 1);
  const auto staying = this->Call("/rank1/staying", 2);
  leaving->Close();
  BOOST_TEST(
      Eventually([this] { return this->selection_queue.Waiting() == 1; }));
  this->SetOverloaded(false);
  this->targets_changed.NotifyAll();
  BOOST_TEST(staying->ReadAll().starts_with("HTTP/1.1 200"), staying->text);
  BOOST_TEST(this->target.Requests().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(ADrainRefusesWhatWaits, QueueFixture) {
  const auto caller = this->Call("/rank0/x", 1);
  this->selection_queue.BeginDrain();
  BOOST_TEST(caller->ReadAll().starts_with("HTTP/1.1 503"), caller->text);
  BOOST_TEST(Contains(caller->text, "draining"), caller->text);
  BOOST_TEST(Contains(caller->text, "Retry-After: "), caller->text);
  const auto late = this->Call("/rank0/late", 0);
  BOOST_TEST(Contains(late->ReadAll(), "draining"), late->text);
}

// Guards against a queue that grows without bound.
BOOST_FIXTURE_TEST_CASE(AFullQueueEvictsTheLeastUrgent, QueueFixture) {
  const auto evicted = this->Call("/rank2/evicted", 1);
  std::vector<std::unique_ptr<RawConnection>> callers;
  for (std::size_t i = 2; i <= 8; ++i) {
    callers.push_back(this->Call("/rank1/x", i));
  }
  callers.push_back(this->Call("/rank0/x", 8));
  BOOST_TEST(Contains(evicted->ReadAll(), "overloaded"), evicted->text);
  const auto refused = this->Call("/rank2/refused", 8);
  BOOST_TEST(Contains(refused->ReadAll(), "overloaded"), refused->text);
  this->selection_queue.BeginDrain();
  for (const auto& caller : callers) {
    caller->ReadAll();
  }
}

// Guards against a change for deployments without workspaces.
BOOST_FIXTURE_TEST_CASE(RefusesAfterAFixedTimeWithoutWorkspaces, QueueFixture) {
  RoutingConfig config = this->table->Config();
  config.workspaces.clear();
  this->table = std::make_shared<const RouteTable>(config);
  const TimePoint start = this->clock.Now();
  const std::string response = this->Send("POST /rank0/x", "", "x");
  BOOST_TEST(Contains(response, "Retry-After: 2.000"), response);
  BOOST_TEST((this->clock.Now() - start >= milliseconds(200)));
  BOOST_TEST(this->selection_queue.Waiting() == 0U);
}

struct PredictedCostFixture : QueueFixture {
  PredictedCostFixture() : QueueFixture(true) {
    RoutingConfig config = this->table->Config();
    config.workspaces.clear();
    this->table = std::make_shared<const RouteTable>(config);
  }
};

BOOST_FIXTURE_TEST_CASE(QueuesWithoutWorkspacesForPredictedCost,
                        PredictedCostFixture) {
  const auto last = this->Call("/rank2/last", 1);
  const auto first = this->Call("/rank1/first", 2);
  this->SetOverloaded(false);
  this->targets_changed.NotifyAll();
  last->ReadAll();
  first->ReadAll();
  BOOST_REQUIRE(this->target.Requests().size() == 2U);
  const std::string& sent = this->target.Requests()[0];
  BOOST_TEST(Contains(sent, "/rank1/first"), sent);
  BOOST_TEST(Contains(sent, "X-Pimentospar-Req-Priority: 1\r\n"), sent);
}

}  // namespace
}  // namespace pimentospar
