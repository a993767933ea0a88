#include "pimentospar/routing/target_limits.h"

#include <algorithm>
#include <functional>

namespace pimentospar {

namespace {

// A target that nobody sends requests to cannot say that its limit has ended.
constexpr std::chrono::minutes kRetention{5};
constexpr std::chrono::seconds kExpiryInterval{1};

}  // namespace

void TargetLimits::OnResponse(const TargetId& target,
                              std::int64_t started_ms,
                              std::optional<double> per_second) {
  if (!per_second && !this->limits.contains(target)) {
    return;
  }
  const TimePoint now = this->clock.Now();
  this->Update(target, {started_ms, per_second, now, now});
}

void TargetLimits::Update(const TargetId& target, const Limit& update) {
  this->DropExpired();
  const auto [entry, is_new] = this->limits.try_emplace(target, update);
  Limit& known = entry->second;
  if (is_new) {
    this->version += update.per_second ? 1 : 0;
    return;
  }
  const bool is_older = update.started_ms < known.started_ms ||
                        (update.started_ms == known.started_ms &&
                         update.confirmed_at <= known.confirmed_at);
  if (is_older) {
    return;
  }
  const bool is_changed = update.per_second != known.per_second;
  const TimePoint changed_at =
      is_changed ? update.changed_at : known.changed_at;
  known = update;
  known.changed_at = changed_at;
  this->version += is_changed ? 1 : 0;
}

void TargetLimits::DropExpired() {
  const TimePoint now = this->clock.Now();
  if (now - this->dropped_at < kExpiryInterval) {
    return;
  }
  this->dropped_at = now;
  std::erase_if(this->limits, [now](const auto& entry) {
    return now - entry.second.confirmed_at >= kRetention;
  });
}

void TargetLimits::Import(std::span<const TargetLimitReport> reports) {
  const TimePoint now = this->clock.Now();
  for (const TargetLimitReport& report : reports) {
    if (report.age < std::chrono::milliseconds(0) || report.age >= kRetention) {
      continue;
    }
    this->Update(report.target,
                 {report.started_ms, report.per_second, now - report.age, now});
  }
}

std::vector<TargetLimitReport> TargetLimits::Export(
    std::size_t limit,
    RandomSource& random) const {
  using Entry = std::pair<const TargetId, Limit>;
  std::vector<const Entry*> order;
  for (const Entry& entry : this->limits) {
    order.push_back(&entry);
  }
  std::ranges::sort(order, std::greater(), [](const Entry* entry) {
    return entry->second.changed_at;
  });
  const std::size_t newest = std::min(limit / 2, order.size());
  DrawToFront(std::span(order).subspan(newest), limit - newest, random);
  order.resize(std::min(limit, order.size()));
  const TimePoint now = this->clock.Now();
  std::vector<TargetLimitReport> reports;
  for (const Entry* entry : order) {
    const Limit& known = entry->second;
    reports.push_back({entry->first, known.started_ms, known.per_second,
                       std::chrono::duration_cast<std::chrono::milliseconds>(
                           now - known.confirmed_at)});
  }
  return reports;
}

std::optional<double> TargetLimits::Find(const TargetId& target,
                                         std::int64_t started_ms) const {
  const auto found = this->limits.find(target);
  if (found == this->limits.end() || found->second.started_ms != started_ms) {
    return std::nullopt;
  }
  return found->second.per_second;
}

bool TargetLimits::HasLimits() const {
  return std::ranges::any_of(this->limits, [](const auto& entry) {
    return entry.second.per_second.has_value();
  });
}

}  // namespace pimentospar
