#include "gateway/upstream_client.h"

namespace pimentospar {

std::optional<UpstreamResponse> UpstreamClient::SendOver(
    std::unique_ptr<UpstreamConnection> connection,
    const UpstreamRequest& request,
    Duration timeout) {
  if (connection == nullptr) {
    return std::nullopt;
  }
  UpstreamExchange exchange(this->pool, std::move(connection), false);
  const ScopedTimer timer(this->timers, timeout,
                          [&exchange] { exchange.Cancel(); });
  std::string head = request.method + " " + request.path +
                     " HTTP/1.1\r\nHost: " + request.address + "\r\n" +
                     request.headers;
  if (!request.body.empty() || request.method != "GET") {
    head += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  }
  head += "\r\n";
  exchange.Send(std::move(head),
                std::make_shared<const std::string>(request.body));
  if (!exchange.ReadHead()) {
    return std::nullopt;
  }
  UpstreamResponse response;
  response.status = exchange.GetHead().result_int();
  response.headers = exchange.GetHead();
  auto body = exchange.ReadRemainingBody();
  if (!body) {
    return std::nullopt;
  }
  exchange.Release();
  response.body = std::move(*body);
  return response;
}

std::optional<UpstreamResponse> UpstreamClient::Send(
    const UpstreamRequest& request,
    Duration timeout) {
  const TimePoint start = this->clock.Now();
  if (auto idle = this->pool.TakeIdle(request.address)) {
    auto response = this->SendOver(std::move(idle), request, timeout);
    const bool timed_out = this->clock.Now() - start >= timeout;
    if (response || request.method != "GET" || timed_out) {
      return response;
    }
  }
  return this->SendOver(this->pool.Connect(request.address), request, timeout);
}

}  // namespace pimentospar
