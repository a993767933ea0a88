#include "gateway/keyed_stream_watcher.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "net/log_line.h"

namespace pimentospar {

namespace {

constexpr std::chrono::milliseconds kInitialBackoff{100};
// The interval between two reads may change while the watcher waits for it to
// end, so it is queried again at least this often.
constexpr std::chrono::milliseconds kTimingCheckInterval{300};
constexpr std::chrono::milliseconds kMaxBackoff{800};
// After a longer outage, the missed records may take too long to read; the
// newest values of all keys are fewer and are read instead.
constexpr std::chrono::milliseconds kMaxIncrementalOutage{2000};
// Doublings of the initial backoff until the maximum is reached.
constexpr std::uint32_t kMaxBackoffDoublings = 3;
// Limits the memory for the offsets of removed keys.
constexpr std::size_t kMaxTrackedKeys = 8192;

}  // namespace

std::string_view ToString(LogStatus status) {
  switch (status) {
    case LogStatus::kDone:
      return "done";
    case LogStatus::kRefused:
      return "refused";
    case LogStatus::kUnknown:
      return "no_answer";
    case LogStatus::kExpired:
      return "expired";
  }
  return "unknown";
}

KeyedStreamWatcher::KeyedStreamWatcher(FiberLoop& loop,
                                       const Clock& clock,
                                       RandomSource& random,
                                       SharedLog& log,
                                       WatcherOptions options,
                                       WatcherCallbacks callbacks)
    : loop(loop),
      clock(clock),
      random(random),
      log(log),
      options(std::move(options)),
      callbacks(std::move(callbacks)),
      last_read_at(clock.Now()) {}

void KeyedStreamWatcher::Start() {
  this->loop.SpawnDuty(this->options.stream, [this] { this->Run(); });
}

Duration KeyedStreamWatcher::TimeSinceLastRead() const {
  return this->clock.Now() - this->last_read_at;
}

void KeyedStreamWatcher::Run() {
  while (true) {
    const LogStatus status =
        this->needs_full_read ? this->ReadAll() : this->ReadChanges();
    if (status == LogStatus::kDone) {
      this->OnReadSucceeded();
      this->WaitForNextPoll();
    } else {
      this->OnReadFailed(status);
    }
  }
}

void KeyedStreamWatcher::WaitForNextPoll() {
  while (!this->poll_requested) {
    const Duration left =
        this->options.timing().interval - this->TimeSinceLastRead();
    if (left <= Duration(0)) {
      break;
    }
    (void)this->wake.WaitFor(std::min<Duration>(left, kTimingCheckInterval));
  }
  this->poll_requested = false;
}

void KeyedStreamWatcher::OnReadSucceeded(bool was_restored) {
  const bool was_failing = this->failures > 0;
  this->failures = 0;
  if (was_failing) {
    LogInfo("log_regained", {{"stream", this->options.stream},
                             {"age_ms", this->TimeSinceLastRead()}});
  }
  this->last_read_at = this->clock.Now();
  if ((was_failing || was_restored) && this->callbacks.on_recovered) {
    this->callbacks.on_recovered();
  }
}

void KeyedStreamWatcher::OnReadFailed(LogStatus status) {
  if (status == LogStatus::kExpired) {
    LogInfo("log_expired",
            {{"stream", this->options.stream}, {"next", this->next.value}});
    this->needs_full_read = true;
    return;
  }
  this->needs_full_read = this->needs_full_read ||
                          this->TimeSinceLastRead() > kMaxIncrementalOutage;
  if (this->failures++ == 0) {
    LogWarning("log_lost", {{"stream", this->options.stream},
                            {"status", ToString(status)}});
  }
  const auto doublings = std::min(this->failures - 1, kMaxBackoffDoublings);
  const auto backoff =
      std::min(kInitialBackoff * (1 << doublings), kMaxBackoff);
  boost::this_fiber::sleep_for(
      backoff / 2 + std::chrono::milliseconds(this->random.NextBelow(
                        static_cast<std::uint64_t>(backoff.count()))));
}

void KeyedStreamWatcher::ReportCurrent(TimePoint began_at) {
  if (this->callbacks.on_current) {
    this->callbacks.on_current(began_at);
  }
}

LogStatus KeyedStreamWatcher::ReadAll() {
  const TimePoint began_at = this->clock.Now();
  KeyedSnapshot all;
  std::optional<LogOffset> end;
  LogEra era_of_pages;
  std::string after;
  while (true) {
    KeyedPage page = this->log.ReadLatestValues(this->options.stream, after);
    if (page.status != LogStatus::kDone) {
      return page.status;
    }
    if (end && page.era != era_of_pages) {
      return LogStatus::kExpired;
    }
    end = end.value_or(page.end);
    era_of_pages = page.era;
    for (KeyedItem& item : page.items) {
      after = item.key;
      all.items.push_back(std::move(item));
    }
    if (!page.more || page.items.empty()) {
      break;
    }
  }
  all.after_restore = this->has_synced && era_of_pages != this->era;
  if (all.after_restore) {
    LogWarning("log_restored", {{"stream", this->options.stream},
                                {"era", era_of_pages.value},
                                {"next", this->next.value},
                                {"end", end->value},
                                {"age_ms", this->TimeSinceLastRead()}});
  }
  this->era = era_of_pages;
  this->next = *end;
  this->needs_full_read = false;
  this->newest_offsets.clear();
  for (const KeyedItem& item : all.items) {
    this->newest_offsets[item.key] = item.offset;
  }
  this->has_synced = true;
  // `on_recovered` must be called before `on_full_read`, which may depend on
  // it.
  this->OnReadSucceeded(all.after_restore);
  this->callbacks.on_full_read(all);
  this->ReportCurrent(began_at);
  return LogStatus::kDone;
}

LogStatus KeyedStreamWatcher::ReadChanges() {
  const TimePoint began_at = this->clock.Now();
  const LogRead read = this->log.Read(this->options.stream, this->next,
                                      this->options.timing().wait);
  if (read.status != LogStatus::kDone) {
    return read.status;
  }
  if (read.era != this->era) {
    return LogStatus::kExpired;
  }
  for (const std::string& record : read.records) {
    const auto item = this->log.ParseKeyedRecord(record, this->next);
    ++this->next.value;
    if (item) {
      this->Apply(*item);
    }
  }
  if (read.end < this->next) {
    LogWarning("log_shortened", {{"stream", this->options.stream},
                                 {"next", this->next.value},
                                 {"end", read.end.value}});
    this->needs_full_read = true;
  }
  if (read.end == this->next) {
    this->ReportCurrent(began_at);
  }
  return LogStatus::kDone;
}

void KeyedStreamWatcher::Apply(const KeyedItem& item) {
  const auto [entry, is_new] =
      this->newest_offsets.try_emplace(item.key, item.offset);
  if (!is_new && item.offset <= entry->second) {
    return;
  }
  entry->second = item.offset;
  if (this->newest_offsets.size() > kMaxTrackedKeys) {
    this->newest_offsets.clear();
  }
  this->callbacks.on_change(item);
}

}  // namespace pimentospar
