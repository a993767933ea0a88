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

/// Runs each non-idempotent operation of a service at most once, by connecting
/// the claims shards to the log and the target. All shards run on the control
/// thread.
class ClaimsDriver {
 public:
  ClaimsDriver(Process& process, EngineClient& engine);
  ClaimsDriver(const ClaimsDriver&) = delete;
  ClaimsDriver& operator=(const ClaimsDriver&) = delete;

  /// Starts reading the claims streams of the target's service, if it has one.
  void Start();

  /// Runs the operation unless its idempotency key has already run, and returns
  /// the result. Suspends the calling fiber, which must not be on the control
  /// thread.
  [[nodiscard]] EngineResult Run(const Invocation& invocation,
                                 TimePoint deadline);

  /// Returns whether all shards that the agent needs have read their stream to
  /// the tail.
  [[nodiscard]] bool IsReady() const { return this->ready.load(); }
  /// Returns whether every outcome is on the log.
  [[nodiscard]] bool IsSettled() const { return this->settled.load(); }

 private:
  /// A request that waits for the result of its claim.
  struct PendingRequest {
    Invocation invocation;
    std::shared_ptr<boost::fibers::promise<EngineResult>> result;
  };
  /// A claims shard with its stream and the requests that wait for it.
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
  /// Creates the shards that the configuration adds, and passes the
  /// configuration to all of them.
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
  /// Runs a step that waits for the network in a new fiber, or in the calling
  /// one if none can be started.
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
