#ifndef SRC_ENTRY_REQUEST_H_
#define SRC_ENTRY_REQUEST_H_

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "control/active_config.h"
#include "daemon/settings.h"
#include "net/http_server.h"
#include "pimentospar/clock.h"
#include "pimentospar/config.h"
#include "pimentospar/prefix_cache_estimate.h"

namespace pimentospar {

/// The error that the caller of a refused or failed request receives.
struct RequestError {
  Reason reason = Reason::kInternal;
  Executed executed = Executed::kNo;
  std::string detail;
  unsigned attempts = 0;
  std::chrono::milliseconds retry_after{};
};

/// A validated chat request.
struct ChatRequest {
  ModelId model;
  AdapterId adapter;
  bool stream = false;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_tokens = 0;
  /// Prefixes of the prompt, shortest first.
  std::vector<PrefixBlock> prefix;
};

/// A validated call of a service operation.
struct ServiceRequest {
  ServiceId service;
  OperationId operation;
  bool idempotent = false;
  std::string key;
};

/// State of a request; each filter of the pipeline sets a part of it.
struct RequestContext {
  std::shared_ptr<HttpExchange> exchange;
  ActiveConfigPtr config;
  TimePoint received;
  TimePoint deadline;
  OwnerId owner;
  Priority priority = Priority::kNormal;
  Fingerprint fingerprint;
  std::variant<std::monostate, ChatRequest, ServiceRequest> request;
};

/// Result of a filter: the error if it refuses the request.
using FilterResult = std::optional<RequestError>;

/// Sets the deadline from the header `Deadline-Ms`, limited by the settings.
struct DeadlineFilter {
  const Settings& settings;
  FilterResult operator()(RequestContext& context) const;
};

/// Sets the owner that the bearer token belongs to.
struct AuthenticateFilter {
  FilterResult operator()(RequestContext& context) const;
};

/// Parses the path, the headers and the body into a `ChatRequest` or a
/// `ServiceRequest`.
struct ValidateFilter {
  FilterResult operator()(RequestContext& context) const;
};

/// Checks that the owner may use the model or service.
struct AuthorizeFilter {
  FilterResult operator()(RequestContext& context) const;
};

}  // namespace pimentospar

#endif  // SRC_ENTRY_REQUEST_H_
