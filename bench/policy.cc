#include <popt.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <future>
#include <string>
#include <vector>

#include "fake_policies.h"

namespace pimentospar::bench {
namespace {

constexpr std::size_t kMinutes = 60;
constexpr int kStepsPerSecond = 4;
constexpr double kGoal = 0.95;
// Runs of different seeds are independent; four at a time.
constexpr std::uint64_t kParallel = 4;

enum class PolicyKind : std::uint8_t {
  kStatic,
  kStaticFilled,
  kOnDemand,
  kPlanned,
  kOracle
};

constexpr std::array<std::pair<PolicyKind, const char*>, 5> kPolicies = {
    {{PolicyKind::kStatic, "static"},
     {PolicyKind::kStaticFilled, "static-filled"},
     {PolicyKind::kOnDemand, "on-demand"},
     {PolicyKind::kPlanned, "planned"},
     {PolicyKind::kOracle, "oracle"}}};

struct Options {
  std::uint64_t seed = 1;
  std::uint64_t seeds = 20;
  std::string deployment = "cradlecross";
  std::size_t accelerators = 0;
  std::vector<std::string> demands;
  std::size_t minutes = kMinutes;
};

struct Totals {
  double attainment = 0;
  double worst_attainment = 1;
  double moves = 0;
  double adapter_loads = 0;
  double link_gigabytes = 0;
  double step_seconds = 0;
};

AnyPolicy MakePolicy(PolicyKind kind,
                     FakeEngines& engines,
                     const DemandPlan& plan) {
  switch (kind) {
    case PolicyKind::kStatic:
    case PolicyKind::kStaticFilled:
      return AnyPolicy(std::in_place_type<StaticPolicy>, engines);
    case PolicyKind::kOnDemand:
      return AnyPolicy(std::in_place_type<OnDemandPolicy>, engines);
    case PolicyKind::kPlanned:
      return AnyPolicy(std::in_place_type<PlannedPolicy>, engines);
    case PolicyKind::kOracle:
      break;
  }
  return AnyPolicy(std::in_place_type<OraclePolicy>, engines, plan);
}

void ArriveAll(FakeEngines& engines,
               AnyPolicy& policy,
               const std::vector<double>& rates,
               double seconds,
               RandomSource& random) {
  for (std::size_t model = 0; model < rates.size(); ++model) {
    const std::size_t count = DrawPoisson(rates[model] * seconds, random);
    for (std::size_t i = 0; i < count; ++i) {
      FakeRequest request{model, -1, random.NextBelow(3),
                          engines.now + seconds * random.NextDouble()};
      const auto& adapters = engines.models[model].adapters;
      if (!adapters.empty() && random.NextDouble() < 0.7) {
        const double pick = random.NextDouble() * random.NextDouble();
        request.adapter = static_cast<int>(adapters[static_cast<std::size_t>(
            pick * static_cast<double>(adapters.size()))]);
      }
      engines.Arrive(request);
      std::visit([&](auto& chosen) { chosen.OnRequest(request); }, policy);
    }
  }
}

// Adds copies of the models with the highest rate per copy where most memory is
// free, up to six each, and leaves two fifths of each target for KV cache.
void FillMemory(FakeEngines& engines, const std::vector<double>& rates) {
  std::vector<std::size_t> order(rates.size());
  std::iota(order.begin(), order.end(), 0);
  for (bool placed = true; placed;) {
    placed = false;
    std::ranges::stable_sort(order, std::greater<>(), [&](std::size_t model) {
      return rates[model] /
             static_cast<double>(engines.holders[model].size() + 1);
    });
    for (const std::size_t model : order) {
      std::size_t best = engines.targets.size();
      double best_room = 0;
      for (std::size_t i = 0; i < engines.targets.size(); ++i) {
        FakeTarget& target = engines.targets[i];
        const double room =
            engines.FreeBytes(target) - engines.models[model].weight_bytes -
            0.4 * engines.costs.memory_bytes * target.accelerators;
        if (target.Find(model) == nullptr && room > best_room) {
          best = i;
          best_room = room;
        }
      }
      if (best < engines.targets.size() && engines.holders[model].size() < 6) {
        engines.Place(best, model);
        placed = true;
        break;
      }
    }
  }
}

// All policies start from a placement made for the mean demand of the run; that
// of `static-filled` also uses the rest of the memory for more copies.
void PlaceFirst(FakeEngines& engines, const DemandPlan& plan, bool fill) {
  PlacementSolver solver(engines);
  for (const PlacementOrder& move : solver.Solve(plan.Mean())) {
    const std::size_t target = IndexOf(move.target.value);
    const std::size_t model = IndexOf(move.model.value);
    if (move.kind == PlacementOrderKind::kLoad) {
      engines.Place(target, model);
    } else if (move.kind == PlacementOrderKind::kUnload) {
      engines.Unload(target, model, true);
    }
  }
  engines.result = {};
  if (fill) {
    FillMemory(engines, plan.Mean());
  }
}

Totals RunOnce(const Options& options,
               PolicyKind kind,
               const std::string& demand,
               std::size_t accelerators,
               std::uint64_t seed) {
  const Deployment deployment = DeploymentOf(options.deployment);
  SeededRandom world(seed);
  SeededRandom routing(seed + 1'000'000);
  SeededRandom arrivals(seed + 2'000'000);
  auto models = DrawModels(deployment, world);
  const DemandPlan plan =
      DrawDemand(deployment, demand, options.minutes, world);
  FakeEngines engines(deployment, std::move(models), accelerators, routing);
  PlaceFirst(engines, plan, kind == PolicyKind::kStaticFilled);
  AnyPolicy policy = MakePolicy(kind, engines, plan);
  const std::size_t seconds = options.minutes * 60;
  for (std::size_t second = 0; second < seconds; ++second) {
    const auto lost = static_cast<std::size_t>(plan.lost_data_centre);
    if (plan.lost_data_centre >= 0 &&
        (second == seconds / 3 || second == 2 * seconds / 3)) {
      engines.SetLive(lost, second > seconds / 2);
    }
    std::visit([&](auto& chosen) { chosen.Second(second); }, policy);
    const auto rates = plan.At(second / 60);
    for (int step = 0; step < kStepsPerSecond; ++step) {
      ArriveAll(engines, policy, rates, 1.0 / kStepsPerSecond, arrivals);
      engines.Step(1.0 / kStepsPerSecond);
    }
  }
  Totals totals;
  totals.attainment =
      engines.result.attained / std::max(1.0, engines.result.requests);
  totals.moves =
      static_cast<double>(engines.result.loads + engines.result.unloads);
  totals.adapter_loads = static_cast<double>(engines.result.adapter_loads);
  totals.link_gigabytes = engines.result.link_bytes / 1e9;
  if (const auto* planned = std::get_if<PlannedPolicy>(&policy)) {
    totals.step_seconds = planned->step_seconds;
  }
  return totals;
}

// Means over all seeds; the worst attainment and step time of any.
Totals RunSeeds(const Options& options,
                PolicyKind kind,
                const std::string& demand,
                std::size_t accelerators) {
  Totals mean;
  for (std::uint64_t first = 0; first < options.seeds; first += kParallel) {
    std::vector<std::future<Totals>> running;
    for (std::uint64_t i = first;
         i < std::min(options.seeds, first + kParallel); ++i) {
      running.push_back(std::async(std::launch::async, [&, i] {
        return RunOnce(options, kind, demand, accelerators, options.seed + i);
      }));
    }
    for (auto& future : running) {
      const Totals one = future.get();
      const auto count = static_cast<double>(options.seeds);
      mean.attainment += one.attainment / count;
      mean.worst_attainment = std::min(mean.worst_attainment, one.attainment);
      mean.moves += one.moves / count;
      mean.adapter_loads += one.adapter_loads / count;
      mean.link_gigabytes += one.link_gigabytes / count;
      mean.step_seconds = std::max(mean.step_seconds, one.step_seconds);
    }
  }
  return mean;
}

// Fewest accelerators with the goal's mean attainment over the seeds, by
// bisection.
std::size_t FewestAccelerators(const Options& options,
                               PolicyKind kind,
                               const std::string& demand) {
  const Deployment deployment = DeploymentOf(options.deployment);
  std::size_t low = 1;
  std::size_t high = 4 * deployment.runners;
  while (low < high) {
    const std::size_t middle = (low + high) / 2;
    if (RunSeeds(options, kind, demand, middle).attainment >= kGoal) {
      high = middle;
    } else {
      low = middle + 1;
    }
  }
  return low;
}

void Run(const Options& options) {
  const Deployment deployment = DeploymentOf(options.deployment);
  const bool large = deployment.models > 500;
  const std::size_t accelerators = options.accelerators != 0
                                       ? options.accelerators
                                   : large ? 2500
                                           : deployment.runners;
  for (const std::string& demand : options.demands) {
    for (const auto& [kind, name] : kPolicies) {
      if (large && kind == PolicyKind::kOracle) {
        continue;
      }
      const Totals totals = RunSeeds(options, kind, demand, accelerators);
      const std::size_t fewest =
          large ? 0 : FewestAccelerators(options, kind, demand);
      std::printf(
          "deployment=%s demand=%s policy=%s seeds=%llu accelerators=%zu "
          "attainment=%.4f worst_attainment=%.4f "
          "attainment_per_accelerator=%.5f moves=%.1f adapter_loads=%.0f "
          "link_gb=%.0f step_ms=%.2f fewest_accelerators=%zu\n",
          options.deployment.c_str(), demand.c_str(), name,
          static_cast<unsigned long long>(options.seeds), accelerators,
          totals.attainment, totals.worst_attainment,
          totals.attainment / static_cast<double>(accelerators), totals.moves,
          totals.adapter_loads, totals.link_gigabytes,
          totals.step_seconds * 1000, fewest);
      std::fflush(stdout);
    }
  }
}

// Returns false after a message if the command line is wrong.
bool ReadOptions(int argc, char** argv, Options& options) {
  int seed = 1;
  int seeds = 20;
  int accelerators = 0;
  int minutes = kMinutes;
  char* deployment = nullptr;
  char* demand = nullptr;
  const std::array<poptOption, 8> table = {
      {{"seed", 0, POPT_ARG_INT, &seed, 0, "first seed", "N"},
       {"seeds", 0, POPT_ARG_INT, &seeds, 0, "number of seeds", "N"},
       {"deployment", 0, POPT_ARG_STRING, &deployment, 0,
        "stoneworks, cradlecross or target", "NAME"},
       {"accelerators", 0, POPT_ARG_INT, &accelerators, 0,
        "number of accelerators", "K"},
       {"minutes", 0, POPT_ARG_INT, &minutes, 0, "simulated time", "N"},
       {"demand", 0, POPT_ARG_STRING, &demand, 0,
        "steady, bursty, shift or loss; all if not given", "NAME"},
       POPT_AUTOHELP POPT_TABLEEND}};
  poptContext context = poptGetContext(
      nullptr, argc, const_cast<const char**>(argv), table.data(), 0);
  const int code = poptGetNextOpt(context);
  poptFreeContext(context);
  if (code < -1 || seeds < 1 || accelerators < 0 || minutes < 3) {
    std::fprintf(stderr, "wrong option: %s\n", poptStrerror(code));
    return false;
  }
  options.seed = static_cast<std::uint64_t>(seed);
  options.seeds = static_cast<std::uint64_t>(seeds);
  options.accelerators = static_cast<std::size_t>(accelerators);
  options.minutes = static_cast<std::size_t>(minutes);
  options.demands = {"steady", "bursty", "shift", "loss"};
  if (deployment != nullptr) {
    options.deployment = deployment;
  }
  if (demand != nullptr) {
    options.demands = {demand};
  }
  std::free(deployment);
  std::free(demand);
  return true;
}

}  // namespace
}  // namespace pimentospar::bench

int main(int argc, char** argv) {
  pimentospar::bench::Options options;
  if (!pimentospar::bench::ReadOptions(argc, argv, options)) {
    return EXIT_FAILURE;
  }
  pimentospar::bench::Run(options);
  return EXIT_SUCCESS;
}
