// The cloud of the simulated cluster: catalog, rentals, returns and the list.
#include <rapidjson/document.h>

#include "standin/simulated_cluster.h"
#include "standin/text.h"

namespace eiderreel::standin {

using rapidjson::Document;

namespace {
constexpr std::size_t kPageMost = 500;  // machines in one answer
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
  worker->rented_at = now();
  worker->up_at = stuck_boots_ ? 1e9 : now() + boot_s;
  worker->node = static_cast<int>(next_machine_ % static_cast<std::uint64_t>(options_.nodes));
  return *(workers_[id] = std::move(worker));
}

void SimulatedCluster::serve_cloud(const HttpRequest& request, Done done) {
  if (cloud_down_) return done({503, error_text("trouble")});
  if (request.path == "/catalog")
    return done({200,
                 "{\"hulls\":[{\"name\":\"box\",\"cores\":8.0,\"accelerators\":0,\"mem_gb\":64.0,"
                 "\"cache_gb\":50.0,\"fetch_gb_per_s\":1.0,\"price\":1.0,\"market_price\":0.4,"
                 "\"ready_s\":6.0,\"berths\":[\"a\",\"b\"]}]}"});
  if (request.path == "/machines") {
    Document document;
    document.Parse(request.body.c_str());
    const std::string charter = document["charter"].GetString();
    const std::string zone = document["berth"].GetString();
    const bool spot = document["driftwood"].GetBool();
    auto known = charter_answers_.find(charter);
    if (known == charter_answers_.end()) {
      charters_.insert(charter);
      int here = 0;
      for (const auto& [id, worker] : workers_)
        if (worker->zone == zone && worker->spot == spot && !worker->gone) ++here;
      const int base = spot ? 0 : (options_.machines + 1) / 2;
      int room = no_capacity_ ? 0 : base + options_.capacity - here;
      if (room <= 0) return done({503, error_text("no capacity")});
      std::vector<std::string> ids;
      for (int n = document["how_many"].GetInt(); n > 0 && room > 0; --n, --room)
        ids.push_back(add_worker(zone, spot, options_.boot_s).id);
      known = charter_answers_.emplace(charter, ids).first;
    }
    std::string ids;
    for (const auto& id : known->second) ids += (ids.empty() ? "\"" : ",\"") + id + "\"";
    return done({200, "{\"hosts\":[" + ids + "]}"});
  }
  if (request.path == "/machines/return") {
    Document document;
    document.Parse(request.body.c_str());
    for (const auto& id : document["hosts"].GetArray())
      if (auto it = workers_.find(id.GetString()); it != workers_.end() && !it->second->gone)
        lose(*it->second, "returned");
    return done({200, "{}"});
  }
  list_machines(request.path, done);
}

// A page of the machines, in the order of their names.
void SimulatedCluster::list_machines(const std::string& path, const Done& done) const {
  const std::string since = query_parameter(path, "since");
  const std::string page = query_parameter(path, "page");
  std::size_t room = page.empty() ? kPageMost : std::min(kPageMost, std::stoul(page));
  std::string rows;
  bool more = false;
  for (auto it = workers_.upper_bound(since); it != workers_.end(); ++it) {
    const Worker& worker = *it->second;
    if (worker.gone) continue;
    if (room-- == 0) {
      more = true;
      break;
    }
    const char* phase = worker.stopped ? "failed" : worker.up ? "running" : "starting";
    rows += (rows.empty() ? "" : ",") +
            ("{\"name_id\":\"" + worker.id + "\",\"endpoint\":\"" + worker.addr +
             "\",\"hull\":\"box\",\"berth\":\"" + worker.zone +
             "\",\"driftwood\":" + (worker.spot ? "true" : "false") + ",\"phase\":\"" + phase +
             "\",\"held_s\":" + std::to_string(now() - worker.rented_at) + "}");
  }
  done({200, "{\"hosts\":[" + rows + "],\"more\":" + (more ? "true" : "false") + "}"});
}

}  // namespace eiderreel::standin
