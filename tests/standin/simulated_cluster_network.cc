// The network between controllers, services, machines and users, and its partitions.
#include <rapidjson/document.h>

#include "standin/controller_runtime.h"
#include "standin/simulated_cluster.h"

namespace eiderreel::standin {

using rapidjson::Document;

Ms SimulatedCluster::latency() {
  return 1 + static_cast<Ms>(random_() % static_cast<std::uint64_t>(options_.latency_ms));
}

const CutMode* SimulatedCluster::cut_between(const std::string& a, const std::string& b) const {
  auto contains = [](const std::set<std::string>& names, const std::string& name) {
    return names.count("*") > 0 || names.count(name) > 0;
  };
  for (const auto& cut : cuts_)
    if ((contains(cut.a, a) && contains(cut.b, b)) || (contains(cut.a, b) && contains(cut.b, a)))
      return &cut.mode;
  return nullptr;
}

void SimulatedCluster::deliver(const std::string& from, const std::string& to,
                               std::function<void()> callback, std::function<void()> reset) {
  if (deaf_.count(to) > 0) return;
  const CutMode* cut = cut_between(from, to);
  if (!cut) return schedule(now_ + latency(), std::move(callback));
  if (*cut == CutMode::hold) return held_.push_back({from, to, std::move(callback)});
  schedule(now_ + 1, std::move(reset));
}

void SimulatedCluster::cut(std::set<std::string> a, std::set<std::string> b, CutMode mode) {
  note("world cut");
  cuts_.push_back({std::move(a), std::move(b), mode});
}

// What was held now arrives, in order, however late.
void SimulatedCluster::heal() {
  note("world healed");
  cuts_.clear();
  auto held = std::move(held_);
  held_.clear();
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
  if (mute_.count(from) > 0) return;
  auto reset = [finish] { finish({}); };
  deliver(
      from, to,
      [this, from, to, request, finish, reset] {
        Done back = [this, from, to, finish, reset](HttpReply reply) {
          deliver(
              to, from, [finish, reply] { finish(reply); }, reset);
        };
        arrive(from, to, request, std::move(back));
      },
      reset);
}

void SimulatedCluster::arrive(const std::string& from, const std::string& to,
                              const HttpRequest& request, Done back) {
  if (to == "state") return state_store_.serve(from, request, std::move(back));
  if (to == "cloud") return serve_cloud(request, std::move(back));
  for (std::size_t i = 0; i < controllers_.size(); ++i)
    if (controllers_[i].name == to) return arrive_at_node(i, from, request, std::move(back));
  for (auto& [id, worker] : workers_)
    if (worker->addr == to) {
      if (request.path == "/commands" && late_commands_.share > 0 &&
          chance() < late_commands_.share)
        return hold_command(*worker, request);
      return serve_worker(*worker, request, std::move(back));
    }
}

void SimulatedCluster::arrive_at_node(std::size_t i, const std::string& from,
                                      const HttpRequest& request, Done back) {
  if (options_.processes) return options_.processes(static_cast<int>(i), request, std::move(back));
  when_awake(i, [this, i, from, request, back] {
    ControllerProcess& process = controllers_[i];
    if (!process.up) return back({});
    trace_sink()->node = process.name;
    process.node->serve_request(request.method, request.path,
                                process.old ? as_old_build_reads(request.body) : request.body,
                                [this, i, from, request, back](int status, std::string body) {
                                  for (auto at = body.find("\"launch\""); at != std::string::npos;
                                       at = body.find("\"launch\"", at + 1))
                                    ++launches_[from];
                                  if (request.path == "/v1/report" && status == 200) {
                                    ++heartbeats_accepted_[static_cast<int>(i)];
                                    check_may_act(*controllers_[i].node, request.body);
                                  }
                                  back({status, body});
                                });
  });
}

// Held up on its way: it is carried out once, late, and nobody hears of it.
void SimulatedCluster::hold_command(Worker& worker, const HttpRequest& request) {
  ++commands_late_;
  schedule(now_ + late_commands_.delay(chance()),
           [this, &worker, request] { serve_worker(worker, request, [](HttpReply) {}); });
}

// Invariant 6: a heartbeat is answered with 200 only by a leader whose lease is alive, or who has
// the votes of all peers.
void SimulatedCluster::check_may_act(const Controller& node, const std::string& heartbeat) {
  Document document;
  document.Parse(heartbeat.c_str());
  const std::string machine = document["host"].GetString();
  for (const auto& [partition, core] : node.partition_leader().partitions())
    if (core->has_machine(machine) && !node.partition_leader().is_acting_leader(partition))
      checker_.answered_without_lease(now(), node.settings().node + " answers " + machine);
}

}  // namespace eiderreel::standin
