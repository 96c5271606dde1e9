// HTTP requests to one address over libevent.
#pragma once
#include <functional>
#include <list>
#include <vector>

#include "net/address.h"
#include "net/libevent_handles.h"
#include "runtime/runtime.h"

namespace eiderreel::net {

/// Client of one address. Opens as many connections as there are requests at the same time, each
/// with one request at a time, and keeps them for later requests. A connection that failed or timed
/// out is never used again, so that a late answer cannot be taken for that of a later request.
class HttpClient {
 public:
  using OnReply = std::function<void(HttpReply)>;

  /// `base` must outlive the client.
  HttpClient(event_base* base, Address address);
  /// Requests still open end here; their callbacks are not called.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  HttpClient(HttpClient&&) = delete;
  HttpClient& operator=(HttpClient&&) = delete;

  /// Sends a request. `on_reply` gets the answer, or status 0 if none came within the request's
  /// timeout or the connection failed.
  void send(const HttpRequest& request, OnReply on_reply);

 private:
  struct Call;

  static void on_done(evhttp_request* request, void* call);
  static void on_free_failed(evutil_socket_t socket, short events, void* client);
  EvhttpConnectionPtr take_connection();
  void free_soon(EvhttpConnectionPtr connection);

  event_base* base_;
  Address address_;
  std::vector<EvhttpConnectionPtr> idle_;
  std::vector<EvhttpConnectionPtr> failed_;  // freed by free_failed_
  EventPtr free_failed_;
  std::list<Call> open_;  // requests without an answer yet
};

}  // namespace eiderreel::net
