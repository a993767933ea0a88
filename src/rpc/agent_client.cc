#include "rpc/agent_client.h"

#include <capnp/rpc-twoparty.h>

#include <boost/fiber/future.hpp>
#include <map>

#include "rpc/convert.h"

namespace pimentospar {

namespace {

// An attempt is aborted as `caller_too_slow` if its reader falls this many
// events behind.
constexpr std::size_t kMaxQueuedEvents = 1024;

OutcomeMessage UnreachableOutcome(AttemptId attempt,
                                  Executed executed,
                                  std::string_view detail) {
  OutcomeMessage outcome;
  outcome.attempt = attempt;
  outcome.reason = Reason::kTargetUnreachable;
  outcome.executed = executed;
  outcome.detail = detail;
  return outcome;
}

class ChunkSinkServer final : public wire::ChunkSink::Server {
 public:
  explicit ChunkSinkServer(std::shared_ptr<AttemptStream> stream)
      : stream(std::move(stream)) {}

  kj::Promise<void> write(WriteContext context) override {
    KJ_REQUIRE(this->stream->PushEvent(Read(context.getParams().getChunk())),
               "the reader of the response has stopped or is too slow");
    return kj::READY_NOW;
  }

 private:
  std::shared_ptr<AttemptStream> stream;
};

}  // namespace

AttemptStream::AttemptStream(AttemptId attempt)
    : attempt(attempt), events(kMaxQueuedEvents) {}

AttemptEvent AttemptStream::Next(TimePoint deadline) {
  std::unique_ptr<AttemptEvent> event;
  switch (this->events.pop_wait_until(event, deadline)) {
    case boost::fibers::channel_op_status::success:
      return std::move(*event);
    case boost::fibers::channel_op_status::timeout: {
      OutcomeMessage outcome = UnreachableOutcome(
          this->attempt, Executed::kUnknown, "no response before the deadline");
      outcome.reason = Reason::kDeadlineExceeded;
      return outcome;
    }
    default: {
      OutcomeMessage outcome =
          UnreachableOutcome(this->attempt, Executed::kUnknown,
                             "the reader of the response is too slow");
      outcome.reason = Reason::kCallerTooSlow;
      return outcome;
    }
  }
}

bool AttemptStream::PushEvent(AttemptEvent event) {
  if (this->events.try_push(std::make_unique<AttemptEvent>(std::move(event))) ==
      boost::fibers::channel_op_status::success) {
    return true;
  }
  this->events.close();
  return false;
}

/// Open connections by address; used on the RPC thread only.
class AgentClient::Connections
    : public std::enable_shared_from_this<AgentClient::Connections> {
 public:
  explicit Connections(RpcThread& rpc) : rpc(rpc) {}

  // Returns the agent at an address, connecting if needed. If the promise
  // fails, the agent could not be reached and nothing was sent.
  kj::Promise<wire::Agent::Client> Get(kj::AsyncIoContext& context,
                                       const Address& address) {
    const auto found = this->open.find(address);
    if (found != this->open.end()) {
      return found->second->client->bootstrap().castAs<wire::Agent>();
    }
    auto& network = context.provider->getNetwork();
    auto self = this->shared_from_this();
    return network.parseAddress(ToString(address).c_str())
        .then([](kj::Own<kj::NetworkAddress>&& parsed) {
          auto connecting = parsed->connect();
          return connecting.attach(kj::mv(parsed));
        })
        .then([self, address](
                  kj::Own<kj::AsyncIoStream>&& stream) -> wire::Agent::Client {
          return self->Add(address, kj::mv(stream));
        });
  }

  void Clear() { this->open.clear(); }

 private:
  struct Connection {
    explicit Connection(kj::Own<kj::AsyncIoStream>&& connected)
        : stream(kj::mv(connected)),
          client(kj::heap<capnp::TwoPartyClient>(*this->stream)) {}

    kj::Own<kj::AsyncIoStream> stream;
    kj::Own<capnp::TwoPartyClient> client;
  };

  wire::Agent::Client Add(const Address& address,
                          kj::Own<kj::AsyncIoStream>&& stream) {
    const auto found = this->open.find(address);
    if (found != this->open.end()) {
      return found->second->client->bootstrap().castAs<wire::Agent>();
    }
    auto connection = std::make_shared<Connection>(kj::mv(stream));
    this->open[address] = connection;
    std::weak_ptr<Connections> weak = this->weak_from_this();
    this->rpc.Detach(
        connection->client->onDisconnect().then([weak, address, connection] {
          const auto self = weak.lock();
          if (self == nullptr) {
            return;
          }
          const auto current = self->open.find(address);
          if (current != self->open.end() && current->second == connection) {
            self->open.erase(current);
          }
        }));
    return connection->client->bootstrap().castAs<wire::Agent>();
  }

  RpcThread& rpc;
  std::map<Address, std::shared_ptr<Connection>> open;
};

AgentClient::AgentClient(RpcThread& rpc)
    : rpc(rpc), connections(std::make_shared<Connections>(rpc)) {
  (void)rpc.TryRun(
      [this, connections = this->connections](kj::AsyncIoContext&) {
        this->rpc.OnStop([connections] { connections->Clear(); });
      });
}

AgentClient::~AgentClient() = default;

template <typename Send>
std::shared_ptr<AttemptStream> AgentClient::StartAttempt(const Address& agent,
                                                         AttemptId attempt,
                                                         Send send) {
  auto stream = std::make_shared<AttemptStream>(attempt);
  const bool taken = this->rpc.TryRun(
      [this, agent, stream, send,
       connections = this->connections](kj::AsyncIoContext& context) {
        auto sent = std::make_shared<bool>(false);
        auto call = connections->Get(context, agent)
                        .then([stream, send, sent](wire::Agent::Client client) {
                          *sent = true;
                          return send(client, stream);
                        })
                        .then([stream](OutcomeMessage&& outcome) {
                          (void)stream->PushEvent(std::move(outcome));
                        });
        this->rpc.Detach(call.catch_([stream, sent](kj::Exception&& error) {
          (void)stream->PushEvent(UnreachableOutcome(
              stream->Id(), *sent ? Executed::kUnknown : Executed::kNo,
              error.getDescription().cStr()));
        }));
      });
  if (!taken) {
    OutcomeMessage outcome = UnreachableOutcome(
        stream->Id(), Executed::kNo, "the queue of calls to agents is full");
    outcome.reason = Reason::kRingFull;
    (void)stream->PushEvent(outcome);
  }
  return stream;
}

std::shared_ptr<AttemptStream> AgentClient::Serve(const Address& agent,
                                                  ServeRequest request) {
  const AttemptId attempt = request.attempt;
  return this->StartAttempt(
      agent, attempt,
      [shared = std::make_shared<ServeRequest>(std::move(request))](
          wire::Agent::Client& client,
          const std::shared_ptr<AttemptStream>& stream) {
        auto message = client.serveRequest();
        Write(message.initRequest(), *shared);
        message.setSink(kj::heap<ChunkSinkServer>(stream));
        return message.send().then(
            [](capnp::Response<wire::Agent::ServeResults>&& response) {
              return Read(response.getOutcome());
            });
      });
}

std::shared_ptr<AttemptStream> AgentClient::Invoke(const Address& agent,
                                                   Invocation invocation) {
  const AttemptId attempt = invocation.attempt;
  return this->StartAttempt(
      agent, attempt,
      [shared = std::make_shared<Invocation>(std::move(invocation))](
          wire::Agent::Client& client, const std::shared_ptr<AttemptStream>&) {
        auto message = client.invokeRequest();
        Write(message.initInvocation(), *shared);
        return message.send().then(
            [](capnp::Response<wire::Agent::InvokeResults>&& response) {
              return Read(response.getOutcome());
            });
      });
}

void AgentClient::Cancel(const Address& agent, AttemptId attempt) {
  (void)this->rpc.TryRun(
      [this, agent, attempt,
       connections = this->connections](kj::AsyncIoContext& context) {
        this->rpc.Detach(connections->Get(context, agent)
                             .then([attempt](wire::Agent::Client client) {
                               auto message = client.cancelRequest();
                               message.setAttempt(attempt.value);
                               return message.send().ignoreResult();
                             }));
      });
}

std::optional<TargetLoad> AgentClient::FetchLoad(const Address& agent,
                                                 TimePoint deadline) {
  using Result = std::optional<TargetLoad>;
  auto promise = std::make_shared<boost::fibers::promise<Result>>();
  auto future = promise->get_future();
  const bool taken = this->rpc.TryRun([this, agent, promise,
                                       connections = this->connections](
                                          kj::AsyncIoContext& context) {
    auto call =
        connections->Get(context, agent)
            .then([promise](wire::Agent::Client client) {
              return client.loadRequest().send().then(
                  [promise](
                      capnp::Response<wire::Agent::LoadResults>&& response) {
                    promise->set_value(Read(response.getLoad()));
                  });
            });
    this->rpc.Detach(call.catch_(
        [promise](kj::Exception&&) { promise->set_value(std::nullopt); }));
  });
  if (!taken ||
      future.wait_until(deadline) != boost::fibers::future_status::ready) {
    return std::nullopt;
  }
  return future.get();
}

std::optional<PeerUpdate> AgentClient::FetchConfigSince(
    const Address& peer,
    std::optional<ConfigVersion> version,
    TimePoint deadline) {
  using Promise = boost::fibers::promise<std::optional<PeerUpdate>>;
  auto promise = std::make_shared<Promise>();
  auto future = promise->get_future();
  const bool taken = this->rpc.TryRun([this, peer, version, promise,
                                       connections = this->connections](
                                          kj::AsyncIoContext& context) {
    auto call =
        connections->Get(context, peer)
            .then([version, promise](wire::Agent::Client client) {
              auto message = client.configSinceRequest();
              message.setHasVersion(version.has_value());
              message.setVersion(version.value_or(ConfigVersion{}).value);
              return message.send().then(
                  [promise](capnp::Response<wire::Agent::ConfigSinceResults>&&
                                response) {
                    promise->set_value(Read(response.getUpdate()));
                  });
            });
    this->rpc.Detach(call.catch_(
        [promise](kj::Exception&&) { promise->set_value(std::nullopt); }));
  });
  if (!taken ||
      future.wait_until(deadline) != boost::fibers::future_status::ready) {
    return std::nullopt;
  }
  return future.get();
}

template <typename Result, typename Send>
Result AgentClient::CallAndWait(const Address& agent,
                                TimePoint deadline,
                                Send send) {
  auto promise = std::make_shared<boost::fibers::promise<Result>>();
  auto future = promise->get_future();
  const bool taken = this->rpc.TryRun(
      [this, agent, promise, send,
       connections = this->connections](kj::AsyncIoContext& context) {
        this->rpc.Detach(
            connections->Get(context, agent)
                .then([send](wire::Agent::Client client) mutable {
                  return send(client);
                })
                .then([promise](Result result) { promise->set_value(result); })
                .catch_([promise](kj::Exception&&) {
                  promise->set_value(Result{});
                }));
      });
  if (!taken ||
      future.wait_until(deadline) != boost::fibers::future_status::ready) {
    return Result{};
  }
  return future.get();
}

std::optional<LoadGrant> AgentClient::RequestLoad(const Address& owner,
                                                  const LoadRequest& request,
                                                  TimePoint deadline) {
  using Result = std::optional<LoadGrant>;
  return this->CallAndWait<Result>(
      owner, deadline,
      [request](wire::Agent::Client& client) -> kj::Promise<Result> {
        auto message = client.requestLoadRequest();
        message.setTarget(request.target.value);
        message.setModel(request.model.value);
        message.setLoadedAnywhere(request.loaded_anywhere);
        return message.send().then(
            [](capnp::Response<wire::Agent::RequestLoadResults>&& response)
                -> Result {
              return response.getGranted() ? Result(Read(response.getGrant()))
                                           : std::nullopt;
            });
      });
}

void AgentClient::NotifyLoadEnded(const Address& owner,
                                  const LoadGrant& grant) {
  (void)this->rpc.TryRun([this, owner, grant, connections = this->connections](
                             kj::AsyncIoContext& context) {
    this->rpc.Detach(connections->Get(context, owner)
                         .then([grant](wire::Agent::Client client) {
                           auto message = client.loadEndedRequest();
                           Write(message.initGrant(), grant);
                           return message.send().ignoreResult();
                         }));
  });
}

bool AgentClient::KeepCopy(const Address& agent,
                           const ModelId& model,
                           std::chrono::milliseconds keep,
                           TimePoint deadline) {
  return this->CallAndWait<bool>(
      agent, deadline,
      [model, keep](wire::Agent::Client& client) -> kj::Promise<bool> {
        auto message = client.keepCopyRequest();
        message.setModel(model.value);
        message.setKeepMs(static_cast<std::uint32_t>(keep.count()));
        return message.send().then(
            [](capnp::Response<wire::Agent::KeepCopyResults>&& response) {
              return response.getKept();
            });
      });
}

}  // namespace pimentospar
