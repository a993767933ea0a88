// A request whose last transfer coding is not `chunked` has no length. The
// gateway takes its body for a request of its own, and a runner runs that.
#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

#include "../standin/client.h"
#include "../standin/gateway.h"
#include "../standin/runner.h"
#include "../standin/store.h"

namespace review {
namespace {

using std::chrono::seconds;

constexpr seconds kRunTime{12};
constexpr int kSoundClients = 6;
constexpr int kHidingRequests = 5;
constexpr std::size_t kMinAnswers = 100;

constexpr const char* kConfig =
    R"({"version":7,"routes":[)"
    R"({"name":"r-book","host":"x.example","path_prefix":"/book/",)"
    R"("kind":"unsafe","timeout_ms":2000,"goal_ms":400,"priority":2,)"
    R"("service":"desk","attempts":1}],)"
    R"("services":[{"name":"desk","health_path":"/health","max_conns":110}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";

// Returns a booking that is sent only inside the body of another one.
std::string HiddenRequest(int number) {
  return "POST /book/hidden HTTP/1.1\r\nHost: x.example\r\n"
         "X-Pimentospar-Request-Id: hidden-" +
         std::to_string(number) +
         "\r\nX-Pimentospar-Deadline-Ms: 2000\r\nContent-Length: 0\r\n\r\n";
}

std::string BookingHead(const std::string& id, const std::string& framing) {
  return "POST /book/visit HTTP/1.1\r\nHost: x.example\r\n"
         "X-Pimentospar-Request-Id: " +
         id + "\r\nX-Pimentospar-Deadline-Ms: 2000\r\n" + framing + "\r\n\r\n";
}

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
  bool OnRun(const Request& request, Connection& connection);
  void SendBookings();
  void SendHidingRequests();

  Record record;
  Store store;
  Gateway gateway;
  std::vector<std::unique_ptr<Runner>> runners;
  std::atomic<bool> running = true;
  std::atomic<std::size_t> answered = 0;
  std::mutex mutex;
  /// The ids of the requests that clients have sent.
  std::set<std::string> sent;
  std::size_t unasked_runs = 0;
};

bool Case::OnRun(const Request& request, Connection& connection) {
  const std::string id = request.fields.Get("X-Pimentospar-Request-Id");
  {
    const std::lock_guard lock(this->mutex);
    if (!this->sent.contains(id)) {
      ++this->unasked_runs;
      this->record.Line("unasked run " + id + " " + request.target);
    }
  }
  std::this_thread::sleep_for(milliseconds(60));
  return connection.Write(Answer(request, 200, std::string(800, 'b')));
}

void Case::SendBookings() {
  Client client(this->record);
  while (this->running) {
    Attempt attempt;
    attempt.id = NewId();
    attempt.host = "x.example";
    attempt.path = "/book/visit";
    attempt.body = "{}";
    {
      const std::lock_guard lock(this->mutex);
      this->sent.insert(attempt.id);
    }
    if (client.Send(this->gateway.Where(), attempt).response.complete) {
      ++this->answered;
    }
    std::this_thread::sleep_for(milliseconds(50));
  }
}

// Sends bookings whose body reads like a request, with an id that no client
// sends. Without trouble, the body has its length.
void Case::SendHidingRequests() {
  for (int i = 0; i < kHidingRequests; ++i) {
    std::this_thread::sleep_for(seconds(2));
    const std::string id = NewId();
    {
      const std::lock_guard lock(this->mutex);
      this->sent.insert(id);
    }
    const std::string hidden = HiddenRequest(i);
    std::string framing = "Content-Length: ";
    framing.append(std::to_string(hidden.size()));
    if (HasTrouble()) {
      framing = "Transfer-Encoding: identity";
    }
    Connection connection(Connect(this->gateway.Where()));
    connection.SetReadTimeout(seconds(1));
    this->record.Line("send " + id);
    (void)connection.Write(BookingHead(id, framing) + hidden);
    for (Response answer = connection.ReadResponse(); answer.status != 0;
         answer = connection.ReadResponse()) {
      this->record.Line("answer on the connection of " + id + ": status " +
                        std::to_string(answer.status) + " to " +
                        answer.fields.Get("X-Pimentospar-Request-Id"));
    }
  }
}

int Case::Run() {
  this->store.SetKey("keyed.op", "config", kConfig);
  for (int i = 0; i < 2; ++i) {
    this->runners.push_back(std::make_unique<Runner>(
        &this->store, this->record,
        RunnerOptions{"i-desk-" + std::to_string(i), RunIp(20 + i), "desk",
                      "z-a", 6, "", 0, UnixMs()},
        [this](const Request& request, Connection& connection) {
          return this->OnRun(request, connection);
        }));
    this->runners.back()->Start();
  }
  this->gateway.Start();
  if (!this->gateway.AwaitReady()) {
    CannotRun("the gateway is not ready");
  }
  std::vector<std::thread> threads;
  threads.emplace_back([this] { this->SendHidingRequests(); });
  for (int i = 0; i < kSoundClients; ++i) {
    threads.emplace_back([this] { this->SendBookings(); });
  }
  std::this_thread::sleep_for(kRunTime);
  this->running = false;
  for (std::thread& thread : threads) {
    thread.join();
  }
  this->gateway.Kill();
  if (this->answered < kMinAnswers) {
    CannotRun("too few requests were answered");
  }
  const std::lock_guard lock(this->mutex);
  this->record.Line("answered " + std::to_string(this->answered) +
                    ", runs of requests that no client sent " +
                    std::to_string(this->unasked_runs));
  std::printf("answered=%zu unasked_runs=%zu UNASKED=%s\n",
              this->answered.load(), this->unasked_runs,
              this->unasked_runs > 0 ? "broken" : "held");
  return this->unasked_runs > 0 ? 1 : 0;
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
