// HTTP server for requests of users, workers and operators.
#pragma once
#include <functional>
#include <string>
#include <tl/expected.hpp>

#include "config/settings.h"
#include "net/libevent_handles.h"
#include "net/listen_error.h"
#include "runtime/runtime.h"

namespace eiderreel::net {

/// Serves HTTP on the controller's api_addr.
class HttpServer {
 public:
  /// Handles one request. `method` is GET, POST or OTHER, and `path` has no query part. `reply` may
  /// be called after the handler has returned.
  using OnRequest = std::function<void(const std::string& method, const std::string& path,
                                       const std::string& body, Reply reply)>;

  /// `base` must outlive the server.
  HttpServer(event_base* base, OnRequest on_request);

  /// Starts accepting connections on `settings.api_addr`.
  tl::expected<void, ListenError> listen(const Settings& settings);

 private:
  static void on_evhttp_request(evhttp_request* request, void* server);

  event_base* base_;
  OnRequest on_request_;
  EvhttpPtr server_;
};

}  // namespace eiderreel::net
