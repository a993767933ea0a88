#ifndef SRC_CONFIG_LOG_DETAIL_H_
#define SRC_CONFIG_LOG_DETAIL_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "pimentospar/config_log.h"

namespace pimentospar::detail {

/// Everything that the records before `next` determine.
struct ConfigState {
  LogOffset next;
  std::optional<ConfigVersion> version;
  std::string document;
  std::shared_ptr<const Configuration> configuration;
  std::string chain_head{kGenesisHash};
  std::deque<ChangeSummary> history;
};

/// The parts read so far of one snapshot.
struct PartialSnapshot {
  LogOffset through;
  std::string chain_head;
  std::size_t parts = 0;
  std::map<std::size_t, std::string> data;
};

/// Header and content of a snapshot record.
struct SnapshotRecord {
  LogOffset through;
  ConfigVersion version;
  std::string chain_head;
  std::size_t part = 0;
  std::size_t parts = 0;
  std::string data;
};

/// Judges a change, links it into the chain and returns its line.
ChangeSummary ApplyChange(ConfigState& state, const ConfigRecord& record);

/// Returns the line at an offset, or null.
const ChangeSummary* FindInHistory(const ConfigState& state, LogOffset offset);

/// Returns the head of the hash chain after this offset; nothing if the offset
/// is not judged yet or lies before the kept lines.
std::optional<std::string_view> ChainHeadAt(const ConfigState& state,
                                            LogOffset offset);

/// Writes the state after `through`, which is the last change or a later
/// offset.
std::string EncodeSnapshot(const ConfigState& state, LogOffset through);
std::vector<std::string> EncodeSnapshotRecords(const ConfigState& state,
                                               LogOffset through);
/// Returns nothing if the data does not agree with itself.
std::optional<ConfigState> DecodeSnapshot(std::string_view data);
std::optional<SnapshotRecord> DecodeSnapshotRecord(std::string_view body);

}  // namespace pimentospar::detail

#endif  // SRC_CONFIG_LOG_DETAIL_H_
