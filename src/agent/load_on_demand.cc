#include "agent/load_on_demand.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "net/log_line.h"

namespace pimentospar {

namespace {

// Pause before the next try, plus a random time of the same length.
constexpr std::chrono::milliseconds kRetryPause{100};
constexpr std::chrono::seconds kKeepTimeout{2};
constexpr std::chrono::seconds kUnloadTimeout{2};
// How long another agent keeps its copy while this one unloads: longer than an
// order may take.
constexpr std::chrono::seconds kKeepTime{120};
// Adapters load within milliseconds; more means that the target is in trouble.
constexpr std::chrono::seconds kAdapterTimeout{10};

Item WeightsOf(const ModelId& model) {
  return {ItemKind::kWeights, ModelItem(model)};
}

CopyResult Refused(Reason reason, std::string detail) {
  return {reason, std::move(detail)};
}

const AdapterConfig* FindAdapter(const ModelConfig& model,
                                 const AdapterId& id) {
  const auto found = std::ranges::find(model.adapters, id, &AdapterConfig::id);
  return found == model.adapters.end() ? nullptr : &*found;
}

}  // namespace

ItemId ModelItem(const ModelId& model) {
  return ItemId(model.value);
}

ItemId AdapterItem(const ModelId& model, const AdapterId& adapter) {
  return ItemId(model.value + ":" + adapter.value);
}

CopyResult LoadOnDemand::EnsureLoaded(const WantedCopy& wanted,
                                      TimePoint deadline) {
  const Waiter waiter = std::make_shared<boost::fibers::promise<CopyResult>>();
  auto result = waiter->get_future();
  const bool taken =
      this->process.control.TryRun([this, wanted, deadline, waiter] {
        this->Join(wanted, deadline, waiter);
      });
  if (!taken) {
    return Refused(Reason::kRingFull, "too many loads are waiting");
  }
  if (result.wait_until(deadline) != boost::fibers::future_status::ready) {
    return Refused(Reason::kModelLoading, "the deadline has passed");
  }
  return result.get();
}

void LoadOnDemand::Join(const WantedCopy& wanted,
                        TimePoint deadline,
                        const Waiter& waiter) {
  const auto [job, is_new] = this->jobs.try_emplace(wanted, Job{deadline, {}});
  job->second.deadline = std::max(job->second.deadline, deadline);
  job->second.waiters.push_back(waiter);
  if (is_new) {
    this->Run(wanted);
  }
}

void LoadOnDemand::Run(const WantedCopy& wanted) {
  this->driver.BeginWanting();
  CopyResult result = Refused(Reason::kModelLoading, "not loaded in time");
  while (this->process.clock.Now() < this->jobs.at(wanted).deadline &&
         !this->process.IsDraining()) {
    const ActiveConfigPtr active = this->process.config.Get();
    const ModelConfig* model =
        active == nullptr ? nullptr
                          : FindModel(active->configuration, wanted.model);
    if (model == nullptr) {
      result = Refused(Reason::kTargetRefused, "the model is not configured");
      break;
    }
    Step step = this->TryModel(*model);
    if (step && step->reason == Reason::kNone && !wanted.adapter.IsEmpty()) {
      step = this->TryAdapter(*model, wanted.adapter,
                              this->jobs.at(wanted).deadline);
    }
    if (step) {
      result = std::move(*step);
      break;
    }
    boost::this_fiber::sleep_for(
        kRetryPause + std::chrono::milliseconds(this->process.random.NextBelow(
                          static_cast<std::uint64_t>(kRetryPause.count()))));
  }
  const auto job = this->jobs.extract(wanted);
  for (const Waiter& waiter : job.mapped().waiters) {
    waiter->set_value(result);
  }
  this->driver.EndWanting();
}

bool LoadOnDemand::IsLoaded(const Item& item) const {
  const MemoryAccount* account = this->driver.Account();
  const Charge* charge = account == nullptr ? nullptr : account->Find(item);
  return charge != nullptr && charge->state == ChargeState::kLoaded;
}

LoadOnDemand::Step LoadOnDemand::TryModel(const ModelConfig& model) {
  if (this->driver.Account() == nullptr) {
    return std::nullopt;
  }
  const Item item = WeightsOf(model.id);
  if (this->IsLoaded(item)) {
    return CopyResult{};
  }
  if (!this->peers.Holders(model.id).empty()) {
    // Without a planner a load is granted only for a model that is loaded
    // nowhere.
    return Refused(Reason::kTargetRefused,
                   "the model is loaded at another target");
  }
  if (!this->CanMakeRoom(item, model.weight_bytes)) {
    return Refused(Reason::kTargetRefused, "no memory for the model");
  }
  const auto granted = this->loader.RequestLoad(model.id);
  if (!granted) {
    return std::nullopt;
  }
  return this->LoadGranted(item, model.weight_bytes, *granted);
}

LoadOnDemand::Step LoadOnDemand::LoadGranted(const Item& item,
                                             Bytes bytes,
                                             const GrantedLoad& load) {
  if (!this->MakeRoom(item, bytes, load.start_until) ||
      this->process.clock.Now() >= load.start_until) {
    this->loader.EndLoad(load);
    return std::nullopt;
  }
  const auto result = this->driver.Load(item, bytes, load.end_until);
  if (!result) {
    // The transfer may still run, so the grant is left to lapse.
    LogWarning("load_unknown", {{"item", item.id.value}});
    return std::nullopt;
  }
  this->loader.EndLoad(load);
  return *result == ItemResult::kLoaded ? Step(CopyResult{}) : std::nullopt;
}

LoadOnDemand::Step LoadOnDemand::TryAdapter(const ModelConfig& model,
                                            const AdapterId& adapter,
                                            TimePoint deadline) {
  const AdapterConfig* found = FindAdapter(model, adapter);
  if (found == nullptr) {
    return Refused(Reason::kTargetRefused, "the adapter is not configured");
  }
  const Item item{ItemKind::kAdapter, AdapterItem(model.id, adapter)};
  if (this->IsLoaded(item)) {
    return CopyResult{};
  }
  const TimePoint until =
      std::min(deadline, this->process.clock.Now() + kAdapterTimeout);
  if (!this->MakeAdapterRoom(item, found->bytes, until)) {
    return Refused(Reason::kTargetRefused, "no memory for the adapter");
  }
  return this->driver.Load(item, found->bytes, until) == ItemResult::kLoaded
             ? Step(CopyResult{})
             : std::nullopt;
}

bool LoadOnDemand::MakeAdapterRoom(const Item& item,
                                   Bytes bytes,
                                   TimePoint until) {
  std::vector<Item> removable;
  Bytes freed = 0;
  const MemoryAccount* account = this->driver.Account();
  for (const ItemId& id : this->use.Unneeded()) {
    const Item other{ItemKind::kAdapter, id};
    const Charge* charge = account == nullptr ? nullptr : account->Find(other);
    if (charge != nullptr && charge->state == ChargeState::kLoaded &&
        !charge->pinned) {
      removable.push_back(other);
      freed += charge->bytes;
    }
  }
  if (!this->Fits(item, bytes, freed)) {
    return false;
  }
  for (const Item& other : removable) {
    if (this->Fits(item, bytes) || this->process.clock.Now() >= until) {
      break;
    }
    if (this->use.BeginUnload(other.id)) {
      (void)this->UnloadReserved(other);
    }
  }
  return this->Fits(item, bytes);
}

bool LoadOnDemand::Fits(const Item& item, Bytes bytes, Bytes freed) const {
  const MemoryAccount* account = this->driver.Account();
  return account != nullptr && account->Fits(item, bytes, freed);
}

std::vector<ModelId> LoadOnDemand::Removable() const {
  std::vector<ModelId> models;
  const MemoryAccount* account = this->driver.Account();
  for (const ItemId& id : this->use.Unneeded()) {
    const ModelId model(id.value);
    const Charge* charge =
        account == nullptr ? nullptr : account->Find(WeightsOf(model));
    if (charge != nullptr && !charge->pinned &&
        charge->state == ChargeState::kLoaded &&
        !this->peers.Holders(model).empty()) {
      models.push_back(model);
    }
  }
  return models;
}

bool LoadOnDemand::CanMakeRoom(const Item& item, Bytes bytes) const {
  Bytes freed = 0;
  for (const ModelId& model : this->Removable()) {
    freed += this->driver.Account()->Find(WeightsOf(model))->bytes;
  }
  return this->Fits(item, bytes, freed);
}

bool LoadOnDemand::MakeRoom(const Item& item, Bytes bytes, TimePoint until) {
  for (const ModelId& model : this->Removable()) {
    if (this->Fits(item, bytes)) {
      break;
    }
    // A copy that is needed after all is passed over for the next one.
    (void)this->UnloadCopy(model, until);
  }
  return this->Fits(item, bytes);
}

bool LoadOnDemand::UnloadCopy(const ModelId& model, TimePoint until) {
  if (!this->use.BeginUnload(ModelItem(model))) {
    return false;
  }
  bool kept = false;
  for (const Address& holder : this->peers.Holders(model)) {
    kept = this->process.agents.KeepCopy(
        holder, model, kKeepTime, this->process.clock.Now() + kKeepTimeout);
    if (kept) {
      break;
    }
  }
  if (!kept || this->process.clock.Now() >= until) {
    this->use.EndUnload(ModelItem(model), false);
    return false;
  }
  return this->UnloadReserved(WeightsOf(model));
}

bool LoadOnDemand::UnloadReserved(const Item& item) {
  // An order without an answer is repeated, so the item stays reserved until
  // the end is known.
  std::optional<ItemResult> result;
  while (!result && !this->process.IsDraining()) {
    result =
        this->driver.Unload(item, this->process.clock.Now() + kUnloadTimeout);
    if (!result && this->driver.Account() == nullptr) {
      boost::this_fiber::sleep_for(kRetryPause);
    }
  }
  const bool unloaded =
      result == ItemResult::kUnloaded || result == ItemResult::kDropped;
  this->use.EndUnload(item.id, unloaded);
  return unloaded;
}

}  // namespace pimentospar
