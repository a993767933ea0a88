#ifndef SRC_GATEWAY_SCOPE_EXIT_H_
#define SRC_GATEWAY_SCOPE_EXIT_H_

#include <utility>

namespace pimentospar {

/// Calls a function at the end of its scope.
template <typename Function>
class ScopeExit {
 public:
  explicit ScopeExit(Function function) : function(std::move(function)) {}
  ScopeExit(const ScopeExit&) = delete;
  ScopeExit& operator=(const ScopeExit&) = delete;
  ~ScopeExit() { this->function(); }

 private:
  Function function;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_SCOPE_EXIT_H_
