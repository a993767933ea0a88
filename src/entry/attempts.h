#ifndef SRC_ENTRY_ATTEMPTS_H_
#define SRC_ENTRY_ATTEMPTS_H_

#include <optional>
#include <span>
#include <variant>
#include <vector>

#include "daemon/process.h"
#include "entry/directory.h"
#include "entry/request.h"
#include "entry/routing.h"

namespace pimentospar {

/// What the handlers of all kinds of requests use.
struct EntryParts {
  Process& process;
  AgentDirectory& directory;
  Routing& routing;
};

/// A target that an attempt goes to.
struct Route {
  KnownAgent agent;
  bool trial = false;
  bool loads_adapter = false;
};

/// Returns the time that is left, or 0.
[[nodiscard]] std::chrono::milliseconds Remaining(TimePoint now,
                                                  TimePoint deadline);

/// Returns the time that a target is given: less than what is left, so that its
/// refusal arrives before the deadline.
[[nodiscard]] std::chrono::milliseconds RemainingAtTarget(TimePoint now,
                                                          TimePoint deadline);

/// How long after the deadline a target may still tell that it has not run the
/// request.
constexpr std::chrono::milliseconds kSettleTime{250};

/// Drops chunks until the outcome arrives; returns `otherwise` if it does not
/// arrive in time.
[[nodiscard]] OutcomeMessage AwaitOutcome(AttemptStream& stream,
                                          TimePoint until,
                                          OutcomeMessage otherwise);

/// The attempts of one request, one after the other: quarantine, choice of the
/// target, and retries. Its functions suspend the request's fiber.
class Attempts {
 public:
  Attempts(EntryParts parts, const RequestContext& context, bool idempotent)
      : parts(parts), context(context), idempotent(idempotent) {}

  /// Has the quarantine judge the request; call before each attempt. Returns
  /// why it is refused, if it is.
  [[nodiscard]] std::optional<Problem> Admit();
  /// Chooses a target by load; waits within the deadline while no target has
  /// the model in memory.
  [[nodiscard]] std::variant<Route, Problem> Choose(ChoiceRequest request);
  /// Takes the first of these agents that was not tried.
  [[nodiscard]] std::variant<Route, Problem> ChooseFirst(
      std::span<const KnownAgent> ordered);

  /// Notes that an attempt starts; `work` is the time that the target needs.
  void OnSent(const Route& route, AttemptId attempt, Duration work);
  /// Notes how the attempt ended. Returns what to tell the caller if no other
  /// attempt is made; otherwise the back-off has passed.
  [[nodiscard]] std::optional<Problem> OnFailed(const Route& route,
                                                AttemptId attempt,
                                                const OutcomeMessage& outcome);
  void OnSucceeded(const Route& route,
                   AttemptId attempt,
                   const OutcomeMessage& outcome,
                   bool slow);

  [[nodiscard]] bool IsStruck() const { return this->struck; }

 private:
  [[nodiscard]] Problem Failure(Reason reason, std::string detail) const;
  [[nodiscard]] Problem NoTarget() const;
  /// Waits for news of a copy that is loaded already.
  [[nodiscard]] bool WaitForCopy(const ModelId& model);
  /// Chooses an agent that loads the model on demand.
  [[nodiscard]] std::optional<Route> ChooseLoader(const ModelId& id);

  EntryParts parts;
  const RequestContext& context;
  bool idempotent;
  bool struck = false;
  /// Attempts that count, and attempts of any kind.
  std::uint32_t counted = 0;
  std::uint32_t tries = 0;
  Executed executed = Executed::kNo;
  std::vector<TargetId> tried;
  std::optional<Problem> last;
};

}  // namespace pimentospar

#endif  // SRC_ENTRY_ATTEMPTS_H_
