#define BOOST_TEST_MODULE invalid_response
#include <boost/test/unit_test.hpp>

#include "request_handler_fixture.h"

// Targets whose responses look complete or valid and are not.
namespace pimentospar {
namespace {

using test::Contains;
using test::Event;
using test::Eventually;
using test::kStamp;
using test::Loop;
using test::RawConnection;
using test::RequestIdOf;
using test::ScriptedTarget;
using test::UnframedStreamHead;

// More than the buffers of both sockets take, so that the gateway still writes
// the request when the response arrives.
constexpr std::size_t kUploadBytes = 12ULL << 20;

enum class End : std::uint8_t { kReset, kClose };

// Responds as soon as it has the head of a request, and reads no more of it.
class EarlyTarget {
 public:
  EarlyTarget(std::string body, End end)
      : acceptor(Loop().Context(),
                 Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)),
        address(acceptor.local_endpoint()),
        body(std::move(body)),
        end(end) {
    Loop().Spawn([this] { this->Accept(); });
  }

  ~EarlyTarget() {
    error_code ignored;
    this->acceptor.close(ignored);
    (void)Eventually([this] { return this->ended; });
  }

  [[nodiscard]] std::string Address() const {
    return "127.0.0.1:" + std::to_string(this->address.port());
  }

 private:
  void Accept() {
    while (this->acceptor.is_open()) {
      TcpSocket socket(Loop().Context());
      const IoResult accepted = Await([&](auto handler) {
        this->acceptor.async_accept(socket, std::move(handler));
      });
      if (accepted.IsGood()) {
        // Probes connect too, and send nothing.
        auto connection = std::make_shared<RawConnection>(std::move(socket));
        Loop().Spawn([connection, body = this->body, end = this->end] {
          Respond(*connection, body, end);
        });
      }
    }
    this->ended = true;
  }

  static void Respond(RawConnection& connection,
                      const std::string& body,
                      End end) {
    if (!connection.ReadUntil("\r\n\r\n")) {
      return;
    }
    connection.Write(UnframedStreamHead(RequestIdOf(connection.text)) + body);
    // The gateway reads the part before the connection ends.
    boost::this_fiber::sleep_for(std::chrono::milliseconds(50));
    if (end == End::kReset) {
      connection.Reset();
      return;
    }
    error_code ignored;
    connection.socket.shutdown(TcpSocket::shutdown_send, ignored);
    (void)Eventually([&connection] { return !connection.ReadMore(); });
  }

  TcpAcceptor acceptor;
  Tcp::endpoint address;
  std::string body;
  End end;
  bool ended = false;
};

class Fixture : public test::HandlerFixture {
 public:
  Fixture() {
    CallerLimits limits;
    limits.max_body_bytes = 2 * kUploadBytes;
    this->server.SetLimits(limits);
  }

  void AddEarlyTarget(const EarlyTarget& target) {
    TargetDescription description;
    description.id = TargetId("early");
    description.service = ServiceId("s");
    description.address = target.Address();
    description.slots = 4;
    this->targets.OnTarget(description);
  }

  std::string Upload(std::string_view line) {
    return this->Send(line, "", std::string(kUploadBytes, 'x'));
  }
};

// The write of the rest of the request takes the error of a reset, so that the
// read finds the end of the connection, and the caller got a part of the body
// as a complete response.
BOOST_FIXTURE_TEST_CASE(TakesNoPartOfAResponseToAnUploadAsAWhole, Fixture) {
  for (const End end : {End::kReset, End::kClose}) {
    BOOST_TEST_CONTEXT("end " << static_cast<int>(end)) {
      EarlyTarget target("part", end);
      this->AddEarlyTarget(target);
      const std::string response = this->Upload("POST /unsafe/1");
      BOOST_TEST(response.starts_with("HTTP/1.1 502"), response.substr(0, 200));
    }
  }
}

BOOST_FIXTURE_TEST_CASE(TakesNoPartOfAStreamForAnUploadAsAWhole, Fixture) {
  for (const End end : {End::kReset, End::kClose}) {
    BOOST_TEST_CONTEXT("end " << static_cast<int>(end)) {
      EarlyTarget target(Event(0) + Event(1), end);
      this->AddEarlyTarget(target);
      const std::string response = this->Upload("POST /once/1");
      BOOST_TEST(Contains(response, "id: 1"), response.substr(0, 200));
      BOOST_TEST(!response.ends_with("0\r\n\r\n"), response.substr(0, 200));
    }
  }
}

// A response to a request that was sent completely may end with the connection.
BOOST_FIXTURE_TEST_CASE(TakesTheEndOfTheConnectionAsTheEnd, Fixture) {
  ScriptedTarget target(
      [](RawConnection& connection, const std::string& request) {
        connection.Write(UnframedStreamHead(RequestIdOf(request)) + "whole");
        return false;
      });
  this->AddTarget("t", target);
  const std::string response = this->Upload("POST /unsafe/1");
  BOOST_TEST(response.starts_with("HTTP/1.1 200"), response.substr(0, 200));
  BOOST_TEST(response.ends_with("whole"));
}

// No such status is an answer, whatever follows it on the connection: a valid
// head behind it is a part of an invalid response.
BOOST_FIXTURE_TEST_CASE(TakesNoInvalidStatusAsAResponse, Fixture) {
  for (const std::string_view status :
       {"000 Nothing", "007 Low", "099 Low", "101 Switching Protocols",
        "600 High", "999 High"}) {
    for (const std::string_view path : {"/unsafe/1", "/once/1"}) {
      for (const bool valid_follows : {false, true}) {
        BOOST_TEST_CONTEXT(status << " " << path << " " << valid_follows) {
          ScriptedTarget target(
              [&](RawConnection& connection, const std::string& request) {
                const std::string id = RequestIdOf(request);
                connection.Write(test::Response(
                    id, valid_follows ? "" : "invalid", kStamp, status));
                if (valid_follows) {
                  connection.Write(test::Response(id, "smuggled"));
                }
                return false;
              });
          this->AddTarget("t", target);
          const std::string response =
              this->Send("POST " + std::string(path), "", "x");
          BOOST_TEST(response.starts_with("HTTP/1.1 502"),
                     response.substr(0, 200));
          BOOST_TEST(target.Requests().size() == 1U);
        }
      }
    }
  }
}

// The request may have run, which does not matter on a route of safe requests.
BOOST_FIXTURE_TEST_CASE(RetriesAfterAnInvalidStatusWhereAllowed, Fixture) {
  std::size_t count = 0;
  const auto respond = [&count](RawConnection& connection,
                                const std::string& request) {
    const std::string id = RequestIdOf(request);
    connection.Write(++count == 1
                         ? test::Response(id, "x", kStamp, "000 Nothing")
                         : test::Response(id, "valid"));
    return true;
  };
  ScriptedTarget first(respond);
  ScriptedTarget second(respond);
  this->AddTarget("first", first);
  this->AddTarget("second", second);
  const std::string response = this->Send("GET /safe/1");
  BOOST_TEST(response.starts_with("HTTP/1.1 200"), response.substr(0, 200));
  BOOST_TEST(response.ends_with("valid"));
}

// Interim responses stay allowed.
BOOST_FIXTURE_TEST_CASE(SkipsInterimResponses, Fixture) {
  ScriptedTarget target(
      [](RawConnection& connection, const std::string& request) {
        connection.Write("HTTP/1.1 100 Continue\r\n\r\n");
        connection.Write("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n");
        return test::Echo(connection, request);
      });
  this->AddTarget("t", target);
  const std::string response = this->Send("POST /unsafe/1", "", "x");
  BOOST_TEST(response.starts_with("HTTP/1.1 200"), response.substr(0, 200));
}

}  // namespace
}  // namespace pimentospar
