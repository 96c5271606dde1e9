// Implementation of Runtime over libevent.
#include "net/event_loop.h"

#include <fmt/format.h>

#include <ctime>
#include <utility>

namespace eiderreel::net {
namespace {

// Disables libevent's locks: only one thread uses the base.
EventBasePtr make_event_base() {
  const EventConfigPtr config(event_config_new());
  event_config_set_flag(config.get(), EVENT_BASE_FLAG_NOLOCK);
  return EventBasePtr(event_base_new_with_config(config.get()));
}

std::string make_boot_id() {
  std::random_device device;
  const unsigned high = device();
  const unsigned low = device();
  return fmt::format("{:08x}{:08x}", high, low);
}

Ms read_clock(clockid_t clock) {
  constexpr Ms kMsPerSecond = 1000;
  constexpr Ms kNsPerMs = 1'000'000;
  timespec time{};
  clock_gettime(clock, &time);
  return static_cast<Ms>(time.tv_sec) * kMsPerSecond + time.tv_nsec / kNsPerMs;
}

}  // namespace

// A timer that fires once; stays in `one_shot_timers_` until it fires.
struct EventLoop::OneShotTimer {
  EventLoop* loop;
  std::function<void()> callback;
  std::list<OneShotTimer>::iterator position;
};

EventLoop::EventLoop(const Settings& settings)
    : settings_(settings),
      boot_id_(make_boot_id()),
      random_engine_(std::random_device{}()),
      base_(make_event_base()),
      clients_(base_.get()) {}

EventLoop::~EventLoop() = default;

tl::expected<void, ListenError> EventLoop::listen(HttpServer::OnRequest on_request,
                                                  PeerLinks::OnFrame on_frame) {
  http_server_ = std::make_unique<HttpServer>(base_.get(), std::move(on_request));
  if (auto listening = http_server_->listen(settings_); !listening) return listening;
  peer_links_ = std::make_unique<PeerLinks>(base_.get(), settings_, std::move(on_frame));
  return peer_links_->listen();
}

void EventLoop::on_periodic(evutil_socket_t /*socket*/, short /*events*/, void* timer) {
  static_cast<PeriodicTimer*>(timer)->callback();
}

void EventLoop::call_every(Ms period, std::function<void()> callback) {
  PeriodicTimer& timer = periodic_timers_.emplace_back(PeriodicTimer{std::move(callback), nullptr});
  timer.event.reset(event_new(base_.get(), -1, EV_PERSIST, &EventLoop::on_periodic, &timer));
  const timeval interval = to_timeval(period);
  event_add(timer.event.get(), &interval);
}

void EventLoop::run() { event_base_dispatch(base_.get()); }

Ms EventLoop::now() const { return read_clock(CLOCK_MONOTONIC); }

Ms EventLoop::wall_clock_now() const { return read_clock(CLOCK_REALTIME); }

double EventLoop::random() { return std::uniform_real_distribution<double>(0, 1)(random_engine_); }

void EventLoop::on_one_shot(evutil_socket_t /*socket*/, short /*events*/, void* timer) {
  const auto position = static_cast<OneShotTimer*>(timer)->position;
  EventLoop& loop = *position->loop;
  // The callback may add timers to the list, so this timer is removed before it is called.
  const std::function<void()> callback = std::move(position->callback);
  loop.one_shot_timers_.erase(position);
  callback();
}

void EventLoop::after(Ms delay, std::function<void()> callback) {
  OneShotTimer& timer = one_shot_timers_.emplace_back(
      OneShotTimer{this, std::move(callback), one_shot_timers_.end()});
  timer.position = std::prev(one_shot_timers_.end());
  const timeval timeout = to_timeval(delay);
  event_base_once(base_.get(), -1, EV_TIMEOUT, &EventLoop::on_one_shot, &timer, &timeout);
}

void EventLoop::http(HttpRequest request, std::function<void(HttpReply)> done) {
  HttpClient* client = clients_.client_of(request.addr);
  if (!client) {  // a malformed address is reported like a missing answer: status 0
    after(0, [done = std::move(done)] { done({}); });
    return;
  }
  client->send(request, std::move(done));
}

void EventLoop::send(const std::string& node, const std::string& bytes) {
  peer_links_->send(node, bytes);
}

}  // namespace eiderreel::net
