#define BOOST_TEST_MODULE fingerprint
#include "pimentospar/fingerprint.h"

#include <boost/test/unit_test.hpp>

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

}  // namespace
}  // namespace pimentospar
