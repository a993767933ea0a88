#include "pimentospar/completion_times.h"

namespace pimentospar {

void CompletionTimes::OnCompleted(Fingerprint fingerprint, TimePoint now) {
  const auto found = this->index.find(fingerprint);
  if (found != this->index.end()) {
    found->second->at = now;
    this->completions.splice(this->completions.begin(), this->completions,
                             found->second);
    return;
  }
  if (this->index.size() >= this->max_count) {
    this->index.erase(this->completions.back().fingerprint);
    this->completions.pop_back();
  }
  this->completions.push_front({fingerprint, now});
  this->index.emplace(fingerprint, this->completions.begin());
}

std::optional<TimePoint> CompletionTimes::Last(Fingerprint fingerprint) const {
  const auto found = this->index.find(fingerprint);
  return found == this->index.end() ? std::nullopt
                                    : std::optional(found->second->at);
}

}  // namespace pimentospar
