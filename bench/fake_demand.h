#ifndef BENCH_FAKE_DEMAND_H_
#define BENCH_FAKE_DEMAND_H_

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string>
#include <vector>

#include "pimentospar/config.h"
#include "pimentospar/random.h"

namespace pimentospar::bench {

/// Sizes of one deployment, from section 1 of the design page.
struct Deployment {
  std::string name;
  PlacementObjective objective = PlacementObjective::kAttainment;
  std::size_t models = 15;
  std::size_t adapters = 60;
  std::size_t runners = 10;
  std::size_t data_centres = 6;
  double requests_per_second = 20;
  StoreLimits store;
};

inline Deployment DeploymentOf(const std::string& name) {
  if (name == "stoneworks") {
    return {name,      PlacementObjective::kFewestOrders, 30, 100, 20, 6, 40,
            {2, 3, 25}};
  }
  if (name == "target") {
    return {
        name,        PlacementObjective::kAttainment, 2000, 6000, 610, 10, 1100,
        {8, 12, 200}};
  }
  return {"cradlecross", PlacementObjective::kAttainment, 15, 60, 10, 6, 20,
          {1, 4, 30}};
}

struct FakeModel {
  double weight_bytes = 0;
  double kv_bytes_per_token = 0;
  double prompt_tokens = 0;
  double output_tokens = 0;
  std::vector<std::size_t> adapters;
};

/// Requests a second of each model for each minute.
struct DemandPlan {
  std::vector<std::vector<double>> rates;
  /// Data centre that is lost at a third of the run and back, empty, at two
  /// thirds; none if negative.
  int lost_data_centre = -1;

  [[nodiscard]] std::vector<double> At(std::size_t minute) const {
    std::vector<double> now;
    for (const auto& series : this->rates) {
      now.push_back(series[std::min(minute, series.size() - 1)]);
    }
    return now;
  }
  [[nodiscard]] std::vector<double> Mean() const {
    std::vector<double> mean;
    for (const auto& series : this->rates) {
      mean.push_back(std::accumulate(series.begin(), series.end(), 0.0) /
                     static_cast<double>(series.size()));
    }
    return mean;
  }
};

inline std::vector<FakeModel> DrawModels(const Deployment& deployment,
                                         RandomSource& random) {
  // Weights of 6 to 40 GB; requests of about 500 + 200 tokens.
  std::vector<FakeModel> models(deployment.models);
  for (FakeModel& model : models) {
    model.weight_bytes = 6e9 * std::pow(40.0 / 6.0, random.NextDouble());
    model.kv_bytes_per_token = 4e4 + model.weight_bytes * 8e-6;
    model.prompt_tokens = 300 + 400 * random.NextDouble();
    model.output_tokens = 120 + 160 * random.NextDouble();
  }
  for (std::size_t i = 0; i < deployment.adapters; ++i) {
    models[i % models.size()].adapters.push_back(i);
  }
  return models;
}

// Popularity follows Zipf's law in a random order of the models.
inline std::vector<double> DrawPopularity(const Deployment& deployment,
                                          RandomSource& random) {
  std::vector<double> rates;
  for (std::size_t i = 0; i < deployment.models; ++i) {
    rates.push_back(1.0 / static_cast<double>(i + 1));
  }
  const double sum = std::accumulate(rates.begin(), rates.end(), 0.0);
  for (double& rate : rates) {
    rate *= deployment.requests_per_second / sum;
  }
  for (std::size_t i = rates.size(); i > 1; --i) {
    std::swap(rates[i - 1], rates[random.NextBelow(i)]);
  }
  return rates;
}

// Bursts of six times the usual rate take a tenth of the time, three minutes
// each on average; the mean stays.
inline void MakeBursty(std::vector<double>& series, RandomSource& random) {
  bool burst = random.NextDouble() < 0.1;
  for (double& rate : series) {
    rate *= burst ? 6.0 : 0.444;
    burst =
        burst ? random.NextDouble() > 1.0 / 3 : random.NextDouble() < 1.0 / 27;
  }
}

// Pairs a popular model with one about a tenth as popular; within five minutes
// of the hour they change places.
inline void MakeShift(DemandPlan& plan, RandomSource& random) {
  std::vector<std::size_t> order(plan.rates.size());
  std::iota(order.begin(), order.end(), 0);
  std::ranges::sort(order, [&](std::size_t left, std::size_t right) {
    return plan.rates[left][0] > plan.rates[right][0];
  });
  const std::size_t half = order.size() / 2;
  for (std::size_t i = 0; i < half; ++i) {
    auto& hot = plan.rates[order[i]];
    auto& cold = plan.rates[order[order.size() - 1 - i]];
    const double high = hot[0];
    const double low = std::min(cold[0], high / 10);
    const double start =
        static_cast<double>(hot.size()) * (0.15 + 0.5 * random.NextDouble());
    for (std::size_t minute = 0; minute < hot.size(); ++minute) {
      const double part =
          std::clamp((static_cast<double>(minute) - start) / 5.0, 0.0, 1.0);
      hot[minute] = high + (low - high) * part;
      cold[minute] = low + (high - low) * part;
    }
  }
}

inline DemandPlan DrawDemand(const Deployment& deployment,
                             const std::string& kind,
                             std::size_t minutes,
                             RandomSource& random) {
  DemandPlan plan;
  for (const double rate : DrawPopularity(deployment, random)) {
    plan.rates.emplace_back(minutes, rate);
  }
  if (kind == "bursty") {
    for (auto& series : plan.rates) {
      MakeBursty(series, random);
    }
  } else if (kind == "shift") {
    MakeShift(plan, random);
  } else if (kind == "loss") {
    plan.lost_data_centre =
        static_cast<int>(random.NextBelow(deployment.data_centres));
  }
  return plan;
}

inline std::size_t DrawPoisson(double mean, RandomSource& random) {
  const double limit = std::exp(-mean);
  std::size_t count = 0;
  for (double product = random.NextDouble(); product > limit;
       product *= random.NextDouble()) {
    ++count;
  }
  return count;
}

}  // namespace pimentospar::bench

#endif  // BENCH_FAKE_DEMAND_H_
