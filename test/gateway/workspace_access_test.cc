#define BOOST_TEST_MODULE workspace_access
#include <boost/test/unit_test.hpp>

#include "fleet.h"
#include "request_handler_fixture.h"

// Requests with keys of workspaces.
namespace pimentospar {
namespace {

using std::chrono::milliseconds;
using test::Contains;
using test::Count;
using test::Eventually;
using test::Fleet;
using test::HandlerFixture;
using test::RawConnection;
using test::ScriptedTarget;

constexpr std::string_view kKeyA = "Authorization: Bearer key-a\r\n";
constexpr std::string_view kKeyB = "authorization: bearer key-b\r\n";
constexpr ConfigIdentity kConfig{{1}, 7};

WorkspaceSpec Workspace(const std::string& name, std::string_view key) {
  WorkspaceSpec workspace;
  workspace.id = WorkspaceId(name);
  workspace.keys = {DigestOfKey(key)};
  return workspace;
}

// An entry with two workspaces, whose configuration has just been read.
struct Fixture : HandlerFixture {
  explicit Fixture(milliseconds revoke_time = milliseconds(5000))
      : HandlerFixture(revoke_time) {
    RoutingConfig config = this->table->Config();
    config.workspaces = {Workspace("ws-a", "key-a"),
                         Workspace("ws-b", "key-b")};
    RouteSpec open = test::Route("/open/", RequestKind::kSafe);
    open.requires_key = false;
    config.routes.push_back(open);
    this->table = std::make_shared<const RouteTable>(config);
    this->freshness.OnConfig(kConfig, true);
    this->freshness.OnOwnRead(this->clock.Now(), kConfig);
    this->AddTarget("t", this->target);
  }

  const std::string& LastRequest() { return this->target.Requests().back(); }

  ScriptedTarget target{test::Echo};
};

// Guards against a request without a valid key that reaches a target.
BOOST_AUTO_TEST_CASE(RequestWithoutAValidKeyIsUnauthorized) {
  Fixture fixture;
  for (const std::string_view key :
       {"", "Authorization: Bearer other\r\n", "Authorization: key-a\r\n"}) {
    const std::string response = fixture.Send("GET /safe/1", key);
    BOOST_TEST(response.starts_with("HTTP/1.1 401"), response);
    BOOST_TEST(Contains(response, R"({"reason":"unauthorized"})"), response);
    BOOST_TEST(!Contains(response, "Retry-After"), response);
  }
  BOOST_TEST(fixture.target.Requests().empty());
}

// Guards against a caller that poses as another workspace, and against a key
// that a target gets.
BOOST_AUTO_TEST_CASE(TargetGetsTheWorkspaceAndNoKey) {
  Fixture fixture;
  const std::string response =
      fixture.Send("GET /safe/1", std::string(kKeyB) +
                                      "x-pimentospar-tenant: ws-a\r\n"
                                      "Authorization: Bearer key-a\r\n");
  BOOST_TEST(response.starts_with("HTTP/1.1 200"), response);
  const std::string& request = fixture.LastRequest();
  BOOST_TEST(Contains(request, "X-Pimentospar-Tenant: ws-b\r\n"), request);
  BOOST_TEST(!Contains(request, "ws-a"), request);
  BOOST_TEST(!Contains(request, "key-"), request);
}

// Guards against a route without keys that refuses requests, passes on a key or
// a workspace that the caller made up, or needs a proof.
BOOST_AUTO_TEST_CASE(RouteWithoutKeysServesEveryRequest) {
  Fixture fixture;
  std::string response = fixture.Send("GET /open/1", kKeyA);
  BOOST_TEST(response.starts_with("HTTP/1.1 200"), response);
  BOOST_TEST(Contains(fixture.LastRequest(), "X-Pimentospar-Tenant: ws-a\r\n"));
  BOOST_TEST(!Contains(fixture.LastRequest(), "key-a"));
  fixture.freshness.OnConfig({{2}, 8}, true);
  response = fixture.Send("GET /open/1",
                          "Authorization: Bearer other\r\n"
                          "X-Pimentospar-Tenant: ws-a\r\n");
  BOOST_TEST(response.starts_with("HTTP/1.1 200"), response);
  BOOST_TEST(!Contains(fixture.LastRequest(), "Tenant"));
  BOOST_TEST(!Contains(fixture.LastRequest(), "other"));
}

// Guards against a request that runs although its key may have been revoked,
// and against a caller that is kept at the entry that cannot serve it.
BOOST_AUTO_TEST_CASE(EntryWithoutAProofRefusesRequests) {
  Fixture fixture(milliseconds(20));
  boost::this_fiber::sleep_for(milliseconds(30));
  RawConnection caller(fixture.server.LocalAddress());
  caller.Write(
      "GET /safe/1 HTTP/1.1\r\nHost: a.example\r\n"
      "Authorization: Bearer other\r\n\r\n");
  const std::string response = caller.ReadAll();
  BOOST_TEST(response.starts_with("HTTP/1.1 503"), response);
  BOOST_TEST(Contains(response, R"({"reason":"config_stale"})"), response);
  BOOST_TEST(Contains(response, "Retry-After: 0."), response);
  BOOST_TEST(Contains(response, "Connection: close"), response);
  BOOST_TEST(fixture.Send("GET /open/1", kKeyA).starts_with("HTTP/1.1 200"));
  BOOST_TEST(!Contains(fixture.LastRequest(), "Tenant"));
  BOOST_TEST(fixture.target.Requests().size() == 1U);
}

// Guards against the refusal of a request because the same one of another
// workspace has crashed targets.
BOOST_AUTO_TEST_CASE(CrashingRequestOfOneWorkspaceIsNotThatOfAnother) {
  Fixture fixture;
  const std::string prompt =
      "X-Pimentospar-Prompt-Prefix: shared:100,own:50\r\n";
  std::vector<std::unique_ptr<ScriptedTarget>> targets;
  (void)fixture.targets.OnRemoved(TargetId("t"), fixture.clock.Now());
  std::string response;
  for (int i = 0; i < 8; ++i) {
    targets.push_back(std::make_unique<ScriptedTarget>(
        [&targets, i](RawConnection& connection, const std::string& request) {
          if (Contains(request, "ws-b")) {
            return test::Echo(connection, request);
          }
          targets[static_cast<std::size_t>(i)]->Crash();
          return false;
        }));
    fixture.AddTarget("t" + std::to_string(i), *targets.back());
  }
  for (int i = 0; i < 8 && !Contains(response, "request_quarantined"); ++i) {
    response = fixture.Send("GET /safe/1", std::string(kKeyA) + prompt);
    boost::this_fiber::sleep_for(milliseconds(300));
  }
  BOOST_TEST(Contains(response, "request_quarantined"), response);
  response = fixture.Send("GET /safe/1", std::string(kKeyB) + prompt);
  BOOST_TEST(response.starts_with("HTTP/1.1 200"), response);
}

std::string Config(int version, std::string_view key) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"services":[{"name":"s"}],"tenants":[{"name":"ws-a",)"
         R"("api_keys":[")" +
         std::string(key) +
         R"("]}],"routes":[{"name":"r","host":"a.example","path_prefix":)"
         R"("/call/","kind":"safe","service":"s","attempts":2,)"
         R"("timeout_ms":4000,"goal_ms":1000}]})";
}

std::string Send(const Gateway& entry, std::string_view key) {
  RawConnection caller(entry.CallerAddress());
  caller.Write(HandlerFixture::Request("GET /call/1", key));
  return caller.ReadAll();
}

// Guards against an entry without the log that goes on to accept a key which
// was revoked, and against one that refuses requests although others can tell
// it that nothing was revoked.
BOOST_AUTO_TEST_CASE(EntryWithoutTheLogServesWhileOthersHaveProofs) {
  constexpr milliseconds kRevokeTime{2000};
  Fleet& fleet = Fleet::Create();
  fleet.revoke_time = kRevokeTime;
  fleet.SetConfig(Config(1, "key-a"));
  static ScriptedTarget target(test::Echo);
  fleet.AddTarget("t", "s", target.Address());
  const Gateway& holder = fleet.Start("h0", 0.5);
  BOOST_TEST(Eventually([&] { return holder.HoldsLease(); }));
  const Gateway& entry = fleet.Start("h1", 0.2);
  BOOST_TEST(Eventually([&] { return entry.IsReady(); }));
  BOOST_TEST(Eventually(
      [&] { return Send(entry, kKeyA).starts_with("HTTP/1.1 200"); }));
  boost::this_fiber::sleep_for(kRevokeTime);

  const std::size_t reads = fleet.views[1]->reads["keyed.op"];
  boost::this_fiber::sleep_for(kRevokeTime);
  BOOST_TEST(fleet.views[1]->reads["keyed.op"] <= reads + 1);

  fleet.views[1]->cut = true;
  boost::this_fiber::sleep_for(kRevokeTime);
  BOOST_TEST(entry.IsReady());
  BOOST_TEST(Send(entry, kKeyA).starts_with("HTTP/1.1 200"));

  fleet.SetConfig(Config(2, "key-b"));
  boost::this_fiber::sleep_for(kRevokeTime);
  BOOST_TEST(!entry.IsReady());
  BOOST_TEST(Send(entry, kKeyA).starts_with("HTTP/1.1 503"));
  BOOST_TEST(Send(entry, kKeyB).starts_with("HTTP/1.1 503"));
  BOOST_TEST(Send(holder, kKeyA).starts_with("HTTP/1.1 401"));
  BOOST_TEST(Send(holder, kKeyB).starts_with("HTTP/1.1 200"));

  fleet.views[1]->cut = false;
  BOOST_TEST(Eventually([&] { return entry.IsReady(); }));
  BOOST_TEST(Send(entry, kKeyA).starts_with("HTTP/1.1 401"));
}

// Guards against entries that stop to serve when the lease holder is down, and
// against requests that are accepted while the log is down for all.
BOOST_AUTO_TEST_CASE(EntriesReadTheLogThemselvesWithoutALeaseHolder) {
  constexpr milliseconds kRevokeTime{2000};
  Fleet& fleet = Fleet::Create();
  fleet.revoke_time = kRevokeTime;
  fleet.SetConfig(Config(1, "key-a"));
  const Gateway& holder = fleet.Start("h0", 0.5);
  BOOST_TEST(Eventually([&] { return holder.HoldsLease(); }));
  const Gateway& entry = fleet.Start("h1", 0.2);
  BOOST_TEST(Eventually([&] { return entry.IsReady(); }));
  fleet.views[0]->cut = true;
  for (int i = 0; i < 60; ++i) {
    boost::this_fiber::sleep_for(milliseconds(50));
    BOOST_TEST(entry.IsReady(), "after " << 50 * i << " ms");
  }
  fleet.views[1]->cut = true;
  BOOST_TEST(Eventually([&] { return !entry.IsReady(); }));
  BOOST_TEST(Send(entry, kKeyA).starts_with("HTTP/1.1 503"));
}

// Guards against entries that each read the log once a second while the lease
// holder replies to their queries.
BOOST_AUTO_TEST_CASE(ReadsOfAFleetStayRareWhileTheHolderReplies) {
  constexpr std::size_t kEntries = 24;
  constexpr std::chrono::seconds kTime{5};
  Fleet& fleet = Fleet::Create();
  fleet.revoke_time = milliseconds(5000);
  fleet.SetConfig(Config(1, "key-a"));
  for (std::size_t i = 0; i < kEntries; ++i) {
    (void)fleet.Start("h" + std::to_string(i), i == 0 ? 0.5 : 0.2);
  }
  const auto count_reads = [&fleet] {
    std::size_t reads = 0;
    for (const auto& view : fleet.views) {
      reads += view->reads["keyed.op"];
    }
    return reads;
  };
  BOOST_TEST(Eventually([&] { return fleet.HolderCount() == 1; }));
  boost::this_fiber::sleep_for(kTime);
  const std::size_t before = count_reads();
  boost::this_fiber::sleep_for(kTime);
  // Each other entry reads every 4.8 s in any case.
  BOOST_TEST(count_reads() - before <= kTime.count() + 2 * kEntries);
  BOOST_TEST(std::ranges::all_of(
      fleet.gateways, [](const auto& entry) { return entry->IsReady(); }));
}

}  // namespace
}  // namespace pimentospar
