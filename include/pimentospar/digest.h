#ifndef INCLUDE_PIMENTOSPAR_DIGEST_H_
#define INCLUDE_PIMENTOSPAR_DIGEST_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace pimentospar {

/// Returns the SHA-256 digest of a text in lower-case hexadecimal.
[[nodiscard]] std::string Sha256Hex(std::string_view text);

/// Returns the 64-bit XXH3 hash of a text.
[[nodiscard]] std::uint64_t Hash64(std::string_view text,
                                   std::uint64_t seed = 0);

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_DIGEST_H_
