#define BOOST_TEST_MODULE entry
#include "entry/entry.h"

#include <atomic>
#include <boost/fiber/operations.hpp>
#include <boost/test/unit_test.hpp>

#include "rpc/agent_server.h"

namespace pimentospar {
namespace {

constexpr std::size_t kAgents = 5;

constexpr std::string_view kConfiguration = R"({
  "regions": [{"id": "r", "data_centres": ["d"]}],
  "owners": [{"id": "o", "token_hashes": [
    "3c469e9d6c5875d37a43f353d4f88e61fcf812c66eee3457465a40b0da4153e0"]}],
  "models": [{"id": "m", "owner": "o"}],
  "targets": [{"id": "t0", "region": "r", "data_centre": "d"},
              {"id": "t1", "region": "r", "data_centre": "d"},
              {"id": "t2", "region": "r", "data_centre": "d"},
              {"id": "t3", "region": "r", "data_centre": "d"},
              {"id": "t4", "region": "r", "data_centre": "d"}]})";

// Behavior that the fake agents share: how many of the first attempts they
// refuse, and whether they have the model in memory.
struct AgentScript {
  std::atomic<int> remaining_refusals = 0;
  std::atomic<bool> loaded = true;
  std::atomic<bool> sends_stray_chunks = false;
  std::atomic<int> load_polls = 0;
};

constexpr std::chrono::milliseconds kLoadPollInterval{5};

class FakeAgent final : public AgentHandler {
 public:
  FakeAgent(AgentScript& script, FiberThread& worker)
      : script(script), worker(worker) {}

  bool OnServe(ServeRequest request,
               std::shared_ptr<AttemptReply> reply) override {
    return this->worker.TryRun([this, request, reply] {
      OutcomeMessage outcome;
      outcome.attempt = request.attempt;
      if (this->script.remaining_refusals.fetch_sub(1) > 0) {
        outcome.reason = Reason::kTargetLeaving;
        reply->Finish(outcome);
        return;
      }
      // Waits like an agent that loads the model on demand.
      const TimePoint deadline = this->clock.Now() + request.remaining;
      while (!this->script.loaded.load() && this->clock.Now() < deadline) {
        boost::this_fiber::sleep_for(kLoadPollInterval);
      }
      if (!this->script.loaded.load()) {
        outcome.reason = Reason::kModelLoading;
        reply->Finish(outcome);
        return;
      }
      if (this->script.sends_stray_chunks.load()) {
        reply->SendChunk({AttemptId{7}, 0, "crossed ", false, ""});
        reply->SendChunk({request.attempt, 1, "early ", false, ""});
      }
      reply->SendChunk({request.attempt, 0, "one ", false, ""});
      if (this->script.sends_stray_chunks.load()) {
        reply->SendChunk({request.attempt, 0, "repeated ", false, ""});
      }
      reply->SendChunk({request.attempt, 1, "two", false, ""});
      reply->SendChunk({request.attempt, 2, "", true, "stop"});
      outcome.executed = Executed::kYes;
      outcome.chunks = 3;
      reply->Finish(outcome);
    });
  }
  bool OnInvoke(Invocation, std::shared_ptr<AttemptReply>) override {
    return false;
  }
  void OnCancel(AttemptId) override {}
  PeerUpdate OnConfigSince(std::optional<ConfigVersion>) override { return {}; }
  TargetLoad OnFetchLoad() override {
    ++this->script.load_polls;
    TargetLoad load;
    load.sequence = ++this->sequence;
    if (this->script.loaded.load()) {
      load.models.emplace_back("m");
    }
    return load;
  }

 private:
  AgentScript& script;
  FiberThread& worker;
  SystemClock clock;
  std::uint64_t sequence = 0;
};

Settings EntrySettings(std::uint16_t hosts_port) {
  Settings settings;
  settings.role = "entry";
  settings.region = "r";
  settings.data_centre = "d";
  settings.caller_address = settings.operator_address = settings.rpc_address =
      "127.0.0.1:0";
  settings.config_interval = std::chrono::seconds(1);
  settings.log_address = "127.0.0.1:1";
  settings.hosts_address = "127.0.0.1:" + std::to_string(hosts_port);
  settings.header_bytes = settings.body_bytes = 16384;
  settings.connections = settings.requests = 64;
  settings.idle_time = settings.stall_time = std::chrono::seconds(60);
  settings.deadline_default = settings.deadline_max = std::chrono::seconds(30);
  settings.hosts_interval = std::chrono::milliseconds(20);
  return settings;
}

// An entry with fake agents.
class EntryFixture {
 public:
  EntryFixture()
      : worker(64, 64),
        agent_rpc(64),
        hosts(this->io,
              {boost::asio::ip::make_address("127.0.0.1"), 0},
              HttpLimits{},
              this->metrics,
              [this](const std::shared_ptr<HttpExchange>& exchange) {
                exchange->Respond({.body = this->host_list});
                return true;
              }) {
    std::string rows;
    for (std::size_t i = 0; i < kAgents; ++i) {
      this->agents.push_back(
          std::make_unique<FakeAgent>(this->script, this->worker));
      this->servers.push_back(std::make_unique<AgentServer>(
          this->agent_rpc, Address{"127.0.0.1", 0}, *this->agents.back()));
      rows += std::string(rows.empty() ? "" : ",") + R"({"id":"a)" +
              std::to_string(i) +
              R"(","role":"agent","region":"r","data_centre":"d","target":"t)" +
              std::to_string(i) + R"(","state":"live","address":")" +
              ToString(this->servers.back()->LocalAddress()) + "\"}";
    }
    this->host_list = R"({"hosts":[)" + rows + "]}";
    this->process = std::make_unique<Process>(
        EntrySettings(this->hosts.LocalEndpoint().port()));
    this->process->config.Replace(
        std::make_shared<const Configuration>(
            ParseConfiguration(kConfiguration).value()),
        ConfigVersion{1});
    this->entry = std::make_unique<Entry>(*this->process);
    this->process->Start([this] { return this->entry->Missing(); },
                         *this->entry);
  }

  ~EntryFixture() {
    this->process->Stop();
    this->agent_rpc.Stop();
  }

  // Returns the status and body of a chat response.
  std::string Chat(std::string_view deadline_ms) {
    std::promise<std::string> answer;
    BOOST_REQUIRE(this->worker.TryRun([&] {
      const HttpResult result = this->process->http.Fetch(
          {.address = this->entry->CallerAddress(),
           .method = "POST",
           .path = "/v1/chat/completions",
           .headers = {{"Authorization", "Bearer token"},
                       {"Content-Type", "application/json"},
                       {"Deadline-Ms", std::string(deadline_ms)}},
           .body = R"({"model":"m","messages":[{"content":"x"}]})"},
          this->process->clock.Now() + std::chrono::seconds(40));
      answer.set_value(std::to_string(result.status) + " " + result.body);
    }));
    return answer.get_future().get();
  }

  [[nodiscard]] bool HasMetric(const std::string& line) const {
    return this->process->metrics.Render().find("pimentospar_" + line + "\n") !=
           std::string::npos;
  }

  AgentScript script;

 private:
  Metrics metrics;
  std::string host_list;
  IoThread io;
  FiberThread worker;
  RpcThread agent_rpc;
  HttpServer hosts;
  std::vector<std::unique_ptr<FakeAgent>> agents;
  std::vector<std::unique_ptr<AgentServer>> servers;

 public:
  std::unique_ptr<Process> process;
  std::unique_ptr<Entry> entry;
};

bool Contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

// Guards against a response that contains stray chunks (those of another
// request, early or repeated ones), and against refusals by leaving targets
// that count towards the maximum number of attempts.
BOOST_FIXTURE_TEST_CASE(RetriesLeavingTargetsAndDropsStrayChunks,
                        EntryFixture) {
  this->script.remaining_refusals = 4;
  this->script.sends_stray_chunks = true;
  this->entry->Start();
  const std::string answer = this->Chat("20000");
  BOOST_TEST(answer.starts_with("200 "), answer);
  BOOST_TEST(Contains(answer, R"("content":"one two")"), answer);
  BOOST_TEST(this->HasMetric("retries_total{reason=\"target_leaving\"} 4"));
  BOOST_TEST(this->HasMetric("chunks_crossed_total 1"));
  BOOST_TEST(this->HasMetric("chunks_short_total 1"));
  BOOST_TEST(this->HasMetric("chunks_repeated_total 1"));
}

// Guards against a request that is refused as unreachable, or that waits past
// its deadline, because no target has the model in memory yet.
BOOST_FIXTURE_TEST_CASE(WaitsForALoadWithinTheDeadline, EntryFixture) {
  this->script.loaded = false;
  this->entry->Start();
  const std::string refused = this->Chat("300");
  BOOST_TEST(Contains(refused, R"("reason":"model_loading")"), refused);
  BOOST_TEST(Contains(refused, R"("executed":"no")"), refused);
  BOOST_TEST(Contains(refused, R"("attempts":1)"), refused);
  BOOST_TEST(this->HasMetric("refusals_total{reason=\"model_loading\"} 1"));
  this->script.loaded = true;
  const std::string answer = this->Chat("20000");
  BOOST_TEST(Contains(answer, R"("content":"one two")"), answer);
}

}  // namespace
}  // namespace pimentospar
