#include "control/host_list.h"

#include <boost/json.hpp>

namespace pimentospar {

namespace {

namespace json = boost::json;

constexpr std::chrono::seconds kHostListTimeout{2};

std::string TextAt(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

}  // namespace

std::optional<std::vector<ListedHost>> FetchHostList(HttpClient& http,
                                                     const Clock& clock,
                                                     const Address& address) {
  const HttpResult result = http.Fetch({.address = address, .path = "/hosts"},
                                       clock.Now() + kHostListTimeout);
  if (!result.complete || result.status != 200) {
    return std::nullopt;
  }
  json::error_code error;
  const json::value value = json::parse(result.body, error);
  const json::object* object = error ? nullptr : value.if_object();
  const json::value* list =
      object == nullptr ? nullptr : object->if_contains("hosts");
  if (list == nullptr || !list->is_array()) {
    return std::nullopt;
  }
  std::vector<ListedHost> hosts;
  for (const json::value& item : list->get_array()) {
    const json::object* row = item.if_object();
    const auto rpc =
        row == nullptr ? std::nullopt : ParseAddress(TextAt(*row, "address"));
    if (!rpc) {
      continue;
    }
    ListedHost host;
    host.host = HostId(TextAt(*row, "id"));
    host.is_agent = TextAt(*row, "role") == "agent";
    host.region = RegionId(TextAt(*row, "region"));
    host.data_centre = DataCentreId(TextAt(*row, "data_centre"));
    host.address = *rpc;
    host.gossip = ParseAddress(TextAt(*row, "gossip")).value_or(Address{});
    host.target = TargetId(TextAt(*row, "target"));
    host.is_leaving = TextAt(*row, "state") == "leaving";
    hosts.push_back(std::move(host));
  }
  return hosts;
}

}  // namespace pimentospar
