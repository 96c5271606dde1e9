// Links between nodes: each node dials every peer and sends there; what it hears, it hears on
// the links that others dialled. A frame is a four-byte length and that many bytes.
#pragma once
#include <event2/event.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "config/settings.h"

struct evconnlistener;
struct bufferevent;

namespace eiderreel::net {

class PeerLinks {
 public:
  PeerLinks(event_base* base, const Settings& settings,
            std::function<void(const std::string&)> on_frame);
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;
  bool listen();
  void send(const std::string& node, const std::string& bytes);

 private:
  struct Link {  // one we dialled
    PeerLinks* peer_rpc = nullptr;
    std::string addr;
    bufferevent* bev = nullptr;
    bool connected = false;
    event* redial = nullptr;
  };
  void dial(Link& l);
  void fail(Link& l);
  static void on_accept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg);
  static void on_read(bufferevent* bev, void* arg);
  static void on_heard_end(bufferevent* bev, short what, void* arg);
  static void on_link_event(bufferevent* bev, short what, void* arg);

  event_base* base_;
  const Settings& settings_;
  std::function<void(const std::string&)> on_frame_;
  evconnlistener* listener_ = nullptr;
  std::map<std::string, Link> links_;
  std::set<bufferevent*> heard_;
};

}  // namespace eiderreel::net
