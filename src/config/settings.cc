#include "config/settings.h"

#include <limits>

#include "config/toml_reader.h"

namespace eiderreel {
namespace {

void read_state_limits(TomlReader& r, const toml::table& t, const std::string& path, Settings& s) {
  r.number(t, path, "rps", 1, 1e6, s.state_rps);
  r.number(t, path, "write_rps", 1, 1e6, s.state_write_rps);
  r.number(t, path, "value_kb", constants::kLeastValueKb, 1e6, s.state_value_kb);
  r.whole(t, path, "txn_ops", constants::kLeastTransaction, 100000, s.state_txn_ops);
}

// The limits that the state store will have from some moment on, without notice: what fits into
// both is all that is ever written, so no moment matters. What is missing stays as it is.
void read_next_state_limits(TomlReader& r, const toml::table& state, Settings& s) {
  const auto* next = state.get("next");
  if (!next) return;
  if (!next->is_table()) return r.problem("params.state.next", "must be a table");
  toml::table whole = *next->as_table();
  whole.emplace("rps", s.state_rps);
  whole.emplace("write_rps", s.state_write_rps);
  whole.emplace("value_kb", s.state_value_kb);
  whole.emplace("txn_ops", s.state_txn_ops);
  Settings later;
  read_state_limits(r, whole, "params.state.next.", later);
  s.state_rps = std::min(s.state_rps, later.state_rps);
  s.state_write_rps = std::min(s.state_write_rps, later.state_write_rps);
  s.state_value_kb = std::min(s.state_value_kb, later.state_value_kb);
  s.state_txn_ops = std::min(s.state_txn_ops, later.state_txn_ops);
}

}  // namespace

SettingsResult load_settings(const std::string& file) {
  SettingsResult result;
  Settings& s = result.settings;
  TomlReader r(file, result.problems);
  toml::parse_result parsed = toml::parse_file(file);
  if (!parsed) {
    const auto line = parsed.error().source().begin.line;
    r.problem(line ? "line " + std::to_string(line) : "file",
              std::string(parsed.error().description()));
    return result;
  }
  const toml::table& t = parsed.table();
  r.text(t, "", "node_name", s.node);
  r.text(t, "", "area", s.zone);
  r.address(t, "", "api_addr", s.api_addr);
  r.address(t, "", "mesh_addr", s.peer_addr);
  if (const auto* known = t.get("known")) {
    if (!known->is_array()) {
      r.problem("known", "must be a list of tables");
    } else {
      for (std::size_t i = 0; i < known->as_array()->size(); ++i) {
        const std::string path = "known[" + std::to_string(i) + "].";
        const auto* e = known->as_array()->get(i)->as_table();
        if (!e) {
          r.problem(path, "must be a table");
          continue;
        }
        Peer p;
        r.text(*e, path, "node_name", p.name);
        r.text(*e, path, "area", p.zone);
        r.address(*e, path, "endpoint", p.peer_addr);
        if (!p.name.empty() && p.name == s.node) r.problem(path + "node_name", "is our own name");
        s.peers.push_back(p);
      }
    }
  }
  if (const auto* out = r.table(t, "", "outside")) {
    r.address(*out, "outside.", "cloud", s.cloud_addr);
    r.address(*out, "outside.", "state", s.state_addr);
  }
  const auto* p = r.table(t, "", "params");
  if (!p) return result;
  r.whole(*p, "params.", "size", 1, 1000, s.partition_count);
  r.number(*p, "params.", "skew_ms", 0, 60000, s.skew_ms);
  if (const auto* zones = p->get("zones"); zones && zones->is_array()) {
    for (const auto& z : *zones->as_array())
      if (z.is_string()) s.zones.push_back(z.as_string()->get());
  }
  const auto* teams = p->get("teams");
  if (!teams || !teams->is_array() || teams->as_array()->empty()) {
    r.problem("params.teams", teams ? "must be a list of tables" : "is missing");
  } else {
    for (std::size_t i = 0; i < teams->as_array()->size(); ++i) {
      const std::string path = "params.teams[" + std::to_string(i) + "].";
      const auto* e = teams->as_array()->get(i)->as_table();
      if (!e) {
        r.problem(path, "must be a table");
        continue;
      }
      Team team;
      r.text(*e, path, "name", team.name);
      r.number(*e, path, "cpus", 0, 1e7, team.fair_share_cpus);
      r.number(*e, path, "cpus_max", 0, 1e7, team.quota_cpus);
      r.number(*e, path, "gpus", 0, 1e7, team.fair_share_gpus);
      r.number(*e, path, "gpus_max", 0, 1e7, team.quota_gpus);
      // A limit of 0 is none. Taken for a limit it refused every job of guests with 422.
      for (double* most : {&team.quota_cpus, &team.quota_gpus})
        if (*most == 0) *most = std::numeric_limits<double>::infinity();
      if (team.fair_share_cpus > team.quota_cpus)
        r.problem(path + "cpus", "is above the team's cpus_max");
      if (team.fair_share_gpus > team.quota_gpus)
        r.problem(path + "gpus", "is above the team's gpus_max");
      for (const auto& other : s.teams)
        if (other.name == team.name) r.problem(path + "name", "is there twice");
      s.teams.push_back(team);
    }
  }
  // Objectives are advice: one that is not understood is passed over.
  if (const auto* list = p->get("objectives"); list && list->is_array()) {
    for (const auto& e : *list->as_array()) {
      const auto* o = e.as_table();
      if (!o) continue;
      const std::string kind = (*o)["kind"].value_or(std::string());
      const std::string jobclass = (*o)["class"].value_or(std::string());
      if (kind == "finished")
        s.completion_objectives[jobclass].push_back({(*o)["within_s"].value_or(0.0), 0});
      else if (kind == "wait")
        s.start_objectives_s[jobclass] = (*o)["within_s"].value_or(0.0);
      else if (kind == "guarantee")
        s.fair_share_start_s = (*o)["within_s"].value_or(s.fair_share_start_s);
      else if (kind == "deadline")
        s.completion_objectives[jobclass].push_back({0, (*o)["times"].value_or(1.0)});
    }
  }
  if (const auto* w = r.table(*p, "params.", "workers")) {
    r.number(*w, "params.workers.", "report_s", 0.1, 3600, s.heartbeat_interval_s);
    r.number(*w, "params.workers.", "lease_s", 0.5, 36000, s.lease_s);
    r.number(*w, "params.workers.", "cancel_s", 0.5, 36000, s.cancel_s);
    if (s.lease_s <= s.heartbeat_interval_s)
      r.problem("params.workers.lease_s", "must be above params.workers.report_s");
  }
  if (const auto* st = r.table(*p, "params.", "state")) {
    read_state_limits(r, *st, "params.state.", s);
    read_next_state_limits(r, *st, s);
  }
  if (const auto* c = r.table(*p, "params.", "cloud")) {
    r.number(*c, "params.cloud.", "rps", 0.1, 1e6, s.cloud_rps);
    r.number(*c, "params.cloud.", "list_lag_s", 0, 3600, s.list_lag_s);
  }
  if (const auto* q = r.table(*p, "params.", "quota")) {
    r.number(*q, "params.quota.", "core_share", 0.001, 1024, s.core_share);
    r.number(*q, "params.quota.", "memory_mb", 16, 1e7, s.memory_mb);
    r.whole(*q, "params.quota.", "max_sockets", 16, 10000000, s.max_sockets);
  }
  return result;
}

}  // namespace eiderreel
