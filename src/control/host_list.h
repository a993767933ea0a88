#ifndef SRC_CONTROL_HOST_LIST_H_
#define SRC_CONTROL_HOST_LIST_H_

#include <optional>
#include <vector>

#include "net/http_client.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// A process that the platform's host list names; only a hint, since the list
/// lags.
struct ListedHost {
  HostId host;
  bool is_agent = false;
  RegionId region;
  DataCentreId data_centre;
  /// RPC address.
  Address address;
  /// Where membership datagrams go; port 0 if the process has none.
  Address gossip;
  TargetId target;
  bool is_leaving = false;
};

/// Reads the host list; nothing if it does not answer. Suspends the calling
/// fiber.
[[nodiscard]] std::optional<std::vector<ListedHost>>
FetchHostList(HttpClient& http, const Clock& clock, const Address& address);

}  // namespace pimentospar

#endif  // SRC_CONTROL_HOST_LIST_H_
