// HTTP requests over libevent, and the addresses they go to.
#pragma once
#include <event2/event.h>
#include <netinet/in.h>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "runtime/runtime.h"

struct evhttp_connection;
struct evhttp_request;

namespace eiderreel::net {

struct BaseFree {
  void operator()(event_base* b) const { event_base_free(b); }
};
using Base = std::unique_ptr<event_base, BaseFree>;

// "10.0.0.1:8080" in two.
struct Address {
  std::string host;
  int port = 0;
};
bool parse_address(const std::string& text, Address& out);
sockaddr_in to_sockaddr(const std::string& text);

// Clients of one address: a few connections, each with one request at a time. A connection that
// failed or timed out is never used again, so a late answer cannot meet a later request.
class HttpClient {
 public:
  HttpClient(event_base* base, Address addr) : base_(base), addr_(std::move(addr)) {}
  ~HttpClient();
  void send(HttpRequest r, std::function<void(HttpReply)> done);

 private:
  struct Call;
  static void on_done(evhttp_request* req, void* arg);
  event_base* base_;
  Address addr_;
  std::vector<evhttp_connection*> idle_;
  std::set<Call*> open_;  // requests without an answer yet
};

timeval to_timeval(Ms ms);
// The body of a request, or of the answer to one.
std::string take_body(evhttp_request* req);

}  // namespace eiderreel::net
