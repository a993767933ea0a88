#ifndef SRC_GATEWAY_REQUEST_HANDLER_H_
#define SRC_GATEWAY_REQUEST_HANDLER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/caller_server.h"
#include "gateway/copy_demand_tracker.h"
#include "gateway/response_forwarder.h"
#include "gateway/upstream.h"
#include "net/metrics.h"
#include "pimentospar/reason.h"
#include "pimentospar/routing/route_table.h"
#include "pimentospar/routing/shared_retry_budget.h"
#include "pimentospar/routing/target_selector.h"

namespace pimentospar {

/// What the requests of an entry have in common.
struct RequestDependencies {
  const Clock& clock;
  RandomSource& random;
  TimerQueue& timers;
  UpstreamPool& pool;
  const HeaderProtocol& protocol;
  TargetSelector& targets;
  FiberSignal& targets_changed;
  SharedRetryBudget& retry_budget;
  StreamLengthEstimator& stream_lengths;
  CopyDemandTracker& copy_demand;
  Metrics& metrics;
  /// Returns the routes in force; nothing before the first configuration.
  std::function<std::shared_ptr<const RouteTable>()> routes;
  /// Returns the number of entries that share the retry budget.
  std::function<std::size_t()> entry_count;
};

/// Takes one request of a caller to a target and its answer back: chooses the
/// target, waits for a missing copy, repeats what may be repeated, and tells
/// truthfully whether a failed request has run.
class RequestHandler {
 public:
  RequestHandler(RequestDependencies& deps,
                 CallerRequest& request,
                 CallerChannel& channel);

  /// Returns false if the caller's connection cannot be used any more.
  bool Run();
  /// Refuses the request, since the process stops.
  bool RefuseDraining();

 private:
  /// How one attempt ended.
  enum class AttemptStatus : std::uint8_t {
    /// The caller has its answer.
    kDelivered,
    /// No byte was sent to the target.
    kNotSent,
    /// The target has not run the request and never will.
    kNotRun,
    /// The target may have run it; no usable answer came.
    kUnknown,
    /// The target answered that it failed.
    kErrorResponse,
    kCallerDisconnected
  };
  struct Attempt {
    AttemptId id;
    SelectedTarget target;
    std::unique_ptr<UpstreamExchange> exchange;
    ResponseMeta meta;
    Reason reason = Reason::kNone;
  };

  [[nodiscard]] bool FindRoute();
  [[nodiscard]] TargetQuery BuildQuery() const;
  void RecordCopyDemand(const TargetQuery& query);
  /// Returns the next target, after waiting for a missing copy; nothing if the
  /// request was answered instead.
  [[nodiscard]] std::optional<SelectedTarget> SelectTarget();
  [[nodiscard]] bool WaitForCopy(bool model_loaded);
  [[nodiscard]] bool WaitForTargetChange(Duration max_wait);
  [[nodiscard]] Duration MaxLoadWait(bool model_loaded) const;
  [[nodiscard]] AttemptStatus RunAttempt(Attempt& attempt);
  [[nodiscard]] bool Connect(Attempt& attempt);
  [[nodiscard]] AttemptStatus SendAndReceive(Attempt& attempt);
  [[nodiscard]] bool ReadMatchingHead(Attempt& attempt);
  [[nodiscard]] AttemptStatus HandleResponseHead(Attempt& attempt);
  [[nodiscard]] AttemptStatus ForwardResponse(Attempt& attempt);
  /// Returns how long a stream may say nothing.
  [[nodiscard]] Duration EventTimeout() const;
  [[nodiscard]] std::string BuildRequestHead(const Attempt& attempt) const;
  [[nodiscard]] Duration FirstByteTimeout(const SelectedTarget& target) const;
  /// Returns how the board counts the end of an attempt.
  [[nodiscard]] static AttemptOutcome ToAttemptOutcome(
      AttemptStatus attempt_status,
      Reason reason);
  void OnAttemptEnd(Attempt& attempt, AttemptStatus attempt_status);
  /// Returns whether the request may be sent once more.
  [[nodiscard]] bool AllowRetry(AttemptStatus attempt_status, Reason reason);
  /// Answers the caller after the last attempt.
  bool Finish(AttemptStatus attempt_status, Reason reason);
  bool RefuseNotReady();
  bool RefuseNotFound();
  /// Refuses a request that no target could take, with the time of a load.
  bool RefuseWithoutTarget();
  bool Refuse(unsigned status,
              Reason reason,
              std::optional<Duration> retry_after);
  void LogOutcome(std::string_view outcome, unsigned status, Reason reason);
  [[nodiscard]] Duration RemainingTime() const;
  [[nodiscard]] bool IsPastDeadline() const {
    return this->RemainingTime() <= Duration(0);
  }

  RequestDependencies& deps;
  CallerRequest& request;
  CallerChannel& channel;
  std::shared_ptr<const RouteTable> table;
  const RouteSpec* route = nullptr;
  ServiceId service;
  RequestMeta meta;
  TimePoint received_at;
  TimePoint deadline;
  std::shared_ptr<const std::string> body;
  ResponseForwarder forwarder;
  std::vector<TargetId> tried_targets;
  /// Why the last selection gave no target.
  TargetSelection last_selection = NoUsableTarget{};
  std::uint32_t send_count = 0;
  /// The target of the last send.
  TargetId last_target;
  std::uint32_t run_count = 0;
  UpstreamExchange* current_exchange = nullptr;
  bool demand_recorded = false;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_REQUEST_HANDLER_H_
