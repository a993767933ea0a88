#ifndef SRC_GATEWAY_RELAY_H_
#define SRC_GATEWAY_RELAY_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/answer_forwarder.h"
#include "gateway/copy_interest.h"
#include "gateway/front.h"
#include "gateway/upstream.h"
#include "net/metrics.h"
#include "pimentospar/reason.h"
#include "pimentospar/routing/route_table.h"
#include "pimentospar/routing/shared_retry_budget.h"
#include "pimentospar/routing/target_selector.h"

namespace pimentospar {

/// What the requests of an entry have in common.
struct RelayParts {
  const Clock& clock;
  RandomSource& random;
  Alarms& alarms;
  UpstreamPool& pool;
  const HeaderProtocol& protocol;
  TargetSelector& board;
  FiberSignal& board_changed;
  SharedRetryBudget& retries;
  StreamLengthEstimator& lengths;
  CopyInterest& interest;
  Metrics& metrics;
  /// Returns the routes in force; nothing before the first configuration.
  std::function<std::shared_ptr<const RouteTable>()> routes;
  /// Returns the number of entries that share the retry budget.
  std::function<std::size_t()> entry_count;
};

/// Takes one request of a caller to a target and its answer back: chooses the
/// target, waits for a missing copy, repeats what may be repeated, and tells
/// truthfully whether a failed request has run.
class Relay {
 public:
  Relay(RelayParts& parts, CallerRequest& request, CallerChannel& channel);

  /// Returns false if the caller's connection cannot be used any more.
  bool Run();
  /// Refuses the request, since the process stops.
  bool RefuseDraining();

 private:
  /// How one attempt ended.
  enum class End : std::uint8_t {
    /// The caller has its answer.
    kDelivered,
    /// No byte was sent to the target.
    kUnsent,
    /// The target has not run the request and never will.
    kNotRun,
    /// The target may have run it; no usable answer came.
    kUnknown,
    /// The target answered that it failed.
    kFailed,
    kCallerGone
  };
  struct Attempt {
    AttemptId id;
    SelectedTarget target;
    std::unique_ptr<Exchange> exchange;
    AnswerMeta meta;
    Reason reason = Reason::kNone;
  };

  [[nodiscard]] bool FindRoute();
  [[nodiscard]] TargetQuery Query() const;
  void CountInterest(const TargetQuery& query);
  /// Returns the next target, after waiting for a missing copy; nothing if the
  /// request was answered instead.
  [[nodiscard]] std::optional<SelectedTarget> Choose();
  [[nodiscard]] bool AwaitCopy(bool model_loaded);
  [[nodiscard]] bool AwaitChange(Duration patience);
  [[nodiscard]] Duration Patience(bool model_loaded) const;
  [[nodiscard]] End Try(Attempt& attempt);
  [[nodiscard]] bool Connect(Attempt& attempt);
  [[nodiscard]] End Exchanged(Attempt& attempt);
  [[nodiscard]] bool ReadOwnHead(Attempt& attempt);
  [[nodiscard]] End JudgeHead(Attempt& attempt);
  [[nodiscard]] End Forward(Attempt& attempt);
  /// Returns how long a stream may say nothing.
  [[nodiscard]] Duration EventSilence() const;
  [[nodiscard]] std::string HeadFor(const Attempt& attempt) const;
  [[nodiscard]] Duration FirstByteLimit(const SelectedTarget& target) const;
  /// Returns how the board counts the end of an attempt.
  [[nodiscard]] static AttemptOutcome ForBoard(End end, Reason reason);
  void OnAttemptEnd(Attempt& attempt, End end);
  /// Returns whether the request may be sent once more.
  [[nodiscard]] bool MayRepeat(End end, Reason reason);
  /// Answers the caller after the last attempt.
  bool Finish(End end, Reason reason);
  bool RefuseNotReady();
  bool RefuseNotFound();
  /// Refuses a request that no target could take, with the time of a load.
  bool RefuseUnplaced();
  bool Refuse(unsigned status,
              Reason reason,
              std::optional<Duration> retry_after);
  void LogEnd(std::string_view outcome, unsigned status, Reason reason);
  [[nodiscard]] Duration Left() const;
  [[nodiscard]] bool IsLate() const { return this->Left() <= Duration(0); }

  RelayParts& parts;
  CallerRequest& request;
  CallerChannel& channel;
  std::shared_ptr<const RouteTable> table;
  const RouteSpec* route = nullptr;
  ServiceId service;
  RequestMeta meta;
  TimePoint received;
  TimePoint deadline;
  std::shared_ptr<const std::string> body;
  AnswerForwarder forwarder;
  std::vector<TargetId> tried;
  /// Why the last choice gave no target.
  TargetSelection unplaced = NoUsableTarget{};
  std::uint32_t sends = 0;
  /// The target of the last send.
  TargetId last_target;
  std::uint32_t runs = 0;
  Exchange* current = nullptr;
  bool counted = false;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_RELAY_H_
