#include <algorithm>
#include <boost/leaf/error.hpp>
#include <nlohmann/json.hpp>
#include <set>

#include "pimentospar/config_log.h"

namespace pimentospar {

namespace {

namespace leaf = boost::leaf;
using Json = nlohmann::json;

// Each `copy` operation can double the size of the document.
constexpr std::ptrdiff_t kMaxCopyOperations = 4;

std::string EscapeJsonPointer(const std::string& key) {
  std::string escaped;
  for (const char c : key) {
    if (c == '~') {
      escaped += "~0";
    } else if (c == '/') {
      escaped += "~1";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

// Returns the key that identifies a list item: its `id`, or its whole value.
std::string ItemKey(const Json& item) {
  if (item.is_object() && item.contains("id")) {
    return item["id"].dump();
  }
  return item.dump();
}

std::set<std::string> ItemKeys(const Json& list) {
  std::set<std::string> keys;
  for (const Json& item : list) {
    keys.insert(ItemKey(item));
  }
  return keys;
}

void AppendOperation(Json& patch, const char* op, const std::string& path) {
  patch.push_back(Json{{"op", op}, {"path", path}});
}

void AppendOperation(Json& patch,
                     const char* op,
                     const std::string& path,
                     const Json& value) {
  patch.push_back(Json{{"op", op}, {"path", path}, {"value", value}});
}

void Diff(const Json& from,
          const Json& to,
          const std::string& path,
          Json& patch);

void DiffObjects(const Json& from,
                 const Json& to,
                 const std::string& path,
                 Json& patch) {
  for (const auto& [key, value] : from.items()) {
    if (!to.contains(key)) {
      AppendOperation(patch, "remove", path + "/" + EscapeJsonPointer(key));
    }
  }
  for (const auto& [key, value] : to.items()) {
    const std::string child = path + "/" + EscapeJsonPointer(key);
    if (!from.contains(key)) {
      AppendOperation(patch, "add", child, value);
      continue;
    }
    Diff(from[key], value, child, patch);
  }
}

// Returns false if the items were reordered or are not unique, which additions
// and removals alone cannot express.
bool DiffLists(const Json& from,
               const Json& to,
               const std::string& path,
               Json& patch) {
  const std::set<std::string> old_keys = ItemKeys(from);
  const std::set<std::string> new_keys = ItemKeys(to);
  if (old_keys.size() != from.size() || new_keys.size() != to.size()) {
    return false;
  }
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < from.size() || j < to.size()) {
    const std::string at = path + "/" + std::to_string(j);
    if (i < from.size() && !new_keys.contains(ItemKey(from[i]))) {
      AppendOperation(patch, "remove", at);
      ++i;
      continue;
    }
    if (j < to.size() && !old_keys.contains(ItemKey(to[j]))) {
      AppendOperation(patch, "add", at, to[j]);
      ++j;
      continue;
    }
    if (ItemKey(from[i]) != ItemKey(to[j])) {
      return false;
    }
    Diff(from[i], to[j], at, patch);
    ++i;
    ++j;
  }
  return true;
}

void Diff(const Json& from,
          const Json& to,
          const std::string& path,
          Json& patch) {
  if (from == to) {
    return;
  }
  if (from.is_object() && to.is_object()) {
    DiffObjects(from, to, path, patch);
    return;
  }
  if (from.is_array() && to.is_array()) {
    Json operations = Json::array();
    if (DiffLists(from, to, path, operations)) {
      patch.insert(patch.end(), operations.begin(), operations.end());
      return;
    }
  }
  AppendOperation(patch, "replace", path, to);
}

leaf::error_id PatchError(std::string problem) {
  return leaf::new_error(
      ConfigErrors{{{"patch", std::move(problem),
                     "make the patch again from the version in force"}}});
}

bool HasTooManyCopyOperations(const Json& patch) {
  return std::ranges::count_if(patch, [](const Json& operation) {
           return operation.is_object() && operation.value("op", "") == "copy";
         }) > kMaxCopyOperations;
}

}  // namespace

std::string MakePatch(std::string_view from, std::string_view to) {
  // nlohmann::json::diff matches list items by position: removing the first of
  // 2,000 models would rewrite all of them.
  Json patch = Json::array();
  Diff(Json::parse(from), Json::parse(to), "", patch);
  return patch.dump();
}

leaf::result<std::string> ApplyPatch(std::string_view document,
                                     std::string_view patch) {
  std::string text;
  try {
    const Json operations = Json::parse(patch);
    if (!operations.is_array()) {
      return PatchError("is not a list of operations");
    }
    if (HasTooManyCopyOperations(operations)) {
      return PatchError("has more than 4 copy operations");
    }
    text = Json::parse(document).patch(operations).dump();
  } catch (const Json::exception& error) {
    return PatchError(error.what());
  }
  BOOST_LEAF_AUTO(configuration, ParseConfiguration(text));
  return ToJson(configuration);
}

}  // namespace pimentospar
