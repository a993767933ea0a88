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

/// What the handlers of all kinds of requests use.
struct EntryDependencies {
  Process& process;
  AgentDirectory& directory;
  RequestRouter& router;
};

/// A target that an attempt goes to.
struct AttemptRoute {
  KnownAgent agent;
  bool trial = false;
  bool loads_adapter = false;
};

/// Returns the time that is left, or 0.
[[nodiscard]] std::chrono::milliseconds RemainingTime(TimePoint now,
                                                      TimePoint deadline);

/// Returns the time that a target is given: less than what is left, so that its
/// refusal arrives before the deadline.
[[nodiscard]] std::chrono::milliseconds RemainingTimeForTarget(
    TimePoint now,
    TimePoint deadline);

/// How long after the deadline a target may still tell that it has not run the
/// request.
constexpr std::chrono::milliseconds kOutcomeGracePeriod{250};

/// Drops chunks until the outcome arrives; returns `otherwise` if it does not
/// arrive in time.
[[nodiscard]] Outcome AwaitOutcome(AttemptStream& stream,
                                   TimePoint until,
                                   Outcome fallback);

/// The attempts of one request, one after the other: quarantine, choice of the
/// target, and retries. Its functions suspend the request's fiber.
class RequestAttempts {
 public:
  RequestAttempts(EntryDependencies dependencies,
                  const RequestContext& context,
                  bool idempotent)
      : dependencies(dependencies), context(context), idempotent(idempotent) {}

  /// Has the quarantine judge the request; call before each attempt. Returns
  /// why it is refused, if it is.
  [[nodiscard]] std::optional<RequestError> CheckQuarantine();
  /// Chooses a target by load; waits within the deadline while no target has
  /// the model in memory.
  [[nodiscard]] std::variant<AttemptRoute, RequestError> ChooseTarget(
      ChoiceRequest request);
  /// Takes the first of these agents that was not tried.
  [[nodiscard]] std::variant<AttemptRoute, RequestError> ChooseFirstUntried(
      std::span<const KnownAgent> ordered);

  /// Notes that an attempt starts; `work` is the time that the target needs.
  void OnSent(const AttemptRoute& route, AttemptId attempt, Duration work);
  /// Notes how the attempt ended. Returns what to tell the caller if no other
  /// attempt is made; otherwise the back-off has passed.
  [[nodiscard]] std::optional<RequestError> OnFailed(const AttemptRoute& route,
                                                     AttemptId attempt,
                                                     const Outcome& outcome);
  void OnSucceeded(const AttemptRoute& route,
                   AttemptId attempt,
                   const Outcome& outcome,
                   bool slow);

  [[nodiscard]] bool HasStrike() const { return this->has_strike; }

 private:
  [[nodiscard]] RequestError MakeError(Reason reason, std::string detail) const;
  [[nodiscard]] RequestError NoTargetError() const;
  /// Waits for news of a copy that is loaded already.
  [[nodiscard]] bool WaitForCopy(const ModelId& model);
  /// Chooses an agent that loads the model on demand.
  [[nodiscard]] std::optional<AttemptRoute> ChooseAgentForLoad(
      const ModelId& id);

  EntryDependencies dependencies;
  const RequestContext& context;
  bool idempotent;
  bool has_strike = false;
  /// Attempts that count, and attempts of any kind.
  std::uint32_t counted_attempts = 0;
  std::uint32_t total_attempts = 0;
  Executed executed = Executed::kNo;
  std::vector<TargetId> tried;
  std::optional<RequestError> last_error;
};

}  // namespace pimentospar

#endif  // SRC_ENTRY_REQUEST_ATTEMPTS_H_
