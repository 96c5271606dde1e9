#include "net/peer_links.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <array>
#include <cstring>

#include "net/event_loop.h"

namespace eiderreel::net {

namespace k = constants;

namespace {

constexpr std::size_t kHead = 4;  // bytes of a frame's length

}  // namespace

PeerLinks::PeerLinks(event_base* base, const Settings& settings,
                     std::function<void(const std::string&)> on_frame)
    : base_(base), settings_(settings), on_frame_(std::move(on_frame)) {}

PeerLinks::~PeerLinks() {
  if (listener_) evconnlistener_free(listener_);
  for (auto* b : heard_) bufferevent_free(b);
  for (auto& [name, l] : links_) {
    if (l.bev) bufferevent_free(l.bev);
    if (l.redial) event_free(l.redial);
  }
}

bool PeerLinks::listen() {
  sockaddr_in sin = to_sockaddr(settings_.peer_addr);
  listener_ = evconnlistener_new_bind(base_, &PeerLinks::on_accept, this,
                                      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                      reinterpret_cast<sockaddr*>(&sin), sizeof sin);
  if (!listener_) return false;
  for (const auto& p : settings_.peers) {
    Link& l = links_[p.name];
    l.peer_rpc = this;
    l.addr = p.peer_addr;
    l.redial = evtimer_new(
        base_,
        [](evutil_socket_t, short, void* arg) {
          auto* link = static_cast<Link*>(arg);
          link->peer_rpc->dial(*link);
        },
        &l);
    dial(l);
  }
  return true;
}

void PeerLinks::dial(Link& l) {
  l.bev = bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE);
  l.connected = false;
  bufferevent_setcb(l.bev, nullptr, nullptr, &PeerLinks::on_link_event, &l);
  // A link that hangs is given up, and so is one that cannot be opened.
  const timeval tv{k::kPeerStuckMs / 1000, 0};
  bufferevent_set_timeouts(l.bev, nullptr, &tv);
  bufferevent_enable(l.bev, EV_WRITE | EV_READ);
  sockaddr_in sin = to_sockaddr(l.addr);
  if (bufferevent_socket_connect(l.bev, reinterpret_cast<sockaddr*>(&sin), sizeof sin) != 0)
    fail(l);
}

void PeerLinks::fail(Link& l) {
  if (l.bev) bufferevent_free(l.bev);
  l.bev = nullptr;
  l.connected = false;
  const timeval tv{0, k::kPeerRedialMs * 1000};
  event_add(l.redial, &tv);
}

void PeerLinks::on_link_event(bufferevent*, short what, void* arg) {
  auto* l = static_cast<Link*>(arg);
  if (what & BEV_EVENT_CONNECTED)
    l->connected = true;
  else
    l->peer_rpc->fail(*l);
}

void PeerLinks::send(const std::string& node, const std::string& bytes) {
  auto it = links_.find(node);
  if (it == links_.end() || !it->second.bev || !it->second.connected) return;
  Link& l = it->second;
  if (evbuffer_get_length(bufferevent_get_output(l.bev)) > k::kPeerBacklogMaxBytes) {
    fail(l);
    return;
  }
  const auto n = static_cast<std::uint32_t>(bytes.size());
  std::array<unsigned char, kHead> head{};
  for (std::size_t i = 0; i < kHead; ++i) head[i] = static_cast<unsigned char>(n >> (8 * i));
  bufferevent_write(l.bev, head.data(), head.size());
  bufferevent_write(l.bev, bytes.data(), bytes.size());
}

void PeerLinks::on_accept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg) {
  auto* self = static_cast<PeerLinks*>(arg);
  bufferevent* bev = bufferevent_socket_new(self->base_, fd, BEV_OPT_CLOSE_ON_FREE);
  self->heard_.insert(bev);
  bufferevent_setcb(bev, &PeerLinks::on_read, nullptr, &PeerLinks::on_heard_end, self);
  const timeval tv{k::kPeerIdleTimeoutMs / 1000, 0};
  bufferevent_set_timeouts(bev, &tv, nullptr);
  bufferevent_enable(bev, EV_READ);
}

void PeerLinks::on_heard_end(bufferevent* bev, short, void* arg) {
  static_cast<PeerLinks*>(arg)->heard_.erase(bev);
  bufferevent_free(bev);
}

void PeerLinks::on_read(bufferevent* bev, void* arg) {
  auto* self = static_cast<PeerLinks*>(arg);
  evbuffer* in = bufferevent_get_input(bev);
  for (;;) {
    std::array<unsigned char, kHead> head{};
    if (evbuffer_copyout(in, head.data(), kHead) < static_cast<ev_ssize_t>(kHead)) return;
    std::uint32_t n = 0;
    for (std::size_t i = 0; i < kHead; ++i) n |= static_cast<std::uint32_t>(head[i]) << (8 * i);
    if (n > k::kPeerFrameMaxBytes) {  // not one of ours
      on_heard_end(bev, 0, arg);
      return;
    }
    if (evbuffer_get_length(in) < kHead + n) return;
    evbuffer_drain(in, kHead);
    std::string bytes(n, '\0');
    evbuffer_remove(in, bytes.data(), n);
    self->on_frame_(bytes);
  }
}

}  // namespace eiderreel::net
