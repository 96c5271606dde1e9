#include "controller/metrics.h"

#include <fmt/format.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <unistd.h>

#include <cstdio>
#include <map>

#include "controller/controller.h"

namespace eiderreel {
namespace {

namespace k = constants;

std::size_t resident_bytes() {
  std::size_t pages = 0;
  if (std::FILE* f = std::fopen("/proc/self/statm", "r")) {
    if (std::fscanf(f, "%*u %zu", &pages) != 1) pages = 0;
    std::fclose(f);
  }
  return pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

class Text {
 public:
  void type(const char* name, const char* kind, const char* help) {
    out_ += fmt::format("# HELP eiderreel_{0} {2}\n# TYPE eiderreel_{0} {1}\n", name, kind, help);
  }
  template <class V>
  void value(const char* name, const std::string& labels, V v) {
    out_ += fmt::format("eiderreel_{}{} {}\n", name, labels.empty() ? "" : "{" + labels + "}", v);
  }
  void by_status(const char* name, const char* help, const std::map<int, std::uint64_t>& counts,
                 const std::string& labels = "") {
    type(name, "counter", help);
    status_lines(name, counts, labels);
  }
  void status_lines(const char* name, const std::map<int, std::uint64_t>& counts,
                    const std::string& labels) {
    for (const auto& [status, n] : counts)
      value(name, labels + (labels.empty() ? "" : ",") + fmt::format("status=\"{}\"", status), n);
  }
  std::string& out() { return out_; }

 private:
  std::string out_;
};

void put_version(Text& t, const Controller& controller) {
  const StateStoreClient& state_store = controller.state_store();
  t.type("acting_version", "gauge", "cluster version that this node acts under, 0: none");
  const bool acts = state_store.acting_version().record_revision() != 0;
  t.value("acting_version", "", acts ? upgrade::number(state_store.acting_version().version()) : 0);
  const auto conversion = controller.partition_leader().conversion().value_or(ConversionProgress{});
  t.type("progress_values_left", "gauge", "values still to be converted, of partitions led here");
  t.value("progress_values_left", "", conversion.values_left);
  t.type("progress_values_converted_total", "counter", "values converted by this process");
  t.value("progress_values_converted_total", "", conversion.values_converted);
  t.type("progress_values_unreadable", "gauge", "values in no known form, of partitions led here");
  t.value("progress_values_unreadable", "", conversion.unreadable);
}

// The first few jobs that wait for others, and what for.
void put_waiting(rapidjson::Writer<rapidjson::StringBuffer>& w, const ClusterView& v) {
  w.Key("waiting");
  w.StartArray();
  for (const auto& id : v.dependencies.waiting(k::kStatusWaiting)) {
    w.StartObject();
    w.Key("job");
    w.String(id.c_str());
    w.Key("prerequisites");
    w.Uint64(v.dependencies.prerequisite_count(id));
    w.Key("first");
    w.StartArray();
    for (const auto& first : v.dependencies.prerequisites_of(id, k::kStatusPrerequisites))
      w.String(first.c_str());
    w.EndArray();
    w.EndObject();
  }
  w.EndArray();
}

}  // namespace

std::string metrics_text(const Controller& controller) {
  Text t;
  const ClusterView& v = controller.state_store().view();
  t.type("ready", "gauge", "1 when this node serves users");
  t.value("ready", "", controller.job_api().ready() ? 1 : 0);
  if (controller.settings().upgrade.enabled) put_version(t, controller);
  t.type("open_jobs", "gauge", "accepted jobs that are not final, of all partitions");
  t.value("open_jobs", "", v.jobs.size());
  t.type("waiting_jobs", "gauge", "open jobs that wait for other jobs, of all partitions");
  t.value("waiting_jobs", "", v.dependencies.waiting_count());
  t.type("cancelled_by_prerequisite", "gauge",
         "open jobs whose final record is still to be written");
  t.value("cancelled_by_prerequisite", "", v.dependencies.all_cancelled().size());
  t.type("unresolved_prerequisites", "gauge", "prerequisites whose end is still to be read");
  t.value("unresolved_prerequisites", "", controller.state_store().replica().unresolved().size());
  t.type("machines", "gauge", "machines assigned to a partition, of all partitions");
  t.value("machines", "", v.machines.size());
  t.type("partition_fencing_token", "gauge", "fencing token of each partition led here");
  for (const auto& [partition, p] : controller.partition_leader().partitions())
    t.value("partition_fencing_token", fmt::format("partition=\"{}\"", partition),
            p->fencing_token());
  t.type("partition_jobs", "gauge", "open jobs of each partition led here, by phase");
  for (const auto& [partition, p] : controller.partition_leader().partitions()) {
    const auto c = p->task_counts();
    t.value("partition_jobs", fmt::format("partition=\"{}\",phase=\"queued\"", partition),
            c.jobs_queued);
    t.value("partition_jobs", fmt::format("partition=\"{}\",phase=\"running\"", partition),
            c.jobs_running);
  }
  t.type("partition_tasks", "gauge", "tasks of open jobs of each partition led here, by state");
  for (const auto& [partition, p] : controller.partition_leader().partitions()) {
    const auto c = p->task_counts();
    t.value("partition_tasks", fmt::format("partition=\"{}\",state=\"queued\"", partition),
            c.queued);
    t.value("partition_tasks", fmt::format("partition=\"{}\",state=\"bound\"", partition), c.bound);
    t.value("partition_tasks", fmt::format("partition=\"{}\",state=\"running\"", partition),
            c.running);
    t.value("partition_tasks", fmt::format("partition=\"{}\",state=\"done\"", partition), c.done);
  }
  const auto& o = controller.partition_leader().counters();
  auto counter = [&](const char* name, const char* help, std::uint64_t n) {
    t.type(name, "counter", help);
    t.value(name, "", n);
  };
  counter("task_starts_total", "starts sent in replies to heartbeats", o.starts);
  counter("preemptions_total", "tasks stopped to make room", o.preemptions);
  counter("partition_claims_total", "partitions claimed", o.claims);
  counter("failbacks_total", "partitions given back to their preferred leader", o.failbacks);
  counter("heartbeats_total", "heartbeats received", o.reports);
  counter("stale_heartbeats_total", "heartbeats late, repeated or under a higher fencing token",
          o.stale_heartbeats);
  counter("deferred_heartbeats_total", "heartbeats whose reply waited for work", o.deferred);
  counter("lease_expiries_total", "machines whose lease expired", o.lease_expiries);
  counter("machines_provisioned_total", "machines provisioned",
          controller.fleet().provisioned_count());
  counter("machines_terminated_total", "machines terminated",
          controller.fleet().terminated_count());
  t.by_status("state_store_requests_total", "requests to the state store by status, 0: no answer",
              controller.state_store().counters().replies);
  counter("state_store_throttled_total",
          "requests over this node's share of the state store's limits",
          controller.state_store().counters().refused_here);
  t.by_status("cloud_requests_total", "requests to the cloud by status, 0: no answer",
              controller.fleet().cloud().replies());
  const auto& d = controller.job_api().counters();
  t.by_status("user_requests_total", "answers to users by kind and status", d.submits,
              "kind=\"submit\"");
  t.status_lines("user_requests_total", d.polls, "kind=\"poll\"");
  t.status_lines("user_requests_total", d.cancels, "kind=\"cancel\"");
  t.type("user_latency_seconds", "histogram", "from a user's request to its answer");
  t.out() += d.submit_latency.text("user_latency_seconds", "kind=\"submit\"");
  t.out() += d.poll_latency.text("user_latency_seconds", "kind=\"poll\"");
  t.out() += d.cancel_latency.text("user_latency_seconds", "kind=\"cancel\"");
  t.type("resident_bytes", "gauge", "memory held by the process");
  t.value("resident_bytes", "", resident_bytes());
  return t.out();
}

std::string status_json(const Controller& controller) {
  rapidjson::StringBuffer b;
  rapidjson::Writer<rapidjson::StringBuffer> w(b);
  const ClusterView& v = controller.state_store().view();
  auto number = [&](const char* key, double n) {
    w.Key(key);
    w.Double(n);
  };
  auto count = [&](const char* key, std::uint64_t n) {
    w.Key(key);
    w.Uint64(n);
  };
  w.StartObject();
  w.Key("node");
  w.String(controller.settings().node.c_str());
  w.Key("ready");
  w.Bool(controller.job_api().ready());
  if (controller.settings().upgrade.enabled) {
    w.Key("stands_aside");
    w.String(controller.state_store().standby_reason().c_str());
  }
  count("open_jobs", v.jobs.size());
  count("waiting_jobs", static_cast<std::uint64_t>(v.dependencies.waiting_count()));
  count("machines", v.machines.size());
  count("resident_bytes", resident_bytes());
  w.Key("parts");
  w.StartArray();
  const auto partition_loads = controller.partition_leader().partition_loads();
  const auto own = controller.partition_leader().partitions();
  for (int partition = 0; partition < controller.settings().partition_count; ++partition) {
    w.StartObject();
    count("part", static_cast<std::uint64_t>(partition));
    auto entry = v.partitions.find(partition);
    w.Key("owner");
    w.String(entry == v.partitions.end() ? "" : entry->second.leader.c_str());
    count("term", entry == v.partitions.end() ? 0 : entry->second.revision);
    if (auto n = partition_loads.find(partition); n != partition_loads.end()) {
      number("waiting_cpus", n->second.waiting_cpus);
      number("used_cpus", n->second.used_cpus);
      number("total_cpus", n->second.total_cpus);
      count("idle_machines", n->second.idle_machines);
    }
    if (auto p = own.find(partition); p != own.end()) {
      const auto c = p->second->task_counts();
      count("jobs", c.jobs_queued + c.jobs_running);
      count("queued_tasks", c.queued);
      count("running_tasks", c.running);
    }
    w.EndObject();
  }
  w.EndArray();
  put_waiting(w, v);
  w.EndObject();
  return b.GetString();
}

}  // namespace eiderreel
