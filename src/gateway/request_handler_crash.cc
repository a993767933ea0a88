#include <algorithm>
#include <boost/asio/error.hpp>
#include <iterator>

#include "gateway/request_handler.h"
#include "pimentospar/fingerprint.h"

// Whether the request crashes its targets.
namespace pimentospar {

namespace {

// A target that sends events for this long was not crashed by their request: it
// would have ended as it began to respond.
constexpr std::chrono::milliseconds kSurvivalTime{250};

}  // namespace

void RequestHandler::IdentifyRequest() {
  const auto& message = this->request.message;
  const WorkspaceId workspace =
      this->workspace == nullptr ? WorkspaceId() : this->workspace->id;
  std::vector<Fingerprint> parts;
  for (const Fingerprint part : this->meta.prompt_parts) {
    parts.push_back(FingerprintInWorkspace(part, workspace));
  }
  if (!parts.empty()) {
    this->fingerprints.assign(parts.begin(), std::prev(parts.end()));
  }
  std::ranges::copy(
      FingerprintsOfRequest({message.method_string(), this->route->host,
                             message.target(), *this->body, parts, workspace}),
      std::back_inserter(this->fingerprints));
}

bool RequestHandler::IsQuarantined() {
  if (!this->IsTrial() || this->send_count > 0) {
    this->admission = this->deps.crashes.Admit(this->fingerprints);
  }
  return std::holds_alternative<RefuseQuarantined>(this->admission);
}

bool RequestHandler::IsTrial() const {
  const auto* isolated = std::get_if<RunIsolated>(&this->admission);
  return isolated != nullptr && isolated->is_trial;
}

// A request that crashes its target does so as it begins to respond, so there
// is nothing left to prevent after that.
void RequestHandler::OnCausesChanged() {
  if (this->current_exchange == nullptr || this->HasTargetBegun() ||
      this->IsTrial()) {
    return;
  }
  if (this->IsQuarantined()) {
    this->current_exchange->Cancel();
  }
}

void RequestHandler::OnTargetEvent(std::optional<Duration> interval) {
  if (!interval) {
    this->OnFirstTargetEvent();
    return;
  }
  this->deps.targets.OnEvent(this->last_target, *interval);
  if (!this->survival_recorded && this->HasTargetSurvived()) {
    this->survival_recorded = true;
    this->deps.crashes.OnSurvived(this->fingerprints);
  }
}

bool RequestHandler::HasTargetBegun() const {
  const auto first_event_at = this->forwarder.TargetFirstEventAt();
  return first_event_at && *first_event_at >= this->last_sent_at;
}

bool RequestHandler::HasTargetSurvived() const {
  return this->HasTargetBegun() &&
         this->deps.clock.Now() - *this->forwarder.TargetFirstEventAt() >=
             kSurvivalTime;
}

bool RequestHandler::IsBrokenByTarget(const Attempt& attempt,
                                      AttemptStatus attempt_status) const {
  if (attempt_status != AttemptStatus::kUnknown || this->retry_reserved ||
      (attempt.reason != Reason::kTargetCrashed &&
       attempt.reason != Reason::kBrokenStream)) {
    return false;
  }
  return attempt.exchange->ReadError() != boost::asio::error::operation_aborted;
}

void RequestHandler::RecordSurvival(Attempt& attempt,
                                    AttemptStatus attempt_status) {
  if (attempt_status == AttemptStatus::kDelivered) {
    if (this->HasTargetSurvived() || !attempt.exchange->EndsWithConnection()) {
      this->deps.crashes.OnSurvived(this->fingerprints);
    }
    return;
  }
  if (!this->IsBrokenByTarget(attempt, attempt_status) ||
      this->HasTargetSurvived()) {
    return;
  }
  attempt.target_crashed = this->deps.crashes.OnConnectionBroken(
      attempt.target, this->last_sent_at, this->fingerprints);
}

}  // namespace pimentospar
