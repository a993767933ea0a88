#include "standin.h"

#include <boost/fiber/operations.hpp>
#include <csignal>

#include "net/log_line.h"

namespace pimentospar::standin {

namespace json = boost::json;

double Faults::Get(const std::string& name) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->values.find(name);
  return found == this->values.end() ? 0.0 : found->second;
}

bool Faults::Take(const std::string& name) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->values.find(name);
  if (found == this->values.end() || found->second < 1.0) {
    return false;
  }
  found->second -= 1.0;
  return true;
}

void Faults::Set(const json::object& wanted) {
  const std::lock_guard lock(this->mutex);
  for (const json::key_value_pair& item : wanted) {
    this->values[std::string(item.key())] =
        item.value().is_number() ? item.value().to_number<double>() : 0.0;
  }
}

json::object Faults::ToJson() const {
  const std::lock_guard lock(this->mutex);
  json::object object;
  for (const auto& [name, value] : this->values) {
    object[name] = value;
  }
  return object;
}

Host::Host(const Options& options)
    : options(options),
      http(this->io),
      worker(4096, 4096),
      background(256, 64) {}

bool Host::HandleFaults(HttpExchange& exchange) {
  if (exchange.Request().path != "/faults") {
    return false;
  }
  this->faults.Set(ReadObject(exchange.Request().body));
  RespondJson(exchange, 200, this->faults.ToJson());
  return true;
}

void Host::Run(Handler handler) {
  SetUpLog("info");
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  const HttpLimits limits{.max_body_bytes = std::uint64_t{64} << 20,
                          .idle_timeout = std::chrono::hours(1)};
  const Address address =
      ParseAddress(this->options.address).value_or(Address{"127.0.0.1", 0});
  const HttpServer server(
      this->io, address.ToEndpoint(), limits, this->metrics,
      [this, &handler](const std::shared_ptr<HttpExchange>& exchange) {
        return this->worker.TryRun([this, &handler, exchange] {
          if (!this->HandleFaults(*exchange)) {
            handler(*exchange);
          }
        });
      });
  LogInfo("listening",
          {{"purpose", "standin"},
           {"address", ToString(FromEndpoint(server.LocalEndpoint()))}});
  int signal = 0;
  sigwait(&signals, &signal);
  std::_Exit(EXIT_SUCCESS);
}

json::object ReadObject(const std::string& body) {
  json::error_code error;
  json::value value = json::parse(body, error);
  return !error && value.is_object() ? std::move(value.get_object())
                                     : json::object();
}

std::string TextAt(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : "";
}

std::uint64_t NumberAt(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  json::error_code error;
  const auto number = value != nullptr && value->is_number()
                          ? value->to_number<std::uint64_t>(error)
                          : 0;
  return error ? 0 : number;
}

void RespondJson(HttpExchange& exchange,
                 unsigned status,
                 const json::value& body) {
  exchange.Respond({.status = status, .body = json::serialize(body)});
}

void Sleep(std::chrono::milliseconds time) {
  if (time.count() > 0) {
    boost::this_fiber::sleep_for(time);
  }
}

}  // namespace pimentospar::standin
