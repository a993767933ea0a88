#ifndef TEST_SUPPORT_FAKE_LOG_H_
#define TEST_SUPPORT_FAKE_LOG_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>

#include "../../src/control/log_client.h"

namespace pimentospar::test {

/// An in-memory log with faults that a test can switch on.
class FakeLog final : public control::LogClient {
 public:
  struct Faults {
    /// Appends are refused and reads fail.
    bool outage = false;
    /// Appends are stored, but their answers are lost.
    bool lose_append_answers = false;
    /// Answers are lost, and the records are stored only by `StoreDelayed`.
    bool delay_appends = false;
    /// Maximum number of records that a read returns.
    std::size_t page_size = 64;
  };

  Faults faults;

  control::AppendResult Append(std::string_view stream,
                               std::string_view body) override {
    if (this->faults.outage) {
      return control::AppendRefused{};
    }
    if (this->faults.delay_appends) {
      this->delayed.emplace_back(stream, body);
      return control::AppendUnknown{};
    }
    const LogOffset offset = this->Store(stream, std::string(body));
    if (this->faults.lose_append_answers) {
      return control::AppendUnknown{};
    }
    return control::Appended{offset};
  }

  std::optional<control::LogPage> Read(std::string_view stream,
                                       LogOffset from,
                                       std::size_t max) override {
    if (this->faults.outage) {
      return std::nullopt;
    }
    const Stream& stored_stream = this->streams[std::string(stream)];
    const std::uint64_t tail =
        stored_stream.first + stored_stream.bodies.size();
    std::uint64_t offset = std::max(from.value, stored_stream.first);
    control::LogPage page{{stored_stream.first}};
    while (offset < tail &&
           page.records.size() < std::min(max, this->faults.page_size)) {
      page.records.push_back(
          {{offset}, stored_stream.bodies[offset - stored_stream.first]});
      ++offset;
    }
    page.next = LogOffset{offset};
    return page;
  }

  /// Stores the records withheld by `delay_appends`, oldest first.
  void StoreDelayed() {
    for (auto& [stream, body] : this->delayed) {
      this->Store(stream, std::move(body));
    }
    this->delayed.clear();
  }

  /// Removes the oldest records, as log retention does.
  void Trim(std::string_view stream, std::size_t count) {
    Stream& stored_stream = this->streams[std::string(stream)];
    for (; count > 0 && !stored_stream.bodies.empty(); --count) {
      stored_stream.bodies.pop_front();
      ++stored_stream.first;
    }
  }

 private:
  struct Stream {
    std::uint64_t first = 0;
    std::deque<std::string> bodies;
  };

  LogOffset Store(std::string_view stream, std::string body) {
    Stream& stored_stream = this->streams[std::string(stream)];
    stored_stream.bodies.push_back(std::move(body));
    return LogOffset{stored_stream.first + stored_stream.bodies.size() - 1};
  }

  std::map<std::string, Stream, std::less<>> streams;
  std::deque<std::pair<std::string, std::string>> delayed;
};

}  // namespace pimentospar::test

#endif  // TEST_SUPPORT_FAKE_LOG_H_
