#ifndef INCLUDE_PIMENTOSPAR_ACCESS_CONFIG_FRESHNESS_H_
#define INCLUDE_PIMENTOSPAR_ACCESS_CONFIG_FRESHNESS_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>

#include "pimentospar/clock.h"
#include "pimentospar/random.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// A text of the configuration. A log that was restored from an older copy may
/// give out a version twice, with different texts.
struct ConfigIdentity {
  ConfigVersion version;
  /// Hash of the text.
  std::uint64_t hash = 0;

  auto operator<=>(const ConfigIdentity&) const = default;
};

/// What another entry replies to a query.
struct PeerFreshness {
  ConfigIdentity config;
  /// Time from the proof of the other entry to its reply.
  std::chrono::milliseconds age{0};
};

/// What a reply of another entry has shown.
enum class ReplyEffect : std::uint8_t {
  /// No pending query has its ID, so that it proves nothing.
  kNoQuery,
  /// The other entry has a newer configuration, which must be read now.
  kNewerConfig,
  /// The other entry has an older configuration, or its proof is too old.
  kNoProof,
  kProof,
};

/// Where a proof of freshness comes from.
enum class ProofSource : std::uint8_t { kNone, kLog, kEntry };

[[nodiscard]] std::string_view ToString(ProofSource source);

/// Proves how fresh the configuration in force is. The proof time is a moment
/// at which no newer version was on the log. A key that was revoked before it
/// is not accepted. Needs a clock that also advances while the host is
/// suspended.
class ConfigFreshness {
 public:
  /// Without a time to revoke keys, nothing needs to be proved.
  ConfigFreshness(const Clock& clock,
                  RandomSource& random,
                  std::optional<std::chrono::milliseconds> revoke_time);

  /// A configuration is in force from now on.
  void OnConfig(const ConfigIdentity& config, bool has_workspaces);
  /// A read of the log that began at `began_at` has shown `newest` as the
  /// newest configuration; nothing if it cannot be used.
  void OnOwnRead(TimePoint began_at,
                 const std::optional<ConfigIdentity>& newest);
  /// Returns the ID of a query that is sent to other entries now.
  [[nodiscard]] std::uint64_t BeginQuery();
  [[nodiscard]] ReplyEffect OnReply(std::uint64_t id,
                                    const PeerFreshness& reply);

  /// Returns whether keys may be revoked, so that requests need a proof.
  [[nodiscard]] bool IsRequired() const {
    return this->revoke_time.has_value() && this->has_workspaces;
  }
  /// Returns whether requests with keys may be served now.
  [[nodiscard]] bool IsFresh() const;
  /// Returns the time until the proof is so old that other entries are queried.
  [[nodiscard]] Duration TimeUntilQuery() const;
  /// Returns whether the proof is so old that this entry reads the log itself.
  [[nodiscard]] bool ShouldRead() const;
  /// Returns the time between two reads of the log: by the lease holder, and by
  /// entries without a recent proof.
  [[nodiscard]] std::chrono::milliseconds ReadInterval() const;
  /// Returns the time between two queries.
  [[nodiscard]] Duration QueryInterval() const;
  /// Returns when a caller that is refused for lack of a proof may come back.
  [[nodiscard]] Duration RetryAfter();

  /// Returns nothing before the first configuration.
  [[nodiscard]] const std::optional<ConfigIdentity>& Config() const {
    return this->config;
  }
  /// Returns the time since the proof; nothing without a proof.
  [[nodiscard]] std::optional<Duration> Age() const;
  [[nodiscard]] ProofSource Source() const { return this->source; }

 private:
  struct Query {
    std::uint64_t id = 0;
    TimePoint sent_at;
  };

  void Prove(TimePoint proved_at, ProofSource by);
  void ForgetOldQueries();
  /// Returns whether the proof is missing or at least as old as a part of the
  /// time to revoke keys.
  [[nodiscard]] bool IsOlderThan(double part) const;

  const Clock& clock;
  RandomSource& random;
  std::optional<std::chrono::milliseconds> revoke_time;
  /// Part of the time to revoke keys after which this entry reads the log.
  double read_part;
  bool has_workspaces = false;
  std::optional<ConfigIdentity> config;
  std::optional<TimePoint> proof;
  ProofSource source = ProofSource::kNone;
  /// Pending queries, oldest first.
  std::deque<Query> queries;
  /// Last time that the log or another entry answered.
  TimePoint heard_at;
  /// Successful reads since the last one that was a proof.
  std::uint32_t unproven_reads = 0;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ACCESS_CONFIG_FRESHNESS_H_
