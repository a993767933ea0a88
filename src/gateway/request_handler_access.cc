#include "gateway/request_handler.h"

// The workspace of a request, its quota and its rank.
namespace pimentospar {

namespace {

constexpr unsigned kUnauthorizedStatus = 401;
constexpr unsigned kUnavailable = 503;

}  // namespace

std::optional<AccessDenied> RequestHandler::Authenticate() {
  const AccessDecision decision =
      this->deps.access.Check(*this->table, *this->route, this->meta.api_key);
  this->meta.api_key.clear();
  if (const auto* denied = std::get_if<AccessDenied>(&decision)) {
    return *denied;
  }
  const auto& granted = std::get<AccessGranted>(decision);
  this->workspace = granted.workspace;
  if (granted.workspace != nullptr && granted.workspace->quota &&
      granted.charged) {
    const auto tokens =
        this->meta.has_token_counts
            ? std::optional(static_cast<double>(this->meta.prompt_tokens) +
                            this->meta.max_tokens)
            : std::nullopt;
    this->charged_units = RequestUnits(*granted.workspace->quota, tokens);
  }
  return std::nullopt;
}

std::optional<QuotaExceeded> RequestHandler::Charge() {
  if (this->charged_units <= 0) {
    return std::nullopt;
  }
  const QuotaDecision decision =
      this->deps.quotas.Charge(*this->workspace, this->charged_units);
  if (const auto* exceeded = std::get_if<QuotaExceeded>(&decision)) {
    return *exceeded;
  }
  return std::nullopt;
}

bool RequestHandler::RefuseAccess(const AccessDenied& denied) {
  const bool is_unauthorized = denied.reason == Reason::kUnauthorized;
  // Another entry may be able to serve the caller.
  this->request.close_after = this->request.close_after || !is_unauthorized;
  return this->Refuse(is_unauthorized ? kUnauthorizedStatus : kUnavailable,
                      denied.reason, denied.retry_after);
}

std::uint32_t RequestHandler::Rank() const {
  if (this->workspace != nullptr && this->workspace->priority) {
    return *this->workspace->priority;
  }
  return this->route->priority;
}

std::optional<std::uint32_t> RequestHandler::TargetPriority() const {
  if (!this->UsesQueue()) {
    return std::nullopt;
  }
  return this->Rank();
}

}  // namespace pimentospar
