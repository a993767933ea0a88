#include "agent/order_driver.h"

#include <boost/json.hpp>

#include "agent/target_records.h"
#include "net/log_line.h"

namespace pimentospar {

namespace {

constexpr std::chrono::milliseconds kTickInterval{20};
constexpr std::size_t kRecordsPerRead = 200;
constexpr std::chrono::seconds kStateTimeout{2};
// The engine answers a load order after the transfer, which a busy weight store
// slows down. An order without an answer by then counts as unanswered.
constexpr std::chrono::seconds kOrderTimeout{60};
// A superseded agent waits this long, plus a random time of up to the same
// length, before it takes the target over again, so that two agents of one
// target do not keep replacing each other.
constexpr std::chrono::seconds kRestartBackoff{5};
// The adapters together get 1/8 of a target's memory.
constexpr Bytes kAdapterPoolDivisor = 8;
// Requests keep at least 1/16 of a target's memory for KV cache.
constexpr Bytes kKvFloorDivisor = 16;

Item ToItem(const EngineItem& row) {
  // The kind of an item that is still loading is `loading`, so the name is used
  // instead: that of an adapter is `model:adapter`.
  const bool is_adapter = row.item.find(':') != std::string::npos;
  return {is_adapter ? ItemKind::kAdapter : ItemKind::kWeights,
          ItemId(row.item)};
}

EngineReport ToReport(const EngineState& state) {
  EngineReport report{Incarnation{state.incarnation}, state.fencing,
                      state.capacity_bytes, state.kv_used_bytes};
  for (const EngineItem& row : state.items) {
    report.items.push_back({ToItem(row), row.bytes});
  }
  // The configuration assigns no memory to a role.
  if (!state.role.empty()) {
    report.items.push_back({{ItemKind::kRole, ItemId(state.role)}, 0});
  }
  return report;
}

OrderOutcome ToOutcome(const HttpResult& result) {
  if (result.progress == HttpProgress::kNotSent) {
    return OrderOutcome::kNotSent;
  }
  if (!result.complete) {
    return OrderOutcome::kUnanswered;
  }
  if (result.status == 200) {
    return OrderOutcome::kDone;
  }
  if (result.status == 409) {
    boost::json::error_code error;
    const auto body = boost::json::parse(result.body, error);
    const auto* object = error ? nullptr : body.if_object();
    const auto* reason =
        object == nullptr ? nullptr : object->if_contains("reason");
    return reason != nullptr && *reason == "fenced" ? OrderOutcome::kFenced
                                                    : OrderOutcome::kRefused;
  }
  // Any other 4xx status means that the engine did not act; after a 5xx status
  // it may or may not have acted.
  return result.status < 500 ? OrderOutcome::kRefused
                             : OrderOutcome::kUnanswered;
}

Bytes AdapterPool(const Configuration& configuration, Bytes memory) {
  const bool any = std::ranges::any_of(
      configuration.models,
      [](const ModelConfig& model) { return !model.adapters.empty(); });
  return any ? memory / kAdapterPoolDivisor : 0;
}

}  // namespace

OrderDriver::OrderDriver(Process& process,
                         Address engine,
                         IsReplaced is_replaced,
                         AdmissionGate& gate)
    : process(process),
      engine(std::move(engine)),
      is_replaced(std::move(is_replaced)),
      gate(gate),
      target(process.settings.target) {}

void OrderDriver::Start() {
  this->process.Repeat(kTickInterval, [this] { this->Tick(); });
}

const MemoryAccount* OrderDriver::Account() const {
  return this->manager != nullptr && this->manager->IsActive()
             ? &this->manager->Account()
             : nullptr;
}

void OrderDriver::Tick() {
  const TimePoint now = this->process.clock.Now();
  if (this->restart_at) {
    if (now < *this->restart_at) {
      return;
    }
    if (this->process.IsDraining() || this->is_replaced()) {
      this->restart_at = now + kRestartBackoff;
      return;
    }
    this->restart_at.reset();
    this->manager.reset();
  }
  if (this->manager != nullptr) {
    this->UpdateKvBudget();
    this->ExecuteActions(this->manager->OnTick());
    return;
  }
  const ActiveConfigPtr active = this->process.config.Get();
  const TargetConfig* found =
      active == nullptr ? nullptr
                        : FindTarget(active->configuration, this->target);
  if (found != nullptr && found->kind == TargetKind::kModels) {
    this->StartManager(*found, active->configuration);
  }
}

void OrderDriver::BeginKvLimit() {
  ++this->kv_limit_count;
  this->UpdateKvBudget();
}

void OrderDriver::UpdateKvBudget() {
  const MemoryAccount* account = this->Account();
  this->has_account.store(account != nullptr);
  if (account == nullptr) {
    return;
  }
  const Bytes capacity = account->Capacity();
  const Bytes other_bytes =
      account->Charged() - std::min(account->Charged(), this->kv_reserved);
  Bytes budget = capacity - std::min(capacity, other_bytes);
  // While a load or unload is awaited, new requests are admitted only within
  // the minimum KV cache set by `kKvFloorDivisor`; running requests keep what
  // they use. The remaining memory is left to the items to load.
  if (this->kv_limit_count > 0 || !this->waiters.empty()) {
    budget = std::min(budget, capacity / kKvFloorDivisor);
  }
  // The capacity of the gate is lowered before the reservation and raised after
  // it, so that the reservation always covers all admitted requests.
  if (budget < this->kv_reserved) {
    this->gate.SetKvCapacity(budget);
  }
  const Bytes reserve = std::max(budget, this->gate.Load().kv_in_use);
  if (this->manager->ReserveKv(reserve)) {
    this->kv_reserved = reserve;
  }
  this->gate.SetKvCapacity(std::min(budget, this->kv_reserved));
}

void OrderDriver::StartManager(const TargetConfig& found,
                               const Configuration& configuration) {
  OrderManager::Options options;
  options.instance = this->process.instance;
  options.checks_fencing = found.checks_fencing;
  options.memory.capacity = found.memory_bytes;
  options.memory.adapter_pool = AdapterPool(configuration, found.memory_bytes);
  options.log_retention =
      std::chrono::duration_cast<Duration>(configuration.log.retention);
  this->stream = "target." + this->target.value;
  ++this->generation;
  this->manager = std::make_unique<OrderManager>(options, this->process.clock,
                                                 this->process.random);
  this->ExecuteActions(this->manager->Start());
}

void OrderDriver::ExecuteActions(const OrderActions& actions) {
  for (const OrderAction& action : actions) {
    std::visit([this](const auto& chosen) { this->Execute(chosen); }, action);
  }
}

void OrderDriver::RunInFiber(const std::function<void()>& step) {
  if (!this->process.control.TryRun(step)) {
    // No fiber is available. The manager needs the result of this action, so it
    // is run in the calling fiber.
    step();
  }
}

void OrderDriver::Execute(const AppendRecord& action) {
  this->RunInFiber([this, generation = this->generation,
                    record = action.record] {
    const auto result =
        this->process.log.Append(this->stream, Encode(record, this->target));
    if (generation != this->generation) {
      return;
    }
    const auto* appended = std::get_if<control::Appended>(&result);
    this->ExecuteActions(
        appended != nullptr
            ? this->manager->OnAppendAnswered(record.id, appended->offset)
            : this->manager->OnAppendUnanswered(record.id));
  });
}

void OrderDriver::Execute(const ReadTargetStream& action) {
  this->RunInFiber([this, generation = this->generation, from = action.from] {
    this->ReadStream(from, generation);
  });
}

void OrderDriver::ReadStream(LogOffset from, std::uint64_t generation) {
  std::vector<StoredTargetRecord> records;
  // The manager takes an empty batch for the tail of the stream, so pages
  // without a readable record are skipped.
  while (records.empty()) {
    const auto page =
        this->process.log.Read(this->stream, from, kRecordsPerRead);
    if (generation != this->generation) {
      return;
    }
    if (!page) {
      this->ExecuteActions(this->manager->OnReadFailed());
      return;
    }
    from = page->next;
    for (const control::LogRecord& record : page->records) {
      if (auto read = DecodeTargetRecord(record.body)) {
        records.push_back({record.offset, std::move(*read)});
        continue;
      }
      LogWarning("target_record_unreadable",
                 {{"stream", this->stream}, {"offset", record.offset.value}});
    }
    if (page->records.empty()) {
      break;
    }
  }
  this->ExecuteActions(this->manager->OnRecords(records, from));
}

void OrderDriver::Execute(const SendOrder& action) {
  const auto found = this->connections.find(action.connection);
  if (found == this->connections.end()) {
    this->RunInFiber(
        [this, generation = this->generation, id = action.order.id] {
          if (generation == this->generation) {
            this->ExecuteActions(
                this->manager->OnOrderEnded(id, OrderOutcome::kNotSent));
          }
        });
    return;
  }
  found->second.is_busy = true;
  this->RunInFiber([this, generation = this->generation, order = action.order,
                    connection = found->second.http] {
    this->DeliverOrder(connection, order, generation);
  });
}

void OrderDriver::DeliverOrder(
    const std::shared_ptr<HttpConnection>& connection,
    const Order& order,
    std::uint64_t generation) {
  const HttpResult result = connection->Fetch(
      {.method = "POST", .path = "/orders", .body = Encode(order)},
      this->process.clock.Now() + kOrderTimeout);
  const OrderOutcome outcome = ToOutcome(result);
  this->connections.erase(ConnectionId{connection->Id()});
  this->RecordOutcome(order, outcome);
  if (generation == this->generation) {
    this->ExecuteActions(this->manager->OnOrderEnded(order.id, outcome));
  }
}

void OrderDriver::RecordOutcome(const Order& order, OrderOutcome outcome) {
  if (outcome == OrderOutcome::kNotSent) {
    return;
  }
  this->process.metrics.Count(CountedEvent::kOrderSent);
  if (outcome == OrderOutcome::kUnanswered) {
    this->process.metrics.Count(CountedEvent::kOrderUnknown);
    LogWarning("order_unknown",
               {{"order", order.id.value}, {"item", order.item.id.value}});
  }
  if (outcome == OrderOutcome::kDone && order.kind != OrderKind::kFence) {
    const bool loaded = order.kind == OrderKind::kLoad;
    this->process.metrics.Count(loaded ? CountedEvent::kLoadDone
                                       : CountedEvent::kUnloadDone);
    LogInfo(loaded ? "item_loaded" : "item_unloaded",
            {{"item", order.item.id.value}, {"bytes", order.bytes}});
  }
}

std::shared_ptr<HttpConnection> OrderDriver::AcquireConnection() {
  for (auto& [id, connection] : this->connections) {
    if (!connection.is_busy) {
      connection.is_busy = true;
      return connection.http;
    }
  }
  const ConnectionId id{++this->connections_opened};
  auto http = std::make_shared<HttpConnection>(this->process.http, this->engine,
                                               id.value);
  this->connections[id] = {http, true};
  return http;
}

void OrderDriver::Execute(const ReadState& action) {
  this->RunInFiber([this, generation = this->generation, read = action.read,
                    connection = this->AcquireConnection()] {
    this->FetchState(connection, read, generation);
  });
}

void OrderDriver::FetchState(const std::shared_ptr<HttpConnection>& connection,
                             StateReadId read,
                             std::uint64_t generation) {
  const ConnectionId id{connection->Id()};
  const HttpResult result = connection->Fetch(
      {.path = "/state"}, this->process.clock.Now() + kStateTimeout);
  const auto state = result.complete && result.status == 200
                         ? ParseEngineState(result.body)
                         : std::nullopt;
  if (state) {
    this->connections[id].is_busy = false;
  } else {
    this->connections.erase(id);
  }
  if (generation != this->generation) {
    return;
  }
  this->ExecuteActions(state
                           ? this->manager->OnState(read, id, ToReport(*state))
                           : this->manager->OnStateReadFailed(read));
}

void OrderDriver::Execute(const ItemReport& action) {
  LogDebug("item_report", {{"item", action.item.id.value},
                           {"result", static_cast<int>(action.result)}});
  const auto [first, last] = this->waiters.equal_range(action.item);
  std::vector<Waiter> ended;
  for (auto waiter = first; waiter != last; ++waiter) {
    ended.push_back(waiter->second);
  }
  this->waiters.erase(first, last);
  for (const Waiter& waiter : ended) {
    waiter->set_value(action.result);
  }
}

void OrderDriver::Execute(const Superseded&) {
  constexpr Duration kBackoff = kRestartBackoff;
  const Duration extra{
      static_cast<Duration::rep>(this->process.random.NextBelow(
          static_cast<std::uint64_t>(kBackoff.count())))};
  LogWarning("target_superseded", {{"target", this->target.value},
                                   {"token", this->manager->Token().value}});
  this->restart_at = this->process.clock.Now() + kBackoff + extra;
  // From now on, results for this manager are dropped.
  ++this->generation;
}

std::optional<ItemResult> OrderDriver::Load(const Item& item,
                                            Bytes bytes,
                                            TimePoint deadline) {
  if (this->Account() == nullptr) {
    return std::nullopt;
  }
  const Waiter waiter = std::make_shared<boost::fibers::promise<ItemResult>>();
  this->waiters.emplace(item, waiter);
  return this->WaitForResult(item, this->manager->RequestLoad(item, bytes),
                             waiter, deadline);
}

std::optional<ItemResult> OrderDriver::Unload(const Item& item,
                                              TimePoint deadline) {
  if (this->Account() == nullptr) {
    return std::nullopt;
  }
  const Waiter waiter = std::make_shared<boost::fibers::promise<ItemResult>>();
  this->waiters.emplace(item, waiter);
  return this->WaitForResult(item, this->manager->RequestUnload(item), waiter,
                             deadline);
}

std::optional<ItemResult> OrderDriver::WaitForResult(
    const Item& item,
    const OrderActions& actions,
    const Waiter& waiter,
    TimePoint deadline) {
  auto result = waiter->get_future();
  this->ExecuteActions(actions);
  if (result.wait_until(deadline) == boost::fibers::future_status::ready) {
    return result.get();
  }
  const auto [first, last] = this->waiters.equal_range(item);
  for (auto known = first; known != last; ++known) {
    if (known->second == waiter) {
      this->waiters.erase(known);
      break;
    }
  }
  return std::nullopt;
}

}  // namespace pimentospar
