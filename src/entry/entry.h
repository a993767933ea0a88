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

/// The role `entry`: takes callers' requests and has agents run them.
class Entry final : public AgentHandler {
 public:
  explicit Entry(Process& process);
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  /// Opens the callers' address. Throws if it cannot be bound.
  void Start();
  PeerUpdate OnConfigSince(std::optional<ConfigVersion> version) override;
  /// Takes no new connections, and waits up to a second until the open ones
  /// are closed.
  void StopAccepting();
  /// The address that callers connect to, once started.
  [[nodiscard]] Address CallerAddress() const {
    return FromEndpoint(this->server->LocalEndpoint());
  }
  /// What is missing before the process is ready; empty if nothing.
  [[nodiscard]] std::string Missing() const;
  /// Requests that are being read, handled or answered.
  [[nodiscard]] std::size_t InFlight() const;
  /// Writes a log line for each request that is still in flight.
  void LogCutOff() const;

 private:
  bool OnRequest(const std::shared_ptr<HttpExchange>& exchange);
  void Handle(const std::shared_ptr<HttpExchange>& exchange);
  [[nodiscard]] FilterResult RunFilters(RequestContext& context) const;
  void Refuse(const RequestContext& context, const RequestError& error);
  void ListModels(const RequestContext& context);
  void ServeService(const RequestContext& context);
  /// Asks agents for their load that have not reported it for long.
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
