#include <algorithm>
#include <cmath>

#include "pimentospar/placement.h"

namespace pimentospar {

namespace {

// An adapter displaces another one only if its request rate is at least this
// many times higher, so that two with similar rates do not keep displacing each
// other.
constexpr double kDisplaceFactor = 2.0;
// Adapters are loaded at more copies of their model than their share of its
// requests needs, so that the choice of a target stays largely free.
constexpr double kAdapterCopyFactor = 1.5;

}  // namespace

double PlacementPlanner::AdapterBytesAt(const Target& target) const {
  double bytes = 0;
  for (const Index adapter : target.adapters) {
    bytes += this->adapters[adapter].bytes;
  }
  return bytes;
}

// Loads an adapter into the pool of a target, displacing adapters with much
// lower request rates.
bool PlacementPlanner::LoadAdapter(Index adapter,
                                   Index target,
                                   std::vector<PlacementOrder>& orders) {
  Target& entry = this->targets[target];
  const Adapter& wanted = this->adapters[adapter];
  std::vector<Index> rest = entry.adapters;
  std::ranges::sort(rest, [&](Index left, Index right) {
    return this->adapters[left].rate < this->adapters[right].rate;
  });
  double room = entry.adapter_pool - this->AdapterBytesAt(entry) - wanted.bytes;
  std::size_t displaced = 0;
  while (room < 0 && displaced < rest.size() &&
         this->adapters[rest[displaced]].rate * kDisplaceFactor <=
             wanted.rate) {
    room += this->adapters[rest[displaced++]].bytes;
  }
  if (room < 0) {
    return false;
  }
  const auto add_order = [&](PlacementOrderKind kind, Index item,
                             PlacementOrderReason reason) {
    orders.push_back(
        {kind, entry.id, this->models[this->adapters[item].model].id,
         this->adapters[item].id, reason, this->adapters[item].rate});
  };
  for (std::size_t i = 0; i < displaced; ++i) {
    add_order(PlacementOrderKind::kUnloadAdapter, rest[i],
              PlacementOrderReason::kMakeRoom);
    std::erase(entry.adapters, rest[i]);
  }
  add_order(PlacementOrderKind::kLoadAdapter, adapter,
            PlacementOrderReason::kAdapterDemand);
  entry.adapters.push_back(adapter);
  return true;
}

void PlacementPlanner::PlaceAdapters(std::size_t limit,
                                     std::vector<PlacementOrder>& orders) {
  std::vector<Index> changed;
  changed.swap(this->changed_adapters);
  std::ranges::sort(changed, [&](Index left, Index right) {
    return this->adapters[left].rate > this->adapters[right].rate ||
           (this->adapters[left].rate == this->adapters[right].rate &&
            left < right);
  });
  changed.erase(std::unique(changed.begin(), changed.end()), changed.end());
  for (const Index adapter : changed) {
    const Adapter& entry = this->adapters[adapter];
    std::vector<Index> serving = this->ServingTargets(entry.model);
    std::erase_if(serving, [&](Index target) {
      return this->FindCopy(target, entry.model)->state != CopyState::kLoaded;
    });
    if (serving.empty() || entry.rate <= 0) {
      continue;
    }
    const double all = std::max(
        entry.rate, this->models[entry.model].demand.requests_per_second);
    const auto copies = static_cast<double>(serving.size());
    const double wanted = std::clamp(
        std::ceil(copies * kAdapterCopyFactor * entry.rate / all), 1.0, copies);
    const auto first_absent =
        std::partition(serving.begin(), serving.end(), [&](Index target) {
          const auto& loaded = this->targets[target].adapters;
          return std::ranges::find(loaded, adapter) != loaded.end();
        });
    auto have = static_cast<double>(first_absent - serving.begin());
    for (auto at = first_absent; at != serving.end(); ++at) {
      if (have >= wanted) {
        break;
      }
      if (limit == 0) {
        this->changed_adapters.push_back(adapter);
        break;
      }
      if (this->LoadAdapter(adapter, *at, orders)) {
        --limit;
        ++have;
      }
    }
  }
}

}  // namespace pimentospar
