#define BOOST_TEST_MODULE config_freshness
#include "pimentospar/access/config_freshness.h"

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <memory>

#include "pimentospar/access/access_control.h"

namespace pimentospar {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRevokeTime{5000};
constexpr milliseconds kFreshTime{3500};
constexpr ConfigIdentity kOld{{1}, 7};
constexpr ConfigIdentity kNew{{2}, 8};

struct Fixture {
  Fixture() { this->freshness.OnConfig(kOld, true); }

  ManualClock clock;
  SeededRandom random{4};
  ConfigFreshness freshness{clock, random, kRevokeTime};
};

// Guards against a proof that counts from the end of a read: the version may
// have been replaced while the read waited.
BOOST_FIXTURE_TEST_CASE(ProofIsTheStartOfARead, Fixture) {
  BOOST_TEST(!this->freshness.IsFresh());
  const TimePoint began_at = this->clock.Now();
  this->clock.Advance(milliseconds(2000));
  this->freshness.OnOwnRead(began_at, kOld);
  this->clock.Advance(milliseconds(1499));
  BOOST_TEST(this->freshness.IsFresh());
  this->clock.Advance(milliseconds(1));
  BOOST_TEST(!this->freshness.IsFresh());
}

// Guards against a proof for a version that is not the newest one on the log,
// such as one that cannot be decoded or that a restored log has lost.
BOOST_FIXTURE_TEST_CASE(ReadOfAnotherVersionProvesNothing, Fixture) {
  this->freshness.OnOwnRead(this->clock.Now(), kNew);
  this->freshness.OnOwnRead(this->clock.Now(), std::nullopt);
  BOOST_TEST(!this->freshness.IsFresh());
  BOOST_TEST((this->freshness.ReadInterval() == milliseconds(4000)));
  this->freshness.OnOwnRead(this->clock.Now(), kOld);
  BOOST_TEST(this->freshness.IsFresh());
  BOOST_TEST((this->freshness.ReadInterval() == milliseconds(1000)));
}

// Guards against a proof from a datagram that was delayed: only the time at
// which its query was sent is known.
BOOST_FIXTURE_TEST_CASE(ReplyProvesTheTimeOfItsQuery, Fixture) {
  const std::uint64_t id = this->freshness.BeginQuery();
  this->clock.Advance(milliseconds(1000));
  const PeerFreshness reply{kOld, milliseconds(600)};
  BOOST_TEST((this->freshness.OnReply(id, reply) == ReplyEffect::kProof));
  BOOST_TEST((*this->freshness.Age() == milliseconds(1600)));
  BOOST_TEST((this->freshness.OnReply(id + 1, {kOld, milliseconds(0)}) ==
              ReplyEffect::kNoQuery));
  BOOST_TEST((this->freshness.OnReply(id, {kOld, milliseconds(-900)}) ==
              ReplyEffect::kNoProof));
  BOOST_TEST((*this->freshness.Age() == milliseconds(1600)));
  this->clock.Advance(milliseconds(2500));
  BOOST_TEST((this->freshness.OnReply(id, {kOld, milliseconds(0)}) ==
              ReplyEffect::kNoQuery));
}

BOOST_FIXTURE_TEST_CASE(ReplyOfAnotherVersionProvesNothing, Fixture) {
  const std::uint64_t id = this->freshness.BeginQuery();
  BOOST_TEST((this->freshness.OnReply(id, {kNew, milliseconds(0)}) ==
              ReplyEffect::kNewerConfig));
  BOOST_TEST((this->freshness.OnReply(id, {{kOld.version, 9}, {}}) ==
              ReplyEffect::kNewerConfig));
  BOOST_TEST(
      (this->freshness.OnReply(id, {{{0}, 9}, {}}) == ReplyEffect::kNoProof));
  BOOST_TEST((this->freshness.OnReply(id, {kOld, kFreshTime}) ==
              ReplyEffect::kNoProof));
  BOOST_TEST(!this->freshness.IsFresh());
}

// Guards against reads by all entries while the lease holder replies, and
// against an entry that does not read in time when it does not.
BOOST_FIXTURE_TEST_CASE(QueriesBeforeItReads, Fixture) {
  BOOST_TEST(this->freshness.ShouldRead());
  this->freshness.OnOwnRead(this->clock.Now(), kOld);
  BOOST_TEST((this->freshness.TimeUntilQuery() == milliseconds(800)));
  this->clock.Advance(milliseconds(1799));
  BOOST_TEST((this->freshness.TimeUntilQuery() == Duration(0)));
  BOOST_TEST(!this->freshness.ShouldRead());
  this->clock.Advance(milliseconds(600));
  BOOST_TEST(this->freshness.ShouldRead());
  this->freshness.OnConfig(kNew, false);
  BOOST_TEST(!this->freshness.ShouldRead());
  BOOST_TEST((this->freshness.TimeUntilQuery() == Duration::max()));
}

// Entries, the log and callers, on clocks that start at different times. Each
// version revokes one more key: version v accepts the keys from v on.
class Simulation {
 public:
  Simulation() {
    for (std::size_t i = 0; i < kEntries; ++i) {
      this->entries.push_back(std::make_unique<Entry>(i));
    }
  }

  struct Step {
    int kind;
    std::size_t entry;
    std::size_t other;
    int choice;
  };

  /// Returns false if a request with a revoked key was accepted too late.
  bool Apply(const Step& step) {
    Entry& entry = *this->entries[step.entry % kEntries];
    const std::size_t other = step.other % kEntries;
    if (step.kind < 6) {
      this->Advance(milliseconds(step.choice == 15 ? 3000 : 10 * step.choice));
    } else if (step.kind == 6) {
      if (step.choice % 4 == 0) {
        this->acknowledged.push_back(this->now);
      }
    } else if (step.kind == 7) {
      entry.frozen = step.choice % 8 == 0;
    } else if (step.kind == 8) {
      entry.cut = step.choice % 4 != 0;
    } else if (step.kind == 9 && step.choice % 8 == 0) {
      entry.Restart(++this->restarts);
    } else if (step.kind == 10) {
      entry.clock.SetWall(WallTime(std::chrono::hours(step.choice)));
    } else if (!entry.frozen && step.kind < 13) {
      this->ReadStep(entry);
    } else if (!entry.frozen && step.kind < 17) {
      this->messages.push_back(
          {other, step.entry % kEntries, entry.freshness->BeginQuery()});
    } else if (step.kind < 24) {
      this->DeliverOne(static_cast<std::size_t>(step.choice));
    } else if (!entry.frozen) {
      return this->Request(entry, static_cast<std::size_t>(step.choice));
    }
    return true;
  }

  std::size_t accepted = 0;
  std::size_t proofs_by_entries = 0;

 private:
  static constexpr std::size_t kEntries = 3;

  struct Entry {
    explicit Entry(std::size_t number) {
      this->clock.Advance(std::chrono::hours(number));
      this->Restart(number);
    }
    void Restart(std::uint64_t seed) {
      this->random = std::make_unique<SeededRandom>(seed * 77 + 5);
      this->freshness = std::make_unique<ConfigFreshness>(
          this->clock, *this->random, kRevokeTime);
      this->version.reset();
      this->read_began_at.reset();
      this->read_version.reset();
    }

    ManualClock clock;
    std::unique_ptr<SeededRandom> random;
    std::unique_ptr<ConfigFreshness> freshness;
    std::optional<std::size_t> version;
    std::optional<TimePoint> read_began_at;
    /// What the log has answered to the read that is under way.
    std::optional<std::size_t> read_version;
    bool frozen = false;
    bool cut = false;
  };
  struct Message {
    std::size_t to = 0;
    std::size_t from = 0;
    std::uint64_t id = 0;
    std::optional<PeerFreshness> reply;
  };

  static ConfigIdentity Identity(std::size_t version) {
    return {ConfigVersion{version}, version * 31};
  }

  void Advance(Duration step) {
    this->now += step;
    for (const auto& entry : this->entries) {
      entry->clock.Advance(step);
    }
  }

  // A read begins, is answered by the log and ends in separate steps.
  void ReadStep(Entry& entry) {
    if (!entry.read_began_at) {
      entry.read_began_at = entry.clock.Now();
    } else if (entry.cut) {
      entry.read_began_at.reset();
      entry.read_version.reset();
    } else if (!entry.read_version) {
      entry.read_version = this->acknowledged.size() - 1;
    } else {
      entry.version = entry.read_version;
      entry.freshness->OnConfig(Identity(*entry.version), true);
      entry.freshness->OnOwnRead(*entry.read_began_at,
                                 Identity(*entry.read_version));
      entry.read_began_at.reset();
      entry.read_version.reset();
    }
  }

  // Datagrams arrive in any order and as late as it may be, or twice.
  void DeliverOne(std::size_t choice) {
    if (this->messages.empty()) {
      return;
    }
    // Mostly one of the newest.
    const std::size_t from_end =
        choice % std::min<std::size_t>(this->messages.size(), 8);
    const std::size_t at = choice < 4 ? choice % this->messages.size()
                                      : this->messages.size() - 1 - from_end;
    const Message message = this->messages[at];
    Entry& to = *this->entries[message.to];
    if (to.frozen) {
      return;
    }
    if (choice % 5 != 0) {
      this->messages.erase(this->messages.begin() +
                           static_cast<std::ptrdiff_t>(at));
    }
    if (message.reply) {
      const bool is_proof = to.freshness->OnReply(message.id, *message.reply) ==
                            ReplyEffect::kProof;
      this->proofs_by_entries += is_proof ? 1 : 0;
    } else if (to.version && to.freshness->Age()) {
      this->messages.push_back(
          {message.from, message.to, message.id,
           PeerFreshness{Identity(*to.version), std::chrono::ceil<milliseconds>(
                                                    *to.freshness->Age())}});
    }
  }

  bool Request(Entry& entry, std::size_t choice) {
    if (!entry.version || !entry.freshness->IsFresh()) {
      return true;
    }
    // The oldest key that the entry accepts, or one that is valid for longer.
    const std::size_t key = *entry.version + choice % 2;
    ++this->accepted;
    const std::size_t revoked_by = key + 1;
    return revoked_by >= this->acknowledged.size() ||
           this->now - this->acknowledged[revoked_by] < kRevokeTime;
  }

  std::vector<std::unique_ptr<Entry>> entries;
  std::vector<Message> messages;
  /// When the log acknowledged each version.
  std::vector<Duration> acknowledged{Duration(0)};
  Duration now{0};
  std::uint64_t restarts = 100;
};

// Guards against any interleaving of versions, cuts, freezes, restarts, delayed
// datagrams and steps of the wall clock in which a revoked key is accepted.
BOOST_AUTO_TEST_CASE(NoRevokedKeyIsAcceptedAfterTheBound) {
  std::size_t accepted = 0;
  std::size_t proofs_by_entries = 0;
  const auto step = rc::gen::resize(
      rc::kNominalSize,
      rc::gen::construct<Simulation::Step>(
          rc::gen::inRange(0, 28), rc::gen::inRange<std::size_t>(0, 3),
          rc::gen::inRange<std::size_t>(0, 3), rc::gen::inRange(0, 16)));
  const bool held = rc::check([&] {
    const auto steps =
        *rc::gen::container<std::vector<Simulation::Step>>(9000, step);
    Simulation simulation;
    for (const Simulation::Step& next : steps) {
      RC_ASSERT(simulation.Apply(next));
    }
    accepted += simulation.accepted;
    proofs_by_entries += simulation.proofs_by_entries;
  });
  BOOST_TEST(held);
  // Otherwise the property would hold for entries that refuse everything.
  BOOST_TEST(accepted > 1000U);
  BOOST_TEST(proofs_by_entries > 1000U);
}

}  // namespace
}  // namespace pimentospar
