#include "pimentospar/routing/route_table.h"

#include <algorithm>
#include <numeric>

namespace pimentospar {

namespace {

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view RemovePort(std::string_view host) {
  const auto colon = host.find(':');
  return colon == std::string_view::npos ? host : host.substr(0, colon);
}

bool IsSameHost(std::string_view left, std::string_view right) {
  return std::ranges::equal(left, right, {}, ToLower, ToLower);
}

}  // namespace

const ModelSpec* EngineSpec::FindModel(const ModelId& model) const {
  const auto found = std::ranges::find(this->models, model, &ModelSpec::id);
  return found == this->models.end() ? nullptr : &*found;
}

RouteTable::RouteTable(RoutingConfig config)
    : config(std::move(config)), keys(this->config.workspaces) {
  // Longest prefix first, so that the first match is the longest.
  std::ranges::stable_sort(
      this->config.routes, std::ranges::greater(),
      [](const RouteSpec& route) { return route.path_prefix.size(); });
}

const RouteSpec* RouteTable::Match(std::string_view host,
                                   std::string_view path) const {
  const std::string_view name = RemovePort(host);
  for (const RouteSpec& route : this->config.routes) {
    if (path.starts_with(route.path_prefix) && IsSameHost(route.host, name)) {
      return &route;
    }
  }
  return nullptr;
}

const ServiceSpec* RouteTable::FindService(const ServiceId& service) const {
  const auto found =
      std::ranges::find(this->config.services, service, &ServiceSpec::id);
  return found == this->config.services.end() ? nullptr : &*found;
}

const WorkspaceSpec* RouteTable::FindWorkspace(const KeyDigest& digest) const {
  const auto found = this->keys.Find(digest);
  return found ? &this->config.workspaces[*found] : nullptr;
}

const ServiceId* ChooseService(const RouteSpec& route, double draw) {
  const std::uint64_t total = std::accumulate(
      route.services.begin(), route.services.end(), std::uint64_t{0},
      [](std::uint64_t sum, const WeightedService& entry) {
        return sum + entry.weight;
      });
  double remaining = draw * static_cast<double>(total);
  const ServiceId* last = nullptr;
  for (const WeightedService& entry : route.services) {
    if (entry.weight == 0) {
      continue;
    }
    last = &entry.service;
    remaining -= entry.weight;
    if (remaining < 0) {
      return last;
    }
  }
  return last;
}

}  // namespace pimentospar
