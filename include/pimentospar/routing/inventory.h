#ifndef INCLUDE_PIMENTOSPAR_ROUTING_INVENTORY_H_
#define INCLUDE_PIMENTOSPAR_ROUTING_INVENTORY_H_

#include <cstdint>
#include <span>
#include <vector>

#include "pimentospar/types.h"

namespace pimentospar {

/// Identifies a model, or an adapter of a model.
struct CopyRef {
  ModelId model;
  /// Empty for the model itself.
  AdapterId adapter;
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on `a < b`
  auto operator<=>(const CopyRef&) const = default;
};

/// A model in the memory of a target, with its loaded adapters.
struct LoadedModel {
  ModelId model;
  std::vector<AdapterId> adapters;
  bool operator==(const LoadedModel&) const = default;
};

/// The copies that a target has in memory.
struct Inventory {
  /// Start time of the target in milliseconds since the Unix epoch.
  std::int64_t started_ms = 0;
  /// Number of orders that the target has accepted since its start, as far as
  /// known.
  std::uint64_t accepted_orders = 0;
  std::vector<LoadedModel> models;
  bool operator==(const Inventory&) const = default;
};

/// Returns null if the model is not in `models`.
[[nodiscard]] const LoadedModel* FindModel(std::span<const LoadedModel> models,
                                           const ModelId& model);
/// Returns whether the inventory contains the copy.
[[nodiscard]] bool HasCopy(const Inventory& inventory, const CopyRef& copy);

/// Adds an adapter to its model; does nothing if the model is not loaded.
void AddAdapter(Inventory& inventory, const CopyRef& copy);
/// Removes one adapter, or a model with all its adapters.
void RemoveCopy(Inventory& inventory, const CopyRef& copy);
/// Removes all adapters of a model.
void RemoveAdapters(Inventory& inventory, const ModelId& model);

/// Returns the key under which the prompt prefixes of a copy are recorded; each
/// adapter has a key of its own. Log lines name the copy by this key, which is
/// MODEL or MODEL/ADAPTER.
[[nodiscard]] ModelId PrefixScope(const CopyRef& copy);

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ROUTING_INVENTORY_H_
