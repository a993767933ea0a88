#include "gateway/lease_manager.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>

#include "gateway/lease_number.h"
#include "net/log_line.h"

namespace pimentospar {

namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds kRetryDelay{250};
// A lease holder announces its lease at least twice in this time.
constexpr std::chrono::milliseconds kHolderMessageTimeout{1200};
// How often the process checks whether an append is due while it does not read
// the log.
constexpr std::chrono::milliseconds kHolderPollInterval{100};
// A process that does not hold the lease reads at most this often. Otherwise
// each record of one candidate would end the waiting reads of all others.
constexpr std::chrono::milliseconds kMinCandidateReadInterval{250};

// Records without an era were written before the log was ever restored.
LogEra EraOf(const json::object& record) {
  const json::value* era = record.if_contains("era");
  return {era == nullptr ? 0 : era->to_number<std::uint64_t>()};
}

std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

struct RecordEncoder {
  json::object operator()(const AppendLease& lease) const {
    json::object record{{"type", "lease"},
                        {"id", lease.id.value},
                        {"instance", lease.instance.value},
                        {"duration_ms", ToMilliseconds(lease.duration)}};
    if (lease.previous) {
      record["previous"] = lease.previous->value;
    }
    return record;
  }
  json::object operator()(const AppendRenew& renew) const {
    return {{"type", "renew"},
            {"id", renew.id.value},
            {"lease", renew.lease.value},
            {"instance", renew.instance.value},
            {"duration_ms", ToMilliseconds(renew.duration)}};
  }
};

LeaseRecord ParseLease(const json::object& record, LogOffset offset) {
  LeaseRecord lease;
  lease.offset = offset;
  lease.id = PlanRecordId(json::value_to<std::string>(record.at("id")));
  lease.instance = InstanceId{record.at("instance").to_number<std::uint64_t>()};
  lease.duration = std::chrono::milliseconds(
      record.at("duration_ms").to_number<std::int64_t>());
  if (const json::value* previous = record.if_contains("previous")) {
    lease.previous = LogOffset{previous->to_number<std::uint64_t>()};
  }
  return lease;
}

// Renewals of earlier builds name neither the holder nor the duration.
RenewRecord ParseRenew(const json::object& record) {
  RenewRecord renew;
  renew.id = PlanRecordId(json::value_to<std::string>(record.at("id")));
  renew.lease = LogOffset{record.at("lease").to_number<std::uint64_t>()};
  if (const json::value* instance = record.if_contains("instance")) {
    renew.instance = InstanceId{instance->to_number<std::uint64_t>()};
    renew.duration = std::chrono::milliseconds(
        record.at("duration_ms").to_number<std::int64_t>());
  }
  return renew;
}

}  // namespace

LeaseManager::LeaseManager(FiberLoop& loop,
                           const Clock& clock,
                           RandomSource& random,
                           InstanceId instance,
                           std::string address,
                           SharedLog& log,
                           const LeaseManagerOptions& options)
    : loop(loop),
      clock(clock),
      random(random),
      instance(instance),
      log(log),
      options(options),
      lease(clock, random, instance, options.lease),
      address(std::move(address)) {}

std::optional<LogOffset> LeaseManager::Held() const {
  if (const auto held = this->lease.Held()) {
    return held;
  }
  const bool continues_without_log =
      this->options.targets_check_leases && !this->log_reachable &&
      this->last_held_lease && this->lease.IsCurrent(*this->last_held_lease);
  return continues_without_log ? this->last_held_lease : std::nullopt;
}

bool LeaseManager::HasRecentHolderMessage() const {
  return this->holder_message_at &&
         this->clock.Now() - *this->holder_message_at < kHolderMessageTimeout;
}

void LeaseManager::OnAnnouncedLease(LogOffset other, bool holder_reaches_log) {
  if (holder_reaches_log && this->lease.IsCurrent(other)) {
    this->lease.OnHolderHeartbeat(other);
    this->holder_message_at = this->clock.Now();
  }
  if (this->last_held_lease && other > *this->last_held_lease) {
    this->last_held_lease.reset();
  }
}

void LeaseManager::OnFenced() {
  this->last_held_lease.reset();
  this->lease.RequestNewLease();
}

void LeaseManager::Start() {
  this->loop.SpawnDuty("lease", [this] { this->Run(); });
}

void LeaseManager::Run() {
  while (true) {
    const bool appended = this->AppendIfDue();
    this->LogHeldChange();
    const bool held = this->lease.Held().has_value();
    if (!appended && (held || this->HasRecentHolderMessage())) {
      boost::this_fiber::sleep_for(kHolderPollInterval);
      continue;
    }
    const LogStatus status = this->Read(appended ? std::chrono::milliseconds(0)
                                                 : this->MaxReadWait());
    this->log_reachable = status == LogStatus::kDone;
    if (status != LogStatus::kDone && status != LogStatus::kExpired) {
      boost::this_fiber::sleep_for(
          kRetryDelay + std::chrono::milliseconds(
                            this->random.NextBelow(kRetryDelay.count())));
    } else if (!this->lease.Held()) {
      this->PauseAfterRead();
    }
  }
}

void LeaseManager::PauseAfterRead() const {
  boost::this_fiber::sleep_for(
      std::min(kMinCandidateReadInterval, this->MaxReadWait()));
}

// Returns how long a read may wait: until the next append may be due.
std::chrono::milliseconds LeaseManager::MaxReadWait() const {
  if (this->acquiring_stopped) {
    return this->options.read_wait;
  }
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(
      this->lease.NextStep() - this->clock.Now());
  return std::clamp(left, std::chrono::milliseconds(0),
                    this->options.read_wait);
}

// Appends the record that is due, if any. Returns false if none is.
bool LeaseManager::AppendIfDue() {
  if (this->acquiring_stopped && !this->lease.Held()) {
    return false;
  }
  const auto action = this->lease.Step();
  if (!action) {
    return false;
  }
  json::object record = std::visit(RecordEncoder{}, *action);
  record["address"] = this->address;
  record["era"] = this->era.value_or(LogEra{}).value;
  const LogStatus status =
      this->log.Append(this->options.stream, json::serialize(record));
  if (status != LogStatus::kDone) {
    LogWarning(
        "lease_append_failed",
        {{"status", ToString(status)},
         {"type",
          std::holds_alternative<AppendLease>(*action) ? "lease" : "renew"}});
  }
  return true;
}

LogStatus LeaseManager::Read(std::chrono::milliseconds read_wait) {
  const TimePoint started = this->clock.Now();
  const LogRead read =
      this->log.Read(this->options.stream, this->next, read_wait);
  const bool has_answer =
      read.status == LogStatus::kDone || read.status == LogStatus::kExpired;
  if (!has_answer) {
    return read.status;
  }
  if (this->EnterEra(read.era)) {
    return LogStatus::kExpired;
  }
  if (read.status == LogStatus::kExpired) {
    this->next = read.first;
    return read.status;
  }
  for (const std::string& record : read.records) {
    this->ApplyRecord(record, this->next);
    ++this->next.value;
  }
  if (this->next >= read.end) {
    this->lease.OnTailReached(started);
  }
  return read.status;
}

bool LeaseManager::EnterEra(LogEra current) {
  if (this->era == current) {
    return false;
  }
  const bool was_restored = this->era.has_value();
  this->era = current;
  if (was_restored) {
    LogWarning("log_restored", {{"stream", this->options.stream},
                                {"era", current.value},
                                {"next", this->next.value}});
    this->next = {};
    this->lease.OnLogRestored();
  }
  return was_restored;
}

void LeaseManager::ApplyRecord(std::string_view text, LogOffset offset) {
  error_code error;
  const json::value value = json::parse(text, error);
  const json::object* record = value.if_object();
  if (error || record == nullptr || !record->contains("type")) {
    LogWarning("plan_record_unreadable", {{"offset", offset.value}});
    return;
  }
  try {
    if (EraOf(*record) != this->era) {
      this->OnVoidRecord(*record);
    } else if (record->at("type") == "lease") {
      const LeaseRecord lease =
          ParseLease(*record, LeaseNumber(*this->era, offset));
      (void)this->lease.OnLease(lease);
      this->OnHolderRecord(*record, lease.instance);
    } else if (record->at("type") == "renew") {
      this->lease.OnRenew(ParseRenew(*record));
      if (this->current_holder && this->holder_is_predecessor) {
        this->lease.OnHolderExited(*this->current_holder);
      }
    }
  } catch (const std::exception& failure) {
    LogWarning("plan_record_unreadable",
               {{"offset", offset.value}, {"error", failure.what()}});
  }
}

// The writer of a record of another era may still act under its lease, unless
// it is this process or its predecessor at the same address.
void LeaseManager::OnVoidRecord(const json::object& record) {
  const json::value* address = record.if_contains("address");
  if (address == nullptr || *address != json::string(this->address)) {
    this->lease.OnVoidLease();
  }
}

// If the record names the address of this process, the lease holder is a former
// process at that address. It has exited, since this process listens there.
void LeaseManager::OnHolderRecord(const json::object& record,
                                  InstanceId instance) {
  const json::value* address = record.if_contains("address");
  this->current_holder = instance;
  this->holder_is_predecessor = address != nullptr &&
                                *address == json::string(this->address) &&
                                instance != this->instance;
  if (this->holder_is_predecessor) {
    this->lease.OnHolderExited(instance);
  }
}

void LeaseManager::LogHeldChange() {
  if (const auto own = this->lease.Held()) {
    this->last_held_lease = own;
  }
  const auto held = this->Held();
  if (held.has_value() == this->was_held) {
    return;
  }
  this->was_held = held.has_value();
  if (held) {
    LogInfo("lease_gained", {{"lease", held->value}});
  } else {
    LogWarning("lease_lost", {{"next", this->next.value}});
  }
}

}  // namespace pimentospar
