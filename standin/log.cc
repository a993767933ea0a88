#include <charconv>
#include <deque>

#include "standin.h"

namespace pimentospar::standin {

namespace {

namespace json = boost::json;

struct Record {
  std::uint64_t offset = 0;
  std::int64_t time_ms = 0;
  std::string body;
};

struct Stream {
  std::deque<Record> records;
  std::uint64_t next = 1;
};

std::uint64_t QueryNumber(std::string_view query,
                          std::string_view key,
                          std::uint64_t fallback) {
  const std::string prefix = std::string(key) + "=";
  std::size_t at = query.find(prefix);
  if (at == std::string_view::npos) {
    return fallback;
  }
  query.remove_prefix(at + prefix.size());
  std::uint64_t number = fallback;
  std::from_chars(query.data(), query.data() + query.size(), number);
  return number;
}

// The append-only log service. Faults: `down` (no connection is answered),
// `delay_ms`, `lose_answer` (appends that take effect but are not answered),
// `refuse` (answers 503).
class Log {
 public:
  explicit Log(Host& host) : host(host) {}

  void Handle(HttpExchange& exchange) {
    Sleep(std::chrono::milliseconds(
        static_cast<std::int64_t>(this->host.faults.Get("delay_ms"))));
    if (this->host.faults.Get("down") > 0) {
      exchange.StartStream({});
      exchange.FinishStream(false);
      return;
    }
    constexpr std::string_view kPrefix = "/v1/streams/";
    constexpr std::string_view kSuffix = "/records";
    std::string_view path = exchange.Request().path;
    if (!path.starts_with(kPrefix) || !path.ends_with(kSuffix)) {
      RespondJson(exchange, 404, {{"error", "not found"}});
      return;
    }
    path.remove_prefix(kPrefix.size());
    path.remove_suffix(kSuffix.size());
    if (exchange.Request().method == "POST") {
      this->Append(exchange, std::string(path));
    } else {
      this->Read(exchange, std::string(path));
    }
  }

 private:
  void Append(HttpExchange& exchange, const std::string& name) {
    if (this->host.faults.Take("refuse")) {
      RespondJson(exchange, 429, {{"error", "refused"}});
      return;
    }
    std::uint64_t offset = 0;
    {
      const std::lock_guard lock(this->mutex);
      Stream& stream = this->streams[name];
      offset = stream.next++;
      stream.records.push_back(
          {offset, this->host.clock.WallNow().time_since_epoch().count(),
           exchange.Request().body});
      if (stream.records.size() > this->host.options.retention_records) {
        stream.records.pop_front();
      }
    }
    if (this->host.faults.Take("lose_answer")) {
      exchange.StartStream({});
      exchange.FinishStream(false);
      return;
    }
    RespondJson(exchange, 200, {{"offset", offset}});
  }

  void Read(HttpExchange& exchange, const std::string& name) {
    const std::string& query = exchange.Request().query;
    const std::uint64_t from = QueryNumber(query, "from", 0);
    const std::uint64_t max = QueryNumber(query, "max", 100);
    json::array records;
    std::uint64_t first = 1;
    std::uint64_t next = 1;
    {
      const std::lock_guard lock(this->mutex);
      const Stream& stream = this->streams[name];
      first =
          stream.records.empty() ? stream.next : stream.records.front().offset;
      next = std::max(from, first);
      const std::size_t start = next < stream.next
                                    ? static_cast<std::size_t>(next - first)
                                    : stream.records.size();
      for (std::size_t i = start;
           i < stream.records.size() && records.size() < max; ++i) {
        const Record& record = stream.records[i];
        records.push_back(json::object{{"offset", record.offset},
                                       {"time_ms", record.time_ms},
                                       {"body", record.body}});
        next = record.offset + 1;
      }
    }
    RespondJson(
        exchange, 200,
        {{"first", first}, {"next", next}, {"records", std::move(records)}});
  }

  Host& host;
  std::mutex mutex;
  std::map<std::string, Stream> streams;
};

}  // namespace

int RunLog(const Options& options) {
  Host host(options);
  Log log(host);
  host.Run([&log](HttpExchange& exchange) { log.Handle(exchange); });
  return EXIT_SUCCESS;
}

}  // namespace pimentospar::standin
