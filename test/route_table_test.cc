#define BOOST_TEST_MODULE route_table
#include "pimentospar/routing/route_table.h"

#include <boost/test/unit_test.hpp>

namespace pimentospar {
namespace {

RouteSpec Route(std::string name, std::string prefix) {
  RouteSpec route;
  route.name = std::move(name);
  route.host = "a.example";
  route.path_prefix = std::move(prefix);
  return route;
}

RouteTable Table() {
  RoutingConfig config;
  config.routes = {Route("short", "/x/"), Route("long", "/x/y/"),
                   Route("other", "/z/")};
  return RouteTable(std::move(config));
}

BOOST_AUTO_TEST_CASE(ChoosesTheLongestPrefix) {
  const RouteTable table = Table();
  BOOST_TEST(table.Match("a.example", "/x/y/1")->name == "long");
  BOOST_TEST(table.Match("a.example", "/x/1")->name == "short");
}

BOOST_AUTO_TEST_CASE(IgnoresCaseAndPortOfTheHost) {
  const RouteTable table = Table();
  BOOST_TEST(table.Match("A.Example:8080", "/z/")->name == "other");
}

BOOST_AUTO_TEST_CASE(FindsNothingForOtherHostsAndPaths) {
  const RouteTable table = Table();
  BOOST_TEST(table.Match("b.example", "/x/1") == nullptr);
  BOOST_TEST(table.Match("a.example", "/x") == nullptr);
  BOOST_TEST(table.Match("", "/x/1") == nullptr);
}

BOOST_AUTO_TEST_CASE(SplitsByWeight) {
  RouteSpec route;
  route.services = {
      {ServiceId("a"), 90}, {ServiceId("b"), 10}, {ServiceId("c"), 0}};
  BOOST_TEST(ChooseService(route, 0.0)->value == "a");
  BOOST_TEST(ChooseService(route, 0.89)->value == "a");
  BOOST_TEST(ChooseService(route, 0.91)->value == "b");
  BOOST_TEST(ChooseService(route, 0.9999999999)->value == "b");
  BOOST_TEST(ChooseService({}, 0.5) == nullptr);
}

BOOST_AUTO_TEST_CASE(OnlySafeAndResumableRequestsAreRepeatable) {
  RouteSpec route;
  route.kind = RequestKind::kUnsafe;
  route.resumable = true;
  BOOST_TEST(!route.IsRepeatable());
  route.kind = RequestKind::kStream;
  BOOST_TEST(route.IsRepeatable());
  route.resumable = false;
  BOOST_TEST(!route.IsRepeatable());
  route.kind = RequestKind::kSafe;
  BOOST_TEST(route.IsRepeatable());
}

}  // namespace
}  // namespace pimentospar
