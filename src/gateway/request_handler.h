#ifndef SRC_GATEWAY_REQUEST_HANDLER_H_
#define SRC_GATEWAY_REQUEST_HANDLER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/caller_server.h"
#include "gateway/copy_demand_tracker.h"
#include "gateway/crash_tracker.h"
#include "gateway/rate_limit_coordinator.h"
#include "gateway/response_forwarder.h"
#include "gateway/selection_queue.h"
#include "gateway/upstream.h"
#include "net/metrics.h"
#include "pimentospar/access/access_control.h"
#include "pimentospar/quota/quota_limiter.h"
#include "pimentospar/reason.h"
#include "pimentospar/routing/output_length_estimator.h"
#include "pimentospar/routing/route_table.h"
#include "pimentospar/routing/shared_retry_budget.h"
#include "pimentospar/routing/target_selector.h"

namespace pimentospar {

/// Objects that all requests of an entry share; they outlive the requests.
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
  OutputLengthEstimator& output_lengths;
  CopyDemandTracker& copy_demand;
  CrashTracker& crashes;
  RateLimitCoordinator& rate_limits;
  AccessControl& access;
  QuotaLimiter& quotas;
  SelectionQueue& selection_queue;
  Metrics& metrics;
  /// Called when the process exits soon: what has not ended gets its final
  /// response now.
  ListenerList& grace_time_ended;
  /// Returns the current routes, or null before the first configuration.
  std::function<std::shared_ptr<const RouteTable>()> routes;
  /// Returns the number of entries that share the retry budget.
  std::function<std::size_t()> entry_count;
};

/// Handles one request of a caller in steps: authenticates it, charges it to
/// the quota of its workspace, selects a target (after waiting for a missing
/// copy), sends it, retries where the route allows it, forwards the response
/// and settles the outcome. The response to a failed request tells truthfully
/// whether the request may have run.
class RequestHandler {
 public:
  RequestHandler(RequestDependencies& deps,
                 CallerRequest& request,
                 CallerChannel& channel);

  /// Handles the request; returns false if the caller's connection cannot be
  /// reused.
  bool Run();
  /// Refuses the request because the process is shutting down.
  bool RefuseDraining();

 private:
  /// How one attempt ended.
  enum class AttemptStatus : std::uint8_t {
    /// The response was sent to the caller.
    kDelivered,
    /// No byte was sent to the target.
    kNotSent,
    /// The target has not run the request and never will.
    kNotRun,
    /// The target may have run the request, but sent no usable response.
    kUnknown,
    /// The target responded with an error.
    kErrorResponse,
    kCallerDisconnected
  };
  struct Attempt {
    AttemptId id;
    SelectedTarget target;
    std::unique_ptr<UpstreamExchange> exchange;
    ResponseMeta meta;
    Reason reason = Reason::kNone;
    /// Number of events that earlier attempts have forwarded.
    std::uint32_t earlier_events = 0;
    bool target_crashed = false;
  };

  [[nodiscard]] bool FindRoute();
  /// Finds the workspace that sends the request; nothing if the request may go
  /// on.
  [[nodiscard]] std::optional<AccessDenied> Authenticate();
  /// Charges the request to the quota of its workspace; nothing if the request
  /// may go on.
  [[nodiscard]] std::optional<QuotaExceeded> Charge();
  /// Serves a request that may run: selects targets until one responds.
  bool Serve();
  /// Selects a target, sends the request to it and retries as allowed.
  bool RunAttempts();
  /// Sets the fingerprints by which the request is known when it is sent again.
  void IdentifyRequest();
  /// Returns whether the request is refused because it would crash its target.
  [[nodiscard]] bool IsQuarantined();
  [[nodiscard]] bool IsTrial() const;
  /// Cancels the current attempt if it would crash its target.
  void OnCausesChanged();
  void OnGraceTimeEnd();
  /// The current target sent an event `interval` after its previous one, or its
  /// first event.
  void OnTargetEvent(std::optional<Duration> interval);
  void OnFirstTargetEvent();
  /// Returns whether the target of the current attempt has sent an event.
  [[nodiscard]] bool HasTargetBegun() const;
  /// Returns whether the target of the current attempt has sent events for so
  /// long that the request cannot have crashed it.
  [[nodiscard]] bool HasTargetSurvived() const;
  /// Returns whether the target ended the connection, rather than this entry.
  [[nodiscard]] bool IsBrokenByTarget(const Attempt& attempt,
                                      AttemptStatus attempt_status) const;
  /// Records whether the target has survived the request.
  void RecordSurvival(Attempt& attempt, AttemptStatus attempt_status);
  [[nodiscard]] TargetQuery BuildQuery() const;
  /// Returns the number of events that the rest of the response is expected to
  /// have.
  [[nodiscard]] std::uint32_t ExpectedEvents(
      std::uint32_t tokens_per_event) const;
  /// Returns the tokens in one event of the service.
  [[nodiscard]] std::uint32_t TokensPerEvent() const;
  [[nodiscard]] OutputSource FindOutputSource() const;
  /// Records the length of a complete stream.
  void RecordOutputLength();
  void RecordCopyDemand(const TargetQuery& query);
  /// Returns the next target, after waiting for a missing copy if necessary;
  /// nothing if no target can be used in time.
  [[nodiscard]] std::optional<SelectedTarget> SelectTarget();
  [[nodiscard]] std::optional<SelectedTarget> SelectInTurn();
  /// Acquires a permit for a target with a limit and waits until it begins;
  /// returns false if the request may not be sent to the target.
  [[nodiscard]] bool AcquirePermit(const SelectedTarget& selected);
  /// Waits for the next change of the targets while `wait` records which copy
  /// the request lacks. Returns false if the request should not wait any
  /// longer.
  [[nodiscard]] bool WaitForCopy(bool model_loaded,
                                 std::optional<CopyWait>& wait);
  [[nodiscard]] bool WaitForTargetChange(Duration max_wait);
  /// Returns whether the request shares a queue with the others of this entry
  /// while all targets are overloaded.
  [[nodiscard]] bool UsesQueue() const;
  /// Returns whether other requests of the queue select a target first.
  [[nodiscard]] bool MustQueueFirst() const;
  [[nodiscard]] EntryRequest BuildEntryRequest() const;
  /// Returns the predicted work of the request; only ratios matter.
  [[nodiscard]] double PredictedWork() const;
  /// Tells the queue of the entry that the request has arrived.
  void RecordArrival();
  /// Waits in the queue of the entry; returns false if it refuses the request.
  [[nodiscard]] bool WaitInQueue();
  /// Tells the queue whether the request was sent to a target.
  void RecordQueueOutcome(bool served);
  void LogQueueRefusal(const QueueRefusal& refusal) const;
  [[nodiscard]] Duration MaxLoadWait(bool model_loaded) const;
  [[nodiscard]] AttemptStatus RunAttempt(Attempt& attempt);
  [[nodiscard]] bool Connect(Attempt& attempt);
  [[nodiscard]] AttemptStatus SendAndReceive(Attempt& attempt);
  [[nodiscard]] bool ReadMatchingHead(Attempt& attempt);
  [[nodiscard]] AttemptStatus HandleResponseHead(Attempt& attempt);
  /// Returns whether a successful response is the target's and, if a stream has
  /// begun, can go on with it.
  [[nodiscard]] bool IsUsableSuccess(const Attempt& attempt) const;
  [[nodiscard]] AttemptStatus ForwardResponse(Attempt& attempt);
  /// Returns why an attempt ended without a complete response; `by_target`
  /// unless this entry ended it.
  [[nodiscard]] Reason ReasonOfBreak(Reason by_target) const;
  [[nodiscard]] std::string BuildRequestHead(const Attempt& attempt) const;
  /// Returns the rank of the request, 0 is the most urgent.
  [[nodiscard]] std::uint32_t Rank() const;
  /// Returns the rank that the target is told, if it is told one.
  [[nodiscard]] std::optional<std::uint32_t> TargetPriority() const;
  [[nodiscard]] Duration FirstByteTimeout(const SelectedTarget& target) const;
  /// Returns the outcome that is recorded for the target of the attempt.
  [[nodiscard]] static AttemptOutcome ToAttemptOutcome(
      AttemptStatus attempt_status,
      Reason reason);
  /// Records what the response says of its target.
  void RecordNotice(const Attempt& attempt);
  void OnAttemptEnd(Attempt& attempt, AttemptStatus attempt_status);
  void LogFailedAttempt(const Attempt& attempt) const;
  void LogRateLimit(const Attempt& attempt) const;
  /// Returns whether the route and the time left allow another attempt after
  /// `runs` runs.
  [[nodiscard]] bool CanRetry(AttemptStatus attempt_status,
                              Reason reason,
                              std::uint32_t runs) const;
  /// Returns whether the request may be sent again. Takes a retry from the
  /// budget unless nothing was sent or the retry is reserved.
  [[nodiscard]] bool AllowRetry(const Attempt& attempt,
                                AttemptStatus attempt_status);
  /// Returns whether the current attempt, which is the request's `runs`-th run,
  /// may be given up after `silence` because another target can take over now.
  /// Reserves the retry: a silent target that nobody can replace may still
  /// respond. A target that responds to others is busy, and another attempt
  /// would add to its work, so it gets more time.
  [[nodiscard]] bool TryReserveRetry(std::uint32_t runs, Duration silence);
  /// Sends the final response after the last attempt.
  bool Finish(AttemptStatus attempt_status, Reason reason);
  bool RefuseNotReady();
  bool RefuseNotFound();
  /// Refuses a request that has not been authenticated.
  bool RefuseAccess(const AccessDenied& denied);
  /// Refuses a request that no target could take. `Retry-After` depends on the
  /// cause, such as the load of a copy.
  bool RefuseWithoutTarget();
  /// Returns when a caller may come back that is refused after its request was
  /// offered to targets.
  [[nodiscard]] Duration RetryAfterRefusal() const;
  bool Refuse(unsigned status,
              Reason reason,
              std::optional<Duration> retry_after);
  void LogOutcome(std::string_view outcome, unsigned status, Reason reason);
  [[nodiscard]] Duration RemainingTime() const;
  [[nodiscard]] bool IsPastDeadline() const {
    return this->RemainingTime() <= Duration(0);
  }

  static constexpr std::uint32_t kMaxSends = 5;
  /// No target is selected for a request that has this much time left or less,
  /// because no response would arrive in time.
  static constexpr std::chrono::milliseconds kMinAttemptTime{20};

  RequestDependencies& deps;
  CallerRequest& request;
  CallerChannel& channel;
  std::shared_ptr<const RouteTable> table;
  const RouteSpec* route = nullptr;
  ServiceId service;
  /// Null if the request names no workspace.
  const WorkspaceSpec* workspace = nullptr;
  /// Units of the quota that the request is charged with; 0 if none.
  double charged_units = 0;
  RequestMeta meta;
  /// What crashes of targets may be attributed to: the shared parts of the
  /// prompt, and the request, the most specific fingerprint last.
  std::vector<Fingerprint> fingerprints;
  TimePoint received_at;
  TimePoint deadline;
  std::shared_ptr<const std::string> body;
  ResponseForwarder forwarder;
  std::vector<TargetId> tried_targets;
  /// The last selection that gave no target.
  TargetSelection last_selection = NoUsableTarget{};
  std::uint32_t send_count = 0;
  /// The target of the last attempt that was sent.
  TargetId last_target;
  TimePoint last_sent_at{};
  AttemptId current_attempt;
  /// Predicted time to the first event of the last attempt; 0 if it was not
  /// predicted.
  Duration predicted_first_event{0};
  std::uint32_t run_count = 0;
  UpstreamExchange* current_exchange = nullptr;
  /// Targets that refused an attempt of this request.
  std::vector<TargetId> refused_by;
  bool retry_reserved = false;
  /// How the request may run, as of the last check.
  QuarantineDecision admission = RunNormally{};
  bool survival_recorded = false;
  /// Shortest time for which targets that refused this request want nothing,
  /// and the number of those that said so.
  std::optional<Duration> shortest_retry_after;
  std::uint32_t retry_after_count = 0;
  bool demand_recorded = false;
  /// Set from when the request joins the queue of the entry until the load that
  /// it adds to its target is known.
  std::optional<QueuePlace> queue_place;
  std::optional<QueueRefusal> queue_refusal;
  bool queue_outcome_recorded = false;
  /// Whether the request is part of a burst of its workspace; nothing before
  /// its arrival is recorded.
  std::optional<bool> in_excess;
  bool is_cut_off = false;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_REQUEST_HANDLER_H_
