#include "entry/entry.h"

#include <array>
#include <boost/json.hpp>
#include <thread>

#include "entry/chat_handler.h"
#include "entry/service_handler.h"
#include "net/log_line.h"

namespace pimentospar {

namespace {

using Filter = std::variant<DeadlineFilter,
                            AuthenticateFilter,
                            ValidateFilter,
                            AuthorizeFilter>;

// A request may still arrive on a connection that was open when the entry
// stopped accepting; after this time the connection is closed as idle.
constexpr std::chrono::milliseconds kCloseGracePeriod{1'000};

// Interval at which the entry checks which agents to poll.
constexpr std::chrono::milliseconds kLoadPollCheckInterval{50};
constexpr std::chrono::milliseconds kLoadPollTimeout{500};

}  // namespace

Entry::Entry(Process& process) : process(process), router(process) {
  process.SetOnHosts([this](std::span<const ListedHost> hosts) {
    this->directory.Update(hosts);
    this->UpdateRouter();
  });
  process.SetOnMember([this](const MemberUpdate& member) {
    this->directory.Update(member);
    this->UpdateRouter();
  });
  process.SetOnStrike([this](const StrikeReport& report) {
    this->router.ImportStrikes({&report, 1});
  });
}

void Entry::UpdateRouter() {
  if (const ActiveConfigPtr active = this->process.config.Get()) {
    this->router.UpdateAgents(this->directory.Agents(), active->configuration);
  }
}

void Entry::Start() {
  const Settings& settings = this->process.settings;
  this->server = std::make_unique<HttpServer>(
      this->process.io,
      ParseAddress(settings.caller_address).value_or(Address{}).ToEndpoint(),
      LimitsFrom(settings), this->process.metrics,
      [this](const std::shared_ptr<HttpExchange>& exchange) {
        return this->OnRequest(exchange);
      });
  LogInfo("listening",
          {{"purpose", "caller"},
           {"address", ToString(FromEndpoint(this->server->LocalEndpoint()))}});
  this->process.Repeat(kLoadPollCheckInterval, [this] { this->PollLoad(); });
}

void Entry::PollLoad() {
  for (const KnownAgent& agent : this->router.TakeAgentsToPoll()) {
    // Each poll has its own fiber, so that an agent that does not answer does
    // not delay the others.
    (void)this->process.control.TryRun([this, agent] {
      const auto load = this->process.agents.FetchLoad(
          agent.address, this->process.clock.Now() + kLoadPollTimeout);
      if (load) {
        this->router.OnLoadReport(agent.target, *load);
      }
    });
  }
}

PeerUpdate Entry::OnConfigSince(std::optional<ConfigVersion> version) {
  return this->process.config_feed.UpdateSince(version);
}

void Entry::StopAccepting() {
  this->server->StopAccepting();
  const TimePoint deadline = this->process.clock.Now() + kCloseGracePeriod;
  while (!this->server->IsClosed() && this->process.clock.Now() < deadline) {
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
}

std::size_t Entry::InFlight() const {
  return std::max(this->process.worker.Running(),
                  this->server->ActiveRequests());
}

std::string Entry::Missing() const {
  if (this->process.config.Get() == nullptr) {
    return "configuration";
  }
  return this->directory.Agents().empty() ? "agents" : "";
}

bool Entry::OnRequest(const std::shared_ptr<HttpExchange>& exchange) {
  return this->process.worker.TryRun([this, exchange] {
    {
      const std::lock_guard lock(this->mutex);
      this->in_flight[exchange.get()] = exchange->Request().path;
    }
    this->Handle(exchange);
    const std::lock_guard lock(this->mutex);
    this->in_flight.erase(exchange.get());
  });
}

void Entry::LogCutOff() const {
  const std::lock_guard lock(this->mutex);
  for (const auto& [exchange, path] : this->in_flight) {
    LogError("request_cut_off", {{"path", path}});
  }
}

void Entry::Handle(const std::shared_ptr<HttpExchange>& exchange) {
  RequestContext context;
  context.exchange = exchange;
  context.received = this->process.clock.Now();
  context.config = this->process.config.Get();
  this->process.metrics.Count(CountedEvent::kRequestStarted);
  if (this->process.IsDraining()) {
    this->Refuse(context, {.reason = Reason::kDraining,
                           .detail = "the entry is stopping"});
    return;
  }
  if (context.config == nullptr) {
    this->Refuse(context, {.reason = Reason::kNotReady,
                           .detail = "the configuration is not loaded yet",
                           .retry_after = std::chrono::seconds(1)});
    return;
  }
  if (exchange->Request().path == "/v1/models") {
    this->ListModels(context);
    return;
  }
  if (auto error = this->RunFilters(context)) {
    this->Refuse(context, *error);
    return;
  }
  this->router.OnRequest();
  if (std::holds_alternative<ChatRequest>(context.request)) {
    ChatHandler(this->Dependencies(), context).Run();
  } else {
    this->ServeService(context);
  }
  this->process.metrics.RecordRequestTime(this->process.clock.Now() -
                                          context.received);
}

FilterResult Entry::RunFilters(RequestContext& context) const {
  const std::array<Filter, 4> filters = {DeadlineFilter{this->process.settings},
                                         AuthenticateFilter{}, ValidateFilter{},
                                         AuthorizeFilter{}};
  for (const Filter& filter : filters) {
    auto error =
        std::visit([&](const auto& step) { return step(context); }, filter);
    if (error) {
      return error;
    }
  }
  return std::nullopt;
}

void Entry::Refuse(const RequestContext& context, const RequestError& error) {
  this->process.metrics.CountRefusal(error.reason);
  LogInfo("request_refused", {{"reason", CodeOf(error.reason)},
                              {"executed", ToString(error.executed)},
                              {"owner", context.owner.value},
                              {"detail", error.detail}});
  context.exchange->Respond(ProblemResponse(error.reason, error.executed,
                                            error.detail, error.attempts,
                                            error.retry_after));
}

void Entry::ListModels(const RequestContext& context) {
  RequestContext authenticated = context;
  if (auto error = AuthenticateFilter{}(authenticated)) {
    this->Refuse(context, *error);
    return;
  }
  boost::json::array data;
  const Configuration& configuration = context.config->configuration;
  for (const OwnerConfig& owner : configuration.owners) {
    if (owner.id != authenticated.owner) {
      continue;
    }
    for (const ModelConfig& model : configuration.models) {
      if (!MayUse(owner, model.id)) {
        continue;
      }
      data.push_back(boost::json::object{{"id", model.id.value},
                                         {"object", "model"},
                                         {"owned_by", model.owner.value}});
    }
  }
  context.exchange->Respond({.body = boost::json::serialize(boost::json::object{
                                 {"object", "list"}, {"data", data}})});
}

void Entry::ServeService(const RequestContext& context) {
  const auto result = ServiceHandler(this->Dependencies(), context).Run();
  if (const auto* error = std::get_if<RequestError>(&result)) {
    this->Refuse(context, *error);
    return;
  }
  const auto& outcome = std::get<OutcomeMessage>(result);
  this->process.metrics.Count(CountedEvent::kRequestCompleted);
  context.exchange->Respond({.status = outcome.status, .body = outcome.body});
}

}  // namespace pimentospar
