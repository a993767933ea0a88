#ifndef SRC_NET_ADDRESS_H_
#define SRC_NET_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace pimentospar {

/// An IP address and a port, written as `127.0.0.1:8080` or `[::1]:8080`.
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  [[nodiscard]] boost::asio::ip::tcp::endpoint ToEndpoint() const {
    return {boost::asio::ip::make_address(this->ip), this->port};
  }
  auto operator<=>(const Address&) const = default;
};

/// Returns nothing if the text is not an IP address and a port.
[[nodiscard]] std::optional<Address> ParseAddress(std::string_view text);
/// Returns the form that `ParseAddress` reads, with IPv6 addresses in brackets.
[[nodiscard]] std::string ToString(const Address& address);
[[nodiscard]] Address FromEndpoint(
    const boost::asio::ip::tcp::endpoint& endpoint);

}  // namespace pimentospar

#endif  // SRC_NET_ADDRESS_H_
