#include <algorithm>
#include <cmath>
#include <numeric>

#include "pimentospar/questionnaire.h"

namespace pimentospar {

namespace {

constexpr double kGigabyte = 1e9;

// Returns the memory of one copy: the weights and the largest adapter.
Bytes CopyBytes(const ModelConfig& model) {
  Bytes largest = 0;
  for (const AdapterConfig& adapter : model.adapters) {
    largest = std::max(largest, adapter.bytes);
  }
  return model.weight_bytes + largest;
}

Bytes UsableBytes(const TargetConfig& target) {
  return static_cast<Bytes>(static_cast<double>(target.memory_bytes) *
                            (1.0 - kReservedMemoryShare));
}

std::string FormatGigabytes(Bytes bytes) {
  return std::to_string(static_cast<std::uint64_t>(
             std::ceil(static_cast<double>(bytes) / kGigabyte))) +
         " GB";
}

std::vector<Bytes> FreeBytesWithout(const Configuration& configuration,
                                    const RegionId& removed) {
  std::vector<Bytes> free_bytes;
  for (const TargetConfig& target : configuration.targets) {
    if (target.kind == TargetKind::kModels && target.region != removed) {
      free_bytes.push_back(UsableBytes(target));
    }
  }
  return free_bytes;
}

std::vector<std::size_t> ModelsLargestFirst(
    const Configuration& configuration) {
  std::vector<std::size_t> order(configuration.models.size());
  std::iota(order.begin(), order.end(), 0);
  std::ranges::stable_sort(order, std::greater<>(), [&](std::size_t index) {
    return CopyBytes(configuration.models[index]);
  });
  return order;
}

// Packs one copy of each model into the targets outside a region with best-fit
// decreasing: the largest model first, each into the target that leaves the
// least free memory.
void CheckWithoutRegion(const Configuration& configuration,
                        const RegionId& removed,
                        std::vector<ConfigError>& errors) {
  std::vector<Bytes> free_bytes = FreeBytesWithout(configuration, removed);
  const Bytes largest =
      free_bytes.empty()
          ? 0
          : *std::max_element(free_bytes.begin(), free_bytes.end());
  Bytes unplaced_bytes = 0;
  std::size_t unplaced_models = 0;
  for (const std::size_t index : ModelsLargestFirst(configuration)) {
    const Bytes bytes = CopyBytes(configuration.models[index]);
    if (bytes > largest) {
      errors.push_back({"models[" + std::to_string(index) + "]",
                        "a copy needs " + FormatGigabytes(bytes) +
                            ", but without region " + removed.value +
                            " the largest target has room for " +
                            FormatGigabytes(largest),
                        "add a larger target outside this region"});
      continue;
    }
    auto best = free_bytes.end();
    for (auto target = free_bytes.begin(); target != free_bytes.end();
         ++target) {
      if (*target >= bytes && (best == free_bytes.end() || *target < *best)) {
        best = target;
      }
    }
    if (best == free_bytes.end()) {
      unplaced_bytes += bytes;
      ++unplaced_models;
      continue;
    }
    *best -= bytes;
  }
  if (unplaced_models != 0) {
    errors.push_back({"targets",
                      "without region " + removed.value + " " +
                          std::to_string(unplaced_models) +
                          " models have no target with room for a copy; "
                          "together they need " +
                          FormatGigabytes(unplaced_bytes),
                      "add targets outside this region or use smaller models"});
  }
}

}  // namespace

std::vector<ConfigError> CheckCapacityWithoutRegion(
    const Configuration& configuration) {
  std::vector<ConfigError> errors;
  if (configuration.models.empty()) {
    return errors;
  }
  for (const RegionConfig& region : configuration.regions) {
    CheckWithoutRegion(configuration, region.id, errors);
  }
  return errors;
}

}  // namespace pimentospar
