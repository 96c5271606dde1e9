// HTTP servers on loopback for what controllers deal with: state store, cloud and workers.
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
  // `path` with its query part.
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
  // Requests that have no answer yet. One that gets none must hang, as where an answer is
  // lost; a 503 would say that nothing was done.
  std::set<std::shared_ptr<net::PendingReply>> open_;
  std::string address_;
};

// A port of loopback that was free a moment ago, another one each time.
int free_port();

}  // namespace eiderreel::standin
