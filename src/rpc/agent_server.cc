#include "rpc/agent_server.h"

#include <capnp/rpc-twoparty.h>

#include <boost/fiber/operations.hpp>
#include <future>
#include <mutex>
#include <stdexcept>

#include "rpc/convert.h"

namespace pimentospar {

namespace {

// Chunks that the entry may not have acknowledged yet before the attempt's
// fiber is suspended.
constexpr std::size_t kMaxUnacknowledgedChunks = 64;

OutcomeMessage QueueFullOutcome(AttemptId attempt) {
  OutcomeMessage outcome;
  outcome.attempt = attempt;
  outcome.reason = Reason::kRingFull;
  outcome.executed = Executed::kNo;
  outcome.retry_after = std::chrono::seconds(1);
  return outcome;
}

OutcomeMessage NoTargetOutcome(AttemptId attempt) {
  OutcomeMessage outcome;
  outcome.attempt = attempt;
  outcome.reason = Reason::kNoTarget;
  outcome.executed = Executed::kNo;
  return outcome;
}

// The reply of one attempt, shared by the attempt's fiber and the RPC thread.
class RpcAttemptReply final
    : public AttemptReply,
      public std::enable_shared_from_this<RpcAttemptReply> {
 public:
  RpcAttemptReply(RpcThread& rpc,
                  kj::Own<kj::PromiseFulfiller<OutcomeMessage>> fulfiller)
      : rpc(rpc), fulfiller(kj::mv(fulfiller)) {}

  ~RpcAttemptReply() noexcept override = default;

  void SetSink(wire::ChunkSink::Client client) { this->sink = kj::mv(client); }

  bool SendChunk(ChunkMessage chunk) override {
    if (this->cancelled.load()) {
      return false;
    }
    std::shared_ptr<boost::fibers::promise<void>> window;
    {
      const std::lock_guard lock(this->mutex);
      if (this->unacknowledged >= kMaxUnacknowledgedChunks) {
        window = this->window_promise =
            std::make_shared<boost::fibers::promise<void>>();
      }
      ++this->unacknowledged;
    }
    if (window != nullptr) {
      window->get_future().get();
    }
    auto self = this->shared_from_this();
    const bool taken =
        this->rpc.TryRun([self, chunk = std::move(chunk)](kj::AsyncIoContext&) {
          KJ_IF_MAYBE (client, self->sink) {
            auto message = client->writeRequest();
            Write(message.initChunk(), chunk);
            self->rpc.Detach(message.send().ignoreResult().then(
                [self] { self->Acknowledge(); },
                [self](kj::Exception&&) {
                  self->Cancel();
                  self->Acknowledge();
                }));
          }
        });
    if (!taken) {
      this->Cancel();
    }
    return taken && !this->cancelled.load();
  }

  void Finish(OutcomeMessage outcome) override {
    // The fulfiller and the sink are used and destroyed on the RPC thread only.
    // An outcome is never dropped: the fiber waits while the queue is full.
    auto self = this->shared_from_this();
    while (!this->rpc.TryRun([self, outcome](kj::AsyncIoContext&) mutable {
      self->fulfiller->fulfill(std::move(outcome));
      self->fulfiller = nullptr;
      self->sink = nullptr;
    })) {
      boost::this_fiber::sleep_for(std::chrono::milliseconds(1));
    }
  }

  [[nodiscard]] bool IsCancelled() const override {
    return this->cancelled.load();
  }

  void Cancel() {
    this->cancelled.store(true);
    this->OpenWindow();
  }

 private:
  void Acknowledge() {
    {
      const std::lock_guard lock(this->mutex);
      --this->unacknowledged;
    }
    this->OpenWindow();
  }

  void OpenWindow() {
    std::shared_ptr<boost::fibers::promise<void>> opened;
    {
      const std::lock_guard lock(this->mutex);
      opened = std::move(this->window_promise);
      this->window_promise = nullptr;
    }
    if (opened != nullptr) {
      opened->set_value();
    }
  }

  RpcThread& rpc;
  kj::Own<kj::PromiseFulfiller<OutcomeMessage>> fulfiller;
  kj::Maybe<wire::ChunkSink::Client> sink;
  std::atomic<bool> cancelled = false;
  std::mutex mutex;
  std::size_t unacknowledged = 0;
  std::shared_ptr<boost::fibers::promise<void>> window_promise;
};

class AgentRpcService final : public wire::Agent::Server {
 public:
  AgentRpcService(RpcThread& rpc, AgentHandler& handler)
      : rpc(rpc), handler(handler) {}

  kj::Promise<void> serve(ServeContext context) override {
    auto pair = kj::newPromiseAndFulfiller<OutcomeMessage>();
    auto reply =
        std::make_shared<RpcAttemptReply>(this->rpc, kj::mv(pair.fulfiller));
    reply->SetSink(context.getParams().getSink());
    ServeRequest request = Read(context.getParams().getRequest());
    const AttemptId attempt = request.attempt;
    if (!this->handler.OnServe(std::move(request), reply)) {
      Write(context.getResults().initOutcome(), QueueFullOutcome(attempt));
      return kj::READY_NOW;
    }
    return pair.promise
        .then([context](OutcomeMessage&& outcome) mutable {
          Write(context.getResults().initOutcome(), outcome);
        })
        .attach(kj::defer([reply] { reply->Cancel(); }));
  }

  kj::Promise<void> invoke(InvokeContext context) override {
    auto pair = kj::newPromiseAndFulfiller<OutcomeMessage>();
    auto reply =
        std::make_shared<RpcAttemptReply>(this->rpc, kj::mv(pair.fulfiller));
    Invocation invocation = Read(context.getParams().getInvocation());
    const AttemptId attempt = invocation.attempt;
    if (!this->handler.OnInvoke(std::move(invocation), reply)) {
      Write(context.getResults().initOutcome(), QueueFullOutcome(attempt));
      return kj::READY_NOW;
    }
    return pair.promise.then([context](OutcomeMessage&& outcome) mutable {
      Write(context.getResults().initOutcome(), outcome);
    });
  }

  kj::Promise<void> cancel(CancelContext context) override {
    this->handler.OnCancel(AttemptId{context.getParams().getAttempt()});
    return kj::READY_NOW;
  }

  kj::Promise<void> configSince(ConfigSinceContext context) override {
    const auto params = context.getParams();
    std::optional<ConfigVersion> version;
    if (params.getHasVersion()) {
      version = ConfigVersion{params.getVersion()};
    }
    Write(context.getResults().initUpdate(),
          this->handler.OnConfigSince(version));
    return kj::READY_NOW;
  }

  kj::Promise<void> load(LoadContext context) override {
    Write(context.getResults().initLoad(), this->handler.OnFetchLoad());
    return kj::READY_NOW;
  }

  kj::Promise<void> requestLoad(RequestLoadContext context) override {
    const auto params = context.getParams();
    const LoadRequest request{TargetId(params.getTarget().cStr()),
                              ModelId(params.getModel().cStr()),
                              params.getLoadedAnywhere()};
    if (const auto grant = this->handler.OnRequestLoad(request)) {
      context.getResults().setGranted(true);
      Write(context.getResults().initGrant(), *grant);
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> loadEnded(LoadEndedContext context) override {
    this->handler.OnLoadEnded(Read(context.getParams().getGrant()));
    return kj::READY_NOW;
  }

  kj::Promise<void> keepCopy(KeepCopyContext context) override {
    const auto params = context.getParams();
    context.getResults().setKept(this->handler.OnKeepCopy(
        ModelId(params.getModel().cStr()),
        std::chrono::milliseconds(params.getKeepMs())));
    return kj::READY_NOW;
  }

 private:
  RpcThread& rpc;
  AgentHandler& handler;
};

// The listening socket and its RPC server; used on the RPC thread only.
struct Listener {
  Listener(RpcThread& rpc, AgentHandler& handler)
      : server(kj::heap<AgentRpcService>(rpc, handler)) {}

  capnp::TwoPartyServer server;
  kj::Own<kj::ConnectionReceiver> receiver;
};

}  // namespace

// By value, because overriders keep the arguments.
// NOLINTBEGIN(performance-unnecessary-value-param)
bool AgentHandler::OnServe(ServeRequest request,
                           std::shared_ptr<AttemptReply> reply) {
  reply->Finish(NoTargetOutcome(request.attempt));
  return true;
}

bool AgentHandler::OnInvoke(Invocation invocation,
                            std::shared_ptr<AttemptReply> reply) {
  reply->Finish(NoTargetOutcome(invocation.attempt));
  return true;
}

// NOLINTEND(performance-unnecessary-value-param)

AgentServer::AgentServer(RpcThread& rpc,
                         const Address& address,
                         AgentHandler& handler) {
  auto bound = std::make_shared<std::promise<std::uint16_t>>();
  auto port = bound->get_future();
  const bool taken = rpc.TryRun([&rpc, &handler, address,
                                 bound](kj::AsyncIoContext& context) {
    auto listener = std::make_shared<Listener>(rpc, handler);
    rpc.OnStop([listener] { listener->receiver = nullptr; });
    rpc.Detach(context.provider->getNetwork()
                   .parseAddress(ToString(address).c_str())
                   .then([&rpc, listener,
                          bound](kj::Own<kj::NetworkAddress>&& parsed) {
                     listener->receiver = parsed->listen();
                     bound->set_value(static_cast<std::uint16_t>(
                         listener->receiver->getPort()));
                     rpc.Detach(listener->server.listen(*listener->receiver));
                   })
                   .catch_([bound](kj::Exception&& error) {
                     bound->set_exception(std::make_exception_ptr(
                         std::runtime_error(error.getDescription().cStr())));
                   }));
  });
  if (!taken) {
    throw std::runtime_error(
        "cannot start the RPC server: the RPC thread is stopped or its queue "
        "is full");
  }
  this->local = {address.ip, port.get()};
}

}  // namespace pimentospar
