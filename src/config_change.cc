#include <algorithm>
#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <limits>

#include "config_log_detail.h"
#include "pimentospar/digest.h"

namespace pimentospar {

namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

// For comparison: a whole document with 2,000 models has 500 KB.
constexpr std::size_t kMaxChangeBytes = std::size_t{4} << 20;
constexpr std::size_t kMaxStringBytes = 256;
// The history keeps only the first errors of a change, and shortens them, to
// limit its size.
constexpr std::size_t kMaxHistoryErrors = 3;
constexpr std::size_t kMaxErrorBytes = 160;

// The error texts below and in config_json.cc and config_patch.cc become part
// of the history. All processes must write identical snapshots of it, so a
// process with other texts would reject the snapshots of the rest.

struct ParsedChange {
  std::string id;
  std::string author;
  std::int64_t time_ms = 0;
  ConfigVersion base;
  std::string prev_hash;
  std::string content;
  bool is_document = false;
  std::vector<ConfigError> errors;
};

std::string ReadString(const json::object& object,
                       std::string_view key,
                       ParsedChange& change) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_string() ||
      value->get_string().size() > kMaxStringBytes ||
      value->get_string().empty()) {
    change.errors.push_back({std::string(key),
                             "is not a text of 1 to 256 bytes",
                             "write the record with pimentosparctl"});
    return "";
  }
  return std::string(value->get_string());
}

// Rejects numbers above the signed 64-bit range, so that every reader parses
// the same value.
std::uint64_t ReadNumber(const json::object& object,
                         std::string_view key,
                         ParsedChange& change) {
  const json::value* value = object.if_contains(key);
  json::error_code error;
  std::uint64_t number = 0;
  if (value != nullptr) {
    number = value->to_number<std::uint64_t>(error);
  }
  if (value == nullptr || error ||
      number > std::uint64_t{std::numeric_limits<std::int64_t>::max()}) {
    change.errors.push_back({std::string(key), "is not a whole number",
                             "write the record with pimentosparctl"});
    return 0;
  }
  return number;
}

ParsedChange ParseChange(std::string_view body) {
  ParsedChange change;
  if (body.size() > kMaxChangeBytes) {
    change.errors.push_back({"", "is larger than 4 MiB", "split the change"});
    return change;
  }
  json::error_code error;
  const json::value value = json::parse(body, error);
  const json::object* object = error ? nullptr : value.if_object();
  const json::value* type = object ? object->if_contains("type") : nullptr;
  if (type == nullptr || *type != "change") {
    change.errors.push_back(
        {"", "is not a change record", "write the record with pimentosparctl"});
    return change;
  }
  change.id = ReadString(*object, "id", change);
  change.author = ReadString(*object, "author", change);
  change.time_ms =
      static_cast<std::int64_t>(ReadNumber(*object, "time", change));
  change.base = ConfigVersion{ReadNumber(*object, "base_version", change)};
  change.prev_hash = ReadString(*object, "prev_hash", change);
  const json::value* document = object->if_contains("document");
  const json::value* patch = object->if_contains("patch");
  if ((document == nullptr) == (patch == nullptr)) {
    change.errors.push_back({"", "has not exactly one of patch and document",
                             "write the record with pimentosparctl"});
    return change;
  }
  change.is_document = document != nullptr;
  change.content = json::serialize(document != nullptr ? *document : *patch);
  return change;
}

// Returns the change that replaced this base, or the active version if the base
// never was a version.
ChangeConflict FindConflict(const detail::ConfigState& state,
                            const ParsedChange& change) {
  const auto is_accepted = [](const ChangeSummary& summary) {
    return std::holds_alternative<ChangeAccepted>(summary.outcome);
  };
  for (const ChangeSummary& summary : state.history) {
    if (is_accepted(summary) && !change.is_document &&
        summary.base == change.base &&
        summary.offset.value > change.base.value) {
      return {summary.offset, summary.author};
    }
  }
  const ChangeSummary* summary =
      detail::FindInHistory(state, LogOffset{state.version->value});
  return {LogOffset{state.version->value},
          summary == nullptr ? "" : summary->author};
}

bool IsKnownChainHead(const detail::ConfigState& state, std::string_view hash) {
  return hash == kGenesisHash || hash == state.chain_head ||
         std::ranges::any_of(state.history, [&](const ChangeSummary& summary) {
           return summary.hash == hash;
         });
}

std::optional<ChangeOutcome> CheckBase(const detail::ConfigState& state,
                                       const ParsedChange& change) {
  const auto invalid = [](std::string path, std::string problem,
                          std::string remedy) {
    return ChangeInvalid{
        {{std::move(path), std::move(problem), std::move(remedy)}}};
  };
  if (!change.errors.empty()) {
    return ChangeInvalid{change.errors};
  }
  if (!IsKnownChainHead(state, change.prev_hash)) {
    return invalid("prev_hash", "is no link of this chain",
                   "read the stream again and propose on its version");
  }
  if (!state.version) {
    if (change.is_document) {
      return std::nullopt;
    }
    return invalid("base_version", "there is no version yet",
                   "propose a whole document");
  }
  if (change.is_document) {
    return FindConflict(state, change);
  }
  if (change.base.value > state.version->value) {
    return invalid("base_version", "is not a version",
                   "use the version in force");
  }
  if (change.base != *state.version) {
    return FindConflict(state, change);
  }
  return std::nullopt;
}

leaf::result<std::string> MakeDocument(const detail::ConfigState& state,
                                       const ParsedChange& change) {
  if (!change.is_document) {
    return ApplyPatch(state.document, change.content);
  }
  BOOST_LEAF_AUTO(configuration, ParseConfiguration(change.content));
  return ToJson(configuration);
}

ChangeOutcome EvaluateChange(detail::ConfigState& state,
                             const ParsedChange& change,
                             LogOffset offset) {
  if (std::optional<ChangeOutcome> outcome = CheckBase(state, change)) {
    return std::move(*outcome);
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<ChangeOutcome> {
        BOOST_LEAF_AUTO(document, MakeDocument(state, change));
        BOOST_LEAF_AUTO(configuration, ParseConfiguration(document));
        state.document = std::move(document);
        state.configuration =
            std::make_shared<const Configuration>(std::move(configuration));
        state.version = ConfigVersion{offset.value};
        return ChangeOutcome(ChangeAccepted{});
      },
      [](const ConfigErrors& found) {
        return ChangeOutcome(ChangeInvalid{found.errors});
      },
      [] {
        return ChangeOutcome(
            ChangeInvalid{{{"", "cannot be read", "correct the change"}}});
      });
}

// Never cuts inside a UTF-8 character.
std::string Truncate(const std::string& text) {
  if (text.size() <= kMaxErrorBytes) {
    return text;
  }
  std::size_t end = kMaxErrorBytes;
  while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0U) == 0x80U) {
    --end;
  }
  return text.substr(0, end) + "...";
}

ChangeOutcome TruncateErrors(const ChangeOutcome& outcome) {
  const ChangeInvalid* invalid = std::get_if<ChangeInvalid>(&outcome);
  if (invalid == nullptr) {
    return outcome;
  }
  ChangeInvalid compact;
  for (const ConfigError& error : invalid->errors) {
    if (compact.errors.size() == kMaxHistoryErrors) {
      break;
    }
    compact.errors.push_back({Truncate(error.path), Truncate(error.problem),
                              Truncate(error.remedy)});
  }
  return compact;
}

}  // namespace

namespace detail {

const ChangeSummary* FindInHistory(const ConfigState& state, LogOffset offset) {
  const auto found = std::ranges::lower_bound(
      state.history, offset, {},
      [](const ChangeSummary& summary) { return summary.offset; });
  return found != state.history.end() && found->offset == offset ? &*found
                                                                 : nullptr;
}

std::optional<std::string_view> ChainHeadAt(const ConfigState& state,
                                            LogOffset offset) {
  if (offset >= state.next) {
    return std::nullopt;
  }
  const auto after = std::ranges::upper_bound(
      state.history, offset, {},
      [](const ChangeSummary& summary) { return summary.offset; });
  if (after != state.history.begin()) {
    return (after - 1)->hash;
  }
  return state.history.empty()
             ? std::optional<std::string_view>(state.chain_head)
             : std::nullopt;
}

ChangeSummary ApplyChange(ConfigState& state, const ConfigRecord& record) {
  const ParsedChange change = ParseChange(record.body);
  ChangeSummary summary{record.offset, change.id, change.author, change.time_ms,
                        change.base};
  summary.outcome = EvaluateChange(state, change, record.offset);
  state.chain_head = ChainHash(state.chain_head, record.body);
  summary.hash = state.chain_head;
  state.next = LogOffset{record.offset.value + 1};
  ChangeSummary kept = summary;
  kept.outcome = TruncateErrors(summary.outcome);
  state.history.push_back(std::move(kept));
  if (state.history.size() > kMaxHistory) {
    state.history.pop_front();
  }
  return summary;
}

}  // namespace detail

std::string ChainHash(std::string_view previous, std::string_view body) {
  return Sha256Hex(std::string(previous) + std::string(body));
}

bool IsSnapshotRecord(std::string_view body) {
  json::error_code error;
  const json::value value = json::parse(body, error);
  const json::object* object = error ? nullptr : value.if_object();
  const json::value* type = object ? object->if_contains("type") : nullptr;
  return type != nullptr && *type == "snapshot";
}

std::string MakeChange(const ChangeDraft& draft) {
  json::object object{{"type", "change"},
                      {"id", draft.id},
                      {"base_version", draft.base.value},
                      {"author", draft.author},
                      {"time", draft.time_ms},
                      {"prev_hash", draft.prev_hash}};
  object[draft.is_document ? "document" : "patch"] = json::parse(draft.content);
  return json::serialize(object);
}

std::string MakeRecordId(RandomSource& random) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string id;
  for (int half = 0; half < 2; ++half) {
    std::uint64_t bits = random.Next();
    for (int digit = 0; digit < 16; ++digit) {
      id += kDigits[bits & 15U];
      bits >>= 4U;
    }
  }
  return id;
}

}  // namespace pimentospar
