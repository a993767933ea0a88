#include "gateway/upstream_client.h"

namespace pimentospar {

std::optional<HttpAnswer> HttpCaller::CallOver(
    std::unique_ptr<UpstreamConnection> connection,
    const HttpCall& call,
    Duration limit) {
  if (connection == nullptr) {
    return std::nullopt;
  }
  Exchange exchange(std::move(connection), false);
  const Alarm alarm(this->alarms, limit, [&exchange] { exchange.Cancel(); });
  std::string head = call.method + " " + call.path +
                     " HTTP/1.1\r\nHost: " + call.address + "\r\n" +
                     call.headers;
  if (!call.body.empty() || call.method != "GET") {
    head += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
  }
  head += "\r\n";
  exchange.Send(std::move(head),
                std::make_shared<const std::string>(call.body));
  if (!exchange.ReadHead()) {
    return std::nullopt;
  }
  const unsigned status = exchange.GetHead().result_int();
  auto body = exchange.ReadRest();
  if (!body) {
    return std::nullopt;
  }
  exchange.Release(this->pool);
  return HttpAnswer{status, std::move(*body)};
}

std::optional<HttpAnswer> HttpCaller::Call(const HttpCall& call,
                                           Duration limit) {
  const TimePoint start = this->clock.Now();
  if (auto idle = this->pool.TakeIdle(call.address)) {
    auto answer = this->CallOver(std::move(idle), call, limit);
    const bool timed_out = this->clock.Now() - start >= limit;
    if (answer || call.method != "GET" || timed_out) {
      return answer;
    }
  }
  return this->CallOver(this->pool.Connect(call.address), call, limit);
}

}  // namespace pimentospar
