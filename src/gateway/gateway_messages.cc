#include <algorithm>

#include "gateway/gateway.h"
#include "gateway/lease_number.h"

// The messages between the entries.
namespace pimentospar {

namespace {

constexpr std::size_t kLoadsPerMessage = 40;
constexpr std::chrono::milliseconds kHeartbeatInterval{500};
constexpr std::chrono::milliseconds kUnknownSenderPollInterval{4000};
// A lease holder whose last read of the log is older than that of another entry
// by more than this has lost the log, which the other entry still reaches.
constexpr std::chrono::milliseconds kMaxHolderLogLag{2500};
// Demand and wanted copies are reported this often, and at once when a request
// starts to wait for a copy.
constexpr std::chrono::milliseconds kDemandReportInterval{150};

}  // namespace

void Gateway::RunUpdates() {
  TimePoint next_heartbeat = this->clock.Now();
  while (true) {
    (void)this->copy_demand.WaitStarted().WaitFor(kDemandReportInterval);
    this->ReportDemand();
    if (this->registration_feed.HasQueuedChanges()) {
      this->BroadcastFeed();
    }
    if (this->clock.Now() < next_heartbeat) {
      continue;
    }
    next_heartbeat = this->clock.Now() + kHeartbeatInterval;
    this->BroadcastFeed();
  }
}

void Gateway::ReportDemand() {
  EntryMessage message;
  message.demand = this->copy_demand.TakeDemand();
  message.wanted = this->copy_demand.WantedCopies();
  if (this->lease.Held()) {
    for (const CopyDemand& demand : message.demand) {
      this->order_dispatcher.OnDemand(demand);
    }
    for (const ServiceCopy& copy : message.wanted) {
      this->order_dispatcher.OnWanted(copy);
    }
    return;
  }
  const auto holder = this->entry_transport.Holder();
  if (holder && (!message.demand.empty() || !message.wanted.empty())) {
    this->entry_transport.Send(*holder, std::move(message));
  }
}

HolderState Gateway::GetHolderState() const {
  return {this->lease.Held(), this->target_watcher.TimeSinceLastRead(),
          this->routes == nullptr ? ConfigVersion{}
                                  : this->routes->Config().version,
          this->entry_transport.PeerCount() + 1};
}

void Gateway::BroadcastInventories(std::vector<TargetInventory> inventories) {
  EntryMessage message =
      this->registration_feed.MakeMessage(this->GetHolderState());
  message.inventories = std::move(inventories);
  this->entry_transport.Broadcast(std::move(message));
}

void Gateway::BroadcastFeed() {
  if (!this->lease.Held()) {
    this->registration_feed.DiscardQueuedChanges();
    return;
  }
  std::vector<TargetLoadReport> loads = this->order_dispatcher.TakeLoads();
  std::size_t next = 0;
  do {
    EntryMessage message =
        this->registration_feed.TakeUpdate(this->GetHolderState());
    const std::size_t end = std::min(loads.size(), next + kLoadsPerMessage);
    message.loads.assign(loads.begin() + static_cast<std::ptrdiff_t>(next),
                         loads.begin() + static_cast<std::ptrdiff_t>(end));
    next = end;
    this->entry_transport.Broadcast(std::move(message));
  } while (next < loads.size());
}

bool Gateway::HasFreshFeed() const {
  return !this->lease.Held() && this->registration_feed.IsFresh();
}

void Gateway::ApplyFeed(const EntryMessage& message) {
  for (const RegistrationChange& change : message.registrations) {
    this->OnTarget({change.target.value,
                    change.value.empty()
                        ? std::nullopt
                        : std::optional<std::string>(change.value),
                    {}});
  }
  for (const TargetLoadReport& entry : message.loads) {
    this->targets.OnLoadReport(entry.target, entry.load);
  }
  // Must come last: it discards the changes that `OnTarget` has just queued.
  if (!this->registration_feed.OnMessage(message)) {
    this->target_watcher.PollNow();
  }
  if (this->routes == nullptr ||
      message.config > this->routes->Config().version) {
    this->config_watcher.PollNow();
  }
}

void Gateway::OnMessage(const EntryMessage& message) {
  if (this->quota_exchange.OnMessage(message)) {
    return;
  }
  this->crashes.Import(message.strikes);
  this->rate_limits.OnMessage(message);
  this->freshness_exchange.OnMessage(message);
  for (const TargetInventory& entry : message.inventories) {
    this->targets.OnInventory(entry.target, entry.inventory,
                              InventorySource::kPlanner);
  }
  if (!message.inventories.empty()) {
    this->targets_changed.NotifyAll();
  }
  if (!this->entry_transport.IsKnown(message.host)) {
    this->PollEntriesForSender();
  }
  if (message.lease) {
    if (EraOfLease(*message.lease) > this->target_watcher.Era()) {
      this->ReadRestoredLog();
    }
    this->lease.OnAnnouncedLease(*message.lease,
                                 this->HolderReachesLog(message));
    if (!this->lease.Held()) {
      this->ApplyFeed(message);
    }
  }
  if (!this->lease.Held()) {
    return;
  }
  for (const CopyDemand& demand : message.demand) {
    this->order_dispatcher.OnDemand(demand);
  }
  for (const ServiceCopy& copy : message.wanted) {
    this->order_dispatcher.OnWanted(copy);
    this->SendInventoriesWithCopy(message.host, copy);
  }
}

// The sender may have registered since this entry last read the entries. One
// that is shutting down is no longer registered, so the poll is not repeated
// with each of its messages.
void Gateway::PollEntriesForSender() {
  if (this->entry_watcher.TimeSinceLastRead() > kUnknownSenderPollInterval) {
    this->entry_watcher.PollNow();
  }
}

bool Gateway::HolderReachesLog(const EntryMessage& message) const {
  return message.registration_age <
         this->target_watcher.TimeSinceLastRead() + kMaxHolderLogLag;
}

// Sends an entry the inventories that contain a copy, in case the entry missed
// the broadcast. For a copy at a target with a limit, its request waits for its
// turn.
void Gateway::SendInventoriesWithCopy(const HostId& host,
                                      const ServiceCopy& copy) {
  EntryMessage message =
      this->registration_feed.MakeMessage(this->GetHolderState());
  this->targets.VisitTargets([&](const TargetDescription& target) {
    if (target.service == copy.service && !target.draining &&
        HasCopy(target.inventory, copy.copy) &&
        !this->rate_limits.Limits().Find(target.id,
                                         target.inventory.started_ms)) {
      message.inventories.push_back({target.id, target.inventory});
    }
  });
  if (!message.inventories.empty()) {
    this->entry_transport.Send(host, std::move(message));
  }
}

}  // namespace pimentospar
