#include "pimentospar/quota/quota_limiter.h"

#include <algorithm>
#include <cmath>

namespace pimentospar {

namespace {

// The lease holder sends a message at least every 650 ms, of which some are
// lost.
constexpr Duration kHolderTimeout = std::chrono::milliseconds(1200);
// The lease holder repeats its limits every 500 ms, and needs some time for the
// first ones after it has gained the lease.
constexpr Duration kLimitsTimeout = std::chrono::milliseconds(3000);
// A new lease holder sends its first limits within this time.
constexpr Duration kFirstLimitsTime = std::chrono::milliseconds(2000);
// Without the lease holder, an entry may pass on this many times as much per
// second as before.
constexpr double kUnsupervisedGrowth = 1.2;
// Part of a burst that all entries together may use without a lease holder.
constexpr double kUnsupervisedBurstShare = 0.5;
// If no other entry becomes the lease holder within this time, this entry is
// likely cut off from it, and the others use the whole quota.
constexpr Duration kTakeoverTime = std::chrono::milliseconds(3200);
constexpr double kCutOffShare = 0.25;
// Part of a quota that may be used up within its window: an entry that has not
// heard of a lease holder since its start does not know what was sent before.
constexpr double kUnknownUsageShare = 0.5;
// The limits of the last lease holder count for a new one for this time.
constexpr Duration kLimitsMemoryTime = std::chrono::seconds(6);
constexpr Duration kSentMeanTime = std::chrono::seconds(2);
constexpr Duration kLocalBurstTime = std::chrono::milliseconds(250);
// Weight of earlier deviations from the fraction in the next draw, so that the
// admitted part varies less than with independent draws.
constexpr double kCreditGain = 0.3;
constexpr double kMaxCredit = 2;
// Mean of the time after which a refused caller tries again, at full admission.
constexpr double kRetrySeconds = 0.5;
constexpr double kMinMeanRetrySeconds = 1;
constexpr double kMaxMeanRetrySeconds = 2;
// The drawn time lies between this and 2 - this times the mean.
constexpr double kRetrySpread = 0.5;

double Decay(Duration elapsed) {
  return std::exp(-Seconds(elapsed) / Seconds(kSentMeanTime));
}

}  // namespace

void QuotaLimiter::OnConfig(std::span<const WorkspaceSpec> workspaces) {
  std::map<WorkspaceId, State> kept;
  for (const WorkspaceSpec& workspace : workspaces) {
    if (!workspace.quota) {
      continue;
    }
    const auto known = this->states.find(workspace.id);
    kept[workspace.id] = known == this->states.end() ? State{} : known->second;
  }
  this->states = std::move(kept);
}

void QuotaLimiter::OnHolderMessage() {
  const TimePoint now = this->clock.Now();
  if (this->IsHolderSilent(now)) {
    this->holder_known_since = now;
  }
  this->holder_message_at = now;
}

void QuotaLimiter::OnLimits(std::span<const QuotaLimit> limits) {
  this->limits_at = this->clock.Now();
  this->has_limits = !limits.empty();
  for (auto& [id, state] : this->states) {
    const auto limit = std::ranges::find(limits, id, &QuotaLimit::workspace);
    state.fraction =
        limit == limits.end() ? 1 : std::clamp(limit->fraction, 0.0, 1.0);
  }
}

bool QuotaLimiter::IsHolderSilent(TimePoint now) const {
  return !this->holder_message_at ||
         now - *this->holder_message_at > kHolderTimeout;
}

bool QuotaLimiter::IsCutOff(TimePoint now) const {
  return this->holder_message_at &&
         now - *this->holder_message_at > kTakeoverTime;
}

bool QuotaLimiter::IsUnsupervised(TimePoint now) const {
  return this->IsHolderSilent(now) ||
         (this->limits_at < this->holder_known_since &&
          now - this->holder_known_since < kFirstLimitsTime);
}

void QuotaLimiter::DropOldLimits(TimePoint now) {
  if (this->has_limits && !this->IsHolderSilent(now) &&
      now - std::max(this->limits_at, this->holder_known_since) >
          kLimitsTimeout) {
    this->OnLimits({});
  }
}

// A random draw is blind to the size of the request. The credit only counts
// requests.
bool QuotaLimiter::DrawAdmission(State& state) {
  if (state.fraction >= 1) {
    return true;
  }
  const double probability = state.fraction + kCreditGain * state.credit;
  const bool admitted = this->random.NextDouble() < probability;
  state.credit = std::clamp(state.credit + state.fraction - (admitted ? 1 : 0),
                            -kMaxCredit, kMaxCredit);
  return admitted;
}

bool QuotaLimiter::TakeLocally(State& state,
                               const WorkspaceQuota& quota,
                               double units,
                               TimePoint now) {
  const double used_elsewhere =
      this->holder_message_at ? 0 : kUnknownUsageShare;
  const double share =
      (1 - used_elsewhere) * quota.per_second /
      static_cast<double>(std::max<std::size_t>(this->entry_count, 1));
  if (!state.bucket) {
    const double sent = state.sent_per_second * Decay(now - state.sent_at);
    // All entries start their buckets at the same time. The random debt keeps
    // them from passing on first requests together, beyond a part of the burst
    // of a workspace that was within its quota.
    const double credit = this->holder_message_at && state.fraction >= 1
                              ? kUnsupervisedBurstShare * quota.burst /
                                    static_cast<double>(std::max<std::size_t>(
                                        this->entry_count, 1))
                              : 0;
    const double debt = units * this->random.NextDouble() - credit;
    state.bucket = LocalBucket{std::max(share, kUnsupervisedGrowth * sent),
                               -std::max(debt, 0.0), now};
  }
  LocalBucket& bucket = *state.bucket;
  if (this->IsCutOff(now)) {
    bucket.per_second = std::min(bucket.per_second, kCutOffShare * share);
  }
  bucket.balance = std::min(
      bucket.balance + bucket.per_second * Seconds(now - bucket.updated_at),
      bucket.per_second * Seconds(kLocalBurstTime));
  bucket.updated_at = now;
  if (bucket.balance < 0) {
    return false;
  }
  bucket.balance -= units;
  return true;
}

Duration QuotaLimiter::DrawRetryAfter(const State& state) {
  const double mean = std::clamp(kRetrySeconds / std::max(state.fraction, 0.01),
                                 kMinMeanRetrySeconds, kMaxMeanRetrySeconds);
  const double factor =
      kRetrySpread + 2 * (1 - kRetrySpread) * this->random.NextDouble();
  return Scale(std::chrono::seconds(1), mean * factor);
}

QuotaDecision QuotaLimiter::Charge(const WorkspaceSpec& workspace,
                                   double units) {
  if (!workspace.quota) {
    return QuotaGranted{};
  }
  const TimePoint now = this->clock.Now();
  this->DropOldLimits(now);
  State& state = this->states[workspace.id];
  state.counts.asked += units;
  ++state.counts.requests;
  const bool unsupervised = this->IsUnsupervised(now);
  if (!unsupervised) {
    state.bucket.reset();
  }
  const bool admitted =
      this->DrawAdmission(state) &&
      (!unsupervised || this->TakeLocally(state, *workspace.quota, units, now));
  if (admitted) {
    return QuotaGranted{};
  }
  state.counts.refused += units;
  return QuotaExceeded{this->DrawRetryAfter(state)};
}

void QuotaLimiter::OnSent(const WorkspaceId& workspace, double units) {
  const auto found = this->states.find(workspace);
  if (found == this->states.end()) {
    return;
  }
  State& state = found->second;
  const TimePoint now = this->clock.Now();
  state.counts.sent += units;
  state.sent_per_second = state.sent_per_second * Decay(now - state.sent_at) +
                          units / Seconds(kSentMeanTime);
  state.sent_at = now;
}

std::vector<WorkspaceId> QuotaLimiter::WorkspacesWithinQuota() const {
  std::vector<WorkspaceId> within_quota;
  if (!this->holder_message_at ||
      this->clock.Now() - *this->holder_message_at > kLimitsMemoryTime) {
    return within_quota;
  }
  for (const auto& [id, state] : this->states) {
    if (state.fraction >= 1) {
      within_quota.push_back(id);
    }
  }
  return within_quota;
}

const QuotaCounts* QuotaLimiter::Find(const WorkspaceId& workspace) const {
  const auto found = this->states.find(workspace);
  return found == this->states.end() ? nullptr : &found->second.counts;
}

double RequestUnits(const WorkspaceQuota& quota, std::optional<double> tokens) {
  if (quota.unit == QuotaUnit::kRequests) {
    return 1;
  }
  return tokens.value_or(quota.plain_request_tokens);
}

}  // namespace pimentospar
