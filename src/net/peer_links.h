// TCP connections between controllers.
#pragma once
#include <functional>
#include <map>
#include <string>
#include <tl/expected.hpp>

#include "config/settings.h"
#include "net/libevent_handles.h"
#include "net/listen_error.h"

namespace eiderreel::net {

/// Exchanges frames between controllers over TCP. Each controller connects to every peer and sends
/// only over that outbound link; it receives over the inbound links that its peers opened. On the
/// wire a frame is its length, as four bytes in little-endian order, followed by its payload.
///
/// Delivery is best effort, and in order on one connection; a lost frame is not reported.
class PeerLinks {
 public:
  /// Called with the payload of each frame received.
  using OnFrame = std::function<void(const std::string& bytes)>;

  /// `base` and `settings` must outlive the links.
  PeerLinks(event_base* base, const Settings& settings, OnFrame on_frame);

  /// Starts accepting inbound links on `settings.peer_addr` and connecting to all peers.
  tl::expected<void, ListenError> listen();
  /// Sends a frame to the peer `node`. The frame is dropped if the link to that peer is not
  /// connected. If the link's backlog of unsent bytes is too long, the link is closed as well and
  /// reopened later.
  void send(const std::string& node, const std::string& bytes);

 private:
  struct OutboundLink {
    PeerLinks* owner = nullptr;
    std::string address;  // IP:PORT
    BuffereventPtr connection;
    bool connected = false;
    EventPtr redial_timer;
  };

  void dial(OutboundLink& link);
  static void close_and_schedule_redial(OutboundLink& link);
  static void on_redial(evutil_socket_t socket, short events, void* link);
  static void on_outbound_event(bufferevent* connection, short events, void* link);
  static void on_accept(evconnlistener* listener, evutil_socket_t socket, sockaddr* peer,
                        int peer_size, void* links);
  static void on_inbound_data(bufferevent* connection, void* links);
  static void on_inbound_event(bufferevent* connection, short events, void* links);

  event_base* base_;
  const Settings& settings_;
  OnFrame on_frame_;
  std::map<std::string, OutboundLink> outbound_;  // keyed by name of the peer
  std::map<bufferevent*, BuffereventPtr> inbound_;
  ListenerPtr listener_;
};

}  // namespace eiderreel::net
