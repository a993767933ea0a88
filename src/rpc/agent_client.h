#ifndef SRC_RPC_AGENT_CLIENT_H_
#define SRC_RPC_AGENT_CLIENT_H_

#include <boost/fiber/buffered_channel.hpp>
#include <memory>
#include <optional>
#include <variant>

#include "net/address.h"
#include "pimentospar/clock.h"
#include "pimentospar/config_log.h"
#include "rpc/messages.h"
#include "rpc/rpc_thread.h"

namespace pimentospar {

/// What arrives of an attempt, in order; the outcome is the last.
using AttemptEvent = std::variant<ChunkMessage, OutcomeMessage>;

/// The events of one attempt, read by the fiber of its request.
class AttemptStream {
 public:
  explicit AttemptStream(AttemptId attempt);

  /// Suspends the fiber; returns an outcome with `deadline_exceeded` once the
  /// deadline passes.
  [[nodiscard]] AttemptEvent Next(TimePoint deadline);

  /// Called on the RPC thread; false if the reader is too far behind or has
  /// stopped.
  [[nodiscard]] bool PushEvent(AttemptEvent event);
  void Close() { this->events.close(); }
  [[nodiscard]] AttemptId Id() const { return this->attempt; }

 private:
  AttemptId attempt;
  /// Pointers, because the channel allocates and constructs all of its slots
  /// for each attempt; events by value took 5 % of an entry's processor time.
  boost::fibers::buffered_channel<std::unique_ptr<AttemptEvent>> events;
};

/// Calls agents over Cap'n Proto RPC; used from fibers.
class AgentClient {
 public:
  explicit AgentClient(RpcThread& rpc);
  AgentClient(const AgentClient&) = delete;
  AgentClient& operator=(const AgentClient&) = delete;
  ~AgentClient();

  /// Starts an attempt; a call that cannot be made ends with
  /// `target_unreachable`, not run.
  [[nodiscard]] std::shared_ptr<AttemptStream> Serve(const Address& agent,
                                                     ServeRequest request);
  [[nodiscard]] std::shared_ptr<AttemptStream> Invoke(const Address& agent,
                                                      Invocation invocation);
  /// Tells the agent that nobody waits for the attempt any more.
  void Cancel(const Address& agent, AttemptId attempt);
  /// Returns what the agent reports of its target; nothing if it does not
  /// answer in time.
  [[nodiscard]] std::optional<TargetLoad> FetchLoad(const Address& agent,
                                                    TimePoint deadline);
  /// Asks a peer for what is newer than a version; nothing if it does not
  /// answer in time.
  [[nodiscard]] std::optional<PeerUpdate> FetchConfigSince(
      const Address& peer,
      std::optional<ConfigVersion> version,
      TimePoint deadline);
  /// Asks the owner of the fallback share for a load; refused if it does not
  /// answer in time.
  [[nodiscard]] std::optional<LoadGrant> RequestLoad(const Address& owner,
                                                     const LoadRequest& request,
                                                     TimePoint deadline);
  /// Tells the owner that a load has ended; not repeated if that is lost.
  void NotifyLoadEnded(const Address& owner, const LoadGrant& grant);
  /// Asks an agent to keep its copy of a model; false if it does not promise
  /// that in time.
  [[nodiscard]] bool KeepCopy(const Address& agent,
                              const ModelId& model,
                              std::chrono::milliseconds keep,
                              TimePoint deadline);

 private:
  class Connections;

  /// Connects, and has `send` make the call; it returns a promise of the
  /// outcome.
  template <typename Send>
  std::shared_ptr<AttemptStream> StartAttempt(const Address& agent,
                                              AttemptId attempt,
                                              Send send);

  /// Makes a call whose answer is `Result`; the default one if it fails or has
  /// no answer in time. `send` runs on the RPC thread.
  template <typename Result, typename Send>
  Result CallAndWait(const Address& agent, TimePoint deadline, Send send);

  RpcThread& rpc;
  std::shared_ptr<Connections> connections;
};

}  // namespace pimentospar

#endif  // SRC_RPC_AGENT_CLIENT_H_
