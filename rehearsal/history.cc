#include "rehearsal/history.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <map>
#include <span>
#include <stdexcept>

namespace pimentospar::rehearsal {

namespace {

namespace json = boost::json;

template <typename Enum>
struct Named {
  Enum value;
  std::string_view name;
};

constexpr std::array<Named<CallKind>, 5> kKinds = {
    {{CallKind::kPlainChat, "plain"},
     {CallKind::kStreamedChat, "stream"},
     {CallKind::kIdempotent, "idempotent"},
     {CallKind::kNonIdempotent, "non_idempotent"},
     {CallKind::kProbe, "probe"}}};
constexpr std::array<Named<CallEnd>, 7> kEnds = {
    {{CallEnd::kWhole, "whole"},
     {CallEnd::kRefused, "refused"},
     {CallEnd::kFailed, "failed"},
     {CallEnd::kBroken, "broken"},
     {CallEnd::kNotSent, "not_sent"},
     {CallEnd::kTimedOut, "timed_out"},
     {CallEnd::kMissing, "missing"}}};
constexpr std::array<Named<FaultPart>, 5> kParts = {
    {{FaultPart::kEntry, "entry"},
     {FaultPart::kEngine, "engine"},
     {FaultPart::kService, "service"},
     {FaultPart::kLog, "log"},
     {FaultPart::kHosts, "hosts"}}};

template <typename Enum, std::size_t size>
std::string_view NameOf(const std::array<Named<Enum>, size>& names,
                        Enum value) {
  const auto found = std::ranges::find(names, value, &Named<Enum>::value);
  return found == names.end() ? "" : found->name;
}

template <typename Enum, std::size_t size>
Enum ValueOf(const std::array<Named<Enum>, size>& names,
             std::string_view name) {
  const auto found = std::ranges::find(names, name, &Named<Enum>::name);
  if (found == names.end()) {
    throw std::runtime_error(fmt::format("unknown name '{}'", name));
  }
  return found->value;
}

std::string Text(const json::object& event, std::string_view key) {
  return std::string(event.at(key).as_string());
}

template <typename Number>
Number NumberOf(const json::object& event, std::string_view key) {
  return event.at(key).to_number<Number>();
}

class EventReader {
 public:
  explicit EventReader(History& history) : history(history) {
    for (std::size_t i = 0; i < history.calls.size(); ++i) {
      this->index[history.calls[i].id] = i;
    }
  }

  void Read(const json::object& event) {
    const std::string kind = Text(event, "event");
    if (kind == "call") {
      this->ReadCall(event);
    } else if (kind == "answer") {
      this->ReadAnswer(event);
    } else if (kind == "run") {
      this->history.runs.push_back(
          {Text(event, "key"), Text(event, "operation"), Text(event, "body")});
    } else if (kind == "run_count") {
      this->ReadRunCounts(event);
    } else if (kind == "engine_state") {
      this->history.engines.push_back(
          {Text(event, "engine"),
           event.at("state").as_object().at("overcommitted").as_bool()});
    } else if (kind == "fault") {
      this->history.faults.push_back(
          {ValueOf(kParts, Text(event, "part")), Text(event, "process"),
           Text(event, "kind"), event.at("planned").as_bool(),
           NumberOf<std::int64_t>(event, "from_ms"),
           NumberOf<std::int64_t>(event, "to_ms")});
    } else if (kind == "model") {
      this->history.models.push_back(Text(event, "model"));
    } else {
      throw std::runtime_error(fmt::format("unknown event '{}'", kind));
    }
  }

 private:
  void ReadCall(const json::object& event) {
    Call call;
    call.id = NumberOf<std::uint64_t>(event, "id");
    call.kind = ValueOf(kKinds, Text(event, "kind"));
    call.entry = Text(event, "entry");
    call.from_ms = NumberOf<std::int64_t>(event, "from_ms");
    call.to_ms = call.from_ms;
    call.model = Text(event, "model");
    call.prompt = Text(event, "prompt");
    call.max_tokens = NumberOf<std::uint64_t>(event, "max_tokens");
    call.operation = Text(event, "operation");
    call.key = Text(event, "key");
    call.body = Text(event, "body");
    if (!this->index.emplace(call.id, this->history.calls.size()).second) {
      throw std::runtime_error(fmt::format("call {} twice", call.id));
    }
    this->history.calls.push_back(std::move(call));
  }

  void ReadAnswer(const json::object& event) {
    Call& call = this->history.calls.at(
        this->index.at(NumberOf<std::uint64_t>(event, "id")));
    call.to_ms = NumberOf<std::int64_t>(event, "to_ms");
    call.end = ValueOf(kEnds, Text(event, "end"));
    call.status = NumberOf<unsigned>(event, "status");
    call.reason = Text(event, "reason");
    call.executed = Text(event, "executed");
    call.text = Text(event, "text");
    call.finish_reason = Text(event, "finish_reason");
    call.answer_model = Text(event, "answer_model");
    call.answer = Text(event, "answer");
  }

  void ReadRunCounts(const json::object& event) {
    for (const auto& row : event.at("runs").as_object()) {
      this->history.run_counts.push_back(
          {Text(event, "service"), std::string(row.key()),
           row.value().to_number<std::uint64_t>()});
    }
  }

  History& history;
  std::map<std::uint64_t, std::size_t> index;
};

}  // namespace

std::string_view ToString(CallKind kind) {
  return NameOf(kKinds, kind);
}

std::string_view ToString(CallEnd end) {
  return NameOf(kEnds, end);
}

std::string CallLine(const Call& call) {
  return json::serialize(json::object{{"event", "call"},
                                      {"id", call.id},
                                      {"kind", ToString(call.kind)},
                                      {"entry", call.entry},
                                      {"from_ms", call.from_ms},
                                      {"model", call.model},
                                      {"prompt", call.prompt},
                                      {"max_tokens", call.max_tokens},
                                      {"operation", call.operation},
                                      {"key", call.key},
                                      {"body", call.body}});
}

std::string AnswerLine(const Call& call) {
  return json::serialize(json::object{{"event", "answer"},
                                      {"id", call.id},
                                      {"to_ms", call.to_ms},
                                      {"end", ToString(call.end)},
                                      {"status", call.status},
                                      {"reason", call.reason},
                                      {"executed", call.executed},
                                      {"text", call.text},
                                      {"finish_reason", call.finish_reason},
                                      {"answer_model", call.answer_model},
                                      {"answer", call.answer}});
}

void ReadEvents(std::istream& input, History& history) {
  EventReader reader(history);
  std::string line;
  for (std::size_t number = 1; std::getline(input, line); ++number) {
    if (line.empty()) {
      continue;
    }
    try {
      reader.Read(json::parse(line).as_object());
    } catch (const std::exception& error) {
      throw std::runtime_error(
          fmt::format("line {}: {}", number, error.what()));
    }
  }
}

}  // namespace pimentospar::rehearsal
