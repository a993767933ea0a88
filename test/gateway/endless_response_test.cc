#define BOOST_TEST_MODULE endless_response
#include <boost/test/unit_test.hpp>

#include "request_handler_fixture.h"

// Targets whose responses never end.
namespace pimentospar {
namespace {

using Fixture = test::HandlerFixture;
using test::Chunk;
using test::Contains;
using test::Eventually;
using test::kStamp;
using test::Loop;
using test::RawConnection;
using test::RequestIdOf;
using test::ScriptedTarget;

// Responses without an end: nothing may be kept or read without a limit.
class EndlessResponse : public Fixture {
 public:
  // Sends `part` again and again until the connection is closed, at most
  // `kMaxSentBytes`.
  ScriptedTarget::Script Repeat(const std::string& head,
                                const std::string& part) {
    return [this, head, part](RawConnection& connection,
                              const std::string& request) {
      std::string text = head;
      const auto at = text.find("ID");
      if (at != std::string::npos) {
        text.replace(at, 2, RequestIdOf(request));
      }
      connection.Write(text);
      while (this->sent_bytes < kMaxSentBytes && connection.IsOpen()) {
        connection.Write(part);
        this->sent_bytes += part.size();
      }
      return false;
    };
  }

  // Framing of a chunked body that `part` continues without end.
  struct Framing {
    std::string_view name;
    std::string start;
    std::string part;
  };

  static constexpr std::size_t kMaxSentBytes = 64ULL << 20;
  // What an entry may read of one response, with room for socket buffers.
  static constexpr std::size_t kMaxReadBytes = 24ULL << 20;
  std::size_t sent_bytes = 0;
};

BOOST_FIXTURE_TEST_CASE(EndsABodyWithoutEnd, EndlessResponse) {
  ScriptedTarget target(this->Repeat(
      "HTTP/1.1 200 OK\r\nX-Pimentospar-Request-Id: ID\r\n" +
          std::string(kStamp) + "Transfer-Encoding: chunked\r\n\r\n",
      Chunk(std::string(64 << 10, 'x'))));
  this->AddTarget("t", target);
  const std::string response = this->Send("POST /unsafe/1", "", "x");
  BOOST_TEST(response.starts_with("HTTP/1.1 502"), response.substr(0, 100));
  BOOST_TEST(this->sent_bytes < kMaxReadBytes);
}

BOOST_FIXTURE_TEST_CASE(EndsAnEventWithoutEnd, EndlessResponse) {
  ScriptedTarget target(this->Repeat(
      "HTTP/1.1 200 OK\r\nX-Pimentospar-Request-Id: ID\r\n" +
          std::string(kStamp) + "Transfer-Encoding: chunked\r\n\r\n",
      Chunk("data: " + std::string(64 << 10, 'x') + "\n")));
  this->AddTarget("t", target);
  const std::string response = this->Send("POST /once/1", "", "x");
  BOOST_TEST(!Contains(response, "HTTP/1.1 200"), response.substr(0, 100));
  BOOST_TEST(this->sent_bytes < kMaxReadBytes);
}

BOOST_FIXTURE_TEST_CASE(EndsInterimHeadsWithoutEnd, EndlessResponse) {
  ScriptedTarget target(
      this->Repeat("", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"));
  this->AddTarget("t", target);
  const std::string response = this->Send("POST /unsafe/1", "", "x");
  BOOST_TEST(response.starts_with("HTTP/1.1 502"), response.substr(0, 100));
  BOOST_TEST(this->sent_bytes < kMaxReadBytes);
}

BOOST_FIXTURE_TEST_CASE(EndsAHeadWithoutEnd, EndlessResponse) {
  ScriptedTarget target(
      this->Repeat("HTTP/1.1 200 OK\r\n", "X-Filler: 0123456789\r\n"));
  this->AddTarget("t", target);
  const std::string response = this->Send("POST /unsafe/1", "", "x");
  BOOST_TEST(response.starts_with("HTTP/1.1 502"), response.substr(0, 100));
  BOOST_TEST(this->sent_bytes < kMaxReadBytes);
}

BOOST_FIXTURE_TEST_CASE(EndsTheBodyOfAnotherRequestWithoutEnd,
                        EndlessResponse) {
  ScriptedTarget target(this->Repeat(
      "HTTP/1.1 200 OK\r\nX-Pimentospar-Request-Id: other\r\n" +
          std::string(kStamp) + "Transfer-Encoding: chunked\r\n\r\n",
      Chunk(std::string(64 << 10, 'x'))));
  this->AddTarget("t", target);
  const std::string response = this->Send("POST /unsafe/1", "", "x");
  BOOST_TEST(response.starts_with("HTTP/1.1 502"), response.substr(0, 100));
  BOOST_TEST(this->sent_bytes < kMaxReadBytes);
}

// A line with the size of a chunk, or trailer fields, that never end made the
// gateway keep all bytes of them, until it exceeded its memory and was killed
// together with the requests of other callers.
BOOST_FIXTURE_TEST_CASE(EndsEndlessFramingOfAChunkedBody, EndlessResponse) {
  const std::string filler(64 << 10, 'x');
  const std::vector<Framing> endless = {
      {"chunk extension", "1;", filler},
      {"spaces after the size of a chunk", "1", std::string(64 << 10, ' ')},
      {"trailer value", "0\r\nX-Filler: ", filler},
      {"trailer fields", "0\r\n", "X-Filler: 0123456789\r\n"}};
  for (const Framing& framing : endless) {
    BOOST_TEST_CONTEXT(framing.name) {
      for (const std::string_view path : {"/unsafe/1", "/once/1"}) {
        this->sent_bytes = 0;
        ScriptedTarget target(this->Repeat(
            "HTTP/1.1 200 OK\r\nX-Pimentospar-Request-Id: ID\r\n" +
                std::string(kStamp) + "Transfer-Encoding: chunked\r\n\r\n" +
                framing.start,
            framing.part));
        this->AddTarget("t", target);
        const std::string response =
            this->Send("POST " + std::string(path), "", "x");
        BOOST_TEST(response.starts_with("HTTP/1.1 502"),
                   response.substr(0, 100));
        BOOST_TEST(this->sent_bytes < kMaxReadBytes);
      }
    }
  }
}

// Each chunk carries one byte of data behind a long extension, so that limits
// on the data alone were met only after gigabytes.
BOOST_FIXTURE_TEST_CASE(EndsChunksThatAreMostlyFraming, EndlessResponse) {
  ScriptedTarget target(this->Repeat(
      "HTTP/1.1 200 OK\r\nX-Pimentospar-Request-Id: ID\r\n" +
          std::string(kStamp) + "Transfer-Encoding: chunked\r\n\r\n",
      "1;" + std::string(16 << 10, 'x') + "\r\nd\r\n"));
  this->AddTarget("t", target);
  const std::string response = this->Send("POST /unsafe/1", "", "x");
  BOOST_TEST(response.starts_with("HTTP/1.1 502"), response.substr(0, 100));
  BOOST_TEST(this->sent_bytes < kMaxReadBytes);
}

// Many targets with such bodies together stay within one limit.
BOOST_FIXTURE_TEST_CASE(EndsManyBodiesWithoutEnd, EndlessResponse) {
  ScriptedTarget target([](RawConnection& connection,
                           const std::string& request) {
    connection.Write(
        "HTTP/1.1 200 OK\r\nX-Pimentospar-Request-Id: " + RequestIdOf(request) +
        "\r\n" + std::string(kStamp) + "Transfer-Encoding: chunked\r\n\r\n");
    // Below the limit of one response, and never completed.
    for (int i = 0; i < 48 && connection.IsOpen(); ++i) {
      connection.Write(Chunk(std::string(64 << 10, 'x')));
    }
    (void)connection.ReadUntil("never");
    return false;
  });
  this->AddTarget("t", target);
  std::size_t ended = 0;
  constexpr std::size_t kCallers = 24;
  for (std::size_t i = 0; i < kCallers; ++i) {
    Loop().Spawn([this, &ended] {
      (void)this->Send("POST /unsafe/1", "X-Pimentospar-Deadline-Ms: 4000\r\n",
                       "x");
      ++ended;
    });
  }
  BOOST_TEST(Eventually([&] { return this->pool.BufferedBytes() > 0; }));
  while (ended < kCallers) {
    BOOST_REQUIRE_LE(this->pool.BufferedBytes(), 48U << 20);
    boost::this_fiber::sleep_for(std::chrono::milliseconds(1));
  }
  BOOST_TEST(this->pool.BufferedBytes() == 0U);
}

}  // namespace
}  // namespace pimentospar
