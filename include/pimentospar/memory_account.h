#ifndef INCLUDE_PIMENTOSPAR_MEMORY_ACCOUNT_H_
#define INCLUDE_PIMENTOSPAR_MEMORY_ACCOUNT_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <variant>
#include <vector>

#include "pimentospar/clock.h"
#include "pimentospar/random.h"
#include "pimentospar/types.h"

namespace pimentospar {

using ItemId = detail::TextId<struct ItemTag>;
/// Identifies one order, and the intent that announces it.
using OrderId = detail::NumberId<struct OrderTag>;
/// Identifies one run of an engine process.
using Incarnation = detail::NumberId<struct IncarnationTag>;
/// Identifies one TCP connection to an engine; never used twice.
using ConnectionId = detail::NumberId<struct ConnectionTag>;
/// Numbers the state reads of one `OrderManager` in the order of sending.
using StateReadId = detail::NumberId<struct StateReadTag>;

/// The `id` of a log record.
struct RecordId {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const RecordId&) const = default;
};

/// What takes memory. A target has one role; an order for another replaces it.
enum class ItemKind : std::uint8_t { kWeights, kAdapter, kRole };

struct Item {
  ItemKind kind = ItemKind::kWeights;
  ItemId id;
  // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Item&) const = default;
};

/// Why an item is charged.
enum class ChargeState : std::uint8_t {
  /// An order is decided and not yet sent.
  kPlanned,
  /// An order is sent and has no answer.
  kOrdered,
  /// An order may still take effect, and the engine does not hold the item.
  kUncertain,
  kLoaded,
  kUnloading,
};

struct Charge {
  Bytes bytes = 0;
  ChargeState state = ChargeState::kPlanned;
  /// True while an order without an answer may still load the item, so that
  /// its memory cannot be given to another.
  bool pinned = false;
};

/// The memory of one target, as charges for everything that may be in use.
class MemoryAccount {
 public:
  struct Options {
    Bytes capacity = 0;
    /// Charged as a whole; adapters share it.
    Bytes adapter_pool = 0;
    std::size_t max_items = 4096;
  };

  explicit MemoryAccount(Options options) : options(options) {}

  /// Returns whether the item can be charged with these bytes, given that
  /// `freed` bytes of the same pool become free first.
  [[nodiscard]] bool Fits(const Item& item, Bytes bytes, Bytes freed = 0) const;
  /// Charges an item for an order; false if it does not fit.
  bool TryCharge(const Item& item, Bytes bytes);
  void SetState(const Item& item, ChargeState state);
  /// Charges an item that an order may still load, whether it fits or not.
  void Pin(const Item& item, Bytes bytes);
  /// Ends the pin; the charge stays until `Release`.
  void Unpin(const Item& item);
  /// Charges what the engine reports to hold.
  void Observe(const Item& item, Bytes bytes);
  void Release(const Item& item);
  void Clear() { this->charges.clear(); }

  /// Reserves memory for KV cache in place of the previous reservation; false
  /// if it does not fit.
  bool ReserveKv(Bytes bytes);
  /// Sets what the engine reports to use for KV cache.
  void ObserveKv(Bytes bytes) { this->kv_used = bytes; }
  /// Lowers or raises the capacity to what the engine reports.
  void SetCapacity(Bytes bytes) { this->options.capacity = bytes; }

  [[nodiscard]] const Charge* Find(const Item& item) const;
  [[nodiscard]] const std::map<Item, Charge>& Charges() const {
    return this->charges;
  }
  [[nodiscard]] Bytes Charged() const;
  [[nodiscard]] Bytes Capacity() const { return this->options.capacity; }

 private:
  [[nodiscard]] Bytes SumCharges(bool adapters) const;

  Options options;
  std::map<Item, Charge> charges;
  Bytes kv_reserved = 0;
  Bytes kv_used = 0;
};

/// Announces an order that takes memory, at a target that ignores fencing
/// tokens.
struct Intent {
  OrderId order;
  Item item;
  Bytes bytes = 0;
  /// The only run of the engine at which the order can arrive.
  Incarnation incarnation;
};

struct EpochRecord {
  InstanceId instance;
  std::vector<Intent> open_intents;
  /// The epoch that its own holder replaces; void after another agent's epoch.
  std::optional<LogOffset> renews;
};
struct IntentRecord {
  Intent intent;
  FencingToken epoch;
};
/// Each of these orders has taken effect or been refused, and no copy of it is
/// under way.
struct SettleRecord {
  std::vector<OrderId> orders;
};
/// A record of stream `target.<target>`.
struct TargetRecord {
  RecordId id;
  std::variant<EpochRecord, IntentRecord, SettleRecord> body;
};
struct StoredTargetRecord {
  LogOffset offset;
  TargetRecord record;
};

/// The state that follows from the records of stream `target.<target>`; the
/// same for every reader.
class TargetLog {
 public:
  struct Epoch {
    LogOffset offset;
    RecordId id;
  };

  /// Returns false if the record is void: a repeated epoch, a late renewal, or
  /// an intent whose epoch is not the newest one before it.
  bool Apply(const StoredTargetRecord& stored);
  /// Removes the intents for other runs of the engine.
  void RetainIncarnation(Incarnation incarnation);
  /// Counts an own order as settled before its record is on the log.
  void Settle(OrderId order);

  [[nodiscard]] const std::optional<Epoch>& NewestEpoch() const {
    return this->newest;
  }
  [[nodiscard]] const std::map<OrderId, Intent>& OpenIntents() const {
    return this->open;
  }

 private:
  bool ApplyEpoch(const StoredTargetRecord& stored, const EpochRecord& epoch);
  void AddOpenIntent(const Intent& intent);

  std::optional<Epoch> newest;
  std::map<OrderId, Intent> open;
  std::deque<RecordId> recent_epoch_ids;
  std::deque<OrderId> recent_settled_orders;
};

enum class OrderKind : std::uint8_t { kLoad, kUnload, kFence };

/// The body of `POST /orders`. The kind on the wire follows from `kind` and
/// `item.kind`.
struct Order {
  OrderId id;
  FencingToken fencing;
  OrderKind kind = OrderKind::kLoad;
  Item item;
  Bytes bytes = 0;
};

/// How an order ended, as far as its sender can know.
enum class OrderOutcome : std::uint8_t {
  /// Status 200.
  kDone,
  /// Status 409 `no_memory`, or another answer that the engine did not act.
  kRefused,
  /// Status 409 `fenced`.
  kFenced,
  /// No byte has left the process, for example since the connection was
  /// closed.
  kNotSent,
  /// No answer after the first byte left: the order may take effect any time.
  kUnanswered,
};

struct HeldItem {
  Item item;
  Bytes bytes = 0;
};

/// The answer to `GET /state`. The adapter lists the role as an item too, with
/// the bytes that the configuration gives it.
struct EngineReport {
  Incarnation incarnation;
  FencingToken fencing;
  Bytes capacity = 0;
  Bytes kv_used = 0;
  std::vector<HeldItem> items;
};

/// Append to stream `target.<target>`.
struct AppendRecord {
  TargetRecord record;
};
/// Read stream `target.<target>`.
struct ReadTargetStream {
  LogOffset from;
};
/// Send on this connection and no other: see `OrderManager`.
struct SendOrder {
  Order order;
  ConnectionId connection;
};
/// Send `GET /state` on a connection that is free of other requests, and keep
/// it open.
struct ReadState {
  StateReadId read;
};

enum class ItemResult : std::uint8_t {
  kLoaded,
  kUnloaded,
  /// The account has no room for it.
  kNoMemory,
  /// An order may still load it, so that unloading frees nothing.
  kPinned,
  kRefusedByEngine,
  /// The engine restarted or dropped it.
  kDropped,
  kTooManyRequests,
};
/// The end of a wanted load or unload, or the loss of a loaded item.
struct ItemReport {
  Item item;
  ItemResult result = ItemResult::kLoaded;
};
/// Another agent owns the target; this one sends nothing more.
struct Superseded {};

using OrderAction = std::variant<AppendRecord,
                                 ReadTargetStream,
                                 SendOrder,
                                 ReadState,
                                 ItemReport,
                                 Superseded>;
using OrderActions = std::vector<OrderAction>;

/// Decides the orders to one target so that its memory is never overcommitted,
/// also while predecessors are paused and their orders arrive late.
///
/// Each order goes out on the connection on which the engine answered the
/// newest state read, and on no other. A connection ends with the engine
/// process, so an order reaches the run of the engine that it was decided for
/// or none; a paused sender cannot deliver it to a later run.
///
/// While the log is down: at a target that checks fencing tokens everything
/// can be moved within the epoch held. At one that ignores them, items can be
/// unloaded, and orders whose intent was read back can be sent and repeated,
/// until the engine restarts. A new agent can move nothing.
///
/// Example: `for (OrderAction& action : manager.RequestLoad(item, bytes))`
/// `{ std::visit(adapter, action); }`
class OrderManager {
 public:
  struct Options {
    InstanceId instance;
    bool checks_fencing = true;
    MemoryAccount::Options memory;
    Duration log_retention = std::chrono::hours(168);
    Duration state_interval = std::chrono::seconds(1);
    Duration log_interval = std::chrono::seconds(30);
    Duration min_backoff = std::chrono::milliseconds(200);
    Duration max_backoff = std::chrono::seconds(10);
    std::size_t max_in_flight = 4;
    std::size_t max_adapters_in_flight = 2;
    std::size_t max_item_requests = 1024;
  };

  OrderManager(Options options, const Clock& clock, RandomSource& random);

  /// Starts the takeover.
  [[nodiscard]] OrderActions Start();
  /// Takes a batch of records; an empty batch means the tail of the stream.
  [[nodiscard]] OrderActions OnRecords(
      std::span<const StoredTargetRecord> records,
      LogOffset next);
  [[nodiscard]] OrderActions OnReadFailed();
  [[nodiscard]] OrderActions OnAppendAnswered(RecordId id, LogOffset offset);
  [[nodiscard]] OrderActions OnAppendUnanswered(RecordId id);
  [[nodiscard]] OrderActions OnOrderEnded(OrderId id, OrderOutcome outcome);
  [[nodiscard]] OrderActions OnState(StateReadId read,
                                     ConnectionId connection,
                                     const EngineReport& state);
  [[nodiscard]] OrderActions OnStateReadFailed(StateReadId read);
  /// Answered by an `ItemReport`, at once or later.
  [[nodiscard]] OrderActions RequestLoad(const Item& item, Bytes bytes);
  /// Answered by an `ItemReport`, at once or later.
  [[nodiscard]] OrderActions RequestUnload(const Item& item);
  /// To be called at least every `min_backoff`.
  [[nodiscard]] OrderActions OnTick();

  /// Returns false if the KV cache of this size does not fit.
  bool ReserveKv(Bytes bytes) { return this->account.ReserveKv(bytes); }
  [[nodiscard]] const MemoryAccount& Account() const { return this->account; }
  /// Returns whether the account is complete, so that orders can be sent.
  [[nodiscard]] bool IsActive() const {
    return this->synced_incarnation.has_value() && !this->superseded;
  }
  [[nodiscard]] bool IsSuperseded() const { return this->superseded; }
  /// The epoch held; 0 before the takeover.
  [[nodiscard]] FencingToken Token() const { return this->token; }

 private:
  enum class OrderStage : std::uint8_t {
    kAwaitingIntent,
    kReady,
    kSent,
    kUnanswered
  };
  struct PendingOrder {
    Order order;
    OrderStage stage = OrderStage::kReady;
    /// True once a copy was sent that may take effect at any later time.
    bool any_unanswered = false;
    TimePoint retry_at{};
    Duration backoff{};
  };
  struct ItemRequest {
    bool load = true;
    Bytes bytes = 0;
  };
  struct PendingAppend {
    TargetRecord record;
    bool sent = false;
    /// True after a lost append, until the stream was read to its tail.
    bool needs_tail_check = false;
    TimePoint not_before{};
  };
  using PendingOrders = std::map<OrderId, PendingOrder>;

  OrderActions Advance();
  void StepLog();
  void QueueAppend(decltype(TargetRecord::body) body);
  void QueueEpoch();
  void ApplyRecord(const StoredTargetRecord& stored);
  void ApplySettle(const SettleRecord& settle);
  void OnTailReached();
  [[nodiscard]] bool NeedsRead() const;
  [[nodiscard]] bool NeedsRenewal() const;

  void StepEngine();
  void ResetForIncarnation(const EngineReport& state);
  void DropFencedOrders();
  void ApplyState(StateReadId read, const EngineReport& state);
  void ApplyHeldItem(StateReadId read, const HeldItem& held);
  void ReleaseAbsentItems(StateReadId read, const EngineReport& state);
  [[nodiscard]] bool IsReadCurrent(StateReadId read, const Item& item) const;

  void PlanItemRequests();
  bool PlanLoad(const Item& item, Bytes bytes);
  bool PlanUnload(const Item& item);
  [[nodiscard]] bool CanStart(OrderKind kind, const Item& item) const;
  [[nodiscard]] Bytes BytesToBeFreed(const Item& item) const;
  [[nodiscard]] PendingOrders::iterator FindPendingOrder(const Item& item);
  [[nodiscard]] PendingOrders::iterator FindReadyOrder();
  void AddOrder(OrderKind kind, const Item& item, Bytes bytes);
  void Send(PendingOrder& pending);
  void EndLoad(PendingOrders::iterator pending, OrderOutcome outcome);
  void EndUnload(PendingOrders::iterator pending, OrderOutcome outcome);
  void OnOrderUnanswered(PendingOrders::iterator pending);
  void SettleOrder(const PendingOrder& pending);
  void AddPin(OrderId order, const Item& item, Bytes bytes);
  void RemovePin(OrderId order);
  void ReplaceRole(const Item& role);
  void MarkChanged(const Item& item);
  void ReportItem(const Item& item, ItemResult result);
  [[nodiscard]] Duration NextBackoff(Duration last) const;

  Options options;
  const Clock& clock;
  RandomSource& random;
  MemoryAccount account;
  TargetLog log;
  OrderActions actions;

  bool started = false;
  bool superseded = false;
  /// True from the decision for a new epoch until it has been read back.
  bool epoch_pending = false;
  RecordId epoch_id;
  FencingToken token;
  std::deque<PendingAppend> appends;
  std::vector<OrderId> orders_to_settle;
  LogOffset next_offset;
  LogOffset read_until;
  bool reading = false;
  TimePoint read_not_before{};
  Duration log_backoff{};
  TimePoint last_tail{};
  TimePoint last_epoch{};

  /// The run of the engine, and the token, that the account holds for.
  std::optional<Incarnation> synced_incarnation;
  FencingToken synced_token;
  std::optional<ConnectionId> connection;
  std::uint64_t reads_sent = 0;
  std::optional<StateReadId> state_read;
  TimePoint next_state_read{};
  TimePoint state_not_before{};
  /// The first state read that can show what became of an item.
  std::map<Item, StateReadId> first_current_read;
  PendingOrders pending_orders;
  /// Orders of predecessors and own orders without an answer; each may load
  /// its item at any later time.
  std::map<OrderId, Item> pins;
  std::map<Item, ItemRequest> item_requests;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_MEMORY_ACCOUNT_H_
