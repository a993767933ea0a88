#ifndef SRC_GATEWAY_GATEWAY_H_
#define SRC_GATEWAY_GATEWAY_H_

#include <memory>
#include <string>

#include "gateway/alarms.h"
#include "gateway/copy_interest.h"
#include "gateway/entry_link.h"
#include "gateway/front.h"
#include "gateway/holder_feed.h"
#include "gateway/keyed_follower.h"
#include "gateway/lease_duty.h"
#include "gateway/order_duty.h"
#include "gateway/registry_format.h"
#include "gateway/relay.h"
#include "gateway/target_control.h"
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
  std::chrono::milliseconds holder_gap{3000};
  /// Time from the signal to stop until the process is killed.
  std::chrono::milliseconds grace_time{8000};
  /// Registrations that lapsed while the log was away are back within this
  /// time of its return.
  std::chrono::milliseconds registration_return{2000};
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
          Alarms& alarms,
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
  void OnTargetGone(const TargetId& target);
  void OnEntries(const std::vector<KeyedItem>& all);
  void OnEntry(const KeyedItem& item);
  void Register();
  void Unregister();

  // Datagrams between the entries.
  void Talk();
  void TellPlanner();
  [[nodiscard]] HolderState State() const;
  void Announce(std::vector<TargetInventory> inventories);
  /// Tells the others what this holder of the lease has read.
  void AnnounceFeed();
  void OnFeed(const EntryMessage& message);
  /// Returns whether the holder of the lease tells what it reads, so that this
  /// entry reads the log less often.
  [[nodiscard]] bool HearsFeed() const;
  void OnMessage(const EntryMessage& message);
  void AnswerWanted(const HostId& host, const ServiceCopy& copy);

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
  CopyInterest interest;
  HolderFeed feed;
  std::shared_ptr<const RouteTable> routes;
  KeyedFollower config_follower;
  KeyedFollower target_follower;
  KeyedFollower entry_follower;
  EntryLink link;
  LeaseDuty lease;
  OrderDuty orders;
  RelayParts relay_parts;
  Front front;
  Front ready;
  Front operators;
  bool draining = false;
  TimePoint drain_started{};
  std::optional<TimePoint> targets_regained_at;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_GATEWAY_H_
