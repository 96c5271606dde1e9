// Deferred replies to requests that an HTTP server has received.
#pragma once
#include <string>

#include "net/libevent_handles.h"

namespace eiderreel::net {

/// A received request that has no reply yet. The reply may be sent after the request handler has
/// returned; it is dropped if the client has closed the connection. If no reply was sent, the
/// destructor replies with 503.
class PendingReply {
 public:
  /// Takes ownership of the request from libevent.
  explicit PendingReply(evhttp_request* request);
  ~PendingReply();
  PendingReply(const PendingReply&) = delete;
  PendingReply& operator=(const PendingReply&) = delete;
  PendingReply(PendingReply&&) = delete;
  PendingReply& operator=(PendingReply&&) = delete;

  /// Sends the reply. Only the first call has an effect.
  void send(int status, const std::string& body);

 private:
  static void on_close(evhttp_connection* connection, void* reply);

  EvhttpRequestPtr request_;        // null once the reply has been sent
  bool connection_closed_ = false;  // by the client; the reply is dropped
};

}  // namespace eiderreel::net
