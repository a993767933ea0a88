#define BOOST_TEST_MODULE platform
#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/test/unit_test.hpp>

#include "platform/http_target_control.h"
#include "platform/metadata_store.h"
#include "platform/platform_headers.h"
#include "platform/platform_registry_format.h"
#include "platform/process_settings.h"
#include "support.h"

namespace pimentospar::platform {
namespace {

using test::Contains;
using test::Loop;
using test::RawConnection;
using test::ScriptedTarget;

std::string MakeResponse(unsigned status, std::string_view body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         std::string(body);
}

// A server that sends a fixed response, or closes the connection if there is
// none.
struct Fixture {
  SystemClock clock;
  TimerQueue timers{Loop(), clock};
  UpstreamClient http{Loop(), timers, clock};
  std::optional<std::string> response;
  ScriptedTarget server{[this](RawConnection& connection, const std::string&) {
    if (this->response) {
      connection.Write(*this->response);
    }
    return this->response.has_value();
  }};
  MetadataStore store{http, server.Address()};
  HttpTargetControl control{http, "h"};

  TargetDescription Target() const {
    TargetDescription target;
    target.id = TargetId("i-1");
    target.address = this->server.Address();
    target.inventory.started_ms = 7;
    return target;
  }
};

template <typename Value>
std::optional<Value> ValueOrNothing(leaf::result<Value> result) {
  return result ? std::optional<Value>(std::move(*result)) : std::nullopt;
}

BOOST_FIXTURE_TEST_CASE(AppendsFramedRecords, Fixture) {
  this->response = MakeResponse(200, R"({"offset":4,"end":5})");
  BOOST_TEST(
      (this->store.AppendKeyed("keyed.x", "k", "v") == LogStatus::kDone));
  const std::string& sent = this->server.Requests().at(0);
  BOOST_TEST(
      sent.starts_with("POST /api/log-append?topic=keyed.x&part=0 HTTP/1.1"));
  BOOST_TEST(sent.ends_with(std::string("\r\n\r\n\0\0\0\3\1kv", 11)));
}

BOOST_FIXTURE_TEST_CASE(DistinguishesMissingAnswersFromRefusals, Fixture) {
  for (const unsigned status : {409U, 412U, 429U, 503U, 507U}) {
    this->response = MakeResponse(status, "{}");
    BOOST_TEST((this->store.Append("t", "r") == LogStatus::kRefused));
  }
  this->response.reset();
  BOOST_TEST((this->store.Append("t", "r") == LogStatus::kUnknown));
  BOOST_TEST((this->store.Read("t", {0}, {}).status == LogStatus::kUnknown));
}

BOOST_FIXTURE_TEST_CASE(ReadsRecords, Fixture) {
  const std::string head("\0\0\0\0\0\0\0\x9\0\0\0\0\0\0\0\x2", 16);
  this->response =
      MakeResponse(200, head + std::string("\0\0\0\2ab\0\0\0\1c", 11));
  const LogRead read = this->store.Read("t", {7}, {});
  BOOST_TEST((read.status == LogStatus::kDone));
  BOOST_TEST(read.end.value == 9U);
  BOOST_TEST(read.first.value == 2U);
  BOOST_REQUIRE(read.records.size() == 2U);
  BOOST_TEST(read.records[0] == "ab");
  BOOST_TEST(read.records[1] == "c");
  this->response = MakeResponse(200, head + std::string("\0\0\0\5ab", 6));
  BOOST_TEST((this->store.Read("t", {7}, {}).status == LogStatus::kUnknown));
}

BOOST_FIXTURE_TEST_CASE(ReportsExpiredRecords, Fixture) {
  this->response = MakeResponse(410, R"({"first":12})");
  const LogRead read = this->store.Read("t", {7}, {});
  BOOST_TEST((read.status == LogStatus::kExpired));
  BOOST_TEST(read.first.value == 12U);
}

BOOST_FIXTURE_TEST_CASE(ReadsPagesOfKeys, Fixture) {
  this->response = MakeResponse(
      200,
      R"({"items":[{"key":"a","value":"aGVsbG8=","offset":4}],"more":true,"end":6})");
  const KeyedPage page = this->store.ReadLatestValues("keyed.op", "");
  BOOST_TEST((page.status == LogStatus::kDone));
  BOOST_TEST(page.more);
  BOOST_TEST(page.end.value == 6U);
  BOOST_TEST(*page.items.at(0).value == "hello");
  this->response = MakeResponse(200, "not json");
  BOOST_TEST((this->store.ReadLatestValues("keyed.op", "").status ==
              LogStatus::kUnknown));
}

BOOST_FIXTURE_TEST_CASE(ParsesKeyedRecords, Fixture) {
  const auto item = this->store.ParseKeyedRecord(std::string("\2abvalue"), {3});
  BOOST_REQUIRE(item);
  BOOST_TEST(item->key == "ab");
  BOOST_TEST(*item->value == "value");
  BOOST_TEST(!this->store.ParseKeyedRecord(std::string("\2ab"), {3})->value);
  BOOST_TEST(!this->store.ParseKeyedRecord(std::string("\x9"
                                                       "ab"),
                                           {3}));
  BOOST_TEST(!this->store.ParseKeyedRecord("", {3}));
}

BOOST_FIXTURE_TEST_CASE(SendsOrders, Fixture) {
  const std::map<unsigned, OrderAnswer> answers = {
      {200, OrderAnswer::kInEffect},    {202, OrderAnswer::kAccepted},
      {409, OrderAnswer::kConflict},    {412, OrderAnswer::kFenced},
      {421, OrderAnswer::kOtherTarget}, {400, OrderAnswer::kRejected}};
  const PlannedOrder order{
      TargetId("i-1"), OrderKind::kLoad, {ModelId("m"), AdapterId("a1")}};
  for (const auto& [status, expected] : answers) {
    this->response = MakeResponse(status, "");
    BOOST_TEST((this->control.Send(this->Target(), order, 4, {9}) == expected));
  }
  const std::string& sent = this->server.Requests().at(0);
  BOOST_TEST(Contains(sent, "X-Pimentospar-Expect-Instance: i-1\r\n"));
  const auto body = boost::json::parse(sent.substr(sent.find('{')));
  const boost::json::value expected = {{"op", "load"}, {"model", "m"},
                                       {"expect", 4U}, {"holder", "h"},
                                       {"fence", 9U},  {"adapter", "a1"}};
  BOOST_TEST((body == expected));
  this->response.reset();
  BOOST_TEST((this->control.Send(this->Target(), order, 4, {9}) ==
              OrderAnswer::kNoAnswer));
}

// Guards against planning an adapter into a slot that is already taken:
// adapters that are still loading must be part of the inventory.
BOOST_FIXTURE_TEST_CASE(ReadsReports, Fixture) {
  this->response = MakeResponse(
      200,
      R"({"born":7,"seq":3,"busy":true,"running":2,"waiting":1,"coming":["m/a2@1"],)"
      R"("models":[{"name":"m","version":1,"adapters":["a1"]}]})");
  const auto state = this->control.FetchState(this->Target());
  BOOST_REQUIRE(state);
  BOOST_TEST(state->busy);
  BOOST_TEST(state->inventory.started_ms == 7);
  BOOST_TEST(state->inventory.accepted_orders == 3U);
  BOOST_TEST(state->load.running == 2U);
  BOOST_TEST(HasCopy(state->inventory, {ModelId("m"), AdapterId("a1")}));
  BOOST_TEST(HasCopy(state->inventory, {ModelId("m"), AdapterId("a2")}));
  this->response = MakeResponse(200, R"({"busy":"yes"})");
  BOOST_TEST(!this->control.FetchState(this->Target()));
}

// Another writer left a key that is not UTF-8.
BOOST_FIXTURE_TEST_CASE(OneOddKeyHidesAllOthers, Fixture) {
  this->response = MakeResponse(
      200,
      "{\"items\":[{\"key\":\"\xff\",\"value\":\"eA==\",\"offset\":1},"
      "{\"key\":\"k\",\"value\":\"eA==\",\"offset\":2}],"
      "\"more\":false,\"end\":3}");
  const KeyedPage page = this->store.ReadLatestValues("keyed.x", "");
  BOOST_TEST((page.status == LogStatus::kDone));
  BOOST_TEST(page.items.size() == 2U);
}

BOOST_AUTO_TEST_CASE(ReadsHowLongATargetWantsNothing) {
  const auto retry_after = [](unsigned status, std::string_view value) {
    HttpFields fields;
    fields.set("Retry-After", {value.data(), value.size()});
    return PlatformHeaders()
        .ParseResponse(status, fields, TargetId("i-1"))
        .notice.retry_after;
  };
  BOOST_TEST((retry_after(503, "2.5") == std::chrono::milliseconds(2500)));
  BOOST_TEST((retry_after(503, "1e300") > std::chrono::hours(1)));
  BOOST_TEST(!retry_after(500, "2"));
  for (const std::string_view odd : {"", "0", "-1", "nan", "soon"}) {
    BOOST_TEST(!retry_after(503, odd), odd);
  }
}

// A report is the only response of a target that gets no requests.
BOOST_FIXTURE_TEST_CASE(LeavingTargetIsMissedInAReportOrAnOrder, Fixture) {
  this->response =
      "HTTP/1.1 503 x\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n";
  BOOST_TEST(!this->control.FetchState(this->Target()));
  const PlannedOrder order{TargetId("i-1"), OrderKind::kLoad, {}};
  (void)this->control.Send(this->Target(), order, 4, {9});
  const auto notices = this->control.TakeNotices();
  BOOST_REQUIRE(notices.size() == 2U);
  for (const TargetNoticeReport& report : notices) {
    BOOST_TEST(report.notice.leaving);
    BOOST_TEST((report.target == TargetId("i-1")));
    BOOST_TEST(report.started_ms == 7);
  }
  BOOST_TEST(this->control.TakeNotices().empty());
  // Another target at the address speaks for itself.
  this->response =
      "HTTP/1.1 421 x\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n";
  BOOST_TEST(!this->control.FetchState(this->Target()));
  BOOST_TEST(this->control.TakeNotices().empty());
}

BOOST_AUTO_TEST_CASE(ReadsRequestHeaders) {
  HttpFields fields;
  fields.set("X-Pimentospar-Request-Id", "r1");
  fields.set("X-Pimentospar-Deadline-Ms", "2500");
  fields.set("X-Pimentospar-Model", "m/a3");
  fields.set("X-Pimentospar-Tokens", "1460,80");
  fields.set("X-Pimentospar-Prompt-Prefix", "5c:800,91:410,e4:250");
  fields.set("Last-Event-Id", "12");
  const RequestMeta meta = PlatformHeaders().ParseRequest(fields);
  BOOST_TEST(meta.id == "r1");
  BOOST_TEST(meta.deadline->count() == 2500);
  BOOST_TEST(meta.copy.model.value == "m");
  BOOST_TEST(meta.copy.adapter.value == "a3");
  BOOST_TEST(meta.prompt_tokens == 1460U);
  BOOST_TEST(meta.max_tokens == 80U);
  BOOST_TEST(*meta.last_event == 12U);
  BOOST_REQUIRE(meta.prefix.size() == 2U);
  BOOST_TEST(meta.prefix[1].tokens == 1210U);
  BOOST_TEST(meta.prefix[0].hash != meta.prefix[1].hash);
}

BOOST_AUTO_TEST_CASE(ReservesSystemHeaders) {
  const PlatformHeaders headers;
  for (const char* name :
       {"x-pimentospar-hold", "X-Pimentospar-Pin-Ms", "Kv-From", "kv-fetch",
        "X-Pimentospar-Kv-Backup", "X-Pimentospar-Expect-Instance",
        "X-Pimentospar-Req-Priority", "X-Pimentospar-Deadline-Ms"}) {
    BOOST_TEST(headers.IsReserved(name), name);
  }
  BOOST_TEST(!headers.IsReserved("X-Pimentospar-Model"));
}

BOOST_AUTO_TEST_CASE(DetectsOtherTargetAtTheAddress) {
  HttpFields fields;
  fields.set("X-Pimentospar-Instance", "i-2");
  const PlatformHeaders headers;
  BOOST_TEST(
      headers.ParseResponse(421, fields, TargetId("i-1")).is_other_target);
  BOOST_TEST(
      !headers.ParseResponse(421, fields, TargetId("i-2")).is_other_target);
  BOOST_TEST(
      !headers.ParseResponse(200, fields, TargetId("i-1")).is_other_target);
}

BOOST_AUTO_TEST_CASE(ReadsTheConfiguration) {
  const auto config = ValueOrNothing(PlatformRegistryFormat({}).DecodeConfig(
      R"({"version":7,"routes":[)"
      R"({"name":"r","host":"a.example","path_prefix":"/x/","kind":"stream",)"
      R"("timeout_ms":6000,"goal_ms":1000,"priority":1,"attempts":2,"resumable":true,)"
      R"("split":[{"service":"s","weight":90},{"service":"t","weight":10}]}],)"
      R"("services":[{"name":"s","engine":{"slots":64,"weights_mb":200000.0,)"
      R"("adapter_slots":8,"loads_per_s":2.1,"models":[{"name":"m","weights_mb":65500.5,)"
      R"("load_s":1.2,"adapters":28,"adapter_mb":40.0}]}},{"name":"t"}],)"
      R"("limits":{"max_header_bytes":1000,"max_body_bytes":2000,)"
      R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})"));
  BOOST_REQUIRE(config);
  BOOST_TEST(config->version.value == 7U);
  BOOST_TEST(config->routes[0].services.size() == 2U);
  BOOST_TEST(config->routes[0].IsRepeatable());
  const ModelSpec& model = config->services[0].engine->models[0];
  BOOST_TEST(model.weight_bytes == 65'500'500'000U);
  BOOST_TEST(model.load_time.count() == 1200);
  BOOST_TEST(!config->services[1].engine);
  BOOST_TEST(config->limits.max_body_bytes == 2000U);
  BOOST_TEST(!ValueOrNothing(PlatformRegistryFormat({}).DecodeConfig("{}")));
  BOOST_TEST(!ValueOrNothing(PlatformRegistryFormat({}).DecodeConfig("no")));
}

// Guards against a malformed record on the shared stream, such as one from
// another writer, that is taken for a target or stops the reader.
BOOST_AUTO_TEST_CASE(ReadsAndValidatesRegistrations) {
  const PlatformRegistryFormat registry({{DataCentreId("z"), RegionId("r")}});
  const std::string valid =
      R"({"service":"s","addr":"10.0.0.1:80","zone":"z","slots":6,"state":"ready",)"
      R"("born":5,"seq":99,"models":[{"name":"m","version":1,"adapters":["a1"]}]})";
  const auto target =
      ValueOrNothing(registry.DecodeTarget(TargetId("i"), valid));
  BOOST_REQUIRE(target);
  BOOST_TEST(target->region.value == "r");
  BOOST_TEST(target->inventory.started_ms == 5);
  BOOST_TEST(target->inventory.accepted_orders == 0U);
  BOOST_TEST(!target->draining);
  for (const char* invalid :
       {"", "[]", R"({"service":"s"})",
        R"({"service":"s","addr":7,"zone":"z","state":"ready"})",
        R"({"service":"s","addr":"10.0.0.1:80","zone":"z","state":"dancing"})",
        R"({"service":"s","addr":"nowhere","zone":"z","state":"ready"})"}) {
    BOOST_TEST(!ValueOrNothing(registry.DecodeTarget(TargetId("i"), invalid)),
               invalid);
  }
}

BOOST_AUTO_TEST_CASE(ValidatesSettings) {
  const std::string valid =
      "host = \"h\"\nregion = \"r\"\ndata_centre = \"d\"\n[address]\n"
      "caller = \"127.0.0.1:1\"\nready = \"127.0.0.1:2\"\n"
      "operator = \"127.0.0.1:3\"\nentry = \"127.0.0.1:4\"\n"
      "store = \"127.0.0.1:5\"\n[bounds]\nretry_ratio = 0.2\n"
      "retry_slack = 58\nretry_window_s = 10\ntargets_check_leases = true\n"
      "grace_s = 8\nlease_ms = 3000\n[capacity]\nprocessor_share = 0.5\n"
      "processor_speed = 2\n[regions]\nd = \"r\"\n";
  const auto settings = ValueOrNothing(ParseSettings(valid, "good"));
  BOOST_REQUIRE(settings);
  BOOST_TEST(settings->gateway.grace_time.count() == 8000);
  BOOST_TEST(settings->gateway.targets_check_leases);
  BOOST_TEST(settings->gateway.processor_cores == 1.0);
  std::vector<std::string> errors;
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_CHECK(
            ParseSettings("host = \"h\"\n[address]\ncaller = \"x\"\n", "bad"));
        return {};
      },
      [&](const SettingsErrors& invalid) { errors = invalid.errors; }, [] {});
  BOOST_TEST(std::ranges::count(errors, "address.caller: must be IP:PORT") ==
             1);
  BOOST_TEST(std::ranges::count(errors, "region: must be a non-empty string") ==
             1);
  BOOST_TEST(std::ranges::count(errors,
                                "capacity.processor_share: must be a number of "
                                "at least 0.001000") == 1);
  BOOST_TEST(!ValueOrNothing(ParseSettings("= nonsense", "bad")));
}

BOOST_AUTO_TEST_CASE(ReadsTheRateLimitOfATarget) {
  const PlatformHeaders headers;
  const auto limit_of = [&headers](std::string_view text) {
    HttpFields fields;
    fields.set("Server-Limit", text);
    return headers.ParseResponse(200, fields, TargetId("i-1")).rate_limit;
  };
  BOOST_TEST(limit_of("1.5").value() == 1.5);
  BOOST_TEST(limit_of(" 20 ").value() == 20);
  BOOST_TEST(limit_of("0").value() > 0);
  for (const std::string_view text : {"", "x", "-1", "nan", "inf", "1.5x"}) {
    BOOST_TEST(!limit_of(text), text);
  }
  BOOST_TEST(
      !headers.ParseResponse(200, HttpFields(), TargetId("i-1")).rate_limit);
}

}  // namespace
}  // namespace pimentospar::platform
