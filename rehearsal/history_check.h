#ifndef REHEARSAL_HISTORY_CHECK_H_
#define REHEARSAL_HISTORY_CHECK_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "rehearsal/history.h"

namespace pimentospar::rehearsal {

/// Result of the checks of one promise (`P1` to `P7` of the design page).
struct PromiseResult {
  std::string promise;
  std::size_t checks = 0;
  /// One text for each violation.
  std::vector<std::string> violations;
};

/// Returns the text that the engine stand-in generates for a chat.
[[nodiscard]] std::string ExpectedText(std::string_view model,
                                       std::string_view prompt,
                                       std::uint64_t max_tokens);

/// Judges a history by the promises P1, P2, P3, P4, P5 and P7. No check depends
/// on how long something took.
class HistoryChecker {
 public:
  /// Keeps a reference to the history.
  explicit HistoryChecker(const History& history) : history(history) {}

  /// Returns the results in the order of the promises.
  [[nodiscard]] std::vector<PromiseResult> Check() const;

 private:
  [[nodiscard]] PromiseResult CheckMemory() const;
  [[nodiscard]] PromiseResult CheckReachable() const;
  [[nodiscard]] PromiseResult CheckAnswers() const;
  [[nodiscard]] PromiseResult CheckNotRun() const;
  [[nodiscard]] PromiseResult CheckAtMostOnce() const;
  [[nodiscard]] PromiseResult CheckPlannedStops() const;

  const History& history;
};

}  // namespace pimentospar::rehearsal

#endif  // REHEARSAL_HISTORY_CHECK_H_
