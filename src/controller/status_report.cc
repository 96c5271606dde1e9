// The status report: this node, all partitions, and the first few jobs that wait for others.
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

void put(Writer& writer, const char* key, const std::string& value) {
  writer.Key(key);
  writer.String(value.c_str());
}

void put_number(Writer& writer, const char* key, double value) {
  writer.Key(key);
  writer.Double(value);
}

void put_count(Writer& writer, const char* key, std::uint64_t value) {
  writer.Key(key);
  writer.Uint64(value);
}

void put_node(Writer& writer, const Controller& controller) {
  const ClusterView& view = controller.state_store().view();
  put(writer, "node", controller.settings().node);
  writer.Key("ready");
  writer.Bool(controller.job_api().ready());
  if (controller.settings().upgrade.enabled)
    put(writer, "stands_aside", controller.state_store().standby_reason());
  put_count(writer, "open_jobs", view.jobs.size());
  put_count(writer, "waiting_jobs", static_cast<std::uint64_t>(view.dependencies.waiting_count()));
  put_count(writer, "machines", view.machines.size());
  put_count(writer, "resident_bytes", resident_bytes());
}

void put_load(Writer& writer, const PartitionLoad& load) {
  put_number(writer, "waiting_cpus", load.waiting_cpus);
  put_number(writer, "used_cpus", load.used_cpus);
  put_number(writer, "total_cpus", load.total_cpus);
  put_count(writer, "idle_machines", load.idle_machines);
}

void put_tasks(Writer& writer, const PartitionScheduler::TaskCounts& counts) {
  put_count(writer, "jobs", counts.jobs_queued + counts.jobs_running);
  put_count(writer, "queued_tasks", counts.queued);
  put_count(writer, "running_tasks", counts.running);
}

void put_partitions(Writer& writer, const Controller& controller) {
  const ClusterView& view = controller.state_store().view();
  const auto loads = controller.partition_leader().partition_loads();
  const auto led_here = controller.partition_leader().partitions();
  writer.Key("parts");
  writer.StartArray();
  for (int i = 0; i < controller.settings().partition_count; ++i) {
    writer.StartObject();
    put_count(writer, "part", static_cast<std::uint64_t>(i));
    const auto entry = view.partitions.find(i);
    const bool is_vacant = entry == view.partitions.end();
    put(writer, "owner", is_vacant ? "" : entry->second.leader);
    put_count(writer, "term", is_vacant ? 0 : entry->second.revision);
    if (const auto load = loads.find(i); load != loads.end()) put_load(writer, load->second);
    if (const auto led = led_here.find(i); led != led_here.end())
      put_tasks(writer, led->second->task_counts());
    writer.EndObject();
  }
  writer.EndArray();
}

void put_waiting_jobs(Writer& writer, const DependencyGraph& dependencies) {
  writer.Key("waiting");
  writer.StartArray();
  for (const auto& id : dependencies.waiting_jobs(k::kMaxStatusWaitingJobs)) {
    writer.StartObject();
    put(writer, "job", id);
    put_count(writer, "prerequisites", dependencies.prerequisite_count(id));
    writer.Key("first");
    writer.StartArray();
    for (const auto& first : dependencies.prerequisites_of(id, k::kMaxStatusPrerequisites))
      writer.String(first.c_str());
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
  put_node(writer, controller);
  put_partitions(writer, controller);
  put_waiting_jobs(writer, controller.state_store().view().dependencies);
  writer.EndObject();
  return buffer.GetString();
}

}  // namespace eiderreel
