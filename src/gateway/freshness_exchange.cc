#include "gateway/freshness_exchange.h"

#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "net/log_line.h"

namespace pimentospar {

namespace {

using std::chrono::milliseconds;

// Covers a round trip between regions and some load on the lease holder.
constexpr milliseconds kReplyTimeout{300};
// Other entries that are queried in place of the lease holder.
constexpr std::size_t kPeersPerQuery = 2;
// How often to check whether a proof is needed: the first configuration, or one
// with workspaces, may come at any time.
constexpr milliseconds kMaxPause{500};
// An entry without a proof reports this age, which no other accepts.
constexpr milliseconds kNoProofAge{std::chrono::hours(1)};
// An entry sends one query at a time.
constexpr std::size_t kMaxAnswers = 4;
// A proof that is often just too old is not logged each time.
constexpr std::chrono::seconds kMinLogInterval{5};

}  // namespace

FreshnessExchange::FreshnessExchange(FiberLoop& loop,
                                     const Clock& clock,
                                     RandomSource& random,
                                     ConfigFreshness& freshness,
                                     EntryTransport& transport,
                                     FreshnessExchangeOptions options)
    : loop(loop),
      clock(clock),
      random(random),
      freshness(freshness),
      transport(transport),
      options(std::move(options)) {}

void FreshnessExchange::Start() {
  this->loop.SpawnDuty("freshness", [this] { this->Run(); });
}

void FreshnessExchange::Run() {
  while (true) {
    const Duration left = this->freshness.TimeUntilQuery();
    if (left > Duration(0)) {
      this->LogTransition();
      boost::this_fiber::sleep_for(std::min<Duration>(left, kMaxPause));
      continue;
    }
    const TimePoint began_at = this->clock.Now();
    this->Query();
    this->LogTransition();
    boost::this_fiber::sleep_for(
        std::max(began_at + this->freshness.QueryInterval() - this->clock.Now(),
                 Duration(0)));
  }
}

// The lease holder reads the log often itself and queries others only when it
// cannot.
void FreshnessExchange::Query() {
  if (this->options.holds_lease() && !this->freshness.ShouldRead()) {
    return;
  }
  if (this->QueryHolder()) {
    return;
  }
  EntryMessage message;
  message.freshness_queries.push_back({this->freshness.BeginQuery()});
  this->transport.SendToSome(kPeersPerQuery, this->random, std::move(message));
}

bool FreshnessExchange::QueryHolder() {
  const auto holder = this->transport.Holder();
  if (!holder || this->options.holds_lease()) {
    return false;
  }
  EntryMessage message;
  message.freshness_queries.push_back({this->freshness.BeginQuery()});
  this->transport.Send(*holder, std::move(message));
  return this->WaitForProof() && !this->freshness.ShouldRead();
}

bool FreshnessExchange::WaitForProof() {
  const std::uint64_t before = this->proofs;
  const TimePoint deadline = this->clock.Now() + kReplyTimeout;
  while (this->proofs == before) {
    const Duration left = deadline - this->clock.Now();
    if (left <= Duration(0) || !this->replied.WaitFor(left)) {
      break;
    }
  }
  return this->proofs != before;
}

void FreshnessExchange::OnMessage(const EntryMessage& message) {
  this->Answer(message);
  for (const FreshnessReply& reply : message.freshness_replies) {
    this->OnReply(reply);
  }
}

void FreshnessExchange::Answer(const EntryMessage& message) {
  const auto& config = this->freshness.Config();
  if (message.freshness_queries.empty() || !config) {
    return;
  }
  const milliseconds age = std::chrono::ceil<milliseconds>(
      this->freshness.Age().value_or(kNoProofAge));
  EntryMessage answer;
  for (const FreshnessQuery& query : message.freshness_queries) {
    if (answer.freshness_replies.size() == kMaxAnswers) {
      break;
    }
    answer.freshness_replies.push_back(
        {query.id, config->version, config->hash, std::min(age, kNoProofAge)});
  }
  this->transport.Send(message.host, std::move(answer));
}

void FreshnessExchange::OnReply(const FreshnessReply& reply) {
  const ReplyEffect effect = this->freshness.OnReply(
      reply.id, {{reply.version, reply.hash}, reply.age});
  if (effect == ReplyEffect::kNewerConfig) {
    this->PollConfig();
  }
  if (effect == ReplyEffect::kProof) {
    ++this->proofs;
    this->replied.NotifyAll();
  }
}

// A log that was restored from an older copy may lack the newer configuration,
// so that one read does not end the difference.
void FreshnessExchange::PollConfig() {
  const TimePoint now = this->clock.Now();
  if (this->polled_at &&
      now - *this->polled_at < this->freshness.ReadInterval()) {
    return;
  }
  this->polled_at = now;
  this->options.poll_config();
}

void FreshnessExchange::LogTransition() {
  const TimePoint now = this->clock.Now();
  const bool is_fresh = this->freshness.IsFresh();
  if (is_fresh == !this->stale_since) {
    return;
  }
  const auto age = this->freshness.Age();
  const LogField age_field("age_ms", age.value_or(milliseconds(-1)));
  const LogField source("source", ToString(this->freshness.Source()));
  if (is_fresh) {
    LogInfo("config_stale", {{"state", "end"},
                             {"stale_ms", now - *this->stale_since},
                             age_field,
                             source});
    this->stale_since.reset();
    return;
  }
  if (this->stale_logged_at && now - *this->stale_logged_at < kMinLogInterval) {
    return;
  }
  this->stale_since = now;
  this->stale_logged_at = now;
  LogWarning("config_stale", {{"state", "begin"}, age_field, source});
}

}  // namespace pimentospar
