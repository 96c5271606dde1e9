// HTTP servers on loopback that stand in for the state store, the cloud and the workers.
#pragma once
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "net/http_reply.h"
#include "runtime/runtime.h"

struct event_base;
struct evhttp;

namespace eiderreel::standin {

class StandInServer {
 public:
  // The `path` of the request includes the query string.
  using Handler = std::function<void(const HttpRequest& request, std::function<void(HttpReply)>)>;
  StandInServer(event_base* base, Handler handler);
  ~StandInServer();
  StandInServer(const StandInServer&) = delete;
  StandInServer& operator=(const StandInServer&) = delete;

  const std::string& address() const { return address_; }  // 127.0.0.1 and a free port

 private:
  static void on_request(evhttp_request* request, void* self);

  evhttp* server_;
  Handler handler_;
  // Requests without a reply yet. A request whose reply is lost must stay open: closing it with a
  // 503 would state that it was not executed.
  std::set<std::shared_ptr<net::PendingReply>> pending_replies_;
  std::string address_;
};

// Returns a loopback port that was free when probed, a different one on each call.
int free_port();

}  // namespace eiderreel::standin
