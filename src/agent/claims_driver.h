#ifndef SRC_AGENT_CLAIMS_DRIVER_H_
#define SRC_AGENT_CLAIMS_DRIVER_H_

#include <boost/fiber/future.hpp>
#include <map>
#include <memory>
#include <unordered_map>

#include "agent/engine_client.h"
#include "daemon/process.h"
#include "pimentospar/claims.h"

namespace pimentospar {

/// Has each non-idempotent operation of a service run at most once: drives the
/// claims shards with the log and the target. All shards live on the control
/// thread.
class ClaimsDriver {
 public:
  ClaimsDriver(Process& process, EngineClient& engine);
  ClaimsDriver(const ClaimsDriver&) = delete;
  ClaimsDriver& operator=(const ClaimsDriver&) = delete;

  /// Follows the claims streams of the service that the target runs, if it runs
  /// one.
  void Start();

  /// Runs the operation unless its key has run; suspends the calling fiber of
  /// another thread.
  [[nodiscard]] EngineResult Run(const Invocation& invocation,
                                 TimePoint deadline);

  /// Whether all shards have read their stream to the tail.
  [[nodiscard]] bool IsReady() const { return this->ready.load(); }
  /// Whether every outcome is on the log.
  [[nodiscard]] bool IsSettled() const { return this->settled.load(); }

 private:
  struct PendingRequest {
    Invocation invocation;
    std::shared_ptr<boost::fibers::promise<EngineResult>> result;
  };
  struct Shard {
    Shard(std::string stream,
          ClaimsOptions options,
          const Clock& clock,
          RandomSource& random)
        : stream(std::move(stream)),
          claims(std::move(options), clock, random) {}

    std::string stream;
    ClaimsShard claims;
    std::unordered_map<ClaimRequestId, PendingRequest> pending;
  };

  void Tick();
  void AddShards(const ActiveConfig& active, const ServiceConfig& service);
  void SubmitRequest(std::uint32_t index,
                     PendingRequest pending,
                     TimePoint deadline);
  void ExecuteActions(Shard& shard, ClaimActions actions);
  void Execute(Shard& shard, const AppendGroup& action);
  void Execute(Shard& shard, const ReadStream& action);
  void Execute(Shard& shard, const DispatchClaim& action);
  void Execute(Shard& shard, const RespondToRequest& action);
  void Execute(Shard& shard, const DeferResponse& action);
  /// Runs a step that waits for the network in a fiber of its own.
  void RunInFiber(const std::function<void()>& step);

  Process& process;
  EngineClient& engine;
  std::map<std::uint32_t, std::unique_ptr<Shard>> shards;
  ServiceId service;
  ConfigVersion applied_version;
  std::uint64_t next_request = 1;
  std::atomic<std::uint32_t> shard_count = 0;
  std::atomic<bool> ready = false;
  std::atomic<bool> settled = true;
};

}  // namespace pimentospar

#endif  // SRC_AGENT_CLAIMS_DRIVER_H_
