#ifndef TEST_GATEWAY_REQUEST_HANDLER_FIXTURE_H_
#define TEST_GATEWAY_REQUEST_HANDLER_FIXTURE_H_

#include <cstdio>
#include <memory>
#include <string>
#include <string_view>

#include "gateway/request_handler.h"
#include "platform/platform_headers.h"
#include "support.h"

namespace pimentospar::test {

constexpr std::string_view kStamp = "X-Pimentospar-Response-Stamp: s\r\n";

inline std::string Response(const std::string& id,
                            std::string_view body,
                            std::string_view extra = kStamp,
                            std::string_view status = "200 OK") {
  return "HTTP/1.1 " + std::string(status) +
         "\r\nX-Pimentospar-Request-Id: " + id + "\r\n" + std::string(extra) +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         std::string(body);
}

inline std::string StreamHead(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nX-Pimentospar-Request-Id: " + id + "\r\n" +
         std::string(kStamp) +
         "Content-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

/// The head of a stream that ends with its connection.
inline std::string UnframedStreamHead(const std::string& id) {
  return "HTTP/1.1 200 OK\r\nX-Pimentospar-Request-Id: " + id + "\r\n" +
         std::string(kStamp) + "Content-Type: text/event-stream\r\n\r\n";
}

inline std::string Chunk(std::string_view data) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", data.size());
  return size + std::string(data) + "\r\n";
}

inline std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

inline RouteSpec Route(std::string prefix,
                       RequestKind kind,
                       bool resumable = false) {
  RouteSpec route;
  route.name = prefix;
  route.host = "a.example";
  route.path_prefix = std::move(prefix);
  route.kind = kind;
  route.timeout = std::chrono::seconds(20);
  route.latency_goal = std::chrono::seconds(1);
  route.services = {{ServiceId("s"), 1}};
  route.max_attempts = 2;
  route.resumable = resumable;
  return route;
}

/// Responds to a request as a target that runs it.
inline bool Echo(RawConnection& connection, const std::string& request) {
  connection.Write(Response(RequestIdOf(request), "body"));
  return true;
}

/// An entry with scripted targets of one service that has no engine.
class HandlerFixture {
 public:
  explicit HandlerFixture(
      std::optional<std::chrono::milliseconds> revoke_time = std::nullopt,
      bool predicted_cost = false)
      : predicted_cost(predicted_cost),
        freshness(this->clock, this->random, revoke_time),
        server(Loop(),
               this->timers,
               this->clock,
               Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0),
               [this](CallerRequest& request, CallerChannel& channel) {
                 return RequestHandler(this->deps, request, channel).Run();
               }) {
    RoutingConfig config;
    config.version = {1};
    config.routes = {Route("/safe/", RequestKind::kSafe),
                     Route("/unsafe/", RequestKind::kUnsafe),
                     Route("/stream/", RequestKind::kStream, true),
                     Route("/once/", RequestKind::kStream)};
    config.services = {{ServiceId("s"), std::nullopt}};
    this->table = std::make_shared<const RouteTable>(config);
    this->server.Start();
  }

  /// Waits for the fibers of the connections, which refer to the server.
  ~HandlerFixture() {
    (void)Eventually([this] { return this->server.ConnectionCount() == 0; });
  }

  void AddTarget(const std::string& name, const ScriptedTarget& target) {
    TargetDescription description;
    description.id = TargetId(name);
    description.service = ServiceId("s");
    description.address = target.Address();
    description.slots = 4;
    this->targets.OnTarget(description);
  }

  std::string Send(std::string_view line,
                   std::string_view headers = "",
                   std::string_view body = "") {
    RawConnection caller(this->server.LocalAddress());
    caller.Write(Request(line, headers, body));
    return caller.ReadAll();
  }

  static std::string Request(std::string_view line,
                             std::string_view headers = "",
                             std::string_view body = "") {
    std::string text = std::string(line) +
                       " HTTP/1.1\r\nHost: a.example\r\n"
                       "X-Pimentospar-Request-Id: r1\r\nConnection: close\r\n" +
                       std::string(headers);
    if (!body.empty()) {
      text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + std::string(body);
  }

  bool predicted_cost;
  SystemClock clock;
  SeededRandom random{3};
  TimerQueue timers{Loop(), clock};
  UpstreamPool pool{Loop(), timers, clock, {}};
  platform::PlatformHeaders headers;
  TargetSelector targets{clock, random, {}};
  FiberSignal targets_changed;
  SharedRetryBudget retry_budget{clock,
                                 {0.2, std::chrono::seconds(10), 50, 1.0}};
  StreamLengthEstimator stream_lengths;
  OutputLengthEstimator output_lengths;
  CopyDemandTracker copy_demand;
  Metrics metrics;
  CrashTracker crashes{clock, pool, metrics, [] { return false; }};
  EntryTransport transport{
      Loop(),      clock, {boost::asio::ip::make_address("127.0.0.1"), 0},
      HostId("h"), {1},   [](const EntryMessage&) {}};
  ConfigFreshness freshness;
  AccessControl access{freshness};
  QuotaLimiter quotas{clock, random};
  SelectionQueue selection_queue{Loop(),
                                 clock,
                                 random,
                                 targets_changed,
                                 metrics,
                                 predicted_cost,
                                 EntryQueueOptions{.max_length = 8}};
  RateLimitCoordinator rate_limits{Loop(), clock, random, transport,
                                   HostId("h")};
  std::shared_ptr<const RouteTable> table;
  ListenerList grace_time_ended;
  RequestDependencies deps{clock,
                           random,
                           timers,
                           pool,
                           headers,
                           targets,
                           targets_changed,
                           retry_budget,
                           stream_lengths,
                           output_lengths,
                           copy_demand,
                           crashes,
                           rate_limits,
                           access,
                           quotas,
                           selection_queue,
                           metrics,
                           grace_time_ended,
                           [this] { return this->table; },
                           [] { return std::size_t{1}; }};
  CallerServer server;
};

}  // namespace pimentospar::test

#endif  // TEST_GATEWAY_REQUEST_HANDLER_FIXTURE_H_
