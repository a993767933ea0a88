#define BOOST_TEST_MODULE request_handler
#include "gateway/request_handler.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <utility>

#include "request_handler_fixture.h"

namespace pimentospar {
namespace {

using Fixture = test::HandlerFixture;
using test::Chunk;
using test::Contains;
using test::Count;
using test::Echo;
using test::Eventually;
using test::kStamp;
using test::Loop;
using test::RawConnection;
using test::RequestIdOf;
using test::Response;
using test::ScriptedTarget;

BOOST_FIXTURE_TEST_CASE(ForwardsRequestAndResponse, Fixture) {
  ScriptedTarget target(Echo);
  this->AddTarget("t", target);
  const std::string response =
      this->Send("POST /unsafe/1?q=2",
                 "X-Other: kept\r\nX-Pimentospar-Hold: mine\r\nTE: x\r\n"
                 "X-Pimentospar-Deadline-Ms: 2000\r\n",
                 "hello");
  BOOST_TEST(response.starts_with("HTTP/1.1 200 OK\r\n"), response);
  BOOST_TEST(response.ends_with("\r\n\r\nbody"), response);
  BOOST_TEST(Contains(response, kStamp), response);
  BOOST_REQUIRE(target.Requests().size() == 1U);
  const std::string& sent = target.Requests()[0];
  BOOST_TEST(sent.starts_with("POST /unsafe/1?q=2 HTTP/1.1\r\n"), sent);
  BOOST_TEST(sent.ends_with("\r\n\r\nhello"), sent);
  BOOST_TEST(Contains(sent, "X-Other: kept\r\n"), sent);
  BOOST_TEST(Contains(sent, "X-Pimentospar-Expect-Instance: t\r\n"), sent);
  BOOST_TEST(!Contains(sent, "X-Pimentospar-Hold"), sent);
  BOOST_TEST(!Contains(sent, "TE: x"), sent);
  BOOST_TEST(!Contains(sent, "Connection"), sent);
  BOOST_TEST(Count(sent, "X-Pimentospar-Deadline-Ms: ") == 1U, sent);
  BOOST_TEST(!Contains(sent, "Deadline-Ms: 20000"), sent);
}

BOOST_FIXTURE_TEST_CASE(RefusesWithoutAConfiguration, Fixture) {
  this->table = nullptr;
  const std::string response = this->Send("GET /safe/1");
  BOOST_TEST(response.starts_with("HTTP/1.1 503"), response);
  BOOST_TEST(Contains(response, "Retry-After: 2.000"), response);
}

BOOST_FIXTURE_TEST_CASE(RespondsNotFoundWithoutARoute, Fixture) {
  BOOST_TEST(this->Send("GET /nowhere/1").starts_with("HTTP/1.1 404"));
}

BOOST_FIXTURE_TEST_CASE(RefusesSmuggledLengths, Fixture) {
  ScriptedTarget target(Echo);
  this->AddTarget("t", target);
  const std::string response = this->Send(
      "POST /unsafe/1", "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n");
  BOOST_TEST(response.starts_with("HTTP/1.1 400"), response);
  BOOST_TEST(target.Requests().empty());
}

// A request whose last transfer coding is not `chunked` was read as one without
// a body, and the bytes of its body as the next request, which a target ran.
BOOST_FIXTURE_TEST_CASE(RunsARequestThatIsHiddenInABody, Fixture) {
  ScriptedTarget target(Echo);
  this->AddTarget("t", target);
  const std::string hidden = HandlerFixture::Request("POST /unsafe/2");
  const std::vector<std::string> uncertain = {
      "Transfer-Encoding: identity\r\n",
      "Transfer-Encoding: chunked, identity\r\n",
      "Transfer-Encoding: identity\r\nTransfer-Encoding: gzip\r\n",
      "Transfer-Encoding: xchunked\r\n",
      "Transfer-Encoding: gzip\r\n",
      "Transfer-Encoding: \"chunked\"\r\n",
      "Transfer-Encoding: chunked;q=1\r\n",
      "Transfer-Encoding:\r\n",
      "Transfer-Encoding: ,\r\n",
      "Transfer-Encoding: identity\r\nContent-Length: 4\r\n",
      "Transfer-Encoding: gzip, chunked\r\n"};
  for (const std::string& headers : uncertain) {
    RawConnection caller(this->server.LocalAddress());
    caller.Write(
        "POST /unsafe/1 HTTP/1.1\r\nHost: a.example\r\n"
        "X-Pimentospar-Request-Id: r0\r\n");
    caller.Write(headers);
    caller.Write("\r\n");
    caller.Write(hidden);
    const std::string& response = caller.ReadAll();
    BOOST_TEST(response.starts_with("HTTP/1.1 400"), headers + response);
    BOOST_TEST(Count(response, "HTTP/1.1") == 1U, headers + response);
  }
  BOOST_TEST(target.Requests().empty());
}

BOOST_FIXTURE_TEST_CASE(TakesAChunkedBody, Fixture) {
  ScriptedTarget target(Echo);
  this->AddTarget("t", target);
  for (const std::string_view coding : {"chunked", "Chunked", " chunked "}) {
    RawConnection caller(this->server.LocalAddress());
    caller.Write(
        "POST /unsafe/1 HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
        "X-Pimentospar-Request-Id: r1\r\nTransfer-Encoding: " +
        std::string(coding) + "\r\n\r\n" + Chunk("hello") + "0\r\n\r\n");
    BOOST_TEST(caller.ReadAll().starts_with("HTTP/1.1 200"));
    BOOST_TEST(target.Requests().back().ends_with("\r\n\r\nhello"));
  }
}

// A body in a transfer coding that is not decoded was passed on as if it were
// the body itself, without the field that names the coding.
BOOST_FIXTURE_TEST_CASE(PassesACodedResponseBodyOnAsTheBodyItself, Fixture) {
  ScriptedTarget target(
      [](RawConnection& connection, const std::string& request) {
        connection.Write("HTTP/1.1 200 OK\r\nX-Pimentospar-Request-Id: " +
                         RequestIdOf(request) + "\r\n" + std::string(kStamp) +
                         "Transfer-Encoding: gzip, chunked\r\n\r\n" +
                         Chunk("coded") + "0\r\n\r\n");
        return true;
      });
  this->AddTarget("t", target);
  const std::string response = this->Send("POST /unsafe/1", "", "x");
  BOOST_TEST(response.starts_with("HTTP/1.1 502"), response);
}

BOOST_FIXTURE_TEST_CASE(RetriesASafeRequestAtAnotherTarget, Fixture) {
  ScriptedTarget broken(
      [](RawConnection& connection, const std::string& request) {
        connection.Write(Response(RequestIdOf(request), "whole").substr(0, 60));
        return false;
      });
  ScriptedTarget good(Echo);
  this->AddTarget("broken", broken);
  this->AddTarget("good", good);
  for (int i = 0; i < 4; ++i) {
    BOOST_TEST(this->Send("GET /safe/1").starts_with("HTTP/1.1 200"));
  }
  BOOST_TEST(!broken.Requests().empty());
}

BOOST_FIXTURE_TEST_CASE(RunsAnUnsafeRequestOnce, Fixture) {
  ScriptedTarget first(
      [](RawConnection&, const std::string&) { return false; });
  ScriptedTarget second(
      [](RawConnection&, const std::string&) { return false; });
  this->AddTarget("first", first);
  this->AddTarget("second", second);
  const std::string response = this->Send("POST /unsafe/1", "", "x");
  BOOST_TEST(response.starts_with("HTTP/1.1 502"), response);
  BOOST_TEST(first.Requests().size() + second.Requests().size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(RetriesAnUnsafeRequestThatDidNotRun, Fixture) {
  const auto refuse = [](RawConnection& connection,
                         const std::string& request) {
    connection.Write(Response(RequestIdOf(request), "",
                              "X-Pimentospar-Not-Run: 1\r\n",
                              "503 Service Unavailable"));
    return true;
  };
  ScriptedTarget full(refuse);
  ScriptedTarget full_too(refuse);
  this->AddTarget("full", full);
  this->AddTarget("full_too", full_too);
  const std::string refused = this->Send("POST /unsafe/1", "", "x");
  BOOST_TEST(refused.starts_with("HTTP/1.1 503"), refused);
  BOOST_TEST(Contains(refused, "Retry-After"), refused);
  BOOST_TEST(full.Requests().size() == 1U);
  BOOST_TEST(full_too.Requests().size() == 1U);
  ScriptedTarget good(Echo);
  this->AddTarget("good", good);
  BOOST_TEST(this->Send("POST /unsafe/1", "", "x").starts_with("HTTP/1.1 200"));
}

// Bytes that belong to no request tell nothing of whether it has run.
BOOST_FIXTURE_TEST_CASE(PromisesThatARequestDidNotRunForAnErrorWithoutId,
                        Fixture) {
  for (const std::string status :
       {"503 Service Unavailable", "429 Too Many Requests",
        "408 Request Timeout", "500 Internal Server Error"}) {
    ScriptedTarget target([&](RawConnection& connection, const std::string&) {
      connection.Write("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n");
      return false;
    });
    this->AddTarget("t", target);
    const std::string response = this->Send("POST /unsafe/1", "", "x");
    BOOST_TEST(response.starts_with("HTTP/1.1 502"), response);
    BOOST_TEST(!Contains(response, "Retry-After"), response);
  }
}

BOOST_FIXTURE_TEST_CASE(RunsARequestAgainAfterAnErrorWithoutId, Fixture) {
  ScriptedTarget broken([](RawConnection& connection, const std::string&) {
    connection.Write(
        "HTTP/1.1 503 Service Unavailable\r\n"
        "Content-Length: 0\r\n\r\n");
    return false;
  });
  ScriptedTarget broken_too([](RawConnection& connection, const std::string&) {
    connection.Write(
        "HTTP/1.1 503 Service Unavailable\r\n"
        "Content-Length: 0\r\n\r\n");
    return false;
  });
  this->AddTarget("broken", broken);
  this->AddTarget("broken_too", broken_too);
  (void)this->Send("POST /unsafe/1", "", "x");
  BOOST_TEST(broken.Requests().size() + broken_too.Requests().size() == 1U);
}

// A refusal that says that the request did not run needs no id.
BOOST_FIXTURE_TEST_CASE(DropsARefusalWithoutId, Fixture) {
  ScriptedTarget full([](RawConnection& connection, const std::string&) {
    connection.Write(
        "HTTP/1.1 503 Service Unavailable\r\n"
        "X-Pimentospar-Not-Run: 1\r\n"
        "Content-Length: 0\r\n\r\n");
    return true;
  });
  this->AddTarget("full", full);
  const std::string response = this->Send("POST /unsafe/1", "", "x");
  BOOST_TEST(response.starts_with("HTTP/1.1 503"), response);
  BOOST_TEST(Contains(response, "Retry-After"), response);
}

BOOST_FIXTURE_TEST_CASE(SkipsResponsesToOtherRequests, Fixture) {
  ScriptedTarget target(
      [](RawConnection& connection, const std::string& request) {
        connection.Write(Response("another", "wrong") +
                         Response(RequestIdOf(request), "right"));
        return true;
      });
  this->AddTarget("t", target);
  const std::string response = this->Send("POST /unsafe/1", "", "x");
  BOOST_TEST(response.ends_with("\r\n\r\nright"), response);
  BOOST_TEST(!Contains(response, "wrong"), response);
}

// A late copy of an earlier refusal without an ID must not be taken for the
// response to the next request on the connection, which then runs twice.
BOOST_FIXTURE_TEST_CASE(IgnoresARefusalWithoutIdOnAReusedConnection, Fixture) {
  std::size_t requests = 0;
  ScriptedTarget target(
      [&](RawConnection& connection, const std::string& request) {
        if (++requests == 2) {
          connection.Write(
              "HTTP/1.1 503 Service Unavailable\r\n"
              "X-Pimentospar-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        }
        return Echo(connection, request);
      });
  this->AddTarget("t", target);
  BOOST_TEST(this->Send("POST /unsafe/1", "", "x").ends_with("body"));
  std::string request = Request("POST /unsafe/1", "", "x");
  request.replace(request.find("Id: r1"), 6, "Id: r2");
  RawConnection caller(this->server.LocalAddress());
  caller.Write(request);
  const std::string response = caller.ReadAll();
  BOOST_TEST(response.ends_with("\r\n\r\nbody"), response);
  BOOST_TEST(target.Requests().size() == 2U);
  BOOST_TEST(target.EndedConnections() == 0U);
}

// The first attempt is refused and its refusal is sent twice, the second time
// when the target already runs the second attempt.
BOOST_FIXTURE_TEST_CASE(IgnoresASecondCopyOfItsOwnRefusal, Fixture) {
  std::size_t runs = 0;
  const RawConnection* refused = nullptr;
  const auto misdirected = [](const std::string& request) {
    return Response(RequestIdOf(request), "", "", "421 Misdirected Request");
  };
  ScriptedTarget target(
      [&](RawConnection& connection, const std::string& request) {
        if (refused == nullptr) {
          refused = &connection;
          connection.Write(misdirected(request));
          return true;
        }
        ++runs;
        if (refused == &connection) {
          connection.Write(misdirected(request));
        }
        connection.Write(Response(RequestIdOf(request), "body"));
        return true;
      });
  this->AddTarget("t", target);
  const std::string response = this->Send("POST /unsafe/1", "", "x");
  BOOST_TEST(response.ends_with("\r\n\r\nbody"), response);
  BOOST_TEST(runs == 1U);
}

// A target wrote the refusal of the first attempt once more on a connection
// that was kept since before, where the second attempt runs.
BOOST_FIXTURE_TEST_CASE(TakesAnEarlierRefusalOnAKeptConnection, Fixture) {
  std::size_t runs = 0;
  bool has_refused = false;
  std::set<const RawConnection*> used;
  const auto misdirected = [](const std::string& request) {
    return Response(RequestIdOf(request), "", "", "421 Misdirected Request");
  };
  ScriptedTarget target(
      [&](RawConnection& connection, const std::string& request) {
        const bool is_kept = !used.insert(&connection).second;
        if (Contains(request, "/safe/")) {
          // Both calls are in flight together, so that two connections are
          // kept.
          boost::this_fiber::sleep_for(std::chrono::milliseconds(100));
          return Echo(connection, request);
        }
        if (!std::exchange(has_refused, true)) {
          connection.Write(misdirected(request));
          return true;
        }
        ++runs;
        if (is_kept) {
          connection.Write(misdirected(request));
        }
        return Echo(connection, request);
      });
  this->AddTarget("t", target);
  std::size_t finished = 0;
  for (int i = 0; i < 2; ++i) {
    Loop().Spawn([&] {
      (void)this->Send("GET /safe/1");
      ++finished;
    });
  }
  BOOST_TEST(Eventually([&] { return finished == 2; }));
  const std::string response = this->Send("POST /unsafe/1", "", "x");
  BOOST_TEST(response.ends_with("\r\n\r\nbody"), response);
  BOOST_TEST(runs == 1U);
}

BOOST_FIXTURE_TEST_CASE(RejectsAnUnsignedSuccess, Fixture) {
  ScriptedTarget target(
      [](RawConnection& connection, const std::string& request) {
        connection.Write(Response(RequestIdOf(request), "forged", ""));
        return true;
      });
  this->AddTarget("t", target);
  const std::string response = this->Send("POST /unsafe/1", "", "x");
  BOOST_TEST(response.starts_with("HTTP/1.1 502"), response);
}

BOOST_FIXTURE_TEST_CASE(ForwardsAnUnframedResponseOnlyAfterACleanClose,
                        Fixture) {
  bool clean = true;
  ScriptedTarget target([&](RawConnection& connection,
                            const std::string& request) {
    connection.Write(
        "HTTP/1.1 200 OK\r\nX-Pimentospar-Request-Id: " + RequestIdOf(request) +
        "\r\n" + std::string(kStamp) + "\r\nunframed");
    if (!clean) {
      connection.Reset();
    }
    return false;
  });
  this->AddTarget("t", target);
  const std::string whole = this->Send("POST /unsafe/1", "", "x");
  BOOST_TEST(whole.ends_with("Content-Length: 8\r\n\r\nunframed"), whole);
  clean = false;
  const std::string reset = this->Send("POST /unsafe/1", "", "x");
  BOOST_TEST(reset.starts_with("HTTP/1.1 502"), reset);
}

// A target stops inside the head of its response and closes the connection. Its
// caller must not get a success with an empty or a short body.
BOOST_FIXTURE_TEST_CASE(HeadThatBreaksOffBecomesASuccess, Fixture) {
  struct Form {
    std::string_view path;
    std::string head;
  };
  const std::string start =
      "HTTP/1.1 200 OK\r\nX-Pimentospar-Request-Id: r1\r\n" +
      std::string(kStamp);
  const std::vector<Form> forms = {
      {"/unsafe/1", start + "Content-Length: 20\r\n\r\n"},
      {"/unsafe/1", start + "Connection: close\r\n\r\n"},
      {"/once/1", start + "Content-Type: text/event-stream\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n"}};
  std::size_t length = 0;
  const std::string* head = nullptr;
  ScriptedTarget target([&](RawConnection& connection, const std::string&) {
    connection.Write(head->substr(0, length));
    return false;
  });
  this->AddTarget("t", target);
  for (const Form& form : forms) {
    head = &form.head;
    for (length = 0; length < head->size(); ++length) {
      const std::string response =
          this->Send("POST " + std::string(form.path), "", "x");
      BOOST_TEST(response.starts_with("HTTP/1.1 502"),
                 std::to_string(length) + " bytes: " + response);
    }
  }
}

BOOST_FIXTURE_TEST_CASE(ForwardsAnErrorResponseUnchanged, Fixture) {
  ScriptedTarget target(
      [](RawConnection& connection, const std::string& request) {
        connection.Write(Response(RequestIdOf(request), "why", kStamp,
                                  "500 Internal Server Error"));
        return true;
      });
  this->AddTarget("t", target);
  const std::string response = this->Send("POST /unsafe/1", "", "x");
  BOOST_TEST(response.starts_with("HTTP/1.1 500"), response);
  BOOST_TEST(response.ends_with("\r\n\r\nwhy"), response);
}

}  // namespace
}  // namespace pimentospar
