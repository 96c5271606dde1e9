// Random days, each one run of the simulated cluster: a load with many cancellations, and faults in
// groups of three, drawn from the faults that the simulated cluster can inject. The number of
// a day is its seed. Days 1 to 12 run with the other tests; more can be run by hand:
//
//   EIDERREEL_DAYS=1-500 target/tests/eiderreel_tests --gtest_filter='RandomDays.*'
//
// A day that violates a rule is reported by its number; EIDERREEL_DAYS=N-N replays it, and
// EIDERREEL_TRACE=1 prints its trace.
#include <array>
#include <cstdio>
#include <cstdlib>

#include "standin/expectations.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

constexpr int kMachines = 9;
constexpr double kFaultsBeginS = 20, kFaultsEndS = 200, kDayEndsS = 330;
const std::array<const char*, 3> kTeams = {"red", "blue", "gold"};

class RandomDay {
 public:
  explicit RandomDay(std::uint64_t number) : random_(number * 7919), cluster_(day_options(number)) {
    add_jobs();
    for (double time_s = kFaultsBeginS; time_s < kFaultsEndS - 40; time_s += random_between(10, 35))
      for (int n = 0; n < 3; ++n) add_fault(time_s + random_between(0, 8));
    if (number % 3 == 0)
      cluster_.at(random_between(40, kFaultsEndS), [this] { cluster_.set_store_limits(2, 5, 60); });
    cluster_.at(kFaultsEndS, [this] { end_all_faults(); });
  }

  SimulatedCluster& cluster() { return cluster_; }
  void run() { cluster_.run_until(kDayEndsS); }
  std::size_t cancelled() const { return cancelled_; }
  std::size_t dependents() const { return dependents_; }

 private:
  // Even days have the default heartbeat interval, odd days one so long that two leases last longer
  // than the time allowed for a cancellation.
  Options day_options(std::uint64_t number) {
    Options options;
    options.seed = number;
    options.initial_machines = kMachines;
    if (number % 2) {
      options.heartbeat_interval_s = 5;
      options.lease_s = 26;
      options.cancel_s = 44;
    }
    if (number % 3 == 0) {  // limits that take effect during the day
      options.announced_value_kb = 2;
      options.announced_txn_ops = 5;
      options.announced_write_rps = 60;
    }
    lease_s_ = options.lease_s;
    return options;
  }

  double random_between(double lower, double upper) {
    return std::uniform_real_distribution<double>(lower, upper)(random_);
  }
  int random_index(int count) { return std::uniform_int_distribution<int>(0, count - 1)(random_); }
  bool with_probability(double probability) { return random_between(0, 1) < probability; }

  std::vector<std::string> random_machines() {
    std::vector<std::string> names;
    for (int n = 1 + random_index(kMachines / 2); n > 0; --n)
      names.push_back(machine_id(random_index(kMachines)));
    return names;
  }

  // Submits services and arrays until the faults end. All services and most arrays are cancelled
  // after a random delay, which may be as short as 0.1 s.
  void add_jobs() {
    int last_number = 0;
    for (double time_s = 5; time_s < kFaultsEndS; time_s += random_between(0.5, 5)) {
      const std::string id = "run-" + std::to_string(++last_number);
      const char* team = kTeams[static_cast<std::size_t>(random_index(3))];
      const bool service = with_probability(0.4);
      JobSpec job = service
                        ? cluster_.service(id, team, 1, 1 + random_index(2))
                        : cluster_.job(id, team, static_cast<std::uint32_t>(1 + random_index(8)), 1,
                                       random_between(2, 60));
      if (with_probability(0.3)) {
        job.checkpoint_s = 5;
        job.save_s = 4;
      }
      if (!service && last_number > 1 && with_probability(0.6)) add_prerequisites(job, last_number);
      cluster_.at(time_s, [this, job] { cluster_.submit_after_prerequisites(job); });
      if (!service && with_probability(0.3)) continue;
      ++cancelled_;
      cluster_.at(time_s + random_between(0.1, service ? 90 : 30),
                  [this, id] { cluster_.cancel(id); });
    }
  }

  // Adds one to three of the 12 jobs before `number`, of any team and in any phase.
  void add_prerequisites(JobSpec& job, int number) {
    ++dependents_;
    std::set<std::string> prerequisite_ids;
    for (int n = 1 + random_index(3); n > 0; --n)
      prerequisite_ids.insert("run-" + std::to_string(std::max(1, number - 1 - random_index(12))));
    job.prerequisites.assign(prerequisite_ids.begin(), prerequisite_ids.end());
  }

  void schedule_fault(double time_s, double duration_s, std::function<void()> start_fault,
                      std::function<void()> end_fault) {
    cluster_.at(time_s, std::move(start_fault));
    cluster_.at(time_s + duration_s, std::move(end_fault));
  }

  void add_fault(double time_s) {
    switch (random_index(4)) {
      case 0:
        return add_controller_fault(time_s);
      case 1:
        return add_machine_fault(time_s);
      case 2:
        return add_state_fault(time_s);
      default:
        return add_network_fault(time_s);
    }
  }

  void add_controller_fault(double time_s) {
    const int node = random_index(3);
    const double restart_after_s =
        std::array{0.2, 1.0, 4.0, 12.0}[static_cast<std::size_t>(random_index(4))];
    const double pause_s =
        std::array{0.8, 2.5, 4.2, 12.0}[static_cast<std::size_t>(random_index(4))];
    switch (random_index(4)) {
      case 0:
        return cluster_.at(time_s, [=, this] { cluster_.crash(node, restart_after_s); });
      case 1:
        return cluster_.at(time_s, [=, this] {
          for (int n = 0; n < 3; ++n) cluster_.crash(n, restart_after_s + n);
        });
      case 2:
        return cluster_.at(time_s, [=, this] {
          if (const int leader = cluster_.leader_of(node); leader >= 0)
            cluster_.crash(leader, restart_after_s);
        });
      default:
        return cluster_.at(time_s, [=, this] { cluster_.freeze(node, pause_s); });
    }
  }

  void add_machine_fault(double time_s) {
    const auto machines = random_machines();
    const double duration_s =
        std::array{3.0, lease_s_ - 2, lease_s_ + 3}[static_cast<std::size_t>(random_index(3))];
    auto toggle = [this, machines](void (SimulatedCluster::*fault)(const std::string&, bool),
                                   bool on) {
      return [this, machines, fault, on] {
        for (const auto& name : machines) (cluster_.*fault)(name, on);
      };
    };
    const std::array machine_faults = {&SimulatedCluster::freeze_machine,
                                       &SimulatedCluster::block_inbound,
                                       &SimulatedCluster::block_outbound_requests};
    const auto machine_fault = machine_faults[static_cast<std::size_t>(random_index(3))];
    schedule_fault(time_s, duration_s, toggle(machine_fault, true), toggle(machine_fault, false));
  }

  void add_state_fault(double time_s) {
    const int node = random_index(3);
    const double duration_s =
        std::array{4.0, 12.0, 30.0}[static_cast<std::size_t>(random_index(3))];
    switch (random_index(4)) {
      case 0:
        return schedule_fault(
            time_s, duration_s, [this] { cluster_.set_store_outage(true); },
            [this] { cluster_.set_store_outage(false); });
      case 1:
        return schedule_fault(
            time_s, duration_s, [=, this] { cluster_.set_store_unavailable_to(node, true); },
            [=, this] { cluster_.set_store_unavailable_to(node, false); });
      case 2:
        return schedule_fault(
            time_s, duration_s,
            [this] {
              cluster_.set_commit_delays({0.3, 0.5, 12});
            },
            [this] { cluster_.set_commit_delays({}); });
      default:
        return schedule_fault(
            time_s, duration_s, [this] { cluster_.set_max_store_latency(1.2); },
            [this] { cluster_.set_max_store_latency(0); });
    }
  }

  void add_network_fault(double time_s) {
    const std::string node = "n" + std::to_string(random_index(3));
    const NetworkPartitionMode mode =
        with_probability(0.5) ? NetworkPartitionMode::hold : NetworkPartitionMode::reset;
    const double duration_s = random_between(3, lease_s_ + 5);
    std::set<std::string> workers;
    for (const auto& name : random_machines()) workers.insert(worker_address(name));
    auto cut = [=, this](std::set<std::string> one_side, std::set<std::string> other_side) {
      schedule_fault(
          time_s, duration_s, [=, this] { cluster_.partition_network(one_side, other_side, mode); },
          [this] { cluster_.heal_network(); });
    };
    switch (random_index(5)) {
      case 0:
        return cut(workers, {SimulatedCluster::any_address()});
      case 1:
        return cut({node}, {"state"});
      case 2:
        return cut({node}, {"state", "n0", "n1", "n2"});
      case 3:
        return schedule_fault(
            time_s, duration_s, [this] { cluster_.set_duplicate_heartbeats(true); },
            [this] { cluster_.set_duplicate_heartbeats(false); });
      default:
        return schedule_fault(
            time_s, duration_s,
            [this] {
              cluster_.set_command_delays({0.7, 2, 16});
            },
            [this] { cluster_.set_command_delays({}); });
    }
  }

  void end_all_faults() {
    cluster_.heal_network();
    cluster_.set_store_outage(false);
    cluster_.set_commit_delays({});
    cluster_.set_command_delays({});
    cluster_.set_max_store_latency(0);
    cluster_.set_duplicate_heartbeats(false);
    for (int n = 0; n < 3; ++n) cluster_.set_store_unavailable_to(n, false);
    cluster_.mark_faults_ended();
    for (int i = 0; i < kMachines; ++i) {
      cluster_.freeze_machine(machine_id(i), false);
      cluster_.block_inbound(machine_id(i), false);
      cluster_.block_outbound_requests(machine_id(i), false);
    }
  }

  std::mt19937_64 random_;
  double lease_s_ = 0;
  SimulatedCluster cluster_;
  std::size_t cancelled_ = 0, dependents_ = 0;
};

std::pair<std::uint64_t, std::uint64_t> day_range() {
  std::pair<std::uint64_t, std::uint64_t> range{1, 12};
  if (const char* range_text = std::getenv("EIDERREEL_DAYS")) {
    const std::string text = range_text;
    range = {std::stoull(text), std::stoull(text.substr(text.find('-') + 1))};
  }
  return range;
}

TEST(RandomDays, ViolateNoRule) {
  const auto [first, last] = day_range();
  for (std::uint64_t number = first; number <= last; ++number) {
    RandomDay day(number);
    day.run();
    EXPECT_GT(day.cancelled(), 20u);
    EXPECT_GT(day.dependents(), 10u);
    EXPECT_EQ(day.cluster().commits_too_large(), 0u);
    EXPECT_GT(day.cluster().checker().starts(), 50u);
    expect_rules_kept(day.cluster(), "day " + std::to_string(number));
    if (std::getenv("EIDERREEL_TRACE"))
      for (const auto& line : day.cluster().trace()) std::puts(line.c_str());
  }
}

}  // namespace
