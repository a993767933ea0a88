#ifndef SRC_AGENT_LOAD_ON_DEMAND_H_
#define SRC_AGENT_LOAD_ON_DEMAND_H_

#include <boost/fiber/future.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "agent/copy_use.h"
#include "agent/load_grants.h"
#include "agent/order_driver.h"

namespace pimentospar {

/// What an attempt needs at the target.
struct WantedCopy {
  ModelId model;
  /// Empty for the model alone.
  AdapterId adapter;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on `a < b`
  auto operator<=>(const WantedCopy&) const = default;
};

[[nodiscard]] ItemId ModelItem(const ModelId& model);
/// Returns the name of an adapter at an engine: `model:adapter`.
[[nodiscard]] ItemId AdapterItem(const ModelId& model,
                                 const AdapterId& adapter);

/// How a wait for a copy ended; `Reason::kNone` if it is loaded.
struct CopyResult {
  Reason reason = Reason::kNone;
  std::string detail;
};

/// Loads models and adapters for attempts that need them. Jobs run on the
/// control thread.
class LoadOnDemand {
 public:
  LoadOnDemand(Process& process,
               OrderDriver& driver,
               CopyUse& use,
               const PeerTargets& peers,
               ModelLoader& loader)
      : process(process),
        driver(driver),
        use(use),
        peers(peers),
        loader(loader) {}
  LoadOnDemand(const LoadOnDemand&) = delete;
  LoadOnDemand& operator=(const LoadOnDemand&) = delete;

  /// Waits until the target has the copy, and loads it if that is possible;
  /// suspends the calling fiber of another thread up to the deadline.
  [[nodiscard]] CopyResult EnsureLoaded(const WantedCopy& wanted,
                                        TimePoint deadline);

 private:
  using Waiter = std::shared_ptr<boost::fibers::promise<CopyResult>>;
  struct Job {
    TimePoint deadline;
    std::vector<Waiter> waiters;
  };
  /// A result, or nothing while another try may succeed.
  using Step = std::optional<CopyResult>;

  void Join(const WantedCopy& wanted, TimePoint deadline, const Waiter& waiter);
  void Run(const WantedCopy& wanted);
  [[nodiscard]] Step TryModel(const ModelConfig& model);
  [[nodiscard]] Step LoadGranted(const Item& item,
                                 Bytes bytes,
                                 const GrantedLoad& load);
  [[nodiscard]] Step TryAdapter(const ModelConfig& model,
                                const AdapterId& adapter,
                                TimePoint deadline);
  /// Unloads the least recently used adapters until this one fits.
  [[nodiscard]] bool MakeAdapterRoom(const Item& item,
                                     Bytes bytes,
                                     TimePoint until);
  [[nodiscard]] std::vector<ModelId> Removable() const;
  [[nodiscard]] bool CanMakeRoom(const Item& item, Bytes bytes) const;
  /// Unloads the least recently used copies that another target keeps.
  [[nodiscard]] bool MakeRoom(const Item& item, Bytes bytes, TimePoint until);
  [[nodiscard]] bool UnloadCopy(const ModelId& model, TimePoint until);
  /// Unloads an item that `use` has reserved.
  [[nodiscard]] bool UnloadReserved(const Item& item);
  [[nodiscard]] bool IsLoaded(const Item& item) const;
  [[nodiscard]] bool Fits(const Item& item, Bytes bytes, Bytes freed = 0) const;

  Process& process;
  OrderDriver& driver;
  CopyUse& use;
  const PeerTargets& peers;
  ModelLoader& loader;
  std::map<WantedCopy, Job> jobs;
};

}  // namespace pimentospar

#endif  // SRC_AGENT_LOAD_ON_DEMAND_H_
