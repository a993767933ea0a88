#define BOOST_TEST_MODULE reason
#include "pimentospar/reason.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

namespace pimentospar {
namespace {

// Guards against a reason that docs/OPERATIONS.md does not list or lists with
// another HTTP status.
BOOST_AUTO_TEST_CASE(TheOperatorsPageHasEachReason) {
  std::ifstream file(PIMENTOSPAR_SOURCE_DIR "/docs/OPERATIONS.md");
  std::ostringstream page;
  page << file.rdbuf();
  for (const ReasonInfo& info : ReasonTable()) {
    if (info.reason == Reason::kNone) {
      continue;
    }
    const std::string row = "| `" + std::string(info.code) + "` | " +
                            std::to_string(info.http_status) + " |";
    BOOST_TEST(page.str().find(row) != std::string::npos, row);
  }
}

// Guards against two reasons with one code, which would share a counter, and
// against an invalid value from a peer.
BOOST_AUTO_TEST_CASE(CodesAreUniqueAndUnknownValuesAreInternal) {
  std::set<std::string_view> codes;
  for (const ReasonInfo& info : ReasonTable()) {
    BOOST_TEST(codes.insert(info.code).second);
  }
  BOOST_TEST(CodeOf(static_cast<Reason>(9999)) == "internal");
}

}  // namespace
}  // namespace pimentospar
