#ifndef SRC_DAEMON_PROCESS_H_
#define SRC_DAEMON_PROCESS_H_

#include <atomic>
#include <memory>
#include <mutex>

#include "control/active_config.h"
#include "control/config_feed.h"
#include "control/gossip_driver.h"
#include "control/http_log_client.h"
#include "daemon/settings.h"
#include "net/fiber_thread.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/io_thread.h"
#include "net/metrics.h"
#include "pimentospar/random.h"
#include "rpc/agent_client.h"
#include "rpc/agent_server.h"
#include "rpc/rpc_thread.h"

namespace pimentospar {

/// A random source that several threads share.
class SharedRandom final : public RandomSource {
 public:
  explicit SharedRandom(std::uint64_t seed) : random(seed) {}
  std::uint64_t Next() override {
    const std::lock_guard lock(this->mutex);
    return this->random.Next();
  }

 private:
  std::mutex mutex;
  SeededRandom random;
};

/// Returns the bounds that the settings put on each HTTP address.
[[nodiscard]] HttpLimits LimitsFrom(const Settings& settings);

/// What both roles need: threads, clients, configuration, metrics and the
/// operators' address.
class Process {
 public:
  /// Answers `/readyz`; an empty text means ready, another one says what is
  /// missing.
  using Readiness = std::function<std::string()>;
  /// Takes the rows of the host list each time it has been read.
  using OnHosts = std::function<void(std::span<const ListedHost>)>;

  explicit Process(const Settings& settings);
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process();

  /// Opens the addresses for operators and peers and starts to follow the
  /// configuration.
  void Start(Readiness readiness, AgentHandler& handler);

  /// Runs `step` on the control thread now and then again after each interval
  /// until the end.
  void Repeat(std::chrono::milliseconds interval, std::function<void()> step);

  /// Returns an identifier that no attempt of this or another process has.
  [[nodiscard]] AttemptId NextAttempt();

  [[nodiscard]] bool IsDraining() const { return this->draining.load(); }
  void BeginDrain() { this->draining.store(true); }

  /// Called on the control thread whenever the host list has been read.
  void SetOnHosts(OnHosts callback) { this->on_hosts = std::move(callback); }
  /// Called on the control thread for each news of another member.
  void SetOnMember(std::function<void(const MemberUpdate&)> callback) {
    this->on_member = std::move(callback);
  }
  /// Called on the control thread for each strike that a peer reports.
  void SetOnStrike(std::function<void(const StrikeReport&)> callback) {
    this->on_strike = std::move(callback);
  }
  /// Spreads a strike that this process observed; may be called from any
  /// thread.
  void SpreadStrike(const StrikeReport& report);
  /// What the process tells its peers of its target; from any thread.
  void SetTargetState(const LoadSummary& load, std::vector<ModelId> models);

  /// Ends the threads; nothing may be in flight any more.
  void Stop();

  const Settings settings;
  SystemClock clock;
  SharedRandom random;
  const InstanceId instance;
  Metrics metrics;
  CurrentConfig config;
  IoThread io;
  HttpClient http;
  RpcThread rpc;
  AgentClient agents;
  FiberThread worker;
  FiberThread control;
  control::HttpLogClient log;
  ConfigFeed config_feed;

 private:
  bool HandleOperator(const std::shared_ptr<HttpExchange>& exchange);
  [[nodiscard]] HttpResponse AnswerOperator(const HttpRequest& request) const;
  [[nodiscard]] std::string StatusJson() const;
  void StartGossip();
  void TickGossip();
  void PollConfig();
  void ReadHosts();
  [[nodiscard]] Membership::Options GossipOptions() const;

  Readiness readiness;
  std::atomic<bool> draining = false;
  std::atomic<bool> stopping = false;
  std::atomic<std::uint64_t> attempts = 0;
  std::uint64_t attempt_prefix;
  OnHosts on_hosts;
  std::function<void(const MemberUpdate&)> on_member;
  std::function<void(const StrikeReport&)> on_strike;
  std::mutex target_state_mutex;
  LoadSummary target_load;
  std::vector<ModelId> target_models;
  bool leave_told = false;
  // Used on the control thread only.
  TimePoint next_config_poll{};
  TimePoint next_hosts_read{};
  std::unique_ptr<GossipDriver> gossip;
  std::unique_ptr<AgentServer> rpc_server;
  std::unique_ptr<HttpServer> operator_server;
};

}  // namespace pimentospar

#endif  // SRC_DAEMON_PROCESS_H_
