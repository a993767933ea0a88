#ifndef SRC_NET_READ_LIMITS_H_
#define SRC_NET_READ_LIMITS_H_

#include <cstddef>
#include <cstdint>

/// Limits on what is kept of an HTTP message while it is read.
namespace pimentospar {

/// Largest head of a response, in bytes.
constexpr std::uint32_t kMaxResponseHeadBytes = 64 * 1024;

/// Largest number of received bytes that the parser has not consumed. It
/// consumes a head, the line with the size of a chunk and the trailer fields
/// only as a whole.
constexpr std::size_t kMaxUnparsedBytes = 64UL * 1024;

}  // namespace pimentospar

#endif  // SRC_NET_READ_LIMITS_H_
