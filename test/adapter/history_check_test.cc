#define BOOST_TEST_MODULE history_check
#include "rehearsal/history_check.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <sstream>

namespace pimentospar::rehearsal {
namespace {

constexpr std::string_view kBody = R"({"plot":1})";
constexpr std::string_view kAnswer =
    R"({"operation":"create","number":1,"request":{"plot":1}})";

// A history without any violation: a chat, a broken stream with the kill of its
// engine, a key that ran once and was repeated, a refused key and a probe.
History GoodHistory() {
  History history;
  history.models = {"lichen"};
  const auto chat = [](std::uint64_t id, CallKind kind) {
    return Call{.id = id,
                .kind = kind,
                .entry = "entry1",
                .from_ms = 10,
                .to_ms = 20,
                .model = "lichen",
                .prompt = "why?",
                .max_tokens = 3,
                .end = CallEnd::kWhole,
                .status = 200,
                .executed = "yes",
                .text = ExpectedText("lichen", "why?", 3),
                .finish_reason = "stop",
                .answer_model = "lichen"};
  };
  const auto operation = [](std::uint64_t id, std::int64_t from_ms) {
    return Call{.id = id,
                .kind = CallKind::kNonIdempotent,
                .entry = "entry2",
                .from_ms = from_ms,
                .to_ms = from_ms + 10,
                .operation = "create",
                .key = "k1",
                .body = std::string(kBody),
                .end = CallEnd::kWhole,
                .status = 200,
                .executed = "yes",
                .answer = std::string(kAnswer)};
  };
  Call broken = chat(2, CallKind::kStreamedChat);
  broken.end = CallEnd::kFailed;
  broken.reason = "target_crashed";
  broken.executed = "unknown";
  broken.text = ExpectedText("lichen", "why?", 2);
  Call refused = operation(5, 60);
  refused.key = "k2";
  refused.end = CallEnd::kRefused;
  refused.reason = "log_unavailable";
  refused.executed = "no";
  refused.answer = "";
  history.calls = {chat(1, CallKind::kPlainChat),
                   broken,
                   operation(3, 10),
                   operation(4, 40),
                   refused,
                   chat(6, CallKind::kProbe)};
  history.runs = {{"k1", "create", std::string(kBody)}};
  history.run_counts = {{"booking1", "k1", 1}};
  history.engines = {{"engine1", false}};
  history.faults = {{FaultPart::kEngine, "engine1", "kill", false, 15, 18}};
  return history;
}

// Names of the promises that a history violates, in order.
std::string Violated(const History& history) {
  std::string names;
  for (const PromiseResult& result : HistoryChecker(history).Check()) {
    BOOST_TEST(result.checks > 0);
    names += result.violations.empty() ? "" : result.promise + " ";
  }
  return names;
}

// Guards against a checker that refuses true histories.
BOOST_AUTO_TEST_CASE(AcceptsAHistoryThatKeepsThePromises) {
  BOOST_TEST(Violated(GoodHistory()) == "");
}

// Guards against a check that cannot fail: each change breaks one promise.
BOOST_AUTO_TEST_CASE(RefusesEachViolation) {
  struct Case {
    std::string_view name;
    std::function<void(History&)> change;
    std::string_view violated;
  };
  const auto text = [](const std::string& value, std::size_t call = 0) {
    return [=](History& h) { h.calls[call].text = value; };
  };
  const std::string whole = ExpectedText("lichen", "why?", 3);
  const std::string token0 = whole.substr(0, whole.find(' ') + 1);
  const std::vector<Case> cases = {
      {"overcommitted", [](History& h) { h.engines[0].overcommitted = true; },
       "P1 "},
      {"no probe answered",
       [](History& h) { h.calls[5].end = CallEnd::kNotSent; }, "P2 "},
      {"short answer", text(ExpectedText("lichen", "why?", 2)), "P3 "},
      {"repeated token", text(token0 + whole), "P3 "},
      {"gap", text(whole.substr(token0.size())), "P3 "},
      {"answer to another request", text(ExpectedText("lichen", "how?", 3)),
       "P3 "},
      {"answer of another model", text(ExpectedText("moss", "why?", 3)), "P3 "},
      {"gap in a partial stream", text(whole.substr(token0.size()), 1), "P3 "},
      {"half a token in a partial stream", text(whole.substr(0, 5), 1), "P3 "},
      {"cancelled answer", [](History& h) { h.calls[0].finish_reason = ""; },
       "P3 "},
      {"operation answered with the answer to another",
       [](History& h) {
         for (const std::size_t i : {2, 3}) {
           h.calls[i].body = R"({"plot":2})";
         }
         h.runs[0].body = R"({"plot":2})";
       },
       "P3 "},
      {"a call told no ran",
       [](History& h) {
         h.runs.push_back({"k2", "create", std::string(kBody)});
       },
       "P4 "},
      {"a chat told no gave tokens",
       [](History& h) { h.calls[1].executed = "no"; }, "P4 "},
      {"an idempotent operation told no ran",
       [](History& h) {
         h.calls[4].kind = CallKind::kIdempotent;
         h.calls[4].key = "";
         h.runs.push_back({"", "create", std::string(kBody)});
       },
       "P4 "},
      {"two runs in the runs file",
       [](History& h) { h.runs.push_back(h.runs[0]); }, "P5 "},
      {"runs at two services",
       [](History& h) {
         h.run_counts.push_back({"booking2", "k1", 1});
       },
       "P5 "},
      {"an answer without a run",
       [](History& h) {
         h.runs.clear();
         h.run_counts.clear();
       },
       "P5 "},
      {"two answers for one key",
       [](History& h) {
         h.calls[3].answer =
             R"({"operation":"create","number":2,"request":{"plot":1}})";
       },
       "P5 "},
      {"a repeat refused as another body",
       [](History& h) {
         h.calls[3].end = CallEnd::kRefused;
         h.calls[3].executed = "no";
         h.calls[3].reason = "key_reused";
       },
       "P5 "},
      {"cut off by a planned stop",
       [](History& h) { h.faults[0].planned = true; }, "P7 "},
      {"cut off after the fault had ended",
       [](History& h) { h.faults[0].to_ms = h.faults[0].from_ms = 9; }, "P7 "},
      {"cut off by a fault of a service",
       [](History& h) { h.faults[0].part = FaultPart::kService; }, "P7 "},
      {"connection broken without a fault of the entry",
       [](History& h) { h.calls[1].end = CallEnd::kBroken; }, "P7 "},
      {"unknown outcome without any fault since the key's first call",
       [](History& h) {
         h.calls[3].end = CallEnd::kRefused;
         h.calls[3].executed = "unknown";
         h.calls[3].reason = "outcome_unknown";
       },
       "P7 "}};
  for (const Case& wrong : cases) {
    BOOST_TEST_CONTEXT(wrong.name) {
      History history = GoodHistory();
      wrong.change(history);
      BOOST_TEST(Violated(history) == wrong.violated);
    }
  }
}

// Guards against a field that is lost between the callers and the checker, and
// against a malformed line that is passed over.
BOOST_AUTO_TEST_CASE(ReadsBackWhatTheCallersWrite) {
  const History good = GoodHistory();
  std::stringstream file;
  for (const Call& call : good.calls) {
    file << CallLine(call) << '\n' << AnswerLine(call) << '\n';
  }
  file
      << R"({"event":"run","key":"k1","operation":"create","body":"{\"plot\":1}"})"
      << "\n"
      << R"({"event":"run_count","service":"booking1","runs":{"k1":1}})"
      << "\n"
      << R"({"event":"engine_state","engine":"engine1","state":{"overcommitted":false}})"
      << "\n"
      << R"({"event":"fault","part":"engine","process":"engine1","kind":"kill","planned":false,"from_ms":15,"to_ms":18})"
      << "\n"
      << R"({"event":"model","model":"lichen"})"
      << "\n";
  History read;
  ReadEvents(file, read);
  BOOST_TEST(Violated(read) == "");
  for (std::size_t i = 0; i < good.calls.size(); ++i) {
    BOOST_TEST(CallLine(read.calls.at(i)) == CallLine(good.calls[i]));
    BOOST_TEST(AnswerLine(read.calls.at(i)) == AnswerLine(good.calls[i]));
  }
  std::stringstream malformed("{\"event\":\"call\"}\n");
  BOOST_CHECK_THROW(ReadEvents(malformed, read), std::runtime_error);
}

}  // namespace
}  // namespace pimentospar::rehearsal
