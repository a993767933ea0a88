#ifndef SRC_ENTRY_REQUEST_ATTEMPTS_H_
#define SRC_ENTRY_REQUEST_ATTEMPTS_H_

#include <optional>
#include <span>
#include <variant>
#include <vector>

#include "daemon/process.h"
#include "entry/agent_directory.h"
#include "entry/request.h"
#include "entry/request_router.h"

namespace pimentospar {

/// The objects that all request handlers share.
struct EntryDependencies {
  Process& process;
  AgentDirectory& directory;
  RequestRouter& router;
};

/// The agent that an attempt is sent to; the flags are those of `PickedTarget`.
struct AttemptRoute {
  KnownAgent agent;
  bool trial = false;
  bool loads_adapter = false;
};

/// Returns the time until the deadline, or 0 if it has passed.
[[nodiscard]] std::chrono::milliseconds RemainingTime(TimePoint now,
                                                      TimePoint deadline);

/// Returns the time limit for a target: shorter than the time until the
/// deadline, so that a refusal by the target arrives before the deadline.
[[nodiscard]] std::chrono::milliseconds RemainingTimeForTarget(
    TimePoint now,
    TimePoint deadline);

/// Time after the deadline in which a target can still report that it did not
/// run the request.
constexpr std::chrono::milliseconds kOutcomeGracePeriod{250};

/// Discards chunks until the outcome arrives; returns `fallback` if it does not
/// arrive before `until`.
[[nodiscard]] OutcomeMessage AwaitOutcome(AttemptStream& stream,
                                          TimePoint until,
                                          OutcomeMessage fallback);

/// Runs the attempts of one request one after the other: checks the quarantine,
/// chooses targets and decides on retries. Its functions suspend the fiber of
/// the request.
class RequestAttempts {
 public:
  RequestAttempts(EntryDependencies dependencies,
                  const RequestContext& context,
                  bool idempotent)
      : dependencies(dependencies), context(context), idempotent(idempotent) {}

  /// Checks the request against the quarantine and waits for the delay that it
  /// prescribes; called before each attempt. Returns the error if the request
  /// is refused.
  [[nodiscard]] std::optional<RequestError> CheckQuarantine();
  /// Chooses a target by load. If no target has the model in memory, waits
  /// briefly for one within the deadline and then chooses an agent that loads
  /// the model on demand.
  [[nodiscard]] std::variant<AttemptRoute, RequestError> ChooseTarget(
      ChoiceRequest request);
  /// Returns the first of these agents that was not tried yet.
  [[nodiscard]] std::variant<AttemptRoute, RequestError> ChooseFirstUntried(
      std::span<const KnownAgent> ordered);

  /// Records that an attempt was sent; `work` is the estimated time that the
  /// target needs for it.
  void OnSent(const AttemptRoute& route, AttemptId attempt, Duration work);
  /// Records a failed attempt. Returns the error for the caller if there is no
  /// retry; otherwise returns nothing, after the backoff.
  [[nodiscard]] std::optional<RequestError> OnFailed(
      const AttemptRoute& route,
      AttemptId attempt,
      const OutcomeMessage& outcome);
  /// Records a successful attempt; `slow` lowers the health of its target.
  void OnSucceeded(const AttemptRoute& route,
                   AttemptId attempt,
                   const OutcomeMessage& outcome,
                   bool slow);

  /// Returns whether the request had a strike at the last quarantine check.
  [[nodiscard]] bool HasStrike() const { return this->has_strike; }

 private:
  [[nodiscard]] RequestError MakeError(Reason reason, std::string detail) const;
  [[nodiscard]] RequestError NoTargetError() const;
  /// Waits for a report that a target has the model in memory; returns false if
  /// none arrives in time or too many requests are waiting.
  [[nodiscard]] bool WaitForCopy(const ModelId& model);
  /// Returns an agent that was not tried yet and can load the model on demand.
  [[nodiscard]] std::optional<AttemptRoute> ChooseAgentForLoad(
      const ModelId& id);

  EntryDependencies dependencies;
  const RequestContext& context;
  bool idempotent;
  bool has_strike = false;
  /// Attempts without refusals by leaving targets, and attempts of any kind.
  std::uint32_t counted_attempts = 0;
  std::uint32_t total_attempts = 0;
  Executed executed = Executed::kNo;
  std::vector<TargetId> tried;
  std::optional<RequestError> last_error;
};

}  // namespace pimentospar

#endif  // SRC_ENTRY_REQUEST_ATTEMPTS_H_
