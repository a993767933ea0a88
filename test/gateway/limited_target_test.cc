#define BOOST_TEST_MODULE limited_target
#include <boost/test/unit_test.hpp>

#include "fleet.h"

// Targets that name the requests per second that they take from all entries.
namespace pimentospar {
namespace {

using std::chrono::milliseconds;
using test::Contains;
using test::Eventually;
using test::Fleet;
using test::RawConnection;
using test::RequestIdOf;
using test::ScriptedTarget;

constexpr std::string_view kConfig =
    R"({"version":1,"services":[{"name":"s"}],"routes":[)"
    R"({"name":"chat","host":"a.example","path_prefix":"/chat/",)"
    R"("kind":"stream","resumable":true,"service":"s","attempts":2,)"
    R"("timeout_ms":4000,"goal_ms":1000}]})";
constexpr double kLimitPerSecond = 2;
// A target may get this many times its limit in a window, and some more.
constexpr milliseconds kWindow{4000};
constexpr double kMaxExcess = 1.5;
constexpr double kSlack = 5;

// A target that names a limit while `limited` is true, and records when it got
// requests.
class LimitedTarget {
 public:
  explicit LimitedTarget(const Clock& clock) : clock(clock) {}

  [[nodiscard]] std::string Address() const { return this->target.Address(); }
  [[nodiscard]] std::size_t Arrivals() const { return this->arrivals.size(); }
  /// Returns the most requests in any window that starts at `from` or later.
  [[nodiscard]] std::size_t MostInAWindow(TimePoint from) const {
    std::size_t most = 0;
    for (const TimePoint start : this->arrivals) {
      if (start < from) {
        continue;
      }
      most = std::max(most, static_cast<std::size_t>(std::ranges::count_if(
                                this->arrivals, [start](TimePoint at) {
                                  return at >= start && at < start + kWindow;
                                })));
    }
    return most;
  }

  bool limited = true;

 private:
  bool Respond(RawConnection& connection, const std::string& request) {
    this->arrivals.push_back(this->clock.Now());
    const std::string body = "id: 1\ndata: x\n\n";
    const std::string limit =
        this->limited
            ? "Server-Limit: " + std::to_string(kLimitPerSecond) + "\r\n"
            : "";
    connection.Write(
        "HTTP/1.1 200 OK\r\nX-Pimentospar-Request-Id: " + RequestIdOf(request) +
        "\r\nX-Pimentospar-Response-Stamp: s\r\n" + limit +
        "Content-Type: text/event-stream\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body);
    return true;
  }

  const Clock& clock;
  std::vector<TimePoint> arrivals;
  ScriptedTarget target{[this](auto& connection, const auto& request) {
    return this->Respond(connection, request);
  }};
};

// A registered entry that the test plays. It replies to nothing.
class ScriptedEntry {
 public:
  ScriptedEntry(Fleet& fleet, std::string name)
      : fleet(fleet), name(std::move(name)) {
    const UdpEndpoint local = this->socket.local_endpoint();
    (void)fleet.log.AppendKeyed(
        fleet.registry.EntryStream(), this->name,
        Encode(EntryRegistration{{local.address().to_string(), local.port()},
                                 0.1}));
    test::Loop().Spawn([this] { this->Receive(); });
  }

  /// Sends a message to an entry of the fleet.
  void Send(const std::string& host, EntryMessage message) {
    message.host = HostId(this->name);
    message.instance = {77};
    message.sequence = ++this->sequence;
    const auto entries =
        this->fleet.log.ReadLatestValues(this->fleet.registry.EntryStream(), "")
            .items;
    const auto found =
        std::ranges::find(entries, host, &KeyedItem::key)->value.value();
    const Tcp::endpoint to =
        DecodeEntryRegistration(found)->address.ToEndpoint();
    this->socket.send_to(boost::asio::buffer(Encode(message)),
                         {to.address(), to.port()});
  }

  /// Targets whose inventories the entry has received.
  std::vector<TargetId> inventories;

 private:
  void Receive() {
    std::vector<char> buffer(1ULL << 16);
    UdpEndpoint sender;
    while (true) {
      const IoResult received = Await([&](auto handler) {
        this->socket.async_receive_from(boost::asio::buffer(buffer), sender,
                                        std::move(handler));
      });
      const auto message = DecodeEntryMessage({buffer.data(), received.bytes});
      for (const TargetInventory& entry : message->inventories) {
        this->inventories.push_back(entry.target);
      }
    }
  }

  Fleet& fleet;
  std::string name;
  std::uint64_t sequence = 0;
  UdpSocket socket{test::Loop().Context(),
                   {boost::asio::ip::make_address("127.0.0.1"), 0}};
};

// Entries before limited and unlimited targets of one service.
class LimitedFleet {
 public:
  LimitedFleet(std::size_t entries,
               std::size_t limited_targets,
               std::size_t other_targets)
      : fleet(Fleet::Create()) {
    this->fleet.SetConfig(std::string(kConfig));
    for (std::size_t i = 0; i < limited_targets + other_targets; ++i) {
      this->targets.push_back(new LimitedTarget(this->fleet.clock));
      this->targets.back()->limited = i < limited_targets;
      this->fleet.AddTarget("i-" + std::to_string(i), "s",
                            this->targets.back()->Address());
    }
    for (std::size_t i = 0; i < entries; ++i) {
      this->AddEntry();
    }
  }

  void AddEntry() {
    const std::string host = "h" + std::to_string(this->fleet.gateways.size());
    const Gateway& entry = this->fleet.Start(host, 0.2);
    BOOST_TEST(Eventually([&] { return entry.IsReady(); }));
  }

  /// Sends a request without waiting for the response.
  void Send(std::size_t entry) {
    const std::string id = std::to_string(++this->requests);
    test::Loop().Spawn([this, entry, id] {
      RawConnection caller(this->fleet.gateways.at(entry)->CallerAddress());
      caller.Write("POST /chat/" + id +
                   " HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
                   "X-Pimentospar-Request-Id: " +
                   id +
                   "\r\nX-Pimentospar-Deadline-Ms: 4000\r\n"
                   "Content-Length: 0\r\n\r\n");
      const std::string response = caller.ReadAll();
      this->answered += Contains(response, "id: 1") ? 1 : 0;
      this->refused += response.starts_with("HTTP/1.1 503") ? 1 : 0;
      ++this->ended;
    });
  }

  /// Sends requests to all entries in turn at this rate.
  void SendFor(milliseconds duration, double per_second) {
    const TimePoint end = this->fleet.clock.Now() + duration;
    const auto interval = milliseconds(static_cast<int>(1000 / per_second));
    std::size_t entry = 0;
    while (this->fleet.clock.Now() < end) {
      this->Send(entry++ % this->fleet.gateways.size());
      boost::this_fiber::sleep_for(interval);
    }
    BOOST_TEST(Eventually([&] { return this->ended == this->requests; }));
  }

  [[nodiscard]] TimePoint Now() const { return this->fleet.clock.Now(); }

  Fleet& fleet;
  // Their connections are served until the program ends.
  std::vector<LimitedTarget*> targets;
  std::size_t requests = 0;
  std::size_t answered = 0;
  std::size_t refused = 0;
  std::size_t ended = 0;
};

void CheckLimit(const LimitedTarget& target, TimePoint from) {
  const double seconds = std::chrono::duration<double>(kWindow).count();
  BOOST_TEST(static_cast<double>(target.MostInAWindow(from)) <=
             kMaxExcess * kLimitPerSecond * seconds + kSlack);
}

// No entry heeded the limit, and their sum was far beyond it.
BOOST_AUTO_TEST_CASE(TargetGetsMoreRequestsThanTheLimitItNamed) {
  LimitedFleet fleet(4, 1, 0);
  fleet.SendFor(milliseconds(1000), 10);
  const TimePoint limited_from = fleet.Now();
  fleet.SendFor(milliseconds(8000), 20);
  CheckLimit(*fleet.targets[0], limited_from);
  BOOST_TEST(fleet.answered + fleet.refused == fleet.requests);
  // A limit is there to be used.
  constexpr std::size_t kUsed = 8 * 2 * 3 / 4;
  BOOST_TEST(fleet.answered >= kUsed);
}

// Requests must not be refused, or wait, while another target takes them.
BOOST_AUTO_TEST_CASE(RequestsAreRefusedThoughAnotherTargetHasNoLimit) {
  LimitedFleet fleet(3, 1, 1);
  fleet.SendFor(milliseconds(1000), 10);
  const TimePoint limited_from = fleet.Now();
  fleet.SendFor(milliseconds(5000), 20);
  CheckLimit(*fleet.targets[0], limited_from);
  BOOST_TEST(fleet.answered == fleet.requests);
}

BOOST_AUTO_TEST_CASE(LimitOutlivesTheNeedOfItsTarget) {
  LimitedFleet fleet(3, 1, 0);
  fleet.SendFor(milliseconds(2000), 10);
  fleet.targets[0]->limited = false;
  fleet.SendFor(milliseconds(2000), 5);
  const std::size_t refused = fleet.refused;
  fleet.SendFor(milliseconds(2000), 20);
  BOOST_TEST(fleet.refused == refused);
}

// An entry that starts later must hear of the limit before it sends a burst of
// its own.
BOOST_AUTO_TEST_CASE(LaterEntryLearnsOfTheLimitFromItsOwnRequestsOnly) {
  LimitedFleet fleet(2, 1, 0);
  fleet.SendFor(milliseconds(1000), 10);
  fleet.AddEntry();
  fleet.SendFor(milliseconds(4000), 1);
  const std::size_t before = fleet.targets[0]->Arrivals();
  constexpr std::size_t kBurst = 20;
  for (std::size_t i = 0; i < kBurst; ++i) {
    fleet.Send(2);
  }
  BOOST_TEST(Eventually([&] { return fleet.ended == fleet.requests; }));
  // Two permits may have been saved, and some begin within a second.
  BOOST_TEST(fleet.targets[0]->Arrivals() - before <= 5U);
}

// Requests that wait for a turn at a target with a limit have its inventory;
// the lease holder sent it with each of their reports.
BOOST_AUTO_TEST_CASE(HolderSendsInventoriesOfLimitedTargetsAgainAndAgain) {
  Fleet& fleet = Fleet::Create();
  for (const char* name : {"limited", "other"}) {
    (void)fleet.log.AppendKeyed(
        fleet.registry.TargetStream(), name,
        R"({"service":"s","addr":"127.0.0.1:1","zone":"d","slots":8,)"
        R"("state":"ready","born":1,"models":[{"name":"m","adapters":[]}]})");
  }
  fleet.SetConfig(std::string(kConfig));
  const Gateway& holder = fleet.Start("h0", 0.2);
  BOOST_TEST(Eventually([&] { return holder.HoldsLease(); }));
  // Receives until the program ends.
  auto* entry = new ScriptedEntry(fleet, "scripted");
  EntryMessage limits;
  limits.limits = {{TargetId("limited"), 1, 2.0, milliseconds(0)}};
  EntryMessage report;
  report.wanted = {{ServiceId("s"), {ModelId("m"), {}}}};
  BOOST_TEST(Eventually([&] {
    entry->Send("h0", limits);
    entry->Send("h0", report);
    boost::this_fiber::sleep_for(milliseconds(20));
    return !entry->inventories.empty();
  }));
  BOOST_TEST(std::ranges::count(entry->inventories, TargetId("limited")) == 0);
}

// Entries that other entries still know but that have ended: whoever should
// space the requests is silent.
BOOST_AUTO_TEST_CASE(SilentEntryLeavesTheLimitToEachOther) {
  LimitedFleet fleet(3, 4, 0);
  for (const char* name : {"silent1", "silent2", "silent3", "silent4"}) {
    // Receives until the program ends.
    new ScriptedEntry(fleet.fleet, name);
  }
  fleet.SendFor(milliseconds(2000), 10);
  const TimePoint limited_from = fleet.Now();
  const std::size_t answered = fleet.answered;
  fleet.SendFor(milliseconds(8000), 20);
  for (const LimitedTarget* target : fleet.targets) {
    CheckLimit(*target, limited_from);
  }
  BOOST_TEST(fleet.answered > answered);
}

}  // namespace
}  // namespace pimentospar
