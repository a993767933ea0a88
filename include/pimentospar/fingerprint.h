#ifndef INCLUDE_PIMENTOSPAR_FINGERPRINT_H_
#define INCLUDE_PIMENTOSPAR_FINGERPRINT_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

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

/// Returns a fingerprint in hexadecimal, as log lines show it.
[[nodiscard]] std::string ToHex(Fingerprint fingerprint);
/// Returns fingerprints in hexadecimal, separated by commas.
[[nodiscard]] std::string JoinHex(std::span<const Fingerprint> fingerprints);

/// By what an HTTP request is known when it is sent again.
struct HttpRequestIdentity {
  std::string_view method;
  std::string_view host;
  /// Path and query string.
  std::string_view target;
  /// Hash of the whole prompt if it is not in the body, else 0.
  std::uint64_t prompt_hash = 0;
  std::string_view body;
};

/// Returns the fingerprint of one HTTP request.
[[nodiscard]] Fingerprint FingerprintOfRequest(
    const HttpRequestIdentity& request);

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_FINGERPRINT_H_
