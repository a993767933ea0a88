#ifndef SRC_AGENT_ORDER_DRIVER_H_
#define SRC_AGENT_ORDER_DRIVER_H_

#include <atomic>
#include <boost/fiber/future.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "agent/admission_gate.h"
#include "agent/engine_client.h"
#include "daemon/process.h"
#include "pimentospar/memory_account.h"

namespace pimentospar {

/// Connects the `OrderManager` of a target of kind models to the log and the
/// engine. Used on the control thread, except for `HasAccount`.
class OrderDriver {
 public:
  /// Returns whether another live agent of the target has started after this
  /// one, so that this one must not take the target over again.
  using IsReplaced = std::function<bool()>;

  OrderDriver(Process& process,
              Address engine,
              IsReplaced is_replaced,
              AdmissionGate& gate);
  OrderDriver(const OrderDriver&) = delete;
  OrderDriver& operator=(const OrderDriver&) = delete;

  /// Starts managing the target as soon as the configuration lists it as a
  /// target of kind models.
  void Start();

  /// Loads an item. Suspends the calling fiber, which must be on the control
  /// thread; returns nothing if the result is not known by the deadline.
  [[nodiscard]] std::optional<ItemResult> Load(const Item& item,
                                               Bytes bytes,
                                               TimePoint deadline);
  /// Unloads an item; otherwise like `Load`.
  [[nodiscard]] std::optional<ItemResult> Unload(const Item& item,
                                                 TimePoint deadline);

  /// Limits the memory of requests while memory is freed for an item; each call
  /// must be paired with one of `EndKvLimit`.
  void BeginKvLimit();
  /// Ends the limit set by one call of `BeginKvLimit`.
  void EndKvLimit() { --this->kv_limit_count; }

  /// Returns the memory account of the target, or null while it is not known.
  [[nodiscard]] const MemoryAccount* Account() const;
  /// Returns whether the memory is divided according to the account.
  /// Thread-safe.
  [[nodiscard]] bool HasAccount() const { return this->has_account.load(); }

 private:
  /// A connection to the engine, and whether a request is in progress on it.
  struct Connection {
    std::shared_ptr<HttpConnection> http;
    bool is_busy = false;
  };
  using Waiter = std::shared_ptr<boost::fibers::promise<ItemResult>>;

  void Tick();
  /// Divides the memory that no item takes between admitted requests and items
  /// that are to be loaded.
  void UpdateKvBudget();
  void StartManager(const TargetConfig& found,
                    const Configuration& configuration);
  void ExecuteActions(const OrderActions& actions);
  void Execute(const AppendRecord& action);
  void Execute(const ReadTargetStream& action);
  void Execute(const SendOrder& action);
  void Execute(const ReadState& action);
  void Execute(const ItemReport& action);
  void Execute(const Superseded& action);
  void ReadStream(LogOffset from, std::uint64_t generation);
  void DeliverOrder(const std::shared_ptr<HttpConnection>& connection,
                    const Order& order,
                    std::uint64_t generation);
  void FetchState(const std::shared_ptr<HttpConnection>& connection,
                  StateReadId read,
                  std::uint64_t generation);
  [[nodiscard]] std::shared_ptr<HttpConnection> AcquireConnection();
  [[nodiscard]] std::optional<ItemResult> WaitForResult(
      const Item& item,
      const OrderActions& actions,
      const Waiter& waiter,
      TimePoint deadline);
  void RecordOutcome(const Order& order, OrderOutcome outcome);
  /// Runs a step that waits for the network in a new fiber, or in the calling
  /// one if none can be started.
  void RunInFiber(const std::function<void()>& step);

  Process& process;
  Address engine;
  IsReplaced is_replaced;
  AdmissionGate& gate;
  std::string stream;
  TargetId target;
  std::unique_ptr<OrderManager> manager;
  /// Identifies the current manager; results for earlier ones are dropped.
  std::uint64_t generation = 0;
  /// Set while the agent waits before it starts a new epoch.
  std::optional<TimePoint> restart_at;
  std::size_t kv_limit_count = 0;
  Bytes kv_reserved = 0;
  std::atomic<bool> has_account = false;
  std::uint64_t connections_opened = 0;
  std::map<ConnectionId, Connection> connections;
  std::multimap<Item, Waiter> waiters;
};

}  // namespace pimentospar

#endif  // SRC_AGENT_ORDER_DRIVER_H_
