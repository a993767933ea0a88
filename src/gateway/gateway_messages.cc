#include <algorithm>

#include "gateway/gateway.h"

// What the entries tell each other.
namespace pimentospar {

namespace {

constexpr std::size_t kLoadsPerMessage = 40;
constexpr std::chrono::milliseconds kHeartbeat{500};
// Demand is told this often; a copy that requests wait for, at once and again.
constexpr std::chrono::milliseconds kTalkStep{150};

}  // namespace

void Gateway::Talk() {
  TimePoint next_heartbeat = this->clock.Now();
  while (true) {
    (void)this->interest.Asked().WaitFor(kTalkStep);
    this->TellPlanner();
    if (this->feed.HasChanges()) {
      this->AnnounceFeed();
    }
    if (this->clock.Now() < next_heartbeat) {
      continue;
    }
    next_heartbeat = this->clock.Now() + kHeartbeat;
    this->AnnounceFeed();
  }
}

void Gateway::TellPlanner() {
  EntryMessage message;
  message.demand = this->interest.TakeDemand();
  message.wanted = this->interest.Wanted();
  if (this->lease.Held()) {
    for (const CopyDemand& demand : message.demand) {
      this->orders.OnDemand(demand);
    }
    for (const ServiceCopy& copy : message.wanted) {
      this->orders.OnWanted(copy);
    }
    return;
  }
  const auto planner = this->link.Planner();
  if (planner && (!message.demand.empty() || !message.wanted.empty())) {
    this->link.Send(*planner, std::move(message));
  }
}

HolderState Gateway::State() const {
  return {this->lease.Held(), this->target_follower.Age(),
          this->routes == nullptr ? ConfigVersion{}
                                  : this->routes->Config().version};
}

void Gateway::Announce(std::vector<TargetInventory> inventories) {
  EntryMessage message = this->feed.NewMessage(this->State());
  message.inventories = std::move(inventories);
  this->link.SendAll(std::move(message));
}

void Gateway::AnnounceFeed() {
  if (!this->lease.Held()) {
    this->feed.ForgetChanges();
    return;
  }
  std::vector<TargetLoadReport> loads = this->orders.TakeLoads();
  std::size_t next = 0;
  do {
    EntryMessage message = this->feed.TakeChanges(this->State());
    const std::size_t end = std::min(loads.size(), next + kLoadsPerMessage);
    message.loads.assign(loads.begin() + static_cast<std::ptrdiff_t>(next),
                         loads.begin() + static_cast<std::ptrdiff_t>(end));
    next = end;
    this->link.SendAll(std::move(message));
  } while (next < loads.size());
}

bool Gateway::HearsFeed() const {
  return !this->lease.Held() && this->feed.IsFresh();
}

void Gateway::OnFeed(const EntryMessage& message) {
  for (const RegistrationChange& change : message.registrations) {
    this->OnTarget({change.target.value,
                    change.value.empty()
                        ? std::nullopt
                        : std::optional<std::string>(change.value),
                    {}});
  }
  for (const TargetLoadReport& entry : message.loads) {
    this->board.OnLoadReport(entry.target, entry.load);
  }
  // Last, since it drops the changes that were just heard.
  if (!this->feed.OnMessage(message)) {
    this->target_follower.ReadSoon();
  }
  if (this->routes == nullptr ||
      message.config > this->routes->Config().version) {
    this->config_follower.ReadSoon();
  }
}

void Gateway::OnMessage(const EntryMessage& message) {
  for (const TargetInventory& entry : message.inventories) {
    this->board.OnInventory(entry.target, entry.inventory,
                            InventorySource::kPlanner);
  }
  if (!message.inventories.empty()) {
    this->board_changed.NotifyAll();
  }
  if (message.lease) {
    this->lease.OnOtherLease(*message.lease);
    if (!this->lease.Held()) {
      this->OnFeed(message);
    }
  }
  if (!this->lease.Held()) {
    return;
  }
  for (const CopyDemand& demand : message.demand) {
    this->orders.OnDemand(demand);
  }
  for (const ServiceCopy& copy : message.wanted) {
    this->orders.OnWanted(copy);
    this->AnswerWanted(message.host, copy);
  }
}

// Tells an entry again which targets hold a copy, in case it missed it.
void Gateway::AnswerWanted(const HostId& host, const ServiceCopy& copy) {
  EntryMessage answer = this->feed.NewMessage(this->State());
  for (const TargetDescription& target : this->board.Targets()) {
    if (target.service == copy.service && !target.draining &&
        HasCopy(target.inventory, copy.copy)) {
      answer.inventories.push_back({target.id, target.inventory});
    }
  }
  if (!answer.inventories.empty()) {
    this->link.Send(host, std::move(answer));
  }
}

}  // namespace pimentospar
