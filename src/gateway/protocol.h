#ifndef SRC_GATEWAY_PROTOCOL_H_
#define SRC_GATEWAY_PROTOCOL_H_

#include <boost/beast/http/fields.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "pimentospar/prefix_cache_estimate.h"
#include "pimentospar/routing/target_selector.h"

namespace pimentospar {

using HttpFields = boost::beast::http::fields;

/// Fields parsed from the headers of a caller's request.
struct RequestMeta {
  /// ID that the caller gave to this try of its request; empty if the caller
  /// sent none.
  std::string id;
  /// Time that the caller waits for the response.
  std::optional<std::chrono::milliseconds> deadline;
  CopyRef copy;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_tokens = 0;
  /// True if the caller has named the numbers of tokens.
  bool has_token_counts = false;
  /// The caller's estimate of the number of output tokens.
  std::optional<std::uint32_t> output_hint;
  /// The caller's key; empty if it sent none.
  std::string api_key;
  /// Prefixes of the prompt that other requests may share, shortest first. The
  /// last block of the prompt is specific to this request and is left out.
  std::vector<PrefixBlock> prefix;
  /// Fingerprints of all parts of the prompt, in order and each on its own,
  /// whatever the number of its tokens.
  std::vector<Fingerprint> prompt_parts;
  /// The last event that the caller has already received.
  std::optional<std::uint64_t> last_event;
};

/// Fields of the headers that the gateway adds to a request for each attempt.
struct AttemptMeta {
  /// The only target that may run the request.
  TargetId target;
  /// Time that is left for the request.
  std::chrono::milliseconds deadline{0};
  std::optional<std::uint64_t> last_event;
  /// Workspace that sends the request; empty if none is known.
  WorkspaceId workspace;
  /// Rank of the request, 0 is the most urgent; nothing for the target's
  /// default.
  std::optional<std::uint32_t> priority;
};

/// Fields parsed from the headers of a target's response.
struct ResponseMeta {
  /// ID of the request that the response belongs to; empty if the target sent
  /// none.
  std::string id;
  /// The response carries the target's stamp.
  bool is_signed = false;
  /// The target has not run the request and never will.
  bool not_run = false;
  /// Another target responded at the address.
  bool is_other_target = false;
  std::optional<ReportedLoad> load;
  TargetNotice notice;
  /// Requests per second that the target takes from all entries together;
  /// nothing if it has not named a limit.
  std::optional<double> rate_limit;
};

/// Parses and writes the HTTP headers that the callers and targets of a
/// platform exchange with the gateway.
class HeaderProtocol {
 public:
  virtual ~HeaderProtocol() = default;

  /// Returns the name of the header that holds the request ID.
  [[nodiscard]] virtual std::string_view RequestIdHeader() const = 0;
  /// Parses the headers of a caller's request.
  [[nodiscard]] virtual RequestMeta ParseRequest(
      const HttpFields& fields) const = 0;
  /// Appends the headers of one attempt, which callers may not set.
  virtual void AppendAttemptHeaders(std::string& head,
                                    const AttemptMeta& attempt) const = 0;
  /// Returns whether callers may not pass this header to a target.
  [[nodiscard]] virtual bool IsReserved(std::string_view name) const = 0;
  /// Returns whether the header holds the caller's key, which no target gets
  /// where the configuration has workspaces.
  [[nodiscard]] virtual bool IsCredential(std::string_view name) const = 0;
  /// Parses the headers of a response; `target` is the target that the request
  /// was sent to.
  [[nodiscard]] virtual ResponseMeta ParseResponse(
      unsigned status,
      const HttpFields& fields,
      const TargetId& target) const = 0;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_PROTOCOL_H_
