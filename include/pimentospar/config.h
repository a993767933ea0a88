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

/// Which measure placement favours when the two conflict: requests that reach
/// their latency goals, or few loads, unloads and role changes.
enum class PlacementObjective : std::uint8_t { kAttainment, kFewestOrders };

/// Strict priority classes, most urgent first.
enum class Priority : std::uint8_t { kInteractive, kNormal, kBatch };

/// What a target serves: a model engine, or a plain service.
enum class TargetKind : std::uint8_t { kModels, kService };

/// An adapter of a model and the memory that it takes.
struct AdapterConfig {
  AdapterId id;
  Bytes bytes = 0;
};

/// Latency that a request must stay within to count as attained.
struct LatencyGoal {
  std::chrono::milliseconds first_token{1100};
  std::chrono::milliseconds between_tokens{42};
};

/// A model, its memory needs, latency goals and adapters.
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

/// An operation of a plain service.
struct OperationConfig {
  OperationId id;
  /// True if running the operation twice has the same effect as running it
  /// once.
  bool idempotent = false;
};

/// A plain service and its operations.
struct ServiceConfig {
  ServiceId id;
  /// Region that decides the operations that are not idempotent.
  RegionId home_region;
  /// Number of claims streams that the idempotency keys are spread over.
  std::uint32_t shards = 1;
  std::vector<OperationConfig> operations;
};

/// A region and its data centres.
struct RegionConfig {
  RegionId id;
  std::vector<DataCentreId> data_centres;
};

/// A party that shares the system: its weight, tokens and permissions.
struct OwnerConfig {
  OwnerId id;
  /// Share of the system under full load, relative to the other owners.
  double weight = 1.0;
  /// SHA-256 of each token, in hexadecimal.
  std::vector<std::string> token_hashes;
  /// Models and services that the owner may use; empty means all.
  std::vector<ModelId> models;
  std::vector<ServiceId> services;
};

/// A target, where it runs and what it offers.
struct TargetConfig {
  TargetId id;
  RegionId region;
  DataCentreId data_centre;
  TargetKind kind = TargetKind::kModels;
  std::uint32_t accelerators = 1;
  /// Memory of all accelerators of the target together.
  Bytes memory_bytes = 0;
  /// True if the engine rejects an order with an older fencing token.
  bool checks_fencing = true;
  /// The service of a target of kind `kService`.
  ServiceId service;
};

/// Limits of the weight store.
struct StoreLimits {
  double loads_per_second = 1.0;
  /// Model loads that may run at once at full speed.
  std::uint32_t parallel_loads = 1;
  /// Adapter loads that may be in flight before each one slows down.
  std::uint32_t parallel_adapter_loads = 25;
};

/// Limits of the platform's log.
struct LogLimits {
  double appends_per_second = 300.0;
  /// Age at which the log deletes a record.
  std::chrono::hours retention{168};
  /// How long an idempotency key is remembered; at most half of `retention`.
  std::chrono::hours key_retention{24};
};

/// The settings that operators control. Every process applies them as one
/// version.
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

/// One error in a configuration document.
struct ConfigError {
  /// Path of the value in the document, such as `models[3].weight_bytes`.
  std::string path;
  std::string problem;
  /// What the operator can do about it.
  std::string remedy;
};

/// All errors of a configuration document; the error type of
/// `ParseConfiguration` and `ApplyPatch`.
struct ConfigErrors {
  std::vector<ConfigError> errors;
};

/// Parses and validates a JSON document. On failure, returns a `ConfigErrors`
/// with every error found.
///
///     leaf::result<Configuration> parsed = ParseConfiguration(text);
[[nodiscard]] boost::leaf::result<Configuration> ParseConfiguration(
    std::string_view json);

/// Validates ids, references between sections and the retention limits.
/// Returns every error found.
[[nodiscard]] std::vector<ConfigError> CheckConfiguration(
    const Configuration& configuration);

/// Serializes to the canonical JSON form: equal configurations give the same
/// bytes.
[[nodiscard]] std::string ToJson(const Configuration& configuration);

/// The lookups by id return null if there is no such item.
[[nodiscard]] const ModelConfig* FindModel(const Configuration& configuration,
                                           const ModelId& id);
[[nodiscard]] const ServiceConfig* FindService(
    const Configuration& configuration,
    const ServiceId& id);
[[nodiscard]] const OperationConfig* FindOperation(const ServiceConfig& service,
                                                   const OperationId& id);
[[nodiscard]] const TargetConfig* FindTarget(const Configuration& configuration,
                                             const TargetId& id);
/// Returns the owner that has a token with this SHA-256, or null.
[[nodiscard]] const OwnerConfig* FindOwnerByTokenHash(
    const Configuration& configuration,
    std::string_view hash);
/// Returns whether the owner has access; an empty list grants access to all.
[[nodiscard]] bool MayUse(const OwnerConfig& owner, const ModelId& model);
[[nodiscard]] bool MayUse(const OwnerConfig& owner, const ServiceId& service);

/// Returns the name in the configuration document.
[[nodiscard]] std::string_view ToString(Priority priority);
/// Returns the name in the configuration document.
[[nodiscard]] std::string_view ToString(PlacementObjective objective);

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_CONFIG_H_
