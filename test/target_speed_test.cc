#define BOOST_TEST_MODULE target_speed
#include "pimentospar/routing/target_speed.h"

#include <algorithm>
#include <array>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>
#include <vector>

#include "pimentospar/routing/prompt_split.h"

namespace pimentospar {
namespace {

constexpr std::array kSpeeds{0.55, 1.2, 1.2};
constexpr std::size_t kTargets = 9;

// Feeds samples of targets with three classes of speed. Three samples in ten
// contain a prefill of others; 15% are 2.5 times slower without a report.
struct Fleet {
  explicit Fleet(double prefill_scale) : prefill_scale(prefill_scale) {}

  void Feed(int samples) {
    std::uniform_real_distribution<double> uniform;
    std::normal_distribution<double> normal;
    for (int i = 0; i < samples; ++i) {
      for (std::size_t t = 0; t < kTargets; ++t) {
        const auto time = [&](double nominal) {
          const double other_work =
              uniform(this->engine) < 0.3 ? 1 + 8 * uniform(this->engine) : 1;
          const double slowdown = uniform(this->engine) < 0.15 ? 2.5 : 1;
          return nominal / kSpeeds[t % 3] * other_work * slowdown *
                 std::exp(0.1 * normal(this->engine));
        };
        this->service.OnStep(this->speeds[t], time(3.6));
        const double tokens = 500 * std::exp(2.5 * uniform(this->engine));
        // Half of the prompts wait for others.
        const double wait =
            uniform(this->engine) < 0.5 ? 150 * uniform(this->engine) : 0;
        this->service.OnFirstEvent(
            this->speeds[t], tokens, 7,
            time(this->prefill_scale * (tokens / 38 + wait) + 7 * 3.6));
      }
      if (i % 10 == 9) {
        this->UpdateBaseline();
      }
    }
  }

  void UpdateBaseline() {
    std::vector<const TargetSpeed*> known;
    for (const TargetSpeed& speed : this->speeds) {
      known.push_back(&speed);
    }
    this->service.UpdateBaseline(known);
  }

  [[nodiscard]] double Factor(std::size_t target) const {
    return this->speeds[target].TimeFactor(this->service.Baseline());
  }

  double prefill_scale;
  std::mt19937_64 engine{4};
  std::array<TargetSpeed, kTargets> speeds;
  ServiceSpeed service;
};

// Guards against a speed that is taken for a constant, and against slowdowns
// that pass for a slow target.
BOOST_AUTO_TEST_CASE(TellsClassesOfSpeedApart) {
  for (const double scale : {1.0, 3.0, 0.5}) {
    Fleet fleet(scale);
    fleet.Feed(50);
    double slowest_fast = 0;
    double fastest_slow = 1e9;
    for (std::size_t t = 0; t < kTargets; ++t) {
      if (t % 3 == 0) {
        fastest_slow = std::min(fastest_slow, fleet.Factor(t));
      } else {
        slowest_fast = std::max(slowest_fast, fleet.Factor(t));
      }
    }
    BOOST_TEST_MESSAGE("scale "
                       << scale << ": fast up to " << slowest_fast
                       << ", slow from " << fastest_slow << ", baseline "
                       << 1 / fleet.service.Baseline().ms_per_prompt_token
                       << " tokens/ms, step "
                       << fleet.service.Baseline().ms_per_step << " ms");
    BOOST_TEST(fastest_slow > 1.4 * slowest_fast);
    const double actual = scale / 38 / 1.2;
    BOOST_TEST(fleet.service.Baseline().ms_per_prompt_token > 0.75 * actual);
    BOOST_TEST(fleet.service.Baseline().ms_per_prompt_token < 1.35 * actual);
  }
}

// Guards against copies that move, and entries that disagree, because measured
// speeds fluctuate.
BOOST_AUTO_TEST_CASE(KeepsTheSlowestEnginesForShortPrompts) {
  const auto engines_of = [](const std::vector<double>& factors) {
    std::vector<EngineSpeed> engines;
    for (std::size_t i = 0; i < factors.size(); ++i) {
      engines.push_back({TargetId("e" + std::to_string(i)), factors[i]});
    }
    return engines;
  };
  const std::vector<double> uneven{1, 1, 1.9, 1, 1.8, 1, 1, 1, 1.7};
  const std::set<TargetId> slow{TargetId("e2"), TargetId("e4"), TargetId("e8")};
  BOOST_TEST((SelectShortPromptEngines(engines_of(uneven), {}) == slow));
  std::mt19937_64 engine(1);
  std::normal_distribution<double> normal(0, 0.03);
  std::set<TargetId> chosen;
  int changes = 0;
  for (int i = 0; i < 200; ++i) {
    std::vector<double> factors(kTargets);
    std::ranges::generate(factors, [&] { return std::exp(normal(engine)); });
    const std::set<TargetId> next =
        SelectShortPromptEngines(engines_of(factors), chosen);
    changes += i > 0 && next != chosen ? 1 : 0;
    chosen = next;
  }
  BOOST_TEST(changes == 0);
}

// Guards against a slowdown that outlives its report.
BOOST_AUTO_TEST_CASE(ForgetsAMomentarySlowdown) {
  ManualClock clock;
  MomentarySlowdown slowdown;
  BOOST_TEST(slowdown.Factor(clock.Now()) == 1);
  slowdown.OnReport(2.5, clock.Now());
  BOOST_TEST(slowdown.Factor(clock.Now()) == 2.5);
  BOOST_TEST(slowdown.IsKnown(clock.Now()));
  clock.Advance(std::chrono::milliseconds(600));
  BOOST_TEST(slowdown.Factor(clock.Now()) < 1.4);
  BOOST_TEST(!slowdown.IsKnown(clock.Now()));
}

}  // namespace
}  // namespace pimentospar
