#include "net/event_loop.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <spdlog/spdlog.h>
#include <time.h>

#include <random>

#include "net/http_reply.h"
#include "net/peer_links.h"

namespace eiderreel::net {

namespace k = constants;

namespace {

struct Once {
  std::function<void()> f;
};

}  // namespace

Loop::Loop(const Settings& settings) : settings_(settings) {
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_NOLOCK);
  base_.reset(event_base_new_with_config(config));
  event_config_free(config);
  std::random_device device;
  boot_id_ = fmt::format("{:08x}{:08x}", device(), device());
}

Loop::~Loop() {
  for (auto& [ev, f] : periodic_) event_free(ev);
  if (server_) evhttp_free(server_);
  peer_links_.reset();
  clients_.clear();
}

bool Loop::listen(OnRequest on_request, OnFrame on_frame, std::string& error) {
  on_request_ = std::move(on_request);
  server_ = evhttp_new(base_.get());
  evhttp_set_max_body_size(server_, static_cast<ev_ssize_t>(k::kBodyReadMax));
  evhttp_set_max_headers_size(server_, static_cast<ev_ssize_t>(k::kHeadersMax));
  evhttp_set_timeout(server_, static_cast<int>(k::kIdleConnectionS));
  evhttp_set_allowed_methods(server_, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                          EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH |
                                          EVHTTP_REQ_OPTIONS);
  evhttp_set_gencb(server_, &Loop::on_http, this);
  // After an end of all controllers every worker and user connects to the first that is
  // back; the queue of connections not yet accepted holds as many as there may be (libevent's own:
  // 128).
  sockaddr_in sin = to_sockaddr(settings_.api_addr);
  evconnlistener* listener = evconnlistener_new_bind(
      base_.get(), nullptr, nullptr, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
      settings_.max_sockets, reinterpret_cast<sockaddr*>(&sin), sizeof sin);
  if (!listener || !evhttp_bind_listener(server_, listener)) {
    error = "cannot listen on api_addr " + settings_.api_addr;
    return false;
  }
  peer_links_ = std::make_unique<PeerLinks>(base_.get(), settings_, std::move(on_frame));
  if (!peer_links_->listen()) {
    error = "cannot listen on mesh_addr " + settings_.peer_addr;
    return false;
  }
  return true;
}

void Loop::on_http(evhttp_request* req, void* arg) {
  auto* self = static_cast<Loop*>(arg);
  std::string method;
  switch (evhttp_request_get_command(req)) {
    case EVHTTP_REQ_GET:
      method = "GET";
      break;
    case EVHTTP_REQ_POST:
      method = "POST";
      break;
    default:
      method = "OTHER";
      break;
  }
  const char* uri = evhttp_request_get_uri(req);
  std::string path = uri ? uri : "";
  if (auto q = path.find('?'); q != std::string::npos) path.resize(q);
  std::string body = take_body(req);
  auto pending = std::make_shared<PendingReply>(req);
  self->on_request_(method, path, body,
                    [pending](int status, std::string text) { pending->send(status, text); });
}

void Loop::every(Ms period, std::function<void()> f) {
  auto fn = std::make_unique<std::function<void()>>(std::move(f));
  event* ev = event_new(
      base_.get(), -1, EV_PERSIST,
      [](evutil_socket_t, short, void* arg) { (*static_cast<std::function<void()>*>(arg))(); },
      fn.get());
  const timeval tv = to_timeval(period);
  event_add(ev, &tv);
  periodic_.emplace_back(ev, std::move(fn));
}

void Loop::run() { event_base_dispatch(base_.get()); }

Ms Loop::now() const {
  timespec t{};
  clock_gettime(CLOCK_MONOTONIC, &t);
  return static_cast<Ms>(t.tv_sec) * 1000 + t.tv_nsec / 1000000;
}

Ms Loop::wall() const {
  timespec t{};
  clock_gettime(CLOCK_REALTIME, &t);
  return static_cast<Ms>(t.tv_sec) * 1000 + t.tv_nsec / 1000000;
}

double Loop::random() {
  static std::mt19937_64 engine{std::random_device{}()};
  return std::uniform_real_distribution<double>(0, 1)(engine);
}

void Loop::after(Ms delay, std::function<void()> f) {
  auto* once = new Once{std::move(f)};  // freed when it fires
  const timeval tv = to_timeval(delay);
  event_base_once(
      base_.get(), -1, EV_TIMEOUT,
      [](evutil_socket_t, short, void* arg) {
        std::unique_ptr<Once> o(static_cast<Once*>(arg));
        o->f();
      },
      once, &tv);
}

void Loop::http(HttpRequest r, std::function<void(HttpReply)> done) {
  auto& client = clients_[r.addr];
  if (!client) {
    Address a;
    if (!parse_address(r.addr, a)) {
      clients_.erase(r.addr);
      after(0, [done = std::move(done)] { done({}); });
      return;
    }
    client = std::make_unique<HttpClient>(base_.get(), a);
  }
  client->send(std::move(r), std::move(done));
}

void Loop::send(const std::string& node, const std::string& bytes) {
  peer_links_->send(node, bytes);
}

}  // namespace eiderreel::net
