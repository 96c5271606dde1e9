// Reads the platform's settings file, with one function per table.
#include <algorithm>
#include <limits>

#include "config/settings.h"
#include "config/toml_reader.h"

namespace eiderreel {
namespace {

// Bounds of the values in the file. They only catch typing errors, and lie far outside of what any
// deployment needs.
constexpr int kPartitionsMax = 1000;
constexpr double kSkewMaxMs = 60'000;
constexpr double kTeamResourcesMax = 1e7;  // CPUs or GPUs
constexpr double kIntervalMinS = 0.1;
constexpr double kIntervalMaxS = 3600;
constexpr double kLeaseMinS = 0.5;
constexpr double kLeaseMaxS = 36'000;
constexpr double kRateMaxPerS = 1e6;  // requests or changes per second
constexpr double kCloudRateMinPerS = 0.1;
constexpr double kValueMaxKb = 1e6;
constexpr int kTransactionMaxWrites = 100'000;
constexpr double kCoreShareMinCpus = 0.001;
constexpr double kCoreShareMaxCpus = 1024;
constexpr double kMemoryMinMb = 16;
constexpr double kMemoryMaxMb = 1e7;
constexpr int kSocketsMin = 16;
constexpr int kSocketsMax = 10'000'000;

void read_node(TomlReader& reader, const toml::table& file, Settings& settings) {
  reader.text(file, "", "node_name", settings.node);
  reader.text(file, "", "area", settings.zone);
  reader.address(file, "", "api_addr", settings.api_addr);
  reader.address(file, "", "mesh_addr", settings.peer_addr);
}

void read_peers(TomlReader& reader, const toml::table& file, Settings& settings) {
  const toml::node* known = file.get("known");
  if (!known) return;  // optional: the cluster has a single controller
  const toml::array* list = known->as_array();
  if (!list) return reader.add_problem("known", "must be a list of tables");
  for (std::size_t i = 0; i < list->size(); ++i) {
    const std::string path = entry_path("known", i);
    const toml::table* entry = reader.entry(*list, i, path);
    if (!entry) continue;
    Peer peer;
    reader.text(*entry, path, "node_name", peer.name);
    reader.text(*entry, path, "area", peer.zone);
    reader.address(*entry, path, "endpoint", peer.peer_addr);
    if (!peer.name.empty() && peer.name == settings.node)
      reader.add_problem(path + "node_name", "is our own name");
    settings.peers.push_back(peer);
  }
}

void read_outside_addresses(TomlReader& reader, const toml::table& file, Settings& settings) {
  const toml::table* outside = reader.table(file, "", "outside");
  if (!outside) return;
  reader.address(*outside, "outside.", "cloud", settings.cloud_addr);
  reader.address(*outside, "outside.", "state", settings.state_addr);
}

void read_zones(const toml::table& params, Settings& settings) {
  const toml::array* zones = params.get_as<toml::array>("zones");
  if (!zones) return;
  for (const toml::node& zone : *zones)
    if (zone.is_string()) settings.zones.push_back(zone.as_string()->get());
}

Team read_team(TomlReader& reader, const toml::table& entry, const std::string& path) {
  Team team;
  reader.text(entry, path, "name", team.name);
  reader.number(entry, path, "cpus", 0, kTeamResourcesMax, team.fair_share_cpus);
  reader.number(entry, path, "cpus_max", 0, kTeamResourcesMax, team.quota_cpus);
  reader.number(entry, path, "gpus", 0, kTeamResourcesMax, team.fair_share_gpus);
  reader.number(entry, path, "gpus_max", 0, kTeamResourcesMax, team.quota_gpus);
  // A quota of 0 means no quota. With a limit of 0, every job of a team without a fair share would
  // be refused with 422.
  for (double* quota : {&team.quota_cpus, &team.quota_gpus})
    if (*quota == 0) *quota = std::numeric_limits<double>::infinity();
  if (team.fair_share_cpus > team.quota_cpus)
    reader.add_problem(path + "cpus", "is above the team's cpus_max");
  if (team.fair_share_gpus > team.quota_gpus)
    reader.add_problem(path + "gpus", "is above the team's gpus_max");
  return team;
}

void read_teams(TomlReader& reader, const toml::table& params, Settings& settings) {
  const toml::node* node = params.get("teams");
  const toml::array* list = node ? node->as_array() : nullptr;
  if (!list || list->empty())
    return reader.add_problem("params.teams", node ? "must be a list of tables" : "is missing");
  for (std::size_t i = 0; i < list->size(); ++i) {
    const std::string path = entry_path("params.teams", i);
    const toml::table* entry = reader.entry(*list, i, path);
    if (!entry) continue;
    const Team team = read_team(reader, *entry, path);
    for (const Team& other : settings.teams)
      if (other.name == team.name) reader.add_problem(path + "name", "is there twice");
    settings.teams.push_back(team);
  }
}

void read_objective(const toml::table& objective, Settings& settings) {
  const std::string kind = objective["kind"].value_or(std::string());
  const std::string job_class = objective["class"].value_or(std::string());
  const auto within_s = objective["within_s"];
  if (kind == "finished")
    settings.completion_objectives[job_class].push_back({within_s.value_or(0.0), 0});
  else if (kind == "wait")
    settings.start_objectives_s[job_class] = within_s.value_or(0.0);
  else if (kind == "guarantee")
    settings.fair_share_start_s = within_s.value_or(settings.fair_share_start_s);
  else if (kind == "deadline")
    settings.completion_objectives[job_class].push_back({0, objective["times"].value_or(1.0)});
}

// Objectives are only hints for scheduling, so an objective of an unknown kind is skipped, not
// reported as a problem.
void read_objectives(const toml::table& params, Settings& settings) {
  const toml::array* list = params.get_as<toml::array>("objectives");
  if (!list) return;
  for (const toml::node& entry : *list)
    if (const toml::table* objective = entry.as_table()) read_objective(*objective, settings);
}

void read_workers(TomlReader& reader, const toml::table& params, Settings& settings) {
  const std::string path = "params.workers.";
  const toml::table* workers = reader.table(params, "params.", "workers");
  if (!workers) return;
  reader.number(*workers, path, "report_s", kIntervalMinS, kIntervalMaxS,
                settings.heartbeat_interval_s);
  reader.number(*workers, path, "lease_s", kLeaseMinS, kLeaseMaxS, settings.lease_s);
  reader.number(*workers, path, "cancel_s", kLeaseMinS, kLeaseMaxS, settings.cancel_s);
  if (settings.lease_s <= settings.heartbeat_interval_s)
    reader.add_problem(path + "lease_s", "must be above params.workers.report_s");
}

void read_state_limits(TomlReader& reader, const toml::table& state, const std::string& path,
                       Settings& settings) {
  reader.number(state, path, "rps", 1, kRateMaxPerS, settings.state_rps);
  reader.number(state, path, "write_rps", 1, kRateMaxPerS, settings.state_write_rps);
  reader.number(state, path, "value_kb", constants::kMinValueKib, kValueMaxKb,
                settings.state_value_kb);
  reader.integer(state, path, "txn_ops", constants::kMinTransactionChanges, kTransactionMaxWrites,
                 settings.state_txn_ops);
}

// Applies the announced future limits of the state store. The store switches to them at an unknown
// time, so writes must always fit both the present and the future limits. A limit that
// `params.state.next` does not state stays unchanged.
void read_next_state_limits(TomlReader& reader, const toml::table& state, Settings& settings) {
  const toml::node* next = state.get("next");
  if (!next) return;
  if (!next->is_table()) return reader.add_problem("params.state.next", "must be a table");
  toml::table next_limits = *next->as_table();
  next_limits.emplace("rps", settings.state_rps);
  next_limits.emplace("write_rps", settings.state_write_rps);
  next_limits.emplace("value_kb", settings.state_value_kb);
  next_limits.emplace("txn_ops", settings.state_txn_ops);
  Settings next_settings;
  read_state_limits(reader, next_limits, "params.state.next.", next_settings);
  settings.state_rps = std::min(settings.state_rps, next_settings.state_rps);
  settings.state_write_rps = std::min(settings.state_write_rps, next_settings.state_write_rps);
  settings.state_value_kb = std::min(settings.state_value_kb, next_settings.state_value_kb);
  settings.state_txn_ops = std::min(settings.state_txn_ops, next_settings.state_txn_ops);
}

void read_state(TomlReader& reader, const toml::table& params, Settings& settings) {
  const toml::table* state = reader.table(params, "params.", "state");
  if (!state) return;
  read_state_limits(reader, *state, "params.state.", settings);
  read_next_state_limits(reader, *state, settings);
}

void read_cloud(TomlReader& reader, const toml::table& params, Settings& settings) {
  const toml::table* cloud = reader.table(params, "params.", "cloud");
  if (!cloud) return;
  reader.number(*cloud, "params.cloud.", "rps", kCloudRateMinPerS, kRateMaxPerS,
                settings.cloud_rps);
  reader.number(*cloud, "params.cloud.", "list_lag_s", 0, kIntervalMaxS, settings.list_lag_s);
}

void read_quota(TomlReader& reader, const toml::table& params, Settings& settings) {
  const std::string path = "params.quota.";
  const toml::table* quota = reader.table(params, "params.", "quota");
  if (!quota) return;
  reader.number(*quota, path, "core_share", kCoreShareMinCpus, kCoreShareMaxCpus,
                settings.core_share);
  reader.number(*quota, path, "memory_mb", kMemoryMinMb, kMemoryMaxMb, settings.memory_mb);
  reader.integer(*quota, path, "max_sockets", kSocketsMin, kSocketsMax, settings.max_sockets);
}

void read_params(TomlReader& reader, const toml::table& file, Settings& settings) {
  const toml::table* params = reader.table(file, "", "params");
  if (!params) return;
  reader.integer(*params, "params.", "size", 1, kPartitionsMax, settings.partition_count);
  reader.number(*params, "params.", "skew_ms", 0, kSkewMaxMs, settings.skew_ms);
  read_zones(*params, settings);
  read_teams(reader, *params, settings);
  read_objectives(*params, settings);
  read_workers(reader, *params, settings);
  read_state(reader, *params, settings);
  read_cloud(reader, *params, settings);
  read_quota(reader, *params, settings);
}

}  // namespace

SettingsResult load_settings(const std::string& file) {
  SettingsResult result;
  TomlReader reader(file, result.problems);
  const auto parsed = reader.parse();
  if (!parsed) return result;
  read_node(reader, *parsed, result.settings);
  read_peers(reader, *parsed, result.settings);
  read_outside_addresses(reader, *parsed, result.settings);
  read_params(reader, *parsed, result.settings);
  return result;
}

}  // namespace eiderreel
