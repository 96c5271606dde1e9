// Connections between controllers.
#pragma once
#include <functional>
#include <map>
#include <string>
#include <tl/expected.hpp>

#include "config/settings.h"
#include "net/libevent_handles.h"
#include "net/listen_error.h"

namespace eiderreel::net {

/// Sends frames of bytes between controllers over TCP. Each controller connects to every peer and
/// sends over that outbound link only; it receives over the inbound links that its peers opened.
/// On the wire a frame is its length, four bytes with the lowest first, followed by its bytes.
///
/// Delivery is best effort and in order while a link lasts; a lost frame is not reported.
class PeerLinks {
 public:
  /// Called with each frame that arrives.
  using OnFrame = std::function<void(const std::string& bytes)>;

  /// `base` and `settings` must outlive the links.
  PeerLinks(event_base* base, const Settings& settings, OnFrame on_frame);

  /// Starts to accept inbound links on `settings.peer_addr` and to connect to all peers.
  tl::expected<void, ListenError> listen();
  /// Sends a frame to a peer. It is dropped while there is no link to the peer.
  void send(const std::string& node, const std::string& bytes);

 private:
  struct OutboundLink {
    PeerLinks* owner = nullptr;
    std::string address;  // IP:PORT
    BuffereventPtr connection;
    bool connected = false;
    EventPtr redial;
  };

  void dial(OutboundLink& link);
  static void drop_and_redial(OutboundLink& link);
  static void on_redial(evutil_socket_t socket, short events, void* link);
  static void on_outbound_event(bufferevent* connection, short events, void* link);
  static void on_accept(evconnlistener* listener, evutil_socket_t socket, sockaddr* peer,
                        int peer_size, void* links);
  static void on_inbound_data(bufferevent* connection, void* links);
  static void on_inbound_event(bufferevent* connection, short events, void* links);

  event_base* base_;
  const Settings& settings_;
  OnFrame on_frame_;
  std::map<std::string, OutboundLink> outbound_;  // by name of the peer
  std::map<bufferevent*, BuffereventPtr> inbound_;
  ListenerPtr listener_;
};

}  // namespace eiderreel::net
