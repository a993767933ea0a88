#include "pimentospar/quarantine.h"

#include <algorithm>
#include <boost/json.hpp>

#include "pimentospar/digest.h"

namespace pimentospar {

namespace {

namespace json = boost::json;

// A request is refused after fewer strikes, so more of them add no information.
constexpr std::size_t kMaxStrikesKept = 8;

void AppendCanonical(const json::value& value, std::string& text) {
  if (const auto* array = value.if_array()) {
    text += '[';
    for (const auto& element : *array) {
      AppendCanonical(element, text);
      text += ',';
    }
    text += ']';
    return;
  }
  const auto* object = value.if_object();
  if (object == nullptr) {
    text += json::serialize(value);
    return;
  }
  std::vector<std::string_view> keys;
  for (const auto& member : *object) {
    keys.emplace_back(member.key());
  }
  std::ranges::sort(keys);
  text += '{';
  for (const std::string_view key : keys) {
    text += json::serialize(json::string(key));
    text += ':';
    AppendCanonical(object->at(key), text);
    text += ',';
  }
  text += '}';
}

// The length prefix makes the encoding unambiguous: ("ab", "c") and ("a", "bc")
// hash differently.
void AppendWithLength(std::string_view part, std::string& text) {
  text += std::to_string(part.size());
  text += ':';
  text += part;
}

Fingerprint HashParts(std::initializer_list<std::string_view> parts,
                      std::string_view body) {
  std::string text;
  for (const std::string_view part : parts) {
    AppendWithLength(part, text);
  }
  text += CanonicalBody(body);
  return Fingerprint{Hash64(text)};
}

std::chrono::milliseconds AgeOf(TimePoint now, TimePoint then) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(now - then);
}

}  // namespace

CrashId CrashIdOf(const TargetId& target, std::uint64_t engine_incarnation) {
  return CrashId{Hash64(target.value, engine_incarnation)};
}

std::string CanonicalBody(std::string_view body) {
  json::error_code error;
  const json::value value = json::parse(body, error);
  if (error) {
    return std::string(body);
  }
  std::string text;
  AppendCanonical(value, text);
  return text;
}

Fingerprint FingerprintOf(const OwnerId& owner,
                          const ModelId& model,
                          std::string_view body) {
  return HashParts({"model", owner.value, model.value}, body);
}

Fingerprint FingerprintOf(const OwnerId& owner,
                          const ServiceId& service,
                          const OperationId& operation,
                          std::string_view body) {
  return HashParts({"service", owner.value, service.value, operation.value},
                   body);
}

Fingerprint FingerprintOfPromptPart(std::string_view part_id) {
  std::string text;
  AppendWithLength("prompt part", text);
  AppendWithLength(part_id, text);
  return Fingerprint{Hash64(text)};
}

Quarantine::Quarantine(const Clock& clock, const QuarantineOptions& options)
    : clock(clock), options(options) {}

std::uint32_t Quarantine::CountActiveStrikes(const RequestRecord& record) {
  return static_cast<std::uint32_t>(
      std::ranges::count(record.strikes, false, &Strike::cleared));
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
         (this->records.size() > this->options.max_fingerprints ||
          now - this->records.back().last_seen >= this->options.retention)) {
    this->index.erase(this->records.back().fingerprint);
    this->records.pop_back();
  }
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
  this->index.emplace(fingerprint, record);
  return *record;
}

void Quarantine::Merge(RequestRecord& record, const Strike& strike) const {
  const auto known =
      std::ranges::find(record.strikes, strike.crash, &Strike::crash);
  if (known != record.strikes.end()) {
    // A cleared strike stays cleared, whatever the order of the reports.
    if (strike.cleared && !known->cleared) {
      *known = strike;
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

void Quarantine::OnCrash(CrashId crash,
                         std::span<const Fingerprint> in_flight) {
  const TimePoint now = this->clock.Now();
  for (const Fingerprint fingerprint : in_flight) {
    this->Merge(this->FindOrAddRecord(fingerprint, now), {crash, now, false});
  }
  this->DropExpired();
}

void Quarantine::OnCompleted(Fingerprint fingerprint) {
  const auto found = this->index.find(fingerprint);
  if (found == this->index.end()) {
    return;
  }
  for (Strike& strike : found->second->strikes) {
    if (!strike.cleared) {
      strike.cleared = true;
      strike.changed = this->clock.Now();
    }
  }
}

void Quarantine::Import(std::span<const StrikeReport> reports) {
  const TimePoint now = this->clock.Now();
  for (const StrikeReport& report : reports) {
    if (report.last_seen_age >= this->options.retention) {
      continue;
    }
    const auto seen_age =
        std::max(report.last_seen_age, std::chrono::milliseconds(0));
    const auto age = std::max(report.age, std::chrono::milliseconds(0));
    this->Merge(this->FindOrAddRecord(report.fingerprint, now - seen_age),
                {report.crash, now - age, report.cleared});
  }
  this->DropExpired();
}

std::vector<StrikeReport> Quarantine::Export(std::size_t limit) const {
  const TimePoint now = this->clock.Now();
  std::vector<StrikeReport> reports;
  for (const RequestRecord& record : this->records) {
    for (const Strike& strike : record.strikes) {
      reports.push_back({record.fingerprint, strike.crash, strike.cleared,
                         AgeOf(now, strike.changed),
                         AgeOf(now, record.last_seen)});
    }
  }
  const std::size_t kept = std::min(limit, reports.size());
  std::ranges::partial_sort(reports, reports.begin() + static_cast<long>(kept),
                            {}, &StrikeReport::age);
  reports.resize(kept);
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
