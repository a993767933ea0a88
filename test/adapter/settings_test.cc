#define BOOST_TEST_MODULE settings
#include "daemon/settings.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

namespace pimentospar {
namespace {

namespace leaf = boost::leaf;

constexpr std::string_view kEntry = R"(role = "entry"
host = "h"
region = "north"
data_centre = "n1"
[address]
caller = "127.0.0.1:0"
operator = "127.0.0.1:0"
rpc = "127.0.0.1:0"
[platform]
log = "127.0.0.1:1"
hosts = "127.0.0.1:2"
)";

std::vector<std::string> ErrorsOf(std::string_view text) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::vector<std::string>> {
        BOOST_LEAF_CHECK(ParseSettings(text, "f.toml"));
        return std::vector<std::string>();
      },
      [](const SettingsErrors& found) {
        std::vector<std::string> lines;
        for (const SettingsError& error : found.errors) {
          lines.push_back(ToString(error));
        }
        return lines;
      },
      [] { return std::vector<std::string>{"other error"}; });
}

// Guards against a process that starts with settings it does not understand.
BOOST_AUTO_TEST_CASE(NamesFileLineAndKeyOfEachError) {
  BOOST_TEST(ErrorsOf(kEntry).empty());
  const std::string text = std::string(kEntry) + R"([limits]
body_bytes = "many"
connections = 0
colour = 3
[address2]
x = 1
)";
  const std::vector<std::string> errors = ErrorsOf(text);
  const std::vector<std::string> expected = {
      "f.toml:13: limits.body_bytes: is not a whole number",
      "f.toml:14: limits.connections: 0 is out of range 1 to 1000000",
      "f.toml:16: address2: is an unknown key",
      "f.toml:15: limits.colour: is an unknown key"};
  BOOST_TEST(errors == expected, boost::test_tools::per_element());
}

// Guards against an agent that runs without knowing its target.
BOOST_AUTO_TEST_CASE(AsksForTheKeysOfTheRole) {
  std::string text(kEntry);
  text.replace(text.find("entry"), 5, "agent");
  const std::vector<std::string> errors = ErrorsOf(text);
  const std::vector<std::string> expected = {
      "f.toml:1: target.id: is missing",
      "f.toml:1: target.address: is missing"};
  BOOST_TEST(errors == expected, boost::test_tools::per_element());
}

// Guards against a configuration page that describes other settings than the
// code checks.
BOOST_AUTO_TEST_CASE(ThePageHasTheTable) {
  std::ifstream file(PIMENTOSPAR_SOURCE_DIR "/docs/configuration.md");
  std::ostringstream page;
  page << file.rdbuf();
  BOOST_TEST(page.str().find(DescribeSettings()) != std::string::npos);
}

}  // namespace
}  // namespace pimentospar
