#include <algorithm>

#include "gateway/request_handler.h"

// The selection of a target, and the wait for a missing copy.
namespace pimentospar {

namespace {

// A waiting request checks the targets at least this often; a change wakes it
// earlier.
constexpr std::chrono::milliseconds kTargetPollInterval{100};
// An adapter is loaded within milliseconds of the order. A longer wait than
// this means that no process is sending orders.
constexpr std::chrono::milliseconds kMaxAdapterWait{1500};
constexpr std::chrono::milliseconds kMaxModelWait{4000};
// A request waits for the load of a copy at most for its own time limit divided
// by this.
constexpr int kLoadWaitDivisor = 2;
// An overload rarely ends sooner than this; a longer wait would only delay the
// refusal.
constexpr std::chrono::milliseconds kMaxOverloadWait{200};

// Returns what a load would have to bring so that a target could take the
// request; nothing if no load helps.
std::optional<CopyNotLoaded> MissingCopy(const TargetSelection& selection) {
  if (const auto* limited = std::get_if<AllTargetsLimited>(&selection)) {
    return limited->other_targets;
  }
  const auto* missing = std::get_if<CopyNotLoaded>(&selection);
  return missing == nullptr ? std::nullopt : std::optional(*missing);
}

}  // namespace

std::optional<SelectedTarget> RequestHandler::SelectTarget() {
  std::optional<CopyWait> wait;
  while (!this->channel.IsDisconnected() &&
         this->RemainingTime() > kMinAttemptTime && !this->IsQuarantined()) {
    const TargetQuery query = this->BuildQuery();
    this->RecordCopyDemand(query);
    TargetSelection selection = this->deps.targets.Select(query);
    if (auto* selected = std::get_if<SelectedTarget>(&selection)) {
      if (!selected->rate_limit || this->AcquirePermit(*selected)) {
        return std::move(*selected);
      }
      continue;
    }
    this->last_selection = selection;
    if (std::holds_alternative<AllTargetsOverloaded>(selection)) {
      if (!this->WaitForTargetChange(kMaxOverloadWait)) {
        return std::nullopt;
      }
      continue;
    }
    const auto missing = MissingCopy(selection);
    if (!missing || !this->WaitForCopy(missing->model_loaded, wait)) {
      return std::nullopt;
    }
  }
  return std::nullopt;
}

Duration RequestHandler::MaxLoadWait(bool model_loaded) const {
  const Duration limit = model_loaded ? kMaxAdapterWait : kMaxModelWait;
  return std::min(limit,
                  (this->deadline - this->received_at) / kLoadWaitDivisor);
}

bool RequestHandler::WaitForCopy(bool model_loaded,
                                 std::optional<CopyWait>& wait) {
  const Duration max_wait = this->MaxLoadWait(model_loaded);
  if (this->send_count >= kMaxSends ||
      this->deps.clock.Now() >= this->received_at + max_wait) {
    return false;
  }
  const ServiceCopy copy{
      this->service,
      model_loaded ? this->meta.copy : CopyRef{this->meta.copy.model, {}}};
  if (!wait || wait->Copy() != copy) {
    wait.emplace(this->deps.copy_demand, copy);
  }
  return this->WaitForTargetChange(max_wait);
}

// Waits for a change of the known targets. Returns false if the request was
// received more than `max_wait` ago.
bool RequestHandler::WaitForTargetChange(Duration max_wait) {
  const Duration left = this->received_at + max_wait - this->deps.clock.Now();
  if (left <= Duration(0)) {
    return false;
  }
  (void)this->deps.targets_changed.WaitFor(
      std::min<Duration>(left, kTargetPollInterval));
  return true;
}

}  // namespace pimentospar
