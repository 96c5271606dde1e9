// The network between controllers, services, machines and users, and network partitions.
#include <rapidjson/document.h>

#include "standin/controller_runtime.h"
#include "standin/simulated_cluster.h"

namespace eiderreel::standin {

using rapidjson::Document;

Ms SimulatedCluster::latency() {
  return 1 + static_cast<Ms>(random_() % static_cast<std::uint64_t>(options_.max_latency_ms));
}

const NetworkPartitionMode* SimulatedCluster::partition_mode_between(const std::string& a,
                                                                     const std::string& b) const {
  auto contains = [](const std::set<std::string>& names, const std::string& name) {
    return names.count("*") > 0 || names.count(name) > 0;
  };
  for (const auto& partition : network_partitions_)
    if ((contains(partition.a, a) && contains(partition.b, b)) ||
        (contains(partition.a, b) && contains(partition.b, a)))
      return &partition.mode;
  return nullptr;
}

void SimulatedCluster::deliver(const std::string& from, const std::string& to,
                               std::function<void()> callback, std::function<void()> reset) {
  if (inbound_blocked_.count(to) > 0) return;
  const NetworkPartitionMode* mode = partition_mode_between(from, to);
  if (!mode) return schedule(now_ + latency(), std::move(callback));
  if (*mode == NetworkPartitionMode::hold)
    return held_messages_.push_back({from, to, std::move(callback)});
  schedule(now_ + 1, std::move(reset));
}

void SimulatedCluster::partition_network(std::set<std::string> a, std::set<std::string> b,
                                         NetworkPartitionMode mode) {
  append_trace("world cut");
  network_partitions_.push_back({std::move(a), std::move(b), mode});
}

// Schedules the held messages for delivery, each after a new random latency.
void SimulatedCluster::heal_network() {
  append_trace("world healed");
  network_partitions_.clear();
  auto held = std::move(held_messages_);
  held_messages_.clear();
  for (auto& message : held) schedule(now_ + latency(), std::move(message.deliver));
}

void SimulatedCluster::call(const std::string& from, HttpRequest request, Done done) {
  auto finished = std::make_shared<bool>(false);
  auto finish = [finished, done = std::move(done)](HttpReply reply) {
    if (*finished) return;
    *finished = true;
    done(std::move(reply));
  };
  schedule(now_ + request.timeout, [finish] { finish({}); });
  const std::string to = request.addr;
  if (outbound_requests_blocked_.count(from) > 0) return;
  auto reset = [finish] { finish({}); };
  deliver(
      from, to,
      [this, from, to, request, finish, reset] {
        Done reply_to_sender = [this, from, to, finish, reset](HttpReply reply) {
          deliver(
              to, from, [finish, reply] { finish(reply); }, reset);
        };
        handle_request(from, to, request, std::move(reply_to_sender));
      },
      reset);
}

void SimulatedCluster::handle_request(const std::string& from, const std::string& to,
                                      const HttpRequest& request, Done reply_to_sender) {
  if (to == "state") return state_store_.serve(from, request, std::move(reply_to_sender));
  if (to == "cloud") return serve_cloud(request, std::move(reply_to_sender));
  for (std::size_t i = 0; i < controllers_.size(); ++i)
    if (controllers_[i].name == to)
      return handle_node_request(i, from, request, std::move(reply_to_sender));
  for (auto& [id, worker] : workers_)
    if (worker->addr == to) {
      if (request.path == "/commands" && command_delays_.fraction > 0 &&
          chance() < command_delays_.fraction)
        return delay_command(*worker, request);
      return serve_worker(*worker, request, std::move(reply_to_sender));
    }
}

void SimulatedCluster::handle_node_request(std::size_t i, const std::string& from,
                                           const HttpRequest& request, Done reply_to_sender) {
  if (options_.process_request)
    return options_.process_request(static_cast<int>(i), request, std::move(reply_to_sender));
  run_when_unfrozen(i, [this, i, from, request, reply_to_sender] {
    ControllerProcess& process = controllers_[i];
    if (!process.up) return reply_to_sender({});
    trace_sink()->node = process.name;
    process.node->serve_request(
        request.method, request.path,
        process.old_build ? as_old_build_reads(request.body) : request.body,
        [this, i, from, request, reply_to_sender](int status, std::string body) {
          for (auto at = body.find("\"launch\""); at != std::string::npos;
               at = body.find("\"launch\"", at + 1))
            ++launch_commands_[from];
          if (request.path == "/v1/report" && status == 200) {
            ++heartbeats_accepted_[static_cast<int>(i)];
            check_lease_of_responder(*controllers_[i].node, request.body);
          }
          reply_to_sender({status, body});
        });
  });
}

// Delivers the command once, after a delay, and drops its reply.
void SimulatedCluster::delay_command(Worker& worker, const HttpRequest& request) {
  ++delayed_commands_;
  schedule(now_ + command_delays_.delay_ms(chance()),
           [this, &worker, request] { serve_worker(worker, request, [](HttpReply) {}); });
}

// Invariant 6: a heartbeat is answered with 200 only by a leader that has a valid lease or the
// votes of all peers.
void SimulatedCluster::check_lease_of_responder(const Controller& node,
                                                const std::string& heartbeat) {
  Document document;
  document.Parse(heartbeat.c_str());
  const std::string machine = document["host"].GetString();
  for (const auto& [partition, core] : node.partition_leader().partitions())
    if (core->has_machine(machine) && !node.partition_leader().is_acting_leader(partition))
      checker_.on_reply_without_lease(now(), node.settings().node + " answers " + machine);
}

}  // namespace eiderreel::standin
