#include "agent/copy_use_tracker.h"

#include <algorithm>

namespace pimentospar {

std::uint64_t CopyUseTracker::UnloadCount() const {
  const std::lock_guard lock(this->mutex);
  return this->unload_count;
}

void CopyUseTracker::SetLoaded(const std::vector<ItemId>& items,
                               std::uint64_t unload_count) {
  const std::lock_guard lock(this->mutex);
  if (unload_count != this->unload_count) {
    return;
  }
  for (auto& [item, copy] : this->copies) {
    copy.loaded = false;
  }
  for (const ItemId& item : items) {
    // A new copy counts as just used, so that it is not the first one to be
    // unloaded before the attempt that it was loaded for has started.
    const auto [copy, is_new] = this->copies.try_emplace(item);
    copy->second.loaded = true;
    if (is_new) {
      copy->second.last_used = this->clock.Now();
    }
  }
  std::erase_if(this->copies, [](const auto& entry) {
    const Copy& copy = entry.second;
    return !copy.loaded && !copy.unloading && copy.in_flight == 0;
  });
}

bool CopyUseTracker::BeginUse(const ItemId& item) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->copies.find(item);
  if (found == this->copies.end() || !found->second.loaded ||
      found->second.unloading) {
    return false;
  }
  ++found->second.in_flight;
  found->second.last_used = this->clock.Now();
  return true;
}

void CopyUseTracker::EndUse(const ItemId& item) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->copies.find(item);
  if (found != this->copies.end() && found->second.in_flight > 0) {
    --found->second.in_flight;
  }
}

bool CopyUseTracker::KeepFor(const ItemId& item, Duration time) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->copies.find(item);
  if (found == this->copies.end() || !found->second.loaded ||
      found->second.unloading) {
    return false;
  }
  Copy& copy = found->second;
  copy.kept_until = std::max(copy.kept_until, this->clock.Now() + time);
  return true;
}

bool CopyUseTracker::CanUnload(const Copy& copy) const {
  return copy.loaded && !copy.unloading && copy.in_flight == 0 &&
         copy.kept_until <= this->clock.Now();
}

std::vector<ItemId> CopyUseTracker::UnloadCandidates() const {
  const std::lock_guard lock(this->mutex);
  std::vector<ItemId> items;
  for (const auto& [item, copy] : this->copies) {
    if (this->CanUnload(copy)) {
      items.push_back(item);
    }
  }
  std::ranges::stable_sort(items, {}, [this](const ItemId& item) {
    return this->copies.at(item).last_used;
  });
  return items;
}

bool CopyUseTracker::BeginUnload(const ItemId& item) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->copies.find(item);
  if (found == this->copies.end() || !this->CanUnload(found->second)) {
    return false;
  }
  found->second.unloading = true;
  return true;
}

void CopyUseTracker::EndUnload(const ItemId& item, bool unloaded) {
  const std::lock_guard lock(this->mutex);
  ++this->unload_count;
  const auto found = this->copies.find(item);
  if (found != this->copies.end()) {
    found->second.unloading = false;
    found->second.loaded = found->second.loaded && !unloaded;
  }
}

}  // namespace pimentospar
