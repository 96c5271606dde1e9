// HTTP server for requests of users, workers and operators.
#include "net/http_server.h"

#include <memory>
#include <utility>

#include "constants.h"
#include "net/address.h"
#include "net/http_reply.h"

namespace eiderreel::net {
namespace {

namespace k = constants;

// Includes methods without a handler, so that the router answers them with 405 instead of libevent
// rejecting them.
constexpr ev_uint16_t kAllowedMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                        EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH |
                                        EVHTTP_REQ_OPTIONS;

std::string method_of(const evhttp_request* request) {
  switch (evhttp_request_get_command(request)) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    default:
      return "OTHER";
  }
}

std::string path_of(const evhttp_request* request) {
  const char* uri = evhttp_request_get_uri(request);
  const std::string text = uri ? uri : "";
  return text.substr(0, text.find('?'));
}

}  // namespace

HttpServer::HttpServer(event_base* base, OnRequest on_request)
    : base_(base), on_request_(std::move(on_request)), server_(evhttp_new(base)) {
  evhttp_set_max_body_size(server_.get(), static_cast<ev_ssize_t>(k::kMaxBodyReadBytes));
  evhttp_set_max_headers_size(server_.get(), k::kMaxHeaderBytes);
  evhttp_set_timeout(server_.get(), k::kConnectionIdleTimeoutS);
  evhttp_set_allowed_methods(server_.get(), kAllowedMethods);
  evhttp_set_gencb(server_.get(), &HttpServer::on_evhttp_request, this);
}

tl::expected<void, ListenError> HttpServer::listen(const Settings& settings) {
  // After an outage of all controllers, every worker and user connects to the first controller that
  // restarts. The backlog therefore holds max_sockets connections instead of libevent's default of
  // 128.
  const int backlog = settings.max_sockets;
  sockaddr_in address = to_sockaddr(settings.api_addr);
  ListenerPtr listener(
      evconnlistener_new_bind(base_, nullptr, nullptr, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                              backlog, reinterpret_cast<sockaddr*>(&address), sizeof address));
  if (!listener || !evhttp_bind_listener(server_.get(), listener.get()))
    return tl::make_unexpected(ListenError{"api_addr", settings.api_addr});
  static_cast<void>(listener.release());  // owned by the server once bound
  return {};
}

void HttpServer::on_evhttp_request(evhttp_request* request, void* server) {
  const std::string method = method_of(request);
  const std::string path = path_of(request);
  const std::string body = take_body(request);
  const auto pending = std::make_shared<PendingReply>(request);
  static_cast<HttpServer*>(server)->on_request_(
      method, path, body,
      [pending](int status, const std::string& text) { pending->send(status, text); });
}

}  // namespace eiderreel::net
