// The JSON of /status: this node, all partitions, and the first few jobs that wait for
// prerequisites.
#include "controller/status_report.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstdint>

#include "controller/controller.h"
#include "observability/process_memory.h"

namespace eiderreel {
namespace {

namespace k = constants;

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

void write_string(Writer& writer, const char* key, const std::string& value) {
  writer.Key(key);
  writer.String(value.c_str());
}

void write_double(Writer& writer, const char* key, double value) {
  writer.Key(key);
  writer.Double(value);
}

void write_count(Writer& writer, const char* key, std::uint64_t value) {
  writer.Key(key);
  writer.Uint64(value);
}

void write_node(Writer& writer, const Controller& controller) {
  const ClusterView& view = controller.state_store().view();
  write_string(writer, "node", controller.settings().node);
  writer.Key("ready");
  writer.Bool(controller.job_api().ready());
  if (controller.settings().upgrade.enabled)
    write_string(writer, "stands_aside", controller.state_store().standby_reason());
  write_count(writer, "open_jobs", view.jobs.size());
  write_count(writer, "waiting_jobs",
              static_cast<std::uint64_t>(view.dependencies.waiting_count()));
  write_count(writer, "machines", view.machines.size());
  write_count(writer, "resident_bytes", resident_bytes());
}

void write_load(Writer& writer, const PartitionLoad& load) {
  write_double(writer, "waiting_cpus", load.waiting_cpus);
  write_double(writer, "used_cpus", load.used_cpus);
  write_double(writer, "total_cpus", load.total_cpus);
  write_count(writer, "idle_machines", load.idle_machines);
}

void write_task_counts(Writer& writer, const PartitionScheduler::TaskCounts& counts) {
  write_count(writer, "jobs", counts.jobs_queued + counts.jobs_running);
  write_count(writer, "queued_tasks", counts.queued);
  write_count(writer, "running_tasks", counts.running);
}

void write_partitions(Writer& writer, const Controller& controller) {
  const ClusterView& view = controller.state_store().view();
  const auto loads = controller.partition_leader().partition_loads();
  const auto led_partitions = controller.partition_leader().partitions();
  writer.Key("parts");
  writer.StartArray();
  for (int i = 0; i < controller.settings().partition_count; ++i) {
    writer.StartObject();
    write_count(writer, "part", static_cast<std::uint64_t>(i));
    const auto entry = view.partitions.find(i);
    const bool is_vacant = entry == view.partitions.end();
    write_string(writer, "owner", is_vacant ? "" : entry->second.leader);
    write_count(writer, "term", is_vacant ? 0 : entry->second.revision);
    if (const auto load = loads.find(i); load != loads.end()) write_load(writer, load->second);
    if (const auto led = led_partitions.find(i); led != led_partitions.end())
      write_task_counts(writer, led->second->task_counts());
    writer.EndObject();
  }
  writer.EndArray();
}

void write_waiting_jobs(Writer& writer, const DependencyGraph& dependencies) {
  writer.Key("waiting");
  writer.StartArray();
  for (const auto& id : dependencies.waiting_jobs(k::kMaxStatusWaitingJobs)) {
    writer.StartObject();
    write_string(writer, "job", id);
    write_count(writer, "prerequisites", dependencies.prerequisite_count(id));
    writer.Key("first");
    writer.StartArray();
    for (const auto& prerequisite : dependencies.prerequisites_of(id, k::kMaxStatusPrerequisites))
      writer.String(prerequisite.c_str());
    writer.EndArray();
    writer.EndObject();
  }
  writer.EndArray();
}

}  // namespace

std::string status_json(const Controller& controller) {
  rapidjson::StringBuffer buffer;
  Writer writer(buffer);
  writer.StartObject();
  write_node(writer, controller);
  write_partitions(writer, controller);
  write_waiting_jobs(writer, controller.state_store().view().dependencies);
  writer.EndObject();
  return buffer.GetString();
}

}  // namespace eiderreel
