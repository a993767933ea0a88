#ifndef TEST_GATEWAY_FLEET_H_
#define TEST_GATEWAY_FLEET_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/gateway.h"
#include "platform/platform_headers.h"
#include "platform/platform_registry_format.h"
#include "support.h"

namespace pimentospar::test {

using std::chrono::milliseconds;

/// Targets that answer neither orders nor polls.
class UnreachableTargets final : public TargetControl {
 public:
  OrderAnswer Send(const TargetDescription&,
                   const PlannedOrder&,
                   std::uint64_t,
                   FencingToken) override {
    return OrderAnswer::kNoAnswer;
  }
  std::optional<TargetState> FetchState(const TargetDescription&) override {
    return std::nullopt;
  }
};

/// The view that one entry has of the shared log; it can be cut off from it.
class CuttableLog final : public SharedLog {
 public:
  explicit CuttableLog(MemoryLog& log) : log(log) {}

  LogStatus Append(std::string_view stream, std::string_view record) override {
    return this->cut ? LogStatus::kUnknown : this->log.Append(stream, record);
  }
  LogStatus AppendKeyed(std::string_view stream,
                        std::string_view key,
                        std::optional<std::string_view> value) override {
    return this->cut ? LogStatus::kUnknown
                     : this->log.AppendKeyed(stream, key, value);
  }
  LogRead Read(std::string_view stream,
               LogOffset from,
               milliseconds wait) override {
    ++this->reads[std::string(stream)];
    return this->cut ? LogRead{} : this->log.Read(stream, from, wait);
  }
  KeyedPage ReadLatestValues(std::string_view stream,
                             std::string_view after) override {
    return this->cut ? KeyedPage{} : this->log.ReadLatestValues(stream, after);
  }
  std::optional<KeyedItem> ParseKeyedRecord(std::string_view record,
                                            LogOffset offset) const override {
    return this->log.ParseKeyedRecord(record, offset);
  }

  bool cut = false;
  /// Number of reads of each stream.
  std::map<std::string, std::size_t> reads;

 private:
  MemoryLog& log;
};

/// Entries that share a log. Outlives the test case, since the fibers run until
/// the program ends.
struct Fleet {
  static Fleet& Create() {
    static std::vector<std::unique_ptr<Fleet>> all;
    all.push_back(std::make_unique<Fleet>());
    return *all.back();
  }

  Gateway& Start(const std::string& host,
                 double cores,
                 milliseconds grace_time = milliseconds(8000)) {
    const auto loopback = boost::asio::ip::make_address("127.0.0.1");
    GatewaySettings settings;
    settings.host = HostId(host);
    settings.region = RegionId("r");
    settings.data_centre = DataCentreId("d");
    settings.caller_address = {loopback, 0};
    settings.ready_address = {loopback, 0};
    settings.operator_address = {loopback, 0};
    settings.entry_address = {loopback, 0};
    settings.processor_cores = cores;
    settings.targets_check_leases = true;
    settings.grace_time = grace_time;
    settings.revoke_time = this->revoke_time;
    this->views.push_back(std::make_unique<CuttableLog>(this->log));
    this->gateways.push_back(std::make_unique<Gateway>(
        Loop(), this->timers, this->pool, this->clock, this->random, settings,
        GatewayPlatform{*this->views.back(), this->control, this->headers,
                        this->registry}));
    this->gateways.back()->Start();
    return *this->gateways.back();
  }

  /// Registers a target of the service `service`.
  void AddTarget(const std::string& name,
                 const std::string& service,
                 const std::string& address) {
    (void)this->log.AppendKeyed(
        this->registry.TargetStream(), name,
        R"({"service":")" + service + R"(","addr":")" + address +
            R"(","zone":"d","slots":8,"state":"ready","born":1})");
  }
  void SetConfig(const std::string& json) {
    (void)this->log.AppendKeyed(this->registry.ConfigStream(),
                                this->registry.ConfigKey(), json);
  }

  [[nodiscard]] std::size_t HolderCount() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        this->gateways,
        [](const auto& gateway) { return gateway->HoldsLease(); }));
  }

  SystemClock clock;
  SeededRandom random{3};
  TimerQueue timers{Loop(), clock};
  UpstreamPool pool{Loop(), timers, clock, {}};
  MemoryLog log;
  std::vector<std::unique_ptr<CuttableLog>> views;
  UnreachableTargets control;
  platform::PlatformHeaders headers;
  platform::PlatformRegistryFormat registry{{}};
  std::vector<std::unique_ptr<Gateway>> gateways;
  /// Time to revoke keys of the entries that start from now on.
  std::optional<milliseconds> revoke_time;
};

}  // namespace pimentospar::test

#endif  // TEST_GATEWAY_FLEET_H_
