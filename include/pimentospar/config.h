#ifndef INCLUDE_PIMENTOSPAR_CONFIG_H_
#define INCLUDE_PIMENTOSPAR_CONFIG_H_

#include <boost/json/value.hpp>
#include <boost/leaf/result.hpp>
#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "pimentospar/types.h"

namespace pimentospar {

/// What the operators weigh more when the two measures conflict.
enum class PlacementObjective : std::uint8_t { kAttainment, kFewestOrders };

/// Strict priority classes, most urgent first.
enum class Priority : std::uint8_t { kInteractive, kNormal, kBatch };

/// What a target serves: a model engine, or a plain service.
enum class TargetKind : std::uint8_t { kModels, kService };

struct AdapterConfig {
  AdapterId id;
  Bytes bytes = 0;
};

/// What a request must reach to count as attained.
struct LatencyGoal {
  std::chrono::milliseconds first_token{1100};
  std::chrono::milliseconds between_tokens{42};
};

struct ModelConfig {
  ModelId id;
  std::string version;
  Bytes weight_bytes = 0;
  Bytes kv_bytes_per_token = 0;
  OwnerId owner;
  Priority priority = Priority::kNormal;
  LatencyGoal latency;
  std::vector<AdapterConfig> adapters;
};

struct OperationConfig {
  OperationId id;
  /// True if running the operation twice has the same effect as running it
  /// once.
  bool idempotent = false;
};

struct ServiceConfig {
  ServiceId id;
  RegionId home_region;
  /// Number of claims streams that the idempotency keys are spread over.
  std::uint32_t shards = 1;
  std::vector<OperationConfig> operations;
};

struct RegionConfig {
  RegionId id;
  std::vector<DataCentreId> data_centres;
};

struct OwnerConfig {
  OwnerId id;
  /// Share of a full system relative to the other owners.
  double weight = 1.0;
  /// SHA-256 of each token, in hexadecimal.
  std::vector<std::string> token_hashes;
  /// Models and services that the owner may use; empty means all.
  std::vector<ModelId> models;
  std::vector<ServiceId> services;
};

struct TargetConfig {
  TargetId id;
  RegionId region;
  DataCentreId data_centre;
  TargetKind kind = TargetKind::kModels;
  std::uint32_t accelerators = 1;
  Bytes memory_bytes = 0;
  /// True if the engine refuses an order with an older fencing token.
  bool checks_fencing = true;
  /// The service of a target of kind `kService`.
  ServiceId service;
};

struct StoreLimits {
  double loads_per_second = 1.0;
  std::uint32_t parallel_loads = 1;
  /// Adapter loads that may be in flight before each one slows down.
  std::uint32_t parallel_adapter_loads = 25;
};

struct LogLimits {
  double appends_per_second = 300.0;
  std::chrono::hours retention{168};
  std::chrono::hours key_retention{24};
};

/// Everything that the operators decide; in force as one version everywhere.
struct Configuration {
  std::string deployment;
  PlacementObjective objective = PlacementObjective::kAttainment;
  std::vector<RegionConfig> regions;
  std::vector<OwnerConfig> owners;
  std::vector<ModelConfig> models;
  std::vector<ServiceConfig> services;
  std::vector<TargetConfig> targets;
  StoreLimits store;
  LogLimits log;
};

/// One thing that is wrong with a configuration document.
struct ConfigError {
  /// Path of the value in the document, such as `models[3].weight_bytes`.
  std::string path;
  std::string problem;
  std::string remedy;
};

/// All that is wrong with a configuration document; the error of
/// `ParseConfiguration`.
struct ConfigErrors {
  std::vector<ConfigError> errors;
};

/// Reads and checks a JSON document; the error is a `ConfigErrors` that lists
/// everything wrong.
///
///     leaf::result<Configuration> parsed = ParseConfiguration(text);
[[nodiscard]] boost::leaf::result<Configuration> ParseConfiguration(
    std::string_view json);

/// Checks the relations between the parts: references, duplicates, ranges.
[[nodiscard]] std::vector<ConfigError> CheckConfiguration(
    const Configuration& configuration);

/// Writes the document in its one canonical form: the same configuration gives
/// the same bytes.
[[nodiscard]] std::string ToJson(const Configuration& configuration);

[[nodiscard]] const ModelConfig* FindModel(const Configuration& configuration,
                                           const ModelId& id);
[[nodiscard]] const ServiceConfig* FindService(
    const Configuration& configuration,
    const ServiceId& id);
[[nodiscard]] const OperationConfig* FindOperation(const ServiceConfig& service,
                                                   const OperationId& id);
[[nodiscard]] const TargetConfig* FindTarget(const Configuration& configuration,
                                             const TargetId& id);
/// Returns the owner whose token has this hash, or null.
[[nodiscard]] const OwnerConfig* FindOwnerByTokenHash(
    const Configuration& configuration,
    std::string_view hash);
[[nodiscard]] bool MayUse(const OwnerConfig& owner, const ModelId& model);
[[nodiscard]] bool MayUse(const OwnerConfig& owner, const ServiceId& service);

[[nodiscard]] std::string_view ToString(Priority priority);
[[nodiscard]] std::string_view ToString(PlacementObjective objective);

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_CONFIG_H_
