#ifndef INCLUDE_PIMENTOSPAR_CLAIMS_H_
#define INCLUDE_PIMENTOSPAR_CLAIMS_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "pimentospar/claims_records.h"
#include "pimentospar/clock.h"
#include "pimentospar/random.h"
#include "pimentospar/reason.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// Identifies one request received by this agent; unique within an instance.
using ClaimRequestId = detail::NumberId<struct ClaimRequestTag>;

/// A request to run a non-idempotent operation at most once.
struct ClaimRequest {
  ClaimRequestId id;
  KeyHash key;
  BodyHash body;
  OwnerId owner;
  TimePoint deadline;
};

/// Response of the target as returned to the caller.
struct StoredResponse {
  int status = 0;
  std::string body;
};

/// Result of a request as reported to its caller.
struct ClaimResult {
  Reason reason = Reason::kNone;
  Executed executed = Executed::kNo;
  std::optional<StoredResponse> response;
};

/// The target returned a complete response.
struct DispatchCompleted {
  StoredResponse response;
};
/// The operation did not run: the target was not reached or refused it
/// (`X-Executed: no`).
struct DispatchRefused {
  Reason reason = Reason::kTargetRefused;
};
/// It is unknown whether the operation ran.
struct DispatchUnknown {
  Reason reason = Reason::kOutcomeUnknown;
};
/// Outcome of a `DispatchClaim`.
using DispatchOutcome =
    std::variant<DispatchCompleted, DispatchRefused, DispatchUnknown>;

/// One record of the shard's log stream.
struct StreamRecord {
  LogOffset offset;
  std::string_view body;
};
/// Result of a log read; without records, `next` is the end of the stream.
struct StreamPage {
  /// Oldest offset that the log retains.
  LogOffset first;
  LogOffset next;
  std::span<const StreamRecord> records;
};

/// Appends this group as one log record; completed by `OnAppended`,
/// `OnAppendRefused` or `OnAppendUnanswered`.
struct AppendGroup {
  RecordGroup group;
};
/// Reads the stream from an offset; completed by `OnRead` or `OnReadFailed`.
struct ReadStream {
  LogOffset from;
};
/// Runs the operation of this request once, before the deadline; completed by
/// `OnDispatched`.
struct DispatchClaim {
  ClaimId claim;
  ClaimRequestId request;
  TimePoint deadline;
};
/// Sends the final result of this request.
struct RespondToRequest {
  ClaimRequestId request;
  ClaimResult result;
};
/// Reports that a later event will return the result of this request.
struct DeferResponse {
  ClaimRequestId request;
};
/// An action that the caller of a `ClaimsShard` must carry out.
using ClaimAction = std::variant<AppendGroup,
                                 ReadStream,
                                 DispatchClaim,
                                 RespondToRequest,
                                 DeferResponse>;
using ClaimActions = std::vector<ClaimAction>;

/// Identity, limits and timing of a `ClaimsShard`.
struct ClaimsOptions {
  InstanceId instance;
  RegionId region;
  /// Maximum number of claims in the table.
  std::size_t max_claims = 200'000;
  /// Maximum memory for cached responses; the oldest are evicted first.
  Bytes max_response_memory = Bytes{16} << 20;
  /// Largest response body that is written to the log; of a larger one, only
  /// the hash is written.
  Bytes max_stored_response = 4096;
  /// Limits of one append, kept small so that an unanswered append delays few
  /// claims.
  std::size_t max_group_records = 64;
  Bytes max_group_response_bytes = Bytes{128} << 10;
  /// How long a key is kept after its last claim or outcome.
  Duration key_retention = std::chrono::hours(24);
  /// Age of the newest `home` record at which the home region renews it; a
  /// quarter of the log's retention.
  Duration home_renewal = std::chrono::hours(42);
  /// How long a claim may wait for the log before its request fails with
  /// `log_unavailable`.
  Duration log_timeout = std::chrono::seconds(2);
  /// Interval of reads while a claim waits for that of another instance.
  Duration poll_interval = std::chrono::milliseconds(100);
  /// Delay before the log is used again after a failure.
  Duration log_backoff = std::chrono::milliseconds(100);
};

namespace detail {

enum class ClaimPhase : std::uint8_t {
  kWaiting,     // waits for the outcome of another claim; not written
  kQueued,      // waits to be appended
  kSent,        // in the outstanding append
  kAppended,    // stored, not read back yet
  kReadBack,    // read from the log at its offset
  kDispatched,  // sent to the target once
  kDone,        // outcome known
  kReleased,    // not executed and never will be
};

struct ClaimWaiter {
  ClaimRequestId request;
  TimePoint deadline;
};

struct ClaimState {
  KeyHash key;
  BodyHash body;
  OwnerId owner;
  ClaimPhase phase = ClaimPhase::kWaiting;
  bool own = false;
  // Set before the release record is written; an abandoned claim is not
  // dispatched.
  bool abandoned = false;
  // An unanswered append with the claim may be, or may yet become, stored.
  bool may_be_stored = false;
  // The claim's epoch equals that of the last `home` record before it.
  bool epoch_matches = false;
  int status = 0;
  TimePoint deadline;
  TimePoint queued_at;
  std::vector<ClaimWaiter> waiters;
  std::optional<std::string> response;
};

struct KeyState {
  // Valid unreleased claims in log order; the first one wins.
  std::vector<ClaimId> claim_order;
  // All claims in the table on this key.
  std::vector<ClaimId> claims;
  // The claim of this instance, which repeated requests join.
  std::optional<ClaimId> local;
  std::optional<ClaimId> done;
  TimePoint retain_until;
};

}  // namespace detail

/// Decides which requests of one shard of a service are dispatched, so that
/// each operation runs at most once.
///
/// Every event handler returns the actions that the caller must carry out in
/// order. At most one append and one read are outstanding.
class ClaimsShard {
 public:
  ClaimsShard(ClaimsOptions options, const Clock& clock, RandomSource& random);

  /// Starts to read the stream; must be called once.
  ClaimActions Start();
  /// Returns exactly one `RespondToRequest` or `DeferResponse` for this
  /// request.
  ClaimActions OnRequest(const ClaimRequest& request);
  /// Applies the records of the outstanding read.
  ClaimActions OnRead(const StreamPage& page);
  /// The outstanding read failed; it is retried after `log_backoff`.
  ClaimActions OnReadFailed();
  /// The outstanding append was stored at `offset`.
  ClaimActions OnAppended(LogOffset offset);
  /// The outstanding append was not and will not be stored.
  ClaimActions OnAppendRefused();
  /// The outstanding append got no answer, so it may or may not be stored.
  ClaimActions OnAppendUnanswered();
  /// Reports the outcome of a dispatched claim.
  ClaimActions OnDispatched(ClaimId claim, DispatchOutcome outcome);
  /// Applies the home region of the service in a configuration version; older
  /// versions are ignored.
  ClaimActions OnConfiguration(ConfigVersion version, const RegionId& home);
  /// Handles expired timers; must be called at `NextWake` at the latest.
  ClaimActions OnTick();

  /// Returns when `OnTick` is due; empty if no timer is running.
  [[nodiscard]] std::optional<TimePoint> NextWake() const;
  /// Returns whether requests with new keys are accepted.
  [[nodiscard]] bool IsReady() const;
  /// Returns whether no record is queued or being appended.
  [[nodiscard]] bool IsSettled() const {
    return this->queue.empty() && !this->outstanding_append.has_value();
  }
  /// Returns the number of claims in the table.
  [[nodiscard]] std::size_t ClaimCount() const { return this->claims.size(); }
  /// Returns the number of stream records that could not be decoded.
  [[nodiscard]] std::size_t MalformedCount() const { return this->malformed; }

 private:
  using Phase = detail::ClaimPhase;
  struct OutstandingAppend {
    RecordGroup group;
    bool unanswered = false;
    bool read_back = false;
  };
  struct RecordApplier;

  // Requests and outcomes: claims.cc.
  void RespondFromOutcome(ClaimRequestId request,
                          const BodyHash& body,
                          const detail::ClaimState& done);
  [[nodiscard]] Reason RefusalOfNewKey() const;
  void AddClaim(const ClaimRequest& request, bool wait_for_other);
  void QueueClaim(const ClaimId& id, detail::ClaimState& claim);
  void Respond(ClaimRequestId request, ClaimResult result);
  void RespondToAll(detail::ClaimState& claim, const ClaimResult& result);
  void Abandon(const ClaimId& id, const ClaimResult& result);
  void AbandonUndispatched(const ClaimId& id, Reason reason);
  void RemoveClaim(const ClaimId& id);
  void EvaluateKey(const KeyHash& key);
  void EvaluateDone(detail::KeyState& state);
  bool EvaluateWinner(detail::KeyState& state);
  [[nodiscard]] bool IsBehindOtherInstance(
      const ClaimId& id,
      const detail::ClaimState& claim) const;
  void SetDone(const ClaimId& id, int status, std::optional<std::string> body);
  void CacheResponse(const ClaimId& id, std::string body);
  void ExpireClaim(const ClaimId& id);
  void ExpireKeys();
  void ExtendRetention(const KeyHash& key);
  [[nodiscard]] bool IsHomeRegion() const;

  // Appends and reads: claims_log.cc.
  ClaimActions TakeActions();
  void StartAppend();
  bool PrepareRecord(ClaimsRecord& record);
  void StartRead();
  void MaybeQueueHomeRecord();
  void SettleAppend(bool stored);
  void Requeue(bool unanswered);
  void ApplyGroup(std::string_view body);
  void ApplyClaim(const ClaimRecord& record);
  void ApplyForeignClaim(const ClaimRecord& record, bool matches);
  void ApplyRelease(const ReleaseRecord& record);
  void ApplyHome(const HomeRecord& record);

  ClaimsOptions options;
  const Clock& clock;
  RandomSource& random;

  std::unordered_map<ClaimId, detail::ClaimState> claims;
  std::unordered_map<KeyHash, detail::KeyState> keys;
  // Claims of this instance that are neither done nor abandoned.
  std::set<ClaimId> active;
  std::deque<std::pair<TimePoint, KeyHash>> key_expiry;
  // Releases read before their claim: a delayed append can be stored after the
  // release of its claim.
  std::deque<std::pair<TimePoint, ClaimId>> early_releases;
  std::deque<ClaimId> cached_responses;
  Bytes response_memory = 0;
  // Until then the log may hold a claim that did not fit into the table.
  TimePoint table_incomplete_until;

  std::optional<ConfigVersion> config_version;
  RegionId config_home;
  std::optional<HomeRecord> home;
  TimePoint home_read_at;
  // Until then this region, as the new home, waits for claims that were written
  // before its `home` record.
  TimePoint home_ready_at;
  bool home_queued = false;
  // Records before the first one read have been removed from the log.
  bool truncated = false;

  std::deque<ClaimsRecord> queue;
  std::optional<OutstandingAppend> outstanding_append;
  TimePoint log_retry_at;
  LogOffset next_offset;
  LogOffset read_until;
  TimePoint last_tail_read;
  bool caught_up = false;
  bool tail_requested = false;
  bool reading = false;
  // The read in progress started after `tail_requested` was set.
  bool reading_tail = false;
  std::size_t malformed = 0;

  ClaimActions actions;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_CLAIMS_H_
