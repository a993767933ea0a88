#include "pimentospar/claims_records.h"

#include <boost/json.hpp>
#include <charconv>

#include "pimentospar/digest.h"

namespace pimentospar {

namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

constexpr std::size_t kHexDigits = 16;

void AppendHex(std::string& text, std::uint64_t number) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  for (int shift = 60; shift >= 0; shift -= 4) {
    text += kDigits[(number >> shift) & 0xf];
  }
}

template <typename Id>
std::string ToHex(const Id& id) {
  std::string text;
  AppendHex(text, id.high);
  AppendHex(text, id.low);
  return text;
}

bool ParseHex(std::string_view text, std::uint64_t& number) {
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number, 16);
  return error == std::errc() && stop == end && text.size() == kHexDigits;
}

// Reads the members of one record; `problem` names the first bad member.
struct MemberReader {
  const json::object& object;
  std::string problem;

  const json::value* Find(std::string_view key) {
    const json::value* value = this->object.if_contains(key);
    if (value == nullptr) {
      this->Fail(key);
    }
    return value;
  }

  std::string Text(std::string_view key) {
    const json::value* value = this->Find(key);
    if (value != nullptr && value->is_string()) {
      return std::string(value->get_string());
    }
    this->Fail(key);
    return {};
  }

  std::uint64_t Number(std::string_view key, std::uint64_t limit) {
    const json::value* value = this->Find(key);
    json::error_code error;
    const auto number =
        value == nullptr ? 0 : value->to_number<std::uint64_t>(error);
    if (error || number > limit) {
      this->Fail(key);
      return 0;
    }
    return number;
  }

  template <typename Id>
  Id Wide(std::string_view key) {
    const std::string text = this->Text(key);
    const std::string_view view = text;
    Id id;
    if (view.size() != 2 * kHexDigits ||
        !ParseHex(view.substr(0, kHexDigits), id.high) ||
        !ParseHex(view.substr(kHexDigits), id.low)) {
      this->Fail(key);
    }
    return id;
  }

  void Fail(std::string_view key) {
    if (this->problem.empty()) {
      this->problem = "bad member '" + std::string(key) + "'";
    }
  }
};

constexpr std::uint64_t kAnyNumber = UINT64_MAX;
constexpr std::uint64_t kMaxStatus = 999;
// Keeps the sum of a lifetime and a time point within the range of the clock.
constexpr std::uint64_t kMaxLifetimeMs = std::uint64_t{1000} * 3600 * 24;

struct RecordWriter {
  json::object operator()(const ClaimRecord& record) const {
    return {{"type", "claim"},
            {"id", ToHex(record.id)},
            {"key_hash", ToHex(record.key)},
            {"body_hash", ToHex(record.body)},
            {"owner", record.owner.value},
            {"instance", record.instance.value},
            {"epoch", record.epoch.value},
            {"lifetime_ms", record.lifetime.count()}};
  }
  json::object operator()(const DoneRecord& record) const {
    json::object object{
        {"type", "done"}, {"id", ToHex(record.id)}, {"status", record.status}};
    if (record.answer) {
      object["answer"] = *record.answer;
    } else {
      object["answer_hash"] = record.answer_hash;
    }
    return object;
  }
  json::object operator()(const ReleaseRecord& record) const {
    return {{"type", "release"}, {"id", ToHex(record.id)}};
  }
  json::object operator()(const HomeRecord& record) const {
    return {{"type", "home"},
            {"epoch", record.epoch.value},
            {"region", record.region.value}};
  }
};

ClaimRecord ReadClaim(MemberReader& reader) {
  ClaimRecord record;
  record.id = reader.Wide<ClaimId>("id");
  record.key = reader.Wide<KeyHash>("key_hash");
  record.body = reader.Wide<BodyHash>("body_hash");
  record.owner = OwnerId(reader.Text("owner"));
  record.instance.value = reader.Number("instance", kAnyNumber);
  record.epoch.value = reader.Number("epoch", kAnyNumber);
  record.lifetime =
      std::chrono::milliseconds(reader.Number("lifetime_ms", kMaxLifetimeMs));
  return record;
}

DoneRecord ReadDone(MemberReader& reader) {
  DoneRecord record;
  record.id = reader.Wide<ClaimId>("id");
  record.status = static_cast<int>(reader.Number("status", kMaxStatus));
  if (reader.object.contains("answer")) {
    record.answer = reader.Text("answer");
  } else {
    record.answer_hash = reader.Text("answer_hash");
  }
  return record;
}

ClaimsRecord ReadRecord(MemberReader& reader) {
  const std::string type = reader.Text("type");
  if (type == "claim") {
    return ReadClaim(reader);
  }
  if (type == "done") {
    return ReadDone(reader);
  }
  if (type == "release") {
    return ReleaseRecord{reader.Wide<ClaimId>("id")};
  }
  if (type == "home") {
    return HomeRecord{{reader.Number("epoch", kAnyNumber)},
                      RegionId(reader.Text("region"))};
  }
  reader.Fail("type");
  return {};
}

template <typename Id>
Id HashTo(std::string_view text) {
  const std::string hex = Sha256Hex(text);
  const std::string_view view = hex;
  Id id;
  ParseHex(view.substr(0, kHexDigits), id.high);
  ParseHex(view.substr(kHexDigits, kHexDigits), id.low);
  return id;
}

}  // namespace

std::string Encode(const RecordGroup& group) {
  json::array records;
  for (const ClaimsRecord& record : group.records) {
    records.push_back(std::visit(RecordWriter{}, record));
  }
  return json::serialize(json::object{{"type", "claims"},
                                      {"id", ToHex(group.id)},
                                      {"records", std::move(records)}});
}

leaf::result<RecordGroup> DecodeGroup(std::string_view body) {
  json::error_code error;
  const json::value value = json::parse(body, error);
  if (error || !value.is_object()) {
    return leaf::new_error(RecordError{"not a JSON object"});
  }
  MemberReader reader{value.get_object()};
  RecordGroup group;
  group.id = reader.Wide<GroupId>("id");
  const json::value* records = reader.Find("records");
  if (reader.Text("type") != "claims" || records == nullptr ||
      !records->is_array()) {
    return leaf::new_error(RecordError{"not a group of claims records"});
  }
  for (const json::value& item : records->get_array()) {
    if (!item.is_object()) {
      return leaf::new_error(RecordError{"a record is not an object"});
    }
    MemberReader member{item.get_object()};
    group.records.push_back(ReadRecord(member));
    if (!member.problem.empty()) {
      return leaf::new_error(RecordError{member.problem});
    }
  }
  if (!reader.problem.empty()) {
    return leaf::new_error(RecordError{reader.problem});
  }
  return group;
}

KeyHash HashKey(const OwnerId& owner,
                const OperationId& operation,
                std::string_view key) {
  // Hashing the parts first keeps ("ab", "c") and ("a", "bc") apart.
  return HashTo<KeyHash>(Sha256Hex(owner.value) + Sha256Hex(operation.value) +
                         Sha256Hex(key));
}

BodyHash HashBody(std::string_view body) {
  return HashTo<BodyHash>(body);
}

}  // namespace pimentospar
