#include "pimentospar/access/workspace.h"

#include <openssl/evp.h>

namespace pimentospar {

KeyDigest DigestOfKey(std::string_view key) {
  KeyDigest digest{};
  EVP_Digest(key.data(), key.size(), digest.data(), nullptr, EVP_sha256(),
             nullptr);
  return digest;
}

}  // namespace pimentospar
