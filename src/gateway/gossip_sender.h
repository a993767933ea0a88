#ifndef SRC_GATEWAY_GOSSIP_SENDER_H_
#define SRC_GATEWAY_GOSSIP_SENDER_H_

#include <cstdint>
#include <functional>

#include "gateway/entry_transport.h"
#include "pimentospar/random.h"

namespace pimentospar {

/// What a `GossipSender` sends.
struct GossipSource {
  /// Returns a number that grows when there is news.
  std::function<std::uint64_t()> version;
  /// Returns whether what is known is repeated for entries that have just
  /// started or that missed a datagram.
  std::function<bool()> is_worth_repeating;
  std::function<EntryMessage()> make_message;
  /// Notified after the version has grown.
  FiberSignal& changed;
};

/// Sends news to a few other entries that are drawn at random; they pass on
/// what is new to them. What an entry sends does not depend on the number of
/// entries.
class GossipSender {
 public:
  GossipSender(FiberLoop& loop,
               RandomSource& random,
               EntryTransport& transport,
               GossipSource source)
      : loop(loop),
        random(random),
        transport(transport),
        source(std::move(source)) {}

  void Start() {
    this->loop.Spawn([this] { this->Run(); });
  }

 private:
  void Run();
  void Send();

  FiberLoop& loop;
  RandomSource& random;
  EntryTransport& transport;
  GossipSource source;
  std::uint64_t sent_version = 0;
  std::uint32_t rounds_left = 0;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_GOSSIP_SENDER_H_
