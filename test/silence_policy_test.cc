#define BOOST_TEST_MODULE silence_policy
#include "pimentospar/routing/silence_policy.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <deque>
#include <vector>

#include "pimentospar/random.h"

namespace pimentospar {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_CASE(UnresponsiveTargetIsGivenUpAtOnce) {
  BOOST_TEST(MayGiveUpAfter(milliseconds(300), false));
}

BOOST_AUTO_TEST_CASE(ResponsiveTargetGetsMoreTime) {
  BOOST_TEST(!MayGiveUpAfter(milliseconds(3000), true));
}

// Only this one response may have been lost.
BOOST_AUTO_TEST_CASE(ResponsiveTargetIsGivenUpInTheEnd) {
  BOOST_TEST(MayGiveUpAfter(milliseconds(5000), true));
}

// A burst at engines that keep the prefixes of their prompts. An attempt at
// another engine than the home of its prefix has to read the prefix, too.
class Burst {
 public:
  explicit Burst(bool engines_respond) : engines_respond(engines_respond) {}

  // Returns the share of the requests of the day whose first token arrives
  // before the deadline.
  double Run() {
    for (this->now = milliseconds(0); this->now < kDayLength + kDeadline;
         this->now += kStep) {
      this->Arrive();
      this->GiveUp();
      this->Serve();
    }
    return static_cast<double>(this->served) / static_cast<double>(this->sent);
  }

 private:
  struct Request {
    std::size_t home = 0;
    milliseconds arrived_at{0};
    milliseconds sent_at{0};
    int attempts = 1;
    milliseconds work_left{0};
  };

  static constexpr std::size_t kEngines = 8;
  static constexpr milliseconds kStep{10};
  static constexpr milliseconds kDayLength{20000};
  static constexpr milliseconds kDeadline{6000};
  static constexpr milliseconds kUsualWait{1500};
  static constexpr milliseconds kWorkAtHome{80};
  static constexpr milliseconds kWorkElsewhere{240};

  // Six tenths of what the engines can do, but three times that for two
  // seconds.
  [[nodiscard]] double Load() const {
    return this->now >= seconds(3) && this->now < seconds(5) ? 2.4 : 0.6;
  }

  void Arrive() {
    if (this->now >= kDayLength) {
      return;
    }
    const double chance = this->Load() * static_cast<double>(kStep.count()) /
                          static_cast<double>(kWorkAtHome.count());
    for (std::size_t engine = 0; engine < kEngines; ++engine) {
      if (this->random.NextDouble() < chance) {
        ++this->sent;
        this->queues[engine].push_back(
            {engine, this->now, this->now, 1, kWorkAtHome});
      }
    }
  }

  void GiveUp() {
    std::vector<Request> moved;
    for (auto& queue : this->queues) {
      std::erase_if(queue, [&](const Request& request) {
        if (this->now - request.arrived_at >= kDeadline) {
          return true;
        }
        const milliseconds silence = this->now - request.sent_at;
        const bool given_up = request.attempts == 1 && silence >= kUsualWait &&
                              MayGiveUpAfter(silence, this->engines_respond);
        if (given_up) {
          moved.push_back(request);
        }
        return given_up;
      });
    }
    for (Request& request : moved) {
      ++request.attempts;
      request.sent_at = this->now;
      request.work_left = kWorkElsewhere;
      const std::size_t other =
          (request.home + 1 + this->random.NextBelow(kEngines - 1)) % kEngines;
      this->queues[other].push_back(request);
    }
  }

  void Serve() {
    for (auto& queue : this->queues) {
      if (queue.empty()) {
        continue;
      }
      queue.front().work_left -= kStep;
      if (queue.front().work_left <= milliseconds(0)) {
        ++this->served;
        queue.pop_front();
      }
    }
  }

  bool engines_respond;
  SeededRandom random{7};
  std::vector<std::deque<Request>> queues{kEngines};
  milliseconds now{0};
  int sent = 0;
  int served = 0;
};

BOOST_AUTO_TEST_CASE(BurstDoesNotOutlastItself) {
  const double resent = Burst(false).Run();
  const double waited = Burst(true).Run();
  BOOST_TEST_MESSAGE("served in time: " << resent << " if sent again, "
                                        << waited << " if waited for");
  BOOST_TEST(waited > 0.95);
  BOOST_TEST(waited > resent + 0.1);
}

}  // namespace
}  // namespace pimentospar
