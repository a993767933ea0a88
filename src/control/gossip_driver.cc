#include "control/gossip_driver.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>

#include "control/gossip_codec.h"
#include "net/log_line.h"

namespace pimentospar {

namespace {

namespace asio = boost::asio;
using Udp = asio::ip::udp;

template <typename... Visitors>
struct Overload : Visitors... {
  using Visitors::operator()...;
};
template <typename... Visitors>
Overload(Visitors...) -> Overload<Visitors...>;

}  // namespace

/// The UDP socket; used on the I/O thread and kept alive by pending operations.
class GossipDriver::Socket
    : public std::enable_shared_from_this<GossipDriver::Socket> {
 public:
  using OnDatagram = std::function<void(std::string_view)>;

  Socket(asio::io_context& context, const Address& address)
      : context(context),
        socket(
            context,
            Udp::endpoint(asio::ip::make_address(address.ip), address.port)) {
    this->socket.non_blocking(true);
  }

  [[nodiscard]] Address LocalAddress() const {
    const auto endpoint = this->socket.local_endpoint();
    return {endpoint.address().to_string(), endpoint.port()};
  }

  void Start(OnDatagram callback) {
    asio::post(this->context, [self = this->shared_from_this(),
                               callback = std::move(callback)]() mutable {
      self->on_datagram = std::move(callback);
      self->Receive();
    });
  }

  void Send(const Address& to, std::string datagram) {
    asio::post(this->context, [self = this->shared_from_this(), to,
                               datagram = std::move(datagram)] {
      // A datagram that cannot be sent counts as lost.
      boost::system::error_code ignored;
      self->socket.send_to(
          asio::buffer(datagram),
          Udp::endpoint(asio::ip::make_address(to.ip), to.port), 0, ignored);
    });
  }

  void Close() {
    asio::post(this->context, [self = this->shared_from_this()] {
      boost::system::error_code ignored;
      self->on_datagram = nullptr;
      self->socket.close(ignored);
    });
  }

 private:
  void Receive() {
    this->socket.async_receive_from(
        asio::buffer(this->buffer), this->sender,
        [self = this->shared_from_this()](boost::system::error_code error,
                                          std::size_t size) {
          if (self->on_datagram == nullptr ||
              error == asio::error::operation_aborted) {
            return;
          }
          if (!error) {
            self->on_datagram({self->buffer.data(), size});
          }
          self->Receive();
        });
  }

  asio::io_context& context;
  Udp::socket socket;
  Udp::endpoint sender;
  std::array<char, 2048> buffer{};
  OnDatagram on_datagram;
};

GossipDriver::GossipDriver(IoThread& io,
                           FiberThread& control,
                           const Clock& clock,
                           RandomSource& random,
                           Metrics& metrics,
                           const Address& bind,
                           Membership::Options options,
                           GossipCallbacks callbacks)
    : metrics(metrics),
      callbacks(std::move(callbacks)),
      socket(std::make_shared<Socket>(io.Context(), bind)) {
  options.address = MemberAddress(ToString(this->socket->LocalAddress()));
  this->membership =
      std::make_unique<Membership>(std::move(options), clock, random);
  this->socket->Start([this, &control](std::string_view datagram) {
    const bool accepted = control.TryRun(
        [this, text = std::string(datagram)] { this->OnDatagram(text); });
    if (!accepted) {
      this->metrics.CountRefusal(Reason::kRingFull);
    }
  });
}

GossipDriver::~GossipDriver() {
  this->socket->Close();
}

Address GossipDriver::LocalAddress() const {
  return this->socket->LocalAddress();
}

void GossipDriver::Tick() {
  this->ExecuteActions(this->membership->OnTick());
}

void GossipDriver::AddHints(std::span<const ListedHost> hosts) {
  for (const ListedHost& host : hosts) {
    if (host.gossip.port == 0) {
      continue;
    }
    this->ExecuteActions(this->membership->OnHint(
        MemberAddress(ToString(host.gossip)), host.region));
  }
}

void GossipDriver::SetState(ConfigVersion version,
                            const LoadSummary& load,
                            std::vector<ModelId> models) {
  this->membership->SetConfigVersion(version);
  this->membership->SetLoad(load);
  this->membership->SetModels(std::move(models));
}

void GossipDriver::AddStrike(const StrikeReport& report) {
  this->ExecuteActions(this->membership->AddStrike(report));
}

void GossipDriver::AnnounceConfigVersion() {
  this->ExecuteActions(this->membership->AnnounceConfigVersion());
}

void GossipDriver::Leave() {
  this->ExecuteActions(this->membership->Leave());
}

std::vector<MemberUpdate> GossipDriver::Members() const {
  return this->membership->Members();
}

void GossipDriver::OnDatagram(std::string_view datagram) {
  this->metrics.Count(CountedEvent::kGossipReceived);
  this->metrics.Count(CountedEvent::kGossipBytes, datagram.size());
  if (const auto message = DecodeGossip(datagram)) {
    this->ExecuteActions(this->membership->OnMessage(*message));
  }
}

void GossipDriver::ExecuteActions(MembershipActions actions) {
  const Overload execute{
      [this](const SendGossip& action) {
        const auto to = ParseAddress(action.to.value);
        if (!to) {
          return;
        }
        std::string datagram = EncodeGossip(action.message);
        this->metrics.Count(CountedEvent::kGossipSent);
        this->metrics.Count(CountedEvent::kGossipBytes, datagram.size());
        this->socket->Send(*to, std::move(datagram));
      },
      [this](const MemberChanged& action) {
        if (this->callbacks.on_member) {
          this->callbacks.on_member(action.member);
        }
      },
      [this](const NewerConfig& action) {
        const MemberUpdate* peer = this->membership->Find(action.peer);
        if (peer != nullptr && this->callbacks.on_newer_config) {
          this->callbacks.on_newer_config(peer->payload.rpc_address);
        }
      },
      [this](const StrikeReceived& action) {
        if (this->callbacks.on_strike) {
          this->callbacks.on_strike(action.report);
        }
      },
      [](const SummaryReceived& action) {
        LogDebug("region_summary", {{"region", action.summary.region.value},
                                    {"models", action.summary.copies.size()}});
      }};
  for (MembershipAction& action : actions) {
    std::visit(execute, action);
  }
}

}  // namespace pimentospar
