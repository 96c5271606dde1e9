// libevent under the actors: the loop, the HTTP server and clients, and the mesh links.
#pragma once
#include <event2/event.h>
#include <netinet/in.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "actors/runtime.h"
#include "actors/settings.h"

struct evhttp;
struct evhttp_connection;
struct evhttp_request;
struct evconnlistener;
struct bufferevent;

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
};

class Mesh;

class Loop : public Runtime {
 public:
  using OnRequest = std::function<void(const std::string& method, const std::string& path,
                                       const std::string& body, Reply reply)>;
  using OnFrame = std::function<void(const std::string&)>;

  explicit Loop(const Settings& s);
  ~Loop() override;
  // False when an address cannot be bound; `error` says which.
  bool listen(OnRequest on_request, OnFrame on_frame, std::string& error);
  void every(Ms period, std::function<void()> f);
  void run();

  Ms now() const override;
  Ms wall() const override;
  double random() override;
  std::string boot_id() const override { return boot_id_; }
  void after(Ms delay, std::function<void()> f) override;
  void http(HttpRequest r, std::function<void(HttpReply)> done) override;
  void send(const std::string& node, const std::string& bytes) override;

 private:
  static void on_http(evhttp_request* req, void* arg);

  const Settings& s_;
  Base base_;
  evhttp* server_ = nullptr;
  OnRequest on_request_;
  std::map<std::string, std::unique_ptr<HttpClient>> clients_;
  std::unique_ptr<Mesh> mesh_;
  std::vector<std::pair<event*, std::unique_ptr<std::function<void()>>>> periodic_;
  std::string boot_id_;
};

}  // namespace eiderreel::net
