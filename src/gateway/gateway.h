#ifndef SRC_GATEWAY_GATEWAY_H_
#define SRC_GATEWAY_GATEWAY_H_

#include <memory>
#include <string>

#include "gateway/caller_server.h"
#include "gateway/copy_demand_tracker.h"
#include "gateway/entry_transport.h"
#include "gateway/keyed_stream_watcher.h"
#include "gateway/lease_manager.h"
#include "gateway/order_dispatcher.h"
#include "gateway/registration_feed.h"
#include "gateway/registry_format.h"
#include "gateway/request_handler.h"
#include "gateway/target_control.h"
#include "gateway/timer_queue.h"
#include "gateway/upstream.h"
#include "net/metrics.h"

namespace pimentospar {

struct GatewaySettings {
  HostId host;
  RegionId region;
  DataCentreId data_centre;
  Tcp::endpoint caller_address;
  Tcp::endpoint ready_address;
  Tcp::endpoint operator_address;
  UdpEndpoint entry_address;
  SharedRetryBudgetOptions retries;
  /// Targets refuse orders under an older lease than they have seen.
  bool targets_check_leases = false;
  /// Time between orders of two holders that targets which do not check leases
  /// need.
  std::chrono::milliseconds holder_order_gap{3000};
  /// Time from the signal to stop until the process is killed.
  std::chrono::milliseconds grace_time{8000};
  /// Registrations that lapsed while the log was away are back within this
  /// time of its return.
  std::chrono::milliseconds registration_recovery_time{2000};
};

/// Everything that depends on the platform.
struct GatewayPlatform {
  SharedLog& log;
  TargetControl& control;
  const HeaderProtocol& protocol;
  const RegistryFormat& registry;
};

/// An entry that takes callers' requests to the targets itself, without agents:
/// reads the configuration and the targets from the platform's log, and plans
/// and gives orders while it holds the planner's lease.
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
  /// Stops taking requests and returns when the last one is answered, or
  /// shortly before the grace time ends.
  void Drain();

  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] Tcp::endpoint CallerAddress() const {
    return this->front.LocalAddress();
  }
  [[nodiscard]] Tcp::endpoint ReadyAddress() const {
    return this->ready.LocalAddress();
  }
  [[nodiscard]] const Metrics& GetMetrics() const { return this->metrics; }

 private:
  bool OnCaller(CallerRequest& request, CallerChannel& channel);
  static bool Respond(CallerRequest& request,
                      CallerChannel& channel,
                      unsigned status,
                      std::string_view body);

  // Configuration, targets and entries, as the log tells them.
  void OnConfig(const KeyedItem& item);
  void OnTargets(const std::vector<KeyedItem>& all);
  void OnTarget(const KeyedItem& item);
  void OnTargetRemoved(const TargetId& target);
  void OnEntries(const std::vector<KeyedItem>& all);
  void OnEntry(const KeyedItem& item);
  void Register();
  void Unregister();

  // Datagrams between the entries.
  void RunUpdates();
  void ReportDemand();
  [[nodiscard]] HolderState GetHolderState() const;
  void BroadcastInventories(std::vector<TargetInventory> inventories);
  /// Tells the others what this holder of the lease has read.
  void BroadcastFeed();
  void ApplyFeed(const EntryMessage& message);
  /// Returns whether the holder of the lease tells what it reads, so that this
  /// entry reads the log less often.
  [[nodiscard]] bool HasFreshFeed() const;
  void OnMessage(const EntryMessage& message);
  void SendInventoriesWithCopy(const HostId& host, const ServiceCopy& copy);

  FiberLoop& loop;
  const Clock& clock;
  GatewaySettings settings;
  GatewayPlatform platform;
  InstanceId instance;
  Metrics metrics;
  TargetSelector board;
  FiberSignal board_changed;
  SharedRetryBudget retries;
  StreamLengthEstimator lengths;
  CopyDemandTracker copy_demand;
  RegistrationFeed registration_feed;
  std::shared_ptr<const RouteTable> routes;
  KeyedStreamWatcher config_watcher;
  KeyedStreamWatcher target_watcher;
  KeyedStreamWatcher entry_watcher;
  EntryTransport entry_transport;
  LeaseManager lease;
  OrderDispatcher order_dispatcher;
  RequestDependencies request_dependencies;
  CallerServer front;
  CallerServer ready;
  CallerServer operators;
  bool draining = false;
  TimePoint drain_started{};
  std::optional<TimePoint> targets_recovered_at;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_GATEWAY_H_
