#include "pimentospar/quota/limit_publisher.h"

#include <algorithm>
#include <cmath>

namespace pimentospar {

namespace {

constexpr Duration kRepeatInterval = std::chrono::milliseconds(500);
constexpr Duration kMinInterval = std::chrono::milliseconds(100);
// At most 2,000 messages a second to all entries together.
constexpr Duration kIntervalPerEntry = std::chrono::microseconds(500);
// An empty list is sent this often, since datagrams are lost.
constexpr int kEmptyLists = 3;
constexpr double kConsiderableChange = 0.1;

double FractionOf(std::span<const QuotaLimit> limits,
                  const WorkspaceId& workspace) {
  const auto found =
      std::ranges::find(limits, workspace, &QuotaLimit::workspace);
  return found == limits.end() ? 1 : found->fraction;
}

bool DiffersFrom(std::span<const QuotaLimit> limits,
                 std::span<const QuotaLimit> others) {
  return std::ranges::any_of(limits, [others](const QuotaLimit& limit) {
    const double other = FractionOf(others, limit.workspace);
    return std::abs(limit.fraction - other) >
           kConsiderableChange * std::max(limit.fraction, other);
  });
}

}  // namespace

void LimitPublisher::Restart() {
  this->sent.clear();
  this->epoch = 0;
  this->empty_lists_left = kEmptyLists;
}

bool LimitPublisher::IsDue(std::span<const QuotaLimit> limits,
                           std::size_t entry_count) const {
  const Duration elapsed = this->clock.Now() - this->sent_at;
  const Duration min_interval = std::max(
      kMinInterval, Scale(kIntervalPerEntry, static_cast<double>(entry_count)));
  if (elapsed < min_interval) {
    return false;
  }
  if (limits.empty()) {
    return !this->sent.empty() || this->empty_lists_left > 0;
  }
  return elapsed >= kRepeatInterval || DiffersFrom(limits, this->sent) ||
         DiffersFrom(this->sent, limits);
}

bool LimitPublisher::Take(std::span<const QuotaLimit> limits,
                          std::size_t entry_count) {
  if (!this->IsDue(limits, entry_count)) {
    return false;
  }
  this->empty_lists_left = limits.empty() && this->sent.empty()
                               ? this->empty_lists_left - 1
                               : kEmptyLists - 1;
  this->sent.assign(limits.begin(), limits.end());
  this->sent_at = this->clock.Now();
  ++this->epoch;
  return true;
}

}  // namespace pimentospar
