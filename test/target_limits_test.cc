#define BOOST_TEST_MODULE target_limits
#include "pimentospar/routing/target_limits.h"

#include <boost/test/unit_test.hpp>

namespace pimentospar {
namespace {

using namespace std::chrono_literals;

const TargetId target_id("t");
constexpr std::int64_t kStarted = 100;

struct Fixture {
  ManualClock clock;
  SeededRandom random{1};
  TargetLimits limits{clock};
};

BOOST_FIXTURE_TEST_CASE(KeepsTheLimitForAsLongAsTheTargetSaysSo, Fixture) {
  BOOST_TEST(!this->limits.HasLimits());
  this->limits.OnResponse(target_id, kStarted, 2.5);
  BOOST_TEST(this->limits.Find(target_id, kStarted).value() == 2.5);
  this->clock.Advance(60s);
  BOOST_TEST(this->limits.HasLimits());
  this->clock.Advance(1ms);
  this->limits.OnResponse(target_id, kStarted, std::nullopt);
  BOOST_TEST(!this->limits.Find(target_id, kStarted));
  BOOST_TEST(!this->limits.HasLimits());
}

// Guards against a limit that is kept for a target that has started anew, and
// against one that an old response brings back.
BOOST_FIXTURE_TEST_CASE(EndsTheLimitWithTheIncarnation, Fixture) {
  this->limits.OnResponse(target_id, kStarted, 2);
  BOOST_TEST(!this->limits.Find(target_id, kStarted + 1));
  this->clock.Advance(1ms);
  this->limits.OnResponse(target_id, kStarted + 1, 3);
  this->clock.Advance(1ms);
  this->limits.OnResponse(target_id, kStarted, 2);
  BOOST_TEST(this->limits.Find(target_id, kStarted + 1).value() == 3);
}

// Guards against news that each entry passes on again and again.
BOOST_FIXTURE_TEST_CASE(CountsOnlyChangesAsNews, Fixture) {
  this->limits.OnResponse(target_id, kStarted, std::nullopt);
  BOOST_TEST(this->limits.Version() == 0U);
  this->limits.OnResponse(target_id, kStarted, 2);
  const std::uint64_t version = this->limits.Version();
  for (int i = 0; i < 3; ++i) {
    this->clock.Advance(10ms);
    this->limits.OnResponse(target_id, kStarted, 2);
    const auto reports = this->limits.Export(10, this->random);
    this->limits.Import(reports);
  }
  BOOST_TEST(this->limits.Version() == version);
}

// Guards against a limit that another entry's older knowledge brings back.
BOOST_FIXTURE_TEST_CASE(TakesTheNewestWordOfTheTarget, Fixture) {
  this->limits.OnResponse(target_id, kStarted, std::nullopt);
  this->limits.Import(
      std::vector<TargetLimitReport>{{target_id, kStarted, 2, 50ms}});
  BOOST_TEST(this->limits.Find(target_id, kStarted).value() == 2);
  this->limits.OnResponse(target_id, kStarted, std::nullopt);
  this->limits.Import(
      std::vector<TargetLimitReport>{{target_id, kStarted, 2, 10ms}});
  BOOST_TEST(!this->limits.Find(target_id, kStarted));
  this->clock.Advance(20ms);
  this->limits.Import(
      std::vector<TargetLimitReport>{{target_id, kStarted, 4, 5ms}});
  BOOST_TEST(this->limits.Find(target_id, kStarted).value() == 4);
}

// Guards against limits that an entry that starts later never hears of, since
// others have changed after them.
BOOST_FIXTURE_TEST_CASE(ExportsEachLimitSoonerOrLater, Fixture) {
  constexpr std::size_t kTargets = 100;
  for (std::size_t i = 0; i < kTargets; ++i) {
    this->limits.OnResponse(TargetId(std::to_string(i)), kStarted, 1);
    this->clock.Advance(1ms);
  }
  TargetLimits later(this->clock);
  for (int i = 0; i < 30; ++i) {
    const auto reports = this->limits.Export(40, this->random);
    BOOST_TEST(reports.size() == 40U);
    later.Import(reports);
  }
  for (std::size_t i = 0; i < kTargets; ++i) {
    BOOST_TEST(later.Find(TargetId(std::to_string(i)), kStarted).has_value());
  }
}

}  // namespace
}  // namespace pimentospar
