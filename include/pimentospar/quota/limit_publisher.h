#ifndef INCLUDE_PIMENTOSPAR_QUOTA_LIMIT_PUBLISHER_H_
#define INCLUDE_PIMENTOSPAR_QUOTA_LIMIT_PUBLISHER_H_

#include <span>
#include <vector>

#include "pimentospar/clock.h"
#include "pimentospar/quota/quota_usage.h"

namespace pimentospar {

/// Decides when the lease holder sends the limits to all entries.
class LimitPublisher {
 public:
  explicit LimitPublisher(const Clock& clock) : clock(clock) {}

  /// Forgets what was sent, since a new lease began. The first list is sent
  /// even if it is empty.
  void Restart();
  /// Returns whether the limits are to be sent now, and takes them as sent.
  [[nodiscard]] bool Take(std::span<const QuotaLimit> limits,
                          std::size_t entry_count);
  /// Returns the number of the last list under this lease.
  [[nodiscard]] std::uint64_t Epoch() const { return this->epoch; }

 private:
  [[nodiscard]] bool IsDue(std::span<const QuotaLimit> limits,
                           std::size_t entry_count) const;

  const Clock& clock;
  std::vector<QuotaLimit> sent;
  TimePoint sent_at;
  std::uint64_t epoch = 0;
  int empty_lists_left = 0;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_QUOTA_LIMIT_PUBLISHER_H_
