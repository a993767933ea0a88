#define BOOST_TEST_MODULE keyed_stream_watcher
#include "gateway/keyed_stream_watcher.h"

#include <boost/test/unit_test.hpp>

#include "support.h"

namespace pimentospar {
namespace {

using std::chrono::milliseconds;
using test::Eventually;
using test::Loop;
using test::MemoryLog;

// A watcher and the values that its callbacks received. It outlives the test
// case, since the watcher's fiber runs until the program ends.
struct Fixture {
  MemoryLog log;
  SystemClock clock;
  SeededRandom random{1};
  std::map<std::string, std::string> values;
  std::size_t full_reads = 0;
  std::size_t recoveries = 0;
  std::vector<TimePoint> current_reads;
  std::unique_ptr<KeyedStreamWatcher> watcher;

  static Fixture& Create() {
    static std::vector<std::unique_ptr<Fixture>> all;
    all.push_back(std::make_unique<Fixture>());
    return *all.back();
  }

  void Start() {
    this->watcher = std::make_unique<KeyedStreamWatcher>(
        Loop(), this->clock, this->random, this->log,
        WatcherOptions{"k",
                       [] {
                         return PollTiming{milliseconds(20), {}};
                       }},
        WatcherCallbacks{[this](const KeyedSnapshot& all) {
                           ++this->full_reads;
                           this->values.clear();
                           for (const KeyedItem& item : all.items) {
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
                         [this] { ++this->recoveries; },
                         [this](TimePoint began_at) {
                           this->current_reads.push_back(began_at);
                         }});
    this->watcher->Start();
  }

  void Set(std::string_view key, std::optional<std::string_view> value) {
    (void)this->log.AppendKeyed("k", key, value);
  }
};

BOOST_AUTO_TEST_CASE(FollowsChangesAndRemovals) {
  Fixture& fixture = Fixture::Create();
  fixture.Set("a", "1");
  fixture.Set("b", "1");
  fixture.Start();
  BOOST_TEST(Eventually([&] { return fixture.values.size() == 2; }));
  fixture.Set("a", "2");
  fixture.Set("b", std::nullopt);
  BOOST_TEST(Eventually([&] {
    return fixture.values.size() == 1 && fixture.values["a"] == "2";
  }));
  BOOST_TEST(fixture.full_reads == 1U);
}

// A change that is made between the reads of two pages may be on neither.
BOOST_AUTO_TEST_CASE(FindsAChangeBetweenTwoPages) {
  Fixture& fixture = Fixture::Create();
  fixture.log.page_size = 1;
  fixture.Set("a", "1");
  fixture.Set("b", "1");
  fixture.log.between_pages = [&] { fixture.Set("a", "2"); };
  fixture.Start();
  BOOST_TEST(Eventually([&] { return fixture.values["a"] == "2"; }));
  BOOST_TEST(fixture.values["b"] == "1");
}

BOOST_AUTO_TEST_CASE(ReadsAllAgainWhenRecordsHaveExpired) {
  Fixture& fixture = Fixture::Create();
  fixture.Set("a", "1");
  fixture.Set("gone", "1");
  fixture.Start();
  BOOST_TEST(Eventually([&] { return fixture.values.size() == 2; }));
  fixture.log.down = true;
  fixture.log.streams["k"].push_back("gone=");
  fixture.log.streams["k"].push_back("a=2");
  fixture.log.first["k"] = {4};
  fixture.log.down = false;
  BOOST_TEST(Eventually([&] { return fixture.full_reads == 2; }));
  BOOST_TEST(fixture.values.size() == 1U);
  BOOST_TEST(fixture.values["a"] == "2");
}

BOOST_AUTO_TEST_CASE(ReportsThatTheLogAnswersAgain) {
  Fixture& fixture = Fixture::Create();
  fixture.log.down = true;
  fixture.Start();
  BOOST_TEST(Eventually([&] { return fixture.log.calls > 1; }));
  BOOST_TEST(!fixture.watcher->HasSynced());
  fixture.log.down = false;
  fixture.Set("a", "1");
  BOOST_TEST(Eventually([&] { return fixture.recoveries == 1; }));
  BOOST_TEST(fixture.watcher->HasSynced());
}

// Guards against a read that counts as proof of what the log held when it
// ended: a change may have been made while it waited.
BOOST_AUTO_TEST_CASE(ReportsWhenAReadBegan) {
  Fixture& fixture = Fixture::Create();
  fixture.log.down = true;
  fixture.Start();
  BOOST_TEST(Eventually([&] { return fixture.log.calls > 1; }));
  BOOST_TEST(fixture.current_reads.empty());
  fixture.log.down = false;
  fixture.Set("a", "1");
  BOOST_TEST(Eventually([&] { return fixture.current_reads.size() >= 3; }));
  BOOST_TEST(fixture.values["a"] == "1");
  // Reads that wait for 20 ms are reported after they end.
  BOOST_TEST(
      (fixture.clock.Now() - fixture.current_reads.back() >= milliseconds(20)));
}

// After a long outage, a read of all missed records can exceed its time limit
// on every attempt, so that the watcher must read the newest values instead.
BOOST_AUTO_TEST_CASE(ReadsTheNewestValuesAfterALongOutage) {
  Fixture& fixture = Fixture::Create();
  fixture.Set("a", "0");
  fixture.Start();
  BOOST_TEST(Eventually([&] { return fixture.values["a"] == "0"; }));
  fixture.log.down = true;
  for (int i = 1; i <= 20; ++i) {
    fixture.log.streams["k"].push_back("a=" + std::to_string(i));
  }
  boost::this_fiber::sleep_for(milliseconds(2500));
  fixture.log.longest_read = 10;
  fixture.log.down = false;
  BOOST_TEST(Eventually([&] { return fixture.values["a"] == "20"; }));
}

}  // namespace
}  // namespace pimentospar
