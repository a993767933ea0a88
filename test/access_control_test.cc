#define BOOST_TEST_MODULE access_control
#include "pimentospar/access/access_control.h"

#include <boost/test/unit_test.hpp>

namespace pimentospar {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRevokeTime{5000};
constexpr ConfigIdentity kConfig{{1}, 7};

WorkspaceSpec Workspace(const std::string& name,
                        const std::vector<std::string>& keys) {
  WorkspaceSpec workspace;
  workspace.id = WorkspaceId(name);
  for (const std::string& key : keys) {
    workspace.keys.push_back(DigestOfKey(key));
  }
  return workspace;
}

struct Fixture {
  Fixture() {
    RoutingConfig config;
    // The last one has a key of the first one, and an empty one.
    config.workspaces = {Workspace("a", {"key-a", "key-a2"}),
                         Workspace("b", {"key-b"}),
                         Workspace("c", {"key-a", ""})};
    this->table = std::make_unique<RouteTable>(config);
    this->freshness.OnConfig(kConfig, true);
    this->freshness.OnOwnRead(this->clock.Now(), kConfig);
  }

  AccessDecision Check(std::string_view key, bool requires_key = true) {
    RouteSpec route;
    route.requires_key = requires_key;
    return this->access.Check(*this->table, route, key);
  }
  std::string WorkspaceOf(std::string_view key, bool requires_key = true) {
    const auto decision = this->Check(key, requires_key);
    const auto* granted = std::get_if<AccessGranted>(&decision);
    if (granted == nullptr) {
      return "denied";
    }
    return granted->workspace == nullptr ? "" : granted->workspace->id.value;
  }
  AccessDenied DenialOf(std::string_view key) {
    return std::get<AccessDenied>(this->Check(key));
  }

  ManualClock clock;
  SeededRandom random{4};
  ConfigFreshness freshness{clock, random, kRevokeTime};
  AccessControl access{freshness};
  std::unique_ptr<RouteTable> table;
};

// Guards against a key that identifies another workspace, or none.
BOOST_FIXTURE_TEST_CASE(KeyIdentifiesItsWorkspace, Fixture) {
  BOOST_TEST(this->WorkspaceOf("key-a") == "a");
  BOOST_TEST(this->WorkspaceOf("key-a2") == "a");
  BOOST_TEST(this->WorkspaceOf("key-b") == "b");
  BOOST_TEST(this->WorkspaceOf("key-b", false) == "b");
  BOOST_TEST(this->WorkspaceOf("none", false) == "");
}

// Guards against a missing key that matches an empty one of the configuration.
BOOST_FIXTURE_TEST_CASE(UnknownOrMissingKeyIsUnauthorized, Fixture) {
  for (const std::string_view key : {"", "key", "key-a ", "KEY-A"}) {
    BOOST_TEST((this->DenialOf(key).reason == Reason::kUnauthorized));
    BOOST_TEST(!this->DenialOf(key).retry_after);
  }
}

// Guards against a 401 for a key that a newer configuration may have added, and
// against callers that all come back at the same time.
BOOST_FIXTURE_TEST_CASE(WithoutAProofEveryKeyGetsStale, Fixture) {
  this->clock.Advance(milliseconds(3500));
  for (const std::string_view key : {"key-a", "none", ""}) {
    const AccessDenied denied = this->DenialOf(key);
    BOOST_TEST((denied.reason == Reason::kConfigStale));
    BOOST_TEST((*denied.retry_after >= milliseconds(250)));
    BOOST_TEST((*denied.retry_after <= milliseconds(500)));
  }
  BOOST_TEST(
      (this->DenialOf("").retry_after != this->DenialOf("").retry_after));
  // The key may have been revoked and must not name a workspace to the target.
  BOOST_TEST(this->WorkspaceOf("key-a", false) == "");
  this->clock.Advance(std::chrono::seconds(10));
  BOOST_TEST((*this->DenialOf("").retry_after >= milliseconds(800)));
}

// Guards against requests that are refused where no keys can be revoked.
BOOST_AUTO_TEST_CASE(WithoutWorkspacesOrABoundNothingIsStale) {
  Fixture fixture;
  ConfigFreshness unbounded(fixture.clock, fixture.random, std::nullopt);
  unbounded.OnConfig(kConfig, true);
  const AccessControl access(unbounded);
  const auto decision = access.Check(*fixture.table, {}, "key-b");
  BOOST_TEST(std::holds_alternative<AccessGranted>(decision));
  fixture.freshness.OnConfig({{2}, 8}, false);
  fixture.table = std::make_unique<RouteTable>(RoutingConfig{});
  fixture.clock.Advance(std::chrono::hours(1));
  BOOST_TEST(fixture.WorkspaceOf("") == "");
}

// Guards against a look-up that depends on where the digests lie in memory.
BOOST_AUTO_TEST_CASE(LookUpSurvivesACopyOfTheTable) {
  Fixture fixture;
  const RouteTable copy = *fixture.table;
  fixture.table.reset();
  const WorkspaceSpec* found = copy.FindWorkspace(DigestOfKey("key-b"));
  BOOST_TEST((found == &copy.Config().workspaces[1]));
  // Digests with the same first bytes.
  KeyDigest similar = DigestOfKey("key-b");
  similar.back() ^= 1;
  BOOST_TEST(copy.FindWorkspace(similar) == nullptr);
}

}  // namespace
}  // namespace pimentospar
