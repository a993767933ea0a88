#define BOOST_TEST_MODULE fingerprint
#include "pimentospar/fingerprint.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

namespace pimentospar {
namespace {

// Guards against a resent request that avoids quarantine by other white space
// or key order, and against requests of different owners that share strikes.
BOOST_AUTO_TEST_CASE(FingerprintIgnoresJsonFormatting) {
  const OwnerId owner("o");
  const auto of = [&](std::string_view body) {
    return FingerprintOf(owner, ModelId("m"), body);
  };
  BOOST_TEST((of(R"({"a":[1,{"b":2,"c":"x"}],"d":null})") ==
              of(R"({ "d":null, "a":[1,{"c":"x","b":2}] })")));
  BOOST_TEST((of(R"({"a":1})") != of(R"({"a":2})")));
  BOOST_TEST((of(R"({"a":[1,2]})") != of(R"({"a":[2,1]})")));
  BOOST_TEST((of("not json") != of("not json ")));
  BOOST_TEST((of("{}") != FingerprintOf(OwnerId("p"), ModelId("m"), "{}")));
  BOOST_TEST((FingerprintOf(OwnerId("ab"), ModelId("c"), "") !=
              FingerprintOf(OwnerId("a"), ModelId("bc"), "")));
}

// Returns how many fingerprints, from the most general one on, two requests
// share.
std::size_t SharedCount(const HttpRequestContent& left,
                        const HttpRequestContent& right) {
  const auto lefts = FingerprintsOfRequest(left);
  const auto rights = FingerprintsOfRequest(right);
  const auto differing = std::ranges::mismatch(lefts, rights);
  return static_cast<std::size_t>(differing.in1 - lefts.begin());
}

// Guards against a request that is taken for another one by what its page does
// not name, and against others that are taken for it.
BOOST_AUTO_TEST_CASE(RequestIsAnotherOneByItsPrompt) {
  using Parts = std::vector<Fingerprint>;
  const Parts prompt = {{1}, {2}, {3}};
  const Parts other_end = {{1}, {2}, {4}};
  const Parts other_start = {{5}, {2}, {3}};
  const HttpRequestContent request{"POST", "h", "/p", "body", prompt};
  const auto with = [&request](const Parts& parts) {
    HttpRequestContent changed = request;
    changed.prompt_parts = parts;
    return changed;
  };
  BOOST_TEST(FingerprintsOfRequest(request).size() == 3U);
  BOOST_TEST(SharedCount(request, request) == 3U);
  BOOST_TEST(SharedCount(request, with(other_end)) == 2U);
  BOOST_TEST(SharedCount(request, with(other_start)) == 1U);
  BOOST_TEST(SharedCount(request, with({})) == 1U);
  HttpRequestContent changed = request;
  changed.target = "/p?q";
  BOOST_TEST(SharedCount(request, changed) == 1U);
  for (const HttpRequestContent& other :
       {HttpRequestContent{"GET", "h", "/p", "body", prompt},
        HttpRequestContent{"POST", "i", "/p", "body", prompt},
        HttpRequestContent{"POST", "h", "/o", "body", prompt},
        HttpRequestContent{"POST", "h", "/p", "else", prompt}}) {
    BOOST_TEST(SharedCount(request, other) == 0U);
  }
  BOOST_TEST(FingerprintsOfRequest(with({})).size() == 1U);
}

// Guards against the refusal of a workspace's request for the crashes of
// another one, and against other fingerprints of requests without a workspace.
BOOST_AUTO_TEST_CASE(RequestIsAnotherOneByItsWorkspace) {
  const std::vector<Fingerprint> prompt = {{1}, {2}};
  HttpRequestContent request{"POST", "h", "/p?q", "body", prompt};
  const HttpRequestContent without = request;
  request.workspace = WorkspaceId("a");
  HttpRequestContent other = request;
  other.workspace = WorkspaceId("b");
  BOOST_TEST(SharedCount(request, request) == 3U);
  BOOST_TEST(SharedCount(request, other) == 0U);
  BOOST_TEST(SharedCount(request, without) == 0U);
  const Fingerprint part = FingerprintOfPromptPart("p");
  BOOST_TEST((FingerprintInWorkspace(part, {}) == part));
  BOOST_TEST((FingerprintInWorkspace(part, WorkspaceId("a")) != part));
  BOOST_TEST((FingerprintInWorkspace(part, WorkspaceId("a")) !=
              FingerprintInWorkspace(part, WorkspaceId("b"))));
}

}  // namespace
}  // namespace pimentospar
