#include "gateway/strike_exchange.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <charconv>
#include <iterator>

#include "net/log_line.h"

namespace pimentospar {

namespace {

// How often causes that could not be published are tried again.
constexpr std::chrono::milliseconds kPublishInterval{1000};
constexpr std::size_t kMaxStrikesPerMessage = 128;
constexpr std::chrono::milliseconds kReadWait{2000};
// An entry that hears from the lease holder most likely hears of strikes too.
constexpr std::chrono::milliseconds kQuietReadWait{10000};
// Entries that have seen the same crashes publish their cause only once, if the
// first one's record arrives before the others' delays end.
constexpr std::uint64_t kMaxPublishDelayMs = 200;

std::string KeyOf(Fingerprint fingerprint) {
  return std::to_string(fingerprint.value);
}

std::optional<Fingerprint> FingerprintOfKey(std::string_view key) {
  Fingerprint fingerprint;
  const auto parsed =
      std::from_chars(key.data(), key.data() + key.size(), fingerprint.value);
  return parsed.ec == std::errc() ? std::optional(fingerprint) : std::nullopt;
}

}  // namespace

StrikeExchange::StrikeExchange(FiberLoop& loop,
                               const Clock& clock,
                               RandomSource& random,
                               CrashTracker& crashes,
                               EntryTransport& transport,
                               SharedLog& log,
                               StrikeExchangeOptions options)
    : loop(loop),
      random(random),
      crashes(crashes),
      log(log),
      options(std::move(options)),
      gossip(loop,
             random,
             transport,
             {[&crashes] { return crashes.Strikes().Version(); },
              [&crashes] { return crashes.Strikes().HasSuspects(); },
              [&crashes] {
                EntryMessage message;
                message.strikes =
                    crashes.Strikes().Export(kMaxStrikesPerMessage);
                return message;
              },
              crashes.Changed()}),
      watcher(loop,
              clock,
              random,
              log,
              {this->options.stream, [this] { return this->ReadTiming(); }},
              {[this](const auto& all) {
                 // Causes that the log has lost are published again.
                 this->published.clear();
                 for (const KeyedItem& item : all.items) {
                   this->OnPublished(item);
                 }
               },
               [this](const KeyedItem& item) { this->OnPublished(item); },
               {}}) {}

void StrikeExchange::Start() {
  this->watcher.Start();
  this->gossip.Start();
  this->loop.SpawnDuty("strikes", [this] { this->MaintainLog(); });
}

PollTiming StrikeExchange::ReadTiming() const {
  return {this->options.has_fresh_feed() ? kQuietReadWait : kReadWait, {}};
}

void StrikeExchange::MaintainLog() {
  while (true) {
    (void)this->crashes.Changed().WaitFor(kPublishInterval);
    this->PublishCauses();
    this->RemoveOldCauses();
  }
}

// Only entries that have seen one of the crashes publish their cause, and the
// lease holder in case they have ended since.
void StrikeExchange::PublishCauses() {
  for (const CrashCause& cause : this->crashes.Strikes().Causes()) {
    for (const Fingerprint fingerprint : cause.fingerprints) {
      if (!this->published.contains(KeyOf(fingerprint)) &&
          (this->crashes.HasWitnessed(fingerprint) ||
           this->options.holds_lease()) &&
          this->being_published.insert(fingerprint).second) {
        this->loop.Spawn([this, fingerprint] { this->Publish(fingerprint); });
      }
    }
  }
}

void StrikeExchange::Publish(Fingerprint fingerprint) {
  const std::string key = KeyOf(fingerprint);
  boost::this_fiber::sleep_for(
      std::chrono::milliseconds(this->random.NextBelow(kMaxPublishDelayMs)));
  EntryMessage message;
  message.strikes = this->crashes.Strikes().ExportOf(fingerprint);
  if (!message.strikes.empty() && !this->published.contains(key)) {
    const LogStatus status =
        this->log.AppendKeyed(this->options.stream, key, Encode(message));
    if (status == LogStatus::kDone) {
      this->published.insert(key);
    } else {
      LogWarning("cause_unpublished", {{"fingerprint", fingerprint.value},
                                       {"status", ToString(status)}});
    }
  }
  this->being_published.erase(fingerprint);
}

// The lease holder removes causes whose requests run again.
void StrikeExchange::RemoveOldCauses() {
  if (!this->options.holds_lease()) {
    return;
  }
  std::vector<std::string> old;
  std::ranges::copy_if(
      this->published, std::back_inserter(old), [this](const std::string& key) {
        const auto fingerprint = FingerprintOfKey(key);
        return !fingerprint || !this->crashes.Strikes().HasStrike(*fingerprint);
      });
  for (const std::string& key : old) {
    if (this->log.AppendKeyed(this->options.stream, key, std::nullopt) ==
        LogStatus::kDone) {
      this->published.erase(key);
    }
  }
}

void StrikeExchange::OnPublished(const KeyedItem& item) {
  if (!item.value) {
    this->published.erase(item.key);
    if (const auto fingerprint = FingerprintOfKey(item.key)) {
      this->crashes.OnCauseRemoved(*fingerprint);
    }
    return;
  }
  const auto message = DecodeEntryMessage(*item.value);
  if (!message) {
    LogWarning("cause_unreadable", {{"fingerprint", item.key}});
    return;
  }
  this->published.insert(item.key);
  this->crashes.ImportRecord(message->strikes);
}

}  // namespace pimentospar
