// What a simulated controller has for a runtime: simulated time, the simulated network, and its log
// lines in the trace.
#pragma once
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <string>

#include "standin/old_build.h"
#include "standin/simulated_cluster.h"

namespace eiderreel::standin {

// Log lines of the nodes become lines of the trace.
class TraceSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  SimulatedCluster* cluster = nullptr;
  std::string node;

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    if (cluster)
      cluster->note(node + " " + std::string(message.payload.data(), message.payload.size()));
  }
  void flush_() override {}
};

// The one sink of the process; it follows the cluster that was made last.
std::shared_ptr<TraceSink> trace_sink();

// One process's view of the simulated cluster; it dies with the process, and what is late finds it
// gone.
class SimulatedCluster::ControllerRuntime : public Runtime {
 public:
  ControllerRuntime(SimulatedCluster& cluster, std::size_t index, std::uint64_t life)
      : cluster_(cluster),
        index_(index),
        life_(life),
        random_(cluster.options_.seed * 1000 + life * 10 + index) {}

  // Each steady clock runs a little fast, each at its own rate.
  Ms now() const override {
    return static_cast<Ms>(static_cast<double>(cluster_.now_) *
                           (1 + 0.0002 * static_cast<double>(index_)));
  }
  Ms wall_clock_now() const override { return cluster_.now_ + 1000000; }
  double random() override { return std::uniform_real_distribution<double>(0, 1)(random_); }
  std::string boot_id() const override { return "b" + std::to_string(life_); }
  void after(Ms delay, std::function<void()> callback) override {
    cluster_.schedule(cluster_.now_ + std::max<Ms>(delay, 1), guarded(std::move(callback)));
  }
  void http(HttpRequest request, std::function<void(HttpReply)> done) override {
    const bool old = cluster_.controllers_[index_].old;
    if (old) request.body = as_old_build_writes(request.body);
    cluster_.call(name(), std::move(request),
                  [this, old, alive = alive_, done = std::move(done)](HttpReply reply) {
                    if (!*alive) return;
                    if (old) reply.body = as_old_build_reads(reply.body);
                    cluster_.when_awake(index_, [this, alive, done, reply] {
                      if (!*alive) return;
                      trace_sink()->node = name();
                      done(reply);
                    });
                  });
  }
  void send(const std::string& node, const std::string& sent) override {
    SimulatedCluster* cluster = &cluster_;
    const std::string bytes = cluster_.controllers_[index_].old ? as_old_build_sends(sent) : sent;
    cluster_.deliver(
        name(), node,
        [cluster, node, bytes] {
          for (std::size_t i = 0; i < cluster->controllers_.size(); ++i)
            if (cluster->controllers_[i].name == node)
              cluster->when_awake(i, [cluster, i, bytes] {
                ControllerProcess& process = cluster->controllers_[i];
                if (!process.up) return;
                trace_sink()->node = process.name;
                process.node->receive_peer_message(bytes);
              });
        },
        [] {});
  }
  const std::string& name() const { return cluster_.controllers_[index_].name; }
  std::function<void()> guarded(std::function<void()> callback) {
    return [this, alive = alive_, callback = std::move(callback)] {
      if (!*alive) return;
      cluster_.when_awake(index_, [this, alive, callback] {
        if (!*alive) return;
        trace_sink()->node = name();
        callback();
      });
    };
  }
  void die() { *alive_ = false; }

 private:
  SimulatedCluster& cluster_;
  std::size_t index_;
  std::uint64_t life_;
  std::mt19937_64 random_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace eiderreel::standin
