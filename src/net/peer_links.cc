// TCP connections between controllers.
#include "net/peer_links.h"

#include <array>
#include <cstdint>
#include <utility>

#include "constants.h"
#include "net/address.h"

namespace eiderreel::net {
namespace {

namespace k = constants;

constexpr std::size_t kBitsPerByte = 8;
using FrameHeader = std::array<unsigned char, 4>;

FrameHeader encode_length(std::uint32_t length) {
  FrameHeader header{};
  for (std::size_t i = 0; i < header.size(); ++i)
    header.at(i) = static_cast<unsigned char>(length >> (kBitsPerByte * i));
  return header;
}

std::uint32_t decode_length(const FrameHeader& header) {
  std::uint32_t length = 0;
  for (std::size_t i = 0; i < header.size(); ++i)
    length |= static_cast<std::uint32_t>(header.at(i)) << (kBitsPerByte * i);
  return length;
}

}  // namespace

PeerLinks::PeerLinks(event_base* base, const Settings& settings, OnFrame on_frame)
    : base_(base), settings_(settings), on_frame_(std::move(on_frame)) {}

tl::expected<void, ListenError> PeerLinks::listen() {
  sockaddr_in address = to_sockaddr(settings_.peer_addr);
  listener_.reset(evconnlistener_new_bind(base_, &PeerLinks::on_accept, this,
                                          LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                          reinterpret_cast<sockaddr*>(&address), sizeof address));
  if (!listener_) return tl::make_unexpected(ListenError{"mesh_addr", settings_.peer_addr});
  for (const Peer& peer : settings_.peers) {
    OutboundLink& link = outbound_[peer.name];
    link.owner = this;
    link.address = peer.peer_addr;
    link.redial_timer.reset(evtimer_new(base_, &PeerLinks::on_redial, &link));
    dial(link);
  }
  return {};
}

void PeerLinks::on_redial(evutil_socket_t /*socket*/, short /*events*/, void* link) {
  auto& outbound = *static_cast<OutboundLink*>(link);
  outbound.owner->dial(outbound);
}

void PeerLinks::dial(OutboundLink& link) {
  link.connection.reset(bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE));
  link.connected = false;
  bufferevent* connection = link.connection.get();
  bufferevent_setcb(connection, nullptr, nullptr, &PeerLinks::on_outbound_event, &link);
  // Covers both a connection attempt and a write that the peer does not accept.
  const timeval timeout = to_timeval(k::kPeerStallTimeoutMs);
  bufferevent_set_timeouts(connection, nullptr, &timeout);
  bufferevent_enable(connection, EV_WRITE | EV_READ);
  sockaddr_in address = to_sockaddr(link.address);
  const int connect_result =
      bufferevent_socket_connect(connection, reinterpret_cast<sockaddr*>(&address), sizeof address);
  if (connect_result != 0) close_and_schedule_redial(link);
}

void PeerLinks::close_and_schedule_redial(OutboundLink& link) {
  link.connection.reset();
  link.connected = false;
  const timeval delay = to_timeval(k::kPeerReconnectDelayMs);
  event_add(link.redial_timer.get(), &delay);
}

void PeerLinks::on_outbound_event(bufferevent* /*connection*/, short events, void* link) {
  auto& outbound = *static_cast<OutboundLink*>(link);
  if ((events & BEV_EVENT_CONNECTED) != 0)
    outbound.connected = true;
  else
    close_and_schedule_redial(outbound);
}

void PeerLinks::send(const std::string& node, const std::string& bytes) {
  const auto found = outbound_.find(node);
  if (found == outbound_.end()) return;
  OutboundLink& link = found->second;
  if (!link.connection || !link.connected) return;
  bufferevent* connection = link.connection.get();
  if (evbuffer_get_length(bufferevent_get_output(connection)) > k::kMaxPeerBacklogBytes) {
    close_and_schedule_redial(link);
    return;
  }
  const FrameHeader header = encode_length(static_cast<std::uint32_t>(bytes.size()));
  bufferevent_write(connection, header.data(), header.size());
  bufferevent_write(connection, bytes.data(), bytes.size());
}

void PeerLinks::on_accept(evconnlistener* /*listener*/, evutil_socket_t socket, sockaddr* /*peer*/,
                          int /*peer_size*/, void* links) {
  auto* self = static_cast<PeerLinks*>(links);
  BuffereventPtr owned(bufferevent_socket_new(self->base_, socket, BEV_OPT_CLOSE_ON_FREE));
  bufferevent* connection = owned.get();
  self->inbound_.emplace(connection, std::move(owned));
  bufferevent_setcb(connection, &PeerLinks::on_inbound_data, nullptr, &PeerLinks::on_inbound_event,
                    self);
  const timeval timeout = to_timeval(k::kPeerIdleTimeoutMs);
  bufferevent_set_timeouts(connection, &timeout, nullptr);
  bufferevent_enable(connection, EV_READ);
}

// Called when the peer closes the link, on an error and after the idle timeout. The link is closed
// without a retry, because the peer reconnects its outbound link.
void PeerLinks::on_inbound_event(bufferevent* connection, short /*events*/, void* links) {
  static_cast<PeerLinks*>(links)->inbound_.erase(connection);
}

void PeerLinks::on_inbound_data(bufferevent* connection, void* links) {
  auto* self = static_cast<PeerLinks*>(links);
  evbuffer* input = bufferevent_get_input(connection);
  FrameHeader header{};
  while (evbuffer_copyout(input, header.data(), header.size()) ==
         static_cast<ev_ssize_t>(header.size())) {
    const std::uint32_t length = decode_length(header);
    if (length > k::kMaxPeerFrameBytes) {  // the sender is not a controller
      self->inbound_.erase(connection);
      return;
    }
    if (evbuffer_get_length(input) < header.size() + length) return;
    evbuffer_drain(input, header.size());
    std::string bytes(length, '\0');
    evbuffer_remove(input, bytes.data(), length);
    self->on_frame_(bytes);
  }
}

}  // namespace eiderreel::net
