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

/// One arrival of a request at this agent; never used twice by an instance.
using ClaimRequestId = detail::NumberId<struct ClaimRequestTag>;

/// A request for a non-idempotent operation.
struct ClaimRequest {
  ClaimRequestId id;
  KeyHash key;
  BodyHash body;
  OwnerId owner;
  TimePoint deadline;
};

/// Answer of the target as the caller gets it.
struct StoredResponse {
  int status = 0;
  std::string body;
};

/// What the caller of a request is told.
struct ClaimResult {
  Reason reason = Reason::kNone;
  Executed executed = Executed::kNo;
  std::optional<StoredResponse> response;
};

/// The target answered in full.
struct DispatchCompleted {
  StoredResponse response;
};
/// The operation did not run: the target was not reached, or it answered that
/// it refused (`X-Executed: no`).
struct DispatchRefused {
  Reason reason = Reason::kTargetRefused;
};
/// The operation may have run.
struct DispatchUnknown {
  Reason reason = Reason::kOutcomeUnknown;
};
using DispatchOutcome =
    std::variant<DispatchCompleted, DispatchRefused, DispatchUnknown>;

/// One record of the shard's stream.
struct StreamRecord {
  LogOffset offset;
  std::string_view body;
};
/// Answer of the log to a read; without records, `next` is the tail.
struct StreamPage {
  /// Oldest offset that the log still keeps.
  LogOffset first;
  LogOffset next;
  std::span<const StreamRecord> records;
};

/// Append this group as one record; answered by `OnAppended`,
/// `OnAppendRefused` or `OnAppendUnanswered`.
struct AppendGroup {
  RecordGroup group;
};
/// Read the stream from an offset; answered by `OnRead` or `OnReadFailed`.
struct ReadStream {
  LogOffset from;
};
/// Run the operation of this request once, before the deadline; answered by
/// `OnDispatched`.
struct DispatchClaim {
  ClaimId claim;
  ClaimRequestId request;
  TimePoint deadline;
};
/// Answer this request; nothing follows for it.
struct RespondToRequest {
  ClaimRequestId request;
  ClaimResult result;
};
/// The answer to this request comes with a later event.
struct DeferResponse {
  ClaimRequestId request;
};
using ClaimAction = std::variant<AppendGroup,
                                 ReadStream,
                                 DispatchClaim,
                                 RespondToRequest,
                                 DeferResponse>;
using ClaimActions = std::vector<ClaimAction>;

struct ClaimsOptions {
  InstanceId instance;
  RegionId region;
  /// Bound of the table of claims, in entries.
  std::size_t max_claims = 200'000;
  /// Bound of the memory for answers, in bytes; the oldest are dropped first.
  Bytes max_response_memory = Bytes{16} << 20;
  /// Longest answer that is written to the log.
  Bytes max_stored_response = 4096;
  /// Bounds of one append, kept small so that one lost append delays few.
  std::size_t max_group_records = 64;
  Bytes max_group_response_bytes = Bytes{128} << 10;
  Duration key_retention = std::chrono::hours(24);
  /// Age of the newest `home` record at which the home writes it again; a
  /// quarter of the log's retention.
  Duration home_renewal = std::chrono::hours(42);
  /// How long a claim may wait for the log before its request is told
  /// `log_unavailable`.
  Duration log_timeout = std::chrono::seconds(2);
  Duration poll_interval = std::chrono::milliseconds(100);
  Duration log_backoff = std::chrono::milliseconds(100);
};

namespace detail {

enum class ClaimPhase : std::uint8_t {
  kWaiting,     // waits for the outcome of another claim, not written
  kQueued,      // goes into the next append
  kSent,        // in the append that is not settled
  kAppended,    // stored, not read back
  kReadBack,    // read at its offset
  kDispatched,  // given to the target once
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
  // Set before the release is written; an abandoned claim is not dispatched.
  bool abandoned = false;
  // An append that carried the claim may have taken effect or still may.
  bool may_be_stored = false;
  // The claim's epoch was that of the newest `home` record before it.
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
  // All claims on the key that are in the table.
  std::vector<ClaimId> claims;
  // The claim of this instance that repeats join.
  std::optional<ClaimId> local;
  std::optional<ClaimId> done;
  TimePoint retain_until;
};

}  // namespace detail

/// Decides for one shard of a service which requests are dispatched, so that
/// each operation runs at most once.
///
/// Every event returns the actions that the adapter must carry out in order.
/// At most one append and one read are outstanding.
class ClaimsShard {
 public:
  ClaimsShard(ClaimsOptions options, const Clock& clock, RandomSource& random);

  /// Begins to read the stream; call it once.
  ClaimActions Start();
  /// Returns exactly one `RespondToRequest` or `DeferResponse` for this
  /// request.
  ClaimActions OnRequest(const ClaimRequest& request);
  ClaimActions OnRead(const StreamPage& page);
  ClaimActions OnReadFailed();
  ClaimActions OnAppended(LogOffset offset);
  /// The outstanding append did not and will not take effect.
  ClaimActions OnAppendRefused();
  /// The answer to the outstanding append is lost.
  ClaimActions OnAppendUnanswered();
  ClaimActions OnDispatched(ClaimId claim, DispatchOutcome outcome);
  /// A configuration is in force that puts the service's home there.
  ClaimActions OnConfiguration(ConfigVersion version, const RegionId& home);
  /// Time has passed; call it at `NextWake` at the latest.
  ClaimActions OnTick();

  /// When `OnTick` has something to do; empty if only other events matter.
  [[nodiscard]] std::optional<TimePoint> NextWake() const;
  /// Whether new keys are accepted.
  [[nodiscard]] bool IsReady() const;
  /// Whether nothing waits to be written to the log.
  [[nodiscard]] bool IsSettled() const {
    return this->queue.empty() && !this->outstanding_append.has_value();
  }
  [[nodiscard]] std::size_t ClaimCount() const { return this->claims.size(); }
  /// Records of the stream that could not be decoded.
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
  // Own claims whose requests wait.
  std::set<ClaimId> active;
  std::deque<std::pair<TimePoint, KeyHash>> key_expiry;
  // Releases read before their claim; an append can land after its release.
  std::deque<std::pair<TimePoint, ClaimId>> early_releases;
  std::deque<ClaimId> cached_responses;
  Bytes response_memory = 0;
  // Until then a claim may be in the log that did not fit into the table.
  TimePoint table_incomplete_until;

  std::optional<ConfigVersion> config_version;
  RegionId config_home;
  std::optional<HomeRecord> home;
  TimePoint home_read_at;
  // The new home waits until then for claims that were written before it.
  TimePoint home_ready_at;
  bool home_queued = false;
  // Records before the first one read are missing.
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
  // The read in flight began after `tail_requested` was set.
  bool reading_tail = false;
  std::size_t malformed = 0;

  ClaimActions actions;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_CLAIMS_H_
