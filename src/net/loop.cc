#include "net/loop.h"

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

#include "net/mesh_link.h"

namespace eiderreel::net {

namespace k = constants;

namespace {

timeval to_timeval(Ms ms) {
  return {static_cast<time_t>(ms / 1000), static_cast<suseconds_t>((ms % 1000) * 1000)};
}

std::string take_body(evhttp_request* req) {
  evbuffer* in = evhttp_request_get_input_buffer(req);
  std::string body(evbuffer_get_length(in), '\0');
  evbuffer_remove(in, body.data(), body.size());
  return body;
}

const char* reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 413:
      return "Content Too Large";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Entity";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

// A request whose answer may come later, or never be wanted: its connection may close first.
struct PendingReply {
  evhttp_request* req;
  bool closed = false;

  explicit PendingReply(evhttp_request* r) : req(r) {
    evhttp_request_own(req);
    evhttp_connection_set_closecb(evhttp_request_get_connection(req), &on_close, this);
  }
  ~PendingReply() {
    if (!req) return;
    // Nobody answered. Guard: a request is never left hanging.
    if (!closed) send(503, "");
    if (req) evhttp_request_free(req);
  }
  PendingReply(const PendingReply&) = delete;
  PendingReply& operator=(const PendingReply&) = delete;

  static void on_close(evhttp_connection*, void* arg) {
    static_cast<PendingReply*>(arg)->closed = true;
  }

  void send(int status, const std::string& body) {
    if (!req || closed) return;
    evhttp_request* r = req;
    req = nullptr;
    evhttp_connection_set_closecb(evhttp_request_get_connection(r), nullptr, nullptr);
    evkeyvalq* headers = evhttp_request_get_output_headers(r);
    evhttp_add_header(
        headers, "Content-Type",
        !body.empty() && body[0] != '{' ? "text/plain; version=0.0.4" : "application/json");
    if (status == 503 || status == 429)
      evhttp_add_header(headers, "Retry-After", std::to_string(k::kRetryAfterS).c_str());
    evbuffer* out = evhttp_request_get_output_buffer(r);
    evbuffer_add(out, body.data(), body.size());
    r->flags &= ~EVHTTP_USER_OWNED;  // from here on libevent frees it, also when the link dies
    evhttp_send_reply(r, status, reason(status), nullptr);
  }
};

struct Once {
  std::function<void()> f;
};

}  // namespace

bool parse_address(const std::string& text, Address& out) {
  auto colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0) return false;
  out.host = text.substr(0, colon);
  const std::string port = text.substr(colon + 1);
  if (port.empty() || port.size() > 5 ||
      !std::all_of(port.begin(), port.end(), [](char c) { return c >= '0' && c <= '9'; }))
    return false;
  out.port = std::stoi(port);
  in_addr a{};
  return out.port > 0 && out.port < 65536 && evutil_inet_pton(AF_INET, out.host.c_str(), &a) == 1;
}

sockaddr_in to_sockaddr(const std::string& text) {
  Address a;
  parse_address(text, a);
  sockaddr_in sin{};
  sin.sin_family = AF_INET;
  sin.sin_port = htons(static_cast<std::uint16_t>(a.port));
  inet_pton(AF_INET, a.host.c_str(), &sin.sin_addr);
  return sin;
}

// ------------------------------------------------------------------------------- client

struct HttpClient::Call {
  HttpClient* client;
  evhttp_connection* conn;
  std::function<void(HttpReply)> done;
  bool once;
};

HttpClient::~HttpClient() {
  for (auto* c : idle_) evhttp_connection_free(c);
}

void HttpClient::on_done(evhttp_request* req, void* arg) {
  std::unique_ptr<Call> call(static_cast<Call*>(arg));
  HttpReply reply;
  if (req && evhttp_request_get_response_code(req) != 0) {
    reply.status = evhttp_request_get_response_code(req);
    reply.body = take_body(req);
    if (call->once)
      evhttp_connection_free_on_completion(call->conn);
    else
      call->client->idle_.push_back(call->conn);
  } else {
    evhttp_connection_free_on_completion(call->conn);
  }
  call->done(std::move(reply));
}

void HttpClient::send(HttpRequest r, std::function<void(HttpReply)> done) {
  evhttp_connection* conn = nullptr;
  if (!idle_.empty()) {
    conn = idle_.back();
    idle_.pop_back();
  } else {
    conn = evhttp_connection_base_new(base_, nullptr, addr_.host.c_str(),
                                      static_cast<std::uint16_t>(addr_.port));
  }
  const timeval tv = to_timeval(r.timeout);
  evhttp_connection_set_timeout_tv(conn, &tv);
  auto* call = new Call{this, conn, std::move(done), r.once};  // freed by on_done
  evhttp_request* req = evhttp_request_new(&HttpClient::on_done, call);
  evkeyvalq* headers = evhttp_request_get_output_headers(req);
  evhttp_add_header(headers, "Host", (addr_.host + ":" + std::to_string(addr_.port)).c_str());
  if (r.once) evhttp_add_header(headers, "Connection", "close");
  if (!r.body.empty()) {
    evhttp_add_header(headers, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(req), r.body.data(), r.body.size());
  }
  evhttp_cmd_type type = r.method == "GET"    ? EVHTTP_REQ_GET
                         : r.method == "POST" ? EVHTTP_REQ_POST
                                              : EVHTTP_REQ_DELETE;
  // On failure libevent has called on_done or freed the request; nothing is left to do here.
  evhttp_make_request(conn, req, type, r.path.c_str());
}

// --------------------------------------------------------------------------------- loop

Loop::Loop(const Settings& s) : s_(s) {
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
  mesh_.reset();
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
  // Guard: after an end of all controllers every worker and user connects to the first that is
  // back; the queue of connections not yet accepted holds as many as there may be (libevent's own:
  // 128).
  sockaddr_in sin = to_sockaddr(s_.api_addr);
  evconnlistener* listener = evconnlistener_new_bind(
      base_.get(), nullptr, nullptr, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, s_.max_sockets,
      reinterpret_cast<sockaddr*>(&sin), sizeof sin);
  if (!listener || !evhttp_bind_listener(server_, listener)) {
    error = "cannot listen on api_addr " + s_.api_addr;
    return false;
  }
  mesh_ = std::make_unique<Mesh>(base_.get(), s_, std::move(on_frame));
  if (!mesh_->listen()) {
    error = "cannot listen on mesh_addr " + s_.mesh_addr;
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

void Loop::send(const std::string& node, const std::string& bytes) { mesh_->send(node, bytes); }

}  // namespace eiderreel::net
