#include <boost/json.hpp>
#include <span>

#include "pimentospar/config.h"

namespace pimentospar {

namespace {

namespace json = boost::json;

json::array IdsToJson(const auto& ids) {
  json::array array;
  for (const auto& id : ids) {
    array.emplace_back(id.value);
  }
  return array;
}

json::array ModelsToJson(std::span<const ModelConfig> models) {
  json::array array;
  for (const ModelConfig& model : models) {
    json::array adapters;
    for (const AdapterConfig& adapter : model.adapters) {
      adapters.push_back(
          json::object{{"id", adapter.id.value}, {"bytes", adapter.bytes}});
    }
    array.push_back(json::object{
        {"id", model.id.value},
        {"version", model.version},
        {"weight_bytes", model.weight_bytes},
        {"kv_bytes_per_token", model.kv_bytes_per_token},
        {"owner", model.owner.value},
        {"priority", ToString(model.priority)},
        {"first_token_ms", model.latency.first_token.count()},
        {"between_tokens_ms", model.latency.between_tokens.count()},
        {"adapters", std::move(adapters)}});
  }
  return array;
}

json::array ServicesToJson(std::span<const ServiceConfig> services) {
  json::array array;
  for (const ServiceConfig& service : services) {
    json::array operations;
    for (const OperationConfig& operation : service.operations) {
      operations.push_back(json::object{{"id", operation.id.value},
                                        {"idempotent", operation.idempotent}});
    }
    array.push_back(json::object{{"id", service.id.value},
                                 {"home_region", service.home_region.value},
                                 {"shards", service.shards},
                                 {"operations", std::move(operations)}});
  }
  return array;
}

json::array OwnersToJson(std::span<const OwnerConfig> owners) {
  json::array array;
  for (const OwnerConfig& owner : owners) {
    json::array hashes;
    for (const std::string& hash : owner.token_hashes) {
      hashes.emplace_back(hash);
    }
    array.push_back(json::object{{"id", owner.id.value},
                                 {"weight", owner.weight},
                                 {"token_hashes", std::move(hashes)},
                                 {"models", IdsToJson(owner.models)},
                                 {"services", IdsToJson(owner.services)}});
  }
  return array;
}

json::array TargetsToJson(std::span<const TargetConfig> targets) {
  json::array array;
  for (const TargetConfig& target : targets) {
    array.push_back(json::object{
        {"id", target.id.value},
        {"region", target.region.value},
        {"data_centre", target.data_centre.value},
        {"kind", target.kind == TargetKind::kService ? "service" : "models"},
        {"accelerators", target.accelerators},
        {"memory_bytes", target.memory_bytes},
        {"checks_fencing", target.checks_fencing},
        {"service", target.service.value}});
  }
  return array;
}

}  // namespace

std::string ToJson(const Configuration& configuration) {
  json::array regions;
  for (const RegionConfig& region : configuration.regions) {
    regions.push_back(
        json::object{{"id", region.id.value},
                     {"data_centres", IdsToJson(region.data_centres)}});
  }
  const json::object document{
      {"deployment", configuration.deployment},
      {"objective", ToString(configuration.objective)},
      {"regions", std::move(regions)},
      {"owners", OwnersToJson(configuration.owners)},
      {"models", ModelsToJson(configuration.models)},
      {"services", ServicesToJson(configuration.services)},
      {"targets", TargetsToJson(configuration.targets)},
      {"store",
       json::object{{"loads_per_second", configuration.store.loads_per_second},
                    {"parallel_loads", configuration.store.parallel_loads},
                    {"parallel_adapter_loads",
                     configuration.store.parallel_adapter_loads}}},
      {"log",
       json::object{
           {"appends_per_second", configuration.log.appends_per_second},
           {"retention_hours", configuration.log.retention.count()},
           {"key_retention_hours", configuration.log.key_retention.count()}}}};
  return json::serialize(document);
}

}  // namespace pimentospar
