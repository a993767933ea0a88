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

/// The way back to the entry for one attempt; used from the fiber that runs the
/// attempt.
class AttemptReply {
 public:
  virtual ~AttemptReply() = default;
  /// Suspends the fiber while the entry is too far behind; false if the entry
  /// is gone.
  virtual bool SendChunk(ChunkMessage chunk) = 0;
  virtual void Finish(OutcomeMessage outcome) = 0;
  [[nodiscard]] virtual bool IsCancelled() const = 0;
};

/// What a process does with the calls of its peers; called on the RPC thread,
/// must not block. A process that runs no target refuses attempts.
class AgentHandler {
 public:
  virtual ~AgentHandler() = default;
  /// False if the attempt cannot be taken (`ring_full`).
  virtual bool OnServe(ServeRequest request,
                       std::shared_ptr<AttemptReply> reply);
  virtual bool OnInvoke(Invocation invocation,
                        std::shared_ptr<AttemptReply> reply);
  virtual void OnCancel(AttemptId) {}
  /// Returns what a peer with this version of the configuration needs.
  virtual PeerUpdate OnConfigSince(std::optional<ConfigVersion> version) = 0;
  /// A process without a target has no load.
  virtual TargetLoad OnFetchLoad() { return {}; }
  /// Returns a grant if this process owns the fallback share and may give one.
  virtual std::optional<LoadGrant> OnRequestLoad(const LoadRequest&) {
    return std::nullopt;
  }
  virtual void OnLoadEnded(const LoadGrant&) {}
  /// Returns whether the target has a copy and keeps it for this time.
  virtual bool OnKeepCopy(const ModelId&, std::chrono::milliseconds) {
    return false;
  }
};

/// Serves the RPC interface of a process at its address.
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
