#define BOOST_TEST_MODULE target_records
#include "agent/target_records.h"

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace rc {
template <>
struct Arbitrary<pimentospar::RecordId> {
  // NOLINTNEXTLINE(readability-identifier-naming): RapidCheck calls it
  static Gen<pimentospar::RecordId> arbitrary() {
    return gen::exec([] {
      return pimentospar::RecordId{*gen::arbitrary<std::uint64_t>(),
                                   *gen::arbitrary<std::uint64_t>()};
    });
  }
};
}  // namespace rc

namespace pimentospar {
namespace {

rc::Gen<Intent> AnyIntent() {
  return rc::gen::exec([] {
    Intent intent;
    intent.order.value = *rc::gen::arbitrary<std::uint64_t>();
    intent.item.kind = *rc::gen::element(ItemKind::kWeights, ItemKind::kAdapter,
                                         ItemKind::kRole);
    intent.item.id = ItemId(*rc::gen::nonEmpty(
        rc::gen::container<std::string>(rc::gen::inRange(' ', '~'))));
    intent.bytes = *rc::gen::arbitrary<std::uint64_t>();
    intent.incarnation.value = *rc::gen::arbitrary<std::uint64_t>();
    return intent;
  });
}

bool IsSame(const Intent& a, const Intent& b) {
  return a.order == b.order && a.item == b.item && a.bytes == b.bytes &&
         a.incarnation == b.incarnation;
}

TargetRecord RoundTrip(const TargetRecord& record) {
  const auto read = DecodeTargetRecord(Encode(record, TargetId("t")));
  RC_ASSERT(read.has_value());
  RC_ASSERT(read->id == record.id);
  RC_ASSERT(read->body.index() == record.body.index());
  return *read;
}

// Guards against records that decode to other values than were encoded: the
// next agent of the target would then charge too little memory.
RC_BOOST_PROP(RecordsSurviveTheRoundTrip, (RecordId id, std::uint64_t number)) {
  const auto intents = *rc::gen::container<std::vector<Intent>>(AnyIntent());
  EpochRecord epoch{InstanceId{number}, intents, std::nullopt};
  if (number % 2 == 0) {
    epoch.renews = LogOffset{number / 2};
  }
  const auto read_epoch = std::get<EpochRecord>(RoundTrip({id, epoch}).body);
  RC_ASSERT(read_epoch.instance == epoch.instance);
  RC_ASSERT(read_epoch.renews == epoch.renews);
  RC_ASSERT(std::ranges::equal(read_epoch.open_intents, intents, IsSame));
  SettleRecord settle;
  for (const Intent& intent : intents) {
    const IntentRecord record{intent, FencingToken{number}};
    const auto read = std::get<IntentRecord>(RoundTrip({id, record}).body);
    RC_ASSERT(IsSame(read.intent, intent));
    RC_ASSERT(read.epoch == record.epoch);
    settle.orders.push_back(intent.order);
  }
  RC_ASSERT(std::get<SettleRecord>(RoundTrip({id, settle}).body).orders ==
            settle.orders);
}

// Guards against a malformed record that is decoded as a valid one with zeros.
BOOST_AUTO_TEST_CASE(MalformedRecordsAreRefused) {
  const std::string id = "\"id\":\"00000000000000010000000000000002\"";
  for (const std::string& text : std::vector<std::string>{
           "{", "{\"type\":\"settle\",\"orders\":[1]}",
           "{" + id + ",\"type\":\"settle\",\"orders\":[\"1\"]}",
           "{" + id + ",\"type\":\"epoch\",\"open_intents\":[]}",
           "{" + id + ",\"type\":\"intent\",\"order\":1,\"kind\":\"load\"}",
           "{" + id + ",\"type\":\"other\"}"}) {
    BOOST_TEST(!DecodeTargetRecord(text).has_value(), text);
  }
  BOOST_TEST(
      DecodeTargetRecord("{" + id + ",\"type\":\"settle\",\"orders\":[1]}")
          .has_value());
}

}  // namespace
}  // namespace pimentospar
