#ifndef INCLUDE_PIMENTOSPAR_QUARANTINE_H_
#define INCLUDE_PIMENTOSPAR_QUARANTINE_H_

#include <chrono>
#include <cstdint>
#include <list>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "pimentospar/clock.h"
#include "pimentospar/strike.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// Returns the id of the crash that ended an engine incarnation.
[[nodiscard]] CrashId CrashIdOf(const TargetId& target,
                                std::uint64_t engine_incarnation);

/// Returns a JSON text with sorted keys and without optional white space; other
/// texts are returned unchanged.
[[nodiscard]] std::string CanonicalBody(std::string_view body);

[[nodiscard]] Fingerprint FingerprintOf(const OwnerId& owner,
                                        const ModelId& model,
                                        std::string_view body);
[[nodiscard]] Fingerprint FingerprintOf(const OwnerId& owner,
                                        const ServiceId& service,
                                        const OperationId& operation,
                                        std::string_view body);

struct QuarantineOptions {
  std::size_t max_fingerprints = 4096;
  std::uint32_t strikes_to_refuse = 3;
  Duration retention = std::chrono::hours(1);
  /// A request that is one strike short of refusal waits this long after its
  /// last strike, so that strikes at other entries arrive first. A request that
  /// crashes no target rarely has that many.
  Duration propagation_delay = std::chrono::milliseconds(1500);
};

/// The request has no strike.
struct RunNormally {};
/// The request has a strike: run it, not before `hold` has passed, on a target
/// that runs no other request with a strike.
struct RunIsolated {
  std::uint32_t strikes = 0;
  Duration delay{0};
};
/// Refuse the request with `kRequestQuarantined`.
struct RefuseQuarantined {
  std::uint32_t strikes = 0;
};

using QuarantineDecision =
    std::variant<RunNormally, RunIsolated, RefuseQuarantined>;

/// The strikes that a process observed or received.
class Quarantine {
 public:
  explicit Quarantine(const Clock& clock,
                      const QuarantineOptions& options = {});

  /// Decides about a request before each of its attempts.
  [[nodiscard]] QuarantineDecision OnRequest(Fingerprint fingerprint);
  /// Records a strike for each fingerprint that was in flight at a crash.
  void OnCrash(CrashId crash, std::span<const Fingerprint> in_flight);
  /// Voids the strikes of a request that has completed.
  void OnCompleted(Fingerprint fingerprint);
  /// Merges strikes from a peer; a report counts once over any path.
  void Import(std::span<const StrikeReport> reports);
  /// Returns at most `limit` reports, newest first.
  [[nodiscard]] std::vector<StrikeReport> Export(std::size_t limit) const;

  [[nodiscard]] bool HasStrike(Fingerprint fingerprint) const {
    return this->StrikeCount(fingerprint) > 0;
  }
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
  };
  using RecordList = std::list<RequestRecord>;

  RequestRecord& FindOrAddRecord(Fingerprint fingerprint, TimePoint seen);
  void MarkSeen(RecordList::iterator record, TimePoint seen);
  void Merge(RequestRecord& record, const Strike& strike) const;
  void DropExpired();
  [[nodiscard]] static std::uint32_t CountActiveStrikes(
      const RequestRecord& record);

  const Clock& clock;
  QuarantineOptions options;
  /// Ordered by `last_seen`, newest first.
  RecordList records;
  std::unordered_map<Fingerprint, RecordList::iterator> index;
};

/// Guards one target: at most one request with a strike runs on it at a time.
class CrashGuard {
 public:
  explicit CrashGuard(Quarantine& quarantine) : quarantine(quarantine) {}

  /// Returns false if the attempt must be refused with `kTargetRefused`;
  /// `has_strike_at_entry` tells that the entry knows of a strike.
  [[nodiscard]] bool TryStart(AttemptId attempt,
                              Fingerprint fingerprint,
                              bool has_strike_at_entry);
  void OnEnd(AttemptId attempt);
  /// Records the strikes of a crash and returns the fingerprints that were in
  /// flight.
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
