// The answer to an HTTP request that this process was sent: it may come later.
#pragma once
#include <string>

struct evhttp_connection;
struct evhttp_request;

namespace eiderreel::net {

// A request whose answer may come later, or never be wanted: its connection may close first.
class PendingReply {
 public:
  explicit PendingReply(evhttp_request* r);
  ~PendingReply();
  PendingReply(const PendingReply&) = delete;
  PendingReply& operator=(const PendingReply&) = delete;

  void send(int status, const std::string& body);

 private:
  static void on_close(evhttp_connection*, void* arg);

  evhttp_request* req_;
  bool finished_ = false;
};

}  // namespace eiderreel::net
