#ifndef INCLUDE_PIMENTOSPAR_COMPLETION_TIMES_H_
#define INCLUDE_PIMENTOSPAR_COMPLETION_TIMES_H_

#include <cstddef>
#include <list>
#include <optional>
#include <unordered_map>

#include "pimentospar/clock.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// Remembers when fingerprints last completed, for a limited number of them.
class CompletionTimes {
 public:
  explicit CompletionTimes(std::size_t max_count) : max_count(max_count) {}

  void OnCompleted(Fingerprint fingerprint, TimePoint now);
  /// Returns nothing if the fingerprint has not completed or is forgotten.
  [[nodiscard]] std::optional<TimePoint> Last(Fingerprint fingerprint) const;
  [[nodiscard]] std::size_t Size() const { return this->index.size(); }

 private:
  struct Completion {
    Fingerprint fingerprint;
    TimePoint at;
  };
  using CompletionList = std::list<Completion>;

  std::size_t max_count;
  /// Newest first.
  CompletionList completions;
  std::unordered_map<Fingerprint, CompletionList::iterator> index;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_COMPLETION_TIMES_H_
