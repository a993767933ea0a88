#ifndef SRC_NET_MESSAGE_FRAMING_H_
#define SRC_NET_MESSAGE_FRAMING_H_

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/fields.hpp>

/// Checks where the body of an HTTP message ends.
namespace pimentospar {

/// Returns whether the transfer coding of a message is one that is decoded: no
/// coding at all, or `chunked` alone. The parser takes a request with any other
/// last coding for one without a body, and the bytes of its body for the next
/// request (RFC 9112, 6.3).
[[nodiscard]] inline bool HasKnownTransferCoding(
    const boost::beast::http::fields& fields) {
  namespace http = boost::beast::http;
  const auto codings = fields.equal_range(http::field::transfer_encoding);
  if (codings.first == codings.second) {
    return true;
  }
  return std::next(codings.first) == codings.second &&
         boost::beast::iequals(codings.first->value(), "chunked");
}

}  // namespace pimentospar

#endif  // SRC_NET_MESSAGE_FRAMING_H_
