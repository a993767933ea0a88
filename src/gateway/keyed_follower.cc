#include "gateway/keyed_follower.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "net/log_line.h"

namespace pimentospar {

namespace {

constexpr std::chrono::milliseconds kFirstPause{100};
// The pace is asked again this often while a pause lasts.
constexpr std::chrono::milliseconds kPaceStep{300};
constexpr std::chrono::milliseconds kLongestPause{800};
// What was missed in more than this may take too long to read; the newest
// values are fewer.
constexpr std::chrono::milliseconds kLongOutage{2000};
// Doublings of the first pause up to the longest.
constexpr std::uint32_t kMaxDoublings = 3;
// Bounds the offsets of keys that were dropped.
constexpr std::size_t kMaxSeen = 8192;

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

KeyedFollower::KeyedFollower(FiberLoop& loop,
                             const Clock& clock,
                             RandomSource& random,
                             SharedLog& log,
                             FollowerOptions options,
                             FollowerHandler handler)
    : loop(loop),
      clock(clock),
      random(random),
      log(log),
      options(std::move(options)),
      handler(std::move(handler)),
      answered_at(clock.Now()) {}

void KeyedFollower::Start() {
  this->loop.Spawn([this] { this->Run(); });
}

Duration KeyedFollower::Age() const {
  return this->clock.Now() - this->answered_at;
}

void KeyedFollower::Run() {
  while (true) {
    const LogStatus status =
        this->needs_all ? this->ReadAll() : this->ReadChanges();
    if (status == LogStatus::kDone) {
      this->OnAnswered();
      this->Pause();
    } else {
      this->OnFailed(status);
    }
  }
}

void KeyedFollower::Pause() {
  while (!this->read_soon) {
    const Duration left = this->options.pace().pause - this->Age();
    if (left <= Duration(0)) {
      break;
    }
    (void)this->poked.WaitFor(std::min<Duration>(left, kPaceStep));
  }
  this->read_soon = false;
}

void KeyedFollower::OnAnswered() {
  const bool was_lost = this->failures > 0;
  this->failures = 0;
  if (was_lost) {
    LogInfo("log_regained",
            {{"stream", this->options.stream}, {"age_ms", this->Age()}});
  }
  this->answered_at = this->clock.Now();
  if (was_lost && this->handler.on_regained) {
    this->handler.on_regained();
  }
}

void KeyedFollower::OnFailed(LogStatus status) {
  if (status == LogStatus::kExpired) {
    LogInfo("log_expired",
            {{"stream", this->options.stream}, {"next", this->next.value}});
    this->needs_all = true;
    return;
  }
  this->needs_all = this->needs_all || this->Age() > kLongOutage;
  if (this->failures++ == 0) {
    LogWarning("log_lost", {{"stream", this->options.stream},
                            {"status", ToString(status)}});
  }
  const auto doublings = std::min(this->failures - 1, kMaxDoublings);
  const auto pause = std::min(kFirstPause * (1 << doublings), kLongestPause);
  boost::this_fiber::sleep_for(pause / 2 +
                               std::chrono::milliseconds(this->random.NextBelow(
                                   static_cast<std::uint64_t>(pause.count()))));
}

LogStatus KeyedFollower::ReadAll() {
  std::vector<KeyedItem> all;
  std::optional<LogOffset> end;
  std::string after;
  while (true) {
    KeyedPage page = this->log.Newest(this->options.stream, after);
    if (page.status != LogStatus::kDone) {
      return page.status;
    }
    end = end.value_or(page.end);
    for (KeyedItem& item : page.items) {
      after = item.key;
      all.push_back(std::move(item));
    }
    if (!page.more || page.items.empty()) {
      break;
    }
  }
  this->next = *end;
  this->needs_all = false;
  this->seen.clear();
  for (const KeyedItem& item : all) {
    this->seen[item.key] = item.offset;
  }
  this->has_all = true;
  // The handler has to know first that the log was away.
  this->OnAnswered();
  this->handler.on_all(all);
  return LogStatus::kDone;
}

LogStatus KeyedFollower::ReadChanges() {
  const LogRead read = this->log.Read(this->options.stream, this->next,
                                      this->options.pace().wait);
  if (read.status != LogStatus::kDone) {
    return read.status;
  }
  for (const std::string& record : read.records) {
    const auto item = this->log.ToItem(record, this->next);
    ++this->next.value;
    if (item) {
      this->Apply(*item);
    }
  }
  if (read.end < this->next) {
    LogWarning("log_shortened", {{"stream", this->options.stream},
                                 {"next", this->next.value},
                                 {"end", read.end.value}});
    this->needs_all = true;
  }
  return LogStatus::kDone;
}

void KeyedFollower::Apply(const KeyedItem& item) {
  const auto [entry, is_new] = this->seen.try_emplace(item.key, item.offset);
  if (!is_new && item.offset <= entry->second) {
    return;
  }
  entry->second = item.offset;
  if (this->seen.size() > kMaxSeen) {
    this->seen.clear();
  }
  this->handler.on_change(item);
}

}  // namespace pimentospar
