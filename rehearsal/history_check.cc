#include "rehearsal/history_check.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <boost/json.hpp>
#include <map>
#include <set>

namespace pimentospar::rehearsal {

namespace {

namespace json = boost::json;

using CallList = std::vector<const Call*>;

std::string Describe(const Call& call) {
  return fmt::format(
      "call={} kind={} entry={} key={} end={} status={} reason={} executed={} "
      "from_ms={} to_ms={}",
      call.id, ToString(call.kind), call.entry, call.key, ToString(call.end),
      call.status, call.reason, call.executed, call.from_ms, call.to_ms);
}

void Expect(PromiseResult& result,
            bool holds,
            std::string_view rule,
            const Call& call) {
  ++result.checks;
  if (!holds) {
    result.violations.push_back(
        fmt::format("rule={} {}", rule, Describe(call)));
  }
}

std::map<std::string, CallList> CallsByKey(const History& history) {
  std::map<std::string, CallList> calls;
  for (const Call& call : history.calls) {
    if (call.kind == CallKind::kNonIdempotent) {
      calls[call.key].push_back(&call);
    }
  }
  return calls;
}

// The service echoes the request, so that an answer shows whose it is.
bool IsAnswerTo(const Call& call) {
  json::error_code error;
  const json::value value = json::parse(call.answer, error);
  const json::object* answer = error ? nullptr : value.if_object();
  if (answer == nullptr) {
    return false;
  }
  const json::value* operation = answer->if_contains("operation");
  const json::value* request = answer->if_contains("request");
  return operation != nullptr && operation->is_string() &&
         operation->get_string() == call.operation && request != nullptr &&
         json::serialize(*request) == call.body;
}

bool IsWhole(const Call& call) {
  return call.end == CallEnd::kWhole;
}

// The request started at a target, or may have, and its caller got no answer
// for another reason than the time that it allowed.
bool IsCutOff(const Call& call) {
  switch (call.end) {
    case CallEnd::kBroken:
    case CallEnd::kFailed:
      return call.reason != "deadline_exceeded";
    case CallEnd::kRefused:
      return call.executed != "no" && call.reason != "deadline_exceeded";
    default:
      return false;
  }
}

// The refusal tells of an earlier call with the same key.
bool TellsOfEarlierCall(const Call& call) {
  return call.kind == CallKind::kNonIdempotent &&
         (call.reason == "outcome_unknown" || call.reason == "answer_expired");
}

bool CanCutOff(const Fault& fault, const Call& call) {
  if (fault.planned) {
    return false;
  }
  if (fault.part == FaultPart::kEntry) {
    return fault.process == call.entry;
  }
  if (call.end == CallEnd::kBroken) {
    // The entry reports a fault behind it; only its own breaks the connection.
    return false;
  }
  if (call.IsChat()) {
    return fault.part == FaultPart::kEngine;
  }
  return fault.part == FaultPart::kService ||
         (fault.part == FaultPart::kLog &&
          call.kind == CallKind::kNonIdempotent);
}

}  // namespace

std::string ExpectedText(std::string_view model,
                         std::string_view prompt,
                         std::uint64_t max_tokens) {
  const json::array messages{
      json::object{{"role", "user"}, {"content", prompt}}};
  const std::string text = std::string(model) + json::serialize(messages);
  const std::uint64_t seed = XXH3_64bits_withSeed(text.data(), text.size(), 0);
  std::string expected;
  for (std::uint64_t i = 0; i < max_tokens; ++i) {
    const std::string number = std::to_string(i);
    expected += fmt::format(
        "t{}-{:04x} ", i,
        XXH3_64bits_withSeed(number.data(), number.size(), seed) & 0xffff);
  }
  return expected;
}

std::vector<PromiseResult> HistoryChecker::Check() const {
  return {this->CheckMemory(),     this->CheckReachable(),
          this->CheckAnswers(),    this->CheckNotRun(),
          this->CheckAtMostOnce(), this->CheckPlannedStops()};
}

PromiseResult HistoryChecker::CheckMemory() const {
  PromiseResult result{.promise = "P1"};
  for (const EngineReport& report : this->history.engines) {
    ++result.checks;
    if (report.overcommitted) {
      result.violations.push_back(
          fmt::format("rule=overcommitted engine={}", report.engine));
    }
  }
  return result;
}

PromiseResult HistoryChecker::CheckReachable() const {
  PromiseResult result{.promise = "P2"};
  for (const std::string& model : this->history.models) {
    ++result.checks;
    const bool answered =
        std::ranges::any_of(this->history.calls, [&](const Call& call) {
          return call.kind == CallKind::kProbe && call.model == model &&
                 IsWhole(call);
        });
    if (!answered) {
      result.violations.push_back(
          fmt::format("rule=no_answer_after_faults model={}", model));
    }
  }
  return result;
}

PromiseResult HistoryChecker::CheckAnswers() const {
  PromiseResult result{.promise = "P3"};
  for (const Call& call : this->history.calls) {
    if (!call.IsChat()) {
      if (IsWhole(call)) {
        Expect(result, IsAnswerTo(call), "answer_to_own_request", call);
      }
      continue;
    }
    const std::string expected =
        ExpectedText(call.model, call.prompt, call.max_tokens);
    if (IsWhole(call)) {
      Expect(result,
             call.text == expected && call.answer_model == call.model &&
                 call.finish_reason == "stop",
             "whole_answer", call);
    } else if (!call.text.empty()) {
      // Tokens end with a space, so that a prefix ends at a whole token.
      Expect(result,
             expected.starts_with(call.text) && call.text.ends_with(' '),
             "partial_answer", call);
    }
  }
  return result;
}

PromiseResult HistoryChecker::CheckNotRun() const {
  PromiseResult result{.promise = "P4"};
  struct Count {
    std::size_t runs = 0;
    std::size_t not_told_no = 0;
    const Call* told_no = nullptr;
  };
  // The bodies of idempotent operations are unique, those of a key are not.
  std::map<std::pair<std::string, std::string>, Count> counts;
  for (const Run& run : this->history.runs) {
    ++counts[{run.key, run.body}].runs;
  }
  for (const Call& call : this->history.calls) {
    if (call.IsChat()) {
      if (call.executed == "no") {
        Expect(result, call.text.empty(), "tokens_of_a_chat_told_no", call);
      }
      continue;
    }
    Count& count = counts[{call.key, call.body}];
    if (call.executed == "no") {
      count.told_no = &call;
    } else {
      ++count.not_told_no;
    }
  }
  for (const auto& [request, count] : counts) {
    if (count.told_no == nullptr) {
      continue;
    }
    // An idempotent operation may run several times for one call.
    const bool holds = request.first.empty()
                           ? count.runs == 0 || count.not_told_no > 0
                           : count.runs <= count.not_told_no;
    Expect(result, holds, "run_of_a_call_told_no", *count.told_no);
  }
  return result;
}

PromiseResult HistoryChecker::CheckAtMostOnce() const {
  PromiseResult result{.promise = "P5"};
  std::map<std::string, std::uint64_t> recorded;
  std::map<std::string, std::uint64_t> reported;
  for (const Run& run : this->history.runs) {
    ++recorded[run.key];
  }
  for (const RunCount& count : this->history.run_counts) {
    reported[count.key] += count.count;
  }
  for (const auto& [key, calls] : CallsByKey(this->history)) {
    const std::uint64_t runs = std::max(recorded[key], reported[key]);
    Expect(result, runs <= 1, "one_run_of_a_key", *calls.front());
    const auto first =
        std::ranges::min_element(calls, {}, [](const Call* call) {
          return std::pair(!IsWhole(*call), call->to_ms);
        });
    if (!IsWhole(**first)) {
      continue;
    }
    Expect(result, runs == 1, "answer_without_run", **first);
    for (const Call* call : calls) {
      if (IsWhole(*call)) {
        Expect(result, call->answer == (*first)->answer, "equal_answers",
               *call);
      }
      if (call->from_ms <= (*first)->to_ms || call->body != (*first)->body) {
        continue;
      }
      // A refusal that says that this call did not run is true as well: an
      // entry that drains, or an agent without the log, refuses a repeat.
      Expect(result,
             IsWhole(*call) ||
                 (call->executed != "yes" && call->reason != "key_reused"),
             "repeat_after_answer", *call);
    }
  }
  return result;
}

PromiseResult HistoryChecker::CheckPlannedStops() const {
  PromiseResult result{.promise = "P7"};
  std::map<std::string, std::int64_t> first_call_ms;
  for (const auto& [key, calls] : CallsByKey(this->history)) {
    first_call_ms[key] = std::ranges::min(calls, {}, &Call::from_ms)->from_ms;
  }
  for (const Call& call : this->history.calls) {
    const std::int64_t from_ms =
        TellsOfEarlierCall(call) ? first_call_ms[call.key] : call.from_ms;
    const bool has_fault =
        std::ranges::any_of(this->history.faults, [&](const Fault& fault) {
          const bool may_come_from_other_entry =
              TellsOfEarlierCall(call) && !fault.planned &&
              fault.part == FaultPart::kEntry;
          return fault.from_ms <= call.to_ms && from_ms <= fault.to_ms &&
                 (CanCutOff(fault, call) || may_come_from_other_entry);
        });
    Expect(result, !IsCutOff(call) || has_fault, "cut_off_without_fault", call);
  }
  return result;
}

}  // namespace pimentospar::rehearsal
