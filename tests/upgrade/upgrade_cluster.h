// A simulated cluster with cluster versions enabled, and operators who request version steps from
// its controllers.
#pragma once
#include <rapidjson/document.h>

#include <array>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "standin/expectations.h"
#include "standin/text.h"
#include "upgrade/messages.h"
#include "upgrade/upgrade_json.h"

namespace eiderreel::standin {

using upgrade::Action;
using upgrade::ClusterVersion;

inline upgrade::UpgradeSettings enabled_upgrades() {
  upgrade::UpgradeSettings settings;
  settings.enabled = true;
  settings.build = "test";
  settings.conversion_share = 0.5;
  return settings;
}

inline Options upgrade_options(std::uint64_t seed) {
  Options options;
  options.seed = seed;
  options.initial_machines = 9;
  options.upgrades = enabled_upgrades();
  return options;
}

// HTTP reply to an operator's request.
struct OperatorReply {
  int status = 0;
  std::string body;

  bool has(const std::string& text) const { return body.find(text) != std::string::npos; }
};

class UpgradeCluster : public SimulatedCluster {
 public:
  explicit UpgradeCluster(const Options& options) : SimulatedCluster(options) {}

  // Requests a step from a controller, starting at the version stored at that moment.
  void request_step(int node, Action action, std::set<std::string> without = {},
                    std::string request = "") {
    if (request.empty()) request = "request-" + std::to_string(++requests_);
    const upgrade::StepOrder order{
        {action, std::move(without)},
        static_cast<ClusterVersion>(std::max<std::uint64_t>(1, cluster_version())),
        request,
        "ops1",
        "a test"};
    send_request(node, "POST", "/upgrade/step", codec::encode(order),
                 [this, request](int status, std::string body) {
                   replies_.push_back({status, std::move(body)});
                   replies_by_request_[request] = replies_.back();
                 });
  }
  void request_step_at(double time_s, int node, Action action, std::set<std::string> without = {}) {
    at(time_s, [this, node, action, without] { request_step(node, action, without); });
  }
  // Requests the steps up to `version`, the first at `time_s` and the others kStepIntervalS apart.
  void advance_to(double time_s, ClusterVersion version, int node = 0) {
    for (std::uint32_t v = 1; v < upgrade::number(version); ++v, time_s += kStepIntervalS)
      request_step_at(time_s, node,
                      v + 1 == upgrade::number(ClusterVersion::compact_only) ? Action::finalize
                                                                             : Action::advance);
  }
  static constexpr double kStepIntervalS = 6;  // by then every running controller acknowledges

  std::uint64_t cluster_version() const {
    const std::string* value = stored_value("e/upgrade/version");
    if (!value) return 1;
    rapidjson::Document document;
    document.Parse(value->c_str());
    return document["version"].IsUint64() ? document["version"].GetUint64() : 0;
  }
  // The cluster version that a controller acts under, from its node record; 0 without a record.
  std::uint64_t acting(int node) const {
    const std::string* value = stored_value("e/node/n" + std::to_string(node));
    if (!value) return 0;
    rapidjson::Document document;
    document.Parse(value->c_str());
    return document.HasMember("acting") ? document["acting"].GetUint64() : 0;
  }
  // Replies to the operators, in order of arrival.
  const std::vector<OperatorReply>& replies() const { return replies_; }
  OperatorReply reply_to(const std::string& request) const {
    const auto found = replies_by_request_.find(request);
    return found == replies_by_request_.end() ? OperatorReply{} : found->second;
  }
  std::size_t replies_with(int status) const {
    std::size_t n = 0;
    for (const OperatorReply& reply : replies_) n += reply.status == status;
    return n;
  }
  std::size_t progress_values_containing(const std::string& text) const {
    std::size_t n = 0;
    for (const auto& key : keys("d/")) n += stored_value(key)->find(text) != std::string::npos;
    return n;
  }
  std::size_t progress_values_in_bits() const {
    return count_keys("d/") - progress_values_containing("\"form\":2");
  }

 private:
  int requests_ = 0;
  std::vector<OperatorReply> replies_;
  std::map<std::string, OperatorReply> replies_by_request_;
};

// Array jobs submitted at a fixed interval, by each team in turn; every sixth is cancelled while it
// runs.
struct ArrayLoad {
  double from_s = 0, to_s = 0, every_s = 3;

  int count() const {
    int jobs = 0;
    for (double time_s = from_s; time_s < to_s; time_s += every_s) ++jobs;
    return jobs;
  }
  static std::string id(int n) { return "run-" + std::to_string(1000 + n); }
  static bool is_cancelled(int n) { return n % 6 == 5; }
};

// The tasks of an array finish seconds apart, so that its progress is written many times.
inline void submit_arrays(SimulatedCluster& cluster, const ArrayLoad& load) {
  int n = 0;
  for (double time_s = load.from_s; time_s < load.to_s; time_s += load.every_s, ++n) {
    const std::string id = ArrayLoad::id(n);
    const char* team = std::array{"red", "blue", "gold"}[static_cast<std::size_t>(n % 3)];
    cluster.at(time_s, [&cluster, id, team, n] {
      std::vector<double> run_s;
      for (int task = 0; task < 16; ++task) run_s.push_back(2 + (task * 7 + n) % 25);
      cluster.submit(cluster.job(id, team, 16, 0.5, 10));
      cluster.set_run_s(id, run_s);
    });
    if (ArrayLoad::is_cancelled(n)) cluster.at(time_s + 8, [&cluster, id] { cluster.cancel(id); });
  }
}

inline void expect_arrays_ended(SimulatedCluster& cluster, const ArrayLoad& load) {
  for (int n = 0; n < load.count(); ++n) {
    const std::string id = ArrayLoad::id(n);
    const std::string phase = cluster.phase(id);
    EXPECT_TRUE(phase == "done" || (ArrayLoad::is_cancelled(n) && phase == "cancelled"))
        << id << " is " << phase;
  }
}

// The checks at the end of every test of an upgrade under load.
inline void expect_arrays_ended_and_rules_kept(SimulatedCluster& cluster, const ArrayLoad& load,
                                               const std::string& day = "") {
  expect_arrays_ended(cluster, load);
  expect_rules_kept(cluster, day);
}

}  // namespace eiderreel::standin
