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

// Reads the members of one JSON object and notes each problem with its path.
class ObjectReader {
 public:
  ObjectReader(const json::value& value,
               std::string path,
               std::vector<ConfigError>& errors)
      : path(std::move(path)), errors(errors), object(value.if_object()) {
    if (this->object == nullptr) {
      this->Note("", "is not an object", "write an object");
    }
  }

  std::string Text(std::string_view key,
                   std::string fallback,
                   bool required = false) {
    const json::value* value = this->Take(key, required);
    if (value == nullptr) {
      return fallback;
    }
    if (value->is_string()) {
      return std::string(value->get_string());
    }
    this->Note(key, "is not a string", "write a string");
    return fallback;
  }

  template <typename Id>
  Id Name(std::string_view key, bool required = false) {
    return Id(this->Text(key, "", required));
  }

  bool Flag(std::string_view key, bool fallback) {
    const json::value* value = this->Take(key, false);
    if (value == nullptr) {
      return fallback;
    }
    if (value->is_bool()) {
      return value->get_bool();
    }
    this->Note(key, "is not true or false", "write true or false");
    return fallback;
  }

  double Real(std::string_view key, double fallback, double low, double high) {
    const json::value* value = this->Take(key, false);
    if (value == nullptr) {
      return fallback;
    }
    if (!value->is_number()) {
      this->Note(key, "is not a number", "write a number");
      return fallback;
    }
    const auto number = value->to_number<double>();
    if (!(number >= low && number <= high)) {
      this->Note(key, "is out of range",
                 "choose a value from " + std::to_string(low) + " to " +
                     std::to_string(high));
      return fallback;
    }
    return number;
  }

  std::uint64_t Whole(std::string_view key,
                      std::uint64_t fallback,
                      std::uint64_t low,
                      std::uint64_t high) {
    const json::value* value = this->Take(key, false);
    if (value == nullptr) {
      return fallback;
    }
    json::error_code error;
    const auto number = value->to_number<std::uint64_t>(error);
    if (error || number < low || number > high) {
      this->Note(key, "is not a whole number in range",
                 "choose a value from " + std::to_string(low) + " to " +
                     std::to_string(high));
      return fallback;
    }
    return number;
  }

  template <typename Enum>
  Enum Choice(std::string_view key,
              Enum fallback,
              std::span<const std::pair<std::string_view, Enum>> choices) {
    const std::string text = this->Text(key, "");
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
    this->Note(key, "has an unknown value '" + text + "'",
               "choose one of " + names);
    return fallback;
  }

  template <typename Function>
  auto List(std::string_view key, Function read) {
    using Item =
        decltype(read(std::declval<const json::value&>(), std::string()));
    std::vector<Item> items;
    const json::value* value = this->Take(key, false);
    if (value == nullptr) {
      return items;
    }
    const json::array* array = value->if_array();
    if (array == nullptr) {
      this->Note(key, "is not a list", "write a list");
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
  std::vector<Id> Names(std::string_view key) {
    return this->List(key, [this](const json::value& value,
                                  const std::string& item_path) {
      if (value.is_string()) {
        return Id(std::string(value.get_string()));
      }
      this->errors.push_back({item_path, "is not a string", "write a string"});
      return Id();
    });
  }

  template <typename Function>
  void Object(std::string_view key, Function read) {
    const json::value* value = this->Take(key, false);
    if (value != nullptr) {
      read(*value, this->PathOf(key));
    }
  }

  // Reports the members that nothing has read.
  void Finish() {
    if (this->object == nullptr) {
      return;
    }
    for (const json::key_value_pair& member : *this->object) {
      if (!this->known.contains(std::string_view(member.key()))) {
        this->Note(member.key(), "is an unknown key",
                   "remove it or correct its name");
      }
    }
  }

 private:
  const json::value* Take(std::string_view key, bool required) {
    this->known.insert(key);
    const json::value* value =
        this->object == nullptr ? nullptr : this->object->if_contains(key);
    if (value == nullptr && required && this->object != nullptr) {
      this->Note(key, "is missing", "add it");
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

  void Note(std::string_view key, std::string problem, std::string remedy) {
    this->errors.push_back(
        {this->PathOf(key), std::move(problem), std::move(remedy)});
  }

  std::string path;
  std::vector<ConfigError>& errors;
  const json::object* object;
  std::set<std::string_view, std::less<>> known;
};

constexpr std::pair<std::string_view, Objective> kObjectives[] = {
    {"attainment", Objective::kAttainment},
    {"moves", Objective::kMoves}};
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
  adapter.id = reader.Name<AdapterId>("id", true);
  adapter.bytes = reader.Whole("bytes", 0, 0, kMaxBytes);
  reader.Finish();
  return adapter;
}

ModelConfig ReadModel(const json::value& value,
                      const std::string& path,
                      Errors& errors) {
  ObjectReader reader(value, path, errors);
  ModelConfig model;
  model.id = reader.Name<ModelId>("id", true);
  model.version = reader.Text("version", "1");
  model.weight_bytes = reader.Whole("weight_bytes", 0, 0, kMaxBytes);
  model.kv_bytes_per_token =
      reader.Whole("kv_bytes_per_token", 0, 0, kMaxBytes);
  model.owner = reader.Name<OwnerId>("owner");
  model.priority =
      reader.Choice<Priority>("priority", model.priority, kPriorities);
  model.latency.first_token = std::chrono::milliseconds(
      reader.Whole("first_token_ms", 1100, 1, 600'000));
  model.latency.between_tokens = std::chrono::milliseconds(
      reader.Whole("between_tokens_ms", 42, 1, 600'000));
  model.adapters = reader.List(
      "adapters", [&](const json::value& item, const std::string& at) {
        return ReadAdapter(item, at, errors);
      });
  reader.Finish();
  return model;
}

ServiceConfig ReadService(const json::value& value,
                          const std::string& path,
                          Errors& errors) {
  ObjectReader reader(value, path, errors);
  ServiceConfig service;
  service.id = reader.Name<ServiceId>("id", true);
  service.home_region = reader.Name<RegionId>("home_region", true);
  service.shards =
      static_cast<std::uint32_t>(reader.Whole("shards", 1, 1, 1024));
  service.operations = reader.List(
      "operations", [&](const json::value& item, const std::string& at) {
        ObjectReader operation_reader(item, at, errors);
        OperationConfig operation;
        operation.id = operation_reader.Name<OperationId>("id", true);
        operation.idempotent = operation_reader.Flag("idempotent", false);
        operation_reader.Finish();
        return operation;
      });
  reader.Finish();
  return service;
}

RegionConfig ReadRegion(const json::value& value,
                        const std::string& path,
                        Errors& errors) {
  ObjectReader reader(value, path, errors);
  RegionConfig region;
  region.id = reader.Name<RegionId>("id", true);
  region.data_centres = reader.Names<DataCentreId>("data_centres");
  reader.Finish();
  return region;
}

OwnerConfig ReadOwner(const json::value& value,
                      const std::string& path,
                      Errors& errors) {
  ObjectReader reader(value, path, errors);
  OwnerConfig owner;
  owner.id = reader.Name<OwnerId>("id", true);
  owner.weight = reader.Real("weight", 1.0, 0.001, 1000.0);
  for (const auto& hash :
       reader.Names<detail::TextId<struct HashTag>>("token_hashes")) {
    owner.token_hashes.push_back(hash.value);
  }
  owner.models = reader.Names<ModelId>("models");
  owner.services = reader.Names<ServiceId>("services");
  reader.Finish();
  return owner;
}

TargetConfig ReadTarget(const json::value& value,
                        const std::string& path,
                        Errors& errors) {
  ObjectReader reader(value, path, errors);
  TargetConfig target;
  target.id = reader.Name<TargetId>("id", true);
  target.region = reader.Name<RegionId>("region", true);
  target.data_centre = reader.Name<DataCentreId>("data_centre", true);
  target.kind = reader.Choice<TargetKind>("kind", target.kind, kTargetKinds);
  target.accelerators =
      static_cast<std::uint32_t>(reader.Whole("accelerators", 1, 0, 64));
  target.memory_bytes = reader.Whole("memory_bytes", 0, 0, kMaxBytes);
  target.checks_fencing = reader.Flag("checks_fencing", true);
  target.service = reader.Name<ServiceId>("service");
  reader.Finish();
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
  configuration.deployment = reader.Text("deployment", "");
  configuration.objective = reader.Choice<Objective>(
      "objective", configuration.objective, kObjectives);
  configuration.regions =
      reader.List("regions", [&](const auto& item, const auto& at) {
        return ReadRegion(item, at, errors);
      });
  configuration.owners =
      reader.List("owners", [&](const auto& item, const auto& at) {
        return ReadOwner(item, at, errors);
      });
  configuration.models =
      reader.List("models", [&](const auto& item, const auto& at) {
        return ReadModel(item, at, errors);
      });
  configuration.services =
      reader.List("services", [&](const auto& item, const auto& at) {
        return ReadService(item, at, errors);
      });
  configuration.targets =
      reader.List("targets", [&](const auto& item, const auto& at) {
        return ReadTarget(item, at, errors);
      });
  reader.Object("store", [&](const json::value& item, const std::string& path) {
    ObjectReader store(item, path, errors);
    StoreLimits& limits = configuration.store;
    limits.loads_per_second = store.Real(
        "loads_per_second", limits.loads_per_second, 0.001, 10'000.0);
    limits.parallel_loads = static_cast<std::uint32_t>(
        store.Whole("parallel_loads", limits.parallel_loads, 1, 10'000));
    limits.parallel_adapter_loads = static_cast<std::uint32_t>(store.Whole(
        "parallel_adapter_loads", limits.parallel_adapter_loads, 1, 100'000));
    store.Finish();
  });
  reader.Object("log", [&](const json::value& item, const std::string& path) {
    ObjectReader log(item, path, errors);
    LogLimits& limits = configuration.log;
    limits.appends_per_second = log.Real(
        "appends_per_second", limits.appends_per_second, 1.0, 100'000.0);
    limits.retention =
        std::chrono::hours(log.Whole("retention_hours", 168, 2, 87'600));
    limits.key_retention =
        std::chrono::hours(log.Whole("key_retention_hours", 24, 1, 8'760));
    log.Finish();
  });
  reader.Finish();
  if (errors.empty()) {
    errors = CheckConfiguration(configuration);
  }
  if (!errors.empty()) {
    return leaf::new_error(ConfigErrors{std::move(errors)});
  }
  return configuration;
}

}  // namespace pimentospar
