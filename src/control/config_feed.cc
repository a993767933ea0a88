#include "control/config_feed.h"

#include "net/log_line.h"

namespace pimentospar {

namespace {

constexpr std::string_view kStream = "config";
constexpr std::size_t kRecordsPerRead = 100;
constexpr std::chrono::seconds kPeerTimeout{5};

std::string_view ToText(SourceRejection reason) {
  switch (reason) {
    case SourceRejection::kStale:
      return "older";
    case SourceRejection::kChainMismatch:
      return "other_chain";
    case SourceRejection::kCorrupt:
      break;
  }
  return "corrupt";
}

struct EventLogger {
  void operator()(const ChangeEvaluated& evaluated) const {
    const bool accepted =
        std::holds_alternative<ChangeAccepted>(evaluated.change.outcome);
    LogInfo(accepted ? "config_accepted" : "config_rejected",
            {{"offset", evaluated.change.offset.value},
             {"author", evaluated.change.author},
             {"base", evaluated.change.base.value}});
  }
  void operator()(const SnapshotInstalled& installed) const {
    LogInfo("config_snapshot_installed",
            {{"version", installed.version.value}});
  }
  void operator()(const RecordsMissing& missing) const {
    LogDebug("config_records_missing", {{"expected", missing.expected.value}});
  }
  void operator()(const SourceRejected& rejected) const {
    // A peer that lags behind is no error.
    if (rejected.reason != SourceRejection::kStale) {
      LogWarning("config_source_refused", {{"refusal", ToText(rejected.reason)},
                                           {"detail", rejected.detail}});
    }
  }
};

}  // namespace

ConfigFeed::ConfigFeed(control::LogClient& log,
                       AgentClient& peers,
                       CurrentConfig& current_config,
                       Metrics& metrics,
                       const Clock& clock,
                       RandomSource& random)
    : log(log),
      peers(peers),
      current_config(current_config),
      metrics(metrics),
      clock(clock),
      config_log(clock, random, {.first_offset = control::kFirstOffset}) {}

void ConfigFeed::Poll() {
  while (true) {
    LogOffset from;
    {
      const std::lock_guard lock(this->mutex);
      from = this->config_log.NextReadOffset();
    }
    const auto page = this->log.Read(kStream, from, kRecordsPerRead);
    if (!page) {
      return;
    }
    this->current_config.RecordLogRead(this->clock.Now());
    std::vector<ConfigRecord> records;
    records.reserve(page->records.size());
    for (const control::LogRecord& record : page->records) {
      records.push_back({record.offset, record.time_ms, record.body});
    }
    std::vector<ConfigEvent> events;
    {
      const std::lock_guard lock(this->mutex);
      events = this->config_log.OnLogRecords(records);
    }
    this->LogEvents(events);
    this->ActivateNewVersion();
    if (page->records.empty()) {
      break;
    }
  }
  std::vector<std::string> snapshot;
  {
    const std::lock_guard lock(this->mutex);
    snapshot = this->config_log.SnapshotIfDue();
  }
  for (const std::string& body : snapshot) {
    (void)this->log.Append(kStream, body);
  }
}

void ConfigFeed::FetchFrom(const Address& peer) {
  std::optional<ConfigVersion> version;
  {
    const std::lock_guard lock(this->mutex);
    version = this->config_log.Version();
  }
  const auto update = this->peers.FetchConfigSince(
      peer, version, this->clock.Now() + kPeerTimeout);
  if (!update) {
    return;
  }
  std::vector<ConfigEvent> events;
  {
    const std::lock_guard lock(this->mutex);
    events = this->config_log.OnPeerUpdate(*update);
  }
  this->LogEvents(events);
  this->ActivateNewVersion();
}

PeerUpdate ConfigFeed::UpdateSince(std::optional<ConfigVersion> version) const {
  const std::lock_guard lock(this->mutex);
  return this->config_log.UpdateSince(version);
}

void ConfigFeed::LogEvents(std::span<const ConfigEvent> events) {
  for (const ConfigEvent& event : events) {
    std::visit(EventLogger{}, event);
  }
}

void ConfigFeed::ActivateNewVersion() {
  std::shared_ptr<const Configuration> configuration;
  std::optional<ConfigVersion> version;
  {
    const std::lock_guard lock(this->mutex);
    configuration = this->config_log.ShareActiveConfiguration();
    version = this->config_log.Version();
  }
  if (configuration == nullptr || !version ||
      !this->current_config.Replace(std::move(configuration), *version)) {
    return;
  }
  this->metrics.Count(CountedEvent::kConfigApplied);
  LogInfo("config_in_force", {{"version", version->value}});
  if (this->on_applied) {
    this->on_applied(*version);
  }
}

}  // namespace pimentospar
