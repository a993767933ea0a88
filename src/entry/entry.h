#ifndef SRC_ENTRY_ENTRY_H_
#define SRC_ENTRY_ENTRY_H_

#include <memory>

#include "daemon/process.h"
#include "entry/answer_writer.h"
#include "entry/directory.h"
#include "entry/request.h"

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
  /// What is missing before the process is ready; empty if nothing.
  [[nodiscard]] std::string Missing() const;
  /// Requests that are being read, handled or answered.
  [[nodiscard]] std::size_t InFlight() const;
  /// Writes a log line for each request that is still in flight.
  void LogCutOff() const;

 private:
  bool OnRequest(const std::shared_ptr<HttpExchange>& exchange);
  void Handle(const std::shared_ptr<HttpExchange>& exchange);
  [[nodiscard]] FilterResult Prepare(RequestContext& context) const;
  void Refuse(const RequestContext& context, const Problem& problem);
  void ListModels(const RequestContext& context);
  void ServeChat(RequestContext& context);
  void ServeService(RequestContext& context);
  [[nodiscard]] std::vector<KnownAgent> ServiceCandidates(
      const RequestContext& context) const;
  [[nodiscard]] Outcome RunInvocation(const RequestContext& context,
                                      const KnownAgent& agent);
  [[nodiscard]] Outcome RunAttempt(const RequestContext& context,
                                   const KnownAgent& agent,
                                   ChatAnswerWriter& writer,
                                   std::string& finish_reason);
  [[nodiscard]] std::vector<KnownAgent> Candidates(
      const RequestContext& context) const;

  Process& process;
  AgentDirectory directory;
  std::unique_ptr<HttpServer> server;
  mutable std::mutex mutex;
  std::map<const HttpExchange*, std::string> in_flight;
};

}  // namespace pimentospar

#endif  // SRC_ENTRY_ENTRY_H_
