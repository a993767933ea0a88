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

// A whole document with 2,000 models has 500 KB.
constexpr std::size_t kMaxChangeBytes = std::size_t{4} << 20;
constexpr std::size_t kMaxNameBytes = 256;
// The history keeps the first errors only, so that its lines stay short.
constexpr std::size_t kMaxKeptErrors = 3;
constexpr std::size_t kMaxErrorBytes = 160;

struct Change {
  std::string id;
  std::string author;
  std::int64_t time_ms = 0;
  ConfigVersion base;
  std::string prev_hash;
  std::string content;
  bool is_document = false;
  std::vector<ConfigError> errors;
};

std::string ReadText(const json::object& object,
                     std::string_view key,
                     Change& change) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_string() ||
      value->get_string().size() > kMaxNameBytes ||
      value->get_string().empty()) {
    change.errors.push_back({std::string(key),
                             "is not a text of 1 to 256 bytes",
                             "write the record with pimentosparctl"});
    return "";
  }
  return std::string(value->get_string());
}

// Numbers above the signed range are refused, so that every reader agrees.
std::uint64_t ReadNumber(const json::object& object,
                         std::string_view key,
                         Change& change) {
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

Change ReadChange(std::string_view body) {
  Change change;
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
  change.id = ReadText(*object, "id", change);
  change.author = ReadText(*object, "author", change);
  change.time_ms =
      static_cast<std::int64_t>(ReadNumber(*object, "time", change));
  change.base = ConfigVersion{ReadNumber(*object, "base_version", change)};
  change.prev_hash = ReadText(*object, "prev_hash", change);
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

// Returns the change that replaced this base; the version in force if the base
// never was one.
Overtaken FindOvertaker(const detail::ConfigState& state,
                        const Change& change) {
  const auto is_accepted = [](const ChangeLine& line) {
    return std::holds_alternative<Accepted>(line.verdict);
  };
  for (const ChangeLine& line : state.lines) {
    if (is_accepted(line) && !change.is_document && line.base == change.base &&
        line.offset.value > change.base.value) {
      return {line.offset, line.author};
    }
  }
  const ChangeLine* line =
      detail::FindLine(state, LogOffset{state.version->value});
  return {LogOffset{state.version->value}, line == nullptr ? "" : line->author};
}

bool IsLink(const detail::ConfigState& state, std::string_view hash) {
  return hash == kGenesisHash || hash == state.head ||
         std::ranges::any_of(state.lines, [&](const ChangeLine& line) {
           return line.hash == hash;
         });
}

std::optional<Verdict> JudgeBase(const detail::ConfigState& state,
                                 const Change& change) {
  const auto invalid = [](std::string path, std::string problem,
                          std::string remedy) {
    return Invalid{{{std::move(path), std::move(problem), std::move(remedy)}}};
  };
  if (!change.errors.empty()) {
    return Invalid{change.errors};
  }
  if (!IsLink(state, change.prev_hash)) {
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
    return FindOvertaker(state, change);
  }
  if (change.base.value > state.version->value) {
    return invalid("base_version", "is not a version",
                   "use the version in force");
  }
  if (change.base != *state.version) {
    return FindOvertaker(state, change);
  }
  return std::nullopt;
}

leaf::result<std::string> ResultOf(const detail::ConfigState& state,
                                   const Change& change) {
  if (!change.is_document) {
    return ApplyPatch(state.document, change.content);
  }
  BOOST_LEAF_AUTO(configuration, ParseConfiguration(change.content));
  return ToJson(configuration);
}

Verdict Judge(detail::ConfigState& state,
              const Change& change,
              LogOffset offset) {
  if (std::optional<Verdict> verdict = JudgeBase(state, change)) {
    return std::move(*verdict);
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<Verdict> {
        BOOST_LEAF_AUTO(document, ResultOf(state, change));
        BOOST_LEAF_AUTO(configuration, ParseConfiguration(document));
        state.document = std::move(document);
        state.configuration =
            std::make_shared<const Configuration>(std::move(configuration));
        state.version = ConfigVersion{offset.value};
        return Verdict(Accepted{});
      },
      [](const ConfigErrors& found) { return Verdict(Invalid{found.errors}); },
      [] {
        return Verdict(Invalid{{{"", "cannot be read", "correct the change"}}});
      });
}

// Cuts at the start of a UTF-8 character.
std::string Shorten(const std::string& text) {
  if (text.size() <= kMaxErrorBytes) {
    return text;
  }
  std::size_t end = kMaxErrorBytes;
  while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0U) == 0x80U) {
    --end;
  }
  return text.substr(0, end) + "...";
}

Verdict Compact(const Verdict& verdict) {
  const Invalid* invalid = std::get_if<Invalid>(&verdict);
  if (invalid == nullptr) {
    return verdict;
  }
  Invalid compact;
  for (const ConfigError& error : invalid->errors) {
    if (compact.errors.size() == kMaxKeptErrors) {
      break;
    }
    compact.errors.push_back(
        {Shorten(error.path), Shorten(error.problem), Shorten(error.remedy)});
  }
  return compact;
}

}  // namespace

namespace detail {

const ChangeLine* FindLine(const ConfigState& state, LogOffset offset) {
  const auto found = std::ranges::lower_bound(
      state.lines, offset, {},
      [](const ChangeLine& line) { return line.offset; });
  return found != state.lines.end() && found->offset == offset ? &*found
                                                               : nullptr;
}

std::optional<std::string_view> HeadAt(const ConfigState& state,
                                       LogOffset offset) {
  if (offset >= state.next) {
    return std::nullopt;
  }
  const auto after = std::ranges::upper_bound(
      state.lines, offset, {},
      [](const ChangeLine& line) { return line.offset; });
  if (after != state.lines.begin()) {
    return (after - 1)->hash;
  }
  return state.lines.empty() ? std::optional<std::string_view>(state.head)
                             : std::nullopt;
}

ChangeLine ApplyChange(ConfigState& state, const ConfigRecord& record) {
  const Change change = ReadChange(record.body);
  ChangeLine line{record.offset, change.id, change.author, change.time_ms,
                  change.base};
  line.verdict = Judge(state, change, record.offset);
  state.head = ChainHash(state.head, record.body);
  line.hash = state.head;
  state.next = LogOffset{record.offset.value + 1};
  ChangeLine kept = line;
  kept.verdict = Compact(line.verdict);
  state.lines.push_back(std::move(kept));
  if (state.lines.size() > kMaxHistory) {
    state.lines.pop_front();
  }
  return line;
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
