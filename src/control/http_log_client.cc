#include "control/http_log_client.h"

#include <fmt/format.h>

#include <boost/json.hpp>

namespace pimentospar::control {

namespace {

namespace json = boost::json;

// The log responds within a few milliseconds when it is up; a longer timeout
// would delay every operation that waits for the log.
constexpr std::chrono::seconds kLogTimeout{2};

std::optional<std::uint64_t> NumberAt(const json::value& value,
                                      std::string_view key) {
  const json::object* object = value.if_object();
  const json::value* member =
      object == nullptr ? nullptr : object->if_contains(key);
  if (member == nullptr || !member->is_number()) {
    return std::nullopt;
  }
  json::error_code error;
  const auto number = member->to_number<std::uint64_t>(error);
  return error ? std::nullopt : std::optional(number);
}

std::optional<LogPage> ParsePage(std::string_view text) {
  json::error_code error;
  const json::value value = json::parse(text, error);
  const auto first = NumberAt(value, "first");
  const auto next = NumberAt(value, "next");
  if (error || !first || !next) {
    return std::nullopt;
  }
  LogPage page{LogOffset{*first}, LogOffset{*next}, {}};
  const json::value* records = value.get_object().if_contains("records");
  if (records == nullptr || !records->is_array()) {
    return std::nullopt;
  }
  for (const json::value& record : records->get_array()) {
    const auto offset = NumberAt(record, "offset");
    const json::value* body =
        offset ? record.get_object().if_contains("body") : nullptr;
    if (body == nullptr || !body->is_string()) {
      return std::nullopt;
    }
    const auto time_ms = NumberAt(record, "time_ms").value_or(0);
    page.records.push_back({LogOffset{*offset}, std::string(body->get_string()),
                            static_cast<std::int64_t>(time_ms)});
  }
  return page;
}

}  // namespace

AppendResult HttpLogClient::Append(std::string_view stream,
                                   std::string_view body) {
  HttpCall call{.address = this->address,
                .method = "POST",
                .path = fmt::format("/v1/streams/{}/records", stream),
                .body = std::string(body),
                .fresh_connection = true};
  const HttpResult result =
      this->http.Fetch(std::move(call), this->clock.Now() + kLogTimeout);
  this->metrics.Count(CountedEvent::kLogAppend);
  if (result.progress == HttpProgress::kNotSent) {
    return AppendRefused{};
  }
  if (!result.complete || result.status >= 500) {
    this->metrics.Count(CountedEvent::kLogAppendLost);
    return AppendUnknown{};
  }
  if (result.status != 200) {
    return AppendRefused{};
  }
  json::error_code error;
  const auto offset = NumberAt(json::parse(result.body, error), "offset");
  if (error || !offset) {
    return AppendUnknown{};
  }
  return Appended{LogOffset{*offset}};
}

std::optional<LogPage> HttpLogClient::Read(std::string_view stream,
                                           LogOffset from,
                                           std::size_t max) {
  HttpCall call{.address = this->address,
                .path = fmt::format("/v1/streams/{}/records?from={}&max={}",
                                    stream, from.value, max)};
  const HttpResult result =
      this->http.Fetch(std::move(call), this->clock.Now() + kLogTimeout);
  std::optional<LogPage> page;
  if (result.complete && result.status == 200) {
    page = ParsePage(result.body);
  }
  if (!page) {
    this->metrics.Count(CountedEvent::kLogReadFailed);
  }
  return page;
}

}  // namespace pimentospar::control
