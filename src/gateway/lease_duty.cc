#include "gateway/lease_duty.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>

#include "net/log_line.h"

namespace pimentospar {

namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds kFailurePause{250};
// A holder tells of its lease twice in this time.
constexpr std::chrono::milliseconds kHolderSilence{1200};
// The holder looks this often whether a renewal is due.
constexpr std::chrono::milliseconds kHolderStep{100};

struct RecordWriter {
  json::object operator()(const AppendLease& lease) const {
    json::object record{
        {"type", "lease"},
        {"id", lease.id.value},
        {"instance", lease.instance.value},
        {"duration_ms",
         std::chrono::duration_cast<std::chrono::milliseconds>(lease.duration)
             .count()}};
    if (lease.previous) {
      record["previous"] = lease.previous->value;
    }
    return record;
  }
  json::object operator()(const AppendRenew& renew) const {
    return {{"type", "renew"},
            {"id", renew.id.value},
            {"lease", renew.lease.value}};
  }
};

LeaseRecord ReadLease(const json::object& record, LogOffset offset) {
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

}  // namespace

LeaseDuty::LeaseDuty(FiberLoop& loop,
                     const Clock& clock,
                     RandomSource& random,
                     InstanceId instance,
                     std::string address,
                     SharedLog& log,
                     const LeaseDutyOptions& options)
    : loop(loop),
      clock(clock),
      random(random),
      instance(instance),
      log(log),
      options(options),
      lease(clock, random, instance, options.lease),
      address(std::move(address)) {}

std::optional<LogOffset> LeaseDuty::Held() const {
  if (const auto held = this->lease.Held()) {
    return held;
  }
  const bool goes_on = this->options.targets_check_leases &&
                       !this->log_answers && this->last_held &&
                       this->lease.IsCurrent(*this->last_held);
  return goes_on ? this->last_held : std::nullopt;
}

bool LeaseDuty::HearsHolder() const {
  return this->other_heard_at &&
         this->clock.Now() - *this->other_heard_at < kHolderSilence;
}

void LeaseDuty::OnOtherLease(LogOffset other) {
  if (this->lease.IsCurrent(other)) {
    this->lease.OnHolderHeartbeat(other);
    this->other_heard_at = this->clock.Now();
  }
  if (this->last_held && other > *this->last_held) {
    this->last_held.reset();
  }
}

void LeaseDuty::OnFenced() {
  this->last_held.reset();
  this->lease.RequestNewLease();
}

void LeaseDuty::Start() {
  this->loop.Spawn([this] { this->Run(); });
}

void LeaseDuty::Run() {
  while (true) {
    const bool acted = this->Act();
    this->LogChange();
    const bool held = this->lease.Held().has_value();
    if (!acted && (held || this->HearsHolder())) {
      boost::this_fiber::sleep_for(kHolderStep);
      continue;
    }
    const LogStatus status =
        this->Read(acted ? std::chrono::milliseconds(0) : this->ReadTime());
    this->log_answers = status == LogStatus::kDone;
    if (status != LogStatus::kDone && status != LogStatus::kExpired) {
      boost::this_fiber::sleep_for(
          kFailurePause +
          std::chrono::milliseconds(this->random.Below(kFailurePause.count())));
    }
  }
}

// A read ends when the next append may be due.
std::chrono::milliseconds LeaseDuty::ReadTime() const {
  if (this->stopped) {
    return this->options.wait;
  }
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(
      this->lease.NextStep() - this->clock.Now());
  return std::clamp(left, std::chrono::milliseconds(0), this->options.wait);
}

// Appends what is due; false if nothing is.
bool LeaseDuty::Act() {
  if (this->stopped && !this->lease.Held()) {
    return false;
  }
  const auto action = this->lease.Step();
  if (!action) {
    return false;
  }
  json::object record = std::visit(RecordWriter{}, *action);
  record["address"] = this->address;
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

LogStatus LeaseDuty::Read(std::chrono::milliseconds wait) {
  const TimePoint started = this->clock.Now();
  const LogRead read = this->log.Read(this->options.stream, this->next, wait);
  if (read.status == LogStatus::kExpired) {
    this->next = read.first;
    return read.status;
  }
  if (read.status != LogStatus::kDone) {
    return read.status;
  }
  for (const std::string& record : read.records) {
    this->Feed(record, this->next);
    ++this->next.value;
  }
  if (this->next >= read.end) {
    this->lease.OnTailReached(started);
  }
  return read.status;
}

void LeaseDuty::Feed(std::string_view text, LogOffset offset) {
  error_code error;
  const json::value value = json::parse(text, error);
  const json::object* record = value.if_object();
  if (error || record == nullptr || !record->contains("type")) {
    LogWarning("plan_record_unreadable", {{"offset", offset.value}});
    return;
  }
  try {
    if (record->at("type") == "lease") {
      const LeaseRecord lease = ReadLease(*record, offset);
      (void)this->lease.OnLease(lease);
      this->NoteHolder(*record, lease.instance);
    } else if (record->at("type") == "renew") {
      this->lease.OnRenew(
          {PlanRecordId(json::value_to<std::string>(record->at("id"))),
           LogOffset{record->at("lease").to_number<std::uint64_t>()}});
      if (this->holder && this->holder_is_predecessor) {
        this->lease.OnHolderExited(*this->holder);
      }
    }
  } catch (const std::exception& failure) {
    LogWarning("plan_record_unreadable",
               {{"offset", offset.value}, {"error", failure.what()}});
  }
}

// A former process at this address has ended, since this one listens there.
void LeaseDuty::NoteHolder(const json::object& record, InstanceId instance) {
  const json::value* address = record.if_contains("address");
  this->holder = instance;
  this->holder_is_predecessor = address != nullptr &&
                                *address == json::string(this->address) &&
                                instance != this->instance;
  if (this->holder_is_predecessor) {
    this->lease.OnHolderExited(instance);
  }
}

void LeaseDuty::LogChange() {
  if (const auto own = this->lease.Held()) {
    this->last_held = own;
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
