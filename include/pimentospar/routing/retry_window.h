#ifndef INCLUDE_PIMENTOSPAR_ROUTING_RETRY_WINDOW_H_
#define INCLUDE_PIMENTOSPAR_ROUTING_RETRY_WINDOW_H_

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "pimentospar/clock.h"
#include "pimentospar/types.h"

namespace pimentospar {

struct RetryWindowOptions {
  /// Repeats allowed for each request of the window.
  double ratio = 0.2;
  Duration window = std::chrono::seconds(10);
  /// Repeats allowed over all entries regardless of the number of requests.
  double slack = 50;
  /// Part of the allowance that is used, since entries see different windows.
  double margin = 0.8;
};

/// The retry budget of each service over a sliding window, as one of several
/// entries uses its share of it.
class RetryWindow {
 public:
  RetryWindow(const Clock& clock, const RetryWindowOptions& options)
      : clock(clock), options(options) {}

  void OnRequest(const ServiceId& service);
  /// Takes one repeat from the budget that `entries` entries share; false if it
  /// is used up.
  [[nodiscard]] bool TryTake(const ServiceId& service, std::size_t entries);

 private:
  struct Slice {
    TimePoint start;
    std::uint32_t requests = 0;
    std::uint32_t repeats = 0;
  };
  struct Usage {
    std::deque<Slice> slices;
    std::uint64_t requests = 0;
    std::uint64_t repeats = 0;
  };

  Slice& Current(Usage& usage);

  const Clock& clock;
  RetryWindowOptions options;
  std::unordered_map<ServiceId, Usage> usage;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ROUTING_RETRY_WINDOW_H_
