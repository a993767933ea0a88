#ifndef SRC_GATEWAY_GATEWAY_H_
#define SRC_GATEWAY_GATEWAY_H_

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "gateway/caller_server.h"
#include "gateway/copy_demand_tracker.h"
#include "gateway/crash_tracker.h"
#include "gateway/entry_transport.h"
#include "gateway/freshness_exchange.h"
#include "gateway/keyed_stream_watcher.h"
#include "gateway/lease_manager.h"
#include "gateway/listener_list.h"
#include "gateway/order_dispatcher.h"
#include "gateway/quota_exchange.h"
#include "gateway/rate_limit_coordinator.h"
#include "gateway/registration_feed.h"
#include "gateway/registry_format.h"
#include "gateway/request_handler.h"
#include "gateway/selection_queue.h"
#include "gateway/strike_exchange.h"
#include "gateway/target_control.h"
#include "gateway/timer_queue.h"
#include "gateway/upstream.h"
#include "net/metrics.h"
#include "pimentospar/routing/removed_targets.h"

namespace pimentospar {

/// Parts that a deployment asks for in its settings.
struct GatewayFeatures {
  /// Requests select targets by their predicted cost.
  bool predicted_cost = false;
  /// The number of homes of a shared prompt part follows its rate.
  bool adaptive_homes = false;
  /// Requests that find no target in time wait in one queue of the entry. There
  /// is one also where the configuration has workspaces.
  bool entry_queue = false;
};

/// Identity, addresses and time limits of one entry.
struct GatewaySettings {
  HostId host;
  RegionId region;
  DataCentreId data_centre;
  Tcp::endpoint caller_address;
  Tcp::endpoint ready_address;
  Tcp::endpoint operator_address;
  UdpEndpoint entry_address;
  /// Processor capacity of the host in cores.
  double processor_cores = 1;
  SharedRetryBudgetOptions retries;
  /// Targets refuse an order under a lease older than the newest they have
  /// seen.
  bool targets_check_leases = false;
  /// Minimum time between the orders of two successive lease holders; targets
  /// that do not check leases need it. If targets do not check leases, the
  /// duration of the lease is derived from it.
  std::chrono::milliseconds holder_order_gap{3000};
  /// Time from the stop signal until the process is killed.
  std::chrono::milliseconds grace_time{8000};
  /// Time after an outage of the log within which live targets whose
  /// registrations expired during the outage have registered again.
  std::chrono::milliseconds registration_recovery_time{2000};
  /// Time after which no request with a revoked key may be accepted; nothing if
  /// the deployment sets no bound.
  std::optional<std::chrono::milliseconds> revoke_time;
  GatewayFeatures features;
};

/// The platform-specific implementations that a gateway uses.
struct GatewayPlatform {
  SharedLog& log;
  TargetControl& control;
  const HeaderProtocol& protocol;
  const RegistryFormat& registry;
};

/// An entry that forwards the requests of callers directly to the targets,
/// without agents. It reads the configuration and the targets from the
/// shared log, and plans and sends orders while it is the lease holder.
class Gateway {
 public:
  Gateway(FiberLoop& loop,
          TimerQueue& timers,
          UpstreamPool& pool,
          const Clock& clock,
          RandomSource& random,
          const GatewaySettings& settings,
          const GatewayPlatform& platform);

  void Start();
  /// Stops accepting requests and returns once the last one is answered, at
  /// the latest shortly before the grace time ends. What is left then gets a
  /// final response, except for streams that have begun.
  void Drain();

  [[nodiscard]] bool IsReady() const;
  /// Returns whether this entry may send orders to targets.
  [[nodiscard]] bool HoldsLease() const {
    return this->lease.Held().has_value();
  }
  [[nodiscard]] Tcp::endpoint CallerAddress() const {
    return this->caller_server.LocalAddress();
  }
  [[nodiscard]] Tcp::endpoint ReadyAddress() const {
    return this->readiness_server.LocalAddress();
  }
  [[nodiscard]] const Metrics& GetMetrics() const { return this->metrics; }

 private:
  void EndRequests();
  bool OnCaller(CallerRequest& request, CallerChannel& channel);
  static bool Respond(CallerRequest& request,
                      CallerChannel& channel,
                      unsigned status,
                      std::string_view body);

  // Configuration, targets and entries, as read from the log.
  /// Reads all streams at once, since one of them shows that the log was
  /// restored from an older copy.
  void ReadRestoredLog();
  void OnAllConfig(const KeyedSnapshot& all);
  void OnConfig(const KeyedItem& item);
  void ApplyConfig(RoutingConfig config, const KeyedItem& item);
  [[nodiscard]] PollTiming ConfigPollTiming() const;
  /// Returns whether a configuration replaces the one in force: a later
  /// version, or another text under the same one, which a restored log has lost
  /// and given out again.
  [[nodiscard]] bool IsNewConfig(ConfigVersion version,
                                 std::uint64_t hash) const;
  void OnTargets(const KeyedSnapshot& all);
  void OnTarget(const KeyedItem& item);
  void OnTargetRemoved(const TargetId& target);
  /// Returns whether a restored log lists an incarnation of a target that was
  /// removed before.
  [[nodiscard]] bool WasRemovedBefore(const KeyedItem& item) const;
  void OnEntries(const KeyedSnapshot& all);
  void OnEntry(const KeyedItem& item);
  [[nodiscard]] PollTiming EntryPollTiming() const;
  /// How often to read what the lease holder also sends.
  [[nodiscard]] PollTiming SafetyPollTiming() const;
  /// Starts to compete for the lease once the other entries are known.
  void StartLease(bool is_registered);
  [[nodiscard]] std::string OwnRegistration() const;
  void Register();
  void Unregister();

  // Datagrams between the entries.
  void RunUpdates();
  void ReportDemand();
  [[nodiscard]] HolderState GetHolderState() const;
  void BroadcastInventories(std::vector<TargetInventory> inventories);
  /// Sends the registration changes and loads that this entry has read to the
  /// other entries if it is the lease holder.
  void BroadcastFeed();
  void ApplyFeed(const EntryMessage& message);
  /// Returns whether the lease holder currently sends the changes that it
  /// reads, so that this entry may poll the log less often.
  [[nodiscard]] bool HasFreshFeed() const;
  void OnMessage(const EntryMessage& message);
  void PollEntriesForSender();
  /// Returns whether the lease holder reads the log, or at least not much later
  /// than this entry does.
  [[nodiscard]] bool HolderReachesLog(const EntryMessage& message) const;
  void SendInventoriesWithCopy(const HostId& host, const ServiceCopy& copy);

  FiberLoop& loop;
  const Clock& clock;
  GatewaySettings settings;
  GatewayPlatform platform;
  InstanceId instance;
  Metrics metrics;
  TargetSelector targets;
  RemovedTargets removed_targets;
  FiberSignal targets_changed;
  SharedRetryBudget retry_budget;
  StreamLengthEstimator stream_lengths;
  OutputLengthEstimator output_lengths;
  CopyDemandTracker copy_demand;
  CrashTracker crashes;
  RegistrationFeed registration_feed;
  std::shared_ptr<const RouteTable> routes;
  /// Hash of the text of the configuration that is in force.
  std::uint64_t config_hash = 0;
  /// The newest configuration that was read, even if it is not in force;
  /// nothing if it cannot be used.
  std::optional<ConfigIdentity> newest_config;
  ConfigFreshness freshness;
  KeyedStreamWatcher config_watcher;
  KeyedStreamWatcher target_watcher;
  KeyedStreamWatcher entry_watcher;
  EntryTransport entry_transport;
  LeaseManager lease;
  RateLimitCoordinator rate_limits;
  FreshnessExchange freshness_exchange;
  AccessControl access;
  QuotaLimiter quotas;
  QuotaExchange quota_exchange;
  SelectionQueue selection_queue;
  OrderDispatcher order_dispatcher;
  StrikeExchange strike_exchange;
  ListenerList grace_time_ended;
  RequestDependencies request_dependencies;
  CallerServer caller_server;
  CallerServer readiness_server;
  CallerServer operator_server;
  bool lease_started = false;
  bool draining = false;
  TimePoint drain_started{};
  std::optional<TimePoint> targets_recovered_at;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_GATEWAY_H_
