#define BOOST_TEST_MODULE entry_message
#include "gateway/entry_message.h"

#include <boost/test/unit_test.hpp>

#include "gateway/entry_registration.h"

namespace pimentospar {
namespace {

BOOST_AUTO_TEST_CASE(RegistrationKeepsAddressAndCores) {
  const EntryRegistration registration{{"10.0.0.1", 7380}, 0.19};
  const auto decoded = DecodeEntryRegistration(Encode(registration));
  BOOST_REQUIRE(decoded);
  BOOST_TEST((*decoded == registration));
}

// Entries of earlier versions register their address only.
BOOST_AUTO_TEST_CASE(RegistrationMayLackTheCores) {
  const auto decoded = DecodeEntryRegistration("10.0.0.1:7380");
  BOOST_REQUIRE(decoded);
  BOOST_TEST(decoded->address.port == 7380);
  BOOST_TEST(decoded->processor_cores == 0.0);
}

BOOST_AUTO_TEST_CASE(RejectsWhatIsNoRegistration) {
  for (const std::string_view text :
       {"", " ", "10.0.0.1", "10.0.0.1:7380 x", "x:7380 190"}) {
    BOOST_TEST(!DecodeEntryRegistration(text), text);
  }
}

BOOST_AUTO_TEST_CASE(MessageKeepsWhatTheHolderSends) {
  EntryMessage message;
  message.host = HostId("h");
  message.instance = InstanceId{5};
  message.sequence = 6;
  message.lease = LogOffset{7};
  message.entry_count = 103;
  message.registration_age = std::chrono::milliseconds(250);
  message.loads = {{TargetId("t"), {3, 4}}};
  message.inventories = {{TargetId("t"), {1, 2, {{ModelId("m"), {}}}}}};
  const std::string bytes = Encode(message);
  const auto decoded = DecodeEntryMessage(bytes);
  BOOST_REQUIRE(decoded);
  BOOST_TEST(decoded->host.value == "h");
  BOOST_TEST((decoded->lease == message.lease));
  BOOST_TEST(decoded->entry_count == 103U);
  BOOST_TEST((decoded->registration_age == message.registration_age));
  BOOST_REQUIRE(decoded->loads.size() == 1U);
  BOOST_TEST(decoded->loads[0].load.waiting == 4U);
  BOOST_REQUIRE(decoded->inventories.size() == 1U);
  BOOST_TEST(
      (decoded->inventories[0].inventory == message.inventories[0].inventory));
}

BOOST_AUTO_TEST_CASE(MessageKeepsLimitsAndPermits) {
  using std::chrono::milliseconds;
  EntryMessage message;
  BOOST_TEST(message.IsAboutSender());
  message.limits = {{TargetId("t"), 5, 1.5, milliseconds(7)},
                    {TargetId("u"), 6, std::nullopt, milliseconds(8)}};
  message.permit_requests = {{9, TargetId("t"), 0.5, milliseconds(1000)}};
  message.permit_replies = {{10, true, milliseconds(20)},
                            {11, false, milliseconds(30)}};
  const auto decoded = DecodeEntryMessage(Encode(message));
  BOOST_REQUIRE(decoded);
  BOOST_TEST(!decoded->IsAboutSender());
  BOOST_REQUIRE(decoded->limits.size() == 2U);
  BOOST_TEST(decoded->limits[0].target.value == "t");
  BOOST_TEST(decoded->limits[0].started_ms == 5);
  BOOST_TEST(decoded->limits[0].per_second.value() == 1.5);
  BOOST_TEST((decoded->limits[0].age == milliseconds(7)));
  BOOST_TEST(!decoded->limits[1].per_second);
  BOOST_REQUIRE(decoded->permit_requests.size() == 1U);
  BOOST_TEST(decoded->permit_requests[0].id == 9U);
  BOOST_TEST(decoded->permit_requests[0].per_second == 0.5);
  BOOST_TEST((decoded->permit_requests[0].max_delay == milliseconds(1000)));
  BOOST_REQUIRE(decoded->permit_replies.size() == 2U);
  BOOST_TEST(decoded->permit_replies[0].granted);
  BOOST_TEST(!decoded->permit_replies[1].granted);
  BOOST_TEST((decoded->permit_replies[1].delay == milliseconds(30)));
}

BOOST_AUTO_TEST_CASE(MessageKeepsStrikes) {
  using std::chrono::milliseconds;
  EntryMessage message;
  message.strikes = {
      {Fingerprint{1}, CrashId{2}, true, milliseconds(3), milliseconds(4),
       milliseconds(0)},
      {Fingerprint{5}, CrashId{2}, false, milliseconds(3), milliseconds(4)}};
  const auto decoded = DecodeEntryMessage(Encode(message));
  BOOST_REQUIRE(decoded);
  BOOST_TEST(!decoded->IsAboutSender());
  BOOST_REQUIRE(decoded->strikes.size() == 2U);
  BOOST_TEST(decoded->strikes[0].fingerprint.value == 1U);
  BOOST_TEST(decoded->strikes[0].crash.value == 2U);
  BOOST_TEST(decoded->strikes[0].cleared);
  BOOST_TEST((decoded->strikes[0].age == milliseconds(3)));
  BOOST_TEST((decoded->strikes[0].last_seen_age == milliseconds(4)));
  BOOST_TEST((decoded->strikes[0].completed_age == milliseconds(0)));
  BOOST_TEST(!decoded->strikes[1].completed_age);
}

}  // namespace
}  // namespace pimentospar
