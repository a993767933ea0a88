#define BOOST_TEST_MODULE memory_account
#include "pimentospar/memory_account.h"

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>

namespace pimentospar {
namespace {

using std::chrono::seconds;

constexpr Bytes kMemory = 15;
constexpr Bytes kPool = 3;

Item Weights(const char* id) {
  return {ItemKind::kWeights, ItemId(id)};
}

const std::vector<HeldItem>& Catalogue() {
  static const std::vector<HeldItem> items = {
      {Weights("w3"), 3},
      {Weights("w4"), 4},
      {Weights("w5"), 5},
      {Weights("w6"), 6},
      {{ItemKind::kAdapter, ItemId("a1")}, 1},
      {{ItemKind::kAdapter, ItemId("a2")}, 2},
      {{ItemKind::kAdapter, ItemId("b2")}, 2},
      {{ItemKind::kRole, ItemId("r1")}, 1},
      {{ItemKind::kRole, ItemId("r2")}, 2}};
  return items;
}

// An engine that executes every order without checking its memory.
struct Engine {
  bool checks_fencing = false;
  EngineReport state{Incarnation{1}, {}, kMemory, 0, {}};
  bool overcommitted = false;
  std::uint64_t loads = 0;

  void Check() {
    Bytes sum = 0;
    Bytes adapters = 0;
    for (const HeldItem& held : this->state.items) {
      sum += held.bytes;
      adapters += held.item.kind == ItemKind::kAdapter ? held.bytes : 0;
    }
    this->overcommitted |= sum > kMemory || adapters > kPool;
  }

  OrderOutcome Take(const Order& order) {
    if (this->checks_fencing) {
      if (order.fencing < this->state.fencing) {
        return OrderOutcome::kFenced;
      }
      this->state.fencing = order.fencing;
    }
    auto& items = this->state.items;
    const auto is_same_item = [&](const HeldItem& h) {
      return h.item == order.item;
    };
    if (order.kind == OrderKind::kUnload) {
      std::erase_if(items, is_same_item);
    } else if (order.kind == OrderKind::kLoad &&
               std::ranges::none_of(items, is_same_item)) {
      items.push_back({order.item, order.bytes});
      ++this->loads;
      this->Check();
      if (order.item.kind == ItemKind::kRole) {
        std::erase_if(items, [&](const HeldItem& held) {
          return held.item.kind == ItemKind::kRole && !is_same_item(held);
        });
      }
    }
    return OrderOutcome::kDone;
  }

  void Restart() {
    this->state.incarnation.value++;
    this->state.fencing = {};
    this->state.items.clear();
  }
};

struct Agent {
  std::unique_ptr<OrderManager> manager;
  std::vector<ItemReport> reports;
};

struct Message {
  std::size_t agent;
  OrderAction action;
  // Set once the engine has answered a state read.
  std::optional<EngineReport> state;
};

// Simulates agents, the log and an engine. Messages wait until a schedule picks
// them, so an agent is paused while its messages are not picked.
struct World {
  ManualClock clock;
  SeededRandom random{7};
  Engine engine;
  std::vector<TargetRecord> records;
  std::vector<Agent> agents;
  std::vector<Message> messages;
  std::vector<Message> late;
  bool log_down = false;
  bool connection_rule = true;
  OrderManager::Options options;

  explicit World(bool checks_fencing) {
    this->engine.checks_fencing = checks_fencing;
    this->options.checks_fencing = checks_fencing;
    this->options.memory = {kMemory, kPool};
  }

  std::size_t StartAgent() {
    this->options.instance = {this->agents.size() + 1};
    this->agents.push_back({std::make_unique<OrderManager>(
        this->options, this->clock, this->random)});
    const std::size_t agent = this->agents.size() - 1;
    this->Take(agent, this->Manager(agent).Start());
    return agent;
  }

  OrderManager& Manager(std::size_t agent) {
    return *this->agents[agent].manager;
  }

  void Take(std::size_t agent, OrderActions actions) {
    for (OrderAction& action : actions) {
      if (auto* report = std::get_if<ItemReport>(&action)) {
        this->agents[agent].reports.push_back(*report);
      } else if (!std::holds_alternative<Superseded>(action)) {
        this->messages.push_back({agent, std::move(action)});
      }
    }
  }

  [[nodiscard]] bool Reaches(ConnectionId connection) const {
    return !this->connection_rule ||
           connection.value == this->engine.state.incarnation.value;
  }

  LogOffset Land(const TargetRecord& record) {
    this->records.push_back(record);
    return {this->records.size() - 1};
  }

  // Delivers one message. `fault` is 0 for none, 1 if the message is lost and
  // may arrive late, 2 if its answer is lost and an order may arrive again. Any
  // other value loses only the answer to an order.
  void Run(std::size_t index, unsigned fault) {
    Message message = std::move(this->messages[index]);
    this->messages.erase(this->messages.begin() + static_cast<long>(index));
    OrderManager& manager = this->Manager(message.agent);
    OrderActions next;
    if (const auto* append = std::get_if<AppendRecord>(&message.action)) {
      if (this->log_down || fault == 1) {
        this->late.push_back(message);
        next = manager.OnAppendUnanswered(append->record.id);
      } else {
        const LogOffset offset = this->Land(append->record);
        next = fault == 2 ? manager.OnAppendUnanswered(append->record.id)
                          : manager.OnAppendAnswered(append->record.id, offset);
      }
    } else if (const auto* read =
                   std::get_if<ReadTargetStream>(&message.action)) {
      next = this->log_down || fault == 1 ? manager.OnReadFailed()
                                          : this->Read(manager, *read);
    } else if (const auto* send = std::get_if<SendOrder>(&message.action)) {
      next = manager.OnOrderEnded(send->order.id,
                                  this->Deliver(message, *send, fault));
    } else if (message.state) {
      const StateReadId id = std::get<ReadState>(message.action).read;
      next = fault == 1
                 ? manager.OnStateReadFailed(id)
                 : manager.OnState(
                       id, ConnectionId{message.state->incarnation.value},
                       *message.state);
    } else {
      message.state = this->engine.state;
      this->messages.push_back(std::move(message));
      return;
    }
    this->Take(message.agent, std::move(next));
  }

  OrderActions Read(OrderManager& manager, const ReadTargetStream& read) {
    std::vector<StoredTargetRecord> batch;
    std::uint64_t at = read.from.value;
    for (; at < this->records.size() && batch.size() < 3; ++at) {
      batch.push_back({LogOffset{at}, this->records[at]});
    }
    return manager.OnRecords(batch, LogOffset{at});
  }

  OrderOutcome Deliver(const Message& message,
                       const SendOrder& send,
                       unsigned fault) {
    if (fault == 1 || fault == 2) {
      this->late.push_back(message);
    }
    if (!this->Reaches(send.connection)) {
      return fault == 0 ? OrderOutcome::kNotSent : OrderOutcome::kUnanswered;
    }
    if (fault == 1) {
      return OrderOutcome::kUnanswered;
    }
    const OrderOutcome outcome = this->engine.Take(send.order);
    return fault == 0 ? outcome : OrderOutcome::kUnanswered;
  }

  // Delivers a lost append or order late. An order can arrive several times, an
  // append once.
  void Arrive(std::size_t index) {
    const Message message = this->late[index];
    if (const auto* append = std::get_if<AppendRecord>(&message.action)) {
      this->Land(append->record);
      this->late.erase(this->late.begin() + static_cast<long>(index));
      return;
    }
    const auto& send = std::get<SendOrder>(message.action);
    if (this->Reaches(send.connection)) {
      (void)this->engine.Take(send.order);
    }
  }

  void Step(unsigned choice) {
    const unsigned argument = choice / 16;
    const auto any = [&](const auto& list) { return argument % list.size(); };
    switch (choice % 16) {
      case 0:
        if (argument % 4 == 0 && this->agents.size() < 5) {
          this->StartAgent();
        }
        return;
      case 1:
        if (argument % 4 == 0) {
          this->engine.Restart();
        } else if (argument % 4 == 1) {
          this->log_down = !this->log_down;
        }
        return;
      case 2:
      case 3:
        if (!this->late.empty()) {
          this->Arrive(any(this->late));
        }
        return;
      case 4:
      case 5:
      case 6: {
        const std::size_t agent = any(this->agents);
        const HeldItem& item = Catalogue()[argument / 8 % Catalogue().size()];
        this->Take(agent, argument / 128 % 3 == 0
                              ? this->Manager(agent).RequestUnload(item.item)
                              : this->Manager(agent).RequestLoad(item.item,
                                                                 item.bytes));
        return;
      }
      case 7:
        this->clock.Advance(argument % 64 == 0
                                ? Duration(std::chrono::hours(40))
                                : std::chrono::milliseconds(argument % 1500));
        for (std::size_t agent = 0; agent < this->agents.size(); ++agent) {
          this->Take(agent, this->Manager(agent).OnTick());
        }
        return;
      default:
        if (!this->messages.empty()) {
          // A third of the appends and most orders meet a fault; see `Run`.
          this->Run(any(this->messages), argument / 64 % 6);
        }
    }
  }

  // Delivers all messages without faults.
  void Settle() {
    this->log_down = false;
    for (int round = 0; round < 40; ++round) {
      this->clock.Advance(seconds(1));
      for (std::size_t agent = 0; agent < this->agents.size(); ++agent) {
        this->Take(agent, this->Manager(agent).OnTick());
      }
      for (int steps = 0; !this->messages.empty() && steps < 1000; ++steps) {
        this->Run(0, 0);
      }
    }
  }

  [[nodiscard]] bool Holds(const Item& item) const {
    return std::ranges::any_of(
        this->engine.state.items,
        [&](const HeldItem& held) { return held.item == item; });
  }

  // Delivers the messages of one agent until it would send a load order.
  void RunUntilOrder(std::size_t agent) {
    for (int steps = 0; steps < 100; ++steps) {
      const auto next =
          std::ranges::find_if(this->messages, [&](const Message& message) {
            return message.agent == agent && !this->IsLoad(message);
          });
      if (next == this->messages.end()) {
        return;
      }
      this->Run(static_cast<std::size_t>(next - this->messages.begin()), 0);
    }
  }

  [[nodiscard]] static bool IsLoad(const Message& message) {
    const auto* send = std::get_if<SendOrder>(&message.action);
    return send != nullptr && send->order.kind == OrderKind::kLoad;
  }

  // Starts an agent and pauses it just before it sends a load order.
  std::size_t StartAndPause(const char* item, Bytes bytes) {
    const std::size_t agent = this->StartAgent();
    this->RunUntilOrder(agent);
    this->Take(agent, this->Manager(agent).RequestLoad(Weights(item), bytes));
    this->RunUntilOrder(agent);
    const auto paused = std::ranges::find_if(this->messages, IsLoad);
    BOOST_REQUIRE(paused != this->messages.end());
    this->late.push_back(*paused);
    this->messages.erase(paused);
    return agent;
  }
};

struct Totals {
  std::uint64_t loads = 0;
  std::uint64_t checked = 0;
  std::uint64_t overcommitted = 0;
};

constexpr int kSchedulesPerCase = 20;

std::vector<unsigned> Schedule() {
  return *rc::gen::resize(rc::kNominalSize,
                          rc::gen::container<std::vector<unsigned>>(
                              400, rc::gen::inRange(0U, 1U << 16U)));
}

void RunSchedule(World& world, Totals& totals) {
  world.StartAgent();
  for (const unsigned choice : Schedule()) {
    world.Step(choice);
    if (world.engine.overcommitted) {
      ++totals.overcommitted;
      return;
    }
  }
  totals.loads += world.engine.loads;
}

void CheckSchedule(World& world, Totals& totals) {
  RunSchedule(world, totals);
  RC_ASSERT(!world.engine.overcommitted);
  // The faults end, and a new agent takes over.
  world.late.clear();
  world.Settle();
  RC_ASSERT(!world.engine.overcommitted);
  const std::size_t agent = world.StartAgent();
  world.Settle();
  OrderManager& manager = world.Manager(agent);
  RC_ASSERT(manager.IsActive());
  for (const HeldItem& wanted : Catalogue()) {
    if (!manager.Account().Fits(wanted.item, wanted.bytes)) {
      continue;
    }
    world.Take(agent, manager.RequestLoad(wanted.item, wanted.bytes));
    world.Settle();
    RC_ASSERT(world.Holds(wanted.item));
    RC_ASSERT(!world.engine.overcommitted);
    ++totals.checked;
  }
}

// Guards against overcommitted memory, and against an agent that can no longer
// load items after faults, at engines that check fencing tokens and those that
// do not.
BOOST_AUTO_TEST_CASE(SchedulesNeverOvercommit) {
  for (const bool checks_fencing : {false, true}) {
    Totals totals;
    BOOST_TEST(rc::check([&] {
      for (int count = 0; count < kSchedulesPerCase; ++count) {
        World world(checks_fencing);
        CheckSchedule(world, totals);
      }
    }));
    BOOST_TEST(totals.loads > 5000U);
    BOOST_TEST(totals.checked > 5000U);
  }
}

// Guards against schedules that cannot detect the fault which the connection
// rule of OrderManager prevents: without the rule, some schedule must
// overcommit.
BOOST_AUTO_TEST_CASE(SchedulesFindOvercommitWithoutConnectionRule) {
  Totals totals;
  rc::check([&] {
    for (int count = 0; count < kSchedulesPerCase; ++count) {
      World world(false);
      world.connection_rule = false;
      RunSchedule(world, totals);
    }
  });
  BOOST_TEST_MESSAGE("overcommitted " << totals.overcommitted);
  BOOST_TEST(totals.overcommitted > 0U);
}

// Guards against an agent that gives away memory which unanswered orders of two
// earlier, paused agents can still take.
BOOST_AUTO_TEST_CASE(ChargesTheOrdersOfTwoPausedPredecessors) {
  World world(false);
  world.StartAndPause("w5", 5);
  world.StartAndPause("w4", 4);
  const std::size_t third = world.StartAgent();
  world.Settle();
  const Item wanted = Weights("w6");
  world.Take(third, world.Manager(third).RequestLoad(wanted, 6));
  world.Settle();
  BOOST_REQUIRE(!world.agents[third].reports.empty());
  BOOST_TEST(
      (world.agents[third].reports.back().result == ItemResult::kNoMemory));
  world.Arrive(0);
  world.Arrive(1);
  world.Settle();
  BOOST_TEST(world.Holds(Weights("w5")));
  world.Take(third, world.Manager(third).RequestUnload(Weights("w5")));
  BOOST_TEST(
      (world.agents[third].reports.back().result == ItemResult::kPinned));
  // The orders end with their connections, so a restart of the engine frees the
  // memory.
  world.engine.Restart();
  world.Settle();
  world.Take(third, world.Manager(third).RequestLoad(wanted, 6));
  world.Settle();
  world.Arrive(0);
  world.Arrive(1);
  BOOST_TEST(world.Holds(wanted));
  BOOST_TEST(!world.engine.overcommitted);
}

// Guards against a charge that is released by a settle record although the
// order took effect after the last state read was sent.
BOOST_AUTO_TEST_CASE(KeepsTheChargeOfASettledOrderUntilAStateShows) {
  World world(false);
  const std::size_t first = world.StartAndPause("w6", 6);
  const std::size_t second = world.StartAgent();
  world.RunUntilOrder(second);
  const MemoryAccount& account = world.Manager(second).Account();
  BOOST_REQUIRE(account.Find(Weights("w6"))->pinned);
  // The order arrives after the state was read and before the answer is
  // delivered.
  world.clock.Advance(seconds(40));
  world.Take(second, world.Manager(second).OnTick());
  const auto is_read = [&](const Message& message) {
    return message.agent == second &&
           std::holds_alternative<ReadState>(message.action);
  };
  const auto read = std::ranges::find_if(world.messages, is_read);
  BOOST_REQUIRE(read != world.messages.end());
  Message answer = *read;
  answer.state = world.engine.state;
  world.messages.erase(read);
  const auto& send = std::get<SendOrder>(world.late[0].action);
  world.Take(first, world.Manager(first).OnOrderEnded(
                        send.order.id, world.engine.Take(send.order)));
  world.Take(first, world.Manager(first).OnTick());
  for (int steps = 0; steps < 30 && !world.messages.empty(); ++steps) {
    world.Run(0, 0);
  }
  world.clock.Advance(seconds(40));
  world.Take(second, world.Manager(second).OnTick());
  for (int steps = 0; steps < 30 && !world.messages.empty(); ++steps) {
    world.Run(0, 0);
  }
  BOOST_TEST(!account.Find(Weights("w6"))->pinned);
  world.messages.insert(world.messages.begin(), std::move(answer));
  world.Run(0, 0);
  BOOST_REQUIRE(account.Find(Weights("w6")) != nullptr);
  world.Settle();
  BOOST_TEST((account.Find(Weights("w6"))->state == ChargeState::kLoaded));
}

// Guards against settling an order of which a duplicate can still arrive.
BOOST_AUTO_TEST_CASE(NeverSettlesAnOrderThatWasLost) {
  World world(false);
  const std::size_t first = world.StartAndPause("w6", 6);
  const auto& send = std::get<SendOrder>(world.late[0].action);
  world.Take(first, world.Manager(first).OnOrderEnded(
                        send.order.id, OrderOutcome::kUnanswered));
  // The order is repeated and answered before a state read shows the item.
  world.Settle();
  BOOST_REQUIRE(world.Holds(Weights("w6")));
  const std::size_t second = world.StartAgent();
  world.Settle();
  BOOST_TEST(world.Manager(second).Account().Find(Weights("w6"))->pinned);
}

// Guards against a restarted engine, which has lost the fencing token,
// executing orders of an earlier agent.
BOOST_AUTO_TEST_CASE(FencesAgainAfterARestart) {
  World world(true);
  world.StartAndPause("w6", 6);
  const std::size_t second = world.StartAgent();
  world.Settle();
  BOOST_TEST((world.engine.state.fencing == world.Manager(second).Token()));
  world.Arrive(0);
  BOOST_TEST(!world.Holds(Weights("w6")));
  world.engine.Restart();
  world.Settle();
  BOOST_TEST((world.engine.state.fencing == world.Manager(second).Token()));
}

// Guards against a pin that stays after an unanswered order although a new
// fencing token can end it.
BOOST_AUTO_TEST_CASE(RenewsTheEpochAfterALostAnswer) {
  World world(true);
  const std::size_t agent = world.StartAndPause("w6", 6);
  const FencingToken before = world.Manager(agent).Token();
  const auto& send = std::get<SendOrder>(world.late[0].action);
  world.Take(agent, world.Manager(agent).OnOrderEnded(
                        send.order.id, OrderOutcome::kUnanswered));
  BOOST_TEST(world.Manager(agent).Account().Find(Weights("w6"))->pinned);
  world.Settle();
  BOOST_TEST((world.Manager(agent).Token() > before));
  world.Take(agent, world.Manager(agent).RequestUnload(Weights("w6")));
  world.Settle();
  world.Arrive(0);
  BOOST_TEST(!world.Holds(Weights("w6")));
  BOOST_TEST(world.Manager(agent).Account().Charged() == kPool);
}

// Guards against sending an order whose intent follows the epoch of another
// agent on the log.
BOOST_AUTO_TEST_CASE(DropsAnIntentBehindANewerEpoch) {
  World world(false);
  const std::size_t first = world.StartAgent();
  world.Settle();
  world.StartAgent();
  world.RunUntilOrder(1);
  world.Take(first, world.Manager(first).RequestLoad(Weights("w6"), 6));
  world.RunUntilOrder(first);
  BOOST_TEST(world.Manager(first).IsSuperseded());
  BOOST_TEST(std::ranges::none_of(world.messages, World::IsLoad));
}

// Guards against open intents being removed by the log's retention.
BOOST_AUTO_TEST_CASE(RepeatsOpenIntentsInNewEpochs) {
  World world(false);
  world.StartAndPause("w6", 6);
  const std::size_t second = world.StartAgent();
  world.Settle();
  const std::size_t before = world.records.size();
  world.clock.Advance(world.options.log_retention / 4);
  world.Settle();
  BOOST_REQUIRE(world.records.size() > before);
  // An agent that reads only the remaining records still charges the item.
  TargetLog log;
  for (std::size_t at = before; at < world.records.size(); ++at) {
    log.Apply({LogOffset{at}, world.records[at]});
  }
  BOOST_TEST(log.OpenIntents().size() == 1U);
  BOOST_TEST(!world.Manager(second).IsSuperseded());
}

// Guards against a repeated append that makes an earlier agent the owner again.
BOOST_AUTO_TEST_CASE(IgnoresRepeatedEpochs) {
  TargetLog log;
  const TargetRecord first{{1, 1}, EpochRecord{{1}, {}, {}}};
  const TargetRecord second{{2, 2}, EpochRecord{{2}, {}, {}}};
  const TargetRecord renewal{{3, 3}, EpochRecord{{1}, {}, LogOffset{0}}};
  BOOST_TEST(log.Apply({LogOffset{0}, first}));
  BOOST_TEST(log.Apply({LogOffset{1}, second}));
  BOOST_TEST(!log.Apply({LogOffset{2}, first}));
  BOOST_TEST(!log.Apply({LogOffset{3}, renewal}));
  BOOST_TEST(log.NewestEpoch()->offset.value == 1U);
}

// Guards against loads and unloads that stop during a log outage although they
// need no log, and against loads that do need it and go on: those at an engine
// that does not check fencing tokens.
BOOST_AUTO_TEST_CASE(KeepsServingOrdersDuringALogOutage) {
  for (const bool checks_fencing : {true, false}) {
    World world(checks_fencing);
    const std::size_t agent = world.StartAgent();
    world.Settle();
    world.Take(agent, world.Manager(agent).RequestLoad(Weights("w3"), 3));
    world.Settle();
    world.Take(agent, world.Manager(agent).RequestLoad(Weights("w4"), 4));
    world.Take(agent, world.Manager(agent).RequestUnload(Weights("w3")));
    for (int step = 0; step < 50; ++step) {
      world.log_down = true;
      world.clock.Advance(seconds(1));
      world.Take(agent, world.Manager(agent).OnTick());
      for (std::size_t left = world.messages.size(); left > 0; --left) {
        world.Run(0, 0);
      }
    }
    BOOST_TEST(!world.Holds(Weights("w3")));
    BOOST_TEST(world.Holds(Weights("w4")) == checks_fencing);
    world.Settle();
    BOOST_TEST(world.Holds(Weights("w4")));
  }
}

// Guards against charges that omit memory in use: KV cache, the adapter pool,
// and both roles during a change of role.
BOOST_AUTO_TEST_CASE(ChargesAllUses) {
  MemoryAccount account({kMemory, kPool});
  const Item old_role{ItemKind::kRole, ItemId("r1")};
  const Item new_role{ItemKind::kRole, ItemId("r2")};
  const Item adapter{ItemKind::kAdapter, ItemId("a2")};
  account.Observe(old_role, 4);
  BOOST_TEST(account.ReserveKv(5));
  BOOST_TEST(!account.ReserveKv(9));
  BOOST_TEST(!account.TryCharge(new_role, 4));
  BOOST_TEST(account.TryCharge(new_role, 3));
  BOOST_TEST(account.Charged() == kMemory);
  BOOST_TEST(account.TryCharge(adapter, 2));
  BOOST_TEST(account.Charged() == kMemory);
  BOOST_TEST(!account.TryCharge({ItemKind::kAdapter, ItemId("b2")}, 2));
  // A pinned charge beyond the capacity does not permit the load.
  account.Pin(Weights("w6"), 6);
  BOOST_TEST(!account.Fits(Weights("w6"), 6));
  account.Pin(adapter, 2);
  account.Release(adapter);
  BOOST_TEST(account.Find(adapter) != nullptr);
}

}  // namespace
}  // namespace pimentospar
