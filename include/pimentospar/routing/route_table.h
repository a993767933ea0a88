#ifndef INCLUDE_PIMENTOSPAR_ROUTING_ROUTE_TABLE_H_
#define INCLUDE_PIMENTOSPAR_ROUTING_ROUTE_TABLE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pimentospar/access/key_table.h"
#include "pimentospar/access/workspace.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// Whether a request of a route may run more than once.
enum class RequestKind : std::uint8_t {
  kSafe,
  kUnsafe,
  /// Streams may run more than once if the route is resumable.
  kStream
};

/// A service that receives a share of a route's requests.
struct WeightedService {
  ServiceId service;
  std::uint32_t weight = 1;
};

/// A route: matches requests by host name and path prefix, and determines how
/// they are served.
struct RouteSpec {
  std::string name;
  std::string host;
  /// Starts and ends with a slash.
  std::string path_prefix;
  RequestKind kind = RequestKind::kUnsafe;
  /// Longest time from the arrival of a request to the end of its response.
  std::chrono::milliseconds timeout{0};
  /// Latency that callers aim at: time to the response, or to the first event
  /// of a stream.
  std::chrono::milliseconds latency_goal{0};
  /// Longest pause between the events of a stream that its callers accept; 0 if
  /// the route names none.
  std::chrono::milliseconds max_pause{0};
  /// Rank of its requests, 0 is the most urgent.
  std::uint32_t priority = 0;
  /// False if requests need no key although the configuration has workspaces.
  bool requires_key = true;
  std::vector<WeightedService> services;
  /// Maximum number of targets at which one request may run.
  std::uint32_t max_attempts = 1;
  /// True if a stream can resume at another target after its last event.
  bool resumable = false;

  /// Returns whether a request may run more than once.
  [[nodiscard]] bool IsRepeatable() const {
    return this->kind == RequestKind::kSafe ||
           (this->kind == RequestKind::kStream && this->resumable);
  }
};

/// A model that the engines of a service can load.
struct ModelSpec {
  ModelId id;
  Bytes weight_bytes = 0;
  /// Duration of a load from the weight store.
  std::chrono::milliseconds load_time{0};
  std::uint32_t adapter_count = 0;
  Bytes adapter_bytes = 0;
};

/// The engines of a service, which are all of the same size.
struct EngineSpec {
  /// Memory of one engine for weights and adapters.
  Bytes memory_bytes = 0;
  std::uint32_t adapter_slots = 0;
  /// Rate of loads that the weight store allows for all engines together.
  double loads_per_second = 1;
  /// Tokens that the KV cache of one engine holds; 0 if unknown.
  std::uint32_t kv_capacity_tokens = 0;
  /// Output tokens in one event of a stream.
  std::uint32_t tokens_per_event = 1;
  std::vector<ModelSpec> models;

  /// Returns null for an unknown model.
  [[nodiscard]] const ModelSpec* FindModel(const ModelId& model) const;
};

/// A service that targets can register for.
struct ServiceSpec {
  ServiceId id;
  /// Set for services whose targets are engines.
  std::optional<EngineSpec> engine;
};

/// Limits on the size of requests and on the time that a caller may take.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16384;
  std::uint64_t max_body_bytes = 1 << 20;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

/// A complete configuration of routes and services.
struct RoutingConfig {
  ConfigVersion version;
  std::vector<RouteSpec> routes;
  std::vector<ServiceSpec> services;
  CallerLimits limits;
  /// If there are any, requests need the key of one of them.
  std::vector<WorkspaceSpec> workspaces;
};

/// Looks up routes and services in one configuration.
class RouteTable {
 public:
  explicit RouteTable(RoutingConfig config);

  /// Returns the route of `host` with the longest prefix that matches `path`,
  /// or null. Ignores the case and the port of `host`.
  [[nodiscard]] const RouteSpec* Match(std::string_view host,
                                       std::string_view path) const;
  /// Returns null for an unknown service.
  [[nodiscard]] const ServiceSpec* FindService(const ServiceId& service) const;
  /// Returns the workspace that a key belongs to, or null.
  [[nodiscard]] const WorkspaceSpec* FindWorkspace(
      const KeyDigest& digest) const;
  [[nodiscard]] const RoutingConfig& Config() const { return this->config; }

 private:
  RoutingConfig config;
  KeyTable keys;
};

/// Selects a service in proportion to its weight; `draw` is a random number in
/// [0, 1). Returns null if no service of the route has a weight.
[[nodiscard]] const ServiceId* ChooseService(const RouteSpec& route,
                                             double draw);

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ROUTING_ROUTE_TABLE_H_
