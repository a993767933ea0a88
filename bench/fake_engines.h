#ifndef BENCH_FAKE_ENGINES_H_
#define BENCH_FAKE_ENGINES_H_

#include <algorithm>
#include <deque>
#include <vector>

#include "fake_demand.h"

namespace pimentospar::bench {

struct FakeRequest {
  std::size_t model = 0;
  int adapter = -1;
  std::size_t region = 0;
  double arrival = 0;
};

enum class FakeState : std::uint8_t { kQueued, kLoading, kLoaded, kDraining };

struct FakeCopy {
  std::size_t model = 0;
  FakeState state = FakeState::kQueued;
  double ready_at = 0;
  double last_used = 0;
  std::size_t running = 0;
};

struct FakeSequence {
  FakeRequest request;
  double first_token = 0;
  double left = 0;
};

struct FakeTarget {
  std::size_t data_centre = 0;
  std::size_t region = 0;
  double accelerators = 1;
  bool live = true;
  std::vector<FakeCopy> copies;
  std::deque<FakeRequest> waiting;
  std::vector<FakeSequence> running;
  /// Adapters in the pool, the least recently used first.
  std::vector<std::size_t> adapters;
  double kv_used = 0;

  FakeCopy* Find(std::size_t model) {
    const auto found = std::ranges::find(this->copies, model, &FakeCopy::model);
    return found == this->copies.end() ? nullptr : &*found;
  }
};

/// Costs of the engines and the store, from section 1 of the design page and
/// from the data sheets of accelerators with 80 GB of memory.
struct FakeCosts {
  double memory_bytes = 80e9;
  double step_seconds = 0.002;
  double weight_bytes_per_second = 2.5e12;
  double sequence_seconds = 0.00035;
  double prefill_token_seconds = 0.00005;
  /// Part of the time that prompts may take; decoding steps are kept short
  /// enough for the rest.
  double prompt_share = 0.25;
  /// Rate of one load from the store at full speed; half of that into another
  /// region than the store's.
  double store_bytes_per_second = 3e9;
  double adapter_seconds = 0.005;
  std::size_t adapters_per_target = 12;
  double region_latency = 0.02;
  double first_token_target = 1.1;
  double between_tokens_target = 0.042;
  double deadline = 10;
};

struct FakeResult {
  double requests = 0;
  double attained = 0;
  std::size_t loads = 0;
  std::size_t unloads = 0;
  std::size_t adapter_loads = 0;
  double link_bytes = 0;
};

/// Engines with continuous batching, and the weight store.
class FakeEngines {
 public:
  FakeEngines(const Deployment& deployment,
              std::vector<FakeModel> models,
              std::size_t accelerators,
              RandomSource& random)
      : deployment(deployment), models(std::move(models)), random(random) {
    // The engines of each run are up to a fifth faster or slower than the
    // profile that the planner assumes.
    const double speed = 0.8 + 0.4 * random.NextDouble();
    this->costs.step_seconds *= speed;
    this->costs.weight_bytes_per_second /= speed;
    this->costs.sequence_seconds *= speed;
    this->costs.prefill_token_seconds *= speed;
    this->targets.resize(std::min(accelerators, deployment.runners > 100
                                                    ? deployment.runners
                                                    : accelerators));
    for (std::size_t i = 0; i < this->targets.size(); ++i) {
      this->targets[i].data_centre = i % deployment.data_centres;
      this->targets[i].region = this->targets[i].data_centre % 3;
      const std::size_t count = this->targets.size();
      const std::size_t share = accelerators / count;
      this->targets[i].accelerators =
          static_cast<double>(share + (i < accelerators % count ? 1 : 0));
    }
    this->unplaced.resize(this->models.size());
    this->holders.resize(this->models.size());
  }

  void Place(std::size_t target, std::size_t model) {
    this->targets[target].copies.push_back({model, FakeState::kLoaded, 0, 0});
    this->holders[model].push_back(target);
  }

  // Orders run as soon as the target's memory and the store allow.
  void Load(std::size_t target, std::size_t model) {
    if (this->targets[target].live &&
        this->targets[target].Find(model) == nullptr) {
      this->targets[target].copies.push_back(
          {model, FakeState::kQueued, 0, this->now});
      this->queue.push_back({target, model});
    }
  }

  void Unload(std::size_t target,
              std::size_t model,
              bool free_of_cost = false) {
    FakeCopy* copy = this->targets[target].Find(model);
    if (copy == nullptr || copy->state != FakeState::kLoaded) {
      return;
    }
    this->result.unloads += 1;
    copy->state = FakeState::kDraining;
    std::erase(this->holders[model], target);
    this->Reroute(target, model);
    if (free_of_cost) {
      this->FinishDrains(this->targets[target]);
    }
  }

  // For the upper bound only: the copy is there at once.
  void LoadAtOnce(std::size_t target, std::size_t model) {
    if (FakeCopy* copy = this->targets[target].Find(model)) {
      if (copy->state == FakeState::kDraining) {
        copy->state = FakeState::kLoaded;
        this->holders[model].push_back(target);
      }
      return;
    }
    this->result.loads += 1;
    this->Place(target, model);
    this->Dispatch(model);
  }

  void Arrive(const FakeRequest& request) {
    this->result.requests += 1;
    this->Route(request);
  }

  void SetLive(std::size_t data_centre, bool live) {
    for (std::size_t i = 0; i < this->targets.size(); ++i) {
      FakeTarget& target = this->targets[i];
      if (target.data_centre != data_centre || target.live == live) {
        continue;
      }
      target.live = live;
      std::erase_if(this->queue, [&](const Order& o) { return o.target == i; });
      std::vector<FakeRequest> again(target.waiting.begin(),
                                     target.waiting.end());
      for (const FakeSequence& sequence : target.running) {
        again.push_back(sequence.request);
      }
      for (const FakeCopy& copy : target.copies) {
        this->active_loads -= copy.state == FakeState::kLoading;
        std::erase(this->holders[copy.model], i);
      }
      target.copies.clear();
      target.waiting.clear();
      target.running.clear();
      target.adapters.clear();
      target.kv_used = 0;
      for (const FakeRequest& request : again) {
        this->Route(request);
      }
    }
  }

  void Step(double seconds) {
    this->now += seconds;
    this->StepStore();
    for (FakeTarget& target : this->targets) {
      if (target.live) {
        this->StepTarget(target, seconds);
      }
    }
    for (auto& queue : this->unplaced) {
      this->DropLate(queue);
    }
  }

  [[nodiscard]] double FreeBytes(const FakeTarget& target) const {
    double free = this->costs.memory_bytes * target.accelerators;
    for (const FakeCopy& copy : target.copies) {
      free -= copy.state == FakeState::kQueued
                  ? 0
                  : this->models[copy.model].weight_bytes;
    }
    return free;
  }

  // True if the adapter was not in the pool yet.
  bool UseAdapter(FakeTarget& target, std::size_t adapter) {
    const bool absent = std::erase(target.adapters, adapter) == 0;
    target.adapters.push_back(adapter);
    if (target.adapters.size() >
        this->costs.adapters_per_target *
            static_cast<std::size_t>(target.accelerators)) {
      target.adapters.erase(target.adapters.begin());
    }
    this->result.adapter_loads += absent;
    return absent;
  }

  struct Order {
    std::size_t target;
    std::size_t model;
  };

  const Deployment& deployment;
  std::vector<FakeModel> models;
  RandomSource& random;
  FakeCosts costs;
  std::vector<FakeTarget> targets;
  std::vector<std::deque<FakeRequest>> unplaced;
  /// Targets with a loaded copy, for each model.
  std::vector<std::vector<std::size_t>> holders;
  std::vector<Order> finished;
  FakeResult result;
  double now = 0;

 private:
  // Of two random copies the one with the shorter queue is taken.
  void Route(const FakeRequest& request) {
    const auto& copies = this->holders[request.model];
    if (copies.empty()) {
      this->unplaced[request.model].push_back(request);
      return;
    }
    const auto load = [&](std::size_t index) {
      const FakeTarget& target = this->targets[index];
      return static_cast<double>(target.waiting.size() * 4 +
                                 target.running.size()) /
                 target.accelerators +
             (target.region == request.region ? 0.0 : 0.5);
    };
    std::size_t best = copies[this->random.NextBelow(copies.size())];
    if (copies.size() > 1) {
      std::size_t other = best;
      while (other == best) {
        other = copies[this->random.NextBelow(copies.size())];
      }
      best = load(other) < load(best) ? other : best;
    }
    this->targets[best].waiting.push_back(request);
    this->targets[best].Find(request.model)->last_used = this->now;
  }

  void Dispatch(std::size_t model) {
    std::deque<FakeRequest> waiting;
    waiting.swap(this->unplaced[model]);
    for (const FakeRequest& request : waiting) {
      this->Route(request);
    }
  }

  void Reroute(std::size_t target, std::size_t model) {
    std::vector<FakeRequest> moved;
    std::erase_if(this->targets[target].waiting, [&](const FakeRequest& r) {
      if (r.model == model) {
        moved.push_back(r);
      }
      return r.model == model;
    });
    for (const FakeRequest& request : moved) {
      this->Route(request);
    }
  }

  // The store starts loads at its rate, and at most its parallel number.
  void StepStore() {
    for (std::size_t i = 0; i < this->queue.size();) {
      const Order order = this->queue[i];
      FakeTarget& target = this->targets[order.target];
      const double bytes = this->models[order.model].weight_bytes;
      const bool room = this->FreeBytes(target) - target.kv_used >= bytes;
      if (!room) {
        ++i;
        continue;
      }
      if (this->active_loads >= this->deployment.store.parallel_loads ||
          this->now < this->next_load) {
        break;
      }
      const bool far = target.region != 0;
      this->next_load = std::max(this->next_load, this->now - 0.5) +
                        1.0 / this->deployment.store.loads_per_second;
      this->active_loads += 1;
      this->result.loads += 1;
      this->result.link_bytes += far ? bytes : 0;
      FakeCopy* copy = target.Find(order.model);
      copy->state = FakeState::kLoading;
      copy->ready_at = this->now + bytes / this->costs.store_bytes_per_second *
                                       (far ? 2 : 1);
      this->queue.erase(this->queue.begin() + static_cast<std::ptrdiff_t>(i));
    }
    for (std::size_t i = 0; i < this->targets.size(); ++i) {
      for (FakeCopy& copy : this->targets[i].copies) {
        if (copy.state == FakeState::kLoading && this->now >= copy.ready_at) {
          copy.state = FakeState::kLoaded;
          copy.last_used = this->now;
          this->active_loads -= 1;
          this->finished.push_back({i, copy.model});
          this->holders[copy.model].push_back(i);
          this->Dispatch(copy.model);
        }
      }
    }
  }

  void DropLate(std::deque<FakeRequest>& queue) {
    while (!queue.empty() &&
           this->now - queue.front().arrival > this->costs.deadline) {
      queue.pop_front();
    }
  }

  void FinishDrains(FakeTarget& target) {
    std::erase_if(target.copies, [&](const FakeCopy& copy) {
      return copy.state == FakeState::kDraining && copy.running == 0;
    });
  }

  [[nodiscard]] double WeightSeconds(const FakeTarget& target,
                                     std::size_t model) const {
    return this->costs.step_seconds +
           this->models[model].weight_bytes /
               (this->costs.weight_bytes_per_second * target.accelerators);
  }

  [[nodiscard]] double CycleSeconds(const FakeTarget& target) const {
    double cycle = static_cast<double>(target.running.size()) *
                   this->costs.sequence_seconds / target.accelerators;
    for (const FakeCopy& copy : target.copies) {
      cycle += copy.running == 0 ? 0 : this->WeightSeconds(target, copy.model);
    }
    return cycle;
  }

  [[nodiscard]] double KvBytes(const FakeRequest& request) const {
    const FakeModel& model = this->models[request.model];
    return (model.prompt_tokens + model.output_tokens) *
           model.kv_bytes_per_token;
  }

  // Takes requests in order of arrival while the KV cache has room and the step
  // stays within the target between tokens. Returns the time spent on prompts.
  double Admit(FakeTarget& target, double seconds) {
    double spent = 0;
    double cycle = this->CycleSeconds(target);
    while (!target.waiting.empty() &&
           spent < this->costs.prompt_share * seconds) {
      const FakeRequest request = target.waiting.front();
      FakeCopy* copy = target.Find(request.model);
      cycle += this->costs.sequence_seconds / target.accelerators;
      cycle +=
          copy->running > 0 ? 0 : this->WeightSeconds(target, request.model);
      const double kv = this->KvBytes(request);
      if (!target.running.empty() &&
          (cycle > (0.98 - this->costs.prompt_share) *
                       this->costs.between_tokens_target ||
           target.kv_used + kv > this->FreeBytes(target))) {
        break;
      }
      target.waiting.pop_front();
      spent += this->models[request.model].prompt_tokens *
               this->costs.prefill_token_seconds / target.accelerators;
      double first = this->now + spent;
      first += target.region == request.region ? 0 : this->costs.region_latency;
      if (request.adapter >= 0 &&
          this->UseAdapter(target, static_cast<std::size_t>(request.adapter))) {
        first += this->costs.adapter_seconds;
      }
      target.kv_used += kv;
      copy->running += 1;
      copy->last_used = this->now;
      target.running.push_back(
          {request, first, this->models[request.model].output_tokens});
    }
    return spent;
  }

  void StepTarget(FakeTarget& target, double seconds) {
    this->DropLate(target.waiting);
    const double spent = this->Admit(target, seconds);
    const double cycle = this->CycleSeconds(target);
    const double tokens = cycle > 0 ? (seconds - spent) / cycle : 0;
    std::erase_if(target.running, [&](FakeSequence& sequence) {
      sequence.left -= tokens;
      if (sequence.left > 0) {
        return false;
      }
      const FakeRequest& request = sequence.request;
      const double between = (this->now + seconds - sequence.first_token) /
                             this->models[request.model].output_tokens;
      this->result.attained += sequence.first_token - request.arrival <=
                                   this->costs.first_token_target &&
                               between <= this->costs.between_tokens_target;
      target.Find(request.model)->running -= 1;
      target.kv_used -= this->KvBytes(request);
      return true;
    });
    this->FinishDrains(target);
  }

  std::vector<Order> queue;
  std::size_t active_loads = 0;
  double next_load = 0;
};

}  // namespace pimentospar::bench

#endif  // BENCH_FAKE_ENGINES_H_
