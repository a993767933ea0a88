#include "pimentospar/placement.h"

#include <algorithm>
#include <cmath>

namespace pimentospar {

std::string_view ToString(PlacementOrderKind kind) {
  constexpr std::array<std::string_view, 4> kNames = {
      "load", "unload", "load_adapter", "unload_adapter"};
  return kNames[static_cast<std::size_t>(kind)];
}

std::string_view ToString(PlacementOrderReason reason) {
  constexpr std::array<std::string_view, 7> kNames = {
      "no_copy",     "lost_copy",      "overload",      "make_room",
      "concentrate", "target_leaving", "adapter_demand"};
  return kNames[static_cast<std::size_t>(reason)];
}

PlacementPlanner::PlacementPlanner(const Clock& clock,
                                   const Configuration& configuration,
                                   PlacementPlannerOptions options)
    : clock(clock), options(options), objective(configuration.objective) {
  std::unordered_map<RegionId, Index> regions;
  std::unordered_map<DataCentreId, Index> data_centres;
  for (const TargetConfig& config : configuration.targets) {
    if (config.kind != TargetKind::kModels) {
      continue;
    }
    Target target;
    target.id = config.id;
    target.region =
        regions.try_emplace(config.region, regions.size()).first->second;
    target.data_centre =
        data_centres.try_emplace(config.data_centre, data_centres.size())
            .first->second;
    target.accelerators = std::max(1U, config.accelerators);
    target.capacity = static_cast<double>(config.memory_bytes);
    this->target_index[config.id] = static_cast<Index>(this->targets.size());
    this->targets.push_back(std::move(target));
  }
  for (const ModelConfig& config : configuration.models) {
    const auto index = static_cast<Index>(this->models.size());
    Model model;
    model.id = config.id;
    model.weight_bytes = static_cast<double>(config.weight_bytes);
    model.kv_bytes_per_token = static_cast<double>(config.kv_bytes_per_token);
    model.between_tokens =
        std::max(0.001, Seconds(config.latency.between_tokens));
    this->model_index[config.id] = index;
    this->models.push_back(std::move(model));
    this->models_without_copy.push_back(index);
    this->adapters_of.emplace_back();
    for (const AdapterConfig& adapter : config.adapters) {
      const auto position = static_cast<Index>(this->adapters.size());
      this->adapter_index[adapter.id] = position;
      this->adapters_of.back().push_back(position);
      this->adapters.push_back(
          {adapter.id, index, static_cast<double>(adapter.bytes)});
    }
  }
}

void PlacementPlanner::OnTarget(const TargetReport& report) {
  const auto found = this->target_index.find(report.target);
  if (found == this->target_index.end()) {
    return;
  }
  Target& target = this->targets[found->second];
  target.live = report.live;
  target.usable = report.live && !report.leaving;
  target.capacity = static_cast<double>(report.capacity_bytes);
  target.adapter_pool = static_cast<double>(report.adapter_pool_bytes);
  this->ApplyReport(found->second, report);
  this->ExpireOrders(found->second);
}

void PlacementPlanner::OnDemand(const ModelId& model, const Demand& demand) {
  const auto found = this->model_index.find(model);
  if (found == this->model_index.end()) {
    return;
  }
  Model& entry = this->models[found->second];
  const double before = entry.demand.requests_per_second;
  const double change = std::abs(demand.requests_per_second - before);
  const double tokens =
      std::abs(demand.output_tokens - entry.demand.output_tokens);
  if (change <= this->options.demand_change_fraction * before &&
      tokens <=
          this->options.demand_change_fraction * entry.demand.output_tokens) {
    return;
  }
  entry.demand = demand;
  this->RedistributeDemand(found->second);
}

void PlacementPlanner::OnAdapterDemand(const AdapterId& adapter,
                                       double requests_per_second) {
  const auto found = this->adapter_index.find(adapter);
  if (found == this->adapter_index.end()) {
    return;
  }
  this->adapters[found->second].rate = requests_per_second;
  this->changed_adapters.push_back(found->second);
}

void PlacementPlanner::OnOrderRefused(const PlacementOrder& order) {
  const auto target = this->target_index.find(order.target);
  const auto model = this->model_index.find(order.model);
  if (target == this->target_index.end() || model == this->model_index.end()) {
    return;
  }
  Copy* copy = this->FindCopy(target->second, model->second);
  if (copy == nullptr) {
    return;
  }
  this->targets[target->second].refused_until =
      this->clock.Now() + this->options.order_timeout / 3;
  if (order.kind == PlacementOrderKind::kLoad &&
      copy->state == CopyState::kLoading) {
    this->RemoveCopy(target->second, model->second);
  } else if (order.kind == PlacementOrderKind::kUnload) {
    this->CancelUnload(target->second, *copy);
  }
}

void PlacementPlanner::OnOrderRecorded(const PlacementOrder& order) {
  const auto target = this->target_index.find(order.target);
  const auto model = this->model_index.find(order.model);
  if (target == this->target_index.end() || model == this->model_index.end()) {
    return;
  }
  Copy* copy = this->FindCopy(target->second, model->second);
  if (order.kind == PlacementOrderKind::kLoad && copy == nullptr) {
    this->AddCopy(target->second, model->second, CopyState::kLoading);
  } else if (order.kind == PlacementOrderKind::kUnload && copy != nullptr &&
             copy->state == CopyState::kLoaded) {
    this->BeginUnload(target->second, *copy);
  }
}

double PlacementPlanner::PredictedLoad(const TargetId& target) const {
  const auto found = this->target_index.find(target);
  if (found == this->target_index.end()) {
    return 0;
  }
  const Target& entry = this->targets[found->second];
  return this->Utilization(entry, entry.load);
}

const PlacementPlanner::Copy* PlacementPlanner::FindCopy(Index target,
                                                         Index model) const {
  const auto& copies = this->targets[target].copies;
  const auto found = std::ranges::find(copies, model, &Copy::model);
  return found == copies.end() ? nullptr : &*found;
}

PlacementPlanner::Copy* PlacementPlanner::FindCopy(Index target, Index model) {
  auto& copies = this->targets[target].copies;
  const auto found = std::ranges::find(copies, model, &Copy::model);
  return found == copies.end() ? nullptr : &*found;
}

void PlacementPlanner::AddCopy(Index target, Index model, CopyState state) {
  Copy copy{model, state, this->clock.Now()};
  copy.load.weight_bytes = this->models[model].weight_bytes;
  this->targets[target].load.weight_bytes += copy.load.weight_bytes;
  this->targets[target].copies.push_back(copy);
  this->models[model].targets.push_back(target);
  this->RedistributeDemand(model);
}

void PlacementPlanner::RemoveCopy(Index target, Index model) {
  Target& entry = this->targets[target];
  const Copy* copy = this->FindCopy(target, model);
  entry.load.compute -= copy->load.compute;
  entry.load.kv_bytes -= copy->load.kv_bytes;
  entry.load.requests -= copy->load.requests;
  entry.load.weight_bytes -= copy->load.weight_bytes;
  std::erase_if(entry.copies, [&](const Copy& c) { return c.model == model; });
  std::erase(this->models[model].targets, target);
  this->RedistributeDemand(model);
  if (this->ServingTargets(model).empty()) {
    this->models_without_copy.push_back(model);
  }
}

// The memory counts as free for a load later in the same plan; the memory
// account of the agent delays that load until the unload is settled.
void PlacementPlanner::BeginUnload(Index target, Copy& copy) {
  copy.state = CopyState::kUnloading;
  copy.since = this->clock.Now();
  this->targets[target].load.weight_bytes -= copy.load.weight_bytes;
  copy.load.weight_bytes = 0;
  this->RedistributeDemand(copy.model);
}

void PlacementPlanner::CancelUnload(Index target, Copy& copy) {
  const double bytes = this->models[copy.model].weight_bytes;
  copy.state = CopyState::kLoaded;
  this->targets[target].load.weight_bytes += bytes - copy.load.weight_bytes;
  copy.load.weight_bytes = bytes;
  this->RedistributeDemand(copy.model);
}

// Distributes the demand for one model over its copies again.
void PlacementPlanner::RedistributeDemand(Index model) {
  const std::vector<Index> serving = this->ServingTargets(model);
  const std::vector<double> shares = this->DemandShares(model, serving);
  for (const Index index : this->models[model].targets) {
    Copy* copy = this->FindCopy(index, model);
    Target& target = this->targets[index];
    const auto position = std::ranges::find(serving, index);
    Load load;
    if (position != serving.end()) {
      load = this->PredictLoad(this->models[model], target,
                               shares[position - serving.begin()]);
    }
    target.load.compute += load.compute - copy->load.compute;
    target.load.kv_bytes += load.kv_bytes - copy->load.kv_bytes;
    target.load.requests += load.requests - copy->load.requests;
    load.weight_bytes = copy->load.weight_bytes;
    copy->load = load;
  }
}

void PlacementPlanner::ApplyReport(Index target, const TargetReport& report) {
  Target& entry = this->targets[target];
  std::vector<Index> reported;
  std::vector<Index> affected;
  for (const CopyReport& copy : report.copies) {
    const auto model = this->model_index.find(copy.model);
    if (!report.live || model == this->model_index.end()) {
      continue;
    }
    reported.push_back(model->second);
    Copy* known = this->FindCopy(target, model->second);
    if (known == nullptr) {
      this->AddCopy(target, model->second, copy.state);
    } else if (known->state == CopyState::kLoaded &&
               copy.state == CopyState::kUnloading) {
      this->BeginUnload(target, *known);
    } else if (known->state == CopyState::kLoading &&
               copy.state == CopyState::kLoaded) {
      known->state = copy.state;
      known->since = this->clock.Now();
    }
  }
  for (const Copy& copy : entry.copies) {
    const bool absent =
        std::ranges::find(reported, copy.model) == reported.end();
    const bool awaited = report.live && copy.state == CopyState::kLoading;
    if (absent && !awaited) {
      affected.push_back(copy.model);
    }
  }
  for (const Index model : affected) {
    const bool planned =
        this->FindCopy(target, model)->state == CopyState::kUnloading;
    this->models[model].lost_copy |= !planned;
    this->RemoveCopy(target, model);
  }
  entry.adapters.clear();
  for (const AdapterId& adapter : report.adapters) {
    const auto found = this->adapter_index.find(adapter);
    if (found != this->adapter_index.end()) {
      entry.adapters.push_back(found->second);
    }
  }
  for (const Copy& copy : entry.copies) {
    affected.push_back(copy.model);
  }
  for (const Index model : affected) {
    this->RedistributeDemand(model);
  }
}

// Drops orders that no report has confirmed in time: the order or its answer
// was lost, and the report shows what the target holds.
void PlacementPlanner::ExpireOrders(Index target) {
  std::vector<Index> expired;
  for (Copy& copy : this->targets[target].copies) {
    if (copy.state == CopyState::kLoaded ||
        this->clock.Now() < copy.since + this->options.order_timeout) {
      continue;
    }
    if (copy.state == CopyState::kUnloading) {
      this->CancelUnload(target, copy);
    } else {
      expired.push_back(copy.model);
    }
  }
  for (const Index model : expired) {
    this->RemoveCopy(target, model);
  }
}

bool PlacementPlanner::IsServing(Index target, Index model) const {
  const Copy* copy = this->FindCopy(target, model);
  return copy != nullptr && this->targets[target].live &&
         copy->state != CopyState::kUnloading;
}

bool PlacementPlanner::HasOtherLoadedCopy(Index model, Index target) const {
  return std::ranges::any_of(this->models[model].targets, [&](Index other) {
    const Copy* copy = this->FindCopy(other, model);
    return other != target && this->targets[other].usable &&
           copy->state == CopyState::kLoaded;
  });
}

}  // namespace pimentospar
