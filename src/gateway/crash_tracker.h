#ifndef SRC_GATEWAY_CRASH_TRACKER_H_
#define SRC_GATEWAY_CRASH_TRACKER_H_

#include <functional>
#include <memory>
#include <span>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "gateway/listener_list.h"
#include "gateway/upstream.h"
#include "net/metrics.h"
#include "pimentospar/quarantine.h"
#include "pimentospar/routing/target_selector.h"

namespace pimentospar {

/// Attributes crashes of targets to the requests that waited for their
/// responses, and refuses requests that would crash more of them.
class CrashTracker {
 public:
  /// `may_start_trials` tells whether this entry may let a refused request run
  /// to see whether it still crashes its target; one entry of a fleet may.
  CrashTracker(const Clock& clock,
               UpstreamPool& pool,
               Metrics& metrics,
               std::function<bool()> may_start_trials);

  /// Returns how a request may run. Starts a trial if one is due.
  [[nodiscard]] QuarantineDecision Admit(
      std::span<const Fingerprint> fingerprints);
  /// The connection of an attempt that was sent at `sent_at` broke before the
  /// target had proven that it survives the request. Suspends the fiber until
  /// it is known whether the target has crashed, and returns that.
  [[nodiscard]] bool OnConnectionBroken(
      const SelectedTarget& target,
      TimePoint sent_at,
      std::span<const Fingerprint> fingerprints);
  /// A target has survived a request.
  void OnSurvived(std::span<const Fingerprint> fingerprints);
  /// The log no longer holds this cause: its requests run again.
  void OnCauseRemoved(Fingerprint fingerprint);

  /// Merges strikes of other entries.
  void Import(std::span<const StrikeReport> reports);
  /// Merges strikes that another entry has recorded on the log.
  void ImportRecord(std::span<const StrikeReport> reports);
  /// Returns the strikes against a request: the most that any of its
  /// fingerprints has.
  [[nodiscard]] std::uint32_t StrikeCount(
      std::span<const Fingerprint> fingerprints) const;
  /// Returns the strikes that this entry observed or received.
  [[nodiscard]] const Quarantine& Strikes() const { return this->quarantine; }
  /// Returns whether this entry has seen a crash with the fingerprint in
  /// flight.
  [[nodiscard]] bool HasWitnessed(Fingerprint fingerprint) const {
    return this->witnessed.contains(fingerprint);
  }
  /// Notified when the strikes have changed.
  [[nodiscard]] FiberSignal& Changed() { return this->changed; }
  /// Called when other requests may be refused than before.
  [[nodiscard]] ListenerList& CausesChanged() { return this->causes_changed; }

 private:
  /// Whether a target has crashed.
  struct CrashCheck {
    CrashId crash;
    bool running = true;
    bool crashed = false;
    TimePoint ended_at;
    FiberSignal ended;
  };
  /// The crashes of a target since the start that is known of it. It may have
  /// started again since, which an entry without the log does not learn.
  struct CrashHistory {
    std::uint64_t crashes = 0;
    std::shared_ptr<CrashCheck> newest;
  };

  /// Returns the check of the target after an attempt has ended, when it is
  /// complete.
  [[nodiscard]] std::shared_ptr<CrashCheck> CheckTarget(
      const SelectedTarget& target,
      TimePoint sent_at);
  /// Returns whether the check tells what ended an attempt.
  [[nodiscard]] bool IsValid(const CrashCheck& check, TimePoint sent_at) const;
  void RunCheck(const SelectedTarget& target, CrashCheck& check);
  void DropOldChecks();
  void RecordCompletion(Fingerprint fingerprint, std::string_view source);
  /// Tells all that depend on the strikes if they have changed since.
  void NotifyIfChanged(std::uint64_t version_before);
  void LogNewCauses();
  void LogEndedCauses(std::span<const Fingerprint> now_refused) const;

  const Clock& clock;
  UpstreamPool& pool;
  Metrics& metrics;
  std::function<bool()> may_start_trials;
  Quarantine quarantine;
  /// By the first crash of the known incarnation of the target.
  std::unordered_map<CrashId, CrashHistory> histories;
  std::unordered_set<Fingerprint> witnessed;
  std::vector<Fingerprint> refused;
  ListenerList causes_changed;
  FiberSignal changed;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_CRASH_TRACKER_H_
