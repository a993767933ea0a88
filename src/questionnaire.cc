#include "pimentospar/questionnaire.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>

#include "questionnaire_detail.h"

namespace pimentospar {

namespace {

namespace leaf = boost::leaf;
using detail::FormErrorCollector;
using detail::TableReader;

constexpr double kGigabyte = 1e9;
constexpr double kMegabyte = 1e6;
constexpr double kKilobyte = 1e3;
constexpr std::uint64_t kMaxCount = 100'000;
constexpr std::size_t kHashDigits = 64;

// Returns the names in a group: the id alone if there is no `count`, else the
// id with numbers of equal width appended.
std::vector<std::string> GroupNames(TableReader& reader) {
  const std::string id = reader.ReadId();
  const std::uint64_t count = reader.ReadInteger("count", 0, 1, kMaxCount);
  if (count == 0) {
    return {id};
  }
  const std::size_t width =
      std::max<std::size_t>(2, std::to_string(count).size());
  std::vector<std::string> names;
  names.reserve(count);
  for (std::uint64_t i = 1; i <= count; ++i) {
    const std::string number = std::to_string(i);
    std::string name = id + "-";
    name.append(width - number.size(), '0');
    name += number;
    names.push_back(std::move(name));
  }
  return names;
}

Priority ReadPriority(TableReader& reader, Priority fallback) {
  return reader.ReadEnum<Priority>("priority", fallback,
                                   {{"interactive", Priority::kInteractive},
                                    {"normal", Priority::kNormal},
                                    {"batch", Priority::kBatch}});
}

// Fields of an owner that depend on models and services, which are read later.
struct OwnerFields {
  OwnerId id;
  Priority priority = Priority::kNormal;
  std::vector<std::string> models;
  std::vector<std::string> services;
  std::size_t models_line = 0;
  std::size_t services_line = 0;
};

bool IsSha256(std::string_view text) {
  return text.size() == kHashDigits &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

void ReadOwners(TableReader& form,
                Configuration& configuration,
                std::vector<OwnerFields>& owner_fields) {
  form.ReadTables("owners", [&](TableReader& reader) {
    reader.SetConfigPath("owners[" +
                         std::to_string(configuration.owners.size()) + "]");
    OwnerConfig owner;
    owner.id = OwnerId(reader.ReadId());
    owner.weight = reader.ReadDouble("weight", 1.0, 0.001, 1000.0);
    owner.token_hashes = reader.ReadStrings("token_hashes");
    if (owner.token_hashes.empty()) {
      reader.Errors().AddError(
          reader.LineOfKey("token_hashes"),
          "owner '" + owner.id.value + "' has no token",
          "run pimentosparctl token and add the SHA-256 to token_hashes");
    }
    for (const std::string& hash : owner.token_hashes) {
      if (!IsSha256(hash)) {
        reader.Errors().AddError(
            reader.LineOfKey("token_hashes"),
            "token_hashes contains an item that is not a SHA-256",
            "write 64 digits of 0-9 and a-f as printed by "
            "pimentosparctl token");
      }
    }
    OwnerFields fields{owner.id, ReadPriority(reader, Priority::kNormal)};
    fields.models = reader.ReadStrings("models");
    fields.services = reader.ReadStrings("services");
    fields.models_line = reader.LineOfKey("models");
    fields.services_line = reader.LineOfKey("services");
    owner_fields.push_back(std::move(fields));
    configuration.owners.push_back(std::move(owner));
  });
}

void ReadRegions(TableReader& form, Configuration& configuration) {
  form.ReadTables("regions", [&](TableReader& reader) {
    reader.SetConfigPath("regions[" +
                         std::to_string(configuration.regions.size()) + "]");
    RegionConfig region;
    region.id = RegionId(reader.ReadId());
    for (const std::string& name : reader.ReadStrings("data_centres")) {
      region.data_centres.emplace_back(name);
    }
    if (region.data_centres.empty()) {
      reader.Errors().AddError(
          reader.LineOfKey("data_centres"),
          "region '" + region.id.value + "' has no data centre",
          "add data_centres = [\"...\"]");
    }
    configuration.regions.push_back(std::move(region));
  });
}

void ReadModels(TableReader& form,
                Configuration& configuration,
                const std::vector<OwnerFields>& owners) {
  form.ReadTables("models", [&](TableReader& reader) {
    ModelConfig model;
    model.version = reader.ReadString("version", "1");
    model.weight_bytes = reader.ReadSize("weight_gb", kGigabyte, true);
    model.kv_bytes_per_token =
        reader.ReadSize("kv_kb_per_token", kKilobyte, true);
    model.owner = OwnerId(reader.ReadString("owner", ""));
    const auto owner = std::ranges::find(owners, model.owner, &OwnerFields::id);
    model.priority = ReadPriority(
        reader, owner == owners.end() ? Priority::kNormal : owner->priority);
    model.latency.first_token = std::chrono::milliseconds(
        reader.ReadInteger("first_token_ms", 1100, 1, 600'000));
    model.latency.between_tokens = std::chrono::milliseconds(
        reader.ReadInteger("between_tokens_ms", 42, 1, 600'000));
    const std::uint64_t adapters = reader.ReadInteger("adapters", 0, 0, 10'000);
    const Bytes adapter_bytes =
        reader.ReadSize("adapter_mb", kMegabyte, adapters != 0);
    for (const std::string& name : GroupNames(reader)) {
      model.id = ModelId(name);
      model.adapters.clear();
      for (std::uint64_t i = 1; i <= adapters; ++i) {
        model.adapters.push_back(
            {AdapterId(name + "-adapter-" + std::to_string(i)), adapter_bytes});
      }
      reader.SetConfigPath("models[" +
                           std::to_string(configuration.models.size()) + "]");
      configuration.models.push_back(model);
    }
  });
}

void ReadServices(TableReader& form, Configuration& configuration) {
  form.ReadTables("services", [&](TableReader& reader) {
    reader.SetConfigPath("services[" +
                         std::to_string(configuration.services.size()) + "]");
    ServiceConfig service;
    service.id = ServiceId(reader.ReadId());
    service.home_region = RegionId(reader.ReadString("home_region", ""));
    service.shards =
        static_cast<std::uint32_t>(reader.ReadInteger("shards", 1, 1, 1024));
    for (const std::string& name : reader.ReadStrings("idempotent")) {
      service.operations.push_back({OperationId(name), true});
    }
    for (const std::string& name : reader.ReadStrings("once")) {
      service.operations.push_back({OperationId(name), false});
    }
    if (service.operations.empty()) {
      reader.Errors().AddError(
          reader.Line(), "service '" + service.id.value + "' has no operation",
          "list its operations under idempotent or once");
    }
    configuration.services.push_back(std::move(service));
  });
}

struct DataCentreLocation {
  RegionId region;
  DataCentreId data_centre;
};

// Lists one data centre of each region in turn, so that a group of targets
// without its own list is spread evenly over the regions.
std::vector<DataCentreLocation> ListLocations(
    const Configuration& configuration) {
  std::vector<DataCentreLocation> locations;
  for (std::size_t i = 0;; ++i) {
    const std::size_t before = locations.size();
    for (const RegionConfig& region : configuration.regions) {
      if (i < region.data_centres.size()) {
        locations.push_back({region.id, region.data_centres[i]});
      }
    }
    if (locations.size() == before) {
      return locations;
    }
  }
}

std::vector<DataCentreLocation> ReadLocations(
    TableReader& reader,
    const std::vector<DataCentreLocation>& all) {
  const std::vector<std::string> names = reader.ReadStrings("data_centres");
  if (names.empty()) {
    return all;
  }
  std::vector<DataCentreLocation> locations;
  for (const std::string& name : names) {
    const auto found = std::ranges::find(all, DataCentreId(name),
                                         &DataCentreLocation::data_centre);
    if (found == all.end()) {
      reader.Errors().AddError(reader.LineOfKey("data_centres"),
                               "'" + name + "' is not a data centre",
                               "use a data centre of a region of this form");
      continue;
    }
    locations.push_back(*found);
  }
  return locations;
}

void ReadTargets(TableReader& form, Configuration& configuration) {
  const std::vector<DataCentreLocation> all = ListLocations(configuration);
  form.ReadTables("targets", [&](TableReader& reader) {
    TargetConfig target;
    target.service = ServiceId(reader.ReadString("service", ""));
    const bool is_service = !target.service.IsEmpty();
    target.kind = is_service ? TargetKind::kService : TargetKind::kModels;
    target.accelerators = static_cast<std::uint32_t>(
        reader.ReadInteger("accelerators", is_service ? 0 : 1, 0, 64));
    target.memory_bytes = reader.ReadSize("memory_gb", kGigabyte, !is_service) *
                          target.accelerators;
    target.checks_fencing = reader.ReadBool("checks_fencing", false);
    const std::vector<DataCentreLocation> locations =
        ReadLocations(reader, all);
    std::size_t next = 0;
    for (const std::string& name : GroupNames(reader)) {
      if (locations.empty()) {
        continue;
      }
      target.id = TargetId(name);
      target.region = locations[next % locations.size()].region;
      target.data_centre = locations[next % locations.size()].data_centre;
      ++next;
      reader.SetConfigPath("targets[" +
                           std::to_string(configuration.targets.size()) + "]");
      configuration.targets.push_back(target);
    }
  });
}

// Resolves the names in an owner's list to ids; `name-*` matches every id that
// starts with `name-`.
template <typename Id, typename Items>
std::vector<Id> ResolveIds(const std::vector<std::string>& names,
                           const Items& items,
                           std::size_t line,
                           std::string_view kind,
                           FormErrorCollector& collector) {
  std::vector<Id> ids;
  for (const std::string& name : names) {
    const bool is_prefix = name.ends_with("-*");
    const std::string prefix =
        name.substr(0, name.size() - (is_prefix ? 1 : 0));
    const std::size_t before = ids.size();
    for (const auto& item : items) {
      const std::string& id = item.id.value;
      if (is_prefix ? id.starts_with(prefix) : id == name) {
        ids.push_back(item.id);
      }
    }
    if (ids.size() == before) {
      collector.AddError(line, "'" + name + "' matches no " + std::string(kind),
                         "use an id, or name-* for all ids with this prefix");
    }
  }
  return ids;
}

void CheckHomeTargets(const Configuration& configuration,
                      FormErrorCollector& collector) {
  std::size_t index = 0;
  for (const ServiceConfig& service : configuration.services) {
    const std::size_t line =
        collector.LineOfPath("services[" + std::to_string(index++) + "]");
    const bool has_target =
        std::ranges::any_of(configuration.targets, [&](const auto& target) {
          return target.service == service.id &&
                 target.region == service.home_region;
        });
    if (!has_target) {
      collector.AddError(
          line,
          "service '" + service.id.value + "' has no target in its home region",
          "add [[targets]] with service = \"" + service.id.value + "\" there");
    }
  }
}

void CheckRequiredTables(const Configuration& configuration,
                         FormErrorCollector& collector) {
  const auto require = [&](bool is_present, std::string_view table) {
    if (!is_present) {
      collector.AddError(1, "there are no " + std::string(table),
                         "add [[" + std::string(table) + "]]");
    }
  };
  require(!configuration.regions.empty(), "regions");
  require(!configuration.owners.empty(), "owners");
  require(!configuration.targets.empty(), "targets");
  require(!configuration.models.empty() || !configuration.services.empty(),
          "models");
}

void AddErrors(const std::vector<ConfigError>& errors,
               FormErrorCollector& collector) {
  for (const ConfigError& error : errors) {
    const std::size_t dot = error.path.rfind('.');
    const std::string name =
        dot == std::string::npos ? "" : error.path.substr(dot + 1) + " ";
    collector.AddError(collector.LineOfPath(error.path), name + error.problem,
                       error.remedy);
  }
}

std::vector<ConfigError> DocumentErrors(const Configuration& configuration) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::vector<ConfigError>> {
        BOOST_LEAF_CHECK(ParseConfiguration(ToJson(configuration)));
        return std::vector<ConfigError>();
      },
      [](const ConfigErrors& found) { return found.errors; },
      [] { return std::vector<ConfigError>(); });
}

void ReadLimits(TableReader& form, Configuration& configuration) {
  form.ReadTable("log", [&](TableReader& reader) {
    LogLimits& log = configuration.log;
    log.appends_per_second =
        reader.ReadDouble("appends_per_second", 300, 1, 100'000);
    log.retention = std::chrono::hours(
        reader.ReadInteger("retention_hours", 168, 2, 87'600));
    log.key_retention = std::chrono::hours(
        reader.ReadInteger("key_retention_hours", 24, 1, 8'760));
  });
  form.ReadTable("store", [&](TableReader& reader) {
    StoreLimits& store = configuration.store;
    store.loads_per_second =
        reader.ReadDouble("loads_per_second", 1, 0.001, 10'000);
    store.parallel_loads = static_cast<std::uint32_t>(
        reader.ReadInteger("parallel_loads", 1, 1, 10'000));
    store.parallel_adapter_loads = static_cast<std::uint32_t>(
        reader.ReadInteger("parallel_adapter_loads", 25, 1, 100'000));
  });
}

Configuration ReadForm(const toml::table& table,
                       FormErrorCollector& collector) {
  TableReader form(table, collector);
  Configuration configuration;
  configuration.deployment = form.ReadString("deployment", "");
  configuration.objective = form.ReadEnum<PlacementObjective>(
      "objective", PlacementObjective::kAttainment,
      {{"attainment", PlacementObjective::kAttainment},
       {"moves", PlacementObjective::kFewestOrders}});
  ReadLimits(form, configuration);
  ReadRegions(form, configuration);
  std::vector<OwnerFields> owners;
  ReadOwners(form, configuration, owners);
  ReadModels(form, configuration, owners);
  ReadServices(form, configuration);
  ReadTargets(form, configuration);
  form.ReportUnknownKeys();
  for (std::size_t i = 0; i < owners.size(); ++i) {
    configuration.owners[i].models =
        ResolveIds<ModelId>(owners[i].models, configuration.models,
                            owners[i].models_line, "model", collector);
    configuration.owners[i].services =
        ResolveIds<ServiceId>(owners[i].services, configuration.services,
                              owners[i].services_line, "service", collector);
  }
  return configuration;
}

}  // namespace

leaf::result<Configuration> GenerateConfiguration(std::string_view form) {
  const toml::parse_result parsed = toml::parse(form);
  if (!parsed) {
    return leaf::new_error(FormErrors{
        {{parsed.error().source().begin.line,
          std::string(parsed.error().description()), "write valid TOML"}}});
  }
  FormErrorCollector collector;
  Configuration configuration = ReadForm(parsed.table(), collector);
  CheckRequiredTables(configuration, collector);
  AddErrors(DocumentErrors(configuration), collector);
  AddErrors(CheckConfiguration(configuration), collector);
  CheckHomeTargets(configuration, collector);
  AddErrors(CheckCapacityWithoutRegion(configuration), collector);
  if (!collector.errors.empty()) {
    std::ranges::stable_sort(collector.errors, {}, &FormError::line);
    return leaf::new_error(FormErrors{std::move(collector.errors)});
  }
  return configuration;
}

}  // namespace pimentospar
