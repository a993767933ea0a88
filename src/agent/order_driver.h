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

/// Drives the `OrderManager` of a target of kind models with the log and the
/// engine. Everything runs on the control thread.
class OrderDriver {
 public:
  /// Returns whether another live agent of the target has started after this
  /// one, so that this one must leave the target to it.
  using IsReplaced = std::function<bool()>;

  OrderDriver(Process& process,
              Address engine,
              IsReplaced is_replaced,
              AdmissionGate& gate);
  OrderDriver(const OrderDriver&) = delete;
  OrderDriver& operator=(const OrderDriver&) = delete;

  /// Follows the target once the configuration names it as one of models.
  void Start();

  /// Loads or unloads an item; suspends the calling fiber of the control
  /// thread, at most up to the deadline. Nothing if the end is not known then.
  [[nodiscard]] std::optional<ItemResult> Load(const Item& item,
                                               Bytes bytes,
                                               TimePoint deadline);
  [[nodiscard]] std::optional<ItemResult> Unload(const Item& item,
                                                 TimePoint deadline);

  /// Keeps requests from taking more memory while room for an item is sought;
  /// on the control thread, in pairs.
  void BeginKvLimit();
  void EndKvLimit() { --this->kv_limit_count; }

  /// The memory of the target, or null while it is not known.
  [[nodiscard]] const MemoryAccount* Account() const;
  /// Whether the account divides the memory; may be called from any thread.
  [[nodiscard]] bool HasAccount() const { return this->has_account.load(); }

 private:
  /// A connection to the engine, and whether a call is under way on it.
  struct Connection {
    std::shared_ptr<HttpConnection> http;
    bool is_busy = false;
  };
  using Waiter = std::shared_ptr<boost::fibers::promise<ItemResult>>;

  void Tick();
  /// Divides the memory that no item takes between admitted requests and items
  /// that are wanted.
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
  /// Runs a step that waits for the network in a fiber of its own.
  void RunInFiber(const std::function<void()>& step);

  Process& process;
  Address engine;
  IsReplaced is_replaced;
  AdmissionGate& gate;
  std::string stream;
  TargetId target;
  std::unique_ptr<OrderManager> manager;
  /// Numbers the managers; answers for an earlier one are dropped.
  std::uint64_t generation = 0;
  /// Set while the agent waits before it takes a new epoch.
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
