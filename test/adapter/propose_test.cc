#define BOOST_TEST_MODULE propose
#include "control/propose.h"

#include <boost/test/unit_test.hpp>

namespace pimentospar {
namespace {

// An in-memory log that can lose responses and fail reads.
struct FakeLogClient final : ConfigStream {
  AppendResult Append(std::string_view body) override {
    if (this->is_down) {
      return NotAppended{};
    }
    ++this->appends;
    if (!this->drops_record) {
      this->records.push_back(
          {LogOffset{this->records.size()}, 0, std::string(body)});
    }
    if (this->loses_answer) {
      return AppendUnknown{};
    }
    return LogOffset{this->records.size() - 1};
  }
  std::optional<ConfigPage> Read(LogOffset from) override {
    if (this->is_down || this->failing_reads-- > 0) {
      return std::nullopt;
    }
    ConfigPage page{LogOffset{0}, from, {}};
    for (std::size_t i = from.value; i < this->records.size(); ++i) {
      page.records.push_back(this->records[i]);
      page.next = LogOffset{i + 1};
    }
    return page;
  }

  std::vector<ConfigRecord> records;
  int appends = 0;
  int failing_reads = 0;
  bool is_down = false;
  bool loses_answer = false;
  bool drops_record = false;
};

struct ProposeFixture {
  ProposalResult Propose(std::string id) {
    return ProposeChange(
        this->client, this->log,
        {std::move(id), "ann", 1, {}, std::string(kGenesisHash), "{}", true});
  }
  FakeLogClient client;
  ManualClock clock;
  SeededRandom random{1};
  ConfigLog log{clock, random};
};

// Guards against a change that is appended twice or reported as lost after the
// log's response was lost.
BOOST_FIXTURE_TEST_CASE(FindsTheRecordAfterALostAnswer, ProposeFixture) {
  this->client.loses_answer = true;
  this->client.failing_reads = 2;
  const ProposalResult result = this->Propose("one");
  const ChangeSummary* line = std::get_if<ChangeSummary>(&result);
  BOOST_TEST_REQUIRE(line != nullptr);
  BOOST_TEST(std::holds_alternative<ChangeAccepted>(line->outcome));
  BOOST_TEST(this->client.appends == 1);
  // A change with an outdated base is reported as a conflict.
  const ProposalResult second = this->Propose("two");
  BOOST_TEST(std::holds_alternative<ChangeConflict>(
      std::get<ChangeSummary>(second).outcome));
}

// Guards against reporting a definite outcome when it is unknown whether the
// log stored the record.
BOOST_FIXTURE_TEST_CASE(ReportsAnUnknownOutcome, ProposeFixture) {
  this->client.loses_answer = true;
  this->client.drops_record = true;
  BOOST_TEST(std::holds_alternative<ProposalUnknown>(this->Propose("one")));
  BOOST_TEST(this->client.appends == 1);
  this->client.is_down = true;
  BOOST_TEST(std::holds_alternative<LogUnreachable>(this->Propose("two")));
}

}  // namespace
}  // namespace pimentospar
