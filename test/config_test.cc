#define BOOST_TEST_MODULE config
#include "pimentospar/config.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>

namespace pimentospar {
namespace {

namespace leaf = boost::leaf;

std::vector<ConfigError> ErrorsOf(std::string_view text) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::vector<ConfigError>> {
        BOOST_LEAF_CHECK(ParseConfiguration(text));
        return std::vector<ConfigError>();
      },
      [](const ConfigErrors& found) { return found.errors; },
      [] {
        return std::vector<ConfigError>{{"", "other error", ""}};
      });
}

// Guards against a document that changes when it is parsed and serialized.
BOOST_AUTO_TEST_CASE(WritesWhatItReads) {
  Configuration configuration;
  configuration.deployment = "demo";
  configuration.regions = {{RegionId("north"), {DataCentreId("n1")}}};
  configuration.owners = {{OwnerId("shop"), 2.5, {"abc"}, {ModelId("m")}, {}}};
  configuration.models = {
      {ModelId("m"), "3", 100, 2, OwnerId("shop"), Priority::kBatch}};
  configuration.models[0].adapters = {{AdapterId("a"), 7}};
  configuration.services = {{ServiceId("booking"),
                             RegionId("north"),
                             4,
                             {{OperationId("create"), false}}}};
  configuration.targets = {
      {TargetId("t"), RegionId("north"), DataCentreId("n1")}};
  const std::string text = ToJson(configuration);
  const auto parsed = ParseConfiguration(text);
  BOOST_REQUIRE(parsed);
  BOOST_TEST(ToJson(parsed.value()) == text);
}

// Guards against reporting one error at a time, which makes an operator correct
// and submit the document again for each.
BOOST_AUTO_TEST_CASE(ReportsAllErrorsAtOnce) {
  const auto errors = ErrorsOf(
      R"({"colour":1,"regions":[{"id":"a","data_centres":["x"]}],
          "models":[{"weight_bytes":-1}],"store":{"parallel_loads":0}})");
  BOOST_TEST(errors.size() == 4U);
  const auto relations = ErrorsOf(
      R"({"regions":[{"id":"a","data_centres":["x"]}],
          "services":[{"id":"s","home_region":"b"},{"id":"s","home_region":"a"}],
          "targets":[{"id":"t","region":"a","data_centre":"y"}]})");
  BOOST_TEST(relations.size() == 3U);
}

BOOST_AUTO_TEST_CASE(RejectsTextThatIsNotJson) {
  BOOST_TEST(ErrorsOf("{").size() == 1U);
}

}  // namespace
}  // namespace pimentospar
