#include "pimentospar/fingerprint.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <charconv>
#include <initializer_list>
#include <vector>

#include "pimentospar/digest.h"

namespace pimentospar {

namespace {

namespace json = boost::json;

void AppendCanonical(const json::value& value, std::string& text) {
  if (const auto* array = value.if_array()) {
    text += '[';
    for (const auto& element : *array) {
      AppendCanonical(element, text);
      text += ',';
    }
    text += ']';
    return;
  }
  const auto* object = value.if_object();
  if (object == nullptr) {
    text += json::serialize(value);
    return;
  }
  std::vector<std::string_view> keys;
  for (const auto& member : *object) {
    keys.emplace_back(member.key());
  }
  std::ranges::sort(keys);
  text += '{';
  for (const std::string_view key : keys) {
    text += json::serialize(json::string(key));
    text += ':';
    AppendCanonical(object->at(key), text);
    text += ',';
  }
  text += '}';
}

// The length prefix makes the encoding unambiguous: ("ab", "c") and ("a", "bc")
// hash differently.
void AppendWithLength(std::string_view part, std::string& text) {
  text += std::to_string(part.size());
  text += ':';
  text += part;
}

Fingerprint HashTexts(std::initializer_list<std::string_view> texts) {
  std::string text;
  for (const std::string_view part : texts) {
    AppendWithLength(part, text);
  }
  return Fingerprint{Hash64(text)};
}

Fingerprint HashParts(std::initializer_list<std::string_view> parts,
                      std::string_view body) {
  std::string text;
  for (const std::string_view part : parts) {
    AppendWithLength(part, text);
  }
  text += CanonicalBody(body);
  return Fingerprint{Hash64(text)};
}

// Returns the fingerprint of what has another fingerprint and holds `more`.
Fingerprint Narrow(Fingerprint fingerprint, std::string_view more) {
  return Fingerprint{Hash64(more, fingerprint.value)};
}

}  // namespace

std::string CanonicalBody(std::string_view body) {
  json::error_code error;
  const json::value value = json::parse(body, error);
  if (error) {
    return std::string(body);
  }
  std::string text;
  AppendCanonical(value, text);
  return text;
}

Fingerprint FingerprintOf(const OwnerId& owner,
                          const ModelId& model,
                          std::string_view body) {
  return HashParts({"model", owner.value, model.value}, body);
}

Fingerprint FingerprintOf(const OwnerId& owner,
                          const ServiceId& service,
                          const OperationId& operation,
                          std::string_view body) {
  return HashParts({"service", owner.value, service.value, operation.value},
                   body);
}

Fingerprint FingerprintOfPromptPart(std::string_view part_id) {
  return HashTexts({"prompt part", part_id});
}

Fingerprint FingerprintInWorkspace(Fingerprint fingerprint,
                                   const WorkspaceId& workspace) {
  return workspace.IsEmpty()
             ? fingerprint
             : Narrow(fingerprint, "workspace " + workspace.value);
}

std::string ToHex(Fingerprint fingerprint) {
  std::array<char, 16> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 fingerprint.value, 16);
  return {digits.data(), end.ptr};
}

std::string JoinHex(std::span<const Fingerprint> fingerprints) {
  std::string text;
  for (const Fingerprint fingerprint : fingerprints) {
    text += text.empty() ? "" : ",";
    text += ToHex(fingerprint);
  }
  return text;
}

std::vector<Fingerprint> FingerprintsOfRequest(
    const HttpRequestContent& content) {
  const auto query_at =
      std::min(content.target.find('?'), content.target.size());
  const std::string_view path = content.target.substr(0, query_at);
  const std::string_view query = content.target.substr(query_at);
  std::vector<Fingerprint> fingerprints = {FingerprintInWorkspace(
      HashTexts({"http", content.method, content.host, path, content.body}),
      content.workspace)};
  const auto parts = content.prompt_parts;
  const auto shared = parts.first(parts.empty() ? 0 : parts.size() - 1);
  if (!query.empty() || !shared.empty()) {
    fingerprints.push_back(Narrow(fingerprints.back(),
                                  std::string(query) + " " + JoinHex(shared)));
  }
  if (!parts.empty()) {
    fingerprints.push_back(Narrow(fingerprints.back(), ToHex(parts.back())));
  }
  return fingerprints;
}

}  // namespace pimentospar
