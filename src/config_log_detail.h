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

/// The state that the records before `next` determine.
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

/// Header and data of a snapshot record, which holds one part of a snapshot.
struct SnapshotRecord {
  LogOffset through;
  ConfigVersion version;
  std::string chain_head;
  std::size_t part = 0;
  std::size_t parts = 0;
  std::string data;
};

/// Evaluates a change, adds it to the hash chain and the history, and returns
/// it with all its errors; the history keeps a shortened list.
ChangeSummary ApplyChange(ConfigState& state, const ConfigRecord& record);

/// Returns the change at an offset, or null.
const ChangeSummary* FindInHistory(const ConfigState& state, LogOffset offset);

/// Returns the head of the hash chain after this offset, or nothing if the
/// offset is not processed yet or precedes the history.
std::optional<std::string_view> ChainHeadAt(const ConfigState& state,
                                            LogOffset offset);

/// Serializes the state after `through`, which is the offset of the last change
/// or a later one.
std::string EncodeSnapshot(const ConfigState& state, LogOffset through);
/// Returns the same snapshot as record bodies.
std::vector<std::string> EncodeSnapshotRecords(const ConfigState& state,
                                               LogOffset through);
/// Returns nothing if the data is malformed or inconsistent.
std::optional<ConfigState> DecodeSnapshot(std::string_view data);
/// Returns nothing if the body is malformed.
std::optional<SnapshotRecord> DecodeSnapshotRecord(std::string_view body);

}  // namespace pimentospar::detail

#endif  // SRC_CONFIG_LOG_DETAIL_H_
