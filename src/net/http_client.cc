// HTTP client for one address, over libevent.
#include "net/http_client.h"

#include <utility>

#include "runtime/http_status.h"

namespace eiderreel::net {
namespace {

evhttp_cmd_type command_of(const std::string& method) {
  if (method == "GET") return EVHTTP_REQ_GET;
  if (method == "POST") return EVHTTP_REQ_POST;
  return EVHTTP_REQ_DELETE;
}

void write_request(evhttp_request* target, const Address& address, const HttpRequest& request) {
  evkeyvalq* headers = evhttp_request_get_output_headers(target);
  const std::string host = address.host + ":" + std::to_string(address.port);
  evhttp_add_header(headers, "Host", host.c_str());
  if (request.close_connection) evhttp_add_header(headers, "Connection", "close");
  if (request.body.empty()) return;
  evhttp_add_header(headers, "Content-Type", "application/json");
  evbuffer_add(evhttp_request_get_output_buffer(target), request.body.data(), request.body.size());
}

}  // namespace

// A request without a reply yet; stays in `open_calls_` until libevent passes it to
// on_request_done.
struct HttpClient::Call {
  HttpClient* client;
  bool close_after_reply;
  OnReply on_reply;
  EvhttpConnectionPtr connection;
  std::list<Call>::iterator position;
};

HttpClient::HttpClient(event_base* base, Address address)
    : base_(base),
      address_(std::move(address)),
      free_failed_event_(event_new(base, -1, EV_TIMEOUT, &HttpClient::on_free_failed, this)) {}

HttpClient::~HttpClient() = default;

EvhttpConnectionPtr HttpClient::take_connection() {
  if (idle_connections_.empty())
    return EvhttpConnectionPtr(
        evhttp_connection_base_new(base_, nullptr, address_.host.c_str(), address_.port));
  EvhttpConnectionPtr connection = std::move(idle_connections_.back());
  idle_connections_.pop_back();
  return connection;
}

// Frees the connection from the event loop rather than from on_request_done: libevent still uses
// the connection during that callback, and evhttp_connection_free_on_completion has no effect on a
// connection that failed to connect or timed out.
void HttpClient::free_after_callback(EvhttpConnectionPtr connection) {
  failed_connections_.push_back(std::move(connection));
  event_active(free_failed_event_.get(), EV_TIMEOUT, 1);
}

void HttpClient::on_free_failed(evutil_socket_t /*socket*/, short /*events*/, void* client) {
  static_cast<HttpClient*>(client)->failed_connections_.clear();
}

void HttpClient::on_request_done(evhttp_request* request, void* call) {
  const auto position = static_cast<Call*>(call)->position;
  Call finished_call = std::move(*position);
  HttpClient& client = *finished_call.client;
  client.open_calls_.erase(position);
  HttpReply reply;
  // If the connection failed or timed out, the request is null or its status is 0.
  if (request && evhttp_request_get_response_code(request) != http_status::kNoAnswer) {
    reply.status = evhttp_request_get_response_code(request);
    reply.body = take_body(request);
    if (finished_call.close_after_reply)
      evhttp_connection_free_on_completion(finished_call.connection.release());
    else
      client.idle_connections_.push_back(std::move(finished_call.connection));
  } else {
    client.free_after_callback(std::move(finished_call.connection));
  }
  finished_call.on_reply(std::move(reply));
}

void HttpClient::send(const HttpRequest& request, OnReply on_reply) {
  Call& call = open_calls_.emplace_back(Call{this, request.close_connection, std::move(on_reply),
                                             take_connection(), open_calls_.end()});
  call.position = std::prev(open_calls_.end());
  evhttp_connection* connection = call.connection.get();
  const timeval timeout = to_timeval(request.timeout);
  evhttp_connection_set_timeout_tv(connection, &timeout);
  evhttp_request* target = evhttp_request_new(&HttpClient::on_request_done, &call);
  write_request(target, address_, request);
  // evhttp_make_request takes ownership of `target`. Its result needs no check: on failure libevent
  // has called on_request_done or freed the request.
  evhttp_make_request(connection, target, command_of(request.method), request.path.c_str());
}

}  // namespace eiderreel::net
