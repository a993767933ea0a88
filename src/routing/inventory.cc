#include "pimentospar/routing/inventory.h"

#include <algorithm>

namespace pimentospar {

namespace {

LoadedModel* FindModel(Inventory& inventory, const ModelId& model) {
  const auto found =
      std::ranges::find(inventory.models, model, &LoadedModel::model);
  return found == inventory.models.end() ? nullptr : &*found;
}

bool HasAdapter(const LoadedModel& loaded, const AdapterId& adapter) {
  return std::ranges::find(loaded.adapters, adapter) != loaded.adapters.end();
}

}  // namespace

const LoadedModel* FindModel(std::span<const LoadedModel> models,
                             const ModelId& model) {
  const auto found = std::ranges::find(models, model, &LoadedModel::model);
  return found == models.end() ? nullptr : &*found;
}

bool HasCopy(const Inventory& inventory, const CopyRef& copy) {
  const LoadedModel* loaded = FindModel(inventory.models, copy.model);
  return loaded != nullptr &&
         (copy.adapter.IsEmpty() || HasAdapter(*loaded, copy.adapter));
}

void AddAdapter(Inventory& inventory, const CopyRef& copy) {
  LoadedModel* loaded = FindModel(inventory, copy.model);
  if (loaded != nullptr && !HasAdapter(*loaded, copy.adapter)) {
    loaded->adapters.push_back(copy.adapter);
  }
}

void RemoveCopy(Inventory& inventory, const CopyRef& copy) {
  if (copy.adapter.IsEmpty()) {
    std::erase_if(inventory.models, [&](const LoadedModel& loaded) {
      return loaded.model == copy.model;
    });
  } else if (LoadedModel* loaded = FindModel(inventory, copy.model)) {
    std::erase(loaded->adapters, copy.adapter);
  }
}

void RemoveAdapters(Inventory& inventory, const ModelId& model) {
  if (LoadedModel* loaded = FindModel(inventory, model)) {
    loaded->adapters.clear();
  }
}

ModelId PrefixScope(const CopyRef& copy) {
  return copy.adapter.IsEmpty()
             ? copy.model
             : ModelId(copy.model.value + "/" + copy.adapter.value);
}

}  // namespace pimentospar
