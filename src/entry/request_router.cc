#include "entry/request_router.h"

#include <algorithm>
#include <tuple>

#include "pimentospar/digest.h"

#include <algorithm>

namespace pimentospar {

namespace {

// Enough for the newest strike reports to include those of the completed
// request.
constexpr std::size_t kRecentStrikeReports = 16;
// With 600 targets, all entries together poll each agent less than once a
// second.
constexpr Duration kLoadPollInterval = std::chrono::seconds(1);
// Used while requests wait for a load; 8 answers of about 500 bytes per second
// stay below the control traffic limit of 6 KB/s.
constexpr Duration kLoadPollIntervalWhileWaiting =
    std::chrono::milliseconds(125);
// Number of targets without a report that are polled at once.
constexpr std::size_t kMaxFirstPolls = 16;
// A waiting request holds a fiber, so at most one in four fibers may wait for a
// load.
constexpr std::size_t kWaitingFiberDivisor = 4;

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

RequestRouter::RequestRouter(Process& process)
    : process(process),
      picker(process.clock, process.random, ChoiceOptions(process.settings)),
      quarantine(process.clock),
      retries(process.clock, process.random) {}

void RequestRouter::UpdateAgents(std::span<const KnownAgent> agents,
                                 const Configuration& configuration) {
  const std::lock_guard lock(this->mutex);
  std::map<TargetId, TrackedTarget> previous = std::exchange(this->targets, {});
  for (const KnownAgent& agent : agents) {
    const TargetConfig* config = FindTarget(configuration, agent.target);
    if (config == nullptr) {
      continue;
    }
    auto same = previous.find(agent.target);
    const bool is_new = same == previous.end() ||
                        same->second.agent.address != agent.address ||
                        (same->second.agent.is_leaving && !agent.is_leaving);
    if (is_new) {
      this->picker.OnTargetRemoved(agent.target);
      this->AddTarget(agent, *config);
    } else {
      this->targets.insert(previous.extract(same));
    }
    previous.erase(agent.target);
    TrackedTarget& entry = this->targets.at(agent.target);
    entry.agent = agent;
    if (agent.is_leaving) {
      this->picker.OnTargetLeaving(agent.target);
    }
  }
  for (const auto& [target, entry] : previous) {
    this->picker.OnTargetRemoved(target);
  }
}

void RequestRouter::AddTarget(const KnownAgent& agent,
                              const TargetConfig& config) {
  this->picker.OnTargetUpdated({agent.target, agent.region, agent.data_centre});
  const bool is_service = config.kind == TargetKind::kService;
  if (is_service) {
    this->picker.OnLoaded(agent.target,
                          {.models = {ServiceAsModel(config.service)}});
  }
  this->targets[agent.target] = {.agent = agent, .is_service = is_service};
}

void RequestRouter::OnTargetLeaving(const TargetId& target) {
  const std::lock_guard lock(this->mutex);
  this->picker.OnTargetLeaving(target);
  const auto found = this->targets.find(target);
  if (found != this->targets.end()) {
    found->second.agent.is_leaving = true;
  }
}

void RequestRouter::OnLoadReport(const TargetId& target,
                                 const TargetLoad& load) {
  const std::lock_guard lock(this->mutex);
  this->ApplyLoad(target, load);
}

void RequestRouter::ApplyLoad(const TargetId& target, const TargetLoad& load) {
  const auto found = this->targets.find(target);
  // Outcomes that this process created itself carry no load.
  if (found == this->targets.end() || load.sequence == 0) {
    return;
  }
  found->second.has_reported = true;
  found->second.last_checked = this->process.clock.Now();
  found->second.free_bytes = load.free_kv_bytes;
  LoadReport report{.target = target,
                    .sequence = load.sequence,
                    .queued_work = load.queued_work};
  if (!found->second.is_service) {
    report.loaded = LoadedItems{load.models, load.adapters};
  }
  this->picker.OnLoadReport(report);
}

void RequestRouter::OnOutcome(const TargetId& target,
                              const OutcomeMessage& outcome) {
  const std::lock_guard lock(this->mutex);
  this->ApplyLoad(target, outcome.load);
  if (!outcome.crashed_with.empty()) {
    this->quarantine.OnCrash(outcome.crash, outcome.crashed_with);
    for (const Fingerprint fingerprint : outcome.crashed_with) {
      this->process.SpreadStrike({fingerprint, outcome.crash});
    }
  }
}

void RequestRouter::OnCacheUse(const TargetId& target,
                               const ModelId& model,
                               std::span<const PrefixBlock> prefix,
                               std::uint32_t cached_tokens) {
  const std::lock_guard lock(this->mutex);
  this->picker.OnCacheUse(target, model, prefix, cached_tokens);
}

TargetChoice RequestRouter::Pick(const ChoiceRequest& request) {
  const std::lock_guard lock(this->mutex);
  return this->picker.Pick(request);
}

std::vector<KnownAgent> RequestRouter::LoadCandidates(
    const ModelConfig& model) const {
  struct Candidate {
    bool lacks_memory = false;
    bool is_remote = false;
    std::uint64_t hash = 0;
    KnownAgent agent;
  };
  std::vector<Candidate> candidates;
  {
    const std::lock_guard lock(this->mutex);
    for (const auto& [target, known] : this->targets) {
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
    return std::tuple(candidate.lacks_memory, candidate.is_remote,
                      candidate.hash);
  });
  std::vector<KnownAgent> agents;
  agents.reserve(candidates.size());
  for (Candidate& candidate : candidates) {
    agents.push_back(std::move(candidate.agent));
  }
  return agents;
}

bool RequestRouter::HasCopy(const ModelId& model) const {
  const std::lock_guard lock(this->mutex);
  return this->picker.HasCopy(model);
}

void RequestRouter::OnSent(const SentAttempt& sent) {
  const std::lock_guard lock(this->mutex);
  this->picker.OnSent(sent);
}

void RequestRouter::OnEnd(AttemptId attempt, AttemptResult end) {
  const std::lock_guard lock(this->mutex);
  this->picker.OnEnd(attempt, end);
}

QuarantineDecision RequestRouter::CheckQuarantine(Fingerprint fingerprint) {
  const std::lock_guard lock(this->mutex);
  return this->quarantine.OnRequest(fingerprint);
}

void RequestRouter::OnCompleted(Fingerprint fingerprint) {
  const std::lock_guard lock(this->mutex);
  const bool had_strike = this->quarantine.HasStrike(fingerprint);
  this->quarantine.OnCompleted(fingerprint);
  if (!had_strike) {
    return;
  }
  for (const StrikeReport& report :
       this->quarantine.Export(kRecentStrikeReports)) {
    if (report.fingerprint == fingerprint) {
      this->process.SpreadStrike(report);
    }
  }
}

void RequestRouter::OnRequest() {
  const std::lock_guard lock(this->mutex);
  this->retries.OnRequest();
}

RetryDecision RequestRouter::DecideRetry(const FailedAttempt& failed) {
  const std::lock_guard lock(this->mutex);
  return this->retries.Decide(failed);
}

bool RequestRouter::TryBeginWait() {
  const std::lock_guard lock(this->mutex);
  if (this->waiting_requests >=
      this->process.settings.requests / kWaitingFiberDivisor) {
    return false;
  }
  ++this->waiting_requests;
  return true;
}

void RequestRouter::EndWait() {
  const std::lock_guard lock(this->mutex);
  --this->waiting_requests;
}

std::vector<KnownAgent> RequestRouter::TakeAgentsToPoll() {
  const std::lock_guard lock(this->mutex);
  const TimePoint now = this->process.clock.Now();
  std::vector<KnownAgent> agents;
  TrackedTarget* oldest = nullptr;
  for (auto& [target, entry] : this->targets) {
    if (entry.agent.is_leaving) {
      continue;
    }
    if (!entry.has_reported && agents.size() < kMaxFirstPolls &&
        now - entry.last_checked >= kLoadPollInterval) {
      entry.last_checked = now;
      agents.push_back(entry.agent);
    } else if (!entry.is_service &&
               (oldest == nullptr ||
                entry.last_checked < oldest->last_checked)) {
      oldest = &entry;
    }
  }
  const Duration interval = this->waiting_requests > 0
                                ? kLoadPollIntervalWhileWaiting
                                : kLoadPollInterval;
  if (oldest != nullptr && now - this->last_poll >= interval) {
    this->last_poll = now;
    oldest->last_checked = now;
    agents.push_back(oldest->agent);
  }
  return agents;
}

std::vector<ModelDemand> RequestRouter::TakeDemand() {
  const std::lock_guard lock(this->mutex);
  return this->picker.TakeDemand();
}

void RequestRouter::ImportStrikes(std::span<const StrikeReport> reports) {
  const std::lock_guard lock(this->mutex);
  this->quarantine.Import(reports);
}

std::vector<StrikeReport> RequestRouter::ExportStrikes(
    std::size_t limit) const {
  const std::lock_guard lock(this->mutex);
  return this->quarantine.Export(limit);
}

}  // namespace pimentospar
