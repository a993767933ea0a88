#include "agent/copy_use.h"

#include <algorithm>

namespace pimentospar {

std::uint64_t CopyUse::Mark() const {
  const std::lock_guard lock(this->mutex);
  return this->unloads;
}

void CopyUse::SetLoaded(const std::vector<ItemId>& items, std::uint64_t mark) {
  const std::lock_guard lock(this->mutex);
  if (mark != this->unloads) {
    return;
  }
  for (auto& [item, copy] : this->copies) {
    copy.loaded = false;
  }
  for (const ItemId& item : items) {
    // A new copy counts as used, so that it is not the first to go before the
    // attempt that it was loaded for has begun.
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

bool CopyUse::Begin(const ItemId& item) {
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

void CopyUse::End(const ItemId& item) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->copies.find(item);
  if (found != this->copies.end() && found->second.in_flight > 0) {
    --found->second.in_flight;
  }
}

bool CopyUse::Keep(const ItemId& item, Duration time) {
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

bool CopyUse::IsUnneeded(const Copy& copy) const {
  return copy.loaded && !copy.unloading && copy.in_flight == 0 &&
         copy.kept_until <= this->clock.Now();
}

std::vector<ItemId> CopyUse::Unneeded() const {
  const std::lock_guard lock(this->mutex);
  std::vector<ItemId> items;
  for (const auto& [item, copy] : this->copies) {
    if (this->IsUnneeded(copy)) {
      items.push_back(item);
    }
  }
  std::ranges::stable_sort(items, {}, [this](const ItemId& item) {
    return this->copies.at(item).last_used;
  });
  return items;
}

bool CopyUse::BeginUnload(const ItemId& item) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->copies.find(item);
  if (found == this->copies.end() || !this->IsUnneeded(found->second)) {
    return false;
  }
  found->second.unloading = true;
  return true;
}

void CopyUse::EndUnload(const ItemId& item, bool unloaded) {
  const std::lock_guard lock(this->mutex);
  ++this->unloads;
  const auto found = this->copies.find(item);
  if (found != this->copies.end()) {
    found->second.unloading = false;
    found->second.loaded = found->second.loaded && !unloaded;
  }
}

}  // namespace pimentospar
