#ifndef SRC_GATEWAY_PROTOCOL_H_
#define SRC_GATEWAY_PROTOCOL_H_

#include <boost/beast/http/fields.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "pimentospar/prefix_belief.h"
#include "pimentospar/routing/target_selector.h"

namespace pimentospar {

using HttpFields = boost::beast::http::fields;

/// What the headers of a caller's request say.
struct RequestMeta {
  /// Names this attempt of the caller; empty if the caller sent none.
  std::string id;
  /// How long the caller waits.
  std::optional<std::chrono::milliseconds> deadline;
  CopyRef copy;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_tokens = 0;
  /// The shared parts of the prompt, shortest first; the last part belongs to
  /// the request alone and is left out.
  std::vector<PrefixBlock> prefix;
  /// The caller already has the events up to this one.
  std::optional<std::uint64_t> last_event;
};

/// What a request says to the target that it is sent to.
struct AttemptMeta {
  /// Only this target may run the request.
  TargetId target;
  std::chrono::milliseconds deadline{0};
  std::optional<std::uint64_t> last_event;
};

/// What the headers of a target's answer say.
struct ResponseMeta {
  /// The request that is answered; empty if the target does not say.
  std::string id;
  /// The target vouches for the answer.
  bool is_signed = false;
  /// The target has not run the request and never will.
  bool not_run = false;
  /// Set if another target answers at the address.
  bool is_other_target = false;
  std::optional<ReportedLoad> load;
};

/// The headers by which callers and targets of a platform speak with the
/// gateway.
class HeaderProtocol {
 public:
  virtual ~HeaderProtocol() = default;

  /// Returns the name of the header that names a request.
  [[nodiscard]] virtual std::string_view RequestIdHeader() const = 0;
  [[nodiscard]] virtual RequestMeta ParseRequest(
      const HttpFields& fields) const = 0;
  /// Appends the headers that only the system may set.
  virtual void AppendAttemptHeaders(std::string& head,
                                    const AttemptMeta& attempt) const = 0;
  /// Returns whether callers may not set the header at a target.
  [[nodiscard]] virtual bool IsReserved(std::string_view name) const = 0;
  /// `target` is the one that the request was sent to.
  [[nodiscard]] virtual ResponseMeta ParseResponse(
      unsigned status,
      const HttpFields& fields,
      const TargetId& target) const = 0;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_PROTOCOL_H_
