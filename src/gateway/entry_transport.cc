#include "gateway/entry_transport.h"

#include <algorithm>

#include "gateway/sockets.h"
#include "net/address.h"
#include "net/log_line.h"

namespace pimentospar {

namespace {

constexpr std::size_t kMaxDatagramBytes = 65536;
// A lease holder that has sent no message for this time may have lost its
// lease.
constexpr std::chrono::milliseconds kHolderTimeout{2500};

}  // namespace

EntryTransport::EntryTransport(FiberLoop& loop,
                               const Clock& clock,
                               const UdpEndpoint& local,
                               HostId self,
                               InstanceId instance,
                               Handler handler)
    : loop(loop),
      clock(clock),
      local(local),
      socket(loop.Context()),
      self(std::move(self)),
      instance(instance),
      handler(std::move(handler)) {
  // A failure is logged when the transport starts.
  (void)this->Bind();
}

error_code EntryTransport::Bind() {
  error_code error;
  this->socket.open(this->local.protocol(), error);
  if (!error) {
    this->socket.bind(this->local, error);
  }
  if (error) {
    error_code ignored;
    this->socket.close(ignored);
    return error;
  }
  this->local = this->socket.local_endpoint(error);
  return error;
}

void EntryTransport::Start() {
  this->loop.SpawnDuty("entry_messages", [this] {
    if (!this->socket.is_open()) {
      RetryListening(ToString(this->LocalAddress()),
                     [this] { return this->Bind(); });
    }
    this->RunReceiveLoop();
  });
}

void EntryTransport::RunReceiveLoop() {
  std::vector<char> buffer(kMaxDatagramBytes);
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

void EntryTransport::OnDatagram(std::span<const char> bytes) {
  const auto message = DecodeEntryMessage(bytes);
  if (!message) {
    LogWarning("entry_message_unreadable", {{"bytes", bytes.size()}});
    return;
  }
  // The other messages need no order, and one that overtakes must not have them
  // dropped.
  if (message->IsAboutSender() && !this->IsNew(*message)) {
    return;
  }
  if (message->entry_count > 0) {
    this->announced_count = message->entry_count;
    this->announced_at = this->clock.Now();
  }
  this->handler(*message);
}

bool EntryTransport::IsNew(const EntryMessage& message) {
  const auto found = this->peers.find(message.host);
  if (found == this->peers.end()) {
    return true;
  }
  PeerEntry& peer = found->second;
  if (peer.instance == message.instance && message.sequence <= peer.sequence) {
    return false;
  }
  peer.instance = message.instance;
  peer.sequence = message.sequence;
  peer.received_at = this->clock.Now();
  peer.lease = message.lease;
  return true;
}

void EntryTransport::OnEntry(const HostId& host,
                             const EntryRegistration& registration) {
  if (host == this->self) {
    return;
  }
  const Tcp::endpoint endpoint = registration.address.ToEndpoint();
  PeerEntry& peer = this->peers[host];
  peer.address = {endpoint.address(), endpoint.port()};
  peer.processor_cores = registration.processor_cores;
}

std::size_t EntryTransport::EntryCount() const {
  const bool is_announced =
      this->announced_at &&
      this->clock.Now() - *this->announced_at < kHolderTimeout;
  return is_announced ? this->announced_count : this->peers.size() + 1;
}

std::vector<HostId> EntryTransport::PeerHosts() const {
  std::vector<HostId> hosts;
  hosts.reserve(this->peers.size());
  for (const auto& [host, peer] : this->peers) {
    hosts.push_back(host);
  }
  return hosts;
}

double EntryTransport::StrongestPeerCores() const {
  double strongest = 0;
  for (const auto& [host, peer] : this->peers) {
    strongest = std::max(strongest, peer.processor_cores);
  }
  return strongest;
}

Address EntryTransport::LocalAddress() const {
  return {this->local.address().to_string(), this->local.port()};
}

std::string EntryTransport::StampAndEncode(EntryMessage& message) {
  message.host = this->self;
  message.instance = this->instance;
  message.sequence = ++this->sequence;
  return Encode(message);
}

void EntryTransport::SendTo(const UdpEndpoint& address,
                            const std::string& bytes) {
  error_code error;
  this->socket.send_to(boost::asio::buffer(bytes), address, 0, error);
  if (error) {
    LogDebug("entry_message_unsent", {{"error", error.message()}});
  }
}

void EntryTransport::Send(const HostId& host, EntryMessage message) {
  const auto found = this->peers.find(host);
  if (found != this->peers.end()) {
    this->SendTo(found->second.address, this->StampAndEncode(message));
  }
}

void EntryTransport::Broadcast(EntryMessage message) {
  if (this->peers.empty()) {
    return;
  }
  const std::string bytes = this->StampAndEncode(message);
  for (const auto& [host, peer] : this->peers) {
    this->SendTo(peer.address, bytes);
  }
}

void EntryTransport::SendToSome(std::size_t count,
                                RandomSource& random,
                                EntryMessage message) {
  std::vector<UdpEndpoint> addresses;
  for (const auto& [host, peer] : this->peers) {
    addresses.push_back(peer.address);
  }
  DrawToFront(std::span(addresses), count, random);
  addresses.resize(std::min(count, addresses.size()));
  const std::string bytes = this->StampAndEncode(message);
  for (const UdpEndpoint& address : addresses) {
    this->SendTo(address, bytes);
  }
}

std::optional<HostId> EntryTransport::Holder() const {
  const TimePoint now = this->clock.Now();
  std::optional<HostId> holder;
  std::optional<LogOffset> newest_lease;
  for (const auto& [host, peer] : this->peers) {
    const bool is_recent =
        peer.received_at && now - *peer.received_at < kHolderTimeout;
    if (is_recent && peer.lease &&
        (!newest_lease || *peer.lease > *newest_lease)) {
      newest_lease = peer.lease;
      holder = host;
    }
  }
  return holder;
}

}  // namespace pimentospar
