#include <algorithm>
#include <boost/json.hpp>
#include <cmath>
#include <limits>
#include <set>
#include <span>

#include "pimentospar/config.h"

namespace pimentospar {

namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

// Reads the members of a JSON object and records each error with its path.
class ObjectReader {
 public:
  ObjectReader(const json::value& value,
               std::string path,
               std::vector<ConfigError>& errors)
      : path(std::move(path)), errors(errors), object(value.if_object()) {
    if (this->object == nullptr) {
      this->AddError("", "is not an object", "write an object");
    }
  }

  std::string ReadString(std::string_view key,
                         std::string fallback,
                         bool is_required = false) {
    const json::value* value = this->Find(key, is_required);
    if (value == nullptr) {
      return fallback;
    }
    if (value->is_string()) {
      return std::string(value->get_string());
    }
    this->AddError(key, "is not a string", "write a string");
    return fallback;
  }

  template <typename Id>
  Id ReadId(std::string_view key, bool is_required = false) {
    return Id(this->ReadString(key, "", is_required));
  }

  bool ReadBool(std::string_view key, bool fallback) {
    const json::value* value = this->Find(key, false);
    if (value == nullptr) {
      return fallback;
    }
    if (value->is_bool()) {
      return value->get_bool();
    }
    this->AddError(key, "is not true or false", "write true or false");
    return fallback;
  }

  double ReadDouble(std::string_view key,
                    double fallback,
                    double min,
                    double max) {
    const json::value* value = this->Find(key, false);
    if (value == nullptr) {
      return fallback;
    }
    if (!value->is_number()) {
      this->AddError(key, "is not a number", "write a number");
      return fallback;
    }
    const auto number = value->to_number<double>();
    if (!(number >= min && number <= max)) {
      this->AddError(key, "is out of range",
                     "choose a value from " + std::to_string(min) + " to " +
                         std::to_string(max));
      return fallback;
    }
    return number;
  }

  std::uint64_t ReadInteger(std::string_view key,
                            std::uint64_t fallback,
                            std::uint64_t min,
                            std::uint64_t max) {
    const json::value* value = this->Find(key, false);
    if (value == nullptr) {
      return fallback;
    }
    json::error_code error;
    const auto number = value->to_number<std::uint64_t>(error);
    if (error || number < min || number > max) {
      this->AddError(key, "is not a whole number in range",
                     "choose a value from " + std::to_string(min) + " to " +
                         std::to_string(max));
      return fallback;
    }
    return number;
  }

  template <typename Enum>
  Enum ReadEnum(std::string_view key,
                Enum fallback,
                std::span<const std::pair<std::string_view, Enum>> choices) {
    const std::string text = this->ReadString(key, "");
    if (text.empty()) {
      return fallback;
    }
    std::string names;
    for (const auto& [name, choice] : choices) {
      if (name == text) {
        return choice;
      }
      names += names.empty() ? "" : ", ";
      names += name;
    }
    this->AddError(key, "has an unknown value '" + text + "'",
                   "choose one of " + names);
    return fallback;
  }

  template <typename Function>
  auto ReadList(std::string_view key, Function read) {
    using Item =
        decltype(read(std::declval<const json::value&>(), std::string()));
    std::vector<Item> items;
    const json::value* value = this->Find(key, false);
    if (value == nullptr) {
      return items;
    }
    const json::array* array = value->if_array();
    if (array == nullptr) {
      this->AddError(key, "is not a list", "write a list");
      return items;
    }
    items.reserve(array->size());
    for (const json::value& item : *array) {
      items.push_back(read(
          item, this->PathOf(key) + "[" + std::to_string(items.size()) + "]"));
    }
    return items;
  }

  template <typename Id>
  std::vector<Id> ReadIds(std::string_view key) {
    return this->ReadList(key, [this](const json::value& value,
                                      const std::string& item_path) {
      if (value.is_string()) {
        return Id(std::string(value.get_string()));
      }
      this->errors.push_back({item_path, "is not a string", "write a string"});
      return Id();
    });
  }

  template <typename Function>
  void ReadObject(std::string_view key, Function read) {
    const json::value* value = this->Find(key, false);
    if (value != nullptr) {
      read(*value, this->PathOf(key));
    }
  }

  // Records an error for each member that was not read.
  void ReportUnknownKeys() {
    if (this->object == nullptr) {
      return;
    }
    for (const json::key_value_pair& member : *this->object) {
      if (!this->known_keys.contains(std::string_view(member.key()))) {
        this->AddError(member.key(), "is an unknown key",
                       "remove it or correct its name");
      }
    }
  }

 private:
  const json::value* Find(std::string_view key, bool is_required) {
    this->known_keys.insert(key);
    const json::value* value =
        this->object == nullptr ? nullptr : this->object->if_contains(key);
    if (value == nullptr && is_required && this->object != nullptr) {
      this->AddError(key, "is missing", "add it");
    }
    return value;
  }

  [[nodiscard]] std::string PathOf(std::string_view key) const {
    if (key.empty()) {
      return this->path;
    }
    return this->path.empty() ? std::string(key)
                              : this->path + "." + std::string(key);
  }

  void AddError(std::string_view key, std::string problem, std::string remedy) {
    this->errors.push_back(
        {this->PathOf(key), std::move(problem), std::move(remedy)});
  }

  std::string path;
  std::vector<ConfigError>& errors;
  const json::object* object;
  std::set<std::string_view, std::less<>> known_keys;
};

constexpr std::pair<std::string_view, PlacementObjective> kObjectives[] = {
    {"attainment", PlacementObjective::kAttainment},
    {"moves", PlacementObjective::kFewestOrders}};
constexpr std::pair<std::string_view, Priority> kPriorities[] = {
    {"interactive", Priority::kInteractive},
    {"normal", Priority::kNormal},
    {"batch", Priority::kBatch}};
constexpr std::pair<std::string_view, TargetKind> kTargetKinds[] = {
    {"models", TargetKind::kModels},
    {"service", TargetKind::kService}};
constexpr std::uint64_t kMaxBytes = std::uint64_t{1} << 50;

using Errors = std::vector<ConfigError>;

AdapterConfig ReadAdapter(const json::value& value,
                          const std::string& path,
                          Errors& errors) {
  ObjectReader reader(value, path, errors);
  AdapterConfig adapter;
  adapter.id = reader.ReadId<AdapterId>("id", true);
  adapter.bytes = reader.ReadInteger("bytes", 0, 0, kMaxBytes);
  reader.ReportUnknownKeys();
  return adapter;
}

ModelConfig ReadModel(const json::value& value,
                      const std::string& path,
                      Errors& errors) {
  ObjectReader reader(value, path, errors);
  ModelConfig model;
  model.id = reader.ReadId<ModelId>("id", true);
  model.version = reader.ReadString("version", "1");
  model.weight_bytes = reader.ReadInteger("weight_bytes", 0, 0, kMaxBytes);
  model.kv_bytes_per_token =
      reader.ReadInteger("kv_bytes_per_token", 0, 0, kMaxBytes);
  model.owner = reader.ReadId<OwnerId>("owner");
  model.priority =
      reader.ReadEnum<Priority>("priority", model.priority, kPriorities);
  model.latency.first_token = std::chrono::milliseconds(
      reader.ReadInteger("first_token_ms", 1100, 1, 600'000));
  model.latency.between_tokens = std::chrono::milliseconds(
      reader.ReadInteger("between_tokens_ms", 42, 1, 600'000));
  model.adapters = reader.ReadList(
      "adapters", [&](const json::value& item, const std::string& item_path) {
        return ReadAdapter(item, item_path, errors);
      });
  reader.ReportUnknownKeys();
  return model;
}

ServiceConfig ReadService(const json::value& value,
                          const std::string& path,
                          Errors& errors) {
  ObjectReader reader(value, path, errors);
  ServiceConfig service;
  service.id = reader.ReadId<ServiceId>("id", true);
  service.home_region = reader.ReadId<RegionId>("home_region", true);
  service.shards =
      static_cast<std::uint32_t>(reader.ReadInteger("shards", 1, 1, 1024));
  service.operations = reader.ReadList(
      "operations", [&](const json::value& item, const std::string& item_path) {
        ObjectReader operation_reader(item, item_path, errors);
        OperationConfig operation;
        operation.id = operation_reader.ReadId<OperationId>("id", true);
        operation.idempotent = operation_reader.ReadBool("idempotent", false);
        operation_reader.ReportUnknownKeys();
        return operation;
      });
  reader.ReportUnknownKeys();
  return service;
}

RegionConfig ReadRegion(const json::value& value,
                        const std::string& path,
                        Errors& errors) {
  ObjectReader reader(value, path, errors);
  RegionConfig region;
  region.id = reader.ReadId<RegionId>("id", true);
  region.data_centres = reader.ReadIds<DataCentreId>("data_centres");
  reader.ReportUnknownKeys();
  return region;
}

OwnerConfig ReadOwner(const json::value& value,
                      const std::string& path,
                      Errors& errors) {
  ObjectReader reader(value, path, errors);
  OwnerConfig owner;
  owner.id = reader.ReadId<OwnerId>("id", true);
  owner.weight = reader.ReadDouble("weight", 1.0, 0.001, 1000.0);
  for (const auto& hash :
       reader.ReadIds<detail::TextId<struct HashTag>>("token_hashes")) {
    owner.token_hashes.push_back(hash.value);
  }
  owner.models = reader.ReadIds<ModelId>("models");
  owner.services = reader.ReadIds<ServiceId>("services");
  reader.ReportUnknownKeys();
  return owner;
}

TargetConfig ReadTarget(const json::value& value,
                        const std::string& path,
                        Errors& errors) {
  ObjectReader reader(value, path, errors);
  TargetConfig target;
  target.id = reader.ReadId<TargetId>("id", true);
  target.region = reader.ReadId<RegionId>("region", true);
  target.data_centre = reader.ReadId<DataCentreId>("data_centre", true);
  target.kind = reader.ReadEnum<TargetKind>("kind", target.kind, kTargetKinds);
  target.accelerators =
      static_cast<std::uint32_t>(reader.ReadInteger("accelerators", 1, 0, 64));
  target.memory_bytes = reader.ReadInteger("memory_bytes", 0, 0, kMaxBytes);
  target.checks_fencing = reader.ReadBool("checks_fencing", true);
  target.service = reader.ReadId<ServiceId>("service");
  reader.ReportUnknownKeys();
  return target;
}

template <typename Items>
void CheckUnique(const Items& items, std::string_view list, Errors& errors) {
  std::set<std::string> seen;
  std::size_t index = 0;
  for (const auto& item : items) {
    const std::string path =
        std::string(list) + "[" + std::to_string(index++) + "].id";
    if (item.id.IsEmpty()) {
      errors.push_back({path, "is empty", "give it a name"});
      continue;
    }
    if (!seen.insert(item.id.value).second) {
      errors.push_back({path, "'" + item.id.value + "' occurs twice",
                        "use different names"});
    }
  }
}

template <typename Items, typename Id>
bool Contains(const Items& items, const Id& id) {
  return std::ranges::any_of(items,
                             [&](const auto& item) { return item.id == id; });
}

}  // namespace

std::vector<ConfigError> CheckConfiguration(
    const Configuration& configuration) {
  Errors errors;
  CheckUnique(configuration.regions, "regions", errors);
  CheckUnique(configuration.owners, "owners", errors);
  CheckUnique(configuration.models, "models", errors);
  CheckUnique(configuration.services, "services", errors);
  CheckUnique(configuration.targets, "targets", errors);
  std::size_t index = 0;
  for (const ModelConfig& model : configuration.models) {
    const std::string path = "models[" + std::to_string(index++) + "]";
    CheckUnique(model.adapters, path + ".adapters", errors);
    if (!model.owner.IsEmpty() &&
        !Contains(configuration.owners, model.owner)) {
      errors.push_back({path + ".owner",
                        "'" + model.owner.value + "' is not an owner",
                        "use the id of an owner"});
    }
  }
  index = 0;
  for (const ServiceConfig& service : configuration.services) {
    const std::string path = "services[" + std::to_string(index++) + "]";
    CheckUnique(service.operations, path + ".operations", errors);
    if (!Contains(configuration.regions, service.home_region)) {
      errors.push_back({path + ".home_region",
                        "'" + service.home_region.value + "' is not a region",
                        "use the id of a region"});
    }
  }
  index = 0;
  for (const TargetConfig& target : configuration.targets) {
    const std::string path = "targets[" + std::to_string(index++) + "]";
    const auto region =
        std::ranges::find(configuration.regions, target.region,
                          [](const RegionConfig& item) { return item.id; });
    if (region == configuration.regions.end()) {
      errors.push_back({path + ".region",
                        "'" + target.region.value + "' is not a region",
                        "use the id of a region"});
    } else if (std::ranges::find(region->data_centres, target.data_centre) ==
               region->data_centres.end()) {
      errors.push_back({path + ".data_centre",
                        "'" + target.data_centre.value +
                            "' is not a data centre of the region",
                        "use a data centre of region " + region->id.value});
    }
    if (target.kind == TargetKind::kService &&
        !Contains(configuration.services, target.service)) {
      errors.push_back({path + ".service",
                        "'" + target.service.value + "' is not a service",
                        "use the id of a service"});
    }
  }
  if (configuration.log.key_retention * 2 > configuration.log.retention) {
    errors.push_back({"log.key_retention_hours",
                      "is more than half of the log's retention",
                      "lower it or raise log.retention_hours"});
  }
  return errors;
}

leaf::result<Configuration> ParseConfiguration(std::string_view text) {
  json::error_code error;
  const json::value value = json::parse(text, error);
  Errors errors;
  if (error) {
    return leaf::new_error(
        ConfigErrors{{{"", error.message(), "write valid JSON"}}});
  }
  ObjectReader reader(value, "", errors);
  Configuration configuration;
  configuration.deployment = reader.ReadString("deployment", "");
  configuration.objective = reader.ReadEnum<PlacementObjective>(
      "objective", configuration.objective, kObjectives);
  configuration.regions =
      reader.ReadList("regions", [&](const auto& item, const auto& item_path) {
        return ReadRegion(item, item_path, errors);
      });
  configuration.owners =
      reader.ReadList("owners", [&](const auto& item, const auto& item_path) {
        return ReadOwner(item, item_path, errors);
      });
  configuration.models =
      reader.ReadList("models", [&](const auto& item, const auto& item_path) {
        return ReadModel(item, item_path, errors);
      });
  configuration.services =
      reader.ReadList("services", [&](const auto& item, const auto& item_path) {
        return ReadService(item, item_path, errors);
      });
  configuration.targets =
      reader.ReadList("targets", [&](const auto& item, const auto& item_path) {
        return ReadTarget(item, item_path, errors);
      });
  reader.ReadObject(
      "store", [&](const json::value& item, const std::string& path) {
        ObjectReader store(item, path, errors);
        StoreLimits& limits = configuration.store;
        limits.loads_per_second = store.ReadDouble(
            "loads_per_second", limits.loads_per_second, 0.001, 10'000.0);
        limits.parallel_loads = static_cast<std::uint32_t>(store.ReadInteger(
            "parallel_loads", limits.parallel_loads, 1, 10'000));
        limits.parallel_adapter_loads = static_cast<std::uint32_t>(
            store.ReadInteger("parallel_adapter_loads",
                              limits.parallel_adapter_loads, 1, 100'000));
        store.ReportUnknownKeys();
      });
  reader.ReadObject("log", [&](const json::value& item,
                               const std::string& path) {
    ObjectReader log(item, path, errors);
    LogLimits& limits = configuration.log;
    limits.appends_per_second = log.ReadDouble(
        "appends_per_second", limits.appends_per_second, 1.0, 100'000.0);
    limits.retention =
        std::chrono::hours(log.ReadInteger("retention_hours", 168, 2, 87'600));
    limits.key_retention = std::chrono::hours(
        log.ReadInteger("key_retention_hours", 24, 1, 8'760));
    log.ReportUnknownKeys();
  });
  reader.ReportUnknownKeys();
  if (errors.empty()) {
    errors = CheckConfiguration(configuration);
  }
  if (!errors.empty()) {
    return leaf::new_error(ConfigErrors{std::move(errors)});
  }
  return configuration;
}

}  // namespace pimentospar
