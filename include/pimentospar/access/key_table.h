#ifndef INCLUDE_PIMENTOSPAR_ACCESS_KEY_TABLE_H_
#define INCLUDE_PIMENTOSPAR_ACCESS_KEY_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>

#include "pimentospar/access/workspace.h"

namespace pimentospar {

/// Finds the workspace that a key belongs to.
class KeyTable {
 public:
  KeyTable() = default;
  explicit KeyTable(std::span<const WorkspaceSpec> workspaces);

  /// Returns the position of the workspace, or nothing for an unknown key. The
  /// first one has a key that several workspaces list.
  [[nodiscard]] std::optional<std::size_t> Find(const KeyDigest& digest) const;

 private:
  struct Entry {
    KeyDigest digest;
    std::size_t workspace = 0;
  };

  /// By the first bytes of the digest. Callers cannot choose them, since a
  /// digest of a chosen prefix takes as many tries as a key.
  std::unordered_multimap<std::uint64_t, Entry> entries;
};

}  // namespace pimentospar

#endif  // INCLUDE_PIMENTOSPAR_ACCESS_KEY_TABLE_H_
