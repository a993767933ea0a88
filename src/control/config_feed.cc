#include "control/config_feed.h"

#include <boost/json.hpp>

#include "net/log_line.h"

namespace pimentospar {

namespace {

constexpr std::size_t kRecordsPerRead = 100;

}  // namespace

void ConfigFeed::Poll() {
  while (true) {
    const auto page = this->log.Read("config", this->next, kRecordsPerRead);
    if (!page) {
      return;
    }
    this->holder.NoteLogRead(this->clock.Now());
    for (const control::LogRecord& record : page->records) {
      this->Apply(record);
    }
    this->next = page->next;
    if (page->records.empty()) {
      return;
    }
  }
}

void ConfigFeed::Apply(const control::LogRecord& record) {
  boost::json::error_code error;
  const auto value = boost::json::parse(record.body, error);
  const auto* object = error ? nullptr : value.if_object();
  const auto* document =
      object == nullptr ? nullptr : object->if_contains("document");
  if (document == nullptr) {
    return;
  }
  const auto parsed = ParseConfiguration(boost::json::serialize(*document));
  if (!parsed) {
    LogWarning("config_invalid", {{"offset", record.offset.value}});
    return;
  }
  auto next = std::make_shared<ActiveConfig>();
  next->configuration = parsed.value();
  next->version = ConfigVersion{record.offset.value};
  if (this->holder.Replace(std::move(next))) {
    this->metrics.Count(Event::kConfigApplied);
    LogInfo("config_applied", {{"version", record.offset.value}});
  }
}

}  // namespace pimentospar
