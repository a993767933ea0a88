#include <algorithm>

#include "pimentospar/planning/copy_planner.h"

// Counts of the copies of each model.
namespace pimentospar {

CopyPlanner::CopyCounts CopyPlanner::CountCopies(
    const ServiceCopy& model) const {
  const auto found =
      this->copy_counts.find({model.service, {model.copy.model, {}}});
  return found == this->copy_counts.end() ? CopyCounts{} : found->second;
}

void CopyPlanner::RecountCopies() {
  this->copy_counts.clear();
  for (const auto& [id, engine] : this->engines) {
    if (!engine.usable) {
      continue;
    }
    const ServiceId& service = engine.service;
    const auto counts_of = [ this, &service ](const ModelId& model) -> auto& {
      return this->copy_counts[{service, {model, {}}}];
    };
    std::set<ModelId> expected;
    for (const LoadedModel& loaded : engine.models) {
      CopyCounts& counts = counts_of(loaded.model);
      ++(this->short_prompt_engines.contains(id)
             ? counts.at_short_prompt_engines
             : counts.at_other_engines);
      const bool is_unloading =
          engine.pending && engine.pending->kind == OrderKind::kUnload &&
          engine.pending->copy == CopyRef{loaded.model, {}};
      if (!is_unloading) {
        ++counts.ready;
        counts.ready_without_limit += engine.limited ? 0 : 1;
        expected.insert(loaded.model);
      }
    }
    if (engine.pending && engine.pending->kind == OrderKind::kLoad) {
      expected.insert(engine.pending->copy.model);
    }
    if (engine.reserved_for &&
        this->IsReservedFor(engine, *engine.reserved_for)) {
      expected.insert(*engine.reserved_for);
    }
    for (const ModelId& model : expected) {
      CopyCounts& counts = counts_of(model);
      ++counts.expected;
      counts.expected_without_limit += engine.limited ? 0 : 1;
    }
  }
}

bool CopyPlanner::HasEngineWithoutLimit(const ServiceId& service) const {
  return std::ranges::any_of(this->engines, [&service](const auto& entry) {
    const EngineState& engine = entry.second;
    return engine.service == service && engine.usable && !engine.limited;
  });
}

bool CopyPlanner::LacksCopyWithoutLimit(
    const ServiceCopy& model,
    const CopyDemandState& demand_state) const {
  return this->IsWanted(demand_state) &&
         this->CountCopies(model).expected_without_limit == 0 &&
         this->HasEngineWithoutLimit(model.service);
}

bool CopyPlanner::HasCopiesOnlyInGroupOf(const EngineState& engine,
                                         const ModelId& model) const {
  const CopyCounts counts =
      this->CountCopies(ServiceCopy{engine.service, {model, {}}});
  const bool is_for_short = this->short_prompt_engines.contains(engine.id);
  const std::size_t in_group =
      is_for_short ? counts.at_short_prompt_engines : counts.at_other_engines;
  const std::size_t in_other_group =
      is_for_short ? counts.at_other_engines : counts.at_short_prompt_engines;
  return in_group > 0 && in_other_group == 0;
}

}  // namespace pimentospar
