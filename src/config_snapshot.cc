#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>

#include "config_log_detail.h"
#include "pimentospar/digest.h"

namespace pimentospar::detail {

namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

// Room for the fields of a snapshot record besides `data`.
constexpr std::size_t kHeaderRoom = 1024;
constexpr std::size_t kMaxParts = 4096;

json::value VerdictToJson(const Verdict& verdict) {
  if (const Overtaken* overtaken = std::get_if<Overtaken>(&verdict)) {
    return json::array{"overtaken", overtaken->by.value, overtaken->author};
  }
  if (const Invalid* invalid = std::get_if<Invalid>(&verdict)) {
    json::array array{"invalid"};
    for (const ConfigError& error : invalid->errors) {
      array.push_back(json::array{error.path, error.problem, error.remedy});
    }
    return array;
  }
  return json::array{"accepted"};
}

std::string Text(const json::value& value) {
  return std::string(value.as_string());
}

Verdict VerdictFromJson(const json::array& array) {
  const std::string kind = Text(array.at(0));
  if (kind == "overtaken") {
    return Overtaken{LogOffset{array.at(1).to_number<std::uint64_t>()},
                     Text(array.at(2))};
  }
  Invalid invalid;
  for (std::size_t i = 1; i < array.size(); ++i) {
    const json::array& error = array[i].as_array();
    invalid.errors.push_back(
        {Text(error.at(0)), Text(error.at(1)), Text(error.at(2))});
  }
  return kind == "accepted" ? Verdict(Accepted{}) : Verdict(invalid);
}

json::array LineToJson(const ChangeLine& line) {
  return {line.offset.value, line.id,         line.author,
          line.time_ms,      line.base.value, VerdictToJson(line.verdict),
          line.hash};
}

ChangeLine LineFromJson(const json::array& array) {
  ChangeLine line;
  line.offset = LogOffset{array.at(0).to_number<std::uint64_t>()};
  line.id = Text(array.at(1));
  line.author = Text(array.at(2));
  line.time_ms = array.at(3).to_number<std::int64_t>();
  line.base = ConfigVersion{array.at(4).to_number<std::uint64_t>()};
  line.verdict = VerdictFromJson(array.at(5).as_array());
  line.hash = Text(array.at(6));
  return line;
}

std::size_t EscapedSize(char c) {
  if (c == '"' || c == '\\') {
    return 2;
  }
  return static_cast<unsigned char>(c) < 0x20U ? 6 : 1;
}

// Cuts so that each part fits its record after JSON escaping; never inside a
// UTF-8 character.
std::vector<std::string_view> Split(std::string_view data) {
  std::vector<std::string_view> parts;
  std::size_t begin = 0;
  std::size_t size = 0;
  for (std::size_t i = 0; i < data.size(); ++i) {
    const bool is_start =
        (static_cast<unsigned char>(data[i]) & 0xC0U) != 0x80U;
    // 8 bytes of slack hold the rest of a character.
    if (is_start && size + kHeaderRoom + 8 > kMaxSnapshotRecord) {
      parts.push_back(data.substr(begin, i - begin));
      begin = i;
      size = 0;
    }
    size += EscapedSize(data[i]);
  }
  parts.push_back(data.substr(begin));
  return parts;
}

bool LinesAgree(const ConfigState& state, LogOffset through) {
  if (state.lines.empty() || state.lines.back().offset > through ||
      state.version->value > through.value ||
      state.lines.back().hash != state.head) {
    return false;
  }
  for (std::size_t i = 1; i < state.lines.size(); ++i) {
    if (state.lines[i].offset <= state.lines[i - 1].offset) {
      return false;
    }
  }
  const ChangeLine* line = FindLine(state, LogOffset{state.version->value});
  return line == nullptr ? state.version->value < state.lines[0].offset.value
                         : std::holds_alternative<Accepted>(line->verdict);
}

std::optional<ConfigState> ReadSnapshot(const json::object& object) {
  ConfigState state;
  const LogOffset through{object.at("through").to_number<std::uint64_t>()};
  state.next = LogOffset{through.value + 1};
  state.version =
      ConfigVersion{object.at("version").to_number<std::uint64_t>()};
  state.head = Text(object.at("chain_head"));
  state.document = json::serialize(object.at("document"));
  for (const json::value& line : object.at("history").as_array()) {
    state.lines.push_back(LineFromJson(line.as_array()));
  }
  if (!LinesAgree(state, through) ||
      Sha256Hex(state.document) != Text(object.at("document_hash"))) {
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
  for (const ChangeLine& line : state.lines) {
    history.push_back(LineToJson(line));
  }
  return json::serialize(
      json::object{{"through", through.value},
                   {"version", state.version->value},
                   {"chain_head", state.head},
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
  const std::vector<std::string_view> parts = Split(data);
  for (const std::string_view part : parts) {
    // The id follows from the content, so that two writers produce the same
    // bytes.
    const std::string id =
        Sha256Hex(state.head + std::to_string(bodies.size()) +
                  std::string(part))
            .substr(0, 32);
    bodies.push_back(
        json::serialize(json::object{{"type", "snapshot"},
                                     {"id", id},
                                     {"through", through.value},
                                     {"version", state.version->value},
                                     {"chain_head", state.head},
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
    return ReadSnapshot(value.get_object());
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
    record.chain_head = Text(object.at("chain_head"));
    record.part = object.at("part").to_number<std::size_t>();
    record.parts = object.at("parts").to_number<std::size_t>();
    record.data = Text(object.at("data"));
    if (record.part >= record.parts || record.parts > kMaxParts) {
      return std::nullopt;
    }
    return record;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace pimentospar::detail
