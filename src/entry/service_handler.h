#ifndef SRC_ENTRY_SERVICE_HANDLER_H_
#define SRC_ENTRY_SERVICE_HANDLER_H_

#include <variant>
#include <vector>

#include "entry/attempts.h"

namespace pimentospar {

/// Serves one call of a plain service.
class ServiceHandler {
 public:
  ServiceHandler(EntryParts parts, const RequestContext& context);

  /// Returns the outcome of the attempt that succeeded, or why none did.
  [[nodiscard]] std::variant<OutcomeMessage, Problem> Run();

 private:
  [[nodiscard]] std::variant<Route, Problem> Choose();
  /// Returns the agents of the service's home region in the order of the key.
  [[nodiscard]] std::vector<KnownAgent> AgentsForKey() const;
  [[nodiscard]] OutcomeMessage RunAttempt(const Route& route, AttemptId id);

  EntryParts parts;
  const RequestContext& context;
  const ServiceRequest& call;
  Attempts attempts;
};

}  // namespace pimentospar

#endif  // SRC_ENTRY_SERVICE_HANDLER_H_
