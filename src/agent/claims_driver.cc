#include "agent/claims_driver.h"

#include <fmt/format.h>

#include <boost/fiber/operations.hpp>

#include "net/log_line.h"
#include "pimentospar/digest.h"

namespace pimentospar {

namespace {

// Interval at which shards that wait for no result are checked for due timers.
constexpr std::chrono::milliseconds kTickInterval{5};
constexpr std::size_t kRecordsPerRead = 200;

DispatchOutcome ToDispatchOutcome(const EngineResult& result) {
  if (result.reason == Reason::kNone) {
    return DispatchCompleted{{static_cast<int>(result.status), result.body}};
  }
  if (result.executed == Executed::kNo) {
    return DispatchRefused{result.reason};
  }
  return DispatchUnknown{result.reason};
}

}  // namespace

ClaimsDriver::ClaimsDriver(Process& process, EngineClient& engine)
    : process(process), engine(engine) {}

void ClaimsDriver::Start() {
  this->process.Repeat(kTickInterval, [this] { this->Tick(); });
}

void ClaimsDriver::Tick() {
  const ActiveConfigPtr active = this->process.config.Get();
  if (active == nullptr) {
    return;
  }
  const TargetConfig* target = FindTarget(
      active->configuration, TargetId(this->process.settings.target));
  const ServiceConfig* service =
      target == nullptr ? nullptr
                        : FindService(active->configuration, target->service);
  if (service == nullptr) {
    this->ready.store(true);
    return;
  }
  if (active->version != this->applied_version) {
    this->applied_version = active->version;
    this->AddShards(*active, *service);
  }
  bool all_ready = true;
  bool all_settled = true;
  for (const auto& [index, shard] : this->shards) {
    const auto wake = shard->claims.NextWake();
    if (wake && *wake <= this->process.clock.Now()) {
      this->ExecuteActions(*shard, shard->claims.OnTick());
    }
    all_ready = all_ready && shard->claims.IsReady();
    all_settled = all_settled && shard->claims.IsSettled();
  }
  this->settled.store(all_settled);
  // Only the home region accepts new keys; an agent elsewhere is ready without
  // its shards.
  const bool is_home =
      service->home_region == RegionId(this->process.settings.region);
  this->ready.store(all_ready || !is_home);
}

void ClaimsDriver::AddShards(const ActiveConfig& active,
                             const ServiceConfig& configured) {
  this->service = configured.id;
  const LogLimits& log = active.configuration.log;
  for (std::uint32_t index = 0; index < configured.shards; ++index) {
    auto& shard = this->shards[index];
    if (shard == nullptr) {
      ClaimsOptions options;
      options.instance = this->process.instance;
      options.region = RegionId(this->process.settings.region);
      options.max_claims =
          this->process.settings.key_table_size / configured.shards + 1;
      options.key_retention = log.key_retention;
      options.home_renewal =
          std::chrono::duration_cast<Duration>(log.retention) / 4;
      shard = std::make_unique<Shard>(
          fmt::format("claims.{}.{}", configured.id.value, index), options,
          this->process.clock, this->process.random);
      this->ExecuteActions(*shard, shard->claims.Start());
    }
    this->ExecuteActions(*shard, shard->claims.OnConfiguration(
                                     active.version, configured.home_region));
  }
  this->shard_count.store(configured.shards);
}

EngineResult ClaimsDriver::Run(const Invocation& invocation,
                               TimePoint deadline) {
  const std::uint32_t count = this->shard_count.load();
  if (count == 0) {
    return {.reason = Reason::kNotReady,
            .detail = "the claims streams have not been read yet"};
  }
  const auto index =
      static_cast<std::uint32_t>(Hash64(invocation.idempotency_key) % count);
  PendingRequest pending{
      invocation, std::make_shared<boost::fibers::promise<EngineResult>>()};
  auto result = pending.result->get_future();
  const bool taken = this->process.control.TryRun(
      [this, index, deadline, pending = std::move(pending)] {
        this->SubmitRequest(index, pending, deadline);
      });
  if (!taken) {
    return {.reason = Reason::kRingFull,
            .retry_after = std::chrono::seconds(1)};
  }
  return result.get();
}

void ClaimsDriver::SubmitRequest(std::uint32_t index,
                                 PendingRequest pending,
                                 TimePoint deadline) {
  Shard& shard = *this->shards.at(index);
  ClaimRequest request;
  request.id = ClaimRequestId{this->next_request++};
  request.key = HashKey(pending.invocation.owner, pending.invocation.operation,
                        pending.invocation.idempotency_key);
  request.body = HashBody(pending.invocation.body);
  request.owner = pending.invocation.owner;
  request.deadline = deadline;
  shard.pending.emplace(request.id, std::move(pending));
  this->ExecuteActions(shard, shard.claims.OnRequest(request));
}

void ClaimsDriver::RunInFiber(const std::function<void()>& step) {
  if (!this->process.control.TryRun(step)) {
    // No fiber is available. The shard needs the result of this action, so it
    // is run in the calling fiber.
    step();
  }
}

void ClaimsDriver::ExecuteActions(Shard& shard, ClaimActions actions) {
  for (ClaimAction& action : actions) {
    std::visit([&](auto& chosen) { this->Execute(shard, std::move(chosen)); },
               action);
  }
}

void ClaimsDriver::Execute(Shard& shard, const AppendGroup& action) {
  this->settled.store(false);
  this->RunInFiber([this, &shard, body = Encode(action.group)] {
    const auto result = this->process.log.Append(shard.stream, body);
    if (const auto* appended = std::get_if<control::Appended>(&result)) {
      this->ExecuteActions(shard, shard.claims.OnAppended(appended->offset));
    } else if (std::holds_alternative<control::AppendRefused>(result)) {
      this->ExecuteActions(shard, shard.claims.OnAppendRefused());
    } else {
      this->ExecuteActions(shard, shard.claims.OnAppendUnanswered());
    }
  });
}

void ClaimsDriver::Execute(Shard& shard, const ReadStream& action) {
  this->RunInFiber([this, &shard, from = action.from] {
    const auto page =
        this->process.log.Read(shard.stream, from, kRecordsPerRead);
    if (!page) {
      this->ExecuteActions(shard, shard.claims.OnReadFailed());
      return;
    }
    std::vector<StreamRecord> records;
    records.reserve(page->records.size());
    for (const control::LogRecord& record : page->records) {
      records.push_back({record.offset, record.body});
    }
    this->ExecuteActions(
        shard, shard.claims.OnRead({page->first, page->next, records}));
  });
}

void ClaimsDriver::Execute(Shard& shard, const DispatchClaim& action) {
  const auto found = shard.pending.find(action.request);
  if (found == shard.pending.end()) {
    this->ExecuteActions(
        shard, shard.claims.OnDispatched(action.claim, DispatchRefused{}));
    return;
  }
  this->RunInFiber([this, &shard, claim = action.claim,
                    deadline = action.deadline,
                    invocation = found->second.invocation] {
    this->process.metrics.Count(CountedEvent::kOperationDispatched);
    const EngineResult result = this->engine.Invoke(invocation, deadline);
    this->ExecuteActions(
        shard, shard.claims.OnDispatched(claim, ToDispatchOutcome(result)));
  });
}

void ClaimsDriver::Execute(Shard& shard, const RespondToRequest& action) {
  const auto found = shard.pending.find(action.request);
  if (found == shard.pending.end()) {
    return;
  }
  EngineResult result{.reason = action.result.reason,
                      .executed = action.result.executed};
  if (action.result.response) {
    result.status = static_cast<unsigned>(action.result.response->status);
    result.body = action.result.response->body;
  }
  if (result.executed == Executed::kNo && result.reason != Reason::kKeyReused) {
    result.retry_after = std::chrono::seconds(1);
  }
  found->second.result->set_value(std::move(result));
  shard.pending.erase(found);
}

void ClaimsDriver::Execute(Shard&, const DeferResponse&) {}

}  // namespace pimentospar
