// Implementation of Runtime over libevent.
#pragma once
#include <functional>
#include <list>
#include <memory>
#include <random>
#include <string>
#include <tl/expected.hpp>

#include "config/settings.h"
#include "net/http_client_pool.h"
#include "net/http_server.h"
#include "net/libevent_handles.h"
#include "net/listen_error.h"
#include "net/peer_links.h"
#include "runtime/runtime.h"

namespace eiderreel::net {

/// The Runtime of a controller process: system clocks, timers and the network. All callbacks run in
/// the thread that calls run().
class EventLoop : public Runtime {
 public:
  /// `settings` must outlive the loop.
  explicit EventLoop(const Settings& settings);
  ~EventLoop() override;
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  EventLoop(EventLoop&&) = delete;
  EventLoop& operator=(EventLoop&&) = delete;

  /// Listens for HTTP requests on api_addr and for peers on mesh_addr, and starts connecting to the
  /// peers.
  tl::expected<void, ListenError> listen(HttpServer::OnRequest on_request,
                                         PeerLinks::OnFrame on_frame);
  /// Calls `callback` every `period` until the loop is destroyed.
  void call_every(Ms period, std::function<void()> callback);
  /// Dispatches events until the process ends.
  void run();

  Ms now() const override;
  Ms wall_clock_now() const override;
  double random() override;
  std::string boot_id() const override { return boot_id_; }
  void after(Ms delay, std::function<void()> callback) override;
  void http(HttpRequest request, std::function<void(HttpReply)> done) override;
  void send(const std::string& node, const std::string& bytes) override;

 private:
  struct OneShotTimer;
  struct PeriodicTimer {
    std::function<void()> callback;
    EventPtr event;
  };

  static void on_one_shot(evutil_socket_t socket, short events, void* timer);
  static void on_periodic(evutil_socket_t socket, short events, void* timer);

  const Settings& settings_;
  std::string boot_id_;
  std::mt19937_64 random_engine_;
  // The members below hold events of this base, so it is declared before them and freed last.
  EventBasePtr base_;
  HttpClientPool clients_;
  std::unique_ptr<PeerLinks> peer_links_;
  std::unique_ptr<HttpServer> http_server_;
  std::list<OneShotTimer> one_shot_timers_;
  std::list<PeriodicTimer> periodic_timers_;
};

}  // namespace eiderreel::net
