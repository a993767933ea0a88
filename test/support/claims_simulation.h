#ifndef TEST_SUPPORT_CLAIMS_SIMULATION_H_
#define TEST_SUPPORT_CLAIMS_SIMULATION_H_

#include <algorithm>
#include <memory>

#include "fake_log.h"
#include "pimentospar/claims.h"

namespace pimentospar::test {

constexpr std::string_view kStream = "claims.booking.0";
using std::chrono::milliseconds;

/// Simulates agents with one claims shard each on a shared log. Every result
/// and dispatch is checked against the history; `violation` describes the first
/// violated rule.
class ClaimsSimulation {
 public:
  struct SentRequest {
    int key;
    int body;
    InstanceId instance;
    std::vector<ClaimResult> results;
  };
  struct Dispatch {
    int key;
    int body;
    InstanceId instance;
    bool not_run = false;
  };
  struct Agent {
    InstanceId instance;
    RegionId region;
    std::unique_ptr<ClaimsShard> shard;
    std::deque<RecordGroup> appends;
    std::deque<LogOffset> reads;
    std::deque<std::pair<DispatchClaim, std::size_t>> running;
    bool paused = false;
  };

  explicit ClaimsSimulation(std::vector<std::string> regions,
                            ClaimsOptions options = {})
      : options(std::move(options)), agents(regions.size()) {
    for (std::size_t i = 0; i < regions.size(); ++i) {
      this->agents[i].region = RegionId(regions[i]);
      this->Restart(i);
    }
  }

  void Restart(std::size_t a) {
    Agent& agent = this->agents[a];
    const RegionId region = agent.region;
    agent = Agent{};
    agent.region = region;
    agent.instance = InstanceId{++this->last_instance};
    this->options.instance = agent.instance;
    this->options.region = region;
    agent.shard =
        std::make_unique<ClaimsShard>(this->options, this->clock, this->random);
    this->ExecuteActions(a, agent.shard->Start());
    this->DeliverConfig(a);
  }

  void DeliverConfig(std::size_t a) {
    this->ExecuteActions(a, this->agents[a].shard->OnConfiguration(
                                this->config, RegionId(this->home)));
  }

  std::size_t Send(std::size_t a, int key, int body, milliseconds timeout) {
    const ClaimRequestId id{this->requests.size()};
    this->requests.push_back({key, body, this->agents[a].instance});
    this->ExecuteActions(a, this->agents[a].shard->OnRequest(
                                {id,
                                 {0, static_cast<std::uint64_t>(key) + 2},
                                 {0, static_cast<std::uint64_t>(body)},
                                 OwnerId("shop"),
                                 this->clock.Now() + timeout}));
    return id.value;
  }

  void DoAppend(std::size_t a) {
    Agent& agent = this->agents[a];
    if (agent.appends.empty()) {
      return;
    }
    const std::string body = Encode(agent.appends.front());
    agent.appends.pop_front();
    const control::AppendResult result = this->log.Append(kStream, body);
    if (const auto* stored = std::get_if<control::Appended>(&result)) {
      this->ExecuteActions(a, agent.shard->OnAppended(stored->offset));
    } else if (std::holds_alternative<control::AppendUnknown>(result)) {
      this->ExecuteActions(a, agent.shard->OnAppendUnanswered());
    } else {
      this->ExecuteActions(a, agent.shard->OnAppendRefused());
    }
  }

  void DoRead(std::size_t a) {
    Agent& agent = this->agents[a];
    if (agent.reads.empty()) {
      return;
    }
    const auto page = this->log.Read(kStream, agent.reads.front(), 64);
    agent.reads.pop_front();
    if (!page) {
      this->ExecuteActions(a, agent.shard->OnReadFailed());
      return;
    }
    std::vector<StreamRecord> records;
    for (const control::LogRecord& record : page->records) {
      records.push_back({record.offset, record.body});
    }
    this->ExecuteActions(
        a, agent.shard->OnRead({page->first, page->next, records}));
  }

  void DoDispatch(std::size_t a, const DispatchOutcome& outcome) {
    Agent& agent = this->agents[a];
    if (agent.running.empty()) {
      return;
    }
    const auto [claim, index] = agent.running.front();
    agent.running.pop_front();
    this->dispatches[index].not_run =
        std::holds_alternative<DispatchRefused>(outcome);
    this->ExecuteActions(a, agent.shard->OnDispatched(claim.claim, outcome));
  }

  void Complete(std::size_t a) {
    if (!this->agents[a].running.empty()) {
      const std::size_t index = this->agents[a].running.front().second;
      this->DoDispatch(a, DispatchCompleted{{201, ResponseOf(index)}});
    }
  }

  void Advance(milliseconds step) {
    this->clock.Advance(step);
    for (std::size_t a = 0; a < this->agents.size(); ++a) {
      if (!this->agents[a].paused) {
        this->ExecuteActions(a, this->agents[a].shard->OnTick());
      }
    }
  }

  /// Carries out all actions for `span`; every dispatch completes.
  void Run(milliseconds span = milliseconds(300)) {
    for (milliseconds passed{0}; passed < span; passed += milliseconds(50)) {
      for (int round = 0; round < 6; ++round) {
        for (std::size_t a = 0; a < this->agents.size(); ++a) {
          this->DoAppend(a);
          this->DoRead(a);
          this->Complete(a);
        }
      }
      this->Advance(milliseconds(50));
    }
  }

  /// Returns one of a few keys that change slowly, so that requests repeat
  /// them.
  [[nodiscard]] int KeyFor(int choice) const {
    return static_cast<int>(this->requests.size()) / 12 * 2 + choice;
  }
  static std::string ResponseOf(std::size_t dispatch) {
    return "run " + std::to_string(dispatch);
  }
  /// Returns the reason and execution state of a request, such as `none/yes`;
  /// `open` before its result.
  [[nodiscard]] std::string ResultOf(std::size_t request) const {
    const auto& results = this->requests[request].results;
    return results.empty() ? "open"
                           : std::string(CodeOf(results[0].reason)) + "/" +
                                 std::string(ToString(results[0].executed));
  }

  ManualClock clock;
  SeededRandom random{7};
  FakeLog log;
  ClaimsOptions options;
  ConfigVersion config{1};
  std::string home = "north";
  std::vector<Agent> agents;
  std::vector<SentRequest> requests;
  std::vector<Dispatch> dispatches;
  std::string violation;

 private:
  void ExecuteActions(std::size_t a, ClaimActions actions) {
    Agent& agent = this->agents[a];
    for (ClaimAction& action : actions) {
      if (auto* append = std::get_if<AppendGroup>(&action)) {
        agent.appends.push_back(std::move(append->group));
      } else if (const auto* read = std::get_if<ReadStream>(&action)) {
        agent.reads.push_back(read->from);
      } else if (const auto* respond = std::get_if<RespondToRequest>(&action)) {
        this->Record(respond->request.value, respond->result);
      } else if (const auto* dispatch = std::get_if<DispatchClaim>(&action)) {
        this->Record(agent, *dispatch);
      }
    }
    this->Check(agent.appends.size() <= 1, "several appends outstanding");
    this->Check(agent.reads.size() <= 1, "several reads outstanding");
  }

  void Record(Agent& agent, const DispatchClaim& dispatch) {
    const SentRequest first = this->requests[dispatch.request.value];
    for (const Dispatch& other : this->dispatches) {
      this->Check(other.key != first.key || other.not_run,
                  "key dispatched twice");
    }
    // Later requests with this key and body at the instance joined this claim.
    for (std::size_t i = dispatch.request.value; i < this->requests.size();
         ++i) {
      const SentRequest& joined = this->requests[i];
      const bool same = joined.instance == first.instance &&
                        joined.key == first.key && joined.body == first.body;
      this->Check(!same || joined.results.empty() ||
                      joined.results[0].executed != Executed::kNo,
                  "reported not run before its claim was dispatched");
    }
    this->Check(dispatch.deadline > this->clock.Now(), "dispatched too late");
    agent.running.emplace_back(dispatch, this->dispatches.size());
    this->dispatches.push_back({first.key, first.body, agent.instance});
  }

  void Record(std::size_t request, const ClaimResult& result) {
    SentRequest& sent = this->requests[request];
    sent.results.push_back(result);
    this->Check(sent.results.size() == 1, "two results for one request");
    if (result.reason == Reason::kKeyReused) {
      this->Check(std::ranges::any_of(this->requests,
                                      [&](const SentRequest& other) {
                                        return other.key == sent.key &&
                                               other.body != sent.body;
                                      }),
                  "key_reused without another body");
      return;
    }
    bool response_found = false;
    for (std::size_t i = 0; i < this->dispatches.size(); ++i) {
      const Dispatch& dispatch = this->dispatches[i];
      if (dispatch.key != sent.key || dispatch.not_run) {
        continue;
      }
      this->Check(result.executed != Executed::kNo ||
                      dispatch.instance != sent.instance,
                  "reported not run although its instance dispatched it");
      response_found =
          response_found ||
          (result.response && result.response->body == ResponseOf(i) &&
           dispatch.body == sent.body);
    }
    this->Check(result.executed != Executed::kYes || response_found,
                "response of another run or body");
  }

  void Check(bool holds, std::string_view what) {
    if (!holds && this->violation.empty()) {
      this->violation = what;
    }
  }

  std::uint64_t last_instance = 0;
};

}  // namespace pimentospar::test

#endif  // TEST_SUPPORT_CLAIMS_WORLD_H_
