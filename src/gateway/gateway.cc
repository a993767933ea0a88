#include "gateway/gateway.h"

#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <set>

#include "net/address.h"
#include "net/log_line.h"
#include "pimentospar/digest.h"
#include "pimentospar/planning/fleet_timing.h"

namespace pimentospar {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;

// Registrations change with each heartbeat of a target, so a long poll would
// return at once.
constexpr std::chrono::milliseconds kTargetPollInterval{900};
constexpr std::chrono::milliseconds kConfigReadWait{2000};
// The lease holder must know the other entries to send them what it reads. They
// only need to know it, and the number of entries, which it sends.
constexpr std::chrono::milliseconds kHolderEntryPollInterval{1000};
constexpr std::chrono::milliseconds kEntryPollInterval{30000};
// Hosts that are switched on together register within this time.
constexpr std::chrono::milliseconds kFleetStartTime{1000};
// Short, since no model is loaded between the failure of a lease holder and
// the expiry of its lease.
constexpr std::chrono::milliseconds kLeaseDuration{2000};
// An order sent just before the lease expires may arrive this much later.
constexpr std::chrono::milliseconds kMaxOrderDelay{600};
constexpr std::chrono::milliseconds kRenewInterval{700};
constexpr std::chrono::milliseconds kAppendTimeout{700};
constexpr std::chrono::milliseconds kAcquireSpread{200};

LeaseManagerOptions MakeLeaseOptions(const GatewaySettings& settings) {
  LeaseManagerOptions options;
  options.lease.duration = settings.targets_check_leases
                               ? kLeaseDuration
                               : settings.holder_order_gap + kMaxOrderDelay;
  options.targets_check_leases = settings.targets_check_leases;
  options.lease.renew_interval = kRenewInterval;
  options.lease.append_timeout = kAppendTimeout;
  options.lease.acquire_spread = kAcquireSpread;
  return options;
}

TargetSelectorOptions MakeSelectorOptions(const GatewaySettings& settings) {
  TargetSelectorOptions options;
  options.region = settings.region;
  options.data_centre = settings.data_centre;
  options.adaptive_homes = settings.features.adaptive_homes;
  options.predicted_cost = settings.features.predicted_cost;
  return options;
}

}  // namespace

Gateway::Gateway(FiberLoop& loop,
                 TimerQueue& timers,
                 UpstreamPool& pool,
                 const Clock& clock,
                 RandomSource& random,
                 const GatewaySettings& settings,
                 const GatewayPlatform& platform)
    : loop(loop),
      clock(clock),
      settings(settings),
      platform(platform),
      instance{random.Next()},
      targets(clock, random, MakeSelectorOptions(settings)),
      removed_targets(clock),
      retry_budget(clock, settings.retries),
      crashes(clock,
              pool,
              this->metrics,
              [this] { return this->HoldsLease(); }),
      registration_feed(clock),
      freshness(clock, random, settings.revoke_time),
      config_watcher(loop,
                     clock,
                     random,
                     platform.log,
                     {std::string(platform.registry.ConfigStream()),
                      [this] { return this->ConfigPollTiming(); }},
                     {[this](const auto& all) { this->OnAllConfig(all); },
                      [this](const KeyedItem& item) { this->OnConfig(item); },
                      {},
                      [this](TimePoint began_at) {
                        this->freshness.OnOwnRead(began_at,
                                                  this->newest_config);
                      }}),
      target_watcher(
          loop,
          clock,
          random,
          platform.log,
          {std::string(platform.registry.TargetStream()),
           [this] {
             return this->HasFreshFeed() ? this->SafetyPollTiming()
                                         : PollTiming{{}, kTargetPollInterval};
           }},
          {[this](const auto& all) { this->OnTargets(all); },
           [this](const KeyedItem& item) { this->OnTarget(item); },
           [this] { this->targets_recovered_at = this->clock.Now(); }}),
      entry_watcher(loop,
                    clock,
                    random,
                    platform.log,
                    {std::string(platform.registry.EntryStream()),
                     [this] { return this->EntryPollTiming(); }},
                    {[this](const auto& all) { this->OnEntries(all); },
                     [this](const KeyedItem& item) { this->OnEntry(item); },
                     {}}),
      entry_transport(
          loop,
          clock,
          settings.entry_address,
          settings.host,
          this->instance,
          [this](const EntryMessage& message) { this->OnMessage(message); }),
      lease(loop,
            clock,
            random,
            this->instance,
            ToString(this->entry_transport.LocalAddress()),
            platform.log,
            MakeLeaseOptions(settings)),
      rate_limits(loop, clock, random, this->entry_transport, settings.host),
      freshness_exchange(loop,
                         clock,
                         random,
                         this->freshness,
                         this->entry_transport,
                         {[this] { return this->HoldsLease(); },
                          [this] { this->config_watcher.PollNow(); }}),
      access(this->freshness),
      quotas(clock, random),
      quota_exchange(
          loop,
          clock,
          random,
          this->entry_transport,
          this->quotas,
          {settings.host, this->instance, [this] { return this->lease.Held(); },
           [this] { return this->target_watcher.TimeSinceLastRead(); }}),
      selection_queue(loop,
                      clock,
                      random,
                      this->targets_changed,
                      this->metrics,
                      settings.features.entry_queue,
                      EntryQueueOptions{}),
      order_dispatcher(loop,
                       clock,
                       this->lease,
                       this->targets,
                       this->rate_limits.Limits(),
                       this->targets_changed,
                       platform.control,
                       this->metrics,
                       [this](std::vector<TargetInventory> inventories) {
                         this->BroadcastInventories(std::move(inventories));
                       }),
      strike_exchange(loop,
                      clock,
                      random,
                      this->crashes,
                      this->entry_transport,
                      platform.log,
                      {std::string(platform.registry.CrashCauseStream()),
                       [this] { return this->HoldsLease(); },
                       [this] { return this->HasFreshFeed(); }}),
      request_dependencies{
          clock,
          random,
          timers,
          pool,
          platform.protocol,
          this->targets,
          this->targets_changed,
          this->retry_budget,
          this->stream_lengths,
          this->output_lengths,
          this->copy_demand,
          this->crashes,
          this->rate_limits,
          this->access,
          this->quotas,
          this->selection_queue,
          this->metrics,
          this->grace_time_ended,
          [this] { return this->routes; },
          [this] { return this->entry_transport.EntryCount(); }},
      caller_server(loop,
                    timers,
                    clock,
                    settings.caller_address,
                    [this](CallerRequest& request, CallerChannel& channel) {
                      return this->OnCaller(request, channel);
                    }),
      readiness_server(loop,
                       timers,
                       clock,
                       settings.ready_address,
                       [this](CallerRequest& request, CallerChannel& channel) {
                         return Respond(request, channel,
                                        this->IsReady() ? kOk : kUnavailable,
                                        "");
                       }),
      operator_server(
          loop,
          timers,
          clock,
          settings.operator_address,
          [this](CallerRequest& request, CallerChannel& channel) {
            return Respond(
                request, channel, kOk,
                this->metrics.Render() + this->quota_exchange.RenderMetrics());
          }) {}

void Gateway::Start() {
  this->config_watcher.Start();
  this->target_watcher.Start();
  this->entry_watcher.Start();
  this->entry_transport.Start();
  this->order_dispatcher.Start();
  this->readiness_server.Start();
  this->operator_server.Start();
  this->caller_server.Start();
  this->loop.SpawnDuty("updates", [this] { this->RunUpdates(); });
  this->strike_exchange.Start();
  this->rate_limits.Start();
  this->freshness_exchange.Start();
  this->quota_exchange.Start();
}

bool Gateway::IsReady() const {
  return !this->draining && this->caller_server.IsListening() &&
         this->routes != nullptr && this->target_watcher.HasSynced() &&
         this->freshness.IsFresh();
}

bool Gateway::Respond(CallerRequest& request,
                      CallerChannel& channel,
                      unsigned status,
                      std::string_view body) {
  std::string head = StatusLine(status);
  head += "Content-Type: text/plain\r\nContent-Length: " +
          std::to_string(body.size()) + "\r\n";
  if (request.close_after) {
    head += "Connection: close\r\n";
  }
  head += "\r\n";
  return channel.SendResponse(head, body);
}

bool Gateway::IsNewConfig(ConfigVersion version, std::uint64_t hash) const {
  if (this->routes == nullptr) {
    return true;
  }
  const ConfigVersion current = this->routes->Config().version;
  return version > current || (version == current && hash != this->config_hash);
}

void Gateway::OnAllConfig(const KeyedSnapshot& all) {
  this->newest_config.reset();
  for (const KeyedItem& item : all.items) {
    this->OnConfig(item);
  }
}

// While the proof is recent, the lease holder announces new configurations.
PollTiming Gateway::ConfigPollTiming() const {
  const bool is_required = this->freshness.IsRequired();
  if (is_required && (this->HoldsLease() || this->freshness.ShouldRead())) {
    return {{}, this->freshness.ReadInterval()};
  }
  if (this->HasFreshFeed()) {
    return this->SafetyPollTiming();
  }
  // A read that waits for a change proves nothing about the time that it waits.
  return is_required ? PollTiming{{}, kConfigReadWait}
                     : PollTiming{kConfigReadWait, {}};
}

void Gateway::ApplyConfig(RoutingConfig config, const KeyedItem& item) {
  const CallerLimits limits = config.limits;
  this->routes = std::make_shared<const RouteTable>(std::move(config));
  this->freshness.OnConfig(*this->newest_config,
                           !this->routes->Config().workspaces.empty());
  this->caller_server.SetLimits(limits);
  this->order_dispatcher.OnRoutes(this->routes);
  this->quota_exchange.OnConfig(this->routes->Config().workspaces);
  this->metrics.Count(CountedEvent::kConfigApplied);
  LogInfo("config_applied",
          {{"version", this->routes->Config().version.value},
           {"offset", item.offset.value},
           {"routes", this->routes->Config().routes.size()},
           {"workspaces", this->routes->Config().workspaces.size()}});
}

void Gateway::OnConfig(const KeyedItem& item) {
  if (item.key != this->platform.registry.ConfigKey()) {
    return;
  }
  this->newest_config.reset();
  if (!item.value) {
    return;
  }
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(config,
                        this->platform.registry.DecodeConfig(*item.value));
        const std::uint64_t hash = Hash64(*item.value);
        this->newest_config = {config.version, hash};
        if (this->IsNewConfig(config.version, hash)) {
          this->config_hash = hash;
          this->ApplyConfig(std::move(config), item);
        }
        return {};
      },
      [&](const FormatError& error) {
        LogError("config_unreadable",
                 {{"offset", item.offset.value}, {"error", error.detail}});
      },
      [&] {
        LogError("config_unreadable", {{"offset", item.offset.value}});
      });
}

void Gateway::ReadRestoredLog() {
  this->config_watcher.PollNow();
  this->target_watcher.PollNow();
  this->entry_watcher.PollNow();
  this->strike_exchange.PollNow();
}

void Gateway::OnTargets(const KeyedSnapshot& all) {
  if (all.after_restore) {
    this->ReadRestoredLog();
  }
  std::set<std::string> listed;
  for (const KeyedItem& item : all.items) {
    listed.insert(item.key);
    if (all.after_restore && this->WasRemovedBefore(item)) {
      LogInfo("registration_outdated",
              {{"target", item.key}, {"offset", item.offset.value}});
      continue;
    }
    this->OnTarget(item);
  }
  for (const TargetDescription& target : this->targets.Targets()) {
    if (!listed.contains(target.id.value)) {
      this->OnTarget({target.id.value, std::nullopt, {}});
    }
  }
}

bool Gateway::WasRemovedBefore(const KeyedItem& item) const {
  const TargetId id(item.key);
  const auto listed =
      this->platform.registry.DecodeTarget(id, item.value.value_or(""));
  return listed &&
         this->removed_targets.Contains(id, listed->inventory.started_ms);
}

void Gateway::OnTarget(const KeyedItem& item) {
  const TargetId id(item.key);
  if (!item.value) {
    this->OnTargetRemoved(id);
    return;
  }
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(target,
                        this->platform.registry.DecodeTarget(id, *item.value));
        const TargetDescription* known = this->targets.Find(id);
        if (known != nullptr &&
            target.inventory.started_ms < known->inventory.started_ms) {
          LogInfo("registration_outdated",
                  {{"target", item.key}, {"offset", item.offset.value}});
          return {};
        }
        if (known == nullptr || (target.draining && !known->draining) ||
            known->address != target.address ||
            known->inventory.started_ms != target.inventory.started_ms) {
          this->registration_feed.QueueChange({id, *item.value});
          LogInfo("target_known", {{"target", item.key},
                                   {"service", target.service.value},
                                   {"draining", target.draining ? 1 : 0},
                                   {"started", target.inventory.started_ms},
                                   {"offset", item.offset.value}});
        }
        this->targets.OnTarget(target);
        this->removed_targets.OnRegistered(id);
        this->targets_changed.NotifyAll();
        return {};
      },
      [&](const FormatError& error) {
        LogWarning("target_unreadable",
                   {{"target", item.key}, {"error", error.detail}});
        (void)this->targets.OnRemoved(id, this->clock.Now());
      },
      [&] {
        LogWarning("target_unreadable", {{"target", item.key}});
      });
}

void Gateway::OnTargetRemoved(const TargetId& target) {
  const TimePoint now = this->clock.Now();
  // Registrations of live targets also expire while the log is unavailable, so
  // targets get time to register again after an outage.
  const TimePoint removal_time =
      this->targets_recovered_at
          ? std::max(now, *this->targets_recovered_at +
                              this->settings.registration_recovery_time)
          : now;
  const TargetDescription* known = this->targets.Find(target);
  if (known == nullptr || !this->targets.OnRemoved(target, removal_time)) {
    return;
  }
  this->removed_targets.OnRemoved(target, known->inventory.started_ms);
  this->registration_feed.QueueChange({target, {}});
  LogInfo("target_removed",
          {{"target", target.value}, {"gone_in_ms", removal_time - now}});
}

void Gateway::OnEntries(const KeyedSnapshot& all) {
  bool listed = false;
  for (const KeyedItem& item : all.items) {
    listed = listed || (item.key == this->settings.host.value &&
                        item.value == this->OwnRegistration());
    this->OnEntry(item);
  }
  if (!listed && !this->draining) {
    this->loop.Spawn([this] { this->Register(); });
  }
  if (!std::exchange(this->lease_started, true)) {
    this->loop.Spawn([this, listed] { this->StartLease(listed); });
  }
}

// If this host was not registered before, the whole fleet may be starting. The
// other entries are then read again, so that a weak host that starts first does
// not acquire the lease.
void Gateway::StartLease(bool is_registered) {
  if (!is_registered) {
    boost::this_fiber::sleep_for(kFleetStartTime);
    this->entry_watcher.PollNow();
    boost::this_fiber::sleep_for(kFleetStartTime / 2);
  }
  this->lease.Start();
}

PollTiming Gateway::EntryPollTiming() const {
  return {{},
          this->lease.Held() ? kHolderEntryPollInterval : kEntryPollInterval};
}

PollTiming Gateway::SafetyPollTiming() const {
  return {{}, SafetyPollInterval(this->entry_transport.EntryCount())};
}

std::string Gateway::OwnRegistration() const {
  return Encode(EntryRegistration{this->entry_transport.LocalAddress(),
                                  this->settings.processor_cores});
}

void Gateway::OnEntry(const KeyedItem& item) {
  const HostId host(item.key);
  const auto registration = item.value ? DecodeEntryRegistration(*item.value)
                                       : std::optional<EntryRegistration>();
  if (registration) {
    this->entry_transport.OnEntry(host, *registration);
  } else {
    this->entry_transport.OnEntryRemoved(host);
  }
  this->lease.SetAcquireDelay(
      LeaseAcquireDelay(this->settings.processor_cores,
                        this->entry_transport.StrongestPeerCores()));
}

void Gateway::Register() {
  constexpr std::chrono::milliseconds kPause{500};
  const std::string registration = this->OwnRegistration();
  while (!this->draining &&
         this->platform.log.AppendKeyed(this->platform.registry.EntryStream(),
                                        this->settings.host.value,
                                        registration) != LogStatus::kDone) {
    LogWarning("register_failed", {{"registration", registration}});
    boost::this_fiber::sleep_for(kPause);
  }
}

void Gateway::Unregister() {
  const LogStatus status =
      this->platform.log.AppendKeyed(this->platform.registry.EntryStream(),
                                     this->settings.host.value, std::nullopt);
  if (status != LogStatus::kDone) {
    LogWarning("unregister_failed", {{"status", ToString(status)}});
  }
}

}  // namespace pimentospar
