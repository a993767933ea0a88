#include "pimentospar/digest.h"

#include <openssl/evp.h>
#include <xxhash.h>

#include <array>

namespace pimentospar {

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(),
             nullptr);
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string hex;
  hex.reserve(std::size_t{size} * 2);
  for (unsigned int i = 0; i < size; ++i) {
    hex += kDigits[digest[i] >> 4];
    hex += kDigits[digest[i] & 15];
  }
  return hex;
}

std::uint64_t Hash64(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}  // namespace pimentospar
