#ifndef SRC_ENTRY_ENTRY_H_
#define SRC_ENTRY_ENTRY_H_

#include <map>
#include <memory>
#include <mutex>

#include "daemon/process.h"
#include "entry/agent_directory.h"
#include "entry/request.h"
#include "entry/request_attempts.h"
#include "entry/request_router.h"

namespace pimentospar {

/// The role `entry`: accepts requests from callers and sends them to agents.
class Entry final : public AgentHandler {
 public:
  explicit Entry(Process& process);
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  /// Starts to listen on the caller address; throws if it cannot be bound.
  void Start();
  /// Returns the configuration changes that a peer with this version lacks.
  PeerUpdate OnConfigSince(std::optional<ConfigVersion> version) override;
  /// Accepts no new connections, and waits up to one second until the open ones
  /// are closed.
  void StopAccepting();
  /// Returns the address that callers connect to; valid after `Start()`.
  [[nodiscard]] Address CallerAddress() const {
    return FromEndpoint(this->server->LocalEndpoint());
  }
  /// Returns what is missing before the process is ready, or an empty string.
  [[nodiscard]] std::string Missing() const;
  /// Returns the number of requests that are being read, handled or answered.
  [[nodiscard]] std::size_t InFlight() const;
  /// Logs each request that is still in flight.
  void LogCutOff() const;

 private:
  bool OnRequest(const std::shared_ptr<HttpExchange>& exchange);
  void Handle(const std::shared_ptr<HttpExchange>& exchange);
  [[nodiscard]] FilterResult RunFilters(RequestContext& context) const;
  void Refuse(const RequestContext& context, const RequestError& error);
  void ListModels(const RequestContext& context);
  void ServeService(const RequestContext& context);
  /// Polls the load of agents that have not reported it recently.
  void PollLoad();
  void UpdateRouter();
  [[nodiscard]] EntryDependencies Dependencies() {
    return {this->process, this->directory, this->router};
  }

  Process& process;
  AgentDirectory directory;
  RequestRouter router;
  std::unique_ptr<HttpServer> server;
  mutable std::mutex mutex;
  std::map<const HttpExchange*, std::string> in_flight;
};

}  // namespace pimentospar

#endif  // SRC_ENTRY_ENTRY_H_
