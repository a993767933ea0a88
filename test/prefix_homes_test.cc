#define BOOST_TEST_MODULE prefix_homes
#include "pimentospar/routing/prefix_homes.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <unordered_set>

#include "pimentospar/digest.h"
#include "pimentospar/routing/target_selector.h"

namespace pimentospar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kEntryCount = 24;
constexpr std::size_t kEngineCount = 40;
constexpr std::size_t kRegionCount = 3;
constexpr std::uint32_t kCacheTokens = 178'000;
constexpr double kRequestsPerSecond = 79;
constexpr std::uint32_t kOutputTokens = 250;

RegionId RegionOf(std::size_t number) {
  return RegionId("r" + std::to_string(number % kRegionCount));
}

std::size_t DrawZipf(std::size_t count, double power, RandomSource& random) {
  double total = 0;
  for (std::size_t i = 1; i <= count; ++i) {
    total += std::pow(i, -power);
  }
  double drawn = random.NextDouble() * total;
  for (std::size_t i = 1; i < count; ++i) {
    drawn -= std::pow(i, -power);
    if (drawn < 0) {
      return i - 1;
    }
  }
  return count - 1;
}

// Least recently used parts of prompts, as an engine keeps them.
class LruCache {
 public:
  [[nodiscard]] bool Holds(std::uint64_t part) const {
    return this->index.contains(part);
  }
  bool Touch(std::uint64_t part) {
    const auto found = this->index.find(part);
    if (found == this->index.end()) {
      return false;
    }
    this->parts.splice(this->parts.begin(), this->parts, found->second);
    return true;
  }
  void Insert(std::uint64_t part, std::uint32_t tokens) {
    this->parts.push_front({part, tokens});
    this->index[part] = this->parts.begin();
    this->tokens += tokens;
    while (this->tokens > kCacheTokens) {
      this->tokens -= this->parts.back().second;
      this->index.erase(this->parts.back().first);
      this->parts.pop_back();
    }
  }

 private:
  std::list<std::pair<std::uint64_t, std::uint32_t>> parts;
  std::unordered_map<std::uint64_t, decltype(parts)::iterator> index;
  std::uint64_t tokens = 0;
};

struct Workload {
  std::size_t models = 85;
  std::size_t short_parts = 2;
  std::size_t long_parts = 5;
  bool restarts = false;
  seconds warm_up{240};
  seconds measured{240};
};

struct Outcome {
  double read_again = 0;
  /// Shared parts read while another engine has them cached.
  double cached_elsewhere = 0;
  double other_region = 0;
  double busiest_to_mean = 0;
  milliseconds mean_ttfb{0};
  milliseconds p99_ttfb{0};
};

class Simulation {
 public:
  Simulation(const Workload& workload, const TargetSelectorOptions& base)
      : workload(workload) {
    for (std::size_t i = 0; i < kEntryCount; ++i) {
      TargetSelectorOptions options = base;
      options.region = RegionOf(i);
      options.data_centre = DataCentreId(options.region.value);
      this->entries.push_back(
          std::make_unique<TargetSelector>(this->clock, this->random, options));
    }
    for (std::size_t i = 0; i < kEngineCount; ++i) {
      Engine engine;
      engine.description.id = TargetId("e" + std::to_string(i));
      engine.description.service = ServiceId("s");
      engine.description.region = RegionOf(i);
      engine.description.data_centre =
          DataCentreId(engine.description.region.value);
      engine.description.slots = 64;
      engine.description.inventory.started_ms = 1;
      this->engines.push_back(std::move(engine));
    }
    std::size_t next = 0;
    for (std::size_t model = 0; model < workload.models; ++model) {
      const std::size_t copies =
          std::max<std::size_t>(std::lround(12 * std::pow(model + 1, -0.6)), 1);
      for (std::size_t i = 0; i < copies; ++i) {
        this->engines[next++ % kEngineCount]
            .description.inventory.models.push_back({ModelOf(model), {}});
      }
    }
    for (const Engine& engine : this->engines) {
      this->Announce(engine);
    }
  }

  Outcome Run() {
    this->end =
        this->clock.Now() + this->workload.warm_up + this->workload.measured;
    this->measure_from = this->clock.Now() + this->workload.warm_up;
    if (this->workload.restarts) {
      for (std::size_t i = 0; i < kEngineCount / 4; ++i) {
        this->At(this->workload.warm_up + Scale(this->workload.measured,
                                                (static_cast<double>(i) + 0.5) /
                                                    (kEngineCount / 4.0)),
                 [this, i] { this->Restart(this->engines[i * 4 + 1]); });
      }
    }
    this->At(Duration(0), [this] { this->Arrive(); });
    while (!this->events.empty()) {
      const Event event = this->events.top();
      this->events.pop();
      this->clock.Advance(event.time - this->clock.Now());
      event.action();
    }
    return this->Summary();
  }

 private:
  struct Engine {
    TargetDescription description;
    LruCache cache;
    TimePoint busy_until;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    Duration work{0};
  };
  struct Event {
    TimePoint time;
    std::uint64_t number = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(other.time, other.number) < std::tie(time, number);
    }
  };

  static ModelId ModelOf(std::size_t number) {
    return ModelId("m" + std::to_string(number));
  }

  void At(Duration delay, std::function<void()> action) {
    this->events.push(
        {this->clock.Now() + delay, ++this->last_event, std::move(action)});
  }

  void Announce(const Engine& engine) {
    for (const auto& entry : this->entries) {
      entry->OnTarget(engine.description);
    }
  }

  void Restart(Engine& engine) {
    engine.cache = {};
    for (const auto& entry : this->entries) {
      entry->OnRemoved(engine.description.id, this->clock.Now());
    }
    this->At(seconds(3), [this, &engine] {
      ++engine.description.inventory.started_ms;
      this->Announce(engine);
    });
  }

  void Arrive() {
    if (this->clock.Now() >= this->end) {
      return;
    }
    this->At(Scale(seconds(1), -std::log(1 - this->random.NextDouble()) /
                                   kRequestsPerSecond),
             [this] { this->Arrive(); });
    const std::size_t model = DrawZipf(this->workload.models, 1, this->random);
    const std::size_t first =
        DrawZipf(this->workload.short_parts, 0.7, this->random);
    const std::size_t second =
        DrawZipf(this->workload.long_parts, 0.7, this->random);
    const std::uint64_t parent = model * 1000 + first + 1;
    const std::vector<PrefixBlock> prefix = {
        {parent, 2520}, {parent * 1000 + second + 1, 6300}};
    // Lognormal with a mean of 2,890.
    const double normal =
        std::sqrt(-2 * std::log(1 - this->random.NextDouble())) *
        std::cos(6.2831853 * this->random.NextDouble());
    const auto own = static_cast<std::uint32_t>(
        std::min(2890 * std::exp(0.8 * normal - 0.32), 39'600.0));
    this->Send(ModelOf(model), prefix, own);
  }

  void Send(const ModelId& model,
            std::span<const PrefixBlock> prefix,
            std::uint32_t own) {
    const std::size_t number = this->random.NextBelow(kEntryCount);
    TargetSelector& entry = *this->entries[number];
    TargetQuery query;
    query.service = ServiceId("s");
    query.copy = {model, {}};
    query.prompt_tokens = prefix.back().tokens + own;
    query.prefix = prefix;
    query.expected_events = kOutputTokens;
    query.time_left = seconds(60);
    query.entry_count = kEntryCount;
    query.kv_capacity_tokens = kCacheTokens;
    const TargetSelection selection = entry.Select(query);
    const auto* selected = std::get_if<SelectedTarget>(&selection);
    if (selected == nullptr) {
      return;  // The only engine with the model restarts.
    }
    const AttemptId attempt{++this->last_attempt};
    entry.OnSent(attempt, *selected, query);
    Engine& engine =
        this->engines[std::stoul(selected->target.value.substr(1))];
    const bool crosses = engine.description.region != RegionOf(number);
    const Duration hop = crosses ? milliseconds(40) : milliseconds(1);
    const TimePoint sent_at = this->clock.Now();
    this->CountRequest(crosses);
    // Parts are looked up on arrival: half of the round trip is neglected.
    const std::uint32_t read = this->Prefill(engine, prefix, own);
    const Duration work = Scale(milliseconds(1), read / 40.0) +
                          kOutputTokens * std::chrono::microseconds(300);
    engine.busy_until = std::max(engine.busy_until, sent_at) + work;
    engine.work += this->IsMeasured() ? work : Duration(0);
    ++engine.waiting;
    const Duration ttfb = engine.busy_until - sent_at + hop;
    if (this->IsMeasured()) {
      this->ttfbs.push_back(ttfb);
    }
    this->At(ttfb, [&engine, &entry, attempt] {
      --engine.waiting;
      ++engine.running;
      entry.OnFirstByte(attempt);
      entry.OnLoadReport(engine.description.id,
                         {engine.running, engine.waiting, {}});
    });
    this->At(ttfb + milliseconds(1400), [&engine, &entry, attempt] {
      --engine.running;
      entry.OnEnd(attempt, AttemptOutcome::kSuccess);
    });
  }

  [[nodiscard]] bool IsMeasured() const {
    return this->clock.Now() >= this->measure_from;
  }

  void CountRequest(bool crosses) {
    if (this->IsMeasured()) {
      ++this->requests;
      this->crossing += crosses ? 1 : 0;
    }
  }

  std::uint32_t Prefill(Engine& engine,
                        std::span<const PrefixBlock> prefix,
                        std::uint32_t own) {
    std::uint32_t read = own;
    std::uint32_t shorter = 0;
    std::uint32_t again = 0;
    std::uint32_t elsewhere = 0;
    for (const PrefixBlock& block : prefix) {
      const std::uint32_t tokens = block.tokens - shorter;
      shorter = block.tokens;
      if (engine.cache.Touch(block.hash)) {
        continue;
      }
      const auto holds = [&block](const Engine& other) {
        return other.cache.Holds(block.hash);
      };
      elsewhere += std::ranges::any_of(this->engines, holds) ? tokens : 0;
      engine.cache.Insert(block.hash, tokens);
      read += tokens;
      again += this->read_parts.insert(block.hash).second ? 0 : tokens;
    }
    engine.cache.Insert(~++this->last_own, own + kOutputTokens);
    if (this->IsMeasured()) {
      this->tokens_read += read;
      this->tokens_again += again;
      this->tokens_elsewhere += elsewhere;
    }
    return read;
  }

  Outcome Summary() {
    std::ranges::sort(this->ttfbs);
    Duration total{0};
    for (const Duration ttfb : this->ttfbs) {
      total += ttfb;
    }
    Duration busiest{0};
    Duration work{0};
    for (const Engine& engine : this->engines) {
      busiest = std::max(busiest, engine.work);
      work += engine.work;
    }
    Outcome outcome{this->tokens_again / this->tokens_read,
                    this->tokens_elsewhere / this->tokens_read,
                    this->crossing / this->requests,
                    kEngineCount * Seconds(busiest) / Seconds(work),
                    std::chrono::duration_cast<milliseconds>(
                        total / static_cast<Duration::rep>(this->ttfbs.size())),
                    std::chrono::duration_cast<milliseconds>(
                        this->ttfbs[this->ttfbs.size() * 99 / 100])};
    BOOST_TEST_MESSAGE("read_again="
                       << outcome.read_again
                       << " cached_elsewhere=" << outcome.cached_elsewhere
                       << " other_region=" << outcome.other_region
                       << " busiest_to_mean=" << outcome.busiest_to_mean
                       << " utilisation="
                       << Seconds(work) / kEngineCount /
                              Seconds(this->workload.measured)
                       << " mean_ttfb_ms=" << outcome.mean_ttfb.count()
                       << " p99_ttfb_ms=" << outcome.p99_ttfb.count());
    return outcome;
  }

  Workload workload;
  ManualClock clock;
  SeededRandom random{11};
  std::vector<std::unique_ptr<TargetSelector>> entries;
  std::vector<Engine> engines;
  std::priority_queue<Event> events;
  std::uint64_t last_event = 0;
  std::uint64_t last_attempt = 0;
  std::uint64_t last_own = 0;
  std::unordered_set<std::uint64_t> read_parts;
  TimePoint end;
  TimePoint measure_from;
  std::vector<Duration> ttfbs;
  double tokens_read = 0;
  double tokens_again = 0;
  double tokens_elsewhere = 0;
  double requests = 0;
  double crossing = 0;
};

TargetSelectorOptions WithHomes(bool adaptive) {
  TargetSelectorOptions options;
  options.adaptive_homes = adaptive;
  return options;
}

TargetSelectorOptions WithoutSplit(bool adaptive) {
  TargetSelectorOptions options = WithHomes(adaptive);
  options.long_prompt_cost = options.short_prompt_cost = Duration(0);
  return options;
}

// Guards against engines that read prefixes which others have cached, and
// against paying for it with the balance of the load.
BOOST_AUTO_TEST_CASE(ReadsFewerPrefixesThatAreCachedElsewhere) {
  for (const std::size_t long_parts : {5, 10}) {
    for (const bool restarts : {false, true}) {
      const Workload workload{.long_parts = long_parts, .restarts = restarts};
      BOOST_TEST_MESSAGE("long_parts=" << long_parts
                                       << " restarts=" << restarts);
      const Outcome before = Simulation(workload, WithoutSplit(false)).Run();
      const Outcome after = Simulation(workload, WithoutSplit(true)).Run();
      BOOST_TEST(after.cached_elsewhere < 0.5 * before.cached_elsewhere);
      BOOST_TEST(after.cached_elsewhere < 0.08);
      BOOST_TEST(after.read_again < 0.85 * before.read_again);
      BOOST_TEST(after.other_region < before.other_region + 0.14);
      BOOST_TEST(after.busiest_to_mean < 1.6);
      BOOST_TEST((after.mean_ttfb < before.mean_ttfb));
      const Outcome split_before = Simulation(workload, WithHomes(false)).Run();
      const Outcome split_after = Simulation(workload, WithHomes(true)).Run();
      BOOST_TEST(split_after.cached_elsewhere <
                 0.75 * split_before.cached_elsewhere);
    }
  }
}

// 24 entries that see a random share of the requests with one prefix.
struct Entries {
  explicit Entries(std::size_t candidate_count) {
    for (std::size_t i = 0; i < kEntryCount; ++i) {
      this->selectors.emplace_back(this->clock, PrefixHomesOptions{});
    }
    for (std::size_t i = 0; i < candidate_count; ++i) {
      this->ids.emplace_back("e" + std::to_string(i));
      this->regions.push_back(RegionOf(i));
    }
    for (std::size_t i = 0; i < candidate_count; ++i) {
      this->candidates.push_back(
          {&this->ids[i], &this->regions[i], true, std::chrono::hours(1)});
    }
  }

  void Run(double rate, Duration time) {
    const auto count = static_cast<int>(rate * Seconds(time));
    for (int i = 0; i < count; ++i) {
      this->clock.Advance(Scale(seconds(1), 1 / rate));
      this->selectors[this->random.NextBelow(kEntryCount)].OnRequest(
          {ModelId("m"), this->prefix, 0, milliseconds(150)});
    }
  }

  std::set<std::size_t> Homes(std::size_t entry) {
    std::set<std::size_t> homes;
    for (const PrefixHome& home : this->selectors[entry].Find(
             ModelId("m"), this->prefix, this->candidates,
             {kEngineCount, kEntryCount, 0})) {
      homes.insert(home.candidate);
    }
    return homes;
  }

  ManualClock clock;
  SeededRandom random{5};
  std::vector<PrefixHomeSelector> selectors;
  std::vector<TargetId> ids;
  std::vector<RegionId> regions;
  std::vector<HomeCandidate> candidates;
  PrefixBlock prefix{77, 6300};
};

// Guards against entries that cache a prefix at different engines because they
// estimate its rate differently.
BOOST_AUTO_TEST_CASE(EntriesAgreeOnHomes) {
  for (const double rate : {0.01, 0.05, 0.2, 0.4, 1.0, 5.0, 20.0}) {
    Entries entries(24);
    entries.Run(rate, std::chrono::minutes(20));
    std::map<std::size_t, int> sizes;
    std::set<std::size_t> widest;
    for (std::size_t i = 0; i < kEntryCount; ++i) {
      const std::set<std::size_t> homes = entries.Homes(i);
      ++sizes[homes.size()];
      widest = homes.size() > widest.size() ? homes : widest;
    }
    std::string text;
    for (const auto& [size, count] : sizes) {
      text += " " + std::to_string(count) + "x" + std::to_string(size);
    }
    BOOST_TEST_MESSAGE("rate=" << rate << " homes:" << text);
    for (std::size_t i = 0; i < kEntryCount; ++i) {
      BOOST_TEST(std::ranges::includes(widest, entries.Homes(i)));
    }
    if (rate <= 0.05) {
      // Of 24 random shares of such a low rate, some look like more.
      BOOST_TEST(sizes[1] >= (rate <= 0.01 ? 24 : 20));
    }
    if (rate >= 1) {
      // Every entry has homes in each region whose load is bounded.
      const double load =
          rate * 0.15 / static_cast<double>(sizes.begin()->first);
      BOOST_TEST(sizes.begin()->first >= kRegionCount);
      BOOST_TEST(load < 0.5);
    }
  }
}

// Guards against a hot prefix that stays at its first home: all of its requests
// would wait for one engine.
BOOST_AUTO_TEST_CASE(SpreadsSuddenDemandWithinSeconds) {
  Entries entries(24);
  entries.Run(0.05, std::chrono::minutes(10));
  BOOST_TEST(entries.Homes(0).size() == 1U);
  entries.Run(30, seconds(30));
  for (std::size_t i = 0; i < kEntryCount; ++i) {
    BOOST_TEST(entries.Homes(i).size() >= kRegionCount);
  }
}

// Guards against a home that no request can use.
BOOST_AUTO_TEST_CASE(ReplacesAnUnavailableHomeByTheNext) {
  Entries entries(6);
  const std::set<std::size_t> first = entries.Homes(0);
  BOOST_REQUIRE(first.size() == 1U);
  entries.candidates[*first.begin()].available = false;
  const std::set<std::size_t> second = entries.Homes(0);
  BOOST_TEST(second.size() == 1U);
  BOOST_TEST((second != first));
  BOOST_TEST((entries.Homes(1) == second));
}

// Guards against homes that move with each request while the rate of a prefix
// is close to a limit.
BOOST_AUTO_TEST_CASE(KeepsTheNumberOfHomesNearALimit) {
  Entries entries(24);
  int changes = 0;
  std::size_t last = 0;
  for (int i = 0; i < 200; ++i) {
    entries.Run(0.25, seconds(20));
    const std::size_t count = entries.Homes(0).size();
    changes += i > 60 && count != last ? 1 : 0;
    last = count;
  }
  BOOST_TEST(changes <= 8);
}

// Guards against a map of rates that grows with each new prefix.
BOOST_AUTO_TEST_CASE(ForgetsTheLeastRecentlyUsedPrefixes) {
  ManualClock clock;
  PrefixRate rate(clock, {.max_prefixes = 100});
  for (std::uint64_t i = 0; i < 1000; ++i) {
    rate.OnRequest(i, milliseconds(1));
  }
  BOOST_TEST(rate.Size() == 100U);
  BOOST_TEST(rate.Find(999, 1).rate > rate.Find(1, 1).rate);
}

struct SelectorFixture {
  explicit SelectorFixture(bool adaptive)
      : selector(clock, random, WithoutSplit(adaptive)) {
    for (const std::size_t number : {0, 1}) {
      this->selector.OnTarget(this->Target(number));
    }
  }

  static TargetDescription Target(std::size_t number) {
    TargetDescription target;
    target.id = TargetId("e" + std::to_string(number));
    target.service = ServiceId("s");
    target.slots = 8;
    target.inventory = {1, 0, {{ModelId("m"), {}}}};
    return target;
  }

  SelectedTarget Send() {
    TargetQuery query;
    query.service = ServiceId("s");
    query.copy = {ModelId("m"), {}};
    query.prompt_tokens = 6400;
    query.prefix = this->prefix;
    const TargetSelection selection = this->selector.Select(query);
    const auto& selected = std::get<SelectedTarget>(selection);
    this->selector.OnSent(AttemptId{++this->last_attempt}, selected, query);
    this->selector.OnFirstByte(AttemptId{this->last_attempt});
    this->selector.OnEnd(AttemptId{this->last_attempt},
                         AttemptOutcome::kSuccess);
    return selected;
  }

  ManualClock clock;
  SeededRandom random{3};
  TargetSelector selector;
  std::vector<PrefixBlock> prefix{{1, 2520}, {2, 6300}};
  std::uint64_t last_attempt = 0;
};

// Guards against a cache that is expected to outlive a restart that only the
// planner's inventory has told so far.
BOOST_AUTO_TEST_CASE(ExpectsNothingCachedAfterARestart) {
  SelectorFixture fixture(true);
  const TargetId first = fixture.Send().target;
  BOOST_TEST((fixture.Send().target == first));
  fixture.selector.OnInventory(first, {2, 0, {{ModelId("m"), {}}}},
                               InventorySource::kPlanner);
  const SelectedTarget next = fixture.Send();
  BOOST_TEST((next.target != first));
}

// Guards against expecting cached prefixes that other requests have evicted.
BOOST_AUTO_TEST_CASE(LearnsHowLongACacheKeepsAPrefix) {
  ManualClock clock;
  CacheRetention retention(clock, {});
  for (int i = 0; i < 600; ++i) {
    clock.Advance(milliseconds(300));
    retention.OnRequest(4000);
  }
  // 40 engines get 24 times 13,333 tokens a second, 8,000 each.
  const double kept =
      Seconds(retention.Find(kCacheTokens, kEngineCount, kEntryCount));
  BOOST_TEST(kept > 14);
  BOOST_TEST(kept < 18);
  BOOST_TEST((retention.Find(0, kEngineCount, kEntryCount) == seconds(60)));
}

// Guards against a change for deployments that do not ask for adaptive homes.
BOOST_AUTO_TEST_CASE(KeepsTheHomeOfEachRegionIfOff) {
  SelectorFixture fixture(false);
  for (std::uint64_t hash = 10; hash < 60; ++hash) {
    fixture.prefix = {{hash, 6300}};
    fixture.clock.Advance(std::chrono::hours(1));
    const std::uint64_t seed = Hash64("m", hash);
    const bool second = Hash64("e1", seed) > Hash64("e0", seed);
    const SelectedTarget selected = fixture.Send();
    BOOST_TEST(selected.target.value == (second ? "e1" : "e0"));
    BOOST_TEST(selected.new_tokens == 6400U - 4410U);
  }
}

}  // namespace
}  // namespace pimentospar
