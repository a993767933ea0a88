#define BOOST_TEST_MODULE failed_resumption
#include <boost/test/unit_test.hpp>

#include "request_handler_fixture.h"

// Streams that break off and that no other target continues.
namespace pimentospar {
namespace {

using Fixture = test::HandlerFixture;
using test::Chunk;
using test::Contains;
using test::Count;
using test::Event;
using test::kStamp;
using test::RawConnection;
using test::RequestIdOf;
using test::ScriptedTarget;
using test::StreamHead;

struct FailedResumption {
  std::string status;
  std::string headers;
};

// Begins a stream that breaks off after one event, or answers its resumption.
ScriptedTarget::Script BreakOffOrFail(const FailedResumption& failed) {
  return [failed](RawConnection& connection, const std::string& request) {
    const std::string id = RequestIdOf(request);
    if (!Contains(request, "Last-Event-Id: ")) {
      connection.Write(StreamHead(id) + Chunk(Event(1)));
      return false;
    }
    connection.Write(test::Response(id, "an error, in full\n\n", failed.headers,
                                    failed.status));
    return true;
  };
}

// A stream has begun and breaks off, and the next target does not go on with
// it. Nothing of its response may reach the caller, and the stream must not
// look complete.
BOOST_AUTO_TEST_CASE(ErrorOfTheNextTargetIsSentInsideAStream) {
  const std::string stamp(kStamp);
  const std::vector<FailedResumption> all = {
      {"500 Internal Server Error", stamp},
      {"500 Internal Server Error", ""},
      {"503 Service Unavailable", "X-Pimentospar-Not-Run: 1\r\n"},
      {"503 Service Unavailable", stamp},
      {"404 Not Found", stamp},
      {"421 Misdirected Request", ""},
      {"302 Found", stamp + "Location: /\r\n"},
      {"200 OK", ""},
      {"200 OK", stamp + "Content-Type: text/plain\r\n"},
      {"200 OK", stamp + "Content-Type: text/html\r\n"},
      {"204 No Content", stamp}};
  for (const FailedResumption& failed : all) {
    Fixture& fixture = *new Fixture;  // Its fibers run until the program ends.
    ScriptedTarget one(BreakOffOrFail(failed));
    ScriptedTarget two(BreakOffOrFail(failed));
    fixture.AddTarget("one", one);
    fixture.AddTarget("two", two);
    const std::string response = fixture.Send("POST /stream/1", "", "x");
    BOOST_TEST_CONTEXT(failed.status << " " << failed.headers) {
      BOOST_TEST(Contains(response, Event(1)), response);
      BOOST_TEST(!Contains(response, "an error"), response);
      BOOST_TEST(Count(response, "HTTP/1.1") == 1U, response);
      BOOST_TEST(!response.ends_with("0\r\n\r\n"), response);
      BOOST_TEST(one.Requests().size() + two.Requests().size() >= 2U);
    }
  }
}

}  // namespace
}  // namespace pimentospar
