#define BOOST_TEST_MODULE target_notice
#include <boost/test/unit_test.hpp>

#include "request_handler_fixture.h"

// What targets say of themselves in their responses: that they leave, and for
// how long they want no requests.
namespace pimentospar {
namespace {

using test::Contains;
using test::Event;
using test::kStamp;
using test::Loop;
using test::RawConnection;
using test::RequestIdOf;
using test::Response;
using test::ScriptedTarget;

constexpr std::size_t kRequests = 12;
constexpr std::string_view kLeaving = "Server-Leaving: 1\r\n";

class NoticeFixture : public test::HandlerFixture {
 public:
  // Writes the response of `head` and `body` to each request.
  static ScriptedTarget::Script Always(const std::string& status,
                                       const std::string& headers,
                                       const std::string& body) {
    return [=](RawConnection& connection, const std::string& request) {
      connection.Write(Response(RequestIdOf(request), body, headers, status));
      return true;
    };
  }

  // Adds a target that runs every request.
  ScriptedTarget& AddSoundTarget(const std::string& name) {
    auto* target = new ScriptedTarget(
        Always("200 OK", std::string(kStamp), Event(1) + Event(2)));
    this->AddTarget(name, *target);
    return *target;  // Serves until the program ends.
  }

  // Sends requests until the target has got one, and then some more.
  void SendMany(std::string_view line, const ScriptedTarget& target) {
    for (std::size_t i = 0; i < 10 * kRequests && target.Requests().empty();
         ++i) {
      (void)this->Send(line);
    }
    BOOST_REQUIRE(!target.Requests().empty());
    for (std::size_t i = 0; i < kRequests; ++i) {
      (void)this->Send(line);
    }
  }

  // Registers the target again, as an incarnation with this start time.
  void Register(const std::string& name,
                const ScriptedTarget& target,
                std::int64_t started_ms) {
    TargetDescription description;
    description.id = TargetId(name);
    description.service = ServiceId("s");
    description.address = target.Address();
    description.slots = 4;
    description.inventory.started_ms = started_ms;
    this->targets.OnTarget(description);
  }

  [[nodiscard]] bool IsLeaving(const std::string& name) const {
    return this->targets.Find(TargetId(name))->draining;
  }
};

BOOST_FIXTURE_TEST_CASE(TargetThatLeftInASuccessGetsRequests, NoticeFixture) {
  ScriptedTarget leaving(
      Always("200 OK", std::string(kStamp).append(kLeaving), "body"));
  this->AddTarget("t1", leaving);
  (void)this->AddSoundTarget("t2");
  this->SendMany("GET /safe/1", leaving);
  BOOST_TEST(leaving.Requests().size() == 1U);
  BOOST_TEST(this->IsLeaving("t1"));
}

BOOST_FIXTURE_TEST_CASE(TargetThatLeftInAnErrorGetsRequests, NoticeFixture) {
  ScriptedTarget leaving(Always("500 Internal Server Error",
                                std::string(kStamp).append(kLeaving),
                                "failed"));
  this->AddTarget("t1", leaving);
  (void)this->AddSoundTarget("t2");
  this->SendMany("GET /safe/1", leaving);
  BOOST_TEST(leaving.Requests().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(TargetThatLeftInARefusalGetsRequests, NoticeFixture) {
  ScriptedTarget leaving(
      Always("503 Service Unavailable",
             std::string("X-Pimentospar-Not-Run: 1\r\n").append(kLeaving), ""));
  this->AddTarget("t1", leaving);
  (void)this->AddSoundTarget("t2");
  this->SendMany("POST /unsafe/1", leaving);
  BOOST_TEST(leaving.Requests().size() == 1U);
}

// The stream itself goes on to its end.
BOOST_FIXTURE_TEST_CASE(TargetThatLeftInAStreamGetsRequests, NoticeFixture) {
  ScriptedTarget leaving(
      [](RawConnection& connection, const std::string& request) {
        std::string head = test::StreamHead(RequestIdOf(request));
        head.insert(head.find("Transfer"), kLeaving);
        connection.Write(head + test::Chunk(Event(1)));
        boost::this_fiber::sleep_for(std::chrono::milliseconds(200));
        connection.Write(test::Chunk(Event(2)) + "0\r\n\r\n");
        return true;
      });
  this->AddTarget("t1", leaving);
  bool is_complete = false;
  Loop().Spawn(
      [&] { is_complete = Contains(this->Send("POST /stream/1"), "id: 2"); });
  BOOST_TEST(test::Eventually([&] { return this->IsLeaving("t1"); }));
  (void)this->AddSoundTarget("t2");
  for (std::size_t i = 0; i < kRequests; ++i) {
    (void)this->Send("POST /stream/1");
  }
  BOOST_TEST(leaving.Requests().size() == 1U);
  BOOST_TEST(test::Eventually([&] { return is_complete; }));
}

// The registration says for seconds that the target is ready.
BOOST_FIXTURE_TEST_CASE(RegistrationRevokesTheWordOfALeavingTarget,
                        NoticeFixture) {
  ScriptedTarget leaving(
      Always("200 OK", std::string(kStamp).append(kLeaving), "body"));
  this->AddTarget("t1", leaving);
  (void)this->AddSoundTarget("t2");
  this->SendMany("GET /safe/1", leaving);
  this->Register("t1", leaving, 0);
  for (std::size_t i = 0; i < kRequests; ++i) {
    (void)this->Send("GET /safe/1");
  }
  BOOST_TEST(leaving.Requests().size() == 1U);
}

std::string Refusal(std::string_view retry_after) {
  return "X-Pimentospar-Not-Run: 1\r\nRetry-After: " +
         std::string(retry_after) + "\r\n";
}

BOOST_FIXTURE_TEST_CASE(TargetGetsRequestsBeforeItsRetryAfter, NoticeFixture) {
  ScriptedTarget busy(Always("503 Service Unavailable", Refusal("0.8"), ""));
  this->AddTarget("t1", busy);
  (void)this->AddSoundTarget("t2");
  this->SendMany("POST /unsafe/1", busy);
  BOOST_TEST(busy.Requests().size() == 1U);
  boost::this_fiber::sleep_for(std::chrono::milliseconds(1000));
  this->SendMany("POST /unsafe/1", busy);
  BOOST_TEST(busy.Requests().size() > 1U);
}

// An error that says nothing of whether the request ran counts too.
BOOST_FIXTURE_TEST_CASE(TargetGetsRetriesBeforeItsRetryAfter, NoticeFixture) {
  ScriptedTarget busy(
      Always("503 Service Unavailable", "Retry-After: 20\r\n", "busy"));
  this->AddTarget("t1", busy);
  for (std::size_t i = 0; i < kRequests; ++i) {
    (void)this->Send("GET /safe/1");
  }
  BOOST_TEST(busy.Requests().size() == 1U);
}

// What no target can take for some time is refused at once, with that time.
BOOST_FIXTURE_TEST_CASE(CallerWaitsForTargetsThatWantNothing, NoticeFixture) {
  ScriptedTarget busy(Always("503 Service Unavailable", Refusal("20"), ""));
  this->AddTarget("t1", busy);
  const TimePoint start = this->clock.Now();
  for (std::size_t i = 0; i < kRequests; ++i) {
    const std::string response = this->Send("POST /unsafe/1");
    BOOST_TEST(response.starts_with("HTTP/1.1 503"), response);
    BOOST_TEST((Contains(response, "Retry-After: 19.") ||
                Contains(response, "Retry-After: 20.")),
               response);
  }
  BOOST_TEST((this->clock.Now() - start < std::chrono::seconds(2)));
  BOOST_TEST(busy.Requests().size() == 1U);
}

}  // namespace
}  // namespace pimentospar
