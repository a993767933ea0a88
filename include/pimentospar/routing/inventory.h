#ifndef INCLUDE_PIMENTOSPAR_ROUTING_INVENTORY_H_
#define INCLUDE_PIMENTOSPAR_ROUTING_INVENTORY_H_

#include <cstdint>
#include <span>
#include <vector>

#include "pimentospar/types.h"

namespace pimentospar {

/// A model, or an adapter of it.
struct CopyRef {
  ModelId model;
  /// Empty for the model itself.
  AdapterId adapter;
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on `a < b`
  auto operator<=>(const CopyRef&) const = default;
};

/// A model in the memory of a target, with its adapters.
struct LoadedModel {
  ModelId model;
  std::vector<AdapterId> adapters;
  bool operator==(const LoadedModel&) const = default;
};

/// What a target holds.
struct Inventory {
  /// Time of the target's start, Unix milliseconds.
  std::int64_t started_ms = 0;
  /// Orders that the target has accepted since its start, as far as known.
  std::uint64_t accepted_orders = 0;
  std::vector<LoadedModel> models;
};

/// Returns nothing if the model is not among them.
[[nodiscard]] const LoadedModel* FindModel(std::span<const LoadedModel> models,
                                           const ModelId& model);
/// Returns whether the inventory has the copy.
[[nodiscard]] bool HasCopy(const Inventory& inventory, const CopyRef& copy);

/// Adds an adapter to its model, unless the model is missing.
void AddAdapter(Inventory& inventory, const CopyRef& copy);
/// Removes a model with its adapters, or one adapter.
void RemoveCopy(Inventory& inventory, const CopyRef& copy);
/// Removes all adapters of a model.
void RemoveAdapters(Inventory& inventory, const ModelId& model);

/// Returns the name under which the parts of prompts of a copy are kept.
[[nodiscard]] ModelId PrefixScope(const CopyRef& copy);

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ROUTING_INVENTORY_H_
