#define BOOST_TEST_MODULE quota_exchange
#include <boost/test/unit_test.hpp>

#include "fleet.h"
#include "request_handler_fixture.h"

// Quotas of workspaces at entries that exchange datagrams.
namespace pimentospar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::Contains;
using test::Eventually;
using test::Fleet;
using test::HandlerFixture;
using test::RawConnection;
using test::RequestIdOf;
using test::Response;
using test::ScriptedTarget;

constexpr std::string_view kAuthorized = "Authorization: Bearer k1\r\n";

// An entry with one workspace that has a quota.
struct QuotaFixture : HandlerFixture {
  QuotaFixture() {
    RoutingConfig config = this->table->Config();
    config.version = {2};
    WorkspaceSpec workspace;
    workspace.id = WorkspaceId("w");
    workspace.keys = {DigestOfKey("k1")};
    workspace.quota = WorkspaceQuota{QuotaUnit::kTokens, 1000, 1000, 50};
    config.workspaces = {workspace};
    this->table = std::make_shared<const RouteTable>(config);
    this->quotas.OnConfig(config.workspaces);
    this->quotas.OnHolderMessage();
  }

  void SetFraction(double fraction) {
    const QuotaLimit limit{WorkspaceId("w"), fraction};
    this->quotas.OnLimits({&limit, 1});
  }
  [[nodiscard]] const QuotaCounts& Counts() const {
    return *this->quotas.Find(WorkspaceId("w"));
  }
};

// Guards against a refused request that reaches a target, is counted as sent,
// or whose caller is not told when to try again.
BOOST_FIXTURE_TEST_CASE(RefusesRequestsOverTheQuota, QuotaFixture) {
  const ScriptedTarget target(test::Echo);
  this->AddTarget("t1", target);
  const std::string tokens =
      std::string(kAuthorized) + "X-Pimentospar-Tokens: 300,40\r\n";
  this->SetFraction(0);
  const std::string refused = this->Send("POST /safe/x", tokens, "b");
  BOOST_TEST(Contains(refused, "HTTP/1.1 429 "));
  BOOST_TEST(Contains(refused, "quota_exceeded"));
  BOOST_TEST(Contains(refused, "Retry-After: "));
  BOOST_TEST(target.Requests().empty());
  BOOST_TEST(this->Counts().asked == 340);
  BOOST_TEST(this->Counts().refused == 340);
  BOOST_TEST(this->Counts().sent == 0);
  this->SetFraction(1);
  BOOST_TEST(Contains(this->Send("POST /safe/x", tokens, "b"), "200 OK"));
  BOOST_TEST(this->Counts().sent == 340);
  BOOST_TEST(Contains(this->Send("POST /safe/x", kAuthorized, "b"), "200 OK"));
  BOOST_TEST(this->Counts().sent == 390);
}

// Guards against token counts whose sum overflows, so that a request is not
// charged.
BOOST_FIXTURE_TEST_CASE(ChargesHugeTokenCounts, QuotaFixture) {
  this->SetFraction(0);
  const std::string tokens =
      std::string(kAuthorized) + "X-Pimentospar-Tokens: 4294967295,1\r\n";
  const std::string refused = this->Send("POST /safe/x", tokens, "b");
  BOOST_TEST(Contains(refused, "HTTP/1.1 429 "));
  BOOST_TEST(this->Counts().asked == 4294967296.0);
}

// Guards against usage that is counted although no target has got the request,
// and against usage that is counted again with each attempt.
BOOST_FIXTURE_TEST_CASE(CountsARequestOnce, QuotaFixture) {
  this->SetFraction(1);
  BOOST_TEST(Contains(this->Send("POST /safe/x", kAuthorized, "b"), "503"));
  BOOST_TEST(this->Counts().sent == 0);
  int failures_left = 1;
  const ScriptedTarget target(
      [&](RawConnection& connection, const std::string& request) {
        if (failures_left-- > 0) {
          connection.Write(Response(RequestIdOf(request), "",
                                    "X-Pimentospar-Not-Run: 1\r\n",
                                    "503 Service Unavailable"));
          return true;
        }
        return test::Echo(connection, request);
      });
  const ScriptedTarget other(test::Echo);
  this->AddTarget("t1", target);
  this->AddTarget("t2", other);
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(
        Contains(this->Send("POST /safe/x", kAuthorized, "b"), "200 OK"));
  }
  BOOST_TEST(this->Counts().sent == 200);
}

// An entry that the test plays and that counts the messages about quotas.
class CountingEntry {
 public:
  explicit CountingEntry(Fleet& fleet) {
    const UdpEndpoint local = this->socket.local_endpoint();
    (void)fleet.log.AppendKeyed(
        fleet.registry.EntryStream(), "counting",
        Encode(EntryRegistration{{local.address().to_string(), local.port()},
                                 0.1}));
    test::Loop().Spawn([this] { this->Receive(); });
  }

  std::size_t limits = 0;
  std::size_t usage = 0;
  std::size_t others = 0;

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
      this->limits += message->quota_epoch > 0 ? 1 : 0;
      this->usage += message->quota_usage.empty() ? 0 : 1;
      this->others += message->quota_epoch == 0 ? 1 : 0;
    }
  }

  UdpSocket socket{test::Loop().Context(),
                   {boost::asio::ip::make_address("127.0.0.1"), 0}};
};

std::string ConfigWith(int version, std::string_view tenants) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"services":[{"name":"s"}],"routes":[{"name":"r",)"
         R"("host":"a.example","path_prefix":"/","kind":"safe","service":"s",)"
         R"("attempts":1,"timeout_ms":4000,"goal_ms":1000}])" +
         std::string(tenants) + "}";
}

// The callers of a workspace at two entries, which ask for far more than its
// quota.
struct BusyWorkspace {
  explicit BusyWorkspace(Fleet& fleet) {
    for (const auto& gateway : fleet.gateways) {
      for (int i = 0; i < 2; ++i) {
        test::Loop().Spawn([this, &gateway] { this->Call(*gateway); });
      }
    }
  }

  ~BusyWorkspace() {
    this->stopped = true;
    (void)Eventually([this] { return this->ended == 4; });
  }

  void Call(const Gateway& gateway) {
    while (!this->stopped) {
      RawConnection caller(gateway.CallerAddress());
      caller.Write(HandlerFixture::Request("POST /x", kAuthorized, "b"));
      const std::string& response = caller.ReadAll();
      this->answered += Contains(response, "200 OK") ? 1 : 0;
      this->refused += Contains(response, "quota_exceeded") ? 1 : 0;
      boost::this_fiber::sleep_for(milliseconds(20));
    }
    ++this->ended;
  }

  bool stopped = false;
  int ended = 0;
  std::size_t answered = 0;
  std::size_t refused = 0;
};

// Guards against usage or limits that do not reach the other entries, and
// against datagrams while no workspace has a quota.
BOOST_AUTO_TEST_CASE(EntriesShareAQuota) {
  constexpr double kPerSecond = 40;
  Fleet& fleet = Fleet::Create();
  // Receives until the program ends.
  auto* counting = new CountingEntry(fleet);
  const ScriptedTarget target(test::Echo);
  fleet.AddTarget("t1", "s", target.Address());
  fleet.SetConfig(ConfigWith(
      1, R"(,"tenants":[{"name":"w","api_keys":["k1"],"priority":0}])"));
  fleet.Start("h0", 4);
  fleet.Start("h1", 1);
  BOOST_TEST(Eventually([&] {
    return fleet.HolderCount() == 1 && counting->others > 3 &&
           fleet.gateways[0]->IsReady() && fleet.gateways[1]->IsReady();
  }));
  BOOST_TEST(counting->limits + counting->usage == 0);
  fleet.SetConfig(ConfigWith(
      2,
      R"(,"tenants":[{"name":"w","api_keys":["k1"],"per_s":40,"burst":40}])"));
  boost::this_fiber::sleep_for(seconds(4));
  BusyWorkspace busy(fleet);
  boost::this_fiber::sleep_for(seconds(2));
  const std::size_t answered = busy.answered;
  constexpr double kTime = 4;
  boost::this_fiber::sleep_for(std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(kTime)));
  const auto in_time = static_cast<double>(busy.answered - answered);
  BOOST_TEST_MESSAGE("answered " << in_time << ", refused " << busy.refused
                                 << ", limits sent " << counting->limits);
  BOOST_TEST(in_time <= 1.3 * kTime * kPerSecond);
  BOOST_TEST(in_time >= 0.7 * kTime * kPerSecond);
  BOOST_TEST(busy.refused > 0U);
  BOOST_TEST(counting->limits > 5U);
}

}  // namespace
}  // namespace pimentospar
