#include "gateway/entry_link.h"

#include <array>

#include "net/log_line.h"

namespace pimentospar {

namespace {

constexpr std::size_t kLargestDatagram = 65536;
// A holder that was not heard for so long may have lost its lease.
constexpr std::chrono::milliseconds kPlannerSilence{2500};

}  // namespace

EntryLink::EntryLink(FiberLoop& loop,
                     const Clock& clock,
                     const UdpEndpoint& local,
                     HostId self,
                     InstanceId instance,
                     Handler handler)
    : loop(loop),
      clock(clock),
      socket(loop.Context(), local),
      self(std::move(self)),
      instance(instance),
      handler(std::move(handler)) {}

void EntryLink::Start() {
  this->loop.Spawn([this] { this->Receive(); });
}

void EntryLink::Receive() {
  std::vector<char> buffer(kLargestDatagram);
  UdpEndpoint sender;
  while (this->socket.is_open()) {
    const IoResult received = Await([&](auto handler) {
      this->socket.async_receive_from(boost::asio::buffer(buffer), sender,
                                      std::move(handler));
    });
    if (received.IsGood()) {
      this->OnDatagram({buffer.data(), received.bytes});
    }
  }
}

void EntryLink::OnDatagram(std::span<const char> bytes) {
  const auto message = DecodeEntryMessage(bytes);
  if (!message) {
    LogWarning("entry_message_unreadable", {{"bytes", bytes.size()}});
    return;
  }
  const auto found = this->peers.find(message->host);
  if (found != this->peers.end()) {
    PeerEntry& peer = found->second;
    if (peer.instance == message->instance &&
        message->sequence <= peer.sequence) {
      return;
    }
    peer.instance = message->instance;
    peer.sequence = message->sequence;
    peer.heard_at = this->clock.Now();
    peer.lease = message->lease;
  }
  this->handler(*message);
}

void EntryLink::OnEntry(const HostId& host, const Address& address) {
  if (host == this->self) {
    return;
  }
  const Tcp::endpoint endpoint = address.ToEndpoint();
  this->peers[host].address = {endpoint.address(), endpoint.port()};
}

Address EntryLink::LocalAddress() const {
  const UdpEndpoint local = this->socket.local_endpoint();
  return {local.address().to_string(), local.port()};
}

std::string EntryLink::Seal(EntryMessage& message) {
  message.host = this->self;
  message.instance = this->instance;
  message.sequence = ++this->sequence;
  return Encode(message);
}

void EntryLink::SendTo(const UdpEndpoint& address, const std::string& bytes) {
  error_code error;
  this->socket.send_to(boost::asio::buffer(bytes), address, 0, error);
  if (error) {
    LogDebug("entry_message_unsent", {{"error", error.message()}});
  }
}

void EntryLink::Send(const HostId& host, EntryMessage message) {
  const auto found = this->peers.find(host);
  if (found != this->peers.end()) {
    this->SendTo(found->second.address, this->Seal(message));
  }
}

void EntryLink::SendAll(EntryMessage message) {
  if (this->peers.empty()) {
    return;
  }
  const std::string bytes = this->Seal(message);
  for (const auto& [host, peer] : this->peers) {
    this->SendTo(peer.address, bytes);
  }
}

std::optional<HostId> EntryLink::Planner() const {
  const TimePoint now = this->clock.Now();
  std::optional<HostId> planner;
  std::optional<LogOffset> newest;
  for (const auto& [host, peer] : this->peers) {
    const bool heard = peer.heard_at && now - *peer.heard_at < kPlannerSilence;
    if (heard && peer.lease && (!newest || *peer.lease > *newest)) {
      newest = peer.lease;
      planner = host;
    }
  }
  return planner;
}

}  // namespace pimentospar
