#include <fmt/format.h>

#include <charconv>
#include <deque>
#include <set>

#include "net/log_line.h"
#include "pimentospar/digest.h"
#include "standin.h"

namespace pimentospar::standin {

namespace {

namespace json = boost::json;

struct Item {
  std::string kind;
  std::uint64_t bytes = 0;
};

// A model engine. Its answers depend on the model and the messages only, so
// that a test can tell whether an answer is whole and belongs to its request.
// Prompts with the word "poison" make it exit. Faults: `break_after` (closes a
// stream after so many tokens, once), `late_orders_ms`, `lose_order_answer`,
// `token_ms`, `refuse`.
class Engine {
 public:
  explicit Engine(Host& host) : host(host) {
    std::string_view rest = host.options.loaded;
    while (!rest.empty()) {
      const std::size_t comma = rest.find(',');
      const std::string_view part = rest.substr(0, comma);
      const std::size_t equals = part.find('=');
      std::uint64_t bytes = 0;
      if (equals != std::string_view::npos) {
        std::from_chars(part.data() + equals + 1, part.data() + part.size(),
                        bytes);
      }
      this->items[std::string(part.substr(0, equals))] = {"model", bytes};
      rest = comma == std::string_view::npos ? "" : rest.substr(comma + 1);
    }
  }

  void Handle(HttpExchange& exchange) {
    const HttpRequest& request = exchange.Request();
    if (request.path == "/v1/chat/completions") {
      this->Chat(exchange);
    } else if (request.path == "/state") {
      this->ShowState(exchange);
    } else if (request.path == "/orders") {
      this->Order(exchange);
    } else if (request.path == "/events") {
      this->ShowEvents(exchange);
    } else if (request.method == "DELETE" &&
               request.path.starts_with("/v1/requests/")) {
      const std::lock_guard lock(this->mutex);
      this->cancelled.insert(
          request.path.substr(std::string_view("/v1/requests/").size()));
      ++this->cancels;
      RespondJson(exchange, 200, {{"cancelled", true}});
    } else {
      RespondJson(exchange, 404, {{"error", "not found"}});
    }
  }

 private:
  struct ChatCall {
    std::string model;
    std::uint64_t seed = 0;
    std::uint64_t max_tokens = 0;
    std::size_t resumed = 0;
    bool poison = false;
  };

  static ChatCall ReadChat(const json::object& body) {
    ChatCall chat;
    chat.model = TextAt(body, "model");
    const json::value* messages = body.if_contains("messages");
    const std::string text =
        messages == nullptr ? "" : json::serialize(*messages);
    chat.seed = Hash64(chat.model + text);
    chat.poison = text.find("poison") != std::string::npos;
    chat.max_tokens =
        body.contains("max_tokens") ? NumberAt(body, "max_tokens") : 16;
    const json::value* resume = body.if_contains("resume_from");
    chat.resumed = resume != nullptr && resume->is_array()
                       ? resume->get_array().size()
                       : 0;
    return chat;
  }

  static void Refuse(HttpExchange& exchange, std::string_view why) {
    exchange.Respond({.status = 503,
                      .headers = {{"X-Executed", "no"}, {"Retry-After", "1"}},
                      .body = json::serialize(json::object{{"error", why}})});
  }

  void Chat(HttpExchange& exchange) {
    const ChatCall chat = ReadChat(ReadObject(exchange.Request().body));
    const std::string base = chat.model.substr(0, chat.model.find(':'));
    {
      const std::lock_guard lock(this->mutex);
      const bool has_adapter =
          base == chat.model || this->items.contains(chat.model);
      if (!this->items.contains(base) || !has_adapter ||
          this->host.faults.Get("refuse") > 0 ||
          this->running >= this->host.options.max_running) {
        Refuse(exchange, "not loaded or full");
        return;
      }
      ++this->running;
      this->events.push_back({chat.model, fmt::format("{:016x}", chat.seed)});
    }
    if (chat.poison) {
      LogError("crash", {{"cause", "poison"}});
      std::_Exit(EXIT_FAILURE);
    }
    this->Generate(exchange, chat);
    const std::lock_guard lock(this->mutex);
    --this->running;
  }

  void Generate(HttpExchange& exchange, const ChatCall& chat) {
    const std::string id(exchange.Request().Header("X-Attempt"));
    exchange.StartStream({.content_type = "text/event-stream"});
    const auto break_after =
        static_cast<std::size_t>(this->host.faults.Get("break_after"));
    for (std::size_t i = chat.resumed; i < chat.max_tokens; ++i) {
      const double slow = this->host.faults.Get("token_ms");
      Sleep(std::chrono::milliseconds(
          slow > 0 ? static_cast<std::int64_t>(slow)
                   : static_cast<std::int64_t>(this->host.options.token_ms)));
      {
        const std::lock_guard lock(this->mutex);
        if (this->cancelled.erase(id) > 0) {
          break;
        }
      }
      if (break_after > 0 && i == break_after) {
        this->host.faults.Set({{"break_after", 0}});
        exchange.FinishStream(false);
        return;
      }
      const std::string token = fmt::format(
          "t{}-{:04x} ", i, Hash64(fmt::format("{}", i), chat.seed) & 0xffff);
      if (!exchange.Write(Event(token, ""))) {
        return;
      }
    }
    (void)exchange.Write(Event("", "stop") + "data: [DONE]\n\n");
    exchange.FinishStream(true);
  }

  static std::string Event(const std::string& token,
                           const std::string& finish_reason) {
    json::object choice{{"index", 0},
                        {"delta", json::object{{"content", token}}},
                        {"finish_reason", nullptr}};
    if (!finish_reason.empty()) {
      choice["finish_reason"] = finish_reason;
    }
    return "data: " +
           json::serialize(
               json::object{{"object", "chat.completion.chunk"},
                            {"choices", json::array{std::move(choice)}}}) +
           "\n\n";
  }

  void ShowState(HttpExchange& exchange) {
    const std::lock_guard lock(this->mutex);
    json::array shown;
    for (const auto& [name, item] : this->items) {
      shown.push_back(json::object{
          {"item", name}, {"kind", item.kind}, {"bytes", item.bytes}});
    }
    RespondJson(exchange, 200,
                {{"incarnation", this->incarnation},
                 {"fencing", this->fencing},
                 {"capacity_bytes", this->host.options.memory_bytes},
                 {"role", this->role},
                 {"items", std::move(shown)},
                 {"kv_used_bytes", 0},
                 {"running", this->running},
                 {"waiting", 0},
                 {"queued_tokens", 0},
                 {"cancels", this->cancels},
                 {"most_bytes", this->most_bytes},
                 {"overcommitted", this->overcommitted}});
  }

  void ShowEvents(HttpExchange& exchange) {
    const std::lock_guard lock(this->mutex);
    json::array shown;
    std::uint64_t offset = 0;
    for (const auto& [model, prefix] : this->events) {
      shown.push_back(json::object{{"offset", offset++},
                                   {"kind", "stored"},
                                   {"model", model},
                                   {"prefix_hash", prefix}});
    }
    RespondJson(exchange, 200,
                {{"next", offset}, {"events", std::move(shown)}});
  }

  void Order(HttpExchange& exchange) {
    const json::object order = ReadObject(exchange.Request().body);
    Sleep(std::chrono::milliseconds(
        static_cast<std::int64_t>(this->host.faults.Get("late_orders_ms"))));
    const std::uint64_t token = NumberAt(order, "fencing");
    {
      const std::lock_guard lock(this->mutex);
      if (!this->host.options.ignores_fencing && token < this->fencing) {
        RespondJson(exchange, 409, {{"reason", "fenced"}});
        return;
      }
      this->fencing = std::max(this->fencing, token);
    }
    const std::string kind = TextAt(order, "kind");
    const bool done =
        this->Carry(kind, TextAt(order, "item"), NumberAt(order, "bytes"));
    if (this->host.faults.Take("lose_order_answer")) {
      exchange.StartStream({});
      exchange.FinishStream(false);
      return;
    }
    if (done) {
      RespondJson(exchange, 200, {{"done", true}});
    } else {
      RespondJson(exchange, 409, {{"reason", "no_memory"}});
    }
  }

  // Carries an order out; false if the engine has no memory for it.
  bool Carry(const std::string& kind,
             const std::string& name,
             std::uint64_t bytes) {
    if (kind == "unload" || kind == "unload_adapter") {
      const std::lock_guard lock(this->mutex);
      this->items.erase(name);
      return true;
    }
    if (kind == "role") {
      const std::lock_guard lock(this->mutex);
      this->role = name;
      return true;
    }
    if (kind != "load" && kind != "load_adapter") {
      return true;
    }
    {
      const std::lock_guard lock(this->mutex);
      if (this->items.contains(name)) {
        return true;
      }
      // A real engine would fail here; the stand-in records it so that a test
      // can see it.
      std::uint64_t used = bytes;
      for (const auto& [other, item] : this->items) {
        used += item.bytes;
      }
      this->most_bytes = std::max(this->most_bytes, used);
      if (used > this->host.options.memory_bytes) {
        this->overcommitted = true;
        return false;
      }
      this->items[name] = {"loading", bytes};
    }
    if (kind == "load" && !this->FetchWeights(name, bytes)) {
      const std::lock_guard lock(this->mutex);
      this->items.erase(name);
      return false;
    }
    const std::lock_guard lock(this->mutex);
    this->items[name] = {kind == "load" ? "model" : "adapter", bytes};
    return true;
  }

  bool FetchWeights(const std::string& name, std::uint64_t bytes) {
    const auto store = ParseAddress(this->host.options.store);
    if (!store) {
      return true;
    }
    const HttpResult result = this->host.http.Fetch(
        {.address = *store,
         .method = "POST",
         .path = "/loads",
         .body =
             json::serialize(json::object{{"model", name}, {"bytes", bytes}})},
        this->host.clock.Now() + std::chrono::seconds(60));
    return result.complete && result.status == 200;
  }

  Host& host;
  std::mutex mutex;
  std::uint64_t incarnation = EntropySeed() >> 1;
  std::uint64_t fencing = 0;
  std::string role = "serve";
  std::map<std::string, Item> items;
  std::set<std::string> cancelled;
  std::uint64_t cancels = 0;
  std::uint64_t running = 0;
  std::uint64_t most_bytes = 0;
  bool overcommitted = false;
  std::deque<std::pair<std::string, std::string>> events;
};

}  // namespace

int RunEngine(const Options& options) {
  Host host(options);
  Engine engine(host);
  host.Run([&engine](HttpExchange& exchange) { engine.Handle(exchange); });
  return EXIT_SUCCESS;
}

}  // namespace pimentospar::standin
