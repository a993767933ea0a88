#ifndef SRC_DAEMON_PROCESS_H_
#define SRC_DAEMON_PROCESS_H_

#include <atomic>
#include <memory>
#include <mutex>

#include "control/active_config.h"
#include "control/config_feed.h"
#include "control/http_log.h"
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

/// What both roles need: threads, clients, configuration, metrics and the
/// operators' address.
class Process {
 public:
  /// Answers `/readyz`; an empty text means ready, another one says what is
  /// missing.
  using Readiness = std::function<std::string()>;

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

  /// Ends the threads; nothing may be in flight any more.
  void Stop();

  const Settings settings;
  SystemClock clock;
  SharedRandom random;
  const InstanceId instance;
  Metrics metrics;
  ConfigHolder config;
  IoThread io;
  HttpClient http;
  RpcThread rpc;
  AgentClient agents;
  FiberThread worker;
  FiberThread control;
  control::HttpLog log;
  ConfigFeed config_feed;

 private:
  bool HandleOperator(const std::shared_ptr<HttpExchange>& exchange);
  [[nodiscard]] HttpResponse AnswerOperator(const HttpRequest& request) const;
  [[nodiscard]] std::string StatusJson() const;

  Readiness readiness;
  std::atomic<bool> draining = false;
  std::atomic<bool> stopping = false;
  std::atomic<std::uint64_t> attempts = 0;
  std::uint64_t attempt_prefix;
  std::unique_ptr<AgentServer> rpc_server;
  std::unique_ptr<HttpServer> operator_server;
};

}  // namespace pimentospar

#endif  // SRC_DAEMON_PROCESS_H_
