#ifndef INCLUDE_PIMENTOSPAR_FINGERPRINT_H_
#define INCLUDE_PIMENTOSPAR_FINGERPRINT_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "pimentospar/types.h"

namespace pimentospar {

/// Returns a canonical form of a JSON text, with sorted keys and without
/// optional white space; a text that is not JSON is returned unchanged.
[[nodiscard]] std::string CanonicalBody(std::string_view body);

/// Returns the fingerprint of a request to a model.
[[nodiscard]] Fingerprint FingerprintOf(const OwnerId& owner,
                                        const ModelId& model,
                                        std::string_view body);
/// Returns the fingerprint of a request to a service operation.
[[nodiscard]] Fingerprint FingerprintOf(const OwnerId& owner,
                                        const ServiceId& service,
                                        const OperationId& operation,
                                        std::string_view body);

/// Returns the fingerprint of one part of a prompt, whatever the request holds
/// besides.
[[nodiscard]] Fingerprint FingerprintOfPromptPart(std::string_view part_id);

/// Returns the fingerprint of something when a workspace sends it, so that what
/// the workspaces send is told apart. Without a workspace, it is unchanged.
[[nodiscard]] Fingerprint FingerprintInWorkspace(Fingerprint fingerprint,
                                                 const WorkspaceId& workspace);

/// Returns a fingerprint in hexadecimal, as log lines show it.
[[nodiscard]] std::string ToHex(Fingerprint fingerprint);
/// Returns fingerprints in hexadecimal, separated by commas.
[[nodiscard]] std::string JoinHex(std::span<const Fingerprint> fingerprints);

/// What an HTTP request holds that may be the same when it is sent again.
struct HttpRequestContent {
  std::string_view method;
  /// Name of the host as its route spells it, without a port.
  std::string_view host;
  /// Path and query string.
  std::string_view target;
  std::string_view body;
  /// Fingerprints of the parts of its prompt, in order; the last one may be new
  /// each time.
  std::span<const Fingerprint> prompt_parts;
  /// Workspace that sends the request; empty if none is known.
  WorkspaceId workspace;
};

/// Returns the fingerprints by which an HTTP request is known when it is sent
/// again, the most specific one last. The first covers method, host, path and
/// body, and the workspace if one is known; the next ones add the query and the
/// shared parts of the prompt, and then its last part, if there are such. Other
/// requests may have the first ones and complete.
[[nodiscard]] std::vector<Fingerprint> FingerprintsOfRequest(
    const HttpRequestContent& content);

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_FINGERPRINT_H_
