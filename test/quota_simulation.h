#ifndef TEST_QUOTA_SIMULATION_H_
#define TEST_QUOTA_SIMULATION_H_

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "pimentospar/quota/limit_publisher.h"
#include "pimentospar/quota/quota_ledger.h"
#include "pimentospar/quota/quota_limiter.h"
#include "pimentospar/quota/usage_reporter.h"

namespace pimentospar::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(5);
constexpr Duration kTick = milliseconds(50);
constexpr Duration kHeartbeat = milliseconds(500);
constexpr Duration kQuotaWindow = seconds(8);

/// The callers of one workspace.
struct CallerLoad {
  WorkspaceSpec workspace;
  double mean_units = 5000;
  /// Units per second, by the time since the start of the simulation.
  std::function<double(Duration)> demand;
  bool has_long_requests = true;
};

/// What happened to the requests of one workspace.
struct CallerLog {
  struct Item {
    TimePoint at;
    double units = 0;
    bool admitted = false;
  };
  std::vector<Item> items;
  TimePoint next_request;

  /// Returns the units that were sent from `from` on until `to`.
  [[nodiscard]] double Sent(TimePoint from, TimePoint to) const {
    double sent = 0;
    for (const Item& item : this->items) {
      sent += item.admitted && item.at >= from && item.at < to ? item.units : 0;
    }
    return sent;
  }

  /// Returns the most units that were sent in a window of a quota that starts
  /// at `from` or later.
  [[nodiscard]] double MostInAWindow(TimePoint from) const {
    double most = 0;
    double sum = 0;
    std::size_t first = 0;
    for (const Item& item : this->items) {
      if (!item.admitted || item.at < from) {
        continue;
      }
      sum += item.units;
      for (; this->items[first].at < item.at - kQuotaWindow; ++first) {
        const Item& old = this->items[first];
        sum -= old.admitted && old.at >= from ? old.units : 0;
      }
      most = std::max(most, sum);
    }
    return most;
  }
};

/// Entries that share quotas, with delayed and lost datagrams between them.
class Simulation {
 public:
  Simulation(std::size_t entry_count,
             std::vector<CallerLoad> callers,
             std::uint64_t seed)
      : random(seed),
        callers(std::move(callers)),
        logs(this->callers.size()),
        start(this->clock.Now()) {
    for (std::size_t i = 0; i < entry_count; ++i) {
      this->entries.emplace_back();
      this->Restart(i);
    }
    this->Elect(0);
  }

  /// The process of an entry starts, or starts again with nothing.
  void Restart(std::size_t index) {
    Entry& entry = this->entries[index];
    entry = Entry{};
    entry.instance = {this->random.Next()};
    entry.limiter = std::make_unique<QuotaLimiter>(this->clock, this->random);
    entry.reporter = std::make_unique<UsageReporter>(this->clock, this->random,
                                                     *entry.limiter);
    entry.limiter->OnConfig(this->Workspaces());
    entry.limiter->SetEntryCount(this->AliveCount());
    entry.next_tick =
        this->clock.Now() + Scale(kTick, this->random.NextDouble());
  }
  void Stop(std::size_t index) {
    this->entries[index].alive = false;
    if (this->holder == index) {
      this->holder.reset();
    }
  }
  void Elect(std::size_t index) {
    this->holder = index;
    ++this->lease.value;
    this->ledger.OnConfig(this->Workspaces());
    this->ledger.Restart();
    this->publisher.Restart();
  }
  /// Changes the quota of a workspace everywhere.
  void SetQuota(std::size_t caller, double per_second, double burst) {
    this->callers[caller].workspace.quota->per_second = per_second;
    this->callers[caller].workspace.quota->burst = burst;
    this->ledger.OnConfig(this->Workspaces());
    for (Entry& entry : this->entries) {
      entry.limiter->OnConfig(this->Workspaces());
    }
  }
  /// Cuts the datagrams of an entry off, or no longer.
  void SetCut(std::size_t index, bool cut) { this->entries[index].cut = cut; }

  void Run(Duration time) {
    const TimePoint end = this->clock.Now() + time;
    while (this->clock.Now() < end) {
      this->clock.Advance(kStep);
      this->Deliver();
      this->RunEntries();
      this->RunHolder();
      for (std::size_t i = 0; i < this->callers.size(); ++i) {
        this->SendRequests(i);
      }
    }
  }

  [[nodiscard]] TimePoint Now() const { return this->clock.Now(); }
  [[nodiscard]] TimePoint At(Duration since_start) const {
    return this->start + since_start;
  }
  [[nodiscard]] const CallerLog& Log(std::size_t caller) const {
    return this->logs[caller];
  }
  [[nodiscard]] const QuotaLedger& Ledger() const { return this->ledger; }
  [[nodiscard]] std::size_t Reports() const { return this->reports; }

 private:
  struct Entry {
    InstanceId instance;
    bool alive = true;
    bool cut = false;
    std::unique_ptr<QuotaLimiter> limiter;
    std::unique_ptr<UsageReporter> reporter;
    TimePoint next_tick;
    std::uint64_t sequence = 0;
    LogOffset known_lease;
    std::uint64_t epoch = 0;
  };

  [[nodiscard]] std::vector<WorkspaceSpec> Workspaces() const {
    std::vector<WorkspaceSpec> workspaces;
    for (const CallerLoad& caller : this->callers) {
      workspaces.push_back(caller.workspace);
    }
    return workspaces;
  }

  [[nodiscard]] std::size_t AliveCount() const {
    return static_cast<std::size_t>(
        std::ranges::count(this->entries, true, &Entry::alive));
  }

  [[nodiscard]] Duration ReportInterval() const {
    return UsageReportInterval(this->AliveCount());
  }

  void Post(std::size_t from, std::size_t to, std::function<void()> receive) {
    constexpr double kLossRate = 0.02;
    if (this->entries[from].cut || this->entries[to].cut ||
        this->random.NextDouble() < kLossRate) {
      return;
    }
    const Duration delay = milliseconds(20 + this->random.NextBelow(41));
    this->network.emplace(this->clock.Now() + delay, std::move(receive));
  }

  void Deliver() {
    while (!this->network.empty() &&
           this->network.begin()->first <= this->clock.Now()) {
      const auto receive = std::move(this->network.begin()->second);
      this->network.erase(this->network.begin());
      receive();
    }
  }

  void RunEntries() {
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
      Entry& entry = this->entries[i];
      if (!entry.alive || this->clock.Now() < entry.next_tick) {
        continue;
      }
      entry.next_tick += kTick;
      entry.limiter->SetEntryCount(this->AliveCount());
      if (this->holder != i && entry.known_lease.value > 0) {
        this->Report(i);
      }
    }
  }

  void Report(std::size_t index) {
    Entry& entry = this->entries[index];
    auto usage = entry.reporter->Take(entry.known_lease, this->AliveCount());
    const LogOffset known = entry.known_lease;
    if (usage.empty() || !this->holder) {
      return;
    }
    ++this->reports;
    this->Post(index, *this->holder,
               [this, index, known, instance = entry.instance,
                sequence = ++entry.sequence, usage = std::move(usage)] {
                 if (this->lease == known && this->holder) {
                   this->ledger.OnReport({HostId(std::to_string(index)),
                                          instance, sequence, usage});
                 }
               });
  }

  void RunHolder() {
    if (!this->holder || this->clock.Now() < this->next_holder_tick) {
      return;
    }
    this->next_holder_tick = this->clock.Now() + kTick;
    Entry& own = this->entries[*this->holder];
    own.limiter->OnHolderMessage();
    std::vector<QuotaUsage> usage;
    own.limiter->VisitCounts([&](const auto& id, const QuotaCounts& counts) {
      usage.push_back({id, counts.asked, counts.sent});
    });
    this->ledger.OnReport({HostId(std::to_string(*this->holder)), own.instance,
                           ++own.sequence, usage});
    this->ledger.Update(this->ReportInterval());
    const bool beats = this->clock.Now() >= this->next_heartbeat;
    if (beats) {
      this->next_heartbeat = this->clock.Now() + kHeartbeat;
      this->Broadcast([](Entry&) {});
    }
    if (!this->ledger.HasLearned(this->ReportInterval())) {
      return;
    }
    const auto limits = this->ledger.Limits();
    own.limiter->OnLimits(limits);
    if (this->publisher.Take(limits, this->AliveCount())) {
      this->Broadcast([limits, epoch = this->publisher.Epoch()](Entry& entry) {
        if (epoch > entry.epoch) {
          entry.epoch = epoch;
          entry.limiter->OnLimits(limits);
        }
      });
    }
  }

  void Broadcast(const std::function<void(Entry&)>& receive) {
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
      if (i == this->holder || !this->entries[i].alive) {
        continue;
      }
      this->Post(*this->holder, i, [this, i, lease = this->lease, receive] {
        Entry& entry = this->entries[i];
        if (lease < entry.known_lease) {
          return;
        }
        if (lease > entry.known_lease) {
          entry.known_lease = lease;
          entry.epoch = 0;
        }
        entry.limiter->OnHolderMessage();
        receive(entry);
      });
    }
  }

  // The load of the entries follows Zipf's law, and moves every 3 s.
  [[nodiscard]] std::size_t DrawEntry() {
    constexpr double kExponent = 0.8;
    const std::size_t count = this->entries.size();
    while (this->zipf.size() < count) {
      const double before = this->zipf.empty() ? 0 : this->zipf.back();
      this->zipf.push_back(
          before +
          std::pow(static_cast<double>(this->zipf.size() + 1), -kExponent));
    }
    const double drawn = this->random.NextDouble() * this->zipf[count - 1];
    const auto rank = static_cast<std::size_t>(
        std::ranges::upper_bound(this->zipf, drawn) - this->zipf.begin());
    const auto moves = static_cast<std::size_t>(
        (this->clock.Now() - this->start) / seconds(3));
    std::size_t index = (rank * 7 + moves * 5) % count;
    while (!this->entries[index].alive) {
      index = (index + 1) % count;
    }
    return index;
  }

  [[nodiscard]] double DrawUnits(const CallerLoad& caller) {
    if (!caller.has_long_requests) {
      return caller.mean_units;
    }
    // Exponential with a cap, from 0.2 to 11 times the mean.
    const double drawn = -std::log(1 - this->random.NextDouble());
    return caller.mean_units * std::min(0.2 + 0.8 * drawn, 11.0);
  }

  void SendRequests(std::size_t index) {
    const CallerLoad& caller = this->callers[index];
    CallerLog& log = this->logs[index];
    const TimePoint now = this->clock.Now();
    const double rate =
        caller.demand(now - this->start) / caller.mean_units * Seconds(kStep);
    // The number of requests follows a Poisson distribution.
    const double end = std::exp(-rate);
    for (double product = this->random.NextDouble(); product > end;
         product *= this->random.NextDouble()) {
      const double units = this->DrawUnits(caller);
      QuotaLimiter& limiter = *this->entries[this->DrawEntry()].limiter;
      const bool admitted = std::holds_alternative<QuotaGranted>(
          limiter.Charge(caller.workspace, units));
      if (admitted) {
        limiter.OnSent(caller.workspace.id, units);
      }
      log.items.push_back({now, units, admitted});
    }
  }

  ManualClock clock;
  SeededRandom random;
  std::vector<CallerLoad> callers;
  std::vector<CallerLog> logs;
  std::vector<Entry> entries;
  std::multimap<TimePoint, std::function<void()>> network;
  QuotaLedger ledger{this->clock};
  LimitPublisher publisher{this->clock};
  std::optional<std::size_t> holder;
  LogOffset lease;
  TimePoint start;
  TimePoint next_holder_tick;
  TimePoint next_heartbeat;
  std::vector<double> zipf;
  std::size_t reports = 0;
};

}  // namespace pimentospar::test

#endif  // TEST_QUOTA_SIMULATION_H_
