#define BOOST_TEST_MODULE inventory_batcher
#include "gateway/inventory_batcher.h"

#include <boost/test/unit_test.hpp>

namespace pimentospar {
namespace {

using std::chrono::milliseconds;

Inventory MakeInventory(std::uint64_t orders) {
  return {1, orders, {{ModelId("m"), {}}}};
}

struct Fixture {
  ManualClock clock;
  InventoryBatcher batcher{clock};
};

// The changes of a fleet of engines go out in a few datagrams.
BOOST_FIXTURE_TEST_CASE(PutsManyInventoriesIntoOneBatch, Fixture) {
  for (int i = 0; i < 20; ++i) {
    this->batcher.Add(TargetId("t" + std::to_string(i)), MakeInventory(1));
  }
  BOOST_TEST(this->batcher.TakeBatch().size() == 20U);
  BOOST_TEST(!this->batcher.HasQueued());
}

BOOST_FIXTURE_TEST_CASE(SplitsWhatIsTooLargeForADatagram, Fixture) {
  for (int i = 0; i < 100; ++i) {
    this->batcher.Add(TargetId("t" + std::to_string(i)), MakeInventory(1));
  }
  std::size_t sent = 0;
  while (this->batcher.HasQueued()) {
    const std::size_t size = this->batcher.TakeBatch().size();
    BOOST_TEST(size <= 24U);
    sent += size;
  }
  BOOST_TEST(sent == 100U);
}

BOOST_FIXTURE_TEST_CASE(SendsTheNewestOfSeveralChanges, Fixture) {
  this->batcher.Add(TargetId("t"), MakeInventory(1));
  this->batcher.Add(TargetId("t"), MakeInventory(2));
  const auto batch = this->batcher.TakeBatch();
  BOOST_REQUIRE(batch.size() == 1U);
  BOOST_TEST(batch[0].inventory.accepted_orders == 2U);
}

// Requests that wait for a copy make the holder read the same states again.
BOOST_FIXTURE_TEST_CASE(SendsAnUnchangedInventoryAgainOnlyAfterAWhile,
                        Fixture) {
  this->batcher.Add(TargetId("t"), MakeInventory(1));
  (void)this->batcher.TakeBatch();
  this->clock.Advance(milliseconds(500));
  this->batcher.Add(TargetId("t"), MakeInventory(1));
  BOOST_TEST(!this->batcher.HasQueued());
  this->clock.Advance(milliseconds(2000));
  this->batcher.Add(TargetId("t"), MakeInventory(1));
  BOOST_TEST(this->batcher.HasQueued());
}

// A copy is removed and loaded again before the first message is sent.
BOOST_FIXTURE_TEST_CASE(DropsAChangeThatWasUndone, Fixture) {
  this->batcher.Add(TargetId("t"), MakeInventory(1));
  (void)this->batcher.TakeBatch();
  this->batcher.Add(TargetId("t"), MakeInventory(2));
  this->batcher.Add(TargetId("t"), MakeInventory(1));
  BOOST_TEST(!this->batcher.HasQueued());
}

BOOST_FIXTURE_TEST_CASE(SendsAllAgainUnderANewLease, Fixture) {
  this->batcher.Add(TargetId("t"), MakeInventory(1));
  (void)this->batcher.TakeBatch();
  this->batcher.Clear();
  this->batcher.Add(TargetId("t"), MakeInventory(1));
  BOOST_TEST(this->batcher.HasQueued());
}

}  // namespace
}  // namespace pimentospar
