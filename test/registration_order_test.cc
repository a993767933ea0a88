#define BOOST_TEST_MODULE registration_order
#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "pimentospar/routing/target_selector.h"

// Registrations of one target reach entries by the log, by the lease holder and
// by full reads: late, again, and in any order.
namespace pimentospar {
namespace {

const TargetId target_id("t");

struct Registration {
  std::int64_t started_ms = 0;
  bool draining = false;
};

// A target as an entry knows it.
class Entry {
 public:
  void Read(const Registration& registration) {
    TargetDescription target;
    target.id = target_id;
    target.address = "127.0.0.1:1";
    target.draining = registration.draining;
    target.inventory.started_ms = registration.started_ms;
    this->selector.OnTarget(target);
  }
  [[nodiscard]] const TargetDescription& Target() const {
    return *this->selector.Find(target_id);
  }

 private:
  ManualClock clock;
  SeededRandom random{1};
  TargetSelector selector{this->clock, this->random, {}};
};

// Guards against a target that gets nothing for as long as an entry lives,
// since the entry read again that it was leaving before it started again.
BOOST_AUTO_TEST_CASE(OldRegistrationStopsARestartedTarget) {
  Entry entry;
  entry.Read({1, false});
  entry.Read({2, false});
  entry.Read({1, true});
  BOOST_TEST(!entry.Target().draining);
  entry.Read({2, false});
  BOOST_TEST(!entry.Target().draining);
  BOOST_TEST(entry.Target().inventory.started_ms == 2);
}

// Guards against entries that know different things after the same news.
RC_BOOST_PROP(OrderOfRegistrationsDecides, ()) {
  const auto codes = *rc::gen::nonEmpty(
      rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6)));
  std::vector<Registration> read;
  std::ranges::transform(codes, std::back_inserter(read), [](int code) {
    return Registration{1 + code / 2, code % 2 == 1};
  });
  Entry one;
  std::ranges::for_each(read, [&one](const auto& news) { one.Read(news); });
  Entry other;
  std::ranges::reverse(read);
  std::ranges::for_each(read, [&other](const auto& news) { other.Read(news); });
  Entry third;
  std::ranges::sort(read, {}, [](const auto& news) {
    return std::pair(news.draining, -news.started_ms);
  });
  std::ranges::for_each(read, [&third](const auto& news) { third.Read(news); });
  const std::int64_t newest =
      std::ranges::max(read, {}, &Registration::started_ms).started_ms;
  const bool leaves = std::ranges::any_of(read, [newest](const auto& news) {
    return news.draining && news.started_ms == newest;
  });
  for (const Entry* entry : {&one, &other, &third}) {
    RC_ASSERT(entry->Target().inventory.started_ms == newest);
    RC_ASSERT(entry->Target().draining == leaves);
  }
}

}  // namespace
}  // namespace pimentospar
