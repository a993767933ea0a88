#ifndef SRC_RPC_AGENT_SERVER_H_
#define SRC_RPC_AGENT_SERVER_H_

#include <atomic>
#include <boost/fiber/future.hpp>
#include <memory>
#include <optional>

#include "net/address.h"
#include "pimentospar/config_log.h"
#include "rpc/messages.h"
#include "rpc/rpc_thread.h"

namespace pimentospar {

/// Sends the chunks and the outcome of one attempt to the entry; used from the
/// fiber that runs the attempt.
class AttemptReply {
 public:
  virtual ~AttemptReply() = default;
  /// Suspends the fiber while the entry is too far behind. Returns false if the
  /// entry has disconnected or the chunk could not be sent.
  virtual bool SendChunk(ChunkMessage chunk) = 0;
  virtual void Finish(OutcomeMessage outcome) = 0;
  [[nodiscard]] virtual bool IsCancelled() const = 0;
};

/// Handles the calls of a process's peers. Called on the RPC thread; must not
/// block. By default, attempts are refused because the process has no target.
class AgentHandler {
 public:
  virtual ~AgentHandler() = default;
  /// Starts an attempt to run a chat request. Returns false if the attempt
  /// cannot be queued; the entry then receives `Reason::kRingFull`. The base
  /// version finishes the attempt with `Reason::kNoTarget`.
  virtual bool OnServe(ServeRequest request,
                       std::shared_ptr<AttemptReply> reply);
  /// Starts an attempt to run an operation of a service other than a chat
  /// model; otherwise like `OnServe`.
  virtual bool OnInvoke(Invocation invocation,
                        std::shared_ptr<AttemptReply> reply);
  virtual void OnCancel(AttemptId) {}
  /// Returns the update for a peer that has this version of the configuration.
  virtual PeerUpdate OnConfigSince(std::optional<ConfigVersion> version) = 0;
  /// Returns the target's load; empty by default.
  virtual TargetLoad OnFetchLoad() { return {}; }
  /// Returns a grant if this process owns the fallback share and can grant the
  /// load.
  virtual std::optional<LoadGrant> OnRequestLoad(const LoadRequest&) {
    return std::nullopt;
  }
  virtual void OnLoadEnded(const LoadGrant&) {}
  /// Returns whether the target has a copy and will keep it for this time.
  virtual bool OnKeepCopy(const ModelId&, std::chrono::milliseconds) {
    return false;
  }
};

/// Serves the RPC interface of a process.
class AgentServer {
 public:
  /// Throws `kj::Exception` if the address cannot be bound.
  AgentServer(RpcThread& rpc, const Address& address, AgentHandler& handler);
  AgentServer(const AgentServer&) = delete;
  AgentServer& operator=(const AgentServer&) = delete;

  [[nodiscard]] Address LocalAddress() const { return this->local; }

 private:
  Address local;
};

}  // namespace pimentospar

#endif  // SRC_RPC_AGENT_SERVER_H_
