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

// A connection that was open when the entry stopped may still bring a request
// that is on its way; after this time it is closed as idle.
constexpr std::chrono::milliseconds kLastRequestTime{1'000};

// How often it is checked whether agents must be asked for their load.
constexpr std::chrono::milliseconds kAskStep{50};
constexpr std::chrono::milliseconds kAskTimeout{500};

}  // namespace

Entry::Entry(Process& process) : process(process), routing(process) {
  process.SetOnHosts([this](std::span<const ListedHost> hosts) {
    this->directory.Update(hosts);
    this->UpdateRouting();
  });
  process.SetOnMember([this](const MemberUpdate& member) {
    this->directory.Update(member);
    this->UpdateRouting();
  });
  process.SetOnStrike([this](const StrikeReport& report) {
    this->routing.ImportStrikes({&report, 1});
  });
}

void Entry::UpdateRouting() {
  if (const ActiveConfigPtr active = this->process.config.Get()) {
    this->routing.OnAgents(this->directory.Agents(), active->configuration);
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
  this->process.Repeat(kAskStep, [this] { this->AskForLoad(); });
}

void Entry::AskForLoad() {
  for (const KnownAgent& agent : this->routing.TakeToAsk()) {
    // Agents that do not answer must not delay the others.
    (void)this->process.control.TryRun([this, agent] {
      const auto load = this->process.agents.FetchLoad(
          agent.address, this->process.clock.Now() + kAskTimeout);
      if (load) {
        this->routing.OnLoad(agent.target, *load);
      }
    });
  }
}

PeerUpdate Entry::OnConfigSince(std::optional<ConfigVersion> version) {
  return this->process.config_feed.UpdateSince(version);
}

void Entry::StopAccepting() {
  this->server->StopAccepting();
  const TimePoint limit = this->process.clock.Now() + kLastRequestTime;
  while (!this->server->IsClosed() && this->process.clock.Now() < limit) {
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
                           .detail = "no configuration yet",
                           .retry_after = std::chrono::seconds(1)});
    return;
  }
  if (exchange->Request().path == "/v1/models") {
    this->ListModels(context);
    return;
  }
  if (auto problem = this->Prepare(context)) {
    this->Refuse(context, *problem);
    return;
  }
  this->routing.OnRequest();
  if (std::holds_alternative<ChatRequest>(context.request)) {
    ChatHandler(this->Parts(), context).Run();
  } else {
    this->ServeService(context);
  }
  this->process.metrics.RecordRequestTime(this->process.clock.Now() -
                                          context.received);
}

FilterResult Entry::Prepare(RequestContext& context) const {
  const std::array<Filter, 4> filters = {DeadlineFilter{this->process.settings},
                                         AuthenticateFilter{}, ValidateFilter{},
                                         AuthorizeFilter{}};
  for (const Filter& filter : filters) {
    auto problem =
        std::visit([&](const auto& step) { return step(context); }, filter);
    if (problem) {
      return problem;
    }
  }
  return std::nullopt;
}

void Entry::Refuse(const RequestContext& context, const Problem& problem) {
  this->process.metrics.CountRefusal(problem.reason);
  LogInfo("request_refused", {{"reason", CodeOf(problem.reason)},
                              {"executed", ToString(problem.executed)},
                              {"owner", context.owner.value},
                              {"detail", problem.detail}});
  context.exchange->Respond(ProblemResponse(problem.reason, problem.executed,
                                            problem.detail, problem.attempts,
                                            problem.retry_after));
}

void Entry::ListModels(const RequestContext& context) {
  RequestContext authenticated = context;
  if (auto problem = AuthenticateFilter{}(authenticated)) {
    this->Refuse(context, *problem);
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
  const auto result = ServiceHandler(this->Parts(), context).Run();
  if (const auto* problem = std::get_if<Problem>(&result)) {
    this->Refuse(context, *problem);
    return;
  }
  const auto& outcome = std::get<OutcomeMessage>(result);
  this->process.metrics.Count(CountedEvent::kRequestCompleted);
  context.exchange->Respond({.status = outcome.status, .body = outcome.body});
}

}  // namespace pimentospar
