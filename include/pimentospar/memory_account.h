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
/// Identifies one order, and the intent that announces it on the log.
using OrderId = detail::NumberId<struct OrderTag>;
/// Identifies one run of an engine process.
using Incarnation = detail::NumberId<struct IncarnationTag>;
/// Identifies one TCP connection to an engine; never reused.
using ConnectionId = detail::NumberId<struct ConnectionTag>;
/// Numbers the state reads of one `OrderManager` in the order in which they are
/// sent.
using StateReadId = detail::NumberId<struct StateReadTag>;

/// The `id` of a log record: 128 random bits.
struct RecordId {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const RecordId&) const = default;
};

/// What takes memory at a target. A target has one role at a time: loading
/// another replaces it.
enum class ItemKind : std::uint8_t { kWeights, kAdapter, kRole };

struct Item {
  ItemKind kind = ItemKind::kWeights;
  ItemId id;
  // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Item&) const = default;
};

/// The state of the item that a charge stands for.
enum class ChargeState : std::uint8_t {
  /// An order is planned and not yet sent.
  kPlanned,
  /// An order is sent and not yet answered.
  kOrdered,
  /// The engine does not report the item, and an order may still load it.
  kUncertain,
  kLoaded,
  kUnloading,
};

struct Charge {
  Bytes bytes = 0;
  ChargeState state = ChargeState::kPlanned;
  /// True while an unanswered order may still load the item, so that its memory
  /// cannot be given to another item.
  bool pinned = false;
};

/// Accounts for the memory of one target: everything that may be in use there
/// has a charge.
class MemoryAccount {
 public:
  struct Options {
    Bytes capacity = 0;
    /// Memory shared by all adapters; charged as a whole.
    Bytes adapter_pool = 0;
    std::size_t max_items = 4096;
  };

  explicit MemoryAccount(Options options) : options(options) {}

  /// Returns whether the item can be charged with this size, assuming that
  /// `freed` bytes of the same pool are freed first.
  [[nodiscard]] bool Fits(const Item& item, Bytes bytes, Bytes freed = 0) const;
  /// Charges an item for a planned order; returns false if it does not fit.
  bool TryCharge(const Item& item, Bytes bytes);
  /// Changes the state of a charge; ignored if the item has none.
  void SetState(const Item& item, ChargeState state);
  /// Charges and pins an item that an unanswered order may still load, whether
  /// it fits or not.
  void Pin(const Item& item, Bytes bytes);
  /// Removes the pin; the charge stays until `Release`.
  void Unpin(const Item& item);
  /// Charges an item with the size that the engine reports to hold.
  void Observe(const Item& item, Bytes bytes);
  /// Removes the charge of an item unless it is pinned.
  void Release(const Item& item);
  void Clear() { this->charges.clear(); }

  /// Replaces the memory reserved for KV cache; returns false if it does not
  /// fit.
  bool ReserveKv(Bytes bytes);
  /// Sets the KV cache memory that the engine reports to use.
  void ObserveKv(Bytes bytes) { this->kv_used = bytes; }
  /// Sets the capacity that the engine reports.
  void SetCapacity(Bytes bytes) { this->options.capacity = bytes; }

  /// Returns the charge of an item, or null if it has none.
  [[nodiscard]] const Charge* Find(const Item& item) const;
  [[nodiscard]] const std::map<Item, Charge>& Charges() const {
    return this->charges;
  }
  /// Returns all memory in use: charges, the adapter pool and KV cache.
  [[nodiscard]] Bytes Charged() const;
  [[nodiscard]] Bytes Capacity() const { return this->options.capacity; }

 private:
  [[nodiscard]] Bytes SumCharges(bool adapters) const;

  Options options;
  std::map<Item, Charge> charges;
  Bytes kv_reserved = 0;
  Bytes kv_used = 0;
};

/// Announces an order that takes memory. Used only at targets that do not check
/// fencing tokens.
struct Intent {
  OrderId order;
  Item item;
  Bytes bytes = 0;
  /// The only run of the engine that the order can reach.
  Incarnation incarnation;
};

struct EpochRecord {
  InstanceId instance;
  std::vector<Intent> open_intents;
  /// The epoch of the same agent that this one replaces. The record is void if
  /// another epoch has replaced that one.
  std::optional<LogOffset> renews;
};
struct IntentRecord {
  Intent intent;
  FencingToken epoch;
};
/// Each of these orders has taken effect or been refused, and no duplicate of
/// it can still arrive.
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

/// The state that the records of stream `target.<target>` define; every reader
/// derives the same.
class TargetLog {
 public:
  struct Epoch {
    LogOffset offset;
    RecordId id;
  };

  /// Applies a record; returns false if it is void: a repeated epoch, a renewal
  /// after the epoch of another agent, or an intent whose epoch is not the
  /// newest one before it.
  bool Apply(const StoredTargetRecord& stored);
  /// Removes the intents for other runs of the engine.
  void RetainIncarnation(Incarnation incarnation);
  /// Marks an order as settled; for an own order, before its record is on the
  /// log.
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

/// The result of an order, as far as its sender can know.
enum class OrderOutcome : std::uint8_t {
  /// Status 200.
  kDone,
  /// Status 409 `no_memory`, or another answer that says that the engine did
  /// not act.
  kRefused,
  /// Status 409 `fenced`.
  kFenced,
  /// Nothing was sent, for example because the connection was closed.
  kNotSent,
  /// Sending has begun and no answer arrived: the order may take effect at any
  /// later time.
  kUnanswered,
};

struct HeldItem {
  Item item;
  Bytes bytes = 0;
};

/// The answer to `GET /state`. The caller also lists the role as an item, with
/// the memory that the configuration gives it.
struct EngineReport {
  Incarnation incarnation;
  FencingToken fencing;
  Bytes capacity = 0;
  Bytes kv_used = 0;
  std::vector<HeldItem> items;
};

/// Tells the caller to append to stream `target.<target>`.
struct AppendRecord {
  TargetRecord record;
};
/// Tells the caller to read stream `target.<target>`.
struct ReadTargetStream {
  LogOffset from;
};
/// Tells the caller to send an order on this connection and no other; see
/// `OrderManager`.
struct SendOrder {
  Order order;
  ConnectionId connection;
};
/// Tells the caller to send `GET /state` on a connection without other requests
/// in progress, and to keep that connection open.
struct ReadState {
  StateReadId read;
};

enum class ItemResult : std::uint8_t {
  kLoaded,
  kUnloaded,
  /// The item does not fit into the memory that is not charged.
  kNoMemory,
  /// An unanswered order may still load it, so unloading frees no memory.
  kPinned,
  kRefusedByEngine,
  /// The engine no longer holds it, after a restart or of its own accord.
  kDropped,
  kTooManyRequests,
};
/// The result of a requested load or unload, or the loss of a loaded item.
struct ItemReport {
  Item item;
  ItemResult result = ItemResult::kLoaded;
};
/// Another agent has taken over the target; this one sends nothing more.
struct Superseded {};

using OrderAction = std::variant<AppendRecord,
                                 ReadTargetStream,
                                 SendOrder,
                                 ReadState,
                                 ItemReport,
                                 Superseded>;
using OrderActions = std::vector<OrderAction>;

/// Decides which orders to send to one target, so that its memory is never
/// overcommitted, even while earlier agents of the target are paused and their
/// orders arrive late.
///
/// Each order is sent on the connection on which the engine answered the newest
/// state read, and on no other. A connection ends with the engine process, so
/// an order reaches the run of the engine that it was decided for or none; a
/// paused sender cannot deliver it to a later run.
///
/// While the log is unavailable: at a target that checks fencing tokens, all
/// items can still be loaded and unloaded within the epoch held. At one that
/// does not, items can be unloaded, and orders whose intent was read back can
/// be sent and repeated, until the engine restarts. A new agent can load and
/// unload nothing.
///
///     for (OrderAction& action : manager.RequestLoad(item, bytes)) {
///       std::visit(adapter, action);
///     }
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

  /// Starts taking over the target from its previous agent.
  [[nodiscard]] OrderActions Start();
  /// Applies a batch of records; `next` is the offset to read next. An empty
  /// batch means that the tail of the stream is reached.
  [[nodiscard]] OrderActions OnRecords(
      std::span<const StoredTargetRecord> records,
      LogOffset next);
  [[nodiscard]] OrderActions OnReadFailed();
  /// Called when an append was acknowledged with its offset.
  [[nodiscard]] OrderActions OnAppendAnswered(RecordId id, LogOffset offset);
  /// Called when an append failed or its answer was lost; it may be on the
  /// log.
  [[nodiscard]] OrderActions OnAppendUnanswered(RecordId id);
  /// Called when the result of an order is known, or known to be lost.
  [[nodiscard]] OrderActions OnOrderEnded(OrderId id, OrderOutcome outcome);
  /// Called with the answer to a state read and the connection that it
  /// arrived on.
  [[nodiscard]] OrderActions OnState(StateReadId read,
                                     ConnectionId connection,
                                     const EngineReport& state);
  [[nodiscard]] OrderActions OnStateReadFailed(StateReadId read);
  /// Requests a load. An `ItemReport` gives the result, at once or later.
  [[nodiscard]] OrderActions RequestLoad(const Item& item, Bytes bytes);
  /// Requests an unload. An `ItemReport` gives the result, at once or later.
  [[nodiscard]] OrderActions RequestUnload(const Item& item);
  /// Must be called at least every `min_backoff`.
  [[nodiscard]] OrderActions OnTick();

  /// Reserves memory for KV cache; returns false if it does not fit.
  bool ReserveKv(Bytes bytes) { return this->account.ReserveKv(bytes); }
  [[nodiscard]] const MemoryAccount& Account() const { return this->account; }
  /// Returns whether the account is complete, so that orders can be sent.
  [[nodiscard]] bool IsActive() const {
    return this->synced_incarnation.has_value() && !this->superseded;
  }
  [[nodiscard]] bool IsSuperseded() const { return this->superseded; }
  /// The token of the epoch held; 0 before the takeover.
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
    /// True if any attempt to send it went unanswered, so that it may take
    /// effect at any later time.
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
    /// True after an unanswered append, until the stream has been read to its
    /// tail.
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
  /// True from queuing a new epoch until it has been read back.
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

  /// The run of the engine that the account describes.
  std::optional<Incarnation> synced_incarnation;
  /// The token held when the account was last matched with the engine; an
  /// engine that checks fencing tokens holds it too.
  FencingToken synced_token;
  std::optional<ConnectionId> connection;
  std::uint64_t reads_sent = 0;
  std::optional<StateReadId> state_read;
  TimePoint next_state_read{};
  TimePoint state_not_before{};
  /// The first state read that shows the effect of the last order for an item;
  /// earlier ones may be out of date.
  std::map<Item, StateReadId> first_current_read;
  PendingOrders pending_orders;
  /// Unanswered orders, own ones and those of earlier agents; each may load its
  /// item at any later time.
  std::map<OrderId, Item> pins;
  std::map<Item, ItemRequest> item_requests;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_MEMORY_ACCOUNT_H_
