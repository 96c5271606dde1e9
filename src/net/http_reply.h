// The answer to a request that an HTTP server of ours received.
#pragma once
#include <string>

#include "net/libevent_handles.h"

namespace eiderreel::net {

/// A received request that waits for its answer. The answer may be sent after the request's handler
/// has returned. If the user's connection closes first, the answer is dropped. A request that is
/// destroyed without an answer is answered with 503.
class PendingReply {
 public:
  /// Takes the request over from libevent.
  explicit PendingReply(evhttp_request* request);
  ~PendingReply();
  PendingReply(const PendingReply&) = delete;
  PendingReply& operator=(const PendingReply&) = delete;
  PendingReply(PendingReply&&) = delete;
  PendingReply& operator=(PendingReply&&) = delete;

  /// Sends the answer. Only the first call has an effect.
  void send(int status, const std::string& body);

 private:
  static void on_close(evhttp_connection* connection, void* reply);

  EvhttpRequestPtr request_;        // null once it is answered
  bool connection_closed_ = false;  // nobody waits for the answer any more
};

}  // namespace eiderreel::net
