#include "pimentospar/access/key_table.h"

#include <openssl/crypto.h>

#include <algorithm>
#include <cstring>

namespace pimentospar {

namespace {

std::uint64_t PrefixOf(const KeyDigest& digest) {
  std::uint64_t prefix = 0;
  std::memcpy(&prefix, digest.data(), sizeof prefix);
  return prefix;
}

bool IsSame(const KeyDigest& left, const KeyDigest& right) {
  return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace

KeyTable::KeyTable(std::span<const WorkspaceSpec> workspaces) {
  for (std::size_t i = 0; i < workspaces.size(); ++i) {
    for (const KeyDigest& digest : workspaces[i].keys) {
      this->entries.emplace(PrefixOf(digest), Entry{digest, i});
    }
  }
}

std::optional<std::size_t> KeyTable::Find(const KeyDigest& digest) const {
  std::optional<std::size_t> found;
  const auto [begin, end] = this->entries.equal_range(PrefixOf(digest));
  for (auto at = begin; at != end; ++at) {
    if (IsSame(at->second.digest, digest)) {
      found =
          std::min(found.value_or(at->second.workspace), at->second.workspace);
    }
  }
  return found;
}

}  // namespace pimentospar
