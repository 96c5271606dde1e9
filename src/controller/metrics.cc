// The metrics: one function for each group, in the order in which they are shown.
#include "controller/metrics.h"

#include <fmt/format.h>

#include <cstdint>
#include <map>

#include "controller/controller.h"
#include "observability/process_memory.h"

namespace eiderreel {
namespace {

// The text format of Prometheus. All names get the prefix `eiderreel_`.
class MetricsText {
 public:
  // What stands before the values of a metric.
  void type(const char* name, const char* kind, const char* help) {
    out_ += fmt::format("# HELP eiderreel_{0} {2}\n# TYPE eiderreel_{0} {1}\n", name, kind, help);
  }
  template <class Value>
  void value(const char* name, const std::string& labels, Value value) {
    const std::string braces = labels.empty() ? "" : "{" + labels + "}";
    out_ += fmt::format("eiderreel_{}{} {}\n", name, braces, value);
  }
  // A metric with a single value.
  template <class Value>
  void gauge(const char* name, const char* help, Value only_value) {
    type(name, "gauge", help);
    value(name, "", only_value);
  }
  void counter(const char* name, const char* help, std::uint64_t count) {
    type(name, "counter", help);
    value(name, "", count);
  }
  // The values of a counter by HTTP status.
  void by_status(const char* name, const std::map<int, std::uint64_t>& counts,
                 const std::string& labels = "") {
    const std::string before = labels.empty() ? "" : labels + ",";
    for (const auto& [status, count] : counts)
      value(name, before + fmt::format(R"(status="{}")", status), count);
  }
  void histogram(const char* name, const std::string& labels, const LatencyHistogram& latencies) {
    out_ += latencies.text(name, labels);
  }
  const std::string& text() const { return out_; }

 private:
  std::string out_;
};

void put_version(MetricsText& out, const Controller& controller) {
  const upgrade::ActingVersion& acting = controller.state_store().acting_version();
  const bool acts = acting.record_revision() != 0;
  out.gauge("acting_version", "cluster version that this node acts under, 0: none",
            acts ? upgrade::number(acting.version()) : 0);
  const auto conversion = controller.partition_leader().conversion().value_or(ConversionProgress{});
  out.gauge("progress_values_left", "values still to be converted, of partitions led here",
            conversion.values_left);
  out.counter("progress_values_converted_total", "values converted by this process",
              conversion.values_converted);
  out.gauge("progress_values_unreadable", "values in no known form, of partitions led here",
            conversion.unreadable);
}

void put_cluster(MetricsText& out, const StateStoreClient& state_store) {
  const ClusterView& view = state_store.view();
  out.gauge("open_jobs", "accepted jobs that are not final, of all partitions", view.jobs.size());
  out.gauge("waiting_jobs", "open jobs that wait for other jobs, of all partitions",
            view.dependencies.waiting_count());
  out.gauge("cancelled_by_prerequisite", "open jobs whose final record is still to be written",
            view.dependencies.all_cancelled().size());
  out.gauge("unresolved_prerequisites", "prerequisites whose end is still to be read",
            state_store.replica().unresolved_prerequisites().size());
  out.gauge("machines", "machines assigned to a partition, of all partitions",
            view.machines.size());
}

void put_partitions(MetricsText& out, const PartitionLeader& partition_leader) {
  const auto partitions = partition_leader.partitions();
  out.type("partition_fencing_token", "gauge", "fencing token of each partition led here");
  for (const auto& [partition, scheduler] : partitions)
    out.value("partition_fencing_token", fmt::format(R"(partition="{}")", partition),
              scheduler->fencing_token());
  out.type("partition_jobs", "gauge", "open jobs of each partition led here, by phase");
  for (const auto& [partition, scheduler] : partitions) {
    const auto counts = scheduler->task_counts();
    const auto put = [&, number = partition](const char* phase, std::size_t count) {
      out.value("partition_jobs", fmt::format(R"(partition="{}",phase="{}")", number, phase),
                count);
    };
    put("queued", counts.jobs_queued);
    put("running", counts.jobs_running);
  }
  out.type("partition_tasks", "gauge", "tasks of open jobs of each partition led here, by state");
  for (const auto& [partition, scheduler] : partitions) {
    const auto counts = scheduler->task_counts();
    const auto put = [&, number = partition](const char* state, std::size_t count) {
      out.value("partition_tasks", fmt::format(R"(partition="{}",state="{}")", number, state),
                count);
    };
    put("queued", counts.queued);
    put("bound", counts.bound);
    put("running", counts.running);
    put("done", counts.done);
  }
}

void put_leadership(MetricsText& out, const PartitionLeader::Counters& counters) {
  out.counter("task_starts_total", "starts sent in replies to heartbeats", counters.starts);
  out.counter("preemptions_total", "tasks stopped to make room", counters.preemptions);
  out.counter("partition_claims_total", "partitions claimed", counters.claims);
  out.counter("failbacks_total", "partitions given back to their preferred leader",
              counters.failbacks);
  out.counter("heartbeats_total", "heartbeats received", counters.heartbeats);
  out.counter("stale_heartbeats_total", "heartbeats late, repeated or under a higher fencing token",
              counters.stale_heartbeats);
  out.counter("deferred_heartbeats_total", "heartbeats whose reply waited for work",
              counters.deferred);
  out.counter("lease_expiries_total", "machines whose lease expired", counters.lease_expiries);
}

void put_fleet(MetricsText& out, const FleetManager& fleet) {
  out.counter("machines_provisioned_total", "machines provisioned", fleet.provisioned_count());
  out.counter("machines_terminated_total", "machines terminated", fleet.terminated_count());
}

void put_requests(MetricsText& out, const Controller& controller) {
  const StateStoreClient::Counters& state_store = controller.state_store().counters();
  out.type("state_store_requests_total", "counter",
           "requests to the state store by status, 0: no answer");
  out.by_status("state_store_requests_total", state_store.replies);
  out.counter("state_store_throttled_total",
              "requests over this node's share of the state store's limits",
              state_store.refused_locally);
  out.type("cloud_requests_total", "counter", "requests to the cloud by status, 0: no answer");
  out.by_status("cloud_requests_total", controller.fleet().cloud().reply_counts());
}

void put_users(MetricsText& out, const JobApi::Counters& counters) {
  static const std::string kSubmit = R"(kind="submit")";
  static const std::string kPoll = R"(kind="poll")";
  static const std::string kCancel = R"(kind="cancel")";
  out.type("user_requests_total", "counter", "answers to users by kind and status");
  out.by_status("user_requests_total", counters.submits, kSubmit);
  out.by_status("user_requests_total", counters.polls, kPoll);
  out.by_status("user_requests_total", counters.cancels, kCancel);
  out.type("user_latency_seconds", "histogram", "from a user's request to its answer");
  out.histogram("user_latency_seconds", kSubmit, counters.submit_latency);
  out.histogram("user_latency_seconds", kPoll, counters.poll_latency);
  out.histogram("user_latency_seconds", kCancel, counters.cancel_latency);
}

}  // namespace

std::string metrics_text(const Controller& controller) {
  MetricsText out;
  out.gauge("ready", "1 when this node serves users", controller.job_api().ready() ? 1 : 0);
  if (controller.settings().upgrade.enabled) put_version(out, controller);
  put_cluster(out, controller.state_store());
  put_partitions(out, controller.partition_leader());
  put_leadership(out, controller.partition_leader().counters());
  put_fleet(out, controller.fleet());
  put_requests(out, controller);
  put_users(out, controller.job_api().counters());
  out.gauge("resident_bytes", "memory held by the process", resident_bytes());
  return out.text();
}

}  // namespace eiderreel
