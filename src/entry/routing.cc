#include "entry/routing.h"

#include <algorithm>
#include <tuple>

#include "pimentospar/digest.h"

#include <algorithm>

namespace pimentospar {

namespace {

// With 600 targets the whole system asks each agent less than once a second.
// Enough for the newest reports to hold those of one fingerprint.
constexpr std::size_t kClearedReports = 16;
constexpr Duration kAskInterval = std::chrono::seconds(1);
// While requests wait for a load; 8 answers of about 500 bytes a second stay
// below the limit for control traffic of 6 KB/s.
constexpr Duration kWaitingAskInterval = std::chrono::milliseconds(125);
// Targets that have never reported and are asked at once.
constexpr std::size_t kMaxFirstAsks = 16;
// A waiting request holds a fiber, so others keep this part of the fibers.
constexpr std::size_t kWaitingShare = 4;

TargetChoiceOptions ChoiceOptions(const Settings& settings) {
  TargetChoiceOptions options;
  options.region = RegionId(settings.region);
  options.data_centre = DataCentreId(settings.data_centre);
  return options;
}

}  // namespace

ModelId ServiceAsModel(const ServiceId& service) {
  return ModelId("service:" + service.value);
}

AdapterId QualifiedAdapter(const ModelId& model, const AdapterId& adapter) {
  return adapter.IsEmpty() ? AdapterId()
                           : AdapterId(model.value + ":" + adapter.value);
}

Routing::Routing(Process& process)
    : process(process),
      picker(process.clock, process.random, ChoiceOptions(process.settings)),
      quarantine(process.clock),
      retries(process.clock, process.random) {}

void Routing::OnAgents(std::span<const KnownAgent> agents,
                       const Configuration& configuration) {
  const std::lock_guard lock(this->mutex);
  std::map<TargetId, Known> before = std::exchange(this->known, {});
  for (const KnownAgent& agent : agents) {
    const TargetConfig* config = FindTarget(configuration, agent.target);
    if (config == nullptr) {
      continue;
    }
    auto same = before.find(agent.target);
    const bool is_new = same == before.end() ||
                        same->second.agent.address != agent.address ||
                        (same->second.agent.is_leaving && !agent.is_leaving);
    if (is_new) {
      this->picker.OnTargetRemoved(agent.target);
      this->Add(agent, *config);
    } else {
      this->known.insert(before.extract(same));
    }
    before.erase(agent.target);
    Known& entry = this->known.at(agent.target);
    entry.agent = agent;
    if (agent.is_leaving) {
      this->picker.OnTargetLeaving(agent.target);
    }
  }
  for (const auto& [target, entry] : before) {
    this->picker.OnTargetRemoved(target);
  }
}

void Routing::Add(const KnownAgent& agent, const TargetConfig& config) {
  this->picker.OnTargetUpdated({agent.target, agent.region, agent.data_centre});
  const bool is_service = config.kind == TargetKind::kService;
  if (is_service) {
    this->picker.OnLoaded(agent.target,
                          {.models = {ServiceAsModel(config.service)}});
  }
  this->known[agent.target] = {.agent = agent, .is_service = is_service};
}

void Routing::OnLeaving(const TargetId& target) {
  const std::lock_guard lock(this->mutex);
  this->picker.OnTargetLeaving(target);
  const auto found = this->known.find(target);
  if (found != this->known.end()) {
    found->second.agent.is_leaving = true;
  }
}

void Routing::OnLoad(const TargetId& target, const TargetLoad& load) {
  const std::lock_guard lock(this->mutex);
  this->TakeLoad(target, load);
}

void Routing::TakeLoad(const TargetId& target, const TargetLoad& load) {
  const auto found = this->known.find(target);
  // Outcomes that this process made itself carry no load.
  if (found == this->known.end() || load.sequence == 0) {
    return;
  }
  found->second.heard = true;
  found->second.checked = this->process.clock.Now();
  found->second.free_bytes = load.free_kv_bytes;
  LoadReport report{.target = target,
                    .sequence = load.sequence,
                    .queued_work = load.queued_work};
  if (!found->second.is_service) {
    report.loaded = LoadedItems{load.models, load.adapters};
  }
  this->picker.OnLoadReport(report);
}

void Routing::OnOutcome(const TargetId& target, const OutcomeMessage& outcome) {
  const std::lock_guard lock(this->mutex);
  this->TakeLoad(target, outcome.load);
  if (!outcome.crashed_with.empty()) {
    this->quarantine.OnCrash(outcome.crash, outcome.crashed_with);
    for (const Fingerprint fingerprint : outcome.crashed_with) {
      this->process.SpreadStrike({fingerprint, outcome.crash});
    }
  }
}

void Routing::OnCacheUse(const TargetId& target,
                         const ModelId& model,
                         std::span<const PrefixBlock> prefix,
                         std::uint32_t cached_tokens) {
  const std::lock_guard lock(this->mutex);
  this->picker.OnCacheUse(target, model, prefix, cached_tokens);
}

TargetChoice Routing::Pick(const ChoiceRequest& request) {
  const std::lock_guard lock(this->mutex);
  return this->picker.Pick(request);
}

std::vector<KnownAgent> Routing::LoadCandidates(
    const ModelConfig& model) const {
  struct Candidate {
    bool lacks_room = false;
    bool is_remote = false;
    std::uint64_t order = 0;
    KnownAgent agent;
  };
  std::vector<Candidate> candidates;
  {
    const std::lock_guard lock(this->mutex);
    for (const auto& [target, known] : this->known) {
      if (known.is_service || known.agent.is_leaving) {
        continue;
      }
      candidates.push_back(
          {known.free_bytes < model.weight_bytes,
           known.agent.region != RegionId(this->process.settings.region),
           Hash64(target.value, Hash64(model.id.value)), known.agent});
    }
  }
  std::ranges::sort(candidates, {}, [](const Candidate& candidate) {
    return std::tuple(candidate.lacks_room, candidate.is_remote,
                      candidate.order);
  });
  std::vector<KnownAgent> agents;
  agents.reserve(candidates.size());
  for (Candidate& candidate : candidates) {
    agents.push_back(std::move(candidate.agent));
  }
  return agents;
}

bool Routing::HasCopy(const ModelId& model) const {
  const std::lock_guard lock(this->mutex);
  return this->picker.HasCopy(model);
}

void Routing::OnSent(const SentAttempt& sent) {
  const std::lock_guard lock(this->mutex);
  this->picker.OnSent(sent);
}

void Routing::OnEnd(AttemptId attempt, AttemptResult end) {
  const std::lock_guard lock(this->mutex);
  this->picker.OnEnd(attempt, end);
}

QuarantineDecision Routing::Judge(Fingerprint fingerprint) {
  const std::lock_guard lock(this->mutex);
  return this->quarantine.OnRequest(fingerprint);
}

void Routing::OnCompleted(Fingerprint fingerprint) {
  const std::lock_guard lock(this->mutex);
  const bool had_strike = this->quarantine.HasStrike(fingerprint);
  this->quarantine.OnCompleted(fingerprint);
  if (!had_strike) {
    return;
  }
  for (const StrikeReport& report : this->quarantine.Export(kClearedReports)) {
    if (report.fingerprint == fingerprint) {
      this->process.SpreadStrike(report);
    }
  }
}

void Routing::OnRequest() {
  const std::lock_guard lock(this->mutex);
  this->retries.OnRequest();
}

RetryDecision Routing::Decide(const FailedAttempt& failed) {
  const std::lock_guard lock(this->mutex);
  return this->retries.Decide(failed);
}

bool Routing::TryWait() {
  const std::lock_guard lock(this->mutex);
  if (this->waiting >= this->process.settings.requests / kWaitingShare) {
    return false;
  }
  ++this->waiting;
  return true;
}

void Routing::EndWait() {
  const std::lock_guard lock(this->mutex);
  --this->waiting;
}

std::vector<KnownAgent> Routing::TakeToAsk() {
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->process.clock.Now();
  std::vector<KnownAgent> agents;
  Known* oldest = nullptr;
  for (auto& [target, entry] : this->known) {
    if (entry.agent.is_leaving) {
      continue;
    }
    if (!entry.heard && agents.size() < kMaxFirstAsks &&
        now - entry.checked >= kAskInterval) {
      entry.checked = now;
      agents.push_back(entry.agent);
    } else if (!entry.is_service &&
               (oldest == nullptr || entry.checked < oldest->checked)) {
      oldest = &entry;
    }
  }
  const Duration interval =
      this->waiting > 0 ? kWaitingAskInterval : kAskInterval;
  if (oldest != nullptr && now - this->asked >= interval) {
    this->asked = now;
    oldest->checked = now;
    agents.push_back(oldest->agent);
  }
  return agents;
}

std::vector<ModelDemand> Routing::TakeDemand() {
  const std::lock_guard lock(this->mutex);
  return this->picker.TakeDemand();
}

void Routing::ImportStrikes(std::span<const StrikeReport> reports) {
  const std::lock_guard lock(this->mutex);
  this->quarantine.Import(reports);
}

std::vector<StrikeReport> Routing::ExportStrikes(std::size_t limit) const {
  const std::lock_guard lock(this->mutex);
  return this->quarantine.Export(limit);
}

}  // namespace pimentospar
