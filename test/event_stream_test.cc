#define BOOST_TEST_MODULE event_stream
#include "pimentospar/routing/event_stream.h"

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

namespace pimentospar {
namespace {

std::vector<std::string> ReadAll(EventSplitter& splitter) {
  std::vector<std::string> events;
  while (const auto event = splitter.Next()) {
    events.emplace_back(event->text);
  }
  return events;
}

BOOST_AUTO_TEST_CASE(HoldsBackAPartialEvent) {
  EventSplitter splitter;
  splitter.Append("id: 1\ndata: a\n\nid: 2\nda");
  BOOST_TEST(ReadAll(splitter).size() == 1U);
  BOOST_TEST(splitter.PendingBytes() == 8U);
  splitter.Append("ta: b\n");
  BOOST_TEST(ReadAll(splitter).empty());
  splitter.Append("\n");
  const auto event = splitter.Next();
  BOOST_REQUIRE(event);
  BOOST_TEST(event->text == "id: 2\ndata: b\n\n");
  BOOST_TEST(*event->id == 2U);
  BOOST_TEST(splitter.PendingBytes() == 0U);
}

BOOST_AUTO_TEST_CASE(ReadsCarriageReturns) {
  EventSplitter splitter;
  splitter.Append("id: 7\r\ndata: a\r\n\r\n");
  const auto event = splitter.Next();
  BOOST_REQUIRE(event);
  BOOST_TEST(*event->id == 7U);
}

// Reads may split the bytes at any position.
BOOST_AUTO_TEST_CASE(ReturnsTheSameEventsForAnyChunking) {
  const bool passed = rc::check([] {
    const std::string text =
        "id: 1\ndata: one\n\n: note\n\nid: 2\r\ndata: "
        "two\r\n\r\nid:3\ndata:\n\n";
    EventSplitter whole;
    whole.Append(text);
    const auto expected = ReadAll(whole);
    EventSplitter chunked;
    std::vector<std::string> found;
    std::size_t at = 0;
    while (at < text.size()) {
      const std::size_t size =
          std::min<std::size_t>(*rc::gen::inRange(1, 9), text.size() - at);
      chunked.Append(text.substr(at, size));
      at += size;
      for (std::string& event : ReadAll(chunked)) {
        found.push_back(std::move(event));
      }
    }
    RC_ASSERT(found == expected);
    RC_ASSERT(chunked.PendingBytes() == 0U);
  });
  BOOST_TEST(passed);
}

BOOST_AUTO_TEST_CASE(FindsRepeatedAndMissingEvents) {
  EventSequenceChecker events(std::nullopt);
  BOOST_TEST((events.OnEvent(5) == EventSequenceStatus::kInSequence));
  BOOST_TEST((events.OnEvent(5) == EventSequenceStatus::kDuplicate));
  BOOST_TEST(
      (events.OnEvent(std::nullopt) == EventSequenceStatus::kInSequence));
  BOOST_TEST((events.OnEvent(6) == EventSequenceStatus::kInSequence));
  BOOST_TEST((events.OnEvent(8) == EventSequenceStatus::kGap));
  BOOST_TEST(*events.LastId() == 6U);
}

BOOST_AUTO_TEST_CASE(ResumesAfterTheCallersLastEvent) {
  EventSequenceChecker events(12);
  BOOST_TEST((events.OnEvent(12) == EventSequenceStatus::kDuplicate));
  BOOST_TEST((events.OnEvent(14) == EventSequenceStatus::kGap));
  BOOST_TEST((events.OnEvent(13) == EventSequenceStatus::kInSequence));
}

}  // namespace
}  // namespace pimentospar
