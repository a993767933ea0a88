#include <algorithm>
#include <cmath>
#include <numeric>

#include "pimentospar/questionnaire.h"

namespace pimentospar {

namespace {

constexpr double kGigabyte = 1e9;

// What one copy takes: the weights and room for the largest adapter.
Bytes CopyBytes(const ModelConfig& model) {
  Bytes largest = 0;
  for (const AdapterConfig& adapter : model.adapters) {
    largest = std::max(largest, adapter.bytes);
  }
  return model.weight_bytes + largest;
}

Bytes UsableBytes(const TargetConfig& target) {
  return static_cast<Bytes>(static_cast<double>(target.memory_bytes) *
                            (1.0 - kWorkingShare));
}

std::string Gigabytes(Bytes bytes) {
  return std::to_string(static_cast<std::uint64_t>(
             std::ceil(static_cast<double>(bytes) / kGigabyte))) +
         " GB";
}

std::vector<Bytes> RoomWithout(const Configuration& configuration,
                               const RegionId& lost) {
  std::vector<Bytes> room;
  for (const TargetConfig& target : configuration.targets) {
    if (target.kind == TargetKind::kModels && target.region != lost) {
      room.push_back(UsableBytes(target));
    }
  }
  return room;
}

std::vector<std::size_t> LargestFirst(const Configuration& configuration) {
  std::vector<std::size_t> order(configuration.models.size());
  std::iota(order.begin(), order.end(), 0);
  std::ranges::stable_sort(order, std::greater<>(), [&](std::size_t index) {
    return CopyBytes(configuration.models[index]);
  });
  return order;
}

// Places the largest models first, each where the least room is left over.
void CheckWithout(const Configuration& configuration,
                  const RegionId& lost,
                  std::vector<ConfigError>& errors) {
  std::vector<Bytes> room = RoomWithout(configuration, lost);
  const Bytes largest =
      room.empty() ? 0 : *std::max_element(room.begin(), room.end());
  Bytes missing = 0;
  std::size_t left = 0;
  for (const std::size_t index : LargestFirst(configuration)) {
    const Bytes bytes = CopyBytes(configuration.models[index]);
    if (bytes > largest) {
      errors.push_back({"models[" + std::to_string(index) + "]",
                        "a copy takes " + Gigabytes(bytes) +
                            ", but without region " + lost.value +
                            " the largest target has room for " +
                            Gigabytes(largest),
                        "add a larger target outside this region"});
      continue;
    }
    auto best = room.end();
    for (auto target = room.begin(); target != room.end(); ++target) {
      if (*target >= bytes && (best == room.end() || *target < *best)) {
        best = target;
      }
    }
    if (best == room.end()) {
      missing += bytes;
      ++left;
      continue;
    }
    *best -= bytes;
  }
  if (left != 0) {
    errors.push_back(
        {"targets",
         "without region " + lost.value + " " + std::to_string(left) +
             " models find no room for a copy; they take " + Gigabytes(missing),
         "add targets outside this region or use smaller models"});
  }
}

}  // namespace

std::vector<ConfigError> CheckFit(const Configuration& configuration) {
  std::vector<ConfigError> errors;
  if (configuration.models.empty()) {
    return errors;
  }
  for (const RegionConfig& region : configuration.regions) {
    CheckWithout(configuration, region.id, errors);
  }
  return errors;
}

}  // namespace pimentospar
