#ifndef SRC_GATEWAY_ENTRY_TRANSPORT_H_
#define SRC_GATEWAY_ENTRY_TRANSPORT_H_

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "gateway/entry_message.h"
#include "gateway/entry_registration.h"
#include "gateway/fiber_loop.h"
#include "pimentospar/clock.h"
#include "pimentospar/random.h"

namespace pimentospar {

using UdpEndpoint = boost::asio::ip::udp::endpoint;

/// The address of another entry and the header of its newest message.
struct PeerEntry {
  UdpEndpoint address;
  double processor_cores = 0;
  InstanceId instance;
  std::uint64_t sequence = 0;
  std::optional<TimePoint> received_at;
  std::optional<LogOffset> lease;
};

/// Sends and receives the datagrams between the entries.
class EntryTransport {
 public:
  using Handler = std::function<void(const EntryMessage&)>;

  /// Binds the socket to `local` if that is free.
  EntryTransport(FiberLoop& loop,
                 const Clock& clock,
                 const UdpEndpoint& local,
                 HostId self,
                 InstanceId instance,
                 Handler handler);

  /// Receives messages until the process exits, from the time on when another
  /// process no longer uses the address. No message is sent before that.
  void Start();
  /// Adds an entry, or changes its address.
  void OnEntry(const HostId& host, const EntryRegistration& registration);
  void OnEntryRemoved(const HostId& host) { this->peers.erase(host); }

  /// Sends a message to one entry, with the sender's fields filled in.
  /// Datagrams may be lost.
  void Send(const HostId& host, EntryMessage message);
  void Broadcast(EntryMessage message);
  /// Sends a message to at most `count` other entries, drawn at random.
  void SendToSome(std::size_t count,
                  RandomSource& random,
                  EntryMessage message);

  /// Returns the entry that announced the newest lease, among those that sent a
  /// message recently; nothing if none of them announced one.
  [[nodiscard]] std::optional<HostId> Holder() const;
  /// Returns whether the entry is known, so that messages can be sent to it.
  [[nodiscard]] bool IsKnown(const HostId& host) const {
    return this->peers.contains(host);
  }
  /// Returns the number of registered entries, including this one: the lease
  /// holder's count if it announced one recently, else the known ones.
  [[nodiscard]] std::size_t EntryCount() const;
  /// Returns the other entries that this one knows.
  [[nodiscard]] std::vector<HostId> PeerHosts() const;
  /// Returns the number of other entries that this one knows.
  [[nodiscard]] std::size_t PeerCount() const { return this->peers.size(); }
  /// Returns the largest processor capacity of the other entries in cores.
  [[nodiscard]] double StrongestPeerCores() const;
  [[nodiscard]] Address LocalAddress() const;

 private:
  /// Opens the socket; leaves it closed on an error.
  [[nodiscard]] error_code Bind();
  void RunReceiveLoop();
  void OnDatagram(std::span<const char> bytes);
  /// Records the state of the sender; returns false for a message that a later
  /// one has overtaken.
  [[nodiscard]] bool IsNew(const EntryMessage& message);
  void SendTo(const UdpEndpoint& address, const std::string& bytes);
  [[nodiscard]] std::string StampAndEncode(EntryMessage& message);

  FiberLoop& loop;
  const Clock& clock;
  UdpEndpoint local;
  UdpSocket socket;
  HostId self;
  InstanceId instance;
  Handler handler;
  std::uint64_t sequence = 0;
  std::map<HostId, PeerEntry> peers;
  std::size_t announced_count = 0;
  std::optional<TimePoint> announced_at;
};

}  // namespace pimentospar

#endif  // SRC_GATEWAY_ENTRY_TRANSPORT_H_
