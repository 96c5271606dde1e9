// HTTP client for one address, over libevent.
#pragma once
#include <functional>
#include <list>
#include <vector>

#include "net/address.h"
#include "net/libevent_handles.h"
#include "runtime/runtime.h"

namespace eiderreel::net {

/// HTTP client for one address, with a pool of keep-alive connections. A connection carries one
/// request at a time; concurrent requests open further connections. A connection that failed or
/// timed out is never reused, so a late reply cannot be mistaken for the reply to a later request.
class HttpClient {
 public:
  using OnReply = std::function<void(HttpReply)>;

  /// `base` must outlive the client.
  HttpClient(event_base* base, Address address);
  /// Aborts the open requests without calling their callbacks.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;
  HttpClient(HttpClient&&) = delete;
  HttpClient& operator=(HttpClient&&) = delete;

  /// Sends a request and passes the reply to `on_reply`. The reply has status 0 if the connection
  /// failed or no reply arrived within the request's timeout.
  void send(const HttpRequest& request, OnReply on_reply);

 private:
  struct Call;

  static void on_request_done(evhttp_request* request, void* call);
  static void on_free_failed(evutil_socket_t socket, short events, void* client);
  EvhttpConnectionPtr take_connection();
  void free_after_callback(EvhttpConnectionPtr connection);

  event_base* base_;
  Address address_;
  std::vector<EvhttpConnectionPtr> idle_connections_;
  std::vector<EvhttpConnectionPtr> failed_connections_;  // waiting to be freed by on_free_failed
  EventPtr free_failed_event_;
  std::list<Call> open_calls_;  // requests without a reply yet
};

}  // namespace eiderreel::net
