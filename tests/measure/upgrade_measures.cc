// Measures the effects of cluster versions in the simulated cluster and prints tables; see
// docs/results.md. Not a test, and not part of CI:
//
//   cmake --build target --target eiderreel_measures && target/tests/eiderreel_measures [TABLE ...]
#include <sys/resource.h>

#include <chrono>
#include <cstdio>
#include <functional>
#include <map>
#include <numeric>

#include "upgrade/upgrade_cluster.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

double cpu_time_s() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_utime.tv_sec) +
         static_cast<double>(usage.ru_utime.tv_usec) / 1e6;
}

// ------------------------------------------------------------------------- users during a step

struct SubmissionStats {
  std::size_t accepted = 0, refused = 0, starts = 0;
  double slowest_s = 0, sum_s = 0;
};

// Submits ten jobs per second, to the controllers in turn and without retries.
void submit_steadily(UpgradeCluster& cluster, double from, double to, SubmissionStats& load) {
  int n = 0;
  for (double time_s = from; time_s < to; time_s += 0.1, ++n)
    cluster.at(time_s, [&cluster, &load, n] {
      const char* team = std::array{"red", "blue", "gold"}[static_cast<std::size_t>(n % 3)];
      JobSpec job = cluster.job("run-" + std::to_string(n), team, 1, 0.2, 2);
      const double sent_at_s = cluster.now();
      cluster.send_request(n % 3, "POST", "/v1/jobs", submission_text(job),
                           [&load, &cluster, sent_at_s](int status, std::string) {
                             const double latency_s = cluster.now() - sent_at_s;
                             (status == 201 ? load.accepted : load.refused) += 1;
                             load.slowest_s = std::max(load.slowest_s, latency_s);
                             load.sum_s += latency_s;
                           });
    });
}

SubmissionStats run_with_steps(std::uint64_t seed, bool steps) {
  Options options = upgrade_options(seed);
  options.state_rps = 400;
  UpgradeCluster cluster(options);
  submit_arrays(cluster, {3, 60});
  SubmissionStats load;
  submit_steadily(cluster, 20, 50, load);
  if (steps)
    for (int n = 0; n < 10; ++n)
      cluster.request_step_at(21 + 3.0 * n, n % 3, n % 4 < 2 ? Action::advance : Action::abort);
  cluster.run_until(20);
  const std::size_t before = cluster.checker().starts();
  cluster.run_until(55);
  load.starts = cluster.checker().starts() - before;
  if (steps)
    std::printf("  seed %llu: %zu steps taken\n", static_cast<unsigned long long>(seed),
                cluster.replies_with(200));
  return load;
}

void measure_steps() {
  std::printf(
      "users during steps: 300 submissions in 30 s, 5 seeds; steps: one requested every 3 s\n");
  for (const bool steps : {false, true}) {
    SubmissionStats sum;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      const SubmissionStats load = run_with_steps(seed, steps);
      sum.accepted += load.accepted;
      sum.refused += load.refused;
      sum.starts += load.starts;
      sum.sum_s += load.sum_s;
      sum.slowest_s = std::max(sum.slowest_s, load.slowest_s);
    }
    std::printf(
        "%-10s accepted at once %zu, refused %zu, mean %.1f ms, slowest %.0f ms, starts %zu\n",
        steps ? "steps" : "no steps", sum.accepted, sum.refused,
        sum.sum_s / static_cast<double>(sum.accepted + sum.refused) * 1000, sum.slowest_s * 1000,
        sum.starts);
  }
}

// --------------------------------------------------------------------------- time to convert

double time_to_convert(int jobs, double write_rps, double share) {
  Options options = upgrade_options(1);
  options.initial_machines = 40;
  options.teams = {{"red", 100, 400, 0, 0}, {"blue", 100, 400, 0, 0}, {"gold", 100, 400, 0, 0}};
  options.state_rps = 400;
  options.state_write_rps = write_rps;
  options.upgrades->conversion_share = share;
  UpgradeCluster cluster(options);
  const double all_submitted_s = jobs / 5.0;
  for (int n = 0; n < jobs; ++n) {
    const char* team = std::array{"red", "blue", "gold"}[static_cast<std::size_t>(n % 3)];
    cluster.at(3 + 0.2 * n, [&cluster, n, team] {
      const std::string id = "run-" + std::to_string(n);
      cluster.submit(cluster.job(id, team, 4, 0.05, 9000));
      cluster.set_run_s(id, {2, 3, 9000, 9000});
    });
  }
  const double expected_start_s = all_submitted_s + 60;
  cluster.advance_to(expected_start_s - 12, ClusterVersion::convert);
  cluster.run_until(expected_start_s - 6);
  double time_s = expected_start_s - 6;
  while (cluster.cluster_version() < 3 && time_s < expected_start_s + 60)
    cluster.run_until(time_s += 0.1);
  const double from = time_s;
  while (cluster.progress_values_in_bits() > 0 && time_s < from + 3000)
    cluster.run_until(time_s += 0.25);
  return time_s - from;
}

void measure_conversion() {
  std::printf("\ntime to convert: open arrays with one stored value each; s\n");
  std::printf("%-8s%-22s%-22s%-22s\n", "jobs", "20 changes/s, 0.1", "50 changes/s, 0.1",
              "50 changes/s, 0.5");
  for (const int jobs : {50, 200, 800})
    std::printf("%-8d%-22.0f%-22.0f%-22.0f\n", jobs, time_to_convert(jobs, 20, 0.1),
                time_to_convert(jobs, 50, 0.1), time_to_convert(jobs, 50, 0.5));
}

// -------------------------------------------------------------- changes and bytes of an array

struct ArrayCost {
  std::size_t writes = 0, max_bytes = 0, max_keys = 0;
};

enum class CompletionOrder { at_random, in_order };

struct ArrayCase {
  std::uint32_t tasks = 0;
  double value_kb = 8;
  double spread_s = 20;  // between the first and the last completion
  CompletionOrder completion_order = CompletionOrder::at_random;
};

std::vector<double> run_times(const ArrayCase& array) {
  std::mt19937_64 random(array.tasks);
  std::uniform_real_distribution<double> random_offset_s(0, array.spread_s);
  std::vector<double> run_s;
  for (std::uint32_t i = 0; i < array.tasks; ++i)
    run_s.push_back(2 + (array.completion_order == CompletionOrder::in_order
                             ? array.spread_s * i / array.tasks
                             : random_offset_s(random)));
  return run_s;
}

ArrayCost cost_of_array(const ArrayCase& array, bool compact) {
  Options options = upgrade_options(3);
  options.value_kb = array.value_kb;
  options.initial_machines = 30;
  options.teams = {{"red", 240, 240, 0, 0}, {"blue", 1, 48, 0, 0}, {"gold", 1, 48, 0, 0}};
  UpgradeCluster cluster(options);
  if (compact) cluster.advance_to(5, ClusterVersion::write_compact);
  cluster.at(12, [&] {
    cluster.submit(cluster.job("run-1", "red", array.tasks, array.tasks > 1000 ? 0.005 : 0.5, 10));
    cluster.set_run_s("run-1", run_times(array));
  });
  ArrayCost cost;
  for (double time_s = 13; time_s < 500 && cluster.phase("run-1") != "done"; time_s += 0.5) {
    cluster.run_until(time_s);
    std::size_t bytes = 0;
    for (const auto& key : cluster.keys("d/")) bytes += cluster.stored_value(key)->size();
    cost.max_bytes = std::max(cost.max_bytes, bytes);
    cost.max_keys = std::max(cost.max_keys, cluster.count_keys("d/"));
  }
  cost.writes = cluster.version_checker().progress_writes(compact);
  if (cluster.phase("run-1") != "done") std::printf("(not done) ");
  return cost;
}

void measure_arrays() {
  std::printf(
      "\nprogress of one array, bits / compact: values written, most values kept, most bytes "
      "kept\n");
  for (const ArrayCase& array :
       {ArrayCase{36}, ArrayCase{500}, ArrayCase{500, 8, 20, CompletionOrder::in_order},
        ArrayCase{20000}, ArrayCase{20000, 8, 20, CompletionOrder::in_order}, ArrayCase{20000, 1},
        ArrayCase{20000, 1, 20, CompletionOrder::in_order}, ArrayCase{40000, 8, 20},
        ArrayCase{40000, 8, 20, CompletionOrder::in_order}}) {
    const ArrayCost bits = cost_of_array(array, false);
    const ArrayCost compact = cost_of_array(array, true);
    std::printf(
        "%6u tasks, values to %.0f KiB, ends %-9s: %4zu / %-4zu  %2zu / %-2zu  %6zu / %zu\n",
        array.tasks, array.value_kb,
        array.completion_order == CompletionOrder::in_order ? "in order" : "at random", bits.writes,
        compact.writes, bits.max_keys, compact.max_keys, bits.max_bytes, compact.max_bytes);
    std::fflush(stdout);
  }
}

// ---------------------------------------------------------------------------- a large cluster

void measure_large() {
  std::printf(
      "\n4,000 machines, 200 s with 300 arrays, three controllers and the simulated cluster in one "
      "process\n");
  for (const bool enabled : {false, true, false, true}) {
    Options options = upgrade_options(1);
    if (!enabled) options.upgrades.reset();
    options.initial_machines = 4000;
    options.rentable_machines = 0;
    options.heartbeat_interval_s = 5;
    options.lease_s = 26;
    options.cancel_s = 60;
    options.state_rps = 400;
    options.state_write_rps = 400;
    options.teams = {
        {"red", 8000, 20000, 0, 0}, {"blue", 8000, 20000, 0, 0}, {"gold", 8000, 20000, 0, 0}};
    const double cpu_time_at_start_s = cpu_time_s();
    UpgradeCluster cluster(options);
    submit_arrays(cluster, {60, 180, 0.4});
    if (enabled) cluster.advance_to(90, ClusterVersion::convert);
    cluster.run_until(200);
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    std::printf(
        "%-9s processor %.1f s, largest resident %ld MB so far, starts %zu, version %llu, rules "
        "broken %zu\n",
        enabled ? "enabled" : "disabled", cpu_time_s() - cpu_time_at_start_s,
        usage.ru_maxrss / 1024, cluster.checker().starts(),
        static_cast<unsigned long long>(cluster.cluster_version()),
        cluster.checker().violations().size());
    std::fflush(stdout);
  }
}

}  // namespace

int main(int argc, char** argv) {
  const std::map<std::string, std::function<void()>> tables = {{"steps", measure_steps},
                                                               {"conversion", measure_conversion},
                                                               {"arrays", measure_arrays},
                                                               {"large", measure_large}};
  for (const auto& [name, measure] : tables) {
    bool is_selected = argc == 1;
    for (int i = 1; i < argc; ++i) is_selected |= name == argv[i];
    if (is_selected) measure();
  }
}
