// libevent under the actors: the loop, with the HTTP server, the clients and the peer links.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "config/settings.h"
#include "net/http_client.h"
#include "runtime/runtime.h"

struct evhttp;
struct evhttp_request;
struct evconnlistener;
struct bufferevent;

namespace eiderreel::net {

class PeerLinks;

class Loop : public Runtime {
 public:
  using OnRequest = std::function<void(const std::string& method, const std::string& path,
                                       const std::string& body, Reply reply)>;
  using OnFrame = std::function<void(const std::string&)>;

  explicit Loop(const Settings& settings);
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

  const Settings& settings_;
  Base base_;
  evhttp* server_ = nullptr;
  OnRequest on_request_;
  std::map<std::string, std::unique_ptr<HttpClient>> clients_;
  std::unique_ptr<PeerLinks> peer_links_;
  std::vector<std::pair<event*, std::unique_ptr<std::function<void()>>>> periodic_;
  std::string boot_id_;
};

}  // namespace eiderreel::net
