#include "gateway/crash_tracker.h"

#include <algorithm>

#include "net/log_line.h"
#include "pimentospar/digest.h"
#include "pimentospar/fingerprint.h"

namespace pimentospar {

namespace {

constexpr std::size_t kMaxFingerprints = 2048;
// Targets that end within this time of each other failed together, as with
// their power or network.
constexpr std::chrono::milliseconds kCommonFailureTime{300};
// A target that accepted a connection may have crashed since.
constexpr std::chrono::milliseconds kAliveValidity{100};
// As long as strikes are kept, so that a later crash is not taken for one of
// those before it.
constexpr std::chrono::hours kCrashMemory{1};
constexpr std::chrono::seconds kCheckWait{1};
// No target starts again sooner, so what was sent sooner after a crash was
// ended by the same one.
constexpr std::chrono::milliseconds kMinRestartTime{200};
// Fewer strikes are cleared with each request that ran beside a crash.
constexpr std::uint32_t kLoggedStrikes = 2;

QuarantineOptions MakeQuarantineOptions() {
  QuarantineOptions options;
  options.max_fingerprints = kMaxFingerprints;
  options.common_failure_time = kCommonFailureTime;
  return options;
}

// Returns the id of a crash that follows `earlier` others of the same
// incarnation of a target.
CrashId LaterCrash(CrashId first, std::uint64_t earlier) {
  return earlier == 0 ? first
                      : CrashId{Hash64(std::to_string(earlier), first.value)};
}

}  // namespace

CrashTracker::CrashTracker(const Clock& clock,
                           UpstreamPool& pool,
                           Metrics& metrics,
                           std::function<bool()> may_start_trials)
    : clock(clock),
      pool(pool),
      metrics(metrics),
      may_start_trials(std::move(may_start_trials)),
      quarantine(clock, MakeQuarantineOptions()) {}

QuarantineDecision CrashTracker::Admit(
    std::span<const Fingerprint> fingerprints) {
  const QuarantineDecision decision = this->quarantine.OnRequest(fingerprints);
  const auto* refusal = std::get_if<RefuseQuarantined>(&decision);
  if (refusal == nullptr || refusal->trial_delay > Duration(0) ||
      !this->may_start_trials()) {
    return decision;
  }
  this->quarantine.OnTrial(fingerprints);
  LogInfo("quarantine_trial", {{"strikes", refusal->strikes}});
  return RunIsolated{refusal->strikes, Duration(0), true};
}

bool CrashTracker::OnConnectionBroken(
    const SelectedTarget& target,
    TimePoint sent_at,
    std::span<const Fingerprint> fingerprints) {
  const auto check = this->CheckTarget(target, sent_at);
  if (!check->crashed) {
    return false;
  }
  if (!fingerprints.empty()) {
    this->witnessed.insert(fingerprints.begin(), fingerprints.end());
    const std::uint64_t before = this->quarantine.Version();
    this->quarantine.OnCrash(check->crash, fingerprints);
    this->NotifyIfChanged(before);
  }
  return true;
}

// All attempts that one crash has ended share one check. What was sent after a
// crash was ended by a later one.
std::shared_ptr<CrashTracker::CrashCheck> CrashTracker::CheckTarget(
    const SelectedTarget& target,
    TimePoint sent_at) {
  this->DropOldChecks();
  const CrashId first_crash =
      CrashIdOf(target.target, static_cast<std::uint64_t>(target.started_ms));
  CrashHistory& history = this->histories[first_crash];
  std::shared_ptr<CrashCheck> newest = history.newest;
  if (newest != nullptr && this->IsValid(*newest, sent_at)) {
    while (newest->running) {
      (void)newest->ended.WaitFor(kCheckWait);
    }
    return newest;
  }
  auto check = std::make_shared<CrashCheck>();
  check->crash = LaterCrash(first_crash, history.crashes);
  history.newest = check;
  this->RunCheck(target, *check);
  if (check->crashed) {
    ++this->histories[first_crash].crashes;
  }
  return check;
}

bool CrashTracker::IsValid(const CrashCheck& check, TimePoint sent_at) const {
  if (check.running) {
    return true;
  }
  return check.crashed ? sent_at < check.ended_at + kMinRestartTime
                       : this->clock.Now() < check.ended_at + kAliveValidity;
}

void CrashTracker::RunCheck(const SelectedTarget& target, CrashCheck& check) {
  check.crashed = this->pool.IsRefused(target.address);
  check.running = false;
  check.ended_at = this->clock.Now();
  check.ended.NotifyAll();
  LogInfo("connection_broken", {{"target", target.target.value},
                                {"started", target.started_ms},
                                {"crashed", check.crashed ? 1 : 0}});
  if (check.crashed) {
    this->metrics.Count(CountedEvent::kTargetCrashed);
  }
}

void CrashTracker::DropOldChecks() {
  const TimePoint now = this->clock.Now();
  std::erase_if(this->histories, [now](const auto& entry) {
    const CrashHistory& history = entry.second;
    if (history.newest == nullptr || history.newest->running) {
      return false;
    }
    const Duration age = now - history.newest->ended_at;
    return age >= (history.crashes > 0 ? Duration(kCrashMemory)
                                       : Duration(kAliveValidity));
  });
  if (this->witnessed.size() > kMaxFingerprints) {
    this->witnessed.clear();
  }
}

void CrashTracker::OnSurvived(std::span<const Fingerprint> fingerprints) {
  const std::uint64_t before = this->quarantine.Version();
  for (const Fingerprint fingerprint : fingerprints) {
    this->RecordCompletion(fingerprint, "response");
  }
  this->NotifyIfChanged(before);
}

void CrashTracker::OnCauseRemoved(Fingerprint fingerprint) {
  const std::uint64_t before = this->quarantine.Version();
  this->RecordCompletion(fingerprint, "log_record");
  this->NotifyIfChanged(before);
}

void CrashTracker::RecordCompletion(Fingerprint fingerprint,
                                    std::string_view source) {
  const std::uint32_t strikes = this->quarantine.StrikeCount(fingerprint);
  this->quarantine.OnCompleted(fingerprint);
  if (strikes >= kLoggedStrikes) {
    LogInfo("strikes_cleared", {{"fingerprint", ToHex(fingerprint)},
                                {"strikes", strikes},
                                {"source", source}});
  }
}

std::uint32_t CrashTracker::StrikeCount(
    std::span<const Fingerprint> fingerprints) const {
  std::uint32_t most = 0;
  for (const Fingerprint fingerprint : fingerprints) {
    most = std::max(most, this->quarantine.StrikeCount(fingerprint));
  }
  return most;
}

void CrashTracker::Import(std::span<const StrikeReport> reports) {
  const std::uint64_t before = this->quarantine.Version();
  this->quarantine.Import(reports);
  this->NotifyIfChanged(before);
}

void CrashTracker::ImportRecord(std::span<const StrikeReport> reports) {
  const std::uint64_t before = this->quarantine.Version();
  this->quarantine.ImportRecord(reports);
  this->NotifyIfChanged(before);
}

void CrashTracker::NotifyIfChanged(std::uint64_t version_before) {
  if (this->quarantine.Version() == version_before) {
    return;
  }
  this->changed.NotifyAll();
  this->LogNewCauses();
  this->causes_changed.NotifyAll();
}

void CrashTracker::LogNewCauses() {
  std::vector<Fingerprint> now_refused;
  for (const CrashCause& cause : this->quarantine.Causes()) {
    now_refused.insert(now_refused.end(), cause.fingerprints.begin(),
                       cause.fingerprints.end());
    if (std::ranges::find(this->refused, cause.fingerprints.front()) ==
        this->refused.end()) {
      LogWarning("quarantined",
                 {{"fingerprints", JoinHex(cause.fingerprints)},
                  {"strikes", cause.strikes},
                  {"last_crash_ms", this->clock.Now() - cause.last_crash}});
    }
  }
  this->LogEndedCauses(now_refused);
  this->refused = std::move(now_refused);
}

void CrashTracker::LogEndedCauses(
    std::span<const Fingerprint> now_refused) const {
  for (const Fingerprint fingerprint : this->refused) {
    if (std::ranges::find(now_refused, fingerprint) == now_refused.end()) {
      LogInfo("quarantine_ended",
              {{"fingerprint", ToHex(fingerprint)},
               {"strikes", this->quarantine.StrikeCount(fingerprint)}});
    }
  }
}

}  // namespace pimentospar
