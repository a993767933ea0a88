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

/// An event of an attempt; the last event is the outcome.
using AttemptEvent = std::variant<ChunkMessage, OutcomeMessage>;

/// The events of one attempt, read by the fiber that handles the request.
class AttemptStream {
 public:
  explicit AttemptStream(AttemptId attempt);

  /// Suspends the fiber until the next event; returns an outcome with
  /// `deadline_exceeded` once the deadline has passed.
  [[nodiscard]] AttemptEvent Next(TimePoint deadline);

  /// Called on the RPC thread. Returns false if the reader is too far behind or
  /// has closed the stream.
  [[nodiscard]] bool PushEvent(AttemptEvent event);
  void Close() { this->events.close(); }
  [[nodiscard]] AttemptId Id() const { return this->attempt; }

 private:
  AttemptId attempt;
  /// Holds pointers, because the channel allocates and constructs all of its
  /// slots up front for each attempt; events by value took 5 % of an entry's
  /// CPU time.
  boost::fibers::buffered_channel<std::unique_ptr<AttemptEvent>> events;
};

/// Client for the Cap'n Proto RPC interface of agents and other peers; used
/// from fibers.
class AgentClient {
 public:
  explicit AgentClient(RpcThread& rpc);
  AgentClient(const AgentClient&) = delete;
  AgentClient& operator=(const AgentClient&) = delete;
  ~AgentClient();

  /// Starts an attempt. If the agent cannot be reached, the attempt ends with
  /// `target_unreachable`, not executed.
  [[nodiscard]] std::shared_ptr<AttemptStream> Serve(const Address& agent,
                                                     ServeRequest request);
  [[nodiscard]] std::shared_ptr<AttemptStream> Invoke(const Address& agent,
                                                      Invocation invocation);
  /// Notifies the agent that the attempt's result is no longer needed.
  void Cancel(const Address& agent, AttemptId attempt);
  /// Returns the load of the agent's target, or nothing if the agent does not
  /// respond in time.
  [[nodiscard]] std::optional<TargetLoad> FetchLoad(const Address& agent,
                                                    TimePoint deadline);
  /// Returns a peer's configuration records newer than `version`, or nothing if
  /// the peer does not respond in time.
  [[nodiscard]] std::optional<PeerUpdate> FetchConfigSince(
      const Address& peer,
      std::optional<ConfigVersion> version,
      TimePoint deadline);
  /// Requests a load from the owner of the fallback share. Returns nothing if
  /// the owner refuses or does not respond in time.
  [[nodiscard]] std::optional<LoadGrant> RequestLoad(const Address& owner,
                                                     const LoadRequest& request,
                                                     TimePoint deadline);
  /// Notifies the owner that a load has ended; a lost message is not resent.
  void NotifyLoadEnded(const Address& owner, const LoadGrant& grant);
  /// Asks an agent to keep its copy of a model for the time `keep`. Returns
  /// false unless the agent confirms that in time.
  [[nodiscard]] bool KeepCopy(const Address& agent,
                              const ModelId& model,
                              std::chrono::milliseconds keep,
                              TimePoint deadline);

 private:
  class Connections;

  /// Connects and calls `send`, which makes the call and returns a promise of
  /// the outcome.
  template <typename Send>
  std::shared_ptr<AttemptStream> StartAttempt(const Address& agent,
                                              AttemptId attempt,
                                              Send send);

  /// Makes a call and waits for its result; returns a default-constructed one
  /// if the call fails or times out. `send` runs on the RPC thread.
  template <typename Result, typename Send>
  Result CallAndWait(const Address& agent, TimePoint deadline, Send send);

  RpcThread& rpc;
  std::shared_ptr<Connections> connections;
};

}  // namespace pimentospar

#endif  // SRC_RPC_AGENT_CLIENT_H_
