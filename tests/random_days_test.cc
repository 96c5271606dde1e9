// Random days: a load with many cancellations, and faults drawn in pairs and triples from all
// that the simulated cluster knows. A few fixed days run with the other tests. More are searched by
// hand:
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
constexpr double kFaultsBegin = 20, kFaultsEnd = 200, kDayEnds = 330;
const std::array<const char*, 3> kTeams = {"red", "blue", "gold"};

class RandomDay {
 public:
  explicit RandomDay(std::uint64_t number) : random_(number * 7919), cluster_(day_options(number)) {
    add_jobs();
    for (double time_s = kFaultsBegin; time_s < kFaultsEnd - 40; time_s += number_in(10, 35))
      for (int n = 0; n < 3; ++n) add_fault(time_s + number_in(0, 8));
    if (number % 3 == 0)
      cluster_.at(number_in(40, kFaultsEnd), [this] { cluster_.set_store_limits(2, 5, 60); });
    cluster_.at(kFaultsEnd, [this] { end_all_faults(); });
  }

  SimulatedCluster& cluster() { return cluster_; }
  void play() { cluster_.run_until(kDayEnds); }
  std::size_t cancelled() const { return cancelled_; }
  std::size_t dependents() const { return dependents_; }

 private:
  // Heartbeats every second, or so seldom that two leases outlast a cancellation.
  Options day_options(std::uint64_t number) {
    Options options;
    options.seed = number;
    options.initial_machines = kMachines;
    if (number % 2) {
      options.heartbeat_interval_s = 5;
      options.lease_s = 26;
      options.cancel_s = 44;
    }
    if (number % 3 == 0) {  // lower limits come on some day
      options.announced_value_kb = 2;
      options.announced_txn_ops = 5;
      options.announced_write_rps = 60;
    }
    lease_s_ = options.lease_s;
    return options;
  }

  double number_in(double least, double most) {
    return std::uniform_real_distribution<double>(least, most)(random_);
  }
  int pick(int count) { return std::uniform_int_distribution<int>(0, count - 1)(random_); }
  bool likely(double share) { return number_in(0, 1) < share; }

  std::vector<std::string> some_machines() {
    std::vector<std::string> out;
    for (int n = 1 + pick(kMachines / 2); n > 0; --n) out.push_back(machine_id(pick(kMachines)));
    return out;
  }

  // Services and arrays all day; most are cancelled at some time, some of them at once.
  void add_jobs() {
    int next = 0;
    for (double time_s = 5; time_s < kFaultsEnd; time_s += number_in(0.5, 5)) {
      const std::string id = "run-" + std::to_string(++next);
      const char* team = kTeams[static_cast<std::size_t>(pick(3))];
      const bool service = likely(0.4);
      JobSpec job = service ? cluster_.service(id, team, 1, 1 + pick(2))
                            : cluster_.job(id, team, static_cast<std::uint32_t>(1 + pick(8)), 1,
                                           number_in(2, 60));
      if (likely(0.3)) {
        job.checkpoint_s = 5;
        job.save_s = 4;
      }
      if (!service && next > 1 && likely(0.6)) add_prerequisites(job, next);
      cluster_.at(time_s, [this, job] { cluster_.submit_after_prerequisites(job); });
      if (!service && likely(0.3)) continue;
      ++cancelled_;
      cluster_.at(time_s + number_in(0.1, service ? 90 : 30), [this, id] { cluster_.cancel(id); });
    }
  }

  // Some of the jobs before, of any team, whatever has become of them.
  void add_prerequisites(JobSpec& job, int number) {
    ++dependents_;
    std::set<std::string> needed;
    for (int n = 1 + pick(3); n > 0; --n)
      needed.insert("run-" + std::to_string(std::max(1, number - 1 - pick(12))));
    job.prerequisites.assign(needed.begin(), needed.end());
  }

  void during(double time_s, double for_s, std::function<void()> begin, std::function<void()> end) {
    cluster_.at(time_s, std::move(begin));
    cluster_.at(time_s + for_s, std::move(end));
  }

  void add_fault(double time_s) {
    switch (pick(4)) {
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
    const int node = pick(3);
    const double back_s = std::array{0.2, 1.0, 4.0, 12.0}[static_cast<std::size_t>(pick(4))];
    const double still_s = std::array{0.8, 2.5, 4.2, 12.0}[static_cast<std::size_t>(pick(4))];
    switch (pick(4)) {
      case 0:
        return cluster_.at(time_s, [=, this] { cluster_.crash(node, back_s); });
      case 1:
        return cluster_.at(time_s, [=, this] {
          for (int n = 0; n < 3; ++n) cluster_.crash(n, back_s + n);
        });
      case 2:
        return cluster_.at(time_s, [=, this] {
          if (const int leader = cluster_.leader_of(node); leader >= 0)
            cluster_.crash(leader, back_s);
        });
      default:
        return cluster_.at(time_s, [=, this] { cluster_.freeze(node, still_s); });
    }
  }

  void add_machine_fault(double time_s) {
    const auto machines = some_machines();
    const double for_s =
        std::array{3.0, lease_s_ - 2, lease_s_ + 3}[static_cast<std::size_t>(pick(3))];
    auto set = [this, machines](void (SimulatedCluster::*fault)(const std::string&, bool),
                                bool on) {
      return [this, machines, fault, on] {
        for (const auto& name : machines) (cluster_.*fault)(name, on);
      };
    };
    const std::array kinds = {&SimulatedCluster::freeze_machine, &SimulatedCluster::block_inbound,
                              &SimulatedCluster::block_outbound_requests};
    const auto kind = kinds[static_cast<std::size_t>(pick(3))];
    during(time_s, for_s, set(kind, true), set(kind, false));
  }

  void add_state_fault(double time_s) {
    const int node = pick(3);
    const double for_s = std::array{4.0, 12.0, 30.0}[static_cast<std::size_t>(pick(3))];
    switch (pick(4)) {
      case 0:
        return during(
            time_s, for_s, [this] { cluster_.set_store_outage(true); },
            [this] { cluster_.set_store_outage(false); });
      case 1:
        return during(
            time_s, for_s, [=, this] { cluster_.set_store_unavailable_to(node, true); },
            [=, this] { cluster_.set_store_unavailable_to(node, false); });
      case 2:
        return during(
            time_s, for_s,
            [this] {
              cluster_.set_commit_delays({0.3, 0.5, 12});
            },
            [this] { cluster_.set_commit_delays({}); });
      default:
        return during(
            time_s, for_s, [this] { cluster_.set_max_store_latency(1.2); },
            [this] { cluster_.set_max_store_latency(0); });
    }
  }

  void add_network_fault(double time_s) {
    const std::string node = "n" + std::to_string(pick(3));
    const NetworkPartitionMode mode =
        likely(0.5) ? NetworkPartitionMode::hold : NetworkPartitionMode::reset;
    const double for_s = number_in(3, lease_s_ + 5);
    std::set<std::string> workers;
    for (const auto& name : some_machines()) workers.insert(worker_address(name));
    auto cut = [=, this](std::set<std::string> one_side, std::set<std::string> other_side) {
      during(
          time_s, for_s, [=, this] { cluster_.partition_network(one_side, other_side, mode); },
          [this] { cluster_.heal_network(); });
    };
    switch (pick(5)) {
      case 0:
        return cut(workers, {SimulatedCluster::any_address()});
      case 1:
        return cut({node}, {"state"});
      case 2:
        return cut({node}, {"state", "n0", "n1", "n2"});
      case 3:
        return during(
            time_s, for_s, [this] { cluster_.set_duplicate_heartbeats(true); },
            [this] { cluster_.set_duplicate_heartbeats(false); });
      default:
        return during(
            time_s, for_s,
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

std::pair<std::uint64_t, std::uint64_t> days() {
  std::pair<std::uint64_t, std::uint64_t> range{1, 12};
  if (const char* asked = std::getenv("EIDERREEL_DAYS")) {
    const std::string text = asked;
    range = {std::stoull(text), std::stoull(text.substr(text.find('-') + 1))};
  }
  return range;
}

TEST(RandomDays, ViolateNoRule) {
  const auto [first, last] = days();
  for (std::uint64_t number = first; number <= last; ++number) {
    RandomDay day(number);
    day.play();
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
