#define BOOST_TEST_MODULE keyed_follower
#include "gateway/keyed_follower.h"

#include <boost/test/unit_test.hpp>

#include "support.h"

namespace pimentospar {
namespace {

using std::chrono::milliseconds;
using test::Eventually;
using test::Loop;
using test::MemoryLog;

// What the handler of a follower knows. It outlives the test case, like the
// follower, whose fiber ends with the program.
struct Known {
  MemoryLog log;
  SystemClock clock;
  SeededRandom random{1};
  std::map<std::string, std::string> values;
  std::size_t all_read = 0;
  std::size_t regained = 0;
  std::unique_ptr<KeyedFollower> follower;

  static Known& Create() {
    static std::vector<std::unique_ptr<Known>> all;
    all.push_back(std::make_unique<Known>());
    return *all.back();
  }

  void Start() {
    this->follower = std::make_unique<KeyedFollower>(
        Loop(), this->clock, this->random, this->log,
        FollowerOptions{"k",
                        [] {
                          return FollowerPace{milliseconds(20), {}};
                        }},
        FollowerHandler{[this](const std::vector<KeyedItem>& all) {
                          ++this->all_read;
                          this->values.clear();
                          for (const KeyedItem& item : all) {
                            this->values[item.key] = *item.value;
                          }
                        },
                        [this](const KeyedItem& item) {
                          if (item.value) {
                            this->values[item.key] = *item.value;
                          } else {
                            this->values.erase(item.key);
                          }
                        },
                        [this] { ++this->regained; }});
    this->follower->Start();
  }

  void Set(std::string_view key, std::optional<std::string_view> value) {
    (void)this->log.AppendKeyed("k", key, value);
  }
};

BOOST_AUTO_TEST_CASE(FollowsChangesAndRemovals) {
  Known& known = Known::Create();
  known.Set("a", "1");
  known.Set("b", "1");
  known.Start();
  BOOST_TEST(Eventually([&] { return known.values.size() == 2; }));
  known.Set("a", "2");
  known.Set("b", std::nullopt);
  BOOST_TEST(Eventually(
      [&] { return known.values.size() == 1 && known.values["a"] == "2"; }));
  BOOST_TEST(known.all_read == 1U);
}

// A change between two pages stands on neither.
BOOST_AUTO_TEST_CASE(FindsAChangeBetweenTwoPages) {
  Known& known = Known::Create();
  known.log.page_size = 1;
  known.Set("a", "1");
  known.Set("b", "1");
  known.log.between_pages = [&] { known.Set("a", "2"); };
  known.Start();
  BOOST_TEST(Eventually([&] { return known.values["a"] == "2"; }));
  BOOST_TEST(known.values["b"] == "1");
}

BOOST_AUTO_TEST_CASE(ReadsAllAgainWhenRecordsHaveExpired) {
  Known& known = Known::Create();
  known.Set("a", "1");
  known.Set("gone", "1");
  known.Start();
  BOOST_TEST(Eventually([&] { return known.values.size() == 2; }));
  known.log.down = true;
  known.log.streams["k"].push_back("gone=");
  known.log.streams["k"].push_back("a=2");
  known.log.first["k"] = {4};
  known.log.down = false;
  BOOST_TEST(Eventually([&] { return known.all_read == 2; }));
  BOOST_TEST(known.values.size() == 1U);
  BOOST_TEST(known.values["a"] == "2");
}

BOOST_AUTO_TEST_CASE(TellsThatTheLogIsBack) {
  Known& known = Known::Create();
  known.log.down = true;
  known.Start();
  BOOST_TEST(Eventually([&] { return known.log.calls > 1; }));
  BOOST_TEST(!known.follower->HasAll());
  known.log.down = false;
  known.Set("a", "1");
  BOOST_TEST(Eventually([&] { return known.regained == 1; }));
  BOOST_TEST(known.follower->HasAll());
}

// The records that were missed may be too many for one read, again and again.
BOOST_AUTO_TEST_CASE(ReadsTheNewestValuesAfterALongOutage) {
  Known& known = Known::Create();
  known.Set("a", "0");
  known.Start();
  BOOST_TEST(Eventually([&] { return known.values["a"] == "0"; }));
  known.log.down = true;
  for (int i = 1; i <= 20; ++i) {
    known.log.streams["k"].push_back("a=" + std::to_string(i));
  }
  boost::this_fiber::sleep_for(milliseconds(2500));
  known.log.longest_read = 10;
  known.log.down = false;
  BOOST_TEST(Eventually([&] { return known.values["a"] == "20"; }));
}

}  // namespace
}  // namespace pimentospar
