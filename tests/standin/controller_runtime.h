// The `Runtime` of a simulated controller: simulated clocks, the simulated network, and a log sink
// that writes into the trace.
#pragma once
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <string>

#include "standin/old_build.h"
#include "standin/simulated_cluster.h"

namespace eiderreel::standin {

// Appends the log lines of the nodes to the trace of the cluster.
class TraceSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  SimulatedCluster* cluster = nullptr;
  std::string node;

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override {
    if (cluster)
      cluster->append_trace(node + " " +
                            std::string(message.payload.data(), message.payload.size()));
  }
  void flush_() override {}
};

// The only sink of the process. It writes to the cluster that was constructed last.
std::shared_ptr<TraceSink> trace_sink();

// The runtime of one run of a controller process. After `stop()`, callbacks and replies that are
// still pending are dropped.
class SimulatedCluster::ControllerRuntime : public Runtime {
 public:
  ControllerRuntime(SimulatedCluster& cluster, std::size_t index, std::uint64_t boot_number)
      : cluster_(cluster),
        index_(index),
        boot_number_(boot_number),
        random_(cluster.options_.seed * 1000 + boot_number * 10 + index) {}

  // The steady clocks drift: the clock of node i runs fast by 0.0002 * i.
  Ms now() const override {
    return static_cast<Ms>(static_cast<double>(cluster_.now_) *
                           (1 + 0.0002 * static_cast<double>(index_)));
  }
  Ms wall_clock_now() const override { return cluster_.now_ + 1000000; }
  double random() override { return std::uniform_real_distribution<double>(0, 1)(random_); }
  std::string boot_id() const override { return "b" + std::to_string(boot_number_); }
  void after(Ms delay, std::function<void()> callback) override {
    cluster_.schedule(cluster_.now_ + std::max<Ms>(delay, 1), while_alive(std::move(callback)));
  }
  void http(HttpRequest request, std::function<void(HttpReply)> done) override {
    const bool old_build = cluster_.controllers_[index_].old_build;
    if (old_build) request.body = as_old_build_writes(request.body);
    cluster_.call(name(), std::move(request),
                  [this, old_build, alive = alive_, done = std::move(done)](HttpReply reply) {
                    if (!*alive) return;
                    if (old_build) reply.body = as_old_build_reads(reply.body);
                    cluster_.run_when_unfrozen(index_, [this, alive, done, reply] {
                      if (!*alive) return;
                      trace_sink()->node = name();
                      done(reply);
                    });
                  });
  }
  void send(const std::string& node, const std::string& sent) override {
    SimulatedCluster* cluster = &cluster_;
    const std::string bytes =
        cluster_.controllers_[index_].old_build ? as_old_build_sends(sent) : sent;
    cluster_.deliver(
        name(), node,
        [cluster, node, bytes] {
          for (std::size_t i = 0; i < cluster->controllers_.size(); ++i)
            if (cluster->controllers_[i].name == node)
              cluster->run_when_unfrozen(i, [cluster, i, bytes] {
                ControllerProcess& process = cluster->controllers_[i];
                if (!process.up) return;
                trace_sink()->node = process.name;
                process.node->receive_peer_message(bytes);
              });
        },
        [] {});
  }
  const std::string& name() const { return cluster_.controllers_[index_].name; }
  std::function<void()> while_alive(std::function<void()> callback) {
    return [this, alive = alive_, callback = std::move(callback)] {
      if (!*alive) return;
      cluster_.run_when_unfrozen(index_, [this, alive, callback] {
        if (!*alive) return;
        trace_sink()->node = name();
        callback();
      });
    };
  }
  void stop() { *alive_ = false; }

 private:
  SimulatedCluster& cluster_;
  std::size_t index_;
  std::uint64_t boot_number_;
  std::mt19937_64 random_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace eiderreel::standin
