#include "agent/load_grants.h"

#include <algorithm>

#include "net/log_line.h"

namespace pimentospar {

namespace {

constexpr std::chrono::seconds kGrantRequestTimeout{2};
// A grant whose end is never reported is closed after this many lifetimes. The
// agent that received it drops it after one lifetime; the second lifetime
// covers a load order that is still waiting at the engine.
constexpr int kOpenGrantLifetimes = 2;

bool IsSame(const StoreLimits& a, const StoreLimits& b) {
  return a.loads_per_second == b.loads_per_second &&
         a.parallel_loads == b.parallel_loads;
}

}  // namespace

const TargetConfig* FindFallbackShareOwner(const Configuration& configuration) {
  const auto found = std::ranges::find(
      configuration.targets, TargetKind::kModels, &TargetConfig::kind);
  return found == configuration.targets.end() ? nullptr : &*found;
}

FallbackShareOwner::FallbackShareOwner(Process& process)
    : process(process), started_at(process.clock.Now()) {
  this->options.lifetime = process.settings.grant_lifetime;
  this->options.transfer_time = this->options.lifetime / 2;
  this->options.planner_timeout = this->options.lifetime / 2;
}

void FallbackShareOwner::OnConfiguration(const Configuration& configuration) {
  const TargetConfig* owner = FindFallbackShareOwner(configuration);
  const bool is_owner =
      owner != nullptr && owner->id == TargetId(this->process.settings.target);
  const std::lock_guard lock(this->mutex);
  if (!this->limits || !IsSame(*this->limits, configuration.store)) {
    // A share with other limits starts like a new owner, so that all grants of
    // the old share have ended before the new one grants a load.
    this->limits = configuration.store;
    this->share = std::make_unique<FallbackShare>(
        this->process.clock, configuration.store, this->options);
    this->open_grant.reset();
  }
  this->share->SetOwner(is_owner);
}

std::optional<LoadGrant> FallbackShareOwner::TryGrant(
    const LoadRequest& request) {
  const std::lock_guard lock(this->mutex);
  if (this->share == nullptr) {
    return std::nullopt;
  }
  const TimePoint now = this->process.clock.Now();
  if (this->open_grant &&
      now >= this->open_grant->granted_at +
                 kOpenGrantLifetimes * this->options.lifetime) {
    this->share->OnLoadEnded(this->open_grant->id);
    this->open_grant.reset();
  }
  const auto id = this->share->TryGrant(
      {request.target, request.model, request.loaded_anywhere},
      this->started_at);
  if (!id) {
    return std::nullopt;
  }
  this->open_grant = OpenGrant{++this->grants_issued, *id, now};
  LogInfo("load_granted",
          {{"target", request.target.value}, {"model", request.model.value}});
  return LoadGrant{this->process.instance, this->grants_issued};
}

void FallbackShareOwner::OnLoadEnded(const LoadGrant& grant) {
  const std::lock_guard lock(this->mutex);
  if (this->open_grant && grant.instance == this->process.instance &&
      grant.number == this->open_grant->number) {
    this->share->OnLoadEnded(this->open_grant->id);
    this->open_grant.reset();
  }
}

std::optional<TimedLoadGrant> FallbackGrantClient::RequestGrant(
    const ModelId& model) {
  const ActiveConfigPtr active = this->process.config.Get();
  const TargetConfig* owner =
      active == nullptr ? nullptr
                        : FindFallbackShareOwner(active->configuration);
  if (owner == nullptr) {
    return std::nullopt;
  }
  const TargetId self(this->process.settings.target);
  const TimePoint requested_at = this->process.clock.Now();
  const LoadRequest request{self, model, false};
  std::optional<LoadGrant> grant;
  if (owner->id == self) {
    grant = this->share_owner.TryGrant(request);
  } else if (const auto address = this->peers.FindAgent(owner->id)) {
    grant = this->process.agents.RequestLoad(
        *address, request, requested_at + kGrantRequestTimeout);
  }
  if (!grant) {
    return std::nullopt;
  }
  const Duration lifetime = this->process.settings.grant_lifetime;
  return TimedLoadGrant{*grant, requested_at + lifetime / 2,
                        requested_at + lifetime};
}

void FallbackGrantClient::ReleaseGrant(const TimedLoadGrant& load) {
  const ActiveConfigPtr active = this->process.config.Get();
  const TargetConfig* owner =
      active == nullptr ? nullptr
                        : FindFallbackShareOwner(active->configuration);
  if (owner == nullptr) {
    return;
  }
  if (owner->id == TargetId(this->process.settings.target)) {
    this->share_owner.OnLoadEnded(load.grant);
  } else if (const auto address = this->peers.FindAgent(owner->id)) {
    this->process.agents.NotifyLoadEnded(*address, load.grant);
  }
}

}  // namespace pimentospar
