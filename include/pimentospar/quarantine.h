#ifndef INCLUDE_PIMENTOSPAR_QUARANTINE_H_
#define INCLUDE_PIMENTOSPAR_QUARANTINE_H_

#include <chrono>
#include <cstdint>
#include <list>
#include <optional>
#include <span>
#include <unordered_map>
#include <variant>
#include <vector>

#include "pimentospar/clock.h"
#include "pimentospar/completion_times.h"
#include "pimentospar/crash_cause.h"
#include "pimentospar/strike.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// Returns the id of the crash that ended an incarnation of a target's engine.
[[nodiscard]] CrashId CrashIdOf(const TargetId& target,
                                std::uint64_t engine_incarnation);

/// Limits and delays of a `Quarantine`.
struct QuarantineOptions {
  std::size_t max_fingerprints = 4096;
  std::uint32_t strikes_to_refuse = 3;
  Duration retention = std::chrono::hours(1);
  /// A request that is one strike short of refusal waits this long after its
  /// last strike, so that strikes from other entries arrive first. Requests
  /// that crash no target rarely have that many strikes.
  Duration propagation_delay = std::chrono::milliseconds(1500);
  /// See `CrashCauseOptions`.
  Duration common_failure_time{0};
  /// One refused request may run this long after the last strike of its cause,
  /// and twice as long after each further strike.
  Duration trial_interval = std::chrono::seconds(30);
};

/// The request has no strike and runs without restriction.
struct RunNormally {};
/// The request has strikes: it runs after `delay`, on a target that runs no
/// other request with a strike.
struct RunIsolated {
  std::uint32_t strikes = 0;
  Duration delay{0};
  /// True if the request would be refused but for the trial that it is.
  bool is_trial = false;
};
/// The request is refused with `kRequestQuarantined`.
struct RefuseQuarantined {
  std::uint32_t strikes = 0;
  /// Time until a request with the same cause may run again as a trial.
  Duration trial_delay{0};
};

using QuarantineDecision =
    std::variant<RunNormally, RunIsolated, RefuseQuarantined>;

/// Keeps the strikes that a process observed or received, and decides whether a
/// request that was in flight at crashes of targets may run again.
class Quarantine {
 public:
  explicit Quarantine(const Clock& clock,
                      const QuarantineOptions& options = {});

  /// Returns how a request may run; called before each of its attempts.
  [[nodiscard]] QuarantineDecision OnRequest(Fingerprint fingerprint);
  /// Returns how a request with several fingerprints may run, the most specific
  /// one last. It is refused, or isolated after fewer strikes, if it is a part
  /// of a cause (see `FindMatchingCause`).
  [[nodiscard]] QuarantineDecision OnRequest(
      std::span<const Fingerprint> fingerprints);
  /// Records that a refused request runs as a trial.
  void OnTrial(std::span<const Fingerprint> fingerprints);
  /// Returns the causes whose requests are refused.
  [[nodiscard]] std::span<const CrashCause> Causes() const;
  /// Returns a number that grows with each change of the strikes.
  [[nodiscard]] std::uint64_t Version() const { return this->version; }
  /// Returns whether any crashes have a likely cause, also one whose requests
  /// are not refused yet.
  [[nodiscard]] bool HasSuspects() const;

  /// Records a strike for each fingerprint that was in flight at a crash.
  void OnCrash(CrashId crash, std::span<const Fingerprint> in_flight);
  /// Clears the strikes of a request that has completed. Strikes that are
  /// reported later for crashes before that make it no suspect either.
  void OnCompleted(Fingerprint fingerprint);
  /// Merges strikes from a peer; a strike counts once, however often received.
  /// The ages count from up to `max_delay` ago, when the reports were made. A
  /// completion is taken for that old, so that it clears no later strike.
  void Import(std::span<const StrikeReport> reports,
              Duration max_delay = Duration(0));
  /// Merges strikes that were recorded at an unknown time.
  void ImportRecord(std::span<const StrikeReport> reports) {
    this->Import(reports, this->options.retention);
  }
  /// Returns at most `limit` reports: those on fingerprints that have never
  /// completed and have several strikes first, then those on the fingerprints
  /// with the most strikes, cleared ones included, and then the newest.
  [[nodiscard]] std::vector<StrikeReport> Export(std::size_t limit) const;

  /// Returns the reports on one fingerprint.
  [[nodiscard]] std::vector<StrikeReport> ExportOf(
      Fingerprint fingerprint) const;

  [[nodiscard]] bool HasStrike(Fingerprint fingerprint) const {
    return this->StrikeCount(fingerprint) > 0;
  }
  /// Returns the number of strikes that are neither cleared nor expired.
  [[nodiscard]] std::uint32_t StrikeCount(Fingerprint fingerprint) const;
  [[nodiscard]] std::size_t Size() const { return this->records.size(); }

 private:
  struct Strike {
    CrashId crash;
    TimePoint changed;
    bool cleared = false;
  };
  struct RequestRecord {
    Fingerprint fingerprint;
    TimePoint last_seen;
    std::vector<Strike> strikes;
    std::optional<TimePoint> last_trial;
    /// When the fingerprint last completed at any process; strikes before that
    /// are cleared.
    std::optional<TimePoint> completed_at;
  };
  using RecordList = std::list<RequestRecord>;

  RequestRecord& FindOrAddRecord(Fingerprint fingerprint, TimePoint seen);
  void MarkSeen(RecordList::iterator record, TimePoint seen);
  void Merge(RequestRecord& record, const Strike& strike);
  void RecordCompletion(RequestRecord& record, TimePoint completed_at);
  void DropExpired();
  void Erase(RecordList::iterator record);
  /// Returns the record that is seen least recently, but rather one whose
  /// requests are not refused.
  [[nodiscard]] RecordList::iterator FindLeastUseful();
  /// Returns whether the fingerprint is a likely cause of several crashes.
  [[nodiscard]] bool IsSuspect(const RequestRecord& record) const;
  void AppendReports(const RequestRecord& record,
                     std::vector<StrikeReport>& reports) const;
  [[nodiscard]] static std::uint32_t CountActiveStrikes(
      const RequestRecord& record);
  [[nodiscard]] static TimePoint LastChange(const RequestRecord& record);
  [[nodiscard]] std::vector<CrashCause> FindCauses(
      std::uint32_t min_strikes) const;
  void UpdateCauses() const;
  [[nodiscard]] Duration TrialDelay(const CrashCause& cause) const;

  const Clock& clock;
  QuarantineOptions options;
  CompletionTimes completions;
  /// Ordered by `last_seen`, newest first.
  RecordList records;
  std::unordered_map<Fingerprint, RecordList::iterator> index;
  std::uint64_t version = 0;
  /// The causes as of `causes_version`; those of `suspected` have fewer strikes
  /// than it takes to refuse.
  mutable std::vector<CrashCause> causes;
  mutable std::vector<CrashCause> suspected;
  mutable std::uint64_t causes_version = 0;
};

/// Admits at most one request with a strike at a time to one target, so that a
/// crash can be attributed to it.
class CrashGuard {
 public:
  explicit CrashGuard(Quarantine& quarantine) : quarantine(quarantine) {}

  /// Returns false if the attempt must be refused with `kTargetRefused`;
  /// `has_strike_at_entry` is true if the entry knows of a strike.
  [[nodiscard]] bool TryStart(AttemptId attempt,
                              Fingerprint fingerprint,
                              bool has_strike_at_entry);
  void OnEnd(AttemptId attempt);
  /// Records a strike for each request in flight at a crash, and returns their
  /// fingerprints.
  std::vector<Fingerprint> OnCrash(CrashId crash);

 private:
  struct Running {
    AttemptId attempt;
    Fingerprint fingerprint;
    bool has_strike_at_entry = false;
  };
  [[nodiscard]] bool HasStrike(const Running& running) const;

  Quarantine& quarantine;
  std::vector<Running> in_flight;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_QUARANTINE_H_
