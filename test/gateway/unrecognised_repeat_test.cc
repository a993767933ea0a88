#define BOOST_TEST_MODULE unrecognised_repeat
#include <boost/test/unit_test.hpp>

#include "fragile_fleet.h"

// One request that crashes each target that begins to run it, and that comes
// again with the same path, host and body. What else it holds may differ.
namespace pimentospar {
namespace {

using std::chrono::milliseconds;
using test::Contains;
using test::FragileFleet;
using test::kDeadlyHeader;
using test::StreamRequest;

constexpr std::size_t kTargets = 12;
constexpr std::size_t kEntries = 2;
// A request that has crashed three targets may be sent to as many more while
// the entries learn of it.
constexpr std::size_t kMaxCrashes = 6;
constexpr milliseconds kPause{500};
constexpr std::string_view kBody = "which cot is safe?";

// Returns how a request is sent for the n-th time.
using RequestOf = std::function<StreamRequest(std::size_t n)>;

StreamRequest DeadlyRequest(const std::string& prompt) {
  StreamRequest request{"/chat/again", prompt};
  request.headers = kDeadlyHeader;
  request.body = kBody;
  return request;
}

void CheckThatItRuns(FragileFleet& fleet,
                     std::size_t entry,
                     const StreamRequest& request) {
  const std::string response = fleet.SendStream(entry, request);
  BOOST_TEST(Contains(response, "id: 2"), response);
}

// Sends the deadly request as often as there are targets, each time with sound
// ones that must run.
void CheckThatItIsRefused(const RequestOf& deadly,
                          const std::vector<RequestOf>& sound) {
  FragileFleet fleet(kEntries, kTargets);
  std::string last_response;
  for (std::size_t i = 0; i < kTargets; ++i) {
    last_response = fleet.SendStream(i % kEntries, deadly(i));
    for (const RequestOf& request : sound) {
      CheckThatItRuns(fleet, (i + 1) % kEntries, request(i));
    }
    boost::this_fiber::sleep_for(kPause);
  }
  BOOST_TEST(fleet.CrashedTargets() <= kMaxCrashes);
  BOOST_TEST(Contains(last_response, "request_quarantined"), last_response);
}

std::string Numbered(const std::string& text, std::size_t n) {
  return text + std::to_string(n);
}

// A request of another path, with the shared parts of most requests.
StreamRequest OfAnotherPath(std::size_t n) {
  return {Numbered("/chat/", n),
          "first:6000,subject:300,sound" + std::to_string(n) + ":10"};
}

// A request that differs from the deadly one in its prompt only, and completes.
StreamRequest OfTheSamePath(const std::string& prompt) {
  StreamRequest request{"/chat/again", prompt};
  request.body = kBody;
  return request;
}

BOOST_AUTO_TEST_CASE(AnotherLastPartMakesItAnotherRequest) {
  CheckThatItIsRefused(
      [](std::size_t n) {
        return DeadlyRequest("first:6000,subject:300,own" + std::to_string(n) +
                             ":10");
      },
      {OfAnotherPath});
}

BOOST_AUTO_TEST_CASE(AnotherPromptMakesItAnotherRequest) {
  CheckThatItIsRefused(
      [](std::size_t n) {
        const std::string number = std::to_string(n);
        return DeadlyRequest("a" + number + ":6000,b" + number + ":300,c" +
                             number + ":10");
      },
      {OfAnotherPath});
}

BOOST_AUTO_TEST_CASE(AnotherNumberOfTokensMakesItAnotherRequest) {
  CheckThatItIsRefused(
      [](std::size_t n) {
        return DeadlyRequest(Numbered("first:6000,subject:300,own:", 10 + n));
      },
      {OfAnotherPath});
}

BOOST_AUTO_TEST_CASE(AnotherQueryMakesItAnotherRequest) {
  CheckThatItIsRefused(
      [](std::size_t n) {
        StreamRequest request = DeadlyRequest("first:6000,own:10");
        request.path += Numbered("?try=", n);
        return request;
      },
      {OfAnotherPath});
}

BOOST_AUTO_TEST_CASE(AnotherSpellingOfTheHostMakesItAnotherRequest) {
  CheckThatItIsRefused(
      [](std::size_t n) {
        StreamRequest request = DeadlyRequest("first:6000,own:10");
        request.host =
            Numbered(n % 2 == 0 ? "A.example:80" : "a.EXAMPLE:90", n);
        return request;
      },
      {OfAnotherPath});
}

BOOST_AUTO_TEST_CASE(AnotherFramingOfTheBodyMakesItAnotherRequest) {
  CheckThatItIsRefused(
      [](std::size_t n) {
        StreamRequest request = DeadlyRequest("first:6000,own:10");
        request.chunked = n % 2 == 1;
        return request;
      },
      {OfAnotherPath});
}

BOOST_AUTO_TEST_CASE(OtherHeadersMakeItAnotherRequest) {
  CheckThatItIsRefused(
      [](std::size_t n) {
        StreamRequest request = DeadlyRequest("first:6000,own:10");
        request.headers += Numbered("X-Pimentospar-Tokens: 6010,", 1 + n) +
                           Numbered("\r\nX-Pimentospar-Length-Hint: ", n) +
                           Numbered("\r\nUser-Agent: caller/", n) + "\r\n";
        return request;
      },
      {OfAnotherPath});
}

// Sound requests with its path, host and body must run, and what is known of it
// must not be forgotten when they complete.
BOOST_AUTO_TEST_CASE(RequestsWithItsBodyAndOtherPromptsClearIt) {
  CheckThatItIsRefused(
      [](std::size_t) {
        return DeadlyRequest("first:6000,subject:300,own:10");
      },
      {OfAnotherPath, [](std::size_t n) {
         return OfTheSamePath("first:6000,subject:300,sound" +
                              std::to_string(n) + ":10");
       }});
}

BOOST_AUTO_TEST_CASE(RequestsWithItsBodyAndOtherSharedPartsClearIt) {
  CheckThatItIsRefused(
      [](std::size_t n) {
        return DeadlyRequest("first:6000,subject:300,own" + std::to_string(n) +
                             ":10");
      },
      {OfAnotherPath, [](std::size_t n) {
         return OfTheSamePath("first:6000,other:300,sound" + std::to_string(n) +
                              ":10");
       }});
}

// A request that has never been sent must not be refused for one that shares
// its path, host and body.
BOOST_AUTO_TEST_CASE(RequestWithTheBodyOfARefusedOneIsRefused) {
  FragileFleet fleet(kEntries, kTargets);
  const auto deadly = DeadlyRequest("first:6000,subject:300,own:10");
  for (std::size_t i = 0; i < kMaxCrashes; ++i) {
    (void)fleet.SendStream(i % kEntries, deadly);
    boost::this_fiber::sleep_for(kPause);
  }
  for (std::size_t entry = 0; entry < kEntries; ++entry) {
    CheckThatItRuns(fleet, entry,
                    OfTheSamePath("first:6000,subject:300,sound:10"));
  }
}

}  // namespace
}  // namespace pimentospar
