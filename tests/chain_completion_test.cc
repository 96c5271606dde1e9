// A job must run to completion when its last prerequisite is done at about the time of a fault.
#include "standin/chains.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

enum class Fault { leader_crashes, dependents_leader_crashes, outage, all_crash, failback };

std::string fault_name(Fault fault) {
  switch (fault) {
    case Fault::leader_crashes:
      return "LeaderCrashes";
    case Fault::dependents_leader_crashes:
      return "LeaderOfDependentsCrashes";
    case Fault::outage:
      return "StateStoreOutage";
    case Fault::all_crash:
      return "AllControllersCrash";
    case Fault::failback:
      return "Failback";
  }
  return "";
}

class ChainCompletion : public testing::TestWithParam<std::tuple<Fault, std::uint64_t>> {};

// run-1, the prerequisite of run-2, is done within about a second of the fault, which is injected
// at offsets of 0.25 s. Completions within 1.5 s of the fault count as coinciding.
TEST_P(ChainCompletion, CoincidesWithAFault) {
  const auto [fault, seed] = GetParam();
  std::size_t coinciding = 0;
  for (int offset = 0; offset < 6; ++offset) {
    SimulatedCluster cluster(options_with_seed(seed * 10 + static_cast<std::uint64_t>(offset)));
    double ready_at_s = -1;
    const double fault_at_s = 9.6 + 0.25 * offset;
    if (fault == Fault::failback)  // the failback is at about the time run-1 is done
      cluster.at(fault_at_s - 7.2, [&cluster] { cluster.crash(2, 2); });
    cluster.at(5, [&] { submit_pipeline(cluster, 5); });
    cluster.at(fault_at_s, [&cluster, fault = fault] {
      const int leader = cluster.leader_of(fault == Fault::leader_crashes ? 0 : 1);
      if (fault == Fault::leader_crashes || fault == Fault::dependents_leader_crashes)
        cluster.crash(std::max(leader, 0), 4);
      if (fault == Fault::all_crash)
        for (int n = 0; n < 3; ++n) cluster.crash(n, 1 + n);
      if (fault == Fault::outage) cluster.set_store_outage(true);
    });
    if (fault == Fault::outage)
      cluster.at(fault_at_s + 12, [&cluster] { cluster.set_store_outage(false); });
    for (double time_s = 9; time_s < 40; time_s += 0.05)
      cluster.at(time_s, [&] {
        if (ready_at_s < 0 && cluster.checker().prerequisites_done("run-2"))
          ready_at_s = cluster.now();
      });
    cluster.run_until(100);
    coinciding += ready_at_s > 0 && std::abs(ready_at_s - fault_at_s) < 1.5;
    expect_phase(cluster, {"run-1", "run-2", "run-3"}, "done");
    expect_rules_kept(cluster, std::to_string(offset));
  }
  EXPECT_GE(coinciding, 2u);
}

INSTANTIATE_TEST_SUITE_P(
    Faults, ChainCompletion,
    testing::Combine(testing::Values(Fault::leader_crashes, Fault::dependents_leader_crashes,
                                     Fault::outage, Fault::all_crash, Fault::failback),
                     testing::Values(1, 2, 3)),
    [](const auto& info) {
      return fault_name(std::get<0>(info.param)) + "Seed" + std::to_string(std::get<1>(info.param));
    });

}  // namespace
