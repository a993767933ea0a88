#include "ctl/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include "net/address.h"
#include "net/read_limits.h"

namespace pimentospar::ctl {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;

constexpr std::chrono::seconds kTimeout{10};
constexpr std::size_t kMaxAnswer = std::size_t{64} << 20;
constexpr std::string_view kRecords = "/v1/streams/config/records";

ConfigPage ReadPage(const json::object& object) {
  ConfigPage page;
  page.first = LogOffset{object.at("first").to_number<std::uint64_t>()};
  page.next = LogOffset{object.at("next").to_number<std::uint64_t>()};
  for (const json::value& item : object.at("records").as_array()) {
    const json::object& record = item.as_object();
    page.records.push_back(
        {LogOffset{record.at("offset").to_number<std::uint64_t>()},
         record.at("time_ms").to_number<std::int64_t>(),
         std::string(record.at("body").as_string())});
  }
  return page;
}

}  // namespace

HttpResult Call(std::string_view method,
                std::string_view address,
                std::string_view path,
                std::string_view body,
                std::string_view token) {
  HttpResult result;
  const auto parsed = ParseAddress(address);
  if (!parsed) {
    return result;
  }
  asio::io_context context;
  beast::tcp_stream stream(context);
  http::request<http::string_body> request(http::string_to_verb(method), path,
                                           11);
  request.set(http::field::host, address);
  request.set(http::field::content_type, "application/json");
  if (!token.empty()) {
    request.set(http::field::authorization, "Bearer " + std::string(token));
  }
  request.body() = body;
  request.prepare_payload();
  beast::flat_buffer buffer(kMaxUnparsedBytes);
  http::response_parser<http::string_body> parser;
  parser.header_limit(kMaxResponseHeadBytes);
  parser.body_limit(kMaxAnswer);
  stream.expires_after(kTimeout);
  // The time-out holds for asynchronous calls only, so they are chained here.
  stream.async_connect(
      parsed->ToEndpoint(), [&](boost::system::error_code failed) {
        if (failed) {
          return;
        }
        result.sent = true;
        http::async_write(
            stream, request, [&](boost::system::error_code error, std::size_t) {
              if (error) {
                return;
              }
              http::async_read(stream, buffer, parser,
                               [&](boost::system::error_code end, std::size_t) {
                                 if (!end) {
                                   result.answer =
                                       HttpAnswer{parser.get().result_int(),
                                                  parser.get().body()};
                                 }
                               });
            });
      });
  context.run();
  return result;
}

AppendResult HttpConfigStream::Append(std::string_view body) {
  const HttpResult result = Call("POST", this->address, kRecords, body, "");
  if (!result.sent) {
    return NotAppended{};
  }
  if (!result.answer || result.answer->status != 200) {
    return AppendUnknown{};
  }
  json::error_code error;
  const json::value value = json::parse(result.answer->body, error);
  const json::object* object = error ? nullptr : value.if_object();
  const json::value* offset = object ? object->if_contains("offset") : nullptr;
  if (offset == nullptr || !offset->is_number()) {
    return AppendUnknown{};
  }
  return LogOffset{offset->to_number<std::uint64_t>()};
}

std::optional<ConfigPage> HttpConfigStream::Read(LogOffset from) {
  const HttpResult result =
      Call("GET", this->address,
           std::string(kRecords) + "?from=" + std::to_string(from.value) +
               "&max=256",
           "", "");
  if (!result.answer || result.answer->status != 200) {
    return std::nullopt;
  }
  json::error_code error;
  const json::value value = json::parse(result.answer->body, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  try {
    return ReadPage(value.get_object());
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace pimentospar::ctl
