#include "pimentospar/quarantine.h"

#include <algorithm>
#include <functional>
#include <tuple>

#include "pimentospar/digest.h"

namespace pimentospar {

namespace {

// A request is refused after far fewer strikes.
constexpr std::size_t kMaxStrikesKept = 32;
// A request that is this many strikes short of refusal is not sent again after
// a crash.
constexpr std::uint32_t kIsolationMargin = 1;
// Strikes of one fingerprint that are reported; more change no decision but the
// time until the next trial.
constexpr std::size_t kMaxReportsPerFingerprint = 8;
// Limit on the doublings of the time between trials.
constexpr std::uint32_t kMaxTrialDoublings = 8;

std::chrono::milliseconds AgeOf(TimePoint now, TimePoint then) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(now - then);
}

}  // namespace

CrashId CrashIdOf(const TargetId& target, std::uint64_t engine_incarnation) {
  return CrashId{Hash64(target.value, engine_incarnation)};
}

Quarantine::Quarantine(const Clock& clock, const QuarantineOptions& options)
    : clock(clock), options(options), completions(options.max_fingerprints) {}

std::uint32_t Quarantine::CountActiveStrikes(const RequestRecord& record) {
  return static_cast<std::uint32_t>(
      std::ranges::count(record.strikes, false, &Strike::cleared));
}

TimePoint Quarantine::LastChange(const RequestRecord& record) {
  TimePoint last = TimePoint::min();
  for (const Strike& strike : record.strikes) {
    last = std::max(last, strike.changed);
  }
  return last;
}

std::uint32_t Quarantine::StrikeCount(Fingerprint fingerprint) const {
  const auto found = this->index.find(fingerprint);
  if (found == this->index.end() ||
      this->clock.Now() - found->second->last_seen >= this->options.retention) {
    return 0;
  }
  return CountActiveStrikes(*found->second);
}

void Quarantine::DropExpired() {
  const TimePoint now = this->clock.Now();
  while (!this->records.empty() &&
         now - this->records.back().last_seen >= this->options.retention) {
    this->Erase(std::prev(this->records.end()));
  }
  while (this->records.size() > this->options.max_fingerprints) {
    this->Erase(this->FindLeastUseful());
  }
}

void Quarantine::Erase(RecordList::iterator record) {
  this->index.erase(record->fingerprint);
  this->records.erase(record);
  ++this->version;
}

Quarantine::RecordList::iterator Quarantine::FindLeastUseful() {
  const auto least_useful = std::find_if(
      this->records.rbegin(), this->records.rend(),
      [this](const RequestRecord& record) {
        return CountActiveStrikes(record) < this->options.strikes_to_refuse;
      });
  return least_useful == this->records.rend() ? std::prev(this->records.end())
                                              : std::prev(least_useful.base());
}

void Quarantine::MarkSeen(RecordList::iterator record, TimePoint seen) {
  if (seen <= record->last_seen) {
    return;
  }
  record->last_seen = seen;
  const auto place =
      std::ranges::find_if(this->records, [&](const RequestRecord& other) {
        return &other != &*record && other.last_seen <= seen;
      });
  this->records.splice(place, this->records, record);
}

Quarantine::RequestRecord& Quarantine::FindOrAddRecord(Fingerprint fingerprint,
                                                       TimePoint seen) {
  const auto found = this->index.find(fingerprint);
  if (found != this->index.end()) {
    this->MarkSeen(found->second, seen);
    return *found->second;
  }
  const auto place = std::ranges::find_if(
      this->records,
      [&](const RequestRecord& other) { return other.last_seen <= seen; });
  const auto record =
      this->records.insert(place, RequestRecord{fingerprint, seen, {}});
  record->completed_at = this->completions.Last(fingerprint);
  this->index.emplace(fingerprint, record);
  return *record;
}

void Quarantine::Merge(RequestRecord& record, const Strike& strike) {
  if (strike.cleared) {
    this->RecordCompletion(record, strike.changed);
  }
  const auto known =
      std::ranges::find(record.strikes, strike.crash, &Strike::crash);
  if (known != record.strikes.end()) {
    // A cleared strike stays cleared, whatever the order of the reports.
    if (strike.cleared && !known->cleared) {
      *known = strike;
      ++this->version;
    }
    return;
  }
  if (record.strikes.size() >= kMaxStrikesKept) {
    const auto oldest =
        std::ranges::min_element(record.strikes, {}, [](const Strike& other) {
          return std::pair(!other.cleared, other.changed);
        });
    record.strikes.erase(oldest);
  }
  record.strikes.push_back(strike);
  if (record.completed_at && strike.changed <= *record.completed_at) {
    record.strikes.back().cleared = true;
    record.strikes.back().changed = *record.completed_at;
  }
  ++this->version;
}

void Quarantine::RecordCompletion(RequestRecord& record,
                                  TimePoint completed_at) {
  if (record.completed_at && *record.completed_at >= completed_at) {
    return;
  }
  // That a fingerprint completes at all is news for other processes too.
  this->version += record.completed_at ? 0 : 1;
  record.completed_at = completed_at;
  for (Strike& strike : record.strikes) {
    if (strike.cleared || strike.changed > completed_at) {
      continue;
    }
    strike.cleared = true;
    strike.changed = completed_at;
    ++this->version;
  }
}

QuarantineDecision Quarantine::OnRequest(Fingerprint fingerprint) {
  this->DropExpired();
  const auto found = this->index.find(fingerprint);
  if (found == this->index.end()) {
    return RunNormally{};
  }
  const TimePoint now = this->clock.Now();
  this->MarkSeen(found->second, now);
  const RequestRecord& record = *found->second;
  const std::uint32_t strikes = CountActiveStrikes(record);
  if (strikes == 0) {
    return RunNormally{};
  }
  if (strikes >= this->options.strikes_to_refuse) {
    return RefuseQuarantined{strikes};
  }
  if (strikes < 2 || strikes + 1 < this->options.strikes_to_refuse) {
    return RunIsolated{strikes, Duration(0)};
  }
  TimePoint last_strike = TimePoint::min();
  for (const Strike& strike : record.strikes) {
    last_strike =
        strike.cleared ? last_strike : std::max(last_strike, strike.changed);
  }
  const Duration delay = last_strike + this->options.propagation_delay - now;
  return RunIsolated{strikes, std::max(delay, Duration(0))};
}

bool Quarantine::HasSuspects() const {
  this->UpdateCauses();
  return !this->causes.empty() || !this->suspected.empty();
}

std::vector<CrashCause> Quarantine::FindCauses(
    std::uint32_t min_strikes) const {
  std::vector<CrashSuspect> suspects;
  for (const RequestRecord& record : this->records) {
    CrashSuspect suspect{
        record.fingerprint, record.completed_at.has_value(), {}};
    for (const Strike& strike : record.strikes) {
      if (strike.cleared) {
        continue;
      }
      suspect.crashes.push_back({strike.crash, strike.changed});
    }
    if (suspect.crashes.size() >= min_strikes) {
      suspects.push_back(std::move(suspect));
    }
  }
  return FindCrashCauses(std::move(suspects),
                         {min_strikes, this->options.common_failure_time});
}

void Quarantine::UpdateCauses() const {
  if (this->causes_version == this->version) {
    return;
  }
  this->causes_version = this->version;
  this->causes = this->FindCauses(this->options.strikes_to_refuse);
  this->suspected =
      this->FindCauses(this->options.strikes_to_refuse - kIsolationMargin);
}

std::span<const CrashCause> Quarantine::Causes() const {
  this->UpdateCauses();
  return this->causes;
}

Duration Quarantine::TrialDelay(const CrashCause& cause) const {
  const std::uint32_t doublings = std::min(
      cause.strikes - this->options.strikes_to_refuse, kMaxTrialDoublings);
  TimePoint last = cause.last_crash;
  for (const Fingerprint fingerprint : cause.fingerprints) {
    const auto found = this->index.find(fingerprint);
    if (found != this->index.end() && found->second->last_trial) {
      last = std::max(last, *found->second->last_trial);
    }
  }
  const Duration interval = this->options.trial_interval * (1U << doublings);
  return std::max(last + interval - this->clock.Now(), Duration(0));
}

QuarantineDecision Quarantine::OnRequest(
    std::span<const Fingerprint> fingerprints) {
  if (this->records.empty()) {
    return RunNormally{};
  }
  this->DropExpired();
  this->UpdateCauses();
  const TimePoint now = this->clock.Now();
  for (const Fingerprint fingerprint : fingerprints) {
    const auto found = this->index.find(fingerprint);
    if (found != this->index.end()) {
      this->MarkSeen(found->second, now);
    }
  }
  if (const auto* cause = FindMatchingCause(this->causes, fingerprints)) {
    return RefuseQuarantined{cause->strikes, this->TrialDelay(*cause)};
  }
  if (const auto* cause = FindMatchingCause(this->suspected, fingerprints)) {
    return RunIsolated{cause->strikes, Duration(0)};
  }
  return RunNormally{};
}

void Quarantine::OnTrial(std::span<const Fingerprint> fingerprints) {
  for (const Fingerprint fingerprint : fingerprints) {
    const auto found = this->index.find(fingerprint);
    if (found != this->index.end()) {
      found->second->last_trial = this->clock.Now();
    }
  }
}

void Quarantine::OnCrash(CrashId crash,
                         std::span<const Fingerprint> in_flight) {
  const TimePoint now = this->clock.Now();
  for (const Fingerprint fingerprint : in_flight) {
    this->Merge(this->FindOrAddRecord(fingerprint, now), {crash, now, false});
  }
  this->DropExpired();
}

void Quarantine::OnCompleted(Fingerprint fingerprint) {
  const TimePoint now = this->clock.Now();
  this->completions.OnCompleted(fingerprint, now);
  const auto found = this->index.find(fingerprint);
  if (found != this->index.end()) {
    this->RecordCompletion(*found->second, now);
  }
}

void Quarantine::Import(std::span<const StrikeReport> reports,
                        Duration max_delay) {
  const TimePoint now = this->clock.Now();
  const TimePoint completed_since = now - max_delay;
  constexpr std::chrono::milliseconds kNoAge{0};
  for (const StrikeReport& report : reports) {
    if (report.last_seen_age >= this->options.retention) {
      continue;
    }
    RequestRecord& record = this->FindOrAddRecord(
        report.fingerprint, now - std::max(report.last_seen_age, kNoAge));
    if (report.completed_age) {
      this->RecordCompletion(
          record, completed_since - std::max(*report.completed_age, kNoAge));
    }
    const TimePoint changed_since = report.cleared ? completed_since : now;
    this->Merge(record,
                {report.crash, changed_since - std::max(report.age, kNoAge),
                 report.cleared});
  }
  this->DropExpired();
}

// A strike that is cleared tells nothing beside the time of the completion, so
// it is reported only if there is no other strike that could carry that time.
void Quarantine::AppendReports(const RequestRecord& record,
                               std::vector<StrikeReport>& reports) const {
  std::vector<Strike> newest = record.strikes;
  std::ranges::sort(newest, std::greater(), [](const Strike& strike) {
    return std::pair(!strike.cleared, strike.changed);
  });
  const std::size_t count = std::clamp<std::size_t>(
      CountActiveStrikes(record), 1, kMaxReportsPerFingerprint);
  newest.resize(std::min(newest.size(), count));
  const TimePoint now = this->clock.Now();
  std::optional<std::chrono::milliseconds> completed_age;
  if (record.completed_at) {
    completed_age = AgeOf(now, *record.completed_at);
  }
  for (const Strike& strike : newest) {
    reports.push_back({record.fingerprint, strike.crash, strike.cleared,
                       AgeOf(now, strike.changed), AgeOf(now, record.last_seen),
                       completed_age});
  }
}

bool Quarantine::IsSuspect(const RequestRecord& record) const {
  return !record.completed_at &&
         CountActiveStrikes(record) + kIsolationMargin >=
             this->options.strikes_to_refuse;
}

std::vector<StrikeReport> Quarantine::ExportOf(Fingerprint fingerprint) const {
  std::vector<StrikeReport> reports;
  const auto found = this->index.find(fingerprint);
  if (found != this->index.end()) {
    this->AppendReports(*found->second, reports);
  }
  return reports;
}

std::vector<StrikeReport> Quarantine::Export(std::size_t limit) const {
  std::vector<const RequestRecord*> order;
  for (const RequestRecord& record : this->records) {
    order.push_back(&record);
  }
  std::ranges::sort(order, std::greater(), [this](const RequestRecord* record) {
    return std::tuple(this->IsSuspect(*record), record->strikes.size(),
                      LastChange(*record));
  });
  std::vector<StrikeReport> reports;
  for (const RequestRecord* record : order) {
    if (reports.size() >= limit) {
      break;
    }
    this->AppendReports(*record, reports);
  }
  reports.resize(std::min(limit, reports.size()));
  return reports;
}

bool CrashGuard::HasStrike(const Running& running) const {
  return running.has_strike_at_entry ||
         this->quarantine.HasStrike(running.fingerprint);
}

bool CrashGuard::TryStart(AttemptId attempt,
                          Fingerprint fingerprint,
                          bool has_strike_at_entry) {
  const Running candidate{attempt, fingerprint, has_strike_at_entry};
  if (this->HasStrike(candidate) &&
      std::ranges::any_of(this->in_flight, [&](const Running& running) {
        return this->HasStrike(running);
      })) {
    return false;
  }
  this->in_flight.push_back(candidate);
  return true;
}

void CrashGuard::OnEnd(AttemptId attempt) {
  std::erase_if(this->in_flight, [&](const Running& running) {
    return running.attempt == attempt;
  });
}

std::vector<Fingerprint> CrashGuard::OnCrash(CrashId crash) {
  std::vector<Fingerprint> fingerprints;
  for (const Running& running : this->in_flight) {
    if (std::ranges::find(fingerprints, running.fingerprint) ==
        fingerprints.end()) {
      fingerprints.push_back(running.fingerprint);
    }
  }
  this->in_flight.clear();
  this->quarantine.OnCrash(crash, fingerprints);
  return fingerprints;
}

}  // namespace pimentospar
