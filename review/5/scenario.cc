// The protocol's limit of a line in a response to a worker, at the deployment jelajah-roam-core: an
// array of small tasks on machines of 64 CPUs.
#include "../standin-2/world.h"

using namespace world;

int main(int argc, char** argv) {
  const Setup setup = set_up(argc, argv);
  Deployment d;
  d.zones = {"cikarang", "surabaya"};
  d.types = {{"gudang-node", 64, 0, 256, 4.26, 1.09, 30}};
  d.teams = {{"tarif-team", 264, 800}, {"mitra-team", 480, 1336}, {"audit-team", 640, 1336}};
  d.report_s = 3;
  d.lease_s = 20;
  d.state = {200, 50, 8, 24};
  d.list_lag_s = 3;
  World world(d, setup.command, setup.directory);
  for (int i = 0; i < 3; ++i)
    world.add_machine("gudang-node", d.zones[static_cast<std::size_t>(i % 2)], false, 0);
  world.start_all();
  world.run_until(25000, [&] { return world.ready(3); });
  if (!world.ready(3)) return finish(world, 2, "the controllers did not become ready");

  // 6,000 tasks of 0.05 CPUs; without the trouble 300 tasks of 1 CPU: as much work.
  Job job;
  job.id = "run-000001";
  job.team = "mitra-team";
  job.jobclass = "tap-ingest";
  job.shards = with_trouble() ? 6000 : 300;
  job.cores = with_trouble() ? 0.05 : 1;
  job.mem_gb = 0.1;
  job.run_s = 10;
  world.submit(job);
  const Job& kept = world.jobs[job.id];
  world.run_until(now() + 20000, [&] { return kept.accepted; });
  if (!kept.accepted) return finish(world, 2, "the job was not accepted");
  world.run_until(now() + 80000, [&] { return static_cast<int>(kept.done.size()) == kept.shards; });
  say("responses with a line over 64 KiB: %d; the longest report had %zu bytes", world.long_lines,
      world.longest_report);
  say("%d tasks started, %zu of %d done", kept.starts, kept.done.size(), kept.shards);
  if (world.longest_report > 65536) return finish(world, 2, "a report was over 64 KiB");
  if (world.long_lines > 0)
    return finish(world, 1,
                  "line limit: " + std::to_string(world.long_lines) +
                      " responses with a line over 64 KiB, " + std::to_string(kept.done.size()) +
                      " of " + std::to_string(kept.shards) + " tasks done after 80 s");
  const bool done = static_cast<int>(kept.done.size()) == kept.shards;
  return finish(world, done ? 0 : 2,
                "no long line, " + std::to_string(kept.done.size()) + " tasks done");
}
