#include "daemon/process.h"

#include <boost/fiber/operations.hpp>
#include <boost/json.hpp>

#include "net/log_line.h"
#include "pimentospar/digest.h"

namespace pimentospar {

namespace {

constexpr std::size_t kRingSize = 4096;
// All members of a region together read the configuration stream about four
// times a second; each for itself would cost the log 1,000 reads a second at
// 1,000 processes.
constexpr std::chrono::milliseconds kConfigPollShare{250};
// A row of the host list has about 200 bytes, so that reading costs at most
// 2 KB/s whatever the number of hosts.
constexpr std::chrono::milliseconds kTimePerHostRow{100};
constexpr std::size_t kControlTasks = 4096;

Address AddressOf(const std::string& text) {
  return ParseAddress(text).value_or(Address{});
}

}  // namespace

HttpLimits LimitsFrom(const Settings& settings) {
  return {.max_header_bytes = static_cast<std::uint32_t>(settings.header_bytes),
          .max_body_bytes = settings.body_bytes,
          .max_connections = settings.connections,
          .idle_timeout = settings.idle_time,
          .stall_timeout = settings.stall_time};
}

Process::Process(const Settings& settings)
    : settings(settings),
      random(EntropySeed()),
      instance{this->random.Next()},
      http(this->io),
      rpc(kRingSize),
      agents(this->rpc),
      worker(kRingSize, settings.requests),
      control(kRingSize, kControlTasks),
      log(this->http,
          this->clock,
          AddressOf(settings.log_address),
          this->metrics),
      config_feed(this->log,
                  this->agents,
                  this->config,
                  this->metrics,
                  this->clock,
                  this->random),
      attempt_prefix(this->random.Next()) {}

Process::~Process() {
  this->Stop();
}

void Process::Start(Readiness readiness, AgentHandler& handler) {
  this->readiness = std::move(readiness);
  this->operator_server = std::make_unique<HttpServer>(
      this->io, AddressOf(this->settings.operator_address).ToEndpoint(),
      LimitsFrom(this->settings), this->metrics,
      [this](const std::shared_ptr<HttpExchange>& exchange) {
        return this->HandleOperator(exchange);
      });
  LogInfo("listening",
          {{"purpose", "operator"},
           {"address",
            ToString(FromEndpoint(this->operator_server->LocalEndpoint()))}});
  this->rpc_server = std::make_unique<AgentServer>(
      this->rpc, AddressOf(this->settings.rpc_address), handler);
  LogInfo("listening",
          {{"purpose", "rpc"},
           {"address", ToString(this->rpc_server->LocalAddress())}});
  this->StartGossip();
  this->Repeat(this->settings.config_interval, [this] { this->PollConfig(); });
  this->Repeat(this->settings.hosts_interval, [this] { this->ReadHosts(); });
  // Peers in the settings are asked once, so that a process that starts while
  // the log is down gets its configuration.
  const bool taken = this->control.TryRun([this] {
    for (const std::string& peer : this->settings.peers) {
      this->config_feed.FetchFrom(AddressOf(peer));
    }
  });
  if (!taken) {
    LogError("control_task_refused");
  }
}

Membership::Options Process::GossipOptions() const {
  Membership::Options options;
  options.instance = this->instance;
  options.payload.role = this->settings.GetRole() == Role::kAgent
                             ? MemberRole::kAgent
                             : MemberRole::kEntry;
  options.payload.region = RegionId(this->settings.region);
  options.payload.data_centre = DataCentreId(this->settings.data_centre);
  options.payload.rpc_address =
      RpcAddress(ToString(this->rpc_server->LocalAddress()));
  options.payload.target = TargetId(this->settings.target);
  return options;
}

void Process::StartGossip() {
  if (this->settings.gossip_address.empty()) {
    return;
  }
  GossipCallbacks callbacks;
  callbacks.on_member = [this](const MemberUpdate& member) {
    if (this->on_member) {
      this->on_member(member);
    }
  };
  callbacks.on_strike = [this](const StrikeReport& report) {
    if (this->on_strike) {
      this->on_strike(report);
    }
  };
  callbacks.on_newer_config = [this](const RpcAddress& peer) {
    // The call waits for the peer, so it has a fiber of its own.
    (void)this->control.TryRun([this, address = AddressOf(peer.value)] {
      this->config_feed.FetchFrom(address);
    });
  };
  this->gossip = std::make_unique<GossipDriver>(
      this->io, this->control, this->clock, this->random, this->metrics,
      AddressOf(this->settings.gossip_address), this->GossipOptions(),
      std::move(callbacks));
  LogInfo("listening", {{"purpose", "gossip"},
                        {"address", ToString(this->gossip->LocalAddress())}});
  this->config_feed.SetOnApplied([this](ConfigVersion) {
    this->TickGossip();
    this->gossip->AnnounceConfigVersion();
  });
  constexpr std::chrono::milliseconds kTick{50};
  this->Repeat(kTick, [this] { this->TickGossip(); });
}

void Process::TickGossip() {
  const ActiveConfigPtr active = this->config.Get();
  LoadSummary load;
  std::vector<ModelId> models;
  {
    const std::lock_guard lock(this->target_state_mutex);
    load = this->target_load;
    models = this->target_models;
  }
  this->gossip->SetState(active == nullptr ? ConfigVersion{} : active->version,
                         load, std::move(models));
  if (this->IsDraining() && !this->leave_told) {
    this->leave_told = true;
    this->gossip->Leave();
  }
  this->gossip->Tick();
}

void Process::PollConfig() {
  const TimePoint now = this->clock.Now();
  if (now < this->next_config_poll) {
    return;
  }
  const std::size_t members =
      this->gossip == nullptr ? 0 : this->gossip->Members().size();
  // The first process that reads a change tells the others, so that the members
  // of a region share the polls of the log.
  const Duration shared = kConfigPollShare * members;
  this->next_config_poll =
      now + std::chrono::duration_cast<Duration>(
                shared * (0.5 + this->random.NextDouble()));
  this->config_feed.Poll();
}

void Process::ReadHosts() {
  const TimePoint now = this->clock.Now();
  if (now < this->next_hosts_read) {
    return;
  }
  const auto list = FetchHostList(this->http, this->clock,
                                  AddressOf(this->settings.hosts_address));
  if (!list) {
    return;
  }
  this->next_hosts_read = now + kTimePerHostRow * list->size();
  if (this->on_hosts) {
    this->on_hosts(*list);
  }
  if (this->gossip != nullptr) {
    this->gossip->AddHints(*list);
  }
  if (this->config.Get() != nullptr) {
    return;
  }
  // Without a configuration from the log, any live process may have one.
  for (const ListedHost& host : *list) {
    if (this->config.Get() == nullptr && !this->stopping.load()) {
      this->config_feed.FetchFrom(host.address);
    }
  }
}

void Process::SpreadStrike(const StrikeReport& report) {
  (void)this->control.TryRun([this, report] {
    if (this->gossip != nullptr) {
      this->gossip->AddStrike(report);
    }
  });
}

void Process::SetTargetState(const LoadSummary& load,
                             std::vector<ModelId> models) {
  const std::lock_guard lock(this->target_state_mutex);
  this->target_load = load;
  this->target_models = std::move(models);
}

void Process::Repeat(std::chrono::milliseconds interval,
                     std::function<void()> step) {
  const bool taken =
      this->control.TryRun([this, interval, step = std::move(step)] {
        while (!this->stopping.load()) {
          step();
          // Sleeps in short steps so that the process ends without waiting for
          // long intervals.
          const TimePoint next = this->clock.Now() + interval;
          while (!this->stopping.load() && this->clock.Now() < next) {
            boost::this_fiber::sleep_for(std::min<Duration>(
                next - this->clock.Now(), std::chrono::milliseconds(100)));
          }
        }
      });
  if (!taken) {
    LogError("control_task_refused");
  }
}

AttemptId Process::NextAttempt() {
  return AttemptId{this->attempt_prefix + this->attempts.fetch_add(1)};
}

void Process::Stop() {
  this->stopping.store(true);
  if (this->operator_server != nullptr) {
    this->operator_server->StopAccepting();
  }
  this->worker.Stop();
  this->control.Stop();
  this->rpc.Stop();
  this->io.Stop();
}

bool Process::HandleOperator(const std::shared_ptr<HttpExchange>& exchange) {
  exchange->Respond(this->AnswerOperator(exchange->Request()));
  return true;
}

HttpResponse Process::AnswerOperator(const HttpRequest& request) const {
  if (request.method != "GET") {
    return ProblemResponse(Reason::kMethodNotAllowed, Executed::kNo, "use GET");
  }
  if (request.path == "/healthz") {
    return {.content_type = "text/plain", .body = "ok\n"};
  }
  if (request.path == "/readyz") {
    const std::string missing =
        this->IsDraining() ? "draining" : this->readiness();
    if (missing.empty()) {
      return {.content_type = "text/plain", .body = "ready\n"};
    }
    return ProblemResponse(
        this->IsDraining() ? Reason::kDraining : Reason::kNotReady,
        Executed::kNo, missing);
  }
  constexpr std::string_view kScheme = "Bearer ";
  const std::string_view authorization = request.Header("Authorization");
  if (!authorization.starts_with(kScheme) ||
      Sha256Hex(authorization.substr(kScheme.size())) !=
          this->settings.operator_token_sha256) {
    return ProblemResponse(Reason::kUnauthorized, Executed::kNo,
                           "operators need a token");
  }
  if (request.path == "/metrics") {
    return {.content_type = "text/plain; version=0.0.4",
            .body = this->metrics.Render()};
  }
  if (request.path == "/status") {
    return {.body = this->StatusJson()};
  }
  return ProblemResponse(Reason::kNotFound, Executed::kNo, request.path);
}

std::string Process::StatusJson() const {
  const ActiveConfigPtr active = this->config.Get();
  const TimePoint last_read = this->config.LastLogRead();
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->clock.Now() - last_read);
  boost::json::object status{
      {"instance", std::to_string(this->instance.value)},
      {"host", this->settings.host},
      {"role", this->settings.role},
      {"region", this->settings.region},
      {"data_centre", this->settings.data_centre},
      {"target", this->settings.target},
      {"config_version", active == nullptr ? 0 : active->version.value},
      {"draining", this->IsDraining()},
      {"missing", this->readiness()},
      {"in_flight", this->worker.Running()}};
  if (last_read == TimePoint{}) {
    status["log_age_ms"] = nullptr;
  } else {
    status["log_age_ms"] = age.count();
  }
  return boost::json::serialize(status);
}

}  // namespace pimentospar
