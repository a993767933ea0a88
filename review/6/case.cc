// A runner of a service leaves: it registers `draining`, names
// `Server-Leaving: 1` in all answers from then on, serves for a while longer
// and exits. The gateways must not send it requests later than `drain_ms` after
// the store has acknowledged the registration.

#include <atomic>
#include <csignal>
#include <cstring>

#include "../standin-2/platform.h"

using namespace standin;

namespace {

// The figures of the site mos-care.
constexpr long kDrainMs = 2500;
constexpr long kBeatMs = 1200;
constexpr long kStableWindowMs = 4000;
constexpr long kWorkMs = 60;
constexpr int kSlots = 6;
constexpr int kQueue = 24;
constexpr int kGateways = 5;
constexpr int kRunners = 3;
// A runner serves for a little longer than `drain_ms`, not always for the same
// time.
constexpr long kMinLingerMs = 400;
constexpr long kLingerSpreadMs = 1600;
// Runners are replaced in this interval and some part of a second more, so that
// the replacements do not keep step with the polls of the gateways. The new
// runner starts this long before the old one leaves.
constexpr long kReplacementIntervalMs = 5300;
constexpr long kReplacementSpreadMs = 900;
constexpr long kNewRunnerLeadMs = 1000;
constexpr int kReplacements = 14;
constexpr long kBusyClients = 8;
constexpr long kBusyPauseMs = 200;
// The clients of each other gateway send some requests each in this interval,
// whatever the runners do.
constexpr long kVisitIntervalMs = 4100;
constexpr long kVisitingClients = 8;
constexpr int kRequestsPerVisit = 2;

std::atomic<int> late_arrivals{0};
std::atomic<int> late_and_cut{0};
std::atomic<long> next_request{1};
// With HEADER=0 the runners do not say in their answers that they leave, only
// in the store.
const bool names_leaving =
    getenv("HEADER") == nullptr || strcmp(getenv("HEADER"), "0") != 0;

class Runner {
 public:
  Runner(Store& store, std::string id, std::string service)
      : store(store),
        id(std::move(id)),
        service(std::move(service)),
        born(1700000000000L + NowMs()) {
    this->server = std::make_unique<Server>(
        [this](const Message& request, Channel& channel) {
          return this->Handle(request, channel);
        });
    this->beats = std::thread([this] { this->Beat(); });
  }
  ~Runner() { this->Exit(); }

  /// Announces that the runner leaves.
  void Leave() {
    this->acknowledged_at = 0;
    this->leaving = true;
    this->Register();
    this->acknowledged_at = NowMs();
    Record("runner %s is draining, acknowledged by the store",
           this->id.c_str());
  }
  void Exit() {
    if (this->exited.exchange(true)) {
      return;
    }
    Record("runner %s exits", this->id.c_str());
    this->server->Stop();
    this->beats.join();
    this->store.PutKeyed("keyed.servers", this->id, "");
  }

 private:
  void Register() {
    this->store.PutKeyed(
        "keyed.servers", this->id,
        "{\"service\":\"" + this->service +
            "\",\"addr\":\"127.0.0.1:" + std::to_string(this->server->Port()) +
            "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":"
            "\"" +
            (this->leaving ? "draining" : "ready") +
            "\",\"cold_left_ms\":0,\"seq\":" + std::to_string(++this->beat) +
            ",\"born\":" + std::to_string(this->born) + "}");
  }
  void Beat() {
    while (!this->exited) {
      this->Register();
      for (long waited = 0; waited < kBeatMs && !this->exited; waited += 50) {
        SleepMs(50);
      }
    }
  }
  std::string LeavingHeader() const {
    return this->leaving && names_leaving ? "Server-Leaving: 1\r\n" : "";
  }
  bool Handle(const Message& request, Channel& channel) {
    if (request.Header("x-pimentospar-expect-instance") != this->id) {
      return channel.Send(
          "HTTP/1.1 421 Misdirected Request\r\nX-Pimentospar-Instance: " +
          this->id + "\r\nContent-Length: 0\r\n\r\n");
    }
    const std::string request_id = request.Header("x-pimentospar-request-id");
    const long after =
        this->acknowledged_at > 0 ? NowMs() - this->acknowledged_at : -1;
    const bool is_late = after > kDrainMs;
    Record("runner %s gets %s from %s%s", this->id.c_str(), request_id.c_str(),
           request.Header("x-review-gateway").c_str(),
           is_late ? (" LATE: " + std::to_string(after) +
                      " ms after the acknowledgement")
                         .c_str()
                   : "");
    late_arrivals += is_late ? 1 : 0;
    std::string load;
    {
      std::unique_lock lock(this->mutex);
      if (this->waiting >= kQueue) {
        return channel.Send(
            "HTTP/1.1 503 Service Unavailable\r\nX-Pimentospar-Not-Run: 1\r\n"
            "X-Pimentospar-Request-Id: " +
            request_id + "\r\n" + this->LeavingHeader() +
            "Content-Length: 0\r\n\r\n");
      }
      ++this->waiting;
      this->slot_free.wait(lock, [this] { return this->running < kSlots; });
      --this->waiting;
      ++this->running;
    }
    SleepMs(kWorkMs);
    {
      const std::lock_guard lock(this->mutex);
      load = std::to_string(this->running) + "," +
             std::to_string(this->waiting) + "," + std::to_string(kSlots);
      --this->running;
      this->slot_free.notify_one();
    }
    const bool sent = channel.Send(
        "HTTP/1.1 200 OK\r\nX-Pimentospar-Request-Id: " + request_id +
        "\r\nX-Pimentospar-Response-Stamp: " + this->id + "." + request_id +
        "\r\nX-Pimentospar-Runner-Load: " + load + "\r\n" +
        this->LeavingHeader() + "Content-Length: 2\r\n\r\nok");
    if (is_late && !sent) {
      ++late_and_cut;
      Record("runner %s exited while it worked on %s", this->id.c_str(),
             request_id.c_str());
    }
    return sent;
  }

  Store& store;
  std::string id;
  std::string service;
  long born;
  std::atomic<long> beat{0};
  std::atomic<bool> leaving{false};
  std::atomic<long> acknowledged_at{0};
  std::atomic<bool> exited{false};
  std::mutex mutex;
  std::condition_variable slot_free;
  int waiting = 0;
  int running = 0;
  std::unique_ptr<Server> server;
  std::thread beats;
};

constexpr const char* kConfig =
    "{\"version\":1,\"routes\":[{\"name\":\"reserve\",\"host\":"
    "\"review.example\",\"path_prefix\":\"/reserve/\",\"kind\":\"unsafe\","
    "\"timeout_ms\":2000,\"goal_ms\":400,\"priority\":2,\"service\":\"desk\","
    "\"attempts\":1}],\"services\":[{\"name\":\"desk\",\"health_path\":"
    "\"/health\",\"max_conns\":100,\"proto\":\"h1\",\"tls\":false}],\"limits\":"
    "{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

/// Sends one reservation over a kept connection; opens one if needed.
void Reserve(const Gateway& gateway, std::unique_ptr<Channel>& channel) {
  if (channel == nullptr) {
    const int socket = Connect(gateway.Port());
    if (socket < 0) {
      return;
    }
    channel = std::make_unique<Channel>(socket);
  }
  const std::string id = "r" + std::to_string(next_request++);
  Message answer;
  const bool answered =
      channel->Send(
          "POST /reserve/cot HTTP/1.1\r\nHost: review.example\r\n"
          "X-Pimentospar-Request-Id: " +
          id + "\r\nX-Pimentospar-Deadline-Ms: 4000\r\n" +
          "X-Review-Gateway: " + gateway.Name() +
          "\r\nContent-Length: 3\r\n\r\ncot") &&
      channel->Read(answer, 5000, true) == ReadEnd::kComplete;
  Record("client at %s sent %s, answer %d", gateway.Name().c_str(), id.c_str(),
         answered ? answer.Status() : 0);
  if (!answered || answer.Header("connection") == "close") {
    channel.reset();
  }
}

/// Requests one after the other.
void RunBusyClient(const Gateway& gateway, const std::atomic<bool>& stop) {
  std::unique_ptr<Channel> channel;
  while (!stop) {
    Reserve(gateway, channel);
    SleepMs(kBusyPauseMs);
  }
}

/// A few requests at a time, every few seconds, from `first_ms` on.
void RunVisitingClient(const Gateway& gateway,
                       long first_ms,
                       const std::atomic<bool>& stop) {
  std::unique_ptr<Channel> channel;
  for (long next = first_ms; !stop; next += kVisitIntervalMs) {
    SleepUntil(next);
    for (int i = 0; i < kRequestsPerVisit && !stop; ++i) {
      Reserve(gateway, channel);
    }
  }
}

[[noreturn]] void Fail(const char* reason) {
  Record("the case cannot run: %s", reason);
  KillAllGateways();
  RemoveTemporaryFolder();
  _Exit(2);
}

}  // namespace

int main(int, char** arguments) {
  signal(SIGPIPE, SIG_IGN);
  OpenRecord(arguments[1]);
  const char* trouble = getenv("TROUBLE");
  const bool leaves = trouble == nullptr || strcmp(trouble, "0") != 0;

  Store store;
  store.PutKeyed("keyed.op", "config", kConfig);
  std::vector<std::unique_ptr<Runner>> runners;
  runners.reserve(kRunners + 1);
  int started = 0;
  const auto start_runner = [&] {
    runners.push_back(std::make_unique<Runner>(
        store, "i-" + std::to_string(++started), "desk"));
  };
  for (int i = 0; i < kRunners; ++i) {
    start_runner();
  }
  // The first gateway is started before the others, so that it is the one that
  // holds the lease.
  std::vector<std::unique_ptr<Gateway>> gateways;
  gateways.reserve(kGateways);
  for (int i = 0; i < kGateways; ++i) {
    gateways.push_back(std::make_unique<Gateway>(
        GatewaySettings{"front-" + std::to_string(i + 1)}, store.Port()));
  }
  gateways[0]->Start();
  if (!gateways[0]->AwaitReady(8000)) {
    Fail("the first gateway is not ready");
  }
  SleepMs(3000);
  for (int i = 1; i < kGateways; ++i) {
    gateways[i]->Start();
  }
  for (const auto& gateway : gateways) {
    if (!gateway->AwaitReady(8000)) {
      Fail("a gateway is not ready");
    }
  }
  std::atomic<bool> stop{false};
  std::vector<std::thread> clients;
  clients.reserve(kBusyClients + kGateways * kVisitingClients);
  for (int i = 0; i < kBusyClients; ++i) {
    clients.emplace_back([&] { RunBusyClient(*gateways[0], stop); });
  }
  // Every gateway is in touch, and has served requests, before a runner leaves.
  std::vector<long> leave_times_ms;
  leave_times_ms.reserve(kReplacements);
  long next_ms = NowMs() + kStableWindowMs + kReplacementIntervalMs;
  for (int i = 0; i < kReplacements; ++i) {
    leave_times_ms.push_back(next_ms);
    next_ms += kReplacementIntervalMs + 370L * i % kReplacementSpreadMs;
  }
  for (int i = 1; i < kGateways; ++i) {
    const long first_visit_ms = NowMs() + i * kVisitIntervalMs / kGateways;
    for (int client = 0; client < kVisitingClients; ++client) {
      clients.emplace_back([&, i, first_visit_ms] {
        RunVisitingClient(*gateways[i], first_visit_ms, stop);
      });
    }
  }
  for (const long leave_ms : leave_times_ms) {
    SleepUntil(leave_ms - kNewRunnerLeadMs);
    if (leaves) {
      start_runner();
    }
    SleepUntil(leave_ms);
    if (leaves) {
      runners.front()->Leave();
    }
    const long linger_ms = kMinLingerMs + leave_ms * 37 % kLingerSpreadMs;
    SleepUntil(leave_ms + kDrainMs + linger_ms);
    if (leaves) {
      runners.front()->Exit();
      runners.erase(runners.begin());
    }
  }
  stop = true;
  for (std::thread& client : clients) {
    client.join();
  }
  for (const auto& gateway : gateways) {
    if (gateway->Ended()) {
      Record("gateway %s ended by itself", gateway->Name().c_str());
    }
    gateway->Kill();
  }
  runners.clear();
  store.Stop();
  Record(
      "requests that reached a runner later than %ld ms after the "
      "acknowledgement: %d",
      kDrainMs, late_arrivals.load());
  Record("of these, cut when their runner exited: %d", late_and_cut.load());
  RemoveTemporaryFolder();
  // Threads of the stand-ins may still wait for input.
  _Exit(late_arrivals > 0 ? 1 : 0);
}
