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

// Reads the fields of a JSON object; `problem` describes the first invalid one.
struct JsonObjectReader {
  const json::object& object;
  std::string problem;

  const json::value* FindField(std::string_view key) {
    const json::value* value = this->object.if_contains(key);
    if (value == nullptr) {
      this->SetProblem(key);
    }
    return value;
  }

  std::string ReadString(std::string_view key) {
    const json::value* value = this->FindField(key);
    if (value != nullptr && value->is_string()) {
      return std::string(value->get_string());
    }
    this->SetProblem(key);
    return {};
  }

  std::uint64_t ReadNumber(std::string_view key, std::uint64_t limit) {
    const json::value* value = this->FindField(key);
    json::error_code error;
    const auto number =
        value == nullptr ? 0 : value->to_number<std::uint64_t>(error);
    if (error || number > limit) {
      this->SetProblem(key);
      return 0;
    }
    return number;
  }

  template <typename Id>
  Id ReadId(std::string_view key) {
    const std::string text = this->ReadString(key);
    const std::string_view view = text;
    Id id;
    if (view.size() != 2 * kHexDigits ||
        !ParseHex(view.substr(0, kHexDigits), id.high) ||
        !ParseHex(view.substr(kHexDigits), id.low)) {
      this->SetProblem(key);
    }
    return id;
  }

  void SetProblem(std::string_view key) {
    if (this->problem.empty()) {
      this->problem = "missing or invalid field '" + std::string(key) + "'";
    }
  }
};

constexpr std::uint64_t kNoLimit = UINT64_MAX;
constexpr std::uint64_t kMaxStatus = 999;
// Keeps the sum of a time point and a lifetime within the range of the clock.
constexpr std::uint64_t kMaxLifetimeMs = std::uint64_t{1000} * 3600 * 24;

struct RecordEncoder {
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
    if (record.response) {
      object["answer"] = *record.response;
    } else {
      object["answer_hash"] = record.response_hash;
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

ClaimRecord ParseClaim(JsonObjectReader& reader) {
  ClaimRecord record;
  record.id = reader.ReadId<ClaimId>("id");
  record.key = reader.ReadId<KeyHash>("key_hash");
  record.body = reader.ReadId<BodyHash>("body_hash");
  record.owner = OwnerId(reader.ReadString("owner"));
  record.instance.value = reader.ReadNumber("instance", kNoLimit);
  record.epoch.value = reader.ReadNumber("epoch", kNoLimit);
  record.lifetime = std::chrono::milliseconds(
      reader.ReadNumber("lifetime_ms", kMaxLifetimeMs));
  return record;
}

DoneRecord ParseDone(JsonObjectReader& reader) {
  DoneRecord record;
  record.id = reader.ReadId<ClaimId>("id");
  record.status = static_cast<int>(reader.ReadNumber("status", kMaxStatus));
  if (reader.object.contains("answer")) {
    record.response = reader.ReadString("answer");
  } else {
    record.response_hash = reader.ReadString("answer_hash");
  }
  return record;
}

ClaimsRecord ParseRecord(JsonObjectReader& reader) {
  const std::string type = reader.ReadString("type");
  if (type == "claim") {
    return ParseClaim(reader);
  }
  if (type == "done") {
    return ParseDone(reader);
  }
  if (type == "release") {
    return ReleaseRecord{reader.ReadId<ClaimId>("id")};
  }
  if (type == "home") {
    return HomeRecord{{reader.ReadNumber("epoch", kNoLimit)},
                      RegionId(reader.ReadString("region"))};
  }
  reader.SetProblem("type");
  return {};
}

template <typename Id>
Id TruncatedHash(std::string_view text) {
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
    records.push_back(std::visit(RecordEncoder{}, record));
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
  JsonObjectReader reader{value.get_object()};
  RecordGroup group;
  group.id = reader.ReadId<GroupId>("id");
  const json::value* records = reader.FindField("records");
  if (reader.ReadString("type") != "claims" || records == nullptr ||
      !records->is_array()) {
    return leaf::new_error(
        RecordError{"not a record of type 'claims' with a list of records"});
  }
  for (const json::value& item : records->get_array()) {
    if (!item.is_object()) {
      return leaf::new_error(
          RecordError{"an element of 'records' is not a JSON object"});
    }
    JsonObjectReader member{item.get_object()};
    group.records.push_back(ParseRecord(member));
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
  // Hashing each part first distinguishes ("ab", "c") from ("a", "bc").
  return TruncatedHash<KeyHash>(Sha256Hex(owner.value) +
                                Sha256Hex(operation.value) + Sha256Hex(key));
}

BodyHash HashBody(std::string_view body) {
  return TruncatedHash<BodyHash>(body);
}

}  // namespace pimentospar
