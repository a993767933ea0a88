#include <algorithm>
#include <cmath>
#include <numeric>

#include "pimentospar/placement.h"

namespace pimentospar {

namespace {

// Fraction of the requests that miss their latency goals at a utilization of
// just under 1.
constexpr double kMissedFractionAtFullLoad = 0.3;
// Lower bound of the headroom of a loaded target when requests are distributed;
// an idle target has 1.
constexpr double kMinHeadroom = 0.05;

}  // namespace

// A decoding step serves every active model of the target in turn: it reads the
// weights of each once, and adds a time for each sequence. Loads are relative
// to the longest step that still meets the target for the time between tokens.
PlacementPlanner::Load PlacementPlanner::PredictLoad(const Model& model,
                                                     const Target& target,
                                                     double requests) const {
  const EngineProfile& engine = this->options.engine;
  const double weights = engine.step_seconds +
                         model.weight_bytes / (engine.weight_bytes_per_second *
                                               target.accelerators);
  const double token_rate = requests * model.demand.output_tokens;
  const double sequences = token_rate * model.between_tokens;
  const double active = 1.0 - std::exp(-sequences);
  Load load;
  load.compute =
      active * weights / model.between_tokens +
      (token_rate * engine.sequence_seconds +
       requests * model.demand.prompt_tokens * engine.prefill_token_seconds) /
          target.accelerators;
  load.kv_bytes =
      sequences *
      (model.demand.prompt_tokens + model.demand.output_tokens / 2) *
      model.kv_bytes_per_token;
  load.requests = requests;
  load.weight_bytes = model.weight_bytes;
  return load;
}

double PlacementPlanner::Utilization(const Target& target,
                                     const Load& load) const {
  const double kv_room = std::max(1.0, target.capacity - load.weight_bytes);
  return std::max(load.compute, load.kv_bytes / kv_room);
}

double PlacementPlanner::MissedRate(const Target& target,
                                    const Load& load) const {
  const double utilization = this->Utilization(target, load);
  const double threshold = this->options.load_threshold;
  if (utilization <= threshold) {
    return 0;
  }
  if (utilization < 1) {
    const double part = (utilization - threshold) / (1 - threshold);
    return load.requests * kMissedFractionAtFullLoad * part * part;
  }
  return load.requests *
         (1 - (1 - kMissedFractionAtFullLoad) / (utilization * utilization));
}

std::vector<PlacementPlanner::Index> PlacementPlanner::ServingTargets(
    Index model) const {
  std::vector<Index> serving;
  for (const Index target : this->models[model].targets) {
    if (this->IsServing(target, model)) {
      serving.push_back(target);
    }
  }
  return serving;
}

// Entries choose the target with the shorter wait, so requests are distributed
// in proportion to the capacity that the other models at each target leave.
std::vector<double> PlacementPlanner::DemandShares(
    Index model,
    std::span<const Index> at) const {
  std::vector<double> shares;
  for (const Index index : at) {
    const Target& target = this->targets[index];
    Load others = target.load;
    if (const Copy* copy = this->FindCopy(index, model)) {
      others.compute -= copy->load.compute;
      others.kv_bytes -= copy->load.kv_bytes;
    }
    const double headroom = 1.0 - this->Utilization(target, others);
    shares.push_back(target.accelerators * std::max(kMinHeadroom, headroom));
  }
  const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
  for (double& share : shares) {
    share *= this->models[model].demand.requests_per_second / sum;
  }
  return shares;
}

double PlacementPlanner::Gain(Index model, std::span<const Index> next) const {
  const Model& entry = this->models[model];
  const std::vector<Index> now = this->ServingTargets(model);
  const std::vector<double> shares = this->DemandShares(model, next);
  double gain = now.empty() ? entry.demand.requests_per_second : 0;
  gain -= next.empty() ? entry.demand.requests_per_second : 0;
  const auto add_change = [&](Index index, const Load& added) {
    const Target& target = this->targets[index];
    Load load = target.load;
    if (const Copy* copy = this->FindCopy(index, model)) {
      load.compute -= copy->load.compute;
      load.kv_bytes -= copy->load.kv_bytes;
      load.requests -= copy->load.requests;
      load.weight_bytes -= copy->load.weight_bytes;
    }
    load.compute += added.compute;
    load.kv_bytes += added.kv_bytes;
    load.requests += added.requests;
    load.weight_bytes += added.weight_bytes;
    gain +=
        this->MissedRate(target, target.load) - this->MissedRate(target, load);
  };
  for (std::size_t i = 0; i < next.size(); ++i) {
    add_change(next[i],
               this->PredictLoad(entry, this->targets[next[i]], shares[i]));
  }
  for (const Index index : now) {
    if (std::ranges::find(next, index) == next.end()) {
      add_change(index, {});
    }
  }
  return gain;
}

}  // namespace pimentospar
