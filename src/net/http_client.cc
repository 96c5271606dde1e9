#include "net/http_client.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/util.h>

#include <algorithm>

namespace eiderreel::net {

timeval to_timeval(Ms ms) {
  return {static_cast<time_t>(ms / 1000), static_cast<suseconds_t>((ms % 1000) * 1000)};
}

std::string take_body(evhttp_request* req) {
  evbuffer* in = evhttp_request_get_input_buffer(req);
  std::string body(evbuffer_get_length(in), '\0');
  evbuffer_remove(in, body.data(), body.size());
  return body;
}

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

struct HttpClient::Call {
  HttpClient* client;
  evhttp_connection* conn;
  std::function<void(HttpReply)> done;
  bool once;
};

namespace {

// Where it could not connect or timed out, libevent does not free a connection "on
// completion"; each such request left its connection behind for ever.
void free_connection_soon(event_base* base, evhttp_connection* connection) {
  const timeval now{};
  event_base_once(
      base, -1, EV_TIMEOUT,
      [](evutil_socket_t, short, void* arg) {
        evhttp_connection_free(static_cast<evhttp_connection*>(arg));
      },
      connection, &now);
}

}  // namespace

// What is open ends without an answer, and nobody is told.
HttpClient::~HttpClient() {
  for (auto* c : idle_) evhttp_connection_free(c);
  for (Call* call : open_) {
    evhttp_connection_free(call->conn);
    delete call;
  }
}

void HttpClient::on_done(evhttp_request* req, void* arg) {
  std::unique_ptr<Call> call(static_cast<Call*>(arg));
  call->client->open_.erase(call.get());
  HttpReply reply;
  if (req && evhttp_request_get_response_code(req) != 0) {
    reply.status = evhttp_request_get_response_code(req);
    reply.body = take_body(req);
    if (call->once)
      evhttp_connection_free_on_completion(call->conn);
    else
      call->client->idle_.push_back(call->conn);
  } else {
    free_connection_soon(call->client->base_, call->conn);
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
  open_.insert(call);
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

}  // namespace eiderreel::net
