#ifndef TEST_SUPPORT_FAKE_LOG_H_
#define TEST_SUPPORT_FAKE_LOG_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>

#include "../../src/control/log_client.h"

namespace pimentospar::test {

/// A log in memory whose faults a test switches on.
class FakeLog final : public control::LogClient {
 public:
  struct Faults {
    /// Nothing is stored and nothing is read.
    bool outage = false;
    /// Appends take effect, but their answers are lost.
    bool lose_answers = false;
    /// Answers are lost, and the records land only with `LandDelayed`.
    bool delay_appends = false;
    /// Most records that a read returns.
    std::size_t page = 64;
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
    if (this->faults.lose_answers) {
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
    const Stream& kept = this->streams[std::string(stream)];
    const std::uint64_t tail = kept.first + kept.bodies.size();
    std::uint64_t offset = std::max(from.value, kept.first);
    control::LogPage page{{kept.first}};
    while (offset < tail &&
           page.records.size() < std::min(max, this->faults.page)) {
      page.records.push_back({{offset}, kept.bodies[offset - kept.first]});
      ++offset;
    }
    page.next = LogOffset{offset};
    return page;
  }

  /// Stores the records that `delay_appends` held back, oldest first.
  void LandDelayed() {
    for (auto& [stream, body] : this->delayed) {
      this->Store(stream, std::move(body));
    }
    this->delayed.clear();
  }

  /// Removes the oldest records, as the retention does.
  void Trim(std::string_view stream, std::size_t count) {
    Stream& kept = this->streams[std::string(stream)];
    for (; count > 0 && !kept.bodies.empty(); --count) {
      kept.bodies.pop_front();
      ++kept.first;
    }
  }

 private:
  struct Stream {
    std::uint64_t first = 0;
    std::deque<std::string> bodies;
  };

  LogOffset Store(std::string_view stream, std::string body) {
    Stream& kept = this->streams[std::string(stream)];
    kept.bodies.push_back(std::move(body));
    return LogOffset{kept.first + kept.bodies.size() - 1};
  }

  std::map<std::string, Stream, std::less<>> streams;
  std::deque<std::pair<std::string, std::string>> delayed;
};

}  // namespace pimentospar::test

#endif  // TEST_SUPPORT_FAKE_LOG_H_
