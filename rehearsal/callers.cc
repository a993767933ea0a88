#include "rehearsal/callers.h"

#include <fmt/format.h>

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>

namespace pimentospar::rehearsal {

namespace {

namespace json = boost::json;

// The system refuses at its deadline; a caller waits longer, so that a missing
// refusal shows as a time-out.
constexpr std::chrono::milliseconds kDeadline{5'000};
constexpr std::chrono::milliseconds kPatience{8'000};
constexpr std::size_t kRecentKeys = 64;
constexpr std::uint64_t kLongAnswerTokens = 200;

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string TextAt(const json::value& value, std::string_view pointer) {
  json::error_code error;
  const json::value* found = value.find_pointer(pointer, error);
  return found != nullptr && found->is_string()
             ? std::string(found->get_string())
             : "";
}

void ReadProblem(std::string_view body, Call& call) {
  json::error_code error;
  const json::value value = json::parse(body, error);
  if (error) {
    call.reason = "malformed_problem";
    return;
  }
  call.reason = TextAt(value, "/reason");
  call.executed = TextAt(value, "/executed");
}

// Reads the server-sent events of a stream up to its end; returns whether the
// stream ended with `[DONE]`.
bool ReadStream(std::string_view body, Call& call) {
  constexpr std::string_view kData = "data: ";
  constexpr std::string_view kError = "event: error\ndata: ";
  bool done = false;
  while (true) {
    const std::size_t end = body.find("\n\n");
    if (end == std::string_view::npos) {
      return done;
    }
    const std::string_view event = body.substr(0, end);
    body.remove_prefix(end + 2);
    if (event.starts_with(kError)) {
      ReadProblem(event.substr(kError.size()), call);
      call.end = CallEnd::kFailed;
    } else if (event == "data: [DONE]") {
      done = true;
    } else if (event.starts_with(kData)) {
      json::error_code error;
      const json::value value = json::parse(event.substr(kData.size()), error);
      if (error) {
        call.text += "malformed";
        continue;
      }
      call.text += TextAt(value, "/choices/0/delta/content");
      call.finish_reason += TextAt(value, "/choices/0/finish_reason");
      call.answer_model = TextAt(value, "/model");
    }
  }
}

void ReadPlainChat(const std::string& body, Call& call) {
  json::error_code error;
  const json::value value = json::parse(body, error);
  if (error) {
    return;
  }
  call.text = TextAt(value, "/choices/0/message/content");
  call.finish_reason = TextAt(value, "/choices/0/finish_reason");
  call.answer_model = TextAt(value, "/model");
}

CallEnd EndOf(const HttpResult& result) {
  if (result.complete) {
    return result.status == 200 ? CallEnd::kWhole : CallEnd::kRefused;
  }
  if (result.progress == HttpProgress::kNotSent) {
    return CallEnd::kNotSent;
  }
  return result.error == "deadline" ? CallEnd::kTimedOut : CallEnd::kBroken;
}

void ReadResult(const HttpResult& result, Call& call) {
  call.status = result.status;
  call.end = EndOf(result);
  if (call.end == CallEnd::kNotSent) {
    call.executed = "no";
    return;
  }
  if (call.end == CallEnd::kRefused) {
    ReadProblem(result.body, call);
    return;
  }
  if (call.kind == CallKind::kStreamedChat) {
    const bool done = ReadStream(result.body, call);
    if (call.end == CallEnd::kWhole && !done) {
      call.end = CallEnd::kBroken;
    }
  } else if (call.IsChat()) {
    ReadPlainChat(result.body, call);
  } else if (call.end == CallEnd::kWhole) {
    call.answer = result.body;
  }
  if (call.end == CallEnd::kWhole) {
    call.executed = "yes";
  }
}

HttpCall ToHttp(const Call& call, const CallersOptions& options) {
  // A connection of its own for each call: a connection that an entry closes
  // while it is idle is not a request that was cut off.
  HttpCall http{
      .method = "POST",
      .headers = {{"Authorization", fmt::format("Bearer {}", options.token)},
                  {"Deadline-Ms", std::to_string(kDeadline.count())}},
      .fresh_connection = true};
  if (call.IsChat()) {
    http.path = "/v1/chat/completions";
    http.body = json::serialize(json::object{
        {"model", call.model},
        {"max_tokens", call.max_tokens},
        {"stream", call.kind == CallKind::kStreamedChat},
        {"messages", json::array{json::object{{"role", "user"},
                                              {"content", call.prompt}}}}});
    return http;
  }
  http.path =
      fmt::format("/v1/services/{}/{}", options.service, call.operation);
  http.body = call.body;
  if (!call.key.empty()) {
    http.headers.push_back({"Idempotency-Key", call.key});
  }
  return http;
}

}  // namespace

Callers::Callers(HttpClient& http,
                 std::ostream& history,
                 CallersOptions options)
    : http(http),
      history(history),
      options(std::move(options)),
      random(this->options.seed),
      // Call numbers of several runs that write one history differ.
      next_call(static_cast<std::uint64_t>(NowMs()) * 100'000) {}

void Callers::Pause(std::uint64_t from_ms, std::uint64_t to_ms) {
  boost::this_fiber::sleep_for(
      std::chrono::milliseconds(from_ms + this->Below(to_ms - from_ms + 1)));
}

void Callers::Run() {
  const auto end = std::chrono::steady_clock::now() + this->options.time;
  std::vector<boost::fibers::fiber> fibers;
  for (unsigned i = 0; i < this->options.callers; ++i) {
    fibers.emplace_back([this, end] {
      while (std::chrono::steady_clock::now() < end) {
        this->SendOne();
        this->Pause(5, 40);
      }
    });
  }
  for (boost::fibers::fiber& fiber : fibers) {
    fiber.join();
  }
}

bool Callers::Probe() {
  const auto end = std::chrono::steady_clock::now() + this->options.time;
  bool all_answered = true;
  for (const std::string& model : this->options.models) {
    this->history << json::serialize(
                         json::object{{"event", "model"}, {"model", model}})
                  << '\n';
    for (std::size_t entry = 0; entry < this->options.entries.size(); ++entry) {
      bool answered = false;
      while (!answered && std::chrono::steady_clock::now() < end) {
        answered =
            this->Send(this->NewChat(CallKind::kProbe, entry, model), entry)
                .end == CallEnd::kWhole;
        this->Pause(50, 100);
      }
      all_answered = all_answered && answered;
    }
  }
  return all_answered;
}

void Callers::SendOne() {
  const std::uint64_t chance = this->Below(100);
  if (chance < 30) {
    this->SendChat(false);
  } else if (chance < 60) {
    this->SendChat(true);
  } else if (chance < 72) {
    this->SendIdempotent();
  } else if (chance < 90 || this->recent.empty()) {
    this->SendNewKey();
  } else {
    this->SendRepeat();
  }
}

void Callers::SendChat(bool stream) {
  const std::size_t entry = this->Below(this->options.entries.size());
  const std::string& model =
      this->options.models[this->Below(this->options.models.size())];
  const Call call = this->Send(
      this->NewChat(stream ? CallKind::kStreamedChat : CallKind::kPlainChat,
                    entry, model),
      entry);
  if (call.end != CallEnd::kWhole) {
    this->Pause(20, 100);
  }
}

void Callers::SendIdempotent() {
  const std::size_t entry = this->Below(this->options.entries.size());
  Call call = this->NewOperation(
      entry, "",
      json::serialize(
          json::object{{"search", fmt::format("s{}-{}", this->options.seed,
                                              this->next_name++)}}));
  call.kind = CallKind::kIdempotent;
  call.operation = "find";
  (void)this->Send(std::move(call), entry);
}

void Callers::SendNewKey() {
  const std::size_t entry = this->Below(this->options.entries.size());
  const std::uint64_t chance = this->Below(100);
  const std::string key =
      fmt::format("k{}-{}", this->options.seed, this->next_name++);
  const std::string body =
      json::serialize(json::object{{"plot", key}, {"day", this->Below(365)}});
  this->recent.emplace_back(key, body);
  if (this->recent.size() > kRecentKeys) {
    this->recent.pop_front();
  }
  if (chance < 50) {
    this->SendKey(entry, key, body);
    return;
  }
  // The same key at once through the next entry, sometimes with another body.
  const std::string other =
      chance < 85 ? body
                  : json::serialize(json::object{{"plot", key}, {"day", 999}});
  boost::fibers::fiber twin([this, entry, key, other] {
    this->SendKey((entry + 1) % this->options.entries.size(), key, other);
  });
  this->SendKey(entry, key, body);
  twin.join();
}

void Callers::SendRepeat() {
  const Key key = this->recent[this->Below(this->recent.size())];
  this->SendKey(this->Below(this->options.entries.size()), key.first,
                key.second);
}

void Callers::SendKey(std::size_t entry,
                      const std::string& key,
                      const std::string& body) {
  constexpr int kTries = 3;
  for (int i = 0; i < kTries; ++i) {
    const Call call = this->Send(this->NewOperation(entry, key, body), entry);
    if (call.end == CallEnd::kWhole || call.reason == "key_reused" ||
        call.reason == "outcome_unknown") {
      return;
    }
    this->Pause(50, 200);
    entry = (entry + 1) % this->options.entries.size();
  }
}

Call Callers::NewChat(CallKind kind,
                      std::size_t entry,
                      const std::string& model) {
  Call call;
  call.kind = kind;
  call.entry = fmt::format("entry{}", entry + 1);
  call.model = model;
  call.prompt =
      fmt::format("question {}-{}", this->options.seed, this->next_name++);
  const bool is_long = kind != CallKind::kProbe && this->Below(10) == 0;
  call.max_tokens = is_long ? kLongAnswerTokens : 5 + this->Below(36);
  return call;
}

Call Callers::NewOperation(std::size_t entry,
                           const std::string& key,
                           const std::string& body) {
  Call call;
  call.kind = CallKind::kNonIdempotent;
  call.entry = fmt::format("entry{}", entry + 1);
  call.operation = "create";
  call.key = key;
  call.body = body;
  return call;
}

Call Callers::Send(Call call, std::size_t entry) {
  call.id = this->next_call++;
  call.from_ms = NowMs();
  this->history << CallLine(call) << std::endl;
  HttpCall http = ToHttp(call, this->options);
  http.address = this->options.entries[entry];
  const HttpResult result = this->http.Fetch(
      std::move(http), std::chrono::steady_clock::now() + kPatience);
  call.to_ms = NowMs();
  ReadResult(result, call);
  this->history << AnswerLine(call) << std::endl;
  return call;
}

}  // namespace pimentospar::rehearsal
