#ifndef SRC_AGENT_ON_DEMAND_LOADER_H_
#define SRC_AGENT_ON_DEMAND_LOADER_H_

#include <boost/fiber/future.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "agent/copy_use_tracker.h"
#include "agent/load_grants.h"
#include "agent/order_driver.h"

namespace pimentospar {

/// The model, and possibly the adapter, that an attempt needs at the target.
struct RequestedCopy {
  ModelId model;
  /// Empty if no adapter is needed.
  AdapterId adapter;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on `a < b`
  auto operator<=>(const RequestedCopy&) const = default;
};

/// Returns the name of a model at an engine.
[[nodiscard]] ItemId ModelItemId(const ModelId& model);
/// Returns the name of an adapter at an engine: `model:adapter`.
[[nodiscard]] ItemId AdapterItemId(const ModelId& model,
                                   const AdapterId& adapter);

/// The result of a wait for a copy; `Reason::kNone` if the copy is loaded.
struct CopyLoadResult {
  Reason reason = Reason::kNone;
  std::string detail;
};

/// Loads models and adapters for attempts that need them. Jobs run on the
/// control thread.
class OnDemandLoader {
 public:
  OnDemandLoader(Process& process,
                 OrderDriver& order_driver,
                 CopyUseTracker& copy_use,
                 const PeerTargets& peers,
                 LoadGrantSource& grant_source)
      : process(process),
        order_driver(order_driver),
        copy_use(copy_use),
        peers(peers),
        grant_source(grant_source) {}
  OnDemandLoader(const OnDemandLoader&) = delete;
  OnDemandLoader& operator=(const OnDemandLoader&) = delete;

  /// Waits until the target has the copy, and loads it if possible. Suspends
  /// the calling fiber, which must not be on the control thread, at most until
  /// the deadline.
  [[nodiscard]] CopyLoadResult EnsureLoaded(const RequestedCopy& requested,
                                            TimePoint deadline);

 private:
  using Waiter = std::shared_ptr<boost::fibers::promise<CopyLoadResult>>;
  /// The load of one copy, on behalf of all attempts that wait for it.
  struct LoadJob {
    TimePoint deadline;
    std::vector<Waiter> waiters;
  };
  /// The result of a try, or nothing if another try may succeed.
  using TryResult = std::optional<CopyLoadResult>;

  /// Adds a waiter to the job of a copy; starts the job if there is none.
  void JoinJob(const RequestedCopy& requested,
               TimePoint deadline,
               const Waiter& waiter);
  void RunJob(const RequestedCopy& requested);
  [[nodiscard]] TryResult TryLoadModel(const ModelConfig& model);
  [[nodiscard]] TryResult LoadWithGrant(const Item& item,
                                        Bytes bytes,
                                        const TimedLoadGrant& load);
  [[nodiscard]] TryResult TryLoadAdapter(const ModelConfig& model,
                                         const AdapterId& adapter,
                                         TimePoint deadline);
  /// Unloads the least recently used adapters until this one fits; returns
  /// whether it fits.
  [[nodiscard]] bool FreeAdapterMemory(const Item& item,
                                       Bytes bytes,
                                       TimePoint deadline);
  /// Returns the models that are not needed here and loaded elsewhere, least
  /// recently used first.
  [[nodiscard]] std::vector<ModelId> RemovableModels() const;
  /// Returns whether the item would fit if all removable models were unloaded.
  /// Unloads nothing; `FreeMemory` may still fail, for example if no other
  /// target promises to keep a model.
  [[nodiscard]] bool CanFreeMemory(const Item& item, Bytes bytes) const;
  /// Unloads the least recently used models that another target keeps until the
  /// item fits; returns whether it fits.
  [[nodiscard]] bool FreeMemory(const Item& item,
                                Bytes bytes,
                                TimePoint deadline);
  /// Unloads a model once another agent has promised to keep its copy.
  [[nodiscard]] bool UnloadCopy(const ModelId& model, TimePoint deadline);
  /// Unloads an item that `copy_use` has reserved.
  [[nodiscard]] bool UnloadReserved(const Item& item);
  [[nodiscard]] bool IsLoaded(const Item& item) const;
  [[nodiscard]] bool Fits(const Item& item, Bytes bytes, Bytes freed = 0) const;

  Process& process;
  OrderDriver& order_driver;
  CopyUseTracker& copy_use;
  const PeerTargets& peers;
  LoadGrantSource& grant_source;
  std::map<RequestedCopy, LoadJob> jobs;
};

}  // namespace pimentospar

#endif  // SRC_AGENT_ON_DEMAND_LOADER_H_
