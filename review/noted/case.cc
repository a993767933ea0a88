// The runners of a service drain and start again, one after the other, at their
// addresses and under their ids. The gateways that follow the lease holder's
// feed take them for leaving from then on and refuse all requests.
#include <array>
#include <atomic>
#include <cstdio>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "../standin/client.h"
#include "../standin/gateway.h"
#include "../standin/runner.h"
#include "../standin/store.h"

namespace review {
namespace {

using std::chrono::seconds;

// The front machines of the site.
constexpr int kGateways = 5;
constexpr int kRunners = 3;
constexpr milliseconds kDrainTime{2500};
constexpr milliseconds kLingerTime{200};
constexpr milliseconds kDownTime{300};
constexpr seconds kTimeBetween{1};
constexpr seconds kTimeToChange{3};
constexpr milliseconds kTimeToRelease{6250};
// From the last start to the steady state, and the time that is judged.
constexpr seconds kSettleTime{10};
constexpr seconds kJudgedTime{8};
constexpr int kMinRequests = 20;
constexpr int kOk = 200;

std::string Route(const std::string& name,
                  const std::string& prefix,
                  const std::string& service) {
  return R"({"name":")" + name + R"(","host":"x.example","path_prefix":")" +
         prefix + R"(","kind":"safe","timeout_ms":1000,"goal_ms":400,)" +
         R"("priority":2,"service":")" + service + R"(","attempts":2})";
}

std::string Config(int version, const std::string& routes) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
         routes +
         R"(],"services":[{"name":"desk","health_path":"/health",)"
         R"("max_conns":110},{"name":"stock","health_path":"/health",)"
         R"("max_conns":110}],"limits":{"max_header_bytes":16384,)"
         R"("max_body_bytes":4194304,"header_timeout_ms":3000,)"
         R"("idle_timeout_ms":15000}})";
}

/// What became of the requests on one route in the time that is judged.
struct Served {
  std::atomic<int> asked = 0;
  std::atomic<int> served = 0;

  [[nodiscard]] double Share() const {
    return this->asked == 0 ? 0 : 1.0 * this->served / this->asked;
  }
};

class Case {
 public:
  explicit Case(const std::string& folder)
      : record(folder + "/record.txt"), store(RunIp(200)) {}

  int Run();

 private:
  void StartRunners(const std::string& service, int first_ip);
  void StartGateways();
  void SendRequests(int gateway, const std::string& path, Served& result);
  void ReleaseRunners();
  int Judge();

  Record record;
  Store store;
  std::vector<std::unique_ptr<Gateway>> gateways;
  std::vector<std::unique_ptr<Runner>> runners;
  std::atomic<bool> running = true;
  std::atomic<bool> judged = false;
  std::array<Served, kGateways> on_first_route;
  std::array<Served, kGateways> on_later_route;
};

void Case::StartRunners(const std::string& service, int first_ip) {
  for (int i = 0; i < kRunners; ++i) {
    const auto number = this->runners.size();
    this->runners.push_back(std::make_unique<Runner>(
        &this->store, this->record,
        RunnerOptions{"i-" + service + "-" + std::to_string(i),
                      RunIp(first_ip + i), service, "z-a", 6, "", 0, UnixMs()},
        [this, number](const Request& request, Connection& connection) {
          std::this_thread::sleep_for(milliseconds(30));
          const bool leaves = this->runners[number]->IsLeaving();
          return connection.Write(
              AnswerHead(request, kOk,
                         std::string("Content-Length: 3\r\n") +
                             (leaves ? "Server-Leaving: 1\r\n" : "")) +
              "abc");
        }));
    this->runners.back()->Start();
  }
}

void Case::StartGateways() {
  for (int i = 0; i < kGateways; ++i) {
    this->gateways.push_back(std::make_unique<Gateway>(
        this->record,
        GatewayOptions{"front-" + std::to_string(i), RunIp(1 + i), "z-a",
                       this->store.Where(), Setting("WORK_FOLDER")}));
    this->gateways.back()->Start();
  }
  for (const auto& gateway : this->gateways) {
    if (!gateway->AwaitReady()) {
      CannotRun("a gateway is not ready");
    }
  }
}

void Case::SendRequests(int gateway, const std::string& path, Served& result) {
  Client client(this->record);
  while (this->running) {
    Attempt attempt;
    attempt.id = NewId();
    attempt.method = "GET";
    attempt.host = "x.example";
    attempt.path = path;
    const bool counts = this->judged;
    const Response response =
        client.Send(this->gateways[gateway]->Where(), attempt).response;
    if (counts) {
      ++result.asked;
      result.served += response.status == kOk && response.complete ? 1 : 0;
    }
    std::this_thread::sleep_for(milliseconds(100));
  }
}

// Three releases of one runner each: it reports that it leaves, serves on, ends
// and starts again.
void Case::ReleaseRunners() {
  for (int i = 0; i < kRunners; ++i) {
    Runner& runner = *this->runners[i];
    this->record.Line("drains " + runner.Id());
    runner.Leave();
    std::this_thread::sleep_for(kDrainTime + kLingerTime);
    this->record.Line("ends " + runner.Id());
    runner.End();
    std::this_thread::sleep_for(kDownTime);
    this->record.Line("starts again " + runner.Id());
    runner.StartAgain();
    std::this_thread::sleep_for(kTimeBetween);
  }
}

int Case::Judge() {
  double first = 0;
  double later = 0;
  int asked = 0;
  for (int i = 0; i < kGateways; ++i) {
    first += this->on_first_route[i].Share() / kGateways;
    later += this->on_later_route[i].Share() / kGateways;
    asked += this->on_later_route[i].asked;
    this->record.Line("front-" + std::to_string(i) + " served " +
                      std::to_string(this->on_first_route[i].Share()) +
                      " on the first route, " +
                      std::to_string(this->on_later_route[i].Share()) +
                      " on the later one");
  }
  if (asked < kMinRequests || first == 0) {
    CannotRun("too few requests");
  }
  const bool broken = later < first / 4;
  std::printf("first_route=%.2f later_route=%.2f CONFIG=%s\n", first, later,
              broken ? "broken" : "held");
  return broken ? 1 : 0;
}

int Case::Run() {
  const std::string first_route = Route("r-stock", "/stock/", "stock");
  this->store.SetKey("keyed.op", "config", Config(7, first_route));
  this->StartRunners("desk", 20);
  this->StartRunners("stock", 30);
  this->StartGateways();
  std::this_thread::sleep_for(kTimeToChange);
  this->store.SetKey(
      "keyed.op", "config",
      Config(9, first_route + "," + Route("r-desk", "/desk/", "desk")));
  std::vector<std::thread> threads;
  threads.reserve(std::size_t{2} * kGateways);
  for (int i = 0; i < kGateways; ++i) {
    threads.emplace_back([this, i] {
      this->SendRequests(i, "/stock/a", this->on_first_route[i]);
    });
    threads.emplace_back([this, i] {
      this->SendRequests(i, "/desk/a", this->on_later_route[i]);
    });
  }
  std::this_thread::sleep_for(kTimeToRelease);
  if (HasTrouble()) {
    this->ReleaseRunners();
  }
  std::this_thread::sleep_for(kSettleTime);
  this->judged = true;
  std::this_thread::sleep_for(kJudgedTime);
  this->running = false;
  for (std::thread& thread : threads) {
    thread.join();
  }
  for (const auto& gateway : this->gateways) {
    gateway->Kill();
  }
  return this->Judge();
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc < 2) {
    review::CannotRun("usage: case FOLDER");
  }
  // Detached threads use it until the program ends.
  static review::Case test(argv[1]);
  review::End(test.Run());
}
