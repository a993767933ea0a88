#define BOOST_TEST_MODULE output_length_estimator
#include "pimentospar/routing/output_length_estimator.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>
#include <string>

namespace pimentospar {
namespace {

constexpr int kRequests = 3000;

// Errors of the estimates as mean absolute logarithms.
struct Errors {
  double with_hint = 0;
  double without_hint = 0;
};

// Lengths are lognormal; a share of the hints is off by a lognormal factor.
Errors Measure(double bad_share, double bad_sigma) {
  std::mt19937_64 engine(3);
  std::normal_distribution<double> normal;
  std::uniform_real_distribution<double> uniform;
  OutputLengthEstimator estimator;
  const OutputSource source{"chat", "m", "w"};
  Errors errors;
  for (int i = 0; i < kRequests; ++i) {
    const double tokens = std::exp(5 + 0.8 * normal(engine));
    const double sigma = uniform(engine) < bad_share ? bad_sigma : 0.1;
    const auto hint = static_cast<std::uint32_t>(
        std::ceil(tokens * std::exp(sigma * normal(engine))));
    if (i > 100) {
      errors.with_hint +=
          std::abs(std::log(estimator.ExpectedTokens(source, hint) / tokens));
      errors.without_hint +=
          std::abs(std::log(estimator.ExpectedTokens(source, {}) / tokens));
    }
    estimator.OnEnd(source, hint, tokens);
  }
  return {errors.with_hint / kRequests, errors.without_hint / kRequests};
}

// Guards against ignoring correct hints, and against following wrong ones.
BOOST_AUTO_TEST_CASE(FollowsTheHintAsFarAsItIsRight) {
  for (const auto& [share, sigma, most] :
       {std::tuple{0.0, 0.0, 0.25}, {0.3, 1.0, 0.75}, {1.0, 2.5, 1.02}}) {
    const Errors errors = Measure(share, sigma);
    BOOST_TEST_MESSAGE("share of bad hints "
                       << share << ": error " << errors.with_hint
                       << " with hint, " << errors.without_hint << " without");
    BOOST_TEST(errors.with_hint < most * errors.without_hint);
  }
}

// Guards against single hints that are off by orders of magnitude.
BOOST_AUTO_TEST_CASE(SurvivesHeavyTails) {
  const Errors errors = Measure(0.2, 6);
  BOOST_TEST_MESSAGE("heavy tails: error " << errors.with_hint << ", without "
                                           << errors.without_hint);
  BOOST_TEST(errors.with_hint < 1.1 * errors.without_hint);
}

// Guards against estimates from few samples, and against mixing routes.
BOOST_AUTO_TEST_CASE(FallsBackFromTheSpecificToTheGeneral) {
  OutputLengthEstimator estimator;
  BOOST_TEST(estimator.ExpectedTokens({"chat", "m", "w"}, {}) == 0);
  BOOST_TEST(estimator.ExpectedTokens({"chat", "m", "w"}, 70) == 70);
  for (int i = 0; i < 100; ++i) {
    estimator.OnEnd({"chat", "m", "w"}, {}, 300);
    estimator.OnEnd({"chat", "terse", "w"}, {}, 30);
    estimator.OnEnd({"digest", "m", "w"}, {}, 60);
  }
  const auto expect = [&](const OutputSource& source, double tokens) {
    const double expected = estimator.ExpectedTokens(source, {});
    BOOST_TEST(std::abs(std::log(expected / tokens)) < 0.2);
  };
  expect({"chat", "m", "w"}, 300);
  expect({"chat", "terse", "w"}, 30);
  expect({"digest", "m", "new"}, 60);
  expect({"digest", "new", "new"}, 60);
  estimator.OnEnd({"digest", "m", "new"}, {}, 6000);
  expect({"digest", "m", "new"}, 100);
}

// Guards against unbounded memory with many workspaces.
BOOST_AUTO_TEST_CASE(RemembersABoundedNumberOfSources) {
  OutputLengthEstimator estimator;
  for (int i = 0; i < 20000; ++i) {
    estimator.OnEnd({"chat", "m", std::to_string(i)}, {}, 300);
  }
  BOOST_TEST(estimator.Size() <= 4096U);
  BOOST_TEST(estimator.ExpectedTokens({"chat", "m", "0"}, {}) > 250);
}

}  // namespace
}  // namespace pimentospar
