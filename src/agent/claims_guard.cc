#include "agent/claims_guard.h"

#include <fmt/format.h>

#include <boost/fiber/operations.hpp>

#include "net/log_line.h"
#include "pimentospar/digest.h"

namespace pimentospar {

namespace {

// Shards that wait for nothing are looked at this often.
constexpr std::chrono::milliseconds kTick{5};
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

ClaimsGuard::ClaimsGuard(Process& process, Engine& engine)
    : process(process), engine(engine) {}

void ClaimsGuard::Start() {
  this->process.Repeat(kTick, [this] { this->Tick(); });
}

void ClaimsGuard::Tick() {
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
  if (active->version != this->seen_version) {
    this->seen_version = active->version;
    this->AddShards(*active, *service);
  }
  bool all_ready = true;
  bool all_settled = true;
  for (const auto& [index, shard] : this->shards) {
    const auto wake = shard->claims.NextWake();
    if (wake && *wake <= this->process.clock.Now()) {
      this->Carry(*shard, shard->claims.OnTime());
    }
    all_ready = all_ready && shard->claims.IsReady();
    all_settled = all_settled && shard->claims.IsSettled();
  }
  this->settled.store(all_settled);
  // Only the home region takes new keys; elsewhere an agent is ready without
  // its shards.
  const bool is_home =
      service->home_region == RegionId(this->process.settings.region);
  this->ready.store(all_ready || !is_home);
}

void ClaimsGuard::AddShards(const ActiveConfig& active,
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
      this->Carry(*shard, shard->claims.Start());
    }
    this->Carry(*shard, shard->claims.OnConfiguration(active.version,
                                                      configured.home_region));
  }
  this->shard_count.store(configured.shards);
}

EngineResult ClaimsGuard::Run(const Invocation& invocation,
                              TimePoint deadline) {
  const std::uint32_t count = this->shard_count.load();
  if (count == 0) {
    return {.reason = Reason::kNotReady,
            .detail = "the claims streams are not read yet"};
  }
  const auto index =
      static_cast<std::uint32_t>(Hash64(invocation.idempotency_key) % count);
  Pending pending{invocation,
                  std::make_shared<boost::fibers::promise<EngineResult>>()};
  auto answer = pending.answer->get_future();
  const bool taken = this->process.control.TryRun(
      [this, index, deadline, pending = std::move(pending)] {
        this->Request(index, pending, deadline);
      });
  if (!taken) {
    return {.reason = Reason::kRingFull,
            .retry_after = std::chrono::seconds(1)};
  }
  return answer.get();
}

void ClaimsGuard::Request(std::uint32_t index,
                          Pending pending,
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
  this->Carry(shard, shard.claims.OnRequest(request));
}

void ClaimsGuard::Spawn(const std::function<void()>& step) {
  if (!this->process.control.TryRun(step)) {
    // The shard waits for the answer to this action, so it is carried out here
    // after all.
    step();
  }
}

void ClaimsGuard::Carry(Shard& shard, ClaimActions actions) {
  for (ClaimAction& action : actions) {
    std::visit([&](auto& chosen) { this->Do(shard, std::move(chosen)); },
               action);
  }
}

void ClaimsGuard::Do(Shard& shard, const AppendGroup& action) {
  this->settled.store(false);
  this->Spawn([this, &shard, body = Encode(action.group)] {
    const auto result = this->process.log.Append(shard.stream, body);
    if (const auto* appended = std::get_if<control::Appended>(&result)) {
      this->Carry(shard, shard.claims.OnAppended(appended->offset));
    } else if (std::holds_alternative<control::AppendRefused>(result)) {
      this->Carry(shard, shard.claims.OnAppendRefused());
    } else {
      this->Carry(shard, shard.claims.OnAppendLost());
    }
  });
}

void ClaimsGuard::Do(Shard& shard, const ReadStream& action) {
  this->Spawn([this, &shard, from = action.from] {
    const auto page =
        this->process.log.Read(shard.stream, from, kRecordsPerRead);
    if (!page) {
      this->Carry(shard, shard.claims.OnReadFailed());
      return;
    }
    std::vector<StreamRecord> records;
    records.reserve(page->records.size());
    for (const control::LogRecord& record : page->records) {
      records.push_back({record.offset, record.body});
    }
    this->Carry(shard, shard.claims.OnRead({page->first, page->next, records}));
  });
}

void ClaimsGuard::Do(Shard& shard, const DispatchClaim& action) {
  const auto found = shard.pending.find(action.request);
  if (found == shard.pending.end()) {
    this->Carry(shard,
                shard.claims.OnDispatched(action.claim, DispatchRefused{}));
    return;
  }
  this->Spawn([this, &shard, claim = action.claim, deadline = action.deadline,
               invocation = found->second.invocation] {
    this->process.metrics.Count(CountedEvent::kOperationDispatched);
    const EngineResult result = this->engine.Invoke(invocation, deadline);
    this->Carry(shard,
                shard.claims.OnDispatched(claim, ToDispatchOutcome(result)));
  });
}

void ClaimsGuard::Do(Shard& shard, const AnswerRequest& action) {
  const auto found = shard.pending.find(action.request);
  if (found == shard.pending.end()) {
    return;
  }
  EngineResult result{.reason = action.answer.reason,
                      .executed = action.answer.executed};
  if (action.answer.answer) {
    result.status = static_cast<unsigned>(action.answer.answer->status);
    result.body = action.answer.answer->body;
  }
  if (result.executed == Executed::kNo && result.reason != Reason::kKeyReused) {
    result.retry_after = std::chrono::seconds(1);
  }
  found->second.answer->set_value(std::move(result));
  shard.pending.erase(found);
}

void ClaimsGuard::Do(Shard&, const AnswerLater&) {}

}  // namespace pimentospar
