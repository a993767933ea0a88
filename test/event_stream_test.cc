#define BOOST_TEST_MODULE event_stream
#include "pimentospar/routing/event_stream.h"

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

namespace pimentospar {
namespace {

std::vector<std::string> All(EventSplitter& splitter) {
  std::vector<std::string> events;
  while (const auto event = splitter.Next()) {
    events.emplace_back(event->text);
  }
  return events;
}

BOOST_AUTO_TEST_CASE(KeepsAPartialEventBack) {
  EventSplitter splitter;
  splitter.Append("id: 1\ndata: a\n\nid: 2\nda");
  BOOST_TEST(All(splitter).size() == 1U);
  BOOST_TEST(splitter.Pending() == 8U);
  splitter.Append("ta: b\n");
  BOOST_TEST(All(splitter).empty());
  splitter.Append("\n");
  const auto event = splitter.Next();
  BOOST_REQUIRE(event);
  BOOST_TEST(event->text == "id: 2\ndata: b\n\n");
  BOOST_TEST(*event->id == 2U);
  BOOST_TEST(splitter.Pending() == 0U);
}

BOOST_AUTO_TEST_CASE(ReadsCarriageReturns) {
  EventSplitter splitter;
  splitter.Append("id: 7\r\ndata: a\r\n\r\n");
  const auto event = splitter.Next();
  BOOST_REQUIRE(event);
  BOOST_TEST(*event->id == 7U);
}

// The bytes may be cut anywhere.
BOOST_AUTO_TEST_CASE(GivesTheSameEventsHoweverTheBytesAreCut) {
  const bool passed = rc::check([] {
    const std::string text =
        "id: 1\ndata: one\n\n: note\n\nid: 2\r\ndata: "
        "two\r\n\r\nid:3\ndata:\n\n";
    EventSplitter whole;
    whole.Append(text);
    const auto expected = All(whole);
    EventSplitter cut;
    std::vector<std::string> found;
    std::size_t at = 0;
    while (at < text.size()) {
      const std::size_t size =
          std::min<std::size_t>(*rc::gen::inRange(1, 9), text.size() - at);
      cut.Append(text.substr(at, size));
      at += size;
      for (std::string& event : All(cut)) {
        found.push_back(std::move(event));
      }
    }
    RC_ASSERT(found == expected);
    RC_ASSERT(cut.Pending() == 0U);
  });
  BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(FindsRepeatedAndMissingEvents) {
  EventSequence events(std::nullopt);
  BOOST_TEST((events.OnEvent(5) == EventVerdict::kForward));
  BOOST_TEST((events.OnEvent(5) == EventVerdict::kRepeated));
  BOOST_TEST((events.OnEvent(std::nullopt) == EventVerdict::kForward));
  BOOST_TEST((events.OnEvent(6) == EventVerdict::kForward));
  BOOST_TEST((events.OnEvent(8) == EventVerdict::kGap));
  BOOST_TEST(*events.Last() == 6U);
}

BOOST_AUTO_TEST_CASE(GoesOnAfterTheCallersLastEvent) {
  EventSequence events(12);
  BOOST_TEST((events.OnEvent(12) == EventVerdict::kRepeated));
  BOOST_TEST((events.OnEvent(14) == EventVerdict::kGap));
  BOOST_TEST((events.OnEvent(13) == EventVerdict::kForward));
}

}  // namespace
}  // namespace pimentospar
