#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>

#include "config_log_detail.h"
#include "pimentospar/digest.h"

namespace pimentospar::detail {

namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

// Upper bound on the size of all fields of a snapshot record except `data`.
constexpr std::size_t kMaxHeaderBytes = 1024;
constexpr std::size_t kMaxParts = 4096;

json::value OutcomeToJson(const ChangeOutcome& outcome) {
  if (const ChangeConflict* conflict = std::get_if<ChangeConflict>(&outcome)) {
    return json::array{"overtaken", conflict->replaced_by.value,
                       conflict->author};
  }
  if (const ChangeInvalid* invalid = std::get_if<ChangeInvalid>(&outcome)) {
    json::array array{"invalid"};
    for (const ConfigError& error : invalid->errors) {
      array.push_back(json::array{error.path, error.problem, error.remedy});
    }
    return array;
  }
  return json::array{"accepted"};
}

std::string ReadString(const json::value& value) {
  return std::string(value.as_string());
}

ChangeOutcome OutcomeFromJson(const json::array& array) {
  const std::string kind = ReadString(array.at(0));
  if (kind == "overtaken") {
    return ChangeConflict{LogOffset{array.at(1).to_number<std::uint64_t>()},
                          ReadString(array.at(2))};
  }
  ChangeInvalid invalid;
  for (std::size_t i = 1; i < array.size(); ++i) {
    const json::array& error = array[i].as_array();
    invalid.errors.push_back({ReadString(error.at(0)), ReadString(error.at(1)),
                              ReadString(error.at(2))});
  }
  return kind == "accepted" ? ChangeOutcome(ChangeAccepted{})
                            : ChangeOutcome(invalid);
}

json::array ChangeToJson(const ChangeSummary& change) {
  return {change.offset.value, change.id,         change.author,
          change.time_ms,      change.base.value, OutcomeToJson(change.outcome),
          change.hash};
}

ChangeSummary ChangeFromJson(const json::array& array) {
  ChangeSummary change;
  change.offset = LogOffset{array.at(0).to_number<std::uint64_t>()};
  change.id = ReadString(array.at(1));
  change.author = ReadString(array.at(2));
  change.time_ms = array.at(3).to_number<std::int64_t>();
  change.base = ConfigVersion{array.at(4).to_number<std::uint64_t>()};
  change.outcome = OutcomeFromJson(array.at(5).as_array());
  change.hash = ReadString(array.at(6));
  return change;
}

std::size_t EscapedSize(char c) {
  if (c == '"' || c == '\\') {
    return 2;
  }
  return static_cast<unsigned char>(c) < 0x20U ? 6 : 1;
}

// Splits the data so that each part fits into a record after JSON escaping.
// Never splits inside a UTF-8 character.
std::vector<std::string_view> SplitIntoParts(std::string_view data) {
  std::vector<std::string_view> parts;
  std::size_t begin = 0;
  std::size_t size = 0;
  for (std::size_t i = 0; i < data.size(); ++i) {
    const bool is_start =
        (static_cast<unsigned char>(data[i]) & 0xC0U) != 0x80U;
    // The 8 extra bytes leave space for the rest of a UTF-8 character.
    if (is_start && size + kMaxHeaderBytes + 8 > kMaxSnapshotRecord) {
      parts.push_back(data.substr(begin, i - begin));
      begin = i;
      size = 0;
    }
    size += EscapedSize(data[i]);
  }
  parts.push_back(data.substr(begin));
  return parts;
}

bool IsHistoryConsistent(const ConfigState& state, LogOffset through) {
  if (state.history.empty() || state.history.back().offset > through ||
      state.version->value > through.value ||
      state.history.back().hash != state.chain_head) {
    return false;
  }
  for (std::size_t i = 1; i < state.history.size(); ++i) {
    if (state.history[i].offset <= state.history[i - 1].offset) {
      return false;
    }
  }
  const ChangeSummary* change =
      FindInHistory(state, LogOffset{state.version->value});
  return change == nullptr
             ? state.version->value < state.history[0].offset.value
             : std::holds_alternative<ChangeAccepted>(change->outcome);
}

std::optional<ConfigState> ParseSnapshot(const json::object& object) {
  ConfigState state;
  const LogOffset through{object.at("through").to_number<std::uint64_t>()};
  state.next = LogOffset{through.value + 1};
  state.version =
      ConfigVersion{object.at("version").to_number<std::uint64_t>()};
  state.chain_head = ReadString(object.at("chain_head"));
  state.document = json::serialize(object.at("document"));
  for (const json::value& change : object.at("history").as_array()) {
    state.history.push_back(ChangeFromJson(change.as_array()));
  }
  if (!IsHistoryConsistent(state, through) ||
      Sha256Hex(state.document) != ReadString(object.at("document_hash"))) {
    return std::nullopt;
  }
  state.configuration = leaf::try_handle_all(
      [&]() -> leaf::result<std::shared_ptr<const Configuration>> {
        BOOST_LEAF_AUTO(configuration, ParseConfiguration(state.document));
        return std::make_shared<const Configuration>(std::move(configuration));
      },
      [] { return std::shared_ptr<const Configuration>(); });
  if (state.configuration == nullptr ||
      ToJson(*state.configuration) != state.document) {
    return std::nullopt;
  }
  return state;
}

}  // namespace

std::string EncodeSnapshot(const ConfigState& state, LogOffset through) {
  if (!state.version) {
    return "";
  }
  json::array history;
  for (const ChangeSummary& change : state.history) {
    history.push_back(ChangeToJson(change));
  }
  return json::serialize(
      json::object{{"through", through.value},
                   {"version", state.version->value},
                   {"chain_head", state.chain_head},
                   {"document_hash", Sha256Hex(state.document)},
                   {"document", json::parse(state.document)},
                   {"history", std::move(history)}});
}

std::vector<std::string> EncodeSnapshotRecords(const ConfigState& state,
                                               LogOffset through) {
  const std::string data = EncodeSnapshot(state, through);
  std::vector<std::string> bodies;
  if (data.empty()) {
    return bodies;
  }
  const std::vector<std::string_view> parts = SplitIntoParts(data);
  for (const std::string_view part : parts) {
    // The id is derived from the content, so that all writers produce the same
    // bytes.
    const std::string id =
        Sha256Hex(state.chain_head + std::to_string(bodies.size()) +
                  std::string(part))
            .substr(0, 32);
    bodies.push_back(
        json::serialize(json::object{{"type", "snapshot"},
                                     {"id", id},
                                     {"through", through.value},
                                     {"version", state.version->value},
                                     {"chain_head", state.chain_head},
                                     {"part", bodies.size()},
                                     {"parts", parts.size()},
                                     {"data", part}}));
  }
  return bodies;
}

std::optional<ConfigState> DecodeSnapshot(std::string_view data) {
  json::error_code error;
  const json::value value = json::parse(data, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  try {
    return ParseSnapshot(value.get_object());
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::optional<SnapshotRecord> DecodeSnapshotRecord(std::string_view body) {
  json::error_code error;
  const json::value value = json::parse(body, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  try {
    const json::object& object = value.get_object();
    SnapshotRecord record;
    record.through = LogOffset{object.at("through").to_number<std::uint64_t>()};
    record.version =
        ConfigVersion{object.at("version").to_number<std::uint64_t>()};
    record.chain_head = ReadString(object.at("chain_head"));
    record.part = object.at("part").to_number<std::size_t>();
    record.parts = object.at("parts").to_number<std::size_t>();
    record.data = ReadString(object.at("data"));
    if (record.part >= record.parts || record.parts > kMaxParts) {
      return std::nullopt;
    }
    return record;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace pimentospar::detail
