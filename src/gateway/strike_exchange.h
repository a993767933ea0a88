#ifndef SRC_GATEWAY_STRIKE_EXCHANGE_H_
#define SRC_GATEWAY_STRIKE_EXCHANGE_H_

#include <functional>
#include <set>
#include <string>

#include "gateway/crash_tracker.h"
#include "gateway/entry_transport.h"
#include "gateway/gossip_sender.h"
#include "gateway/keyed_stream_watcher.h"

namespace pimentospar {

/// What a `StrikeExchange` needs to know of its entry.
struct StrikeExchangeOptions {
  /// Stream of the log that holds the causes of crashes.
  std::string stream;
  std::function<bool()> holds_lease;
  /// Returns whether the lease holder currently reaches this entry.
  std::function<bool()> has_fresh_feed;
};

/// Passes the strikes that one entry learns of to all others: by datagrams to
/// entries drawn at random, which pass them on, and the causes of crashes also
/// on the log, for entries that no datagram reaches and for those that start
/// later. What an entry sends does not depend on the number of entries.
class StrikeExchange {
 public:
  StrikeExchange(FiberLoop& loop,
                 const Clock& clock,
                 RandomSource& random,
                 CrashTracker& crashes,
                 EntryTransport& transport,
                 SharedLog& log,
                 StrikeExchangeOptions options);

  void Start();
  /// Reads the log at once.
  void PollNow() { this->watcher.PollNow(); }

 private:
  void MaintainLog();
  void PublishCauses();
  void Publish(Fingerprint fingerprint);
  void RemoveOldCauses();
  void OnPublished(const KeyedItem& item);
  [[nodiscard]] PollTiming ReadTiming() const;

  FiberLoop& loop;
  RandomSource& random;
  CrashTracker& crashes;
  SharedLog& log;
  StrikeExchangeOptions options;
  GossipSender gossip;
  KeyedStreamWatcher watcher;
  /// Keys of the causes on the log.
  std::set<std::string> published;
  std::set<Fingerprint> being_published;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_STRIKE_EXCHANGE_H_
