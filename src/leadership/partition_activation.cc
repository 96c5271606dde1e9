// Activates partitions after their claim is committed: loads stored progress, machines and jobs.
#include "leadership/partition_activation.h"

#include <spdlog/spdlog.h>

namespace eiderreel {

namespace k = constants;

void PartitionActivation::set_types(const std::vector<MachineType>& types) {
  types_ = types;
  for (auto& [partition, led] : led_partitions_) led.scheduler->set_types(types_);
}

SchedulingPolicy PartitionActivation::scheduling_policy() const {
  return {static_cast<Ms>(settings_.lease_s * 1000),
          static_cast<Ms>(settings_.heartbeat_interval_s * 1000), settings_.completion_objectives,
          settings_.start_objectives_s, static_cast<Ms>(settings_.fair_share_start_s * 1000)};
}

void PartitionActivation::activate(const LeadershipTerm& term) {
  if (led_partitions_.contains(term.partition)) return;
  ++counters_.claims;
  spdlog::info("partition claimed partition={} fencing_token={} node={}", term.partition,
               term.fencing_token, settings_.node);
  LedPartition& led = led_partitions_.add(term.partition);
  led.scheduler =
      std::make_unique<PartitionScheduler>(term.partition, term.fencing_token, runtime_.now(),
                                           scheduling_policy(), settings_.teams_of(term.partition));
  led.scheduler->set_types(types_);
  // The view is complete once it contains this claim: after the claim, nothing in the partition
  // changes without this leader, except for new jobs and machines, which the view announces.
  state_store_.when_applied(term.fencing_token, [this, term] { load_progress(term); });
}

void PartitionActivation::load_progress(const LeadershipTerm& term) {
  if (!led_partitions_.find(term)) return;
  state_store_.list(codec::progress_prefix(term.partition), [this, term](const auto& rows) {
    LedPartition* led = led_partitions_.find(term);
    if (!led) return;
    if (!rows) {
      runtime_.after(k::kRetryDelayMs, [this, term] { load_progress(term); });
      return;
    }
    complete_activation(*led, parse_progress(*led, *rows));
  });
}

PartitionActivation::DoneTasks PartitionActivation::parse_progress(
    LedPartition& led, const std::vector<codec::StateRow>& rows) const {
  const auto& jobs = state_store_.view().jobs;
  DoneTasks done;
  for (const auto& row : rows) {
    const std::string job = codec::progress_key_job(row.key);
    // Progress is written only under a claim, so this row was written under an earlier one for a
    // job accepted before the current claim. If that job is not open, it is final.
    if (!jobs.contains(job)) {
      led.garbage_keys.push_back(row.key);
      continue;
    }
    upgrade::StoredProgress& stored = led.persistence[job].progress[row.key];
    stored = upgrade::stored_progress(row);
    if (stored.unreadable) {
      spdlog::error("stored progress unreadable, its tasks may run again key={}", row.key);
      continue;
    }
    std::vector<std::uint32_t>& tasks = done[job];
    tasks.insert(tasks.end(), row.progress->tasks.begin(), row.progress->tasks.end());
  }
  return done;
}

void PartitionActivation::complete_activation(LedPartition& led, const DoneTasks& done) {
  const ClusterView& view = state_store_.view();
  const auto [partition, fencing_token] = led.term();
  const Ms now = runtime_.now();
  for (const auto& [machine, entry] : view.machines)
    if (entry.record.partition == partition)
      led.scheduler->add_machine(machine, entry.revision, entry.revision > fencing_token, now);
  for (const auto& [job, entry] : view.jobs) {
    if (settings_.partition_of_team(entry.spec.team) != partition ||
        view.dependencies.is_blocked(job))
      continue;
    const auto recorded = done.find(job);
    jobs_.open(led, job, recorded == done.end() ? std::vector<std::uint32_t>{} : recorded->second);
  }
  led.active = true;
  spdlog::info("partition active partition={} fencing_token={} jobs={} machines={}", partition,
               fencing_token, led.scheduler->job_count(), led.scheduler->machine_names().size());
}

}  // namespace eiderreel
