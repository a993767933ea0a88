#include "agent/target_records.h"

#include <fmt/format.h>

#include <boost/json.hpp>
#include <charconv>

namespace pimentospar {

namespace {

namespace json = boost::json;

constexpr std::size_t kHexDigitsPerHalf = 16;

std::string_view ItemKindName(ItemKind kind) {
  switch (kind) {
    case ItemKind::kWeights:
      return "load";
    case ItemKind::kAdapter:
      return "load_adapter";
    default:
      return "role";
  }
}

std::optional<ItemKind> ParseItemKind(std::string_view text) {
  for (const ItemKind kind :
       {ItemKind::kWeights, ItemKind::kAdapter, ItemKind::kRole}) {
    if (ItemKindName(kind) == text) {
      return kind;
    }
  }
  return std::nullopt;
}

std::string_view OrderKindName(const Order& order) {
  switch (order.kind) {
    case OrderKind::kLoad:
      return ItemKindName(order.item.kind);
    case OrderKind::kUnload:
      return order.item.kind == ItemKind::kAdapter ? "unload_adapter"
                                                   : "unload";
    default:
      return "fence";
  }
}

std::optional<std::uint64_t> NumberAt(const json::object& object,
                                      std::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_number()) {
    return std::nullopt;
  }
  json::error_code error;
  const auto number = value->to_number<std::uint64_t>(error);
  return error ? std::nullopt : std::optional(number);
}

std::string_view TextAt(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_string()
             ? std::string_view(value->get_string())
             : std::string_view();
}

const json::array* ArrayAt(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value == nullptr ? nullptr : value->if_array();
}

std::optional<RecordId> ParseRecordId(std::string_view text) {
  if (text.size() != 2 * kHexDigitsPerHalf) {
    return std::nullopt;
  }
  constexpr int kHexadecimal = 16;
  RecordId id;
  const char* middle = text.data() + kHexDigitsPerHalf;
  const char* end = middle + kHexDigitsPerHalf;
  if (std::from_chars(text.data(), middle, id.high, kHexadecimal).ptr !=
          middle ||
      std::from_chars(middle, end, id.low, kHexadecimal).ptr != end) {
    return std::nullopt;
  }
  return id;
}

json::object EncodeIntent(const Intent& intent) {
  return {{"order", intent.order.value},
          {"kind", ItemKindName(intent.item.kind)},
          {"item", intent.item.id.value},
          {"bytes", intent.bytes},
          {"incarnation", intent.incarnation.value}};
}

std::optional<Intent> DecodeIntent(const json::object& object) {
  const auto order = NumberAt(object, "order");
  const auto kind = ParseItemKind(TextAt(object, "kind"));
  const auto bytes = NumberAt(object, "bytes");
  const auto incarnation = NumberAt(object, "incarnation");
  const std::string_view item = TextAt(object, "item");
  if (!order || !kind || !bytes || !incarnation || item.empty()) {
    return std::nullopt;
  }
  return Intent{OrderId{*order},
                {*kind, ItemId(item)},
                *bytes,
                Incarnation{*incarnation}};
}

json::object EncodeBody(const EpochRecord& epoch, const TargetId& target) {
  json::array intents;
  for (const Intent& intent : epoch.open_intents) {
    intents.push_back(EncodeIntent(intent));
  }
  json::object object{{"type", "epoch"},
                      {"target", target.value},
                      {"instance", epoch.instance.value},
                      {"open_intents", std::move(intents)}};
  if (epoch.renews) {
    object["renews"] = epoch.renews->value;
  }
  return object;
}

json::object EncodeBody(const IntentRecord& record, const TargetId&) {
  json::object object = EncodeIntent(record.intent);
  object["type"] = "intent";
  object["epoch"] = record.epoch.value;
  return object;
}

json::object EncodeBody(const SettleRecord& settle, const TargetId&) {
  json::array orders;
  for (const OrderId order : settle.orders) {
    orders.emplace_back(order.value);
  }
  return {{"type", "settle"}, {"orders", std::move(orders)}};
}

std::optional<EpochRecord> DecodeEpoch(const json::object& object) {
  const auto instance = NumberAt(object, "instance");
  const json::array* intents = ArrayAt(object, "open_intents");
  if (!instance || intents == nullptr) {
    return std::nullopt;
  }
  EpochRecord epoch{InstanceId{*instance}, {}, std::nullopt};
  for (const json::value& row : *intents) {
    const json::object* fields = row.if_object();
    const auto intent =
        fields == nullptr ? std::nullopt : DecodeIntent(*fields);
    if (!intent) {
      return std::nullopt;
    }
    epoch.open_intents.push_back(*intent);
  }
  if (object.contains("renews")) {
    const auto renews = NumberAt(object, "renews");
    if (!renews) {
      return std::nullopt;
    }
    epoch.renews = LogOffset{*renews};
  }
  return epoch;
}

std::optional<SettleRecord> DecodeSettle(const json::object& object) {
  const json::array* orders = ArrayAt(object, "orders");
  if (orders == nullptr) {
    return std::nullopt;
  }
  SettleRecord settle;
  for (const json::value& row : *orders) {
    json::error_code error;
    const auto order = row.is_number() ? row.to_number<std::uint64_t>(error)
                                       : std::uint64_t{0};
    if (!row.is_number() || error) {
      return std::nullopt;
    }
    settle.orders.push_back(OrderId{order});
  }
  return settle;
}

}  // namespace

std::string Encode(const TargetRecord& record, const TargetId& target) {
  json::object object = std::visit(
      [&](const auto& body) { return EncodeBody(body, target); }, record.body);
  object["id"] = fmt::format("{:016x}{:016x}", record.id.high, record.id.low);
  return json::serialize(object);
}

std::optional<TargetRecord> DecodeTargetRecord(std::string_view text) {
  json::error_code error;
  const json::value value = json::parse(text, error);
  const json::object* object = error ? nullptr : value.if_object();
  const auto id =
      object == nullptr ? std::nullopt : ParseRecordId(TextAt(*object, "id"));
  if (!id) {
    return std::nullopt;
  }
  const std::string_view type = TextAt(*object, "type");
  if (type == "epoch") {
    if (auto epoch = DecodeEpoch(*object)) {
      return TargetRecord{*id, std::move(*epoch)};
    }
  } else if (type == "intent") {
    const auto intent = DecodeIntent(*object);
    const auto epoch = NumberAt(*object, "epoch");
    if (intent && epoch) {
      return TargetRecord{*id, IntentRecord{*intent, FencingToken{*epoch}}};
    }
  } else if (type == "settle") {
    if (auto settle = DecodeSettle(*object)) {
      return TargetRecord{*id, std::move(*settle)};
    }
  }
  return std::nullopt;
}

std::string Encode(const Order& order) {
  return json::serialize(json::object{{"id", order.id.value},
                                      {"fencing", order.fencing.value},
                                      {"kind", OrderKindName(order)},
                                      {"item", order.item.id.value},
                                      {"bytes", order.bytes}});
}

}  // namespace pimentospar
