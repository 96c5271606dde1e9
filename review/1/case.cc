// A pipeline of 1,400 jobs, with a deadline on its last job alone.
#include "../standin/cluster.h"

using namespace review;

int main(int argc, char** argv) {
  if (argc < 2) return 2;
  World world(argv[1]);
  constexpr int kJobs = 1400;
  constexpr unsigned kSeed = 15;
  constexpr double kSilenceS = 30;  // no answer for so long counts as a hang
  Settings settings;
  settings.teams = {{"mitra-team", 480, 1336}, {"tarif-team", 264, 800}, {"audit-team", 640, 1336}};
  settings.report_s = 4;
  settings.lease_s = 20;
  settings.list_lag_s = 3;
  settings.state = {200, 50, 8, 24};
  settings.memory_mb = 72;
  const MachineType node{"gudang-node", 64, 0, 256, 30};
  Cluster cluster(world, settings, {node});
  for (int i = 0; i < 6; ++i)
    cluster.add_machine("m-00000" + std::to_string(i), node, i % 2 ? "b" : "a");

  // The platform ends a controller that holds more memory than `memory_mb` and starts it again
  // after 4 s. This one is more patient: it allows twice as much.
  int ended_for_memory = 0, ended_by_itself = 0;
  double peak_mb = 0;
  const auto start_again = [&](std::size_t node) {
    world.after(4, [&cluster, node] { cluster.start(node); });
  };
  world.every(0.02, [&] {
    for (const std::size_t node : cluster.take_ended()) {
      ++ended_by_itself;
      start_again(node);
    }
    for (std::size_t node = 0; node < Cluster::kNodes; ++node) {
      const double mb = cluster.memory_mb(node);
      peak_mb = std::max(peak_mb, mb);
      if (mb <= 2 * settings.memory_mb) continue;
      world.record(format("controller n%zu holds %.0f MB of %.0f MB, the platform ends it", node,
                          mb, settings.memory_mb));
      ++ended_for_memory;
      cluster.kill(node);
      start_again(node);
    }
    return true;
  });
  cluster.start_all();
  if (!cluster.wait_until_ready(30)) return 2;

  // A service replica of another team, as a bystander.
  int replica_starts = 0, replica_ends = 0, leases_over = 0;
  cluster.context.watcher.started = [&](Worker& worker, const Task& task) {
    world.record("start " + task.shard + " on " + worker.host);
    if (task.job == "run-000001") ++replica_starts;
  };
  cluster.context.watcher.ended = [&](Worker& worker, const Task& task) {
    world.record("end " + task.shard + " on " + worker.host + " " + task.cause);
    if (task.job == "run-000001") ++replica_ends;
  };
  cluster.context.watcher.lease_over = [&](Worker&) { ++leases_over; };
  std::map<std::string, int> accepted;
  const auto submit = [&](const JobBody& job, double run_s) {
    cluster.context.jobs[job.id] = job.info(run_s);
    bool answered = false;
    cluster.submit(job.id, job.text(), accepted.size() % Cluster::kNodes, [&](int status) {
      accepted[job.id] = status;
      answered = true;
    });
    return world.run_until(world.now() + 6, [&] { return answered; });
  };
  JobBody desk;
  desk.id = "run-000001";
  desk.team = "tarif-team";
  desk.shape = "daemon";
  desk.rank = "production";
  desk.cores = 4;
  desk.mem_gb = 10;
  desk.guess_s = 0;
  if (!submit(desk, 0) || !world.run_until(world.now() + 10, [&] { return replica_starts > 0; }))
    return 2;

  // The pipeline: each job needs the four before it. Ids come in no order. The estimates are 10 to
  // 120 s. Each job is submitted as soon as those that it needs are accepted; the first one runs
  // for as long as the case does, so the others wait.
  std::mt19937 order(kSeed);
  std::vector<int> number(kJobs + 1), guess_s(kJobs + 1);
  for (int i = 0; i <= kJobs; ++i) number[i] = 100000 + i;
  for (int i = kJobs; i > 0; --i) std::swap(number[i], number[order() % (i + 1)]);
  for (int& estimate : guess_s) estimate = 10 + static_cast<int>(order() % 111);
  JobBody job;
  job.team = "mitra-team";
  const bool with_deadline = trouble();
  for (int i = 0; i <= kJobs; ++i) {
    job.id = format("run-%06d", number[i]);
    job.guess_s = guess_s[i];
    job.awaits.clear();
    for (int before = std::max(0, i - 4); before < i; ++before)
      job.awaits += format("%s\"run-%06d\"", job.awaits.empty() ? "" : ",", number[before]);
    if (i == kJobs) break;
    if (!submit(job, i == 0 ? 200 : 2)) return 2;
  }
  world.record(with_deadline ? "the last job of the pipeline has a deadline"
                             : "the last job of the pipeline has no deadline");
  job.rank = "high";
  job.due_s = with_deadline ? "36000.0" : "null";
  cluster.context.jobs[job.id] = job.info(2);
  cluster.submit(job.id, job.text(), 0, [&](int status) { accepted[job.id] = status; });
  const double submitted = world.now();

  // A user asks about the bystander at every controller, again and again.
  double last_answer = submitted, longest_silence = 0;
  int asked = 0, answered = 0;
  world.every(1, [&] {
    for (std::size_t node = 0; node < Cluster::kNodes; ++node) {
      ++asked;
      cluster.poll("run-000001", node, [&](const Answer& answer) {
        if (answer.status != 200) return;
        ++answered;
        last_answer = world.now();
      });
    }
    return true;
  });
  world.run_until(std::min(submitted + 45, 115.0), [&] {
    longest_silence = std::max(longest_silence, world.now() - last_answer);
    return false;
  });
  world.record(
      format("asked %d, answered %d, longest time without any answer %.1f s; ended for memory %d, "
             "by itself %d; "
             "peak %.0f MB; leases over %d; replica started %d, ended %d",
             asked, answered, longest_silence, ended_for_memory, ended_by_itself, peak_mb,
             leases_over, replica_starts, replica_ends));
  if (world.now() - submitted < 15) return 2;  // too slow a machine to tell
  const bool broken = longest_silence >= kSilenceS || ended_for_memory > 0 || ended_by_itself > 0;
  world.record(broken ? "BROKEN" : "HELD");
  return broken ? 1 : 0;
}
