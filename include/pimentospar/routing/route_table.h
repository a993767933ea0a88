#ifndef INCLUDE_PIMENTOSPAR_ROUTING_ROUTE_TABLE_H_
#define INCLUDE_PIMENTOSPAR_ROUTING_ROUTE_TABLE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pimentospar/types.h"

namespace pimentospar {

/// What may be repeated on a route.
enum class RequestKind : std::uint8_t { kSafe, kUnsafe, kStream };

/// A service that takes a share of a route's requests.
struct WeightedService {
  ServiceId service;
  std::uint32_t weight = 1;
};

/// Requests of one host name and path prefix, and how they are served.
struct RouteSpec {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  RequestKind kind = RequestKind::kUnsafe;
  /// Longest time that a request may stay unanswered.
  std::chrono::milliseconds timeout{0};
  /// Time of the answer, or of the first event of a stream, that callers aim
  /// at.
  std::chrono::milliseconds latency_goal{0};
  std::vector<WeightedService> services;
  /// Targets at which one request may run.
  std::uint32_t max_attempts = 1;
  /// A stream may go on at another target after its last event.
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
  /// Time of a load from the weight store.
  std::chrono::milliseconds load_time{0};
  std::uint32_t adapter_count = 0;
  Bytes adapter_bytes = 0;
};

/// The engines of a service; all have the same size.
struct EngineSpec {
  /// Memory for weights and adapters.
  Bytes memory_bytes = 0;
  std::uint32_t adapter_slots = 0;
  /// Loads that the weight store allows for all engines together.
  double loads_per_second = 1;
  std::vector<ModelSpec> models;

  /// Returns nothing for an unknown model.
  [[nodiscard]] const ModelSpec* FindModel(const ModelId& model) const;
};

/// A service that targets register for.
struct ServiceSpec {
  ServiceId id;
  /// Set for services that run model engines.
  std::optional<EngineSpec> engine;
};

/// What a caller may send, and how long it may take.
struct CallerLimits {
  std::uint32_t max_header_bytes = 16384;
  std::uint64_t max_body_bytes = 1 << 20;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

/// A whole configuration of routes and services.
struct RoutingConfig {
  ConfigVersion version;
  std::vector<RouteSpec> routes;
  std::vector<ServiceSpec> services;
  CallerLimits limits;
};

/// Finds the route of a request in one configuration.
class RouteTable {
 public:
  explicit RouteTable(RoutingConfig config);

  /// Returns the route with the longest prefix of `path` among those of `host`,
  /// without regard to a port in `host`; nothing if there is none.
  [[nodiscard]] const RouteSpec* Match(std::string_view host,
                                       std::string_view path) const;
  [[nodiscard]] const ServiceSpec* FindService(const ServiceId& service) const;
  [[nodiscard]] const RoutingConfig& Config() const { return this->config; }

 private:
  RoutingConfig config;
};

/// Returns the service for a number drawn from [0, 1); nothing if no service of
/// the route has a weight.
[[nodiscard]] const ServiceId* ChooseService(const RouteSpec& route,
                                             double draw);

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ROUTING_ROUTE_TABLE_H_
