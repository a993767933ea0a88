#include "agent/on_demand_loader.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "net/log_line.h"

namespace pimentospar {

namespace {

// Pause before the next try, plus a random time of up to the same length.
constexpr std::chrono::milliseconds kRetryPause{100};
constexpr std::chrono::seconds kKeepTimeout{2};
constexpr std::chrono::seconds kUnloadTimeout{2};
// How long another agent must keep its copy while this one unloads; longer than
// an order may take.
constexpr std::chrono::seconds kKeepTime{120};
// Adapters load within milliseconds, so a longer load means that the target has
// a problem.
constexpr std::chrono::seconds kAdapterTimeout{10};

Item WeightsItem(const ModelId& model) {
  return {ItemKind::kWeights, ModelItemId(model)};
}

CopyLoadResult MakeFailure(Reason reason, std::string detail) {
  return {reason, std::move(detail)};
}

const AdapterConfig* FindAdapter(const ModelConfig& model,
                                 const AdapterId& id) {
  const auto found = std::ranges::find(model.adapters, id, &AdapterConfig::id);
  return found == model.adapters.end() ? nullptr : &*found;
}

}  // namespace

ItemId ModelItemId(const ModelId& model) {
  return ItemId(model.value);
}

ItemId AdapterItemId(const ModelId& model, const AdapterId& adapter) {
  return ItemId(model.value + ":" + adapter.value);
}

CopyLoadResult OnDemandLoader::EnsureLoaded(const RequestedCopy& requested,
                                            TimePoint deadline) {
  const Waiter waiter =
      std::make_shared<boost::fibers::promise<CopyLoadResult>>();
  auto result = waiter->get_future();
  const bool taken =
      this->process.control.TryRun([this, requested, deadline, waiter] {
        this->JoinJob(requested, deadline, waiter);
      });
  if (!taken) {
    return MakeFailure(Reason::kRingFull, "too many loads are waiting");
  }
  if (result.wait_until(deadline) != boost::fibers::future_status::ready) {
    return MakeFailure(Reason::kModelLoading,
                       "the copy was not loaded before the deadline");
  }
  return result.get();
}

void OnDemandLoader::JoinJob(const RequestedCopy& requested,
                             TimePoint deadline,
                             const Waiter& waiter) {
  const auto [job, is_new] =
      this->jobs.try_emplace(requested, LoadJob{deadline, {}});
  job->second.deadline = std::max(job->second.deadline, deadline);
  job->second.waiters.push_back(waiter);
  if (is_new) {
    this->RunJob(requested);
  }
}

void OnDemandLoader::RunJob(const RequestedCopy& requested) {
  this->order_driver.BeginKvLimit();
  CopyLoadResult result =
      MakeFailure(Reason::kModelLoading, "the copy was not loaded in time");
  while (this->process.clock.Now() < this->jobs.at(requested).deadline &&
         !this->process.IsDraining()) {
    const ActiveConfigPtr active = this->process.config.Get();
    const ModelConfig* model =
        active == nullptr ? nullptr
                          : FindModel(active->configuration, requested.model);
    if (model == nullptr) {
      result =
          MakeFailure(Reason::kTargetRefused, "the model is not configured");
      break;
    }
    TryResult outcome = this->TryLoadModel(*model);
    if (outcome && outcome->reason == Reason::kNone &&
        !requested.adapter.IsEmpty()) {
      outcome = this->TryLoadAdapter(*model, requested.adapter,
                                     this->jobs.at(requested).deadline);
    }
    if (outcome) {
      result = std::move(*outcome);
      break;
    }
    boost::this_fiber::sleep_for(
        kRetryPause + std::chrono::milliseconds(this->process.random.NextBelow(
                          static_cast<std::uint64_t>(kRetryPause.count()))));
  }
  const auto job = this->jobs.extract(requested);
  for (const Waiter& waiter : job.mapped().waiters) {
    waiter->set_value(result);
  }
  this->order_driver.EndKvLimit();
}

bool OnDemandLoader::IsLoaded(const Item& item) const {
  const MemoryAccount* account = this->order_driver.Account();
  const Charge* charge = account == nullptr ? nullptr : account->Find(item);
  return charge != nullptr && charge->state == ChargeState::kLoaded;
}

OnDemandLoader::TryResult OnDemandLoader::TryLoadModel(
    const ModelConfig& model) {
  if (this->order_driver.Account() == nullptr) {
    return std::nullopt;
  }
  const Item item = WeightsItem(model.id);
  if (this->IsLoaded(item)) {
    return CopyLoadResult{};
  }
  if (!this->peers.FindAgentsWithModel(model.id).empty()) {
    // Without a planner, loads are granted only for models that are not loaded
    // at any target.
    return MakeFailure(Reason::kTargetRefused,
                       "the model is loaded at another target");
  }
  if (!this->CanFreeMemory(item, model.weight_bytes)) {
    return MakeFailure(Reason::kTargetRefused,
                       "not enough memory for the model");
  }
  const auto granted = this->grant_source.RequestGrant(model.id);
  if (!granted) {
    return std::nullopt;
  }
  return this->LoadWithGrant(item, model.weight_bytes, *granted);
}

OnDemandLoader::TryResult OnDemandLoader::LoadWithGrant(
    const Item& item,
    Bytes bytes,
    const TimedLoadGrant& load) {
  if (!this->FreeMemory(item, bytes, load.start_deadline) ||
      this->process.clock.Now() >= load.start_deadline) {
    this->grant_source.ReleaseGrant(load);
    return std::nullopt;
  }
  const auto result = this->order_driver.Load(item, bytes, load.end_deadline);
  if (!result) {
    // The transfer may still be running, so the grant is left to expire.
    LogWarning("load_unknown", {{"item", item.id.value}});
    return std::nullopt;
  }
  this->grant_source.ReleaseGrant(load);
  return *result == ItemResult::kLoaded ? TryResult(CopyLoadResult{})
                                        : std::nullopt;
}

OnDemandLoader::TryResult OnDemandLoader::TryLoadAdapter(
    const ModelConfig& model,
    const AdapterId& adapter,
    TimePoint deadline) {
  const AdapterConfig* found = FindAdapter(model, adapter);
  if (found == nullptr) {
    return MakeFailure(Reason::kTargetRefused, "the adapter is not configured");
  }
  const Item item{ItemKind::kAdapter, AdapterItemId(model.id, adapter)};
  if (this->IsLoaded(item)) {
    return CopyLoadResult{};
  }
  const TimePoint adapter_deadline =
      std::min(deadline, this->process.clock.Now() + kAdapterTimeout);
  if (!this->FreeAdapterMemory(item, found->bytes, adapter_deadline)) {
    return MakeFailure(Reason::kTargetRefused,
                       "not enough memory for the adapter");
  }
  return this->order_driver.Load(item, found->bytes, adapter_deadline) ==
                 ItemResult::kLoaded
             ? TryResult(CopyLoadResult{})
             : std::nullopt;
}

bool OnDemandLoader::FreeAdapterMemory(const Item& item,
                                       Bytes bytes,
                                       TimePoint deadline) {
  std::vector<Item> removable;
  Bytes freed = 0;
  const MemoryAccount* account = this->order_driver.Account();
  for (const ItemId& id : this->copy_use.UnloadCandidates()) {
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
    if (this->Fits(item, bytes) || this->process.clock.Now() >= deadline) {
      break;
    }
    if (this->copy_use.BeginUnload(other.id)) {
      (void)this->UnloadReserved(other);
    }
  }
  return this->Fits(item, bytes);
}

bool OnDemandLoader::Fits(const Item& item, Bytes bytes, Bytes freed) const {
  const MemoryAccount* account = this->order_driver.Account();
  return account != nullptr && account->Fits(item, bytes, freed);
}

std::vector<ModelId> OnDemandLoader::RemovableModels() const {
  std::vector<ModelId> models;
  const MemoryAccount* account = this->order_driver.Account();
  for (const ItemId& id : this->copy_use.UnloadCandidates()) {
    const ModelId model(id.value);
    const Charge* charge =
        account == nullptr ? nullptr : account->Find(WeightsItem(model));
    if (charge != nullptr && !charge->pinned &&
        charge->state == ChargeState::kLoaded &&
        !this->peers.FindAgentsWithModel(model).empty()) {
      models.push_back(model);
    }
  }
  return models;
}

bool OnDemandLoader::CanFreeMemory(const Item& item, Bytes bytes) const {
  Bytes freed = 0;
  for (const ModelId& model : this->RemovableModels()) {
    freed += this->order_driver.Account()->Find(WeightsItem(model))->bytes;
  }
  return this->Fits(item, bytes, freed);
}

bool OnDemandLoader::FreeMemory(const Item& item,
                                Bytes bytes,
                                TimePoint deadline) {
  for (const ModelId& model : this->RemovableModels()) {
    if (this->Fits(item, bytes)) {
      break;
    }
    // A copy that is needed after all is skipped.
    (void)this->UnloadCopy(model, deadline);
  }
  return this->Fits(item, bytes);
}

bool OnDemandLoader::UnloadCopy(const ModelId& model, TimePoint deadline) {
  if (!this->copy_use.BeginUnload(ModelItemId(model))) {
    return false;
  }
  bool kept = false;
  for (const Address& agent : this->peers.FindAgentsWithModel(model)) {
    kept = this->process.agents.KeepCopy(
        agent, model, kKeepTime, this->process.clock.Now() + kKeepTimeout);
    if (kept) {
      break;
    }
  }
  if (!kept || this->process.clock.Now() >= deadline) {
    this->copy_use.EndUnload(ModelItemId(model), false);
    return false;
  }
  return this->UnloadReserved(WeightsItem(model));
}

bool OnDemandLoader::UnloadReserved(const Item& item) {
  // An unanswered order is repeated, so the item stays reserved until the
  // result is known.
  std::optional<ItemResult> result;
  while (!result && !this->process.IsDraining()) {
    result = this->order_driver.Unload(
        item, this->process.clock.Now() + kUnloadTimeout);
    if (!result && this->order_driver.Account() == nullptr) {
      boost::this_fiber::sleep_for(kRetryPause);
    }
  }
  const bool unloaded =
      result == ItemResult::kUnloaded || result == ItemResult::kDropped;
  this->copy_use.EndUnload(item.id, unloaded);
  return unloaded;
}

}  // namespace pimentospar
