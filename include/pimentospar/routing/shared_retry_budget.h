#ifndef INCLUDE_PIMENTOSPAR_ROUTING_SHARED_RETRY_BUDGET_H_
#define INCLUDE_PIMENTOSPAR_ROUTING_SHARED_RETRY_BUDGET_H_

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "pimentospar/clock.h"
#include "pimentospar/types.h"

namespace pimentospar {

struct SharedRetryBudgetOptions {
  /// Repeats allowed for each request of the window.
  double ratio = 0.2;
  Duration window = std::chrono::seconds(10);
  /// Repeats allowed over all entries regardless of the number of requests.
  double base_retries = 50;
  /// Part of the allowance that is used, since entries see different windows.
  double safety_factor = 0.8;
};

/// The retry budget of each service over a sliding window, as one of several
/// entries uses its share of it.
class SharedRetryBudget {
 public:
  SharedRetryBudget(const Clock& clock, const SharedRetryBudgetOptions& options)
      : clock(clock), options(options) {}

  void OnRequest(const ServiceId& service);
  /// Takes one repeat from the budget that `entries` entries share; false if it
  /// is used up.
  [[nodiscard]] bool TryAcquire(const ServiceId& service,
                                std::size_t entry_count);

 private:
  struct Slice {
    TimePoint start;
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };
  struct Usage {
    std::deque<Slice> slices;
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
  };

  Slice& CurrentSlice(Usage& usage);

  const Clock& clock;
  SharedRetryBudgetOptions options;
  std::unordered_map<ServiceId, Usage> usage;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ROUTING_SHARED_RETRY_BUDGET_H_
