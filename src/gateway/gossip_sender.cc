#include "gateway/gossip_sender.h"

#include <boost/fiber/operations.hpp>

namespace pimentospar {

namespace {

// Changes that come together are sent together.
constexpr std::chrono::milliseconds kBatchTime{20};
constexpr std::chrono::milliseconds kRepeatInterval{1000};
// News go to this many entries in each of some rounds, since datagrams may be
// lost.
constexpr std::size_t kFanOut = 3;
constexpr std::uint32_t kRounds = 3;
constexpr std::chrono::milliseconds kRoundInterval{150};

}  // namespace

void GossipSender::Run() {
  while (true) {
    if (this->source.version() == this->sent_version) {
      (void)this->source.changed.WaitFor(
          this->rounds_left > 0 ? kRoundInterval : kRepeatInterval);
    }
    if (this->source.version() != this->sent_version) {
      boost::this_fiber::sleep_for(kBatchTime);
      this->sent_version = this->source.version();
      this->rounds_left = kRounds;
    }
    this->Send();
  }
}

void GossipSender::Send() {
  const bool has_news = this->rounds_left > 0;
  if (!has_news && !this->source.is_worth_repeating()) {
    return;
  }
  this->rounds_left -= has_news ? 1 : 0;
  this->transport.SendToSome(has_news ? kFanOut : 1, this->random,
                             this->source.make_message());
}

}  // namespace pimentospar
