#include "pimentospar/access/config_freshness.h"

#include <algorithm>

namespace pimentospar {

namespace {

using std::chrono::milliseconds;

// Parts of the time to revoke keys. What is left after the first one covers the
// difference to the clocks of the caller and the log.
constexpr double kFreshPart = 0.7;
constexpr double kQueryPart = 0.16;
constexpr double kQueryIntervalPart = 0.1;
constexpr double kReadIntervalPart = 0.2;
// Just before the next answer of a lease holder that reads at this interval,
// the proof of an entry is 0.33 old. Entries differ in the rest, so that a few
// of them read the log for all when no holder answers.
constexpr double kMinReadPart = 0.36;
constexpr double kReadPartSpread = 0.1;
constexpr milliseconds kMaxReadInterval{1000};
// Reads that succeed without a proof, such as those of a text that cannot be
// decoded, are repeated less often: doublings of the interval.
constexpr std::uint32_t kMaxIntervalDoublings = 2;

constexpr std::chrono::seconds kQueryLifetime{3};
constexpr std::size_t kMaxQueries = 64;

// Another entry may be able to serve the request.
constexpr milliseconds kMinRetryAfter{250};
constexpr milliseconds kRetryAfterSpread{250};
// After a silence, the log is most likely down for all entries.
constexpr std::chrono::seconds kLongSilence{7};
constexpr milliseconds kMinLongRetryAfter{800};
constexpr milliseconds kLongRetryAfterSpread{400};

}  // namespace

std::string_view ToString(ProofSource source) {
  switch (source) {
    case ProofSource::kNone:
      return "none";
    case ProofSource::kLog:
      return "log";
    case ProofSource::kEntry:
      return "entry";
  }
  return "unknown";
}

ConfigFreshness::ConfigFreshness(const Clock& clock,
                                 RandomSource& random,
                                 std::optional<milliseconds> revoke_time)
    : clock(clock),
      random(random),
      revoke_time(revoke_time),
      read_part(kMinReadPart +
                (revoke_time ? kReadPartSpread * random.NextDouble() : 0)),
      heard_at(clock.Now()) {}

// A proof of the previous version holds for a later one too: it has all that
// was on the log before the proof time.
void ConfigFreshness::OnConfig(const ConfigIdentity& config,
                               bool has_workspaces) {
  this->config = config;
  this->has_workspaces = has_workspaces;
}

void ConfigFreshness::OnOwnRead(TimePoint began_at,
                                const std::optional<ConfigIdentity>& newest) {
  this->heard_at = this->clock.Now();
  if (!newest || newest != this->config) {
    ++this->unproven_reads;
    return;
  }
  this->unproven_reads = 0;
  this->Prove(began_at, ProofSource::kLog);
}

std::uint64_t ConfigFreshness::BeginQuery() {
  this->ForgetOldQueries();
  if (this->queries.size() >= kMaxQueries) {
    this->queries.pop_front();
  }
  this->queries.push_back({this->random.Next(), this->clock.Now()});
  return this->queries.back().id;
}

ReplyEffect ConfigFreshness::OnReply(std::uint64_t id,
                                     const PeerFreshness& reply) {
  this->ForgetOldQueries();
  const auto query = std::ranges::find(this->queries, id, &Query::id);
  if (query == this->queries.end()) {
    return ReplyEffect::kNoQuery;
  }
  this->heard_at = this->clock.Now();
  if (reply.config != this->config) {
    const bool is_newer =
        !this->config || reply.config.version >= this->config->version;
    return is_newer ? ReplyEffect::kNewerConfig : ReplyEffect::kNoProof;
  }
  if (!this->revoke_time || reply.age < milliseconds(0) ||
      reply.age >= Scale(*this->revoke_time, kFreshPart)) {
    return ReplyEffect::kNoProof;
  }
  // The other entry replied after the query was sent.
  this->Prove(query->sent_at - reply.age, ProofSource::kEntry);
  return ReplyEffect::kProof;
}

void ConfigFreshness::ForgetOldQueries() {
  const TimePoint now = this->clock.Now();
  while (!this->queries.empty() &&
         now - this->queries.front().sent_at > kQueryLifetime) {
    this->queries.pop_front();
  }
}

void ConfigFreshness::Prove(TimePoint proved_at, ProofSource by) {
  if (!this->proof || proved_at > *this->proof) {
    this->proof = proved_at;
    this->source = by;
  }
}

std::optional<Duration> ConfigFreshness::Age() const {
  return this->proof ? std::optional(this->clock.Now() - *this->proof)
                     : std::nullopt;
}

bool ConfigFreshness::IsOlderThan(double part) const {
  const auto age = this->Age();
  return !age || *age >= Scale(*this->revoke_time, part);
}

bool ConfigFreshness::IsFresh() const {
  return !this->IsRequired() || !this->IsOlderThan(kFreshPart);
}

Duration ConfigFreshness::TimeUntilQuery() const {
  if (!this->IsRequired()) {
    return Duration::max();
  }
  const Duration limit = Scale(*this->revoke_time, kQueryPart);
  return std::max(limit - this->Age().value_or(limit), Duration(0));
}

bool ConfigFreshness::ShouldRead() const {
  return this->IsRequired() && this->IsOlderThan(this->read_part);
}

milliseconds ConfigFreshness::ReadInterval() const {
  const milliseconds interval =
      this->revoke_time
          ? std::min(kMaxReadInterval,
                     std::chrono::duration_cast<milliseconds>(
                         Scale(*this->revoke_time, kReadIntervalPart)))
          : kMaxReadInterval;
  return interval *
         (1 << std::min(this->unproven_reads, kMaxIntervalDoublings));
}

Duration ConfigFreshness::QueryInterval() const {
  return Scale(this->revoke_time.value_or(kMaxReadInterval),
               kQueryIntervalPart);
}

Duration ConfigFreshness::RetryAfter() {
  const bool is_long = this->clock.Now() - this->heard_at >= kLongSilence;
  const Duration min = is_long ? kMinLongRetryAfter : kMinRetryAfter;
  const Duration spread = is_long ? kLongRetryAfterSpread : kRetryAfterSpread;
  return min + Scale(spread, this->random.NextDouble());
}

}  // namespace pimentospar
