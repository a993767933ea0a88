#ifndef BENCH_FAKE_POLICIES_H_
#define BENCH_FAKE_POLICIES_H_

#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fake_engines.h"
#include "pimentospar/placement.h"
#include "pimentospar/store_share.h"

namespace pimentospar::bench {

inline ModelId ModelName(std::size_t index) {
  return ModelId("m" + std::to_string(index));
}
inline TargetId TargetName(std::size_t index) {
  return TargetId("t" + std::to_string(index));
}
inline AdapterId AdapterName(std::size_t index) {
  return AdapterId("a" + std::to_string(index));
}
inline std::size_t IndexOf(const std::string& name) {
  return std::stoul(name.substr(1));
}

inline Configuration MakeConfiguration(const FakeEngines& engines) {
  Configuration configuration;
  configuration.objective = engines.deployment.objective;
  configuration.store = engines.deployment.store;
  for (std::size_t i = 0; i < engines.models.size(); ++i) {
    const FakeModel& fake = engines.models[i];
    ModelConfig model;
    model.id = ModelName(i);
    model.weight_bytes = static_cast<Bytes>(fake.weight_bytes);
    model.kv_bytes_per_token = static_cast<Bytes>(fake.kv_bytes_per_token);
    for (const std::size_t adapter : fake.adapters) {
      model.adapters.push_back({AdapterName(adapter), 200'000'000});
    }
    configuration.models.push_back(model);
  }
  for (std::size_t i = 0; i < engines.targets.size(); ++i) {
    const FakeTarget& fake = engines.targets[i];
    TargetConfig target;
    target.id = TargetName(i);
    target.region = RegionId("r" + std::to_string(fake.region));
    target.data_centre = DataCentreId("d" + std::to_string(fake.data_centre));
    target.accelerators = static_cast<std::uint32_t>(fake.accelerators);
    target.memory_bytes =
        static_cast<Bytes>(engines.costs.memory_bytes * fake.accelerators);
    configuration.targets.push_back(target);
  }
  return configuration;
}

inline TargetReport MakeReport(const FakeEngines& engines, std::size_t index) {
  const FakeTarget& fake = engines.targets[index];
  TargetReport report;
  report.target = TargetName(index);
  report.live = fake.live;
  report.capacity_bytes =
      static_cast<Bytes>(engines.costs.memory_bytes * fake.accelerators);
  report.adapter_pool_bytes = engines.costs.adapters_per_target * 200'000'000 *
                              static_cast<Bytes>(fake.accelerators);
  for (const FakeCopy& copy : fake.copies) {
    const CopyState state =
        copy.state == FakeState::kLoaded     ? CopyState::kLoaded
        : copy.state == FakeState::kDraining ? CopyState::kUnloading
                                             : CopyState::kLoading;
    report.copies.push_back({ModelName(copy.model), state});
  }
  for (const std::size_t adapter : fake.adapters) {
    report.adapters.push_back(AdapterName(adapter));
  }
  return report;
}

inline Demand DemandOf(const FakeModel& model, double rate) {
  return {rate, model.prompt_tokens, model.output_tokens};
}

/// A placement for known demand, without regard to the cost of moves: the
/// planner runs until it finds nothing better.
class PlacementSolver {
 public:
  explicit PlacementSolver(const FakeEngines& engines)
      : engines(engines),
        planner(clock, MakeConfiguration(engines), Options(engines)) {
    for (std::size_t i = 0; i < engines.targets.size(); ++i) {
      this->planner.OnTarget(MakeReport(engines, i));
    }
  }

  std::vector<PlacementOrder> Solve(const std::vector<double>& rates) {
    for (std::size_t i = 0; i < rates.size(); ++i) {
      this->planner.OnDemand(ModelName(i),
                             DemandOf(this->engines.models[i], rates[i]));
    }
    std::vector<PlacementOrder> all;
    for (int round = 0; round < 200; ++round) {
      this->clock.Advance(std::chrono::seconds(1));
      const std::vector<PlacementOrder> moves = this->planner.Step({4, 0});
      for (const PlacementOrder& move : moves) {
        this->planner.OnTarget(this->Apply(move));
      }
      all.insert(all.end(), moves.begin(), moves.end());
      if (moves.empty()) {
        break;
      }
    }
    return all;
  }

  // Takes over what the engines hold, after a target was lost or is back.
  void Refresh() {
    this->shadow.clear();
    for (std::size_t i = 0; i < this->engines.targets.size(); ++i) {
      this->planner.OnTarget(MakeReport(this->engines, i));
    }
  }

 private:
  static PlacementPlannerOptions Options(const FakeEngines& engines) {
    PlacementPlannerOptions options;
    options.engine = {
        engines.costs.step_seconds, engines.costs.weight_bytes_per_second,
        engines.costs.sequence_seconds, engines.costs.prefill_token_seconds};
    options.attainment_order_cost = options.moves_order_cost = 0.5;
    options.min_stay = Duration{};
    options.demand_change_fraction = 0;
    return options;
  }

  TargetReport Apply(const PlacementOrder& move) {
    const std::size_t target = IndexOf(move.target.value);
    if (this->shadow.empty()) {
      for (std::size_t i = 0; i < this->engines.targets.size(); ++i) {
        this->shadow.push_back(MakeReport(this->engines, i));
      }
    }
    TargetReport& report = this->shadow[target];
    if (move.kind == PlacementOrderKind::kLoad) {
      report.copies.push_back({move.model, CopyState::kLoaded});
    } else {
      std::erase_if(report.copies, [&](const CopyReport& copy) {
        return copy.model == move.model;
      });
    }
    return report;
  }

  const FakeEngines& engines;
  ManualClock clock;
  PlacementPlanner planner;
  std::vector<TargetReport> shadow;
};

/// Keeps the first placement; a target that comes back loads what it had.
class StaticPolicy {
 public:
  explicit StaticPolicy(FakeEngines& engines) : engines(engines) {
    for (const FakeTarget& target : engines.targets) {
      this->first.push_back(target.copies);
    }
  }

  void Second(std::size_t) {
    for (std::size_t i = 0; i < this->first.size(); ++i) {
      if (!this->engines.targets[i].live ||
          !this->engines.targets[i].copies.empty()) {
        continue;
      }
      for (const FakeCopy& copy : this->first[i]) {
        this->engines.Load(i, copy.model);
      }
    }
  }
  void OnRequest(const FakeRequest&) {}

 private:
  FakeEngines& engines;
  std::vector<std::vector<FakeCopy>> first;
};

/// Loads a model when requests for it wait, and unloads what was used the
/// longest ago.
class OnDemandPolicy {
 public:
  explicit OnDemandPolicy(FakeEngines& engines) : engines(engines) {}

  void Second(std::size_t) {
    for (std::size_t model = 0; model < this->engines.models.size(); ++model) {
      if (!this->Loading(model) && this->MustLoad(model)) {
        this->LoadSomewhere(model);
      }
    }
  }
  void OnRequest(const FakeRequest&) {}

 private:
  bool Loading(std::size_t model) {
    return std::ranges::any_of(
        this->engines.targets, [&](const FakeTarget& target) {
          return std::ranges::any_of(target.copies, [&](const FakeCopy& copy) {
            return copy.model == model && copy.state != FakeState::kLoaded;
          });
        });
  }

  // True if no copy exists, or if the first requests in all queues are late.
  bool MustLoad(std::size_t model) {
    if (!this->engines.unplaced[model].empty()) {
      return true;
    }
    const auto& holders = this->engines.holders[model];
    return !holders.empty() &&
           std::ranges::all_of(holders, [&](std::size_t index) {
             const auto& waiting = this->engines.targets[index].waiting;
             return std::ranges::any_of(
                 waiting, [&](const FakeRequest& request) {
                   return request.model == model &&
                          this->engines.now - request.arrival > 1.0;
                 });
           });
  }

  void LoadSomewhere(std::size_t model) {
    const double bytes = this->engines.models[model].weight_bytes * 1.08;
    std::size_t best = this->engines.targets.size();
    double best_score = -1;
    for (std::size_t i = 0; i < this->engines.targets.size(); ++i) {
      FakeTarget& target = this->engines.targets[i];
      if (!target.live || target.Find(model) != nullptr) {
        continue;
      }
      const double free = this->engines.FreeBytes(target);
      const double score =
          free >= bytes ? 1e6 + free / 1e9 : this->Idle(target);
      if (score > best_score) {
        best = i;
        best_score = score;
      }
    }
    if (best == this->engines.targets.size()) {
      return;
    }
    this->Evict(best, bytes);
    this->engines.Load(best, model);
  }

  // Seconds since the least recently used copy was used.
  double Idle(const FakeTarget& target) {
    double idle = -1;
    for (const FakeCopy& copy : target.copies) {
      if (copy.state == FakeState::kLoaded) {
        idle = std::max(idle, this->engines.now - copy.last_used);
      }
    }
    return idle;
  }

  void Evict(std::size_t index, double bytes) {
    FakeTarget& target = this->engines.targets[index];
    double free = this->engines.FreeBytes(target);
    std::vector<FakeCopy> order = target.copies;
    std::ranges::sort(order, {}, &FakeCopy::last_used);
    for (const FakeCopy& copy : order) {
      if (free >= bytes) {
        return;
      }
      if (copy.state == FakeState::kLoaded) {
        free += this->engines.models[copy.model].weight_bytes;
        this->engines.Unload(index, copy.model);
      }
    }
  }

  FakeEngines& engines;
};

/// The planner, the demand tracker and the planner's grants, with reports that
/// are late.
class PlannedPolicy {
 public:
  explicit PlannedPolicy(FakeEngines& engines)
      : engines(engines),
        tracker(clock, {}),
        planner(clock, MakeConfiguration(engines), {}),
        random(1),
        grants(clock, random, engines.deployment.store, {}),
        seen(engines.models.size()),
        adapter_rate(engines.deployment.adapters) {}

  void OnRequest(const FakeRequest& request) {
    this->seen[request.model] += 1;
    if (request.adapter >= 0) {
      this->adapter_rate[static_cast<std::size_t>(request.adapter)] += 1;
    }
  }

  void Second(std::size_t second) {
    this->clock.Advance(std::chrono::seconds(1));
    this->Reports(second);
    this->Demands(second);
    this->EndGrants();
    const std::size_t free = this->grants.CanGrant() ? 1 : 0;
    const auto started = std::chrono::steady_clock::now();
    const auto moves = this->planner.Step(
        {free, this->engines.deployment.store.parallel_adapter_loads / 2});
    this->step_seconds = std::max(
        this->step_seconds, std::chrono::duration<double>(
                                std::chrono::steady_clock::now() - started)
                                .count());
    for (const PlacementOrder& move : moves) {
      this->Carry(move);
    }
  }

  /// Longest wall time of one planning step.
  double step_seconds = 0;

 private:
  struct OpenGrant {
    LogOffset offset;
    std::size_t target;
    std::size_t model;
  };

  // Reports are two seconds old when they arrive.
  void Reports(std::size_t second) {
    std::vector<TargetReport> now;
    for (std::size_t i = 0; i < this->engines.targets.size(); ++i) {
      now.push_back(MakeReport(this->engines, i));
    }
    this->late.push_back(std::move(now));
    if (this->late.size() < 3 && second > 0) {
      return;
    }
    for (const TargetReport& report : this->late.front()) {
      this->planner.OnTarget(report);
    }
    if (this->late.size() >= 3) {
      this->late.pop_front();
    }
  }

  void Demands(std::size_t second) {
    for (std::size_t i = 0; i < this->seen.size(); ++i) {
      const FakeModel& model = this->engines.models[i];
      const double count = this->seen[i];
      this->tracker.OnReport(ModelName(i), {count, count * model.prompt_tokens,
                                            count * model.output_tokens});
      this->planner.OnDemand(ModelName(i),
                             this->tracker.Forecast(ModelName(i)));
      this->seen[i] = 0;
    }
    if (second % 60 != 59) {
      return;
    }
    for (std::size_t i = 0; i < this->adapter_rate.size(); ++i) {
      this->planner.OnAdapterDemand(AdapterName(i), this->adapter_rate[i] / 60);
      this->adapter_rate[i] = 0;
    }
  }

  void EndGrants() {
    for (const FakeEngines::Order& load : this->engines.finished) {
      std::erase_if(this->open, [&](const OpenGrant& grant) {
        const bool ended =
            grant.target == load.target && grant.model == load.model;
        if (ended) {
          this->grants.OnGrantEnd(grant.offset);
        }
        return ended;
      });
    }
    this->engines.finished.clear();
    for (std::size_t i = 0; i < this->engines.targets.size(); ++i) {
      if (!this->engines.targets[i].live) {
        this->grants.OnTargetRemoved(TargetName(i));
      }
    }
  }

  void Carry(const PlacementOrder& move) {
    const std::size_t target = IndexOf(move.target.value);
    const std::size_t model = IndexOf(move.model.value);
    if (move.kind == PlacementOrderKind::kUnload) {
      this->engines.Unload(target, model);
    } else if (move.kind == PlacementOrderKind::kLoadAdapter) {
      this->engines.UseAdapter(this->engines.targets[target],
                               IndexOf(move.adapter.value));
    } else if (move.kind == PlacementOrderKind::kLoad) {
      const auto grant =
          this->grants.TryGrant(LogOffset{0}, move.target, move.model);
      if (!grant) {
        this->planner.OnOrderRefused(move);
        return;
      }
      const LogOffset offset{++this->log_end};
      this->grants.OnGrant({offset, grant->id, grant->lease, grant->target,
                            grant->model, grant->lifetime});
      this->open.push_back({offset, target, model});
      this->engines.Load(target, model);
    }
  }

  FakeEngines& engines;
  ManualClock clock;
  DemandTracker tracker;
  PlacementPlanner planner;
  SeededRandom random;
  PlannerGrants grants;
  std::vector<double> seen;
  std::vector<double> adapter_rate;
  std::deque<std::vector<TargetReport>> late;
  std::vector<OpenGrant> open;
  std::uint64_t log_end = 0;
};

/// Knows the demand of the coming minute exactly; its moves take no time and
/// cost nothing.
class OraclePolicy {
 public:
  OraclePolicy(FakeEngines& engines, const DemandPlan& plan)
      : engines(engines), plan(plan), solver(engines) {}

  void Second(std::size_t second) {
    std::size_t live = 0;
    for (const FakeTarget& target : this->engines.targets) {
      live += target.live ? 1 : 0;
    }
    if (second % 60 != 0 && live == this->last_live) {
      return;
    }
    this->last_live = live;
    this->solver.Refresh();
    for (const PlacementOrder& move :
         this->solver.Solve(this->plan.At(second / 60))) {
      const std::size_t target = IndexOf(move.target.value);
      const std::size_t model = IndexOf(move.model.value);
      if (move.kind == PlacementOrderKind::kLoad) {
        this->engines.LoadAtOnce(target, model);
      } else if (move.kind == PlacementOrderKind::kUnload) {
        this->engines.Unload(target, model, true);
      }
    }
  }
  void OnRequest(const FakeRequest&) {}

 private:
  FakeEngines& engines;
  const DemandPlan& plan;
  PlacementSolver solver;
  std::size_t last_live = 0;
};

using AnyPolicy =
    std::variant<StaticPolicy, OnDemandPolicy, PlannedPolicy, OraclePolicy>;

}  // namespace pimentospar::bench

#endif  // BENCH_FAKE_POLICIES_H_
