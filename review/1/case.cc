// One runner sends a body without end: the line with the size of a chunk never
// ends. The gateway keeps all of it in memory until the platform kills it.
#include <atomic>
#include <cstdio>
#include <memory>
#include <thread>

#include "../standin/client.h"
#include "../standin/gateway.h"
#include "../standin/runner.h"
#include "../standin/store.h"

namespace review {
namespace {

using std::chrono::seconds;

// The limits of a front machine of the site.
constexpr long kMemoryKb = 260L * 1024;
constexpr double kFloodBytesPerMs = 100'000;
constexpr milliseconds kWork{400};
constexpr seconds kRunTime{20};
constexpr int kBookingClients = 12;
constexpr int kMaxLost = 3;

constexpr const char* kConfig =
    R"({"version":7,"routes":[)"
    R"({"name":"r-report","host":"x.example","path_prefix":"/report/",)"
    R"("kind":"stream","timeout_ms":8000,"goal_ms":3000,"priority":1,)"
    R"("service":"care","attempts":1,"sticky":true,"resumable":false,)"
    R"("gap_aim_ms":600},)"
    R"({"name":"r-book","host":"x.example","path_prefix":"/book/",)"
    R"("kind":"unsafe","timeout_ms":2000,"goal_ms":400,"priority":2,)"
    R"("service":"desk","attempts":1}],)"
    R"("services":[{"name":"care","health_path":"/health","max_conns":370,)"
    R"("engine":{"slots":64,"kv_capacity":232000,"weights_mb":200000.0,)"
    R"("adapter_slots":8,"loads_per_s":2.1,"models":[{"name":"m0",)"
    R"("weights_mb":65500.0,"load_s":1.2,"adapters":0,"adapter_mb":40.0}]}},)"
    R"({"name":"desk","health_path":"/health","max_conns":110}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";

class Case {
 public:
  explicit Case(const std::string& folder)
      : record(folder + "/record.txt"),
        store(RunIp(200)),
        gateway(record,
                {"front-a-1", RunIp(1), "z-a", store.Where(),
                 Setting("WORK_FOLDER")}) {}

  int Run();

 private:
  bool AnswerReport(const Request& request, Connection& connection);
  void SendWithoutEnd(const Request& request, Connection& connection);
  void SendBookings();
  void SendReports();
  void WatchMemory();

  Record record;
  Store store;
  Gateway gateway;
  std::vector<std::unique_ptr<Runner>> runners;
  std::atomic<bool> running = true;
  std::atomic<bool> flood = false;
  std::atomic<int> lost = 0;
  std::atomic<int> answered = 0;
  std::atomic<int> kills = 0;
};

// Streams of five events; with `flood` set, one answer has no end.
bool Case::AnswerReport(const Request& request, Connection& connection) {
  if (this->flood.exchange(false)) {
    this->SendWithoutEnd(request, connection);
    return false;
  }
  (void)connection.Write(AnswerHead(request, 200,
                                    "Content-Type: text/event-stream\r\n"
                                    "Transfer-Encoding: chunked\r\n"));
  for (int id = 1; id <= 5; ++id) {
    std::this_thread::sleep_for(milliseconds(50));
    (void)connection.Write(Chunk(Event(id)));
  }
  return connection.Write(Chunk(""));
}

void Case::SendWithoutEnd(const Request& request, Connection& connection) {
  this->record.Line("endless answer begins to " +
                    request.fields.Get("X-Pimentospar-Request-Id"));
  bool open = connection.Write(AnswerHead(request, 200,
                                          "Content-Type: text/event-stream\r\n"
                                          "Transfer-Encoding: chunked\r\n") +
                               "1;");
  const std::string bytes(250'000, 'x');
  const auto start = Steady::now();
  double sent = 0;
  while (open && this->running) {
    open = connection.Write(bytes);
    sent += static_cast<double>(bytes.size());
    std::this_thread::sleep_until(
        start + milliseconds(static_cast<long>(sent / kFloodBytesPerMs)));
  }
  this->record.Line("endless answer ended after " +
                    std::to_string(static_cast<long>(sent)) + " bytes");
}

void Case::SendBookings() {
  Client client(this->record);
  while (this->running) {
    Attempt attempt;
    attempt.id = NewId();
    attempt.host = "x.example";
    attempt.path = "/book/visit";
    attempt.body = "{}";
    const Outcome outcome = client.Send(this->gateway.Where(), attempt);
    if (outcome.response.complete) {
      ++this->answered;
    } else if (outcome.on_kept_connection && outcome.was_sent &&
               outcome.response.bytes == 0 && this->running) {
      this->record.Line("lost " + attempt.id);
      ++this->lost;
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
}

void Case::SendReports() {
  Client client(this->record);
  while (this->running) {
    Attempt attempt;
    attempt.id = NewId();
    attempt.host = "x.example";
    attempt.path = "/report/lichen";
    attempt.deadline_ms = 8000;
    attempt.headers =
        "X-Pimentospar-Model: m0\r\nX-Pimentospar-Tokens: 100,20\r\n"
        "X-Pimentospar-Prompt-Prefix: 5c1e07a2:80,91bd3f06:20\r\n";
    attempt.body = "{}";
    (void)client.Send(this->gateway.Where(), attempt);
    std::this_thread::sleep_for(milliseconds(100));
  }
}

// Kills the process as the platform does when it exceeds its memory, and
// starts it again.
void Case::WatchMemory() {
  long most = 0;
  while (this->running) {
    std::this_thread::sleep_for(milliseconds(10));
    const long used = this->gateway.MemoryKb();
    most = std::max(most, used);
    if (used > kMemoryKb) {
      this->record.Line("memory over the limit: " + std::to_string(used) +
                        " kB");
      ++this->kills;
      this->gateway.Kill();
      std::this_thread::sleep_for(milliseconds(500));
      this->gateway.Start();
    }
  }
  this->record.Line("most memory: " + std::to_string(most) + " kB");
}

int Case::Run() {
  this->store.SetKey("keyed.op", "config", kConfig);
  for (int i = 0; i < 3; ++i) {
    this->runners.push_back(std::make_unique<Runner>(
        &this->store, this->record,
        RunnerOptions{"i-desk-" + std::to_string(i), RunIp(20 + i), "desk",
                      "z-a", 6, "", 0, UnixMs()},
        [](const Request& request, Connection& connection) {
          std::this_thread::sleep_for(kWork);
          return connection.Write(Answer(request, 200, std::string(800, 'b')));
        }));
    this->runners.push_back(std::make_unique<Runner>(
        &this->store, this->record,
        RunnerOptions{"i-care-" + std::to_string(i), RunIp(30 + i), "care",
                      "z-a", 64, "m0", 0, UnixMs()},
        [this](const Request& request, Connection& connection) {
          return this->AnswerReport(request, connection);
        }));
  }
  for (const auto& runner : this->runners) {
    runner->Start();
  }
  this->gateway.Start();
  if (!this->gateway.AwaitReady()) {
    CannotRun("the gateway is not ready");
  }
  std::vector<std::thread> threads;
  threads.emplace_back([this] { this->WatchMemory(); });
  threads.emplace_back([this] { this->SendReports(); });
  for (int i = 0; i < kBookingClients; ++i) {
    threads.emplace_back([this] { this->SendBookings(); });
  }
  std::this_thread::sleep_for(seconds(5));
  this->flood = HasTrouble();
  std::this_thread::sleep_for(kRunTime - seconds(5));
  this->running = false;
  for (std::thread& thread : threads) {
    thread.join();
  }
  this->gateway.Kill();
  const bool broken = this->lost > kMaxLost;
  this->record.Line("bookings answered " + std::to_string(this->answered) +
                    ", lost " + std::to_string(this->lost) +
                    ", kills for memory " + std::to_string(this->kills));
  std::printf("answered=%d lost=%d kills_for_memory=%d LOST=%s\n",
              this->answered.load(), this->lost.load(), this->kills.load(),
              broken ? "broken" : "held");
  if (this->answered < 100) {
    CannotRun("too few requests were answered");
  }
  return broken ? 1 : 0;
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
