#ifndef SRC_CONTROL_HOST_LIST_H_
#define SRC_CONTROL_HOST_LIST_H_

#include <optional>
#include <vector>

#include "net/http_client.h"
#include "pimentospar/types.h"

namespace pimentospar {

/// A process in the platform's host list; only a hint, because the list lags
/// behind.
struct ListedHost {
  HostId host;
  bool is_agent = false;
  RegionId region;
  DataCentreId data_centre;
  /// RPC address.
  Address address;
  /// Address for membership datagrams; port 0 if the process has none.
  Address gossip;
  TargetId target;
  bool is_leaving = false;
};

/// Fetches the host list; returns nothing if there is no valid response.
/// Suspends the calling fiber.
[[nodiscard]] std::optional<std::vector<ListedHost>>
FetchHostList(HttpClient& http, const Clock& clock, const Address& address);

}  // namespace pimentospar

#endif  // SRC_CONTROL_HOST_LIST_H_
