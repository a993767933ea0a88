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

/// Why a request is refused, as its caller is told.
struct RequestError {
  Reason reason = Reason::kInternal;
  Executed executed = Executed::kNo;
  std::string detail;
  unsigned attempts = 0;
  std::chrono::milliseconds retry_after{};
};

/// A chat request after validation.
struct ChatRequest {
  ModelId model;
  AdapterId adapter;
  bool stream = false;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_tokens = 0;
  /// Prefixes of the prompt, shortest first.
  std::vector<PrefixBlock> prefix;
};

/// A call of a plain service after validation.
struct ServiceRequest {
  ServiceId service;
  OperationId operation;
  bool idempotent = false;
  std::string key;
};

/// A request on its way through the pipeline; each filter fills in its part.
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

/// One step of the pipeline: fills in the context or says why the request is
/// refused.
using FilterResult = std::optional<RequestError>;

/// Reads `Deadline-Ms` within the limits of the settings.
struct DeadlineFilter {
  const Settings& settings;
  FilterResult operator()(RequestContext& context) const;
};

/// Finds the owner by the token.
struct AuthenticateFilter {
  FilterResult operator()(RequestContext& context) const;
};

/// Reads the path, the headers and the body into a typed request.
struct ValidateFilter {
  FilterResult operator()(RequestContext& context) const;
};

/// Checks that the owner may use the model or service.
struct AuthorizeFilter {
  FilterResult operator()(RequestContext& context) const;
};

}  // namespace pimentospar

#endif  // SRC_ENTRY_REQUEST_H_
