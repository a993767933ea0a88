#ifndef INCLUDE_PIMENTOSPAR_ROUTING_SHARED_RETRY_BUDGET_H_
#define INCLUDE_PIMENTOSPAR_ROUTING_SHARED_RETRY_BUDGET_H_

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "pimentospar/clock.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// Limits on the retries of a service.
struct SharedRetryBudgetOptions {
  /// Retries allowed for each request in the window.
  double ratio = 0.2;
  Duration window = std::chrono::seconds(10);
  /// Retries allowed in a window for all entries together, regardless of the
  /// number of requests.
  double base_retries = 50;
  /// Fraction of the allowed retries that is used, since the entries see
  /// different windows.
  double safety_factor = 0.8;
};

/// Retry budget of each service over a sliding window, from which each entry
/// uses its share.
class SharedRetryBudget {
 public:
  SharedRetryBudget(const Clock& clock, const SharedRetryBudgetOptions& options)
      : clock(clock), options(options) {}

  void OnRequest(const ServiceId& service);
  /// Takes one retry from the budget that `entry_count` entries share; returns
  /// false if this entry's share is used up.
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
