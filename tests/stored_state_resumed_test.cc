// A cluster that starts from state stored by the source from before a renaming continues the stored
// jobs; stored_state_test.cc tests the stored values themselves.
#include <gtest/gtest.h>

#include <algorithm>

#include "fixtures/stored_state.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

const char kStoredValuesFile[] = EIDERREEL_SOURCE_DIR "/tests/fixtures/state_store.json";

// Whether a job is among the last prerequisites to finish, whose tasks run for kPrerequisiteS.
bool is_last_prerequisite(const std::string& id) {
  return id == "run-101" || id == long_ids().back();
}
constexpr double kPrerequisiteS = 40, kBeforePrerequisiteEndsS = 35;
constexpr double kResubmittedS = 2;       // no partition has a leader yet
constexpr double kLeadersElectedS = 3.9;  // all partitions have a leader; no machine has moved yet
constexpr double kAllDoneS = 120;

// A cluster that starts from the stored state, without the records whose leases have expired.
class ResumedCluster : public UpgradeCluster {
 public:
  ResumedCluster() : UpgradeCluster(resumed_run_options()) {
    for (const auto& [key, value] : read_stored_values(kStoredValuesFile))
      if (!has_prefix(key, "e/part/") && !has_prefix(key, "e/node/")) put_stored_value(key, value);
    for (const auto& jobs_of_run : {jobs_of_first_run(), jobs_of_second_run()})
      for (const StoredJob& job : jobs_of_run) submit_again(job);
    checker().on_submission(done_job());
    report_done(done_job().id, {0, 1});
    checker().on_submission(cancelled_job());
    checker().on_cancel_request(cancelled_job().id);
    checker().on_submission(job_with_every_field());
  }

  const std::vector<StoredJob>& open_jobs() const { return open_jobs_; }
  void poll(const std::string& id) {
    poll_once(0, id, [](int status, const std::string&) { EXPECT_EQ(status, 200); });
  }
  // The partition of each machine, from the leaders' memory.
  std::map<std::string, int> machines_owned() {
    std::map<std::string, int> machines;
    for (int i = 0; i < stored_run_options().nodes; ++i)
      for (const auto& [partition, core] : node(i)->partition_leader().partitions())
        for (const std::string& name : core->machine_names()) machines[name] = partition;
    return machines;
  }
  // The started tasks of each job, sorted; a task appears once per start.
  std::map<std::string, std::vector<std::uint32_t>> started() const {
    static const std::string runs = " runs ";
    std::map<std::string, std::vector<std::uint32_t>> tasks;
    for (const std::string& line : trace()) {
      const auto at = line.find(runs), slash = line.rfind('/');
      if (at == std::string::npos) continue;
      const auto job = at + runs.size();
      tasks[line.substr(job, slash - job)].push_back(
          static_cast<std::uint32_t>(std::stoul(line.substr(slash + 1))));
    }
    for (auto& [job, started] : tasks) std::ranges::sort(started);
    return tasks;
  }

 private:
  static Options resumed_run_options() {
    Options options = stored_run_options();
    options.upgrades = enabled_upgrades();
    return options;
  }
  // Users repeat their submissions, which gives the simulated workers the run times. A task that is
  // recorded as done would never end if it were started again.
  void submit_again(const StoredJob& job) {
    const double run_s = is_last_prerequisite(job.spec.id) ? kPrerequisiteS : 1;
    set_run_s(job.spec.id, job.run_times(kNeverEndsS, run_s));
    checker().on_submission(job.spec);
    at(kResubmittedS, [this, spec = job.spec] { submit(spec); });
    report_done(job.spec.id, job.done);
    open_jobs_.push_back(job);
  }
  void report_done(const std::string& id, const std::vector<std::uint32_t>& tasks) {
    for (const std::uint32_t task : tasks) checker().on_task_done(0, id, task);
  }

  std::vector<StoredJob> open_jobs_;
};

class StoredStateResumed : public testing::Test {
 protected:
  void run_to_end() {
    cluster_.run_until(kAllDoneS);
    for (const auto& id : {stored_service().id, job_with_every_field().id}) cluster_.cancel(id);
    for (const auto& id : {done_job().id, cancelled_job().id}) cluster_.poll(id);
    cluster_.run_until(kAllDoneS + 20);
    expect_rules_kept(cluster_);
  }

  ResumedCluster cluster_;
};

TEST_F(StoredStateResumed, OpenJobsAreRecovered) {
  std::vector<int> submissions, polls;  // statuses of their answers
  for (const StoredJob& job : cluster_.open_jobs()) {
    cluster_.at(kResubmittedS / 2, [&] {
      cluster_.send_request(0, "POST", "/v1/jobs", submission_text(job.spec),
                            [&](int status, const std::string&) { submissions.push_back(status); });
    });
    cluster_.at(kLeadersElectedS, [&] {
      cluster_.poll_once(0, job.spec.id,
                         [&](int status, const std::string&) { polls.push_back(status); });
    });
  }
  cluster_.run_until(kLeadersElectedS + 1);
  const std::vector<int> all_known(cluster_.open_jobs().size(),
                                   200);  // 201 would mean accepted as a new job
  EXPECT_EQ(submissions, all_known);
  EXPECT_EQ(polls, all_known);
}

TEST_F(StoredStateResumed, OnlyUnfinishedTasksOfOpenJobsRun) {
  run_to_end();
  const auto started = cluster_.started();
  for (const StoredJob& job : cluster_.open_jobs()) {
    const std::string& id = job.spec.id;
    const std::set<std::uint32_t> done(job.done.begin(), job.done.end());
    const auto missing =
        tasks_where(job.spec.tasks, [&](std::uint32_t task) { return done.count(task) == 0; });
    ASSERT_TRUE(started.count(id)) << id;
    EXPECT_EQ(started.at(id), missing) << id;
    EXPECT_EQ(cluster_.phase(id), job.spec.kind == JobKind::service ? "cancelled" : "done") << id;
  }
}

TEST_F(StoredStateResumed, BlockedJobsWaitForTheirPrerequisites) {
  cluster_.run_until(kBeforePrerequisiteEndsS);
  for (const std::string id : {"run-104", "run-105"}) {
    EXPECT_EQ(cluster_.phase(id), "queued") << id;
    EXPECT_FALSE(cluster_.started().count(id)) << id;
  }
  EXPECT_EQ(cluster_.phase("run-102"), "done");
  EXPECT_EQ(cluster_.tasks_on(stored_service().id), stored_service().tasks);
  run_to_end();
  for (const std::string id : {"run-104", "run-105"}) EXPECT_EQ(cluster_.phase(id), "done") << id;
}

TEST_F(StoredStateResumed, FinalPhasesAreReturnedAndJobKeysAreDeleted) {
  run_to_end();
  EXPECT_EQ(cluster_.phase(done_job().id), "done");
  EXPECT_EQ(cluster_.phase(cancelled_job().id), "cancelled");
  EXPECT_EQ(cluster_.phase(job_with_every_field().id),
            "cancelled");  // recovered, but fits no machine
  for (const char* prefix : {"e/job/", "e/awaits/", "d/"})
    EXPECT_EQ(cluster_.count_keys(prefix), 0u);
}

TEST_F(StoredStateResumed, MachinesKeepTheirPartitionsAndTheReleasedOneIsReturned) {
  cluster_.run_until(kLeadersElectedS);
  EXPECT_EQ(cluster_.machines_owned(), (std::map<std::string, int>{{machine_id(0), 0},
                                                                   {machine_id(1), 1},
                                                                   {machine_id(2), 0},
                                                                   {machine_id(3), 1},
                                                                   {machine_id(4), 0},
                                                                   {machine_id(5), 1},
                                                                   {machine_id(6), 2},
                                                                   {machine_id(7), 0},
                                                                   {kSpotMachine, 1}}));
  EXPECT_EQ(cluster_.count_trace_lines(std::string(kReleasedMachine) + " is returned"), 1u);
  EXPECT_EQ(cluster_.stored_value(codec::machine_key(kReleasedMachine)), nullptr);
  run_to_end();
  EXPECT_EQ(cluster_.stored_value(codec::machine_key(kSpotMachine)),
            nullptr);  // terminated before the restart
}

TEST_F(StoredStateResumed, ControllersRunAtTheStoredClusterVersion) {
  run_to_end();
  for (int node = 0; node < 3; ++node) EXPECT_EQ(cluster_.acting(node), 2u);
  EXPECT_EQ(cluster_.cluster_version(), 2u);
  EXPECT_EQ(cluster_.version_checker().progress_writes(false), 0u);
  EXPECT_GT(cluster_.version_checker().progress_writes(true), 0u);
}

}  // namespace
