#include "pimentospar/config.h"

#include <algorithm>

namespace pimentospar {

namespace {

template <typename Items, typename Id>
auto* FindById(const Items& items, const Id& id) {
  const auto found =
      std::ranges::find(items, id, [](const auto& item) { return item.id; });
  return found == items.end() ? nullptr : &*found;
}

}  // namespace

const ModelConfig* FindModel(const Configuration& configuration,
                             const ModelId& id) {
  return FindById(configuration.models, id);
}

const ServiceConfig* FindService(const Configuration& configuration,
                                 const ServiceId& id) {
  return FindById(configuration.services, id);
}

const OperationConfig* FindOperation(const ServiceConfig& service,
                                     const OperationId& id) {
  return FindById(service.operations, id);
}

const TargetConfig* FindTarget(const Configuration& configuration,
                               const TargetId& id) {
  return FindById(configuration.targets, id);
}

const OwnerConfig* FindOwnerByTokenHash(const Configuration& configuration,
                                        std::string_view hash) {
  const auto found =
      std::ranges::find_if(configuration.owners, [&](const OwnerConfig& owner) {
        return std::ranges::find(owner.token_hashes, hash) !=
               owner.token_hashes.end();
      });
  return found == configuration.owners.end() ? nullptr : &*found;
}

bool MayUse(const OwnerConfig& owner, const ModelId& model) {
  return owner.models.empty() ||
         std::ranges::find(owner.models, model) != owner.models.end();
}

bool MayUse(const OwnerConfig& owner, const ServiceId& service) {
  return owner.services.empty() ||
         std::ranges::find(owner.services, service) != owner.services.end();
}

std::string_view ToString(Priority priority) {
  switch (priority) {
    case Priority::kInteractive:
      return "interactive";
    case Priority::kBatch:
      return "batch";
    case Priority::kNormal:
      break;
  }
  return "normal";
}

std::string_view ToString(PlacementObjective objective) {
  return objective == PlacementObjective::kFewestOrders ? "moves"
                                                        : "attainment";
}

}  // namespace pimentospar
