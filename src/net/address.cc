#include "net/address.h"

#include <charconv>

namespace pimentospar {

std::optional<Address> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view ip = text.substr(0, colon);
  const std::string_view port_text = text.substr(colon + 1);
  if (ip.size() >= 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  }
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(
      port_text.data(), port_text.data() + port_text.size(), port);
  if (error != std::errc() || end != port_text.data() + port_text.size()) {
    return std::nullopt;
  }
  boost::system::error_code ip_error;
  boost::asio::ip::make_address(ip, ip_error);
  if (ip_error) {
    return std::nullopt;
  }
  return Address{std::string(ip), port};
}

std::string ToString(const Address& address) {
  const bool is_v6 = address.ip.find(':') != std::string::npos;
  const std::string ip = is_v6 ? "[" + address.ip + "]" : address.ip;
  return ip + ":" + std::to_string(address.port);
}

Address FromEndpoint(const boost::asio::ip::tcp::endpoint& endpoint) {
  return {endpoint.address().to_string(), endpoint.port()};
}

}  // namespace pimentospar
