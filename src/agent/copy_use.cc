#include "agent/copy_use.h"

#include <algorithm>

namespace pimentospar {

std::uint64_t CopyUse::Mark() const {
  const std::lock_guard lock(this->mutex);
  return this->unloads;
}

void CopyUse::SetLoaded(const std::vector<ModelId>& models,
                        std::uint64_t mark) {
  const std::lock_guard lock(this->mutex);
  if (mark != this->unloads) {
    return;
  }
  for (auto& [model, copy] : this->copies) {
    copy.loaded = false;
  }
  for (const ModelId& model : models) {
    this->copies[model].loaded = true;
  }
  std::erase_if(this->copies, [](const auto& entry) {
    const Copy& copy = entry.second;
    return !copy.loaded && !copy.unloading && copy.in_flight == 0;
  });
}

bool CopyUse::Begin(const ModelId& model) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->copies.find(model);
  if (found == this->copies.end() || !found->second.loaded ||
      found->second.unloading) {
    return false;
  }
  ++found->second.in_flight;
  found->second.last_used = this->clock.Now();
  return true;
}

void CopyUse::End(const ModelId& model) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->copies.find(model);
  if (found != this->copies.end() && found->second.in_flight > 0) {
    --found->second.in_flight;
  }
}

bool CopyUse::Keep(const ModelId& model, Duration time) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->copies.find(model);
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

std::vector<ModelId> CopyUse::Unneeded() const {
  const std::lock_guard lock(this->mutex);
  std::vector<ModelId> models;
  for (const auto& [model, copy] : this->copies) {
    if (this->IsUnneeded(copy)) {
      models.push_back(model);
    }
  }
  std::ranges::stable_sort(models, {}, [this](const ModelId& model) {
    return this->copies.at(model).last_used;
  });
  return models;
}

bool CopyUse::BeginUnload(const ModelId& model) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->copies.find(model);
  if (found == this->copies.end() || !this->IsUnneeded(found->second)) {
    return false;
  }
  found->second.unloading = true;
  return true;
}

void CopyUse::EndUnload(const ModelId& model, bool unloaded) {
  const std::lock_guard lock(this->mutex);
  ++this->unloads;
  const auto found = this->copies.find(model);
  if (found != this->copies.end()) {
    found->second.unloading = false;
    found->second.loaded = found->second.loaded && !unloaded;
  }
}

}  // namespace pimentospar
