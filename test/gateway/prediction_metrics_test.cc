#define BOOST_TEST_MODULE prediction_metrics
#include <boost/test/unit_test.hpp>

#include "net/metrics.h"

namespace pimentospar {
namespace {

// Guards against a number of series that grows with the routes, and against
// labels that break the format.
BOOST_AUTO_TEST_CASE(ExportsABoundedNumberOfRoutes) {
  Metrics metrics;
  BOOST_TEST(metrics.Render().find("first_event_ratio") == std::string::npos);
  metrics.RecordPrediction("a\"b", 1.1);
  metrics.RecordPrediction("a\"b", 100);
  for (int i = 0; i < 100; ++i) {
    metrics.RecordPrediction("r" + std::to_string(i), 0.5);
  }
  const std::string text = metrics.Render();
  const auto contains = [&text](std::string_view part) {
    return text.find(part) != std::string::npos;
  };
  BOOST_TEST(
      contains("first_event_ratio_bucket{route=\"a\\\"b\",le=\"1.0000\"} 0\n"));
  BOOST_TEST(
      contains("first_event_ratio_bucket{route=\"a\\\"b\",le=\"1.4142\"} 1\n"));
  BOOST_TEST(
      contains("first_event_ratio_bucket{route=\"a\\\"b\",le=\"+Inf\"} 2\n"));
  BOOST_TEST(contains("first_event_ratio_count{route=\"r30\"} 1\n"));
  BOOST_TEST(!contains("route=\"r31\""));
  BOOST_TEST(contains("first_event_ratio_count{route=\"other\"} 69\n"));
}

}  // namespace
}  // namespace pimentospar
