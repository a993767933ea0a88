#include <algorithm>
#include <boost/fiber/operations.hpp>

#include "gateway/gateway.h"
#include "net/log_line.h"

// The planned stop of an entry.
namespace pimentospar {

namespace {

// The load balancer removes a host after two failed checks a second apart.
constexpr std::chrono::milliseconds kBalancerRemovalTime{2300};
// A request that arrives later than this after the stop signal might not end
// before the process is killed.
constexpr std::chrono::milliseconds kDrainAcceptTime{3000};
// The same as a share of a short grace time.
constexpr double kDrainAcceptShare = 0.375;
// Time reserved for the process to exit before it is killed.
constexpr std::chrono::milliseconds kExitReserve{700};
// Part of that time in which the requests that are left get a final response.
constexpr std::chrono::milliseconds kFinalResponseTime{450};
constexpr std::chrono::milliseconds kFinalResponsePollInterval{10};
constexpr std::chrono::milliseconds kDrainPollInterval{50};

}  // namespace

void Gateway::Drain() {
  const TimePoint start = this->clock.Now();
  this->draining = true;
  this->drain_started = start;
  this->caller_server.BeginDrain();
  this->rate_limits.BeginDrain();
  this->selection_queue.BeginDrain();
  this->lease.StopAcquiring();
  this->loop.Spawn([this] { this->Unregister(); });
  LogInfo("drain_started",
          {{"in_flight", this->caller_server.ActiveRequests()}});
  const Duration limit = this->settings.grace_time - kExitReserve;
  while (this->clock.Now() - start < limit) {
    boost::this_fiber::sleep_for(kDrainPollInterval);
    if (this->clock.Now() - start < kBalancerRemovalTime) {
      continue;
    }
    this->caller_server.CloseIdle();
    if (this->caller_server.ConnectionCount() == 0 &&
        this->caller_server.StopAccepting() == 0) {
      break;
    }
  }
  this->EndRequests();
  LogInfo("drain_ended", {{"in_flight", this->caller_server.ActiveRequests()}});
}

void Gateway::EndRequests() {
  if (this->caller_server.ConnectionCount() == 0) {
    return;
  }
  LogWarning("grace_time_ended",
             {{"in_flight", this->caller_server.ActiveRequests()}});
  (void)this->caller_server.StopAccepting();
  this->grace_time_ended.NotifyAll();
  const TimePoint end = this->clock.Now() + kFinalResponseTime;
  while (this->caller_server.ActiveRequests() > 0 && this->clock.Now() < end) {
    this->caller_server.RefuseIncomplete();
    boost::this_fiber::sleep_for(kFinalResponsePollInterval);
  }
}

bool Gateway::OnCaller(CallerRequest& request, CallerChannel& channel) {
  request.close_after = request.close_after || this->draining;
  RequestHandler handler(this->request_dependencies, request, channel);
  const Duration accept_time = std::min<Duration>(
      kDrainAcceptTime, std::chrono::duration_cast<Duration>(
                            this->settings.grace_time * kDrainAcceptShare));
  const bool refuses_all =
      this->draining && this->clock.Now() - this->drain_started > accept_time;
  return refuses_all ? handler.RefuseDraining() : handler.Run();
}

}  // namespace pimentospar
