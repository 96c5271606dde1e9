// A service that may not run on spot machines loses its machine. The other ordinary machines have
// room for it, beside services of other teams; the spot machines are idle.
#include "../standin/cluster.h"

using namespace review;

int main(int argc, char** argv) {
  if (argc < 2) return 2;
  World world(argv[1]);
  constexpr double kLongestWaitS = 90;
  Settings settings;
  settings.report_s = 1.5;
  settings.lease_s = 10.75;
  settings.cancel_s = 40.75;
  settings.state = {180, 60, 8, 16};
  settings.teams = {{"crew-0", 136, 400}, {"crew-1", 136, 400}, {"crew-2", 136, 400}};
  const MachineType skiff{"skiff-box", 16, 0, 128, 15};
  Cluster cluster(world, settings, {skiff});
  for (int i = 0; i < 7; ++i)
    cluster.add_machine("m-00000" + std::to_string(i), skiff, i % 2 ? "b" : "a", i >= 3);
  cluster.cloud.left = 10;  // of any type, kind and zone
  cluster.start_all();
  std::map<std::string, Worker*> where;
  cluster.context.watcher.started = [&](Worker& worker, const Task& task) {
    world.record("start " + task.shard + " on " + worker.host + " (" +
                 (worker.spot ? "spot" : "ordinary") + ")");
    where[task.job] = &worker;
  };
  cluster.context.watcher.ended = [&](Worker& worker, const Task& task) {
    world.record("end " + task.shard + " on " + worker.host + " " + task.cause);
    where.erase(task.job);
  };
  const auto submit = [&](const JobBody& job) {
    cluster.context.jobs[job.id] = job.info(0);
    cluster.submit(job.id, job.text(), 0, [](int) {});
  };
  JobBody job;
  job.shape = "daemon";
  job.rank = "production";
  job.cores = 4;
  job.guess_s = 0;
  job.mem_gb = 10;
  for (int i = 0; i < 3; ++i) {
    job.id = "run-00000" + std::to_string(i + 1);
    job.team = "crew-" + std::to_string(i);
    submit(job);
  }
  std::set<std::string> served;  // machines that got 200 for a report
  cluster.context.watcher.answered = [&](Worker& worker, int status, std::size_t) {
    if (status == 200) served.insert(worker.host);
  };
  if (!world.run_until(17, [&] { return where.size() == 3 && served.size() == 7; })) return 2;
  world.run_for(0.5);

  if (trouble()) where["run-000001"]->die();
  // By then the controllers can know that the machine has ended its tasks: its lease is over.
  const double known = world.now() + settings.lease_s;
  world.every(5, [&] {
    cluster.poll("run-000001", 1, [](const Answer&) {});
    return true;
  });
  double waited = 0;
  world.run_until(std::min(known + kLongestWaitS + 0.2, 118.5), [&] {
    const Worker* other = where.count("run-000002") ? where["run-000002"] : nullptr;
    if (!other || other->gone()) return true;
    // Without the disruption the service is watched for the whole time.
    if (where.count("run-000001")) return trouble();
    waited = world.now() - known;
    return false;
  });
  if (trouble() && !where.count("run-000001") && waited < kLongestWaitS) return 2;
  const bool broken = waited >= kLongestWaitS;
  for (const auto& worker : cluster.workers) {
    if (worker->gone()) continue;
    double cores = 0, mem_gb = 0;
    worker->for_each_present([&](const Task& task) {
      cores += cluster.context.jobs.at(task.job).cores;
      mem_gb += cluster.context.jobs.at(task.job).mem_gb;
    });
    world.record(format("%s (%s): %.0f of 16 cores and %.0f of 128 GB free", worker->host.c_str(),
                        worker->spot ? "spot" : "ordinary", 16 - cores, 128 - mem_gb));
  }
  world.record(
      format("run-000001 waited %.1f s (limit %.0f s); machines were asked of the cloud %d times",
             waited, kLongestWaitS, cluster.cloud.asked));
  world.record(broken ? "BROKEN" : "HELD");
  return broken ? 1 : 0;
}
