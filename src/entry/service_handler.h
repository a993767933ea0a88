#ifndef SRC_ENTRY_SERVICE_HANDLER_H_
#define SRC_ENTRY_SERVICE_HANDLER_H_

#include <variant>
#include <vector>

#include "entry/request_attempts.h"

namespace pimentospar {

/// Serves one call of a service operation.
class ServiceHandler {
 public:
  ServiceHandler(EntryDependencies dependencies, const RequestContext& context);

  /// Returns the outcome of the successful attempt, or the error if none
  /// succeeded.
  [[nodiscard]] std::variant<OutcomeMessage, RequestError> Run();

 private:
  [[nodiscard]] std::variant<AttemptRoute, RequestError> ChooseTarget();
  /// Returns the agents of the service's home region, in the order that the
  /// idempotency key determines.
  [[nodiscard]] std::vector<KnownAgent> AgentsForKey() const;
  [[nodiscard]] OutcomeMessage RunAttempt(const AttemptRoute& route,
                                          AttemptId id);

  EntryDependencies dependencies;
  const RequestContext& context;
  const ServiceRequest& call;
  RequestAttempts attempts;
};

}  // namespace pimentospar

#endif  // SRC_ENTRY_SERVICE_HANDLER_H_
