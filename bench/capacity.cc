// Measures how the cost of control grows with the size of the system: processor
// time and memory of the decision modules alone, on a passed-in clock, without
// processes or a network.
#include <fmt/format.h>
#include <malloc.h>
#include <popt.h>

#include <chrono>
#include <ctime>
#include <memory>
#include <string>
#include <vector>

#include "control/gossip_codec.h"
#include "pimentospar/claims.h"
#include "pimentospar/config_log.h"
#include "pimentospar/membership.h"
#include "pimentospar/placement.h"
#include "pimentospar/target_choice.h"

namespace pimentospar {
namespace {

// Processor time of this thread, which other load on the machine does not
// change much.
double CpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

std::size_t HeapBytes() {
  return mallinfo2().uordblks;
}

void Print(const char* part,
           std::size_t size,
           double microseconds,
           std::size_t heap) {
  fmt::print(
      "bench=capacity part={} size={} cpu_us_per_step={:.2f} heap_bytes={}\n",
      part, size, microseconds, heap);
}

MemberUpdate MemberAt(std::size_t index) {
  MemberUpdate update;
  update.address =
      MemberAddress(fmt::format("10.0.{}.{}:7000", index / 250, index % 250));
  update.instance = InstanceId{index + 1};
  update.incarnation = 1;
  update.payload.role = MemberRole::kAgent;
  update.payload.region = RegionId("r");
  update.payload.data_centre = DataCentreId("d");
  update.payload.rpc_address = RpcAddress(update.address.value);
  update.payload.target = TargetId(fmt::format("t{}", index));
  for (int model = 0; model < 6; ++model) {
    update.payload.models.push_back(
        ModelId(fmt::format("model-{}", index * 6 + model)));
  }
  return update;
}

// One member that knows `size` others: a second of ticks, one probe received
// and its answer.
void MeasureMembership(std::size_t size, std::uint64_t seed) {
  ManualClock clock;
  SeededRandom random(seed);
  const std::size_t before = HeapBytes();
  Membership::Options options;
  options.address = MemberAddress("10.9.9.9:7000");
  options.instance = InstanceId{1U << 30};
  options.payload = MemberAt(9999).payload;
  Membership membership(options, clock, random);
  GossipMessage message;
  message.region = RegionId("r");
  for (std::size_t i = 0; i < size; ++i) {
    message.updates = {MemberAt(i)};
    message.from = message.updates[0].address;
    message.instance = message.updates[0].instance;
    message.incarnation = 1;
    message.body = Probe{ProbeId{i}};
    (void)membership.OnMessage(message);
    clock.Advance(std::chrono::milliseconds(10));
  }
  std::size_t bytes = 0;
  std::size_t messages = 0;
  // Counts what is sent, and has every probe answered at once.
  const auto count = [&](const MembershipActions& actions) {
    std::vector<GossipMessage> answers;
    for (const MembershipAction& action : actions) {
      const auto* sent = std::get_if<SendGossip>(&action);
      if (sent == nullptr) {
        continue;
      }
      bytes += EncodeGossip(sent->message).size();
      ++messages;
      const MemberUpdate* to = membership.Find(sent->to);
      const auto* probe = std::get_if<Probe>(&sent->message.body);
      if (probe == nullptr || to == nullptr) {
        continue;
      }
      GossipMessage answer;
      answer.from = to->address;
      answer.instance = to->instance;
      answer.incarnation = to->incarnation;
      answer.region = RegionId("r");
      answer.body = Ack{probe->probe};
      answers.push_back(std::move(answer));
    }
    for (const GossipMessage& answer : answers) {
      (void)membership.OnMessage(answer);
    }
  };
  constexpr std::size_t kSeconds = 60;
  const double start = CpuSeconds();
  for (std::size_t second = 0; second < kSeconds; ++second) {
    for (int tick = 0; tick < 20; ++tick) {
      clock.Advance(std::chrono::milliseconds(50));
      count(membership.OnTick());
    }
    const std::size_t from = second % size;
    message.updates = {MemberAt(from)};
    message.from = message.updates[0].address;
    message.instance = message.updates[0].instance;
    message.body = Probe{ProbeId{second}};
    count(membership.OnMessage(message));
  }
  const double us = (CpuSeconds() - start) * 1e6 / kSeconds;
  Print("membership", size, us, HeapBytes() - before);
  fmt::print(
      "bench=capacity part=membership size={} sent_bytes_per_s={} "
      "sent_per_s={:.1f}\n",
      size, bytes / kSeconds, static_cast<double>(messages) / kSeconds);
}

Configuration MakeConfiguration(std::size_t models, std::size_t targets) {
  Configuration configuration;
  configuration.regions = {{RegionId("r"), {DataCentreId("d")}}};
  configuration.owners = {{OwnerId("o")}};
  for (std::size_t i = 0; i < models; ++i) {
    ModelConfig model;
    model.id = ModelId(fmt::format("model-{}", i));
    model.weight_bytes = Bytes{10} << 30;
    model.kv_bytes_per_token = 131'072;
    model.owner = OwnerId("o");
    configuration.models.push_back(model);
  }
  for (std::size_t i = 0; i < targets; ++i) {
    TargetConfig target;
    target.id = TargetId(fmt::format("t{}", i));
    target.region = RegionId("r");
    target.data_centre = DataCentreId("d");
    target.accelerators = 4;
    target.memory_bytes = Bytes{320} << 30;
    configuration.targets.push_back(target);
  }
  return configuration;
}

// A change of a configuration with `size` models: judged, hashed and put in
// force.
void MeasureConfig(std::size_t size, std::uint64_t seed) {
  ManualClock clock;
  SeededRandom random(seed);
  const std::size_t before = HeapBytes();
  ConfigLog log(clock, random, {.first_offset = LogOffset{1}});
  ChangeDraft draft{.id = MakeRecordId(random),
                    .author = "bench",
                    .prev_hash = std::string(kGenesisHash),
                    .content = ToJson(MakeConfiguration(size, size * 3 / 10)),
                    .is_document = true};
  ConfigRecord record{LogOffset{1}, 0, MakeChange(draft)};
  (void)log.OnLogRecords({&record, 1});
  constexpr int kChanges = 10;
  const double start = CpuSeconds();
  std::size_t record_bytes = 0;
  for (int i = 0; i < kChanges; ++i) {
    draft = {
        .id = MakeRecordId(random),
        .author = "bench",
        .base = *log.Version(),
        .prev_hash = std::string(log.ChainHead()),
        .content = fmt::format(
            R"([{{"op":"replace","path":"/models/{}/version","value":"v{}"}}])",
            i, i)};
    record = {LogOffset{static_cast<std::uint64_t>(i) + 2}, 0,
              MakeChange(draft)};
    record_bytes = record.body.size();
    (void)log.OnLogRecords({&record, 1});
  }
  const double us = (CpuSeconds() - start) * 1e6 / kChanges;
  if (log.Version()->value != kChanges + 1) {
    fmt::print("bench=capacity part=config error=not_accepted\n");
  }
  Print("config", size, us, HeapBytes() - before);
  fmt::print(
      "bench=capacity part=config size={} document_bytes={} change_bytes={}\n",
      size, log.Document().size(), record_bytes);
}

// The choice of a target for one request among `size` targets, a tenth of which
// have the model.
void MeasureChoice(std::size_t size, std::uint64_t seed) {
  ManualClock clock;
  SeededRandom random(seed);
  const std::size_t before = HeapBytes();
  TargetChoiceOptions options;
  options.region = RegionId("r");
  options.data_centre = DataCentreId("d");
  TargetPicker picker(clock, random, options);
  for (std::size_t i = 0; i < size; ++i) {
    const TargetId target(fmt::format("t{}", i));
    picker.OnTargetUpdated({target, RegionId("r"), DataCentreId("d")});
    LoadedItems loaded;
    for (std::size_t model = 0; model < 6; ++model) {
      loaded.models.push_back(
          ModelId(fmt::format("model-{}", (i * 6 + model) % 2000)));
    }
    picker.OnLoadReport({.target = target, .sequence = 1, .loaded = loaded});
  }
  constexpr std::size_t kRequests = 2000;
  const double start = CpuSeconds();
  for (std::size_t i = 0; i < kRequests; ++i) {
    const ModelId model(fmt::format("model-{}", i % 2000));
    const TargetChoice choice = picker.Pick({.model = model});
    if (const auto* picked = std::get_if<PickedTarget>(&choice)) {
      picker.OnSent(
          {AttemptId{i + 1}, picked->target, std::chrono::milliseconds(100)});
      picker.OnEnd(AttemptId{i + 1}, AttemptResult::kSucceeded);
    }
  }
  const double us = (CpuSeconds() - start) * 1e6 / kRequests;
  Print("target_choice", size, us, HeapBytes() - before);
}

// A step of the planner with `size` models on a third as many targets; every
// tenth step, the demand of one model changes tenfold.
void MeasurePlanner(std::size_t size, std::uint64_t seed) {
  ManualClock clock;
  SeededRandom random(seed);
  const std::size_t before = HeapBytes();
  const std::size_t targets = size * 3 / 10;
  const Configuration configuration = MakeConfiguration(size, targets);
  PlacementPlanner planner(clock, configuration, {});
  for (std::size_t i = 0; i < targets; ++i) {
    TargetReport report;
    report.target = configuration.targets[i].id;
    report.live = true;
    report.capacity_bytes = configuration.targets[i].memory_bytes;
    for (std::size_t model = i; model < size; model += targets) {
      report.copies.push_back({configuration.models[model].id});
    }
    planner.OnTarget(report);
  }
  for (const ModelConfig& model : configuration.models) {
    planner.OnDemand(model.id, {0.5, 300, 300});
  }
  constexpr std::size_t kSteps = 100;
  const double start = CpuSeconds();
  std::size_t moves = 0;
  for (std::size_t step = 0; step < kSteps; ++step) {
    clock.Advance(std::chrono::seconds(1));
    if (step % 10 == 0) {
      const ModelId& model = configuration.models[random.NextBelow(size)].id;
      planner.OnDemand(model, {200.0, 300, 300});
    }
    moves += planner.Step({.free_grants = 1, .free_adapter_loads = 4}).size();
  }
  const double us = (CpuSeconds() - start) * 1e6 / kSteps;
  Print("planner", size, us, HeapBytes() - before);
  fmt::print("bench=capacity part=planner size={} moves_in_100_steps={}\n",
             size, moves);
}

// A claims shard that holds `size` keys: reading one record.
void MeasureClaims(std::size_t size, std::uint64_t seed) {
  ManualClock clock;
  SeededRandom random(seed);
  const std::size_t before = HeapBytes();
  ClaimsOptions options;
  options.instance = InstanceId{1};
  options.region = RegionId("r");
  options.max_claims = size + 1;
  ClaimsShard shard(options, clock, random);
  (void)shard.Start();
  std::vector<std::string> bodies;
  std::size_t record_bytes = 0;
  constexpr std::size_t kGroup = 16;
  for (std::size_t i = 0; i < size; i += kGroup) {
    RecordGroup group{GroupId::Generate(random), {}};
    for (std::size_t j = 0; j < kGroup; ++j) {
      const ClaimId id = ClaimId::Generate(random);
      group.records.emplace_back(
          ClaimRecord{id,
                      HashKey(OwnerId("o"), OperationId("create"),
                              fmt::format("key-{}", i + j)),
                      HashBody("body"), OwnerId("o"), InstanceId{2},
                      ConfigVersion{0}, std::chrono::seconds(30)});
      group.records.emplace_back(DoneRecord{id, 200, std::string(64, 'a'), ""});
    }
    bodies.push_back(Encode(group));
    record_bytes += bodies.back().size();
  }
  const std::size_t made = HeapBytes();
  const double start = CpuSeconds();
  std::uint64_t offset = 1;
  for (const std::string& body : bodies) {
    const StreamRecord record{LogOffset{offset}, body};
    ++offset;
    (void)shard.OnRead({LogOffset{1}, LogOffset{offset}, {&record, 1}});
  }
  const double us = (CpuSeconds() - start) * 1e6 / static_cast<double>(size);
  Print("claims", size, us, HeapBytes() - made);
  fmt::print(
      "bench=capacity part=claims size={} log_bytes_per_operation={} keys={}\n",
      size, record_bytes / size, shard.ClaimCount());
  (void)before;
}

int Main(int argc, const char** argv) {
  long long seed = 1;
  const poptOption table[] = {{"seed", 0, POPT_ARG_LONGLONG, &seed, 0,
                               "Seed of the random source", "N"},
                              POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext("bench-capacity", argc, argv, table, 0), &poptFreeContext);
  if (poptGetNextOpt(context.get()) < -1) {
    poptPrintUsage(context.get(), stderr, 0);
    return 2;
  }
  const auto number = static_cast<std::uint64_t>(seed);
  for (const std::size_t size : {34, 167, 334}) {
    MeasureMembership(size, number);
  }
  for (const std::size_t size : {200, 1000, 2000}) {
    MeasureConfig(size, number);
  }
  for (const std::size_t size : {61, 305, 610}) {
    MeasureChoice(size, number);
  }
  for (const std::size_t size : {200, 1000, 2000}) {
    MeasurePlanner(size, number);
  }
  for (const std::size_t size : {1000, 10'000, 100'000}) {
    MeasureClaims(size, number);
  }
  return 0;
}

}  // namespace
}  // namespace pimentospar

int main(int argc, const char** argv) {
  return pimentospar::Main(argc, argv);
}
