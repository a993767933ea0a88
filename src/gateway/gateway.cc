#include "gateway/gateway.h"

#include <algorithm>
#include <boost/beast/http/status.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <set>

#include "net/address.h"
#include "net/log_line.h"

namespace pimentospar {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;

// Registrations change with each heartbeat, so a long read would end at once.
constexpr std::chrono::milliseconds kTargetPause{900};
constexpr std::chrono::milliseconds kConfigWait{2000};
constexpr std::chrono::milliseconds kEntryWait{8000};
// Pause between reads while the holder of the lease tells what it reads.
constexpr std::chrono::milliseconds kFedPause{4000};
// The balancer takes a host out after two misses a second apart.
constexpr std::chrono::milliseconds kBalancerLag{2300};
// A request that comes later after the signal to stop might not end in time.
constexpr std::chrono::milliseconds kLastTaken{3000};
// Left for the end of the process before it is killed.
constexpr std::chrono::milliseconds kExitReserve{700};
constexpr std::chrono::milliseconds kDrainStep{50};
// Models are not loaded while a lapsed lease is waited for.
constexpr std::chrono::milliseconds kLeaseTime{2000};
// An order that is given as the lease ends arrives this much later.
constexpr std::chrono::milliseconds kHolderMargin{600};
constexpr std::chrono::milliseconds kRenewEvery{700};
constexpr std::chrono::milliseconds kAppendTimeout{700};
constexpr std::chrono::milliseconds kAcquireSpread{200};

LeaseDutyOptions LeaseOptionsOf(const GatewaySettings& settings) {
  LeaseDutyOptions options;
  options.lease.duration = settings.targets_check_leases
                               ? kLeaseTime
                               : settings.holder_gap + kHolderMargin;
  options.targets_check_leases = settings.targets_check_leases;
  options.lease.renew_every = kRenewEvery;
  options.lease.append_timeout = kAppendTimeout;
  options.lease.acquire_spread = kAcquireSpread;
  return options;
}

TargetSelectorOptions BoardOptionsOf(const GatewaySettings& settings) {
  TargetSelectorOptions options;
  options.region = settings.region;
  options.data_centre = settings.data_centre;
  return options;
}

}  // namespace

Gateway::Gateway(FiberLoop& loop,
                 Alarms& alarms,
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
      board(clock, random, BoardOptionsOf(settings)),
      retries(clock, settings.retries),
      feed(clock),
      config_follower(loop,
                      clock,
                      random,
                      platform.log,
                      {std::string(platform.registry.ConfigStream()),
                       [this] {
                         return this->HearsFeed()
                                    ? FollowerPace{{}, kFedPause}
                                    : FollowerPace{kConfigWait, {}};
                       }},
                      {[this](const auto& all) {
                         for (const KeyedItem& item : all) {
                           this->OnConfig(item);
                         }
                       },
                       [this](const KeyedItem& item) { this->OnConfig(item); },
                       {}}),
      target_follower(
          loop,
          clock,
          random,
          platform.log,
          {std::string(platform.registry.TargetStream()),
           [this] {
             return FollowerPace{{},
                                 this->HearsFeed() ? kFedPause : kTargetPause};
           }},
          {[this](const auto& all) { this->OnTargets(all); },
           [this](const KeyedItem& item) { this->OnTarget(item); },
           [this] { this->targets_regained_at = this->clock.Now(); }}),
      entry_follower(loop,
                     clock,
                     random,
                     platform.log,
                     {std::string(platform.registry.EntryStream()),
                      [] {
                        return FollowerPace{kEntryWait, {}};
                      }},
                     {[this](const auto& all) { this->OnEntries(all); },
                      [this](const KeyedItem& item) { this->OnEntry(item); },
                      {}}),
      link(loop,
           clock,
           settings.entry_address,
           settings.host,
           this->instance,
           [this](const EntryMessage& message) { this->OnMessage(message); }),
      lease(loop,
            clock,
            random,
            this->instance,
            ToString(this->link.LocalAddress()),
            platform.log,
            LeaseOptionsOf(settings)),
      orders(loop,
             clock,
             this->lease,
             this->board,
             this->board_changed,
             platform.control,
             this->metrics,
             [this](std::vector<TargetInventory> inventories) {
               this->Announce(std::move(inventories));
             }),
      relay_parts{clock,
                  random,
                  alarms,
                  pool,
                  platform.protocol,
                  this->board,
                  this->board_changed,
                  this->retries,
                  this->lengths,
                  this->interest,
                  this->metrics,
                  [this] { return this->routes; },
                  [this] { return this->link.Count(); }},
      front(loop,
            alarms,
            settings.caller_address,
            [this](CallerRequest& request, CallerChannel& channel) {
              return this->OnCaller(request, channel);
            }),
      ready(loop,
            alarms,
            settings.ready_address,
            [this](CallerRequest& request, CallerChannel& channel) {
              return Respond(request, channel,
                             this->IsReady() ? kOk : kUnavailable, "");
            }),
      operators(loop,
                alarms,
                settings.operator_address,
                [this](CallerRequest& request, CallerChannel& channel) {
                  return Respond(request, channel, kOk, this->metrics.Render());
                }) {}

void Gateway::Start() {
  this->config_follower.Start();
  this->target_follower.Start();
  this->entry_follower.Start();
  this->link.Start();
  this->lease.Start();
  this->orders.Start();
  this->ready.Start();
  this->operators.Start();
  this->front.Start();
  this->loop.Spawn([this] { this->Talk(); });
}

bool Gateway::IsReady() const {
  return !this->draining && this->routes != nullptr &&
         this->target_follower.HasAll();
}

void Gateway::Drain() {
  const TimePoint start = this->clock.Now();
  this->draining = true;
  this->drain_started = start;
  this->front.BeginDrain();
  this->lease.StopTaking();
  this->loop.Spawn([this] { this->Unregister(); });
  LogInfo("drain_started", {{"in_flight", this->front.InFlight()}});
  const Duration limit = this->settings.grace_time - kExitReserve;
  while (this->clock.Now() - start < limit) {
    boost::this_fiber::sleep_for(kDrainStep);
    if (this->clock.Now() - start < kBalancerLag) {
      continue;
    }
    this->front.CloseIdle();
    if (this->front.InFlight() == 0) {
      break;
    }
  }
  LogInfo("drain_ended", {{"in_flight", this->front.InFlight()}});
}

bool Gateway::OnCaller(CallerRequest& request, CallerChannel& channel) {
  request.close_after = request.close_after || this->draining;
  Relay relay(this->relay_parts, request, channel);
  const bool takes_none =
      this->draining && this->clock.Now() - this->drain_started > kLastTaken;
  return takes_none ? relay.RefuseDraining() : relay.Run();
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
  return channel.SendWhole(head, body);
}

void Gateway::OnConfig(const KeyedItem& item) {
  if (item.key != this->platform.registry.ConfigKey() || !item.value) {
    return;
  }
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(config,
                        this->platform.registry.ReadConfig(*item.value));
        if (this->routes != nullptr &&
            config.version <= this->routes->Config().version) {
          return {};
        }
        const CallerLimits limits = config.limits;
        this->routes = std::make_shared<const RouteTable>(std::move(config));
        this->front.SetLimits(limits);
        this->orders.OnRoutes(this->routes);
        this->metrics.Count(Event::kConfigApplied);
        LogInfo("config_applied",
                {{"version", this->routes->Config().version.value},
                 {"offset", item.offset.value},
                 {"routes", this->routes->Config().routes.size()}});
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

void Gateway::OnTargets(const std::vector<KeyedItem>& all) {
  std::set<std::string> listed;
  for (const KeyedItem& item : all) {
    listed.insert(item.key);
    this->OnTarget(item);
  }
  for (const TargetDescription& target : this->board.Targets()) {
    if (!listed.contains(target.id.value)) {
      this->OnTarget({target.id.value, std::nullopt, {}});
    }
  }
}

void Gateway::OnTarget(const KeyedItem& item) {
  const TargetId id(item.key);
  if (!item.value) {
    this->OnTargetGone(id);
    return;
  }
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(target,
                        this->platform.registry.ReadTarget(id, *item.value));
        const TargetDescription* known = this->board.Find(id);
        if (known == nullptr || known->draining != target.draining ||
            known->address != target.address ||
            known->inventory.started_ms != target.inventory.started_ms) {
          this->feed.OnChange({id, *item.value});
          LogInfo("target_known", {{"target", item.key},
                                   {"service", target.service.value},
                                   {"draining", target.draining ? 1 : 0},
                                   {"started", target.inventory.started_ms},
                                   {"offset", item.offset.value}});
        }
        this->board.OnTarget(target);
        this->board_changed.NotifyAll();
        return {};
      },
      [&](const FormatError& error) {
        LogWarning("target_unreadable",
                   {{"target", item.key}, {"error", error.detail}});
        (void)this->board.OnRemoved(id, this->clock.Now());
      },
      [&] {
        LogWarning("target_unreadable", {{"target", item.key}});
      });
}

void Gateway::OnTargetGone(const TargetId& target) {
  const TimePoint now = this->clock.Now();
  // While the log was away, registrations of living targets lapse too.
  const TimePoint gone_at =
      this->targets_regained_at
          ? std::max(now, *this->targets_regained_at +
                              this->settings.registration_return)
          : now;
  if (!this->board.OnRemoved(target, gone_at)) {
    return;
  }
  this->feed.OnChange({target, {}});
  LogInfo("target_removed",
          {{"target", target.value}, {"gone_in_ms", gone_at - now}});
}

void Gateway::OnEntries(const std::vector<KeyedItem>& all) {
  bool listed = false;
  for (const KeyedItem& item : all) {
    listed = listed || (item.key == this->settings.host.value &&
                        item.value == ToString(this->link.LocalAddress()));
    this->OnEntry(item);
  }
  if (!listed && !this->draining) {
    this->loop.Spawn([this] { this->Register(); });
  }
}

void Gateway::OnEntry(const KeyedItem& item) {
  const HostId host(item.key);
  const auto address =
      item.value ? ParseAddress(*item.value) : std::optional<Address>();
  if (address) {
    this->link.OnEntry(host, *address);
  } else {
    this->link.OnEntryGone(host);
  }
}

void Gateway::Register() {
  constexpr std::chrono::milliseconds kPause{500};
  const std::string address = ToString(this->link.LocalAddress());
  while (!this->draining &&
         this->platform.log.AppendKeyed(this->platform.registry.EntryStream(),
                                        this->settings.host.value,
                                        address) != LogStatus::kDone) {
    LogWarning("register_failed", {{"address", address}});
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
