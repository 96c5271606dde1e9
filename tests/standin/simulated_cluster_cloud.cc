// The cloud of the simulated cluster: machine catalog, rentals, returns and the machine list.
#include <rapidjson/document.h>

#include "standin/simulated_cluster.h"
#include "standin/text.h"

namespace eiderreel::standin {

using rapidjson::Document;

namespace {
constexpr std::size_t kMaxPageMachines = 500;  // in one reply
}

SimulatedCluster::Worker& SimulatedCluster::add_worker(const std::string& zone, bool spot,
                                                       double boot_s) {
  auto worker = std::make_unique<Worker>();
  char id[16];
  std::snprintf(id, sizeof id, "m-%06llu", static_cast<unsigned long long>(next_machine_++));
  worker->id = id;
  worker->addr = options_.worker_address ? options_.worker_address(id) : std::string("w-") + id;
  worker->zone = zone;
  worker->spot = spot;
  worker->rented_at_s = now();
  worker->boot_done_at_s = machines_stuck_booting_ ? 1e9 : now() + boot_s;
  worker->node = static_cast<int>(next_machine_ % static_cast<std::uint64_t>(options_.nodes));
  return *(workers_[id] = std::move(worker));
}

void SimulatedCluster::serve_cloud(const HttpRequest& request, Done done) {
  if (cloud_outage_) return done({503, error_text("trouble")});
  if (request.path == "/catalog")
    return done({200,
                 "{\"hulls\":[{\"name\":\"box\",\"cores\":8.0,\"accelerators\":0,\"mem_gb\":64.0,"
                 "\"cache_gb\":50.0,\"fetch_gb_per_s\":1.0,\"price\":1.0,\"market_price\":0.4,"
                 "\"ready_s\":6.0,\"berths\":[\"a\",\"b\"]}]}"});
  if (request.path == "/machines") {
    Document document;
    document.Parse(request.body.c_str());
    const std::string request_id = document["charter"].GetString();
    const std::string zone = document["berth"].GetString();
    const bool spot = document["driftwood"].GetBool();
    auto answered = rented_machines_.find(request_id);
    if (answered == rented_machines_.end()) {
      rental_request_ids_.insert(request_id);
      int machines_in_zone = 0;
      for (const auto& [id, worker] : workers_)
        if (worker->zone == zone && worker->spot == spot && !worker->removed) ++machines_in_zone;
      const int base = spot ? 0 : (options_.initial_machines + 1) / 2;
      int room = no_cloud_capacity_ ? 0 : base + options_.rentable_machines - machines_in_zone;
      if (room <= 0) return done({503, error_text("no capacity")});
      std::vector<std::string> ids;
      for (int n = document["how_many"].GetInt(); n > 0 && room > 0; --n, --room)
        ids.push_back(add_worker(zone, spot, options_.boot_s).id);
      answered = rented_machines_.emplace(request_id, ids).first;
    }
    std::string ids;
    for (const auto& id : answered->second) ids += (ids.empty() ? "\"" : ",\"") + id + "\"";
    return done({200, "{\"hosts\":[" + ids + "]}"});
  }
  if (request.path == "/machines/return") {
    Document document;
    document.Parse(request.body.c_str());
    for (const auto& id : document["hosts"].GetArray())
      if (auto it = workers_.find(id.GetString()); it != workers_.end() && !it->second->removed)
        remove_machine(*it->second, "returned");
    return done({200, "{}"});
  }
  list_machines(request.path, done);
}

// Replies with one page of the machines, sorted by id.
void SimulatedCluster::list_machines(const std::string& path, const Done& done) const {
  const std::string since = query_parameter(path, "since");
  const std::string page = query_parameter(path, "page");
  std::size_t room = page.empty() ? kMaxPageMachines : std::min(kMaxPageMachines, std::stoul(page));
  std::string rows;
  bool more = false;
  for (auto it = workers_.upper_bound(since); it != workers_.end(); ++it) {
    const Worker& worker = *it->second;
    if (worker.removed) continue;
    if (room-- == 0) {
      more = true;
      break;
    }
    const char* phase = worker.stopped ? "failed" : worker.up ? "running" : "starting";
    rows += (rows.empty() ? "" : ",") +
            ("{\"name_id\":\"" + worker.id + "\",\"endpoint\":\"" + worker.addr +
             "\",\"hull\":\"box\",\"berth\":\"" + worker.zone +
             "\",\"driftwood\":" + (worker.spot ? "true" : "false") + ",\"phase\":\"" + phase +
             "\",\"held_s\":" + std::to_string(now() - worker.rented_at_s) + "}");
  }
  done({200, "{\"hosts\":[" + rows + "],\"more\":" + (more ? "true" : "false") + "}"});
}

}  // namespace eiderreel::standin
