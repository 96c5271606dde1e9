// The text of /metrics: one function for each group of metrics, in the order of the output.
#include "controller/metrics.h"

#include <fmt/format.h>

#include <cstdint>
#include <map>

#include "controller/controller.h"
#include "observability/process_memory.h"

namespace eiderreel {
namespace {

// Writes metrics in the Prometheus text format. All names get the prefix `eiderreel_`.
class MetricsText {
 public:
  // The HELP and TYPE lines, which precede the samples of a metric.
  void header(const char* name, const char* metric_type, const char* help) {
    out_ += fmt::format("# HELP eiderreel_{0} {2}\n# TYPE eiderreel_{0} {1}\n", name, metric_type,
                        help);
  }
  template <class Value>
  void sample(const char* name, const std::string& labels, Value value) {
    const std::string braces = labels.empty() ? "" : "{" + labels + "}";
    out_ += fmt::format("eiderreel_{}{} {}\n", name, braces, value);
  }
  // A gauge with a single sample.
  template <class Value>
  void gauge(const char* name, const char* help, Value only_value) {
    header(name, "gauge", help);
    sample(name, "", only_value);
  }
  void counter(const char* name, const char* help, std::uint64_t count) {
    header(name, "counter", help);
    sample(name, "", count);
  }
  // The samples of a counter, one for each HTTP status.
  void samples_by_status(const char* name, const std::map<int, std::uint64_t>& counts,
                         const std::string& labels = "") {
    const std::string label_prefix = labels.empty() ? "" : labels + ",";
    for (const auto& [status, count] : counts)
      sample(name, label_prefix + fmt::format(R"(status="{}")", status), count);
  }
  void histogram(const char* name, const std::string& labels, const LatencyHistogram& latencies) {
    out_ += latencies.text(name, labels);
  }
  const std::string& text() const { return out_; }

 private:
  std::string out_;
};

void add_version_metrics(MetricsText& out, const Controller& controller) {
  const upgrade::ActingVersion& acting = controller.state_store().acting_version();
  const bool has_acting_version = acting.record_revision() != 0;
  out.gauge("acting_version", "cluster version that this node acts under, 0: none",
            has_acting_version ? upgrade::number(acting.version()) : 0);
  const auto conversion = controller.partition_leader().conversion().value_or(ConversionProgress{});
  out.gauge("progress_values_left", "values still to be converted, of partitions led here",
            conversion.values_left);
  out.counter("progress_values_converted_total", "values converted by this process",
              conversion.values_converted);
  out.gauge("progress_values_unreadable", "values in no known form, of partitions led here",
            conversion.unreadable);
}

void add_cluster_metrics(MetricsText& out, const StateStoreClient& state_store) {
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

void add_partition_metrics(MetricsText& out, const PartitionLeader& partition_leader) {
  const auto partitions = partition_leader.partitions();
  out.header("partition_fencing_token", "gauge", "fencing token of each partition led here");
  for (const auto& [partition, scheduler] : partitions)
    out.sample("partition_fencing_token", fmt::format(R"(partition="{}")", partition),
               scheduler->fencing_token());
  out.header("partition_jobs", "gauge", "open jobs of each partition led here, by phase");
  for (const auto& [partition, scheduler] : partitions) {
    const auto counts = scheduler->task_counts();
    const auto add_sample = [&, number = partition](const char* phase, std::size_t count) {
      out.sample("partition_jobs", fmt::format(R"(partition="{}",phase="{}")", number, phase),
                 count);
    };
    add_sample("queued", counts.jobs_queued);
    add_sample("running", counts.jobs_running);
  }
  out.header("partition_tasks", "gauge", "tasks of open jobs of each partition led here, by state");
  for (const auto& [partition, scheduler] : partitions) {
    const auto counts = scheduler->task_counts();
    const auto add_sample = [&, number = partition](const char* state, std::size_t count) {
      out.sample("partition_tasks", fmt::format(R"(partition="{}",state="{}")", number, state),
                 count);
    };
    add_sample("queued", counts.queued);
    add_sample("bound", counts.bound);
    add_sample("running", counts.running);
    add_sample("done", counts.done);
  }
}

void add_leadership_metrics(MetricsText& out, const PartitionLeader::Counters& counters) {
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

void add_fleet_metrics(MetricsText& out, const FleetManager& fleet) {
  out.counter("machines_provisioned_total", "machines provisioned", fleet.provisioned_count());
  out.counter("machines_terminated_total", "machines terminated", fleet.terminated_count());
}

void add_outbound_request_metrics(MetricsText& out, const Controller& controller) {
  const StateStoreClient::Counters& state_store = controller.state_store().counters();
  out.header("state_store_requests_total", "counter",
             "requests to the state store by status, 0: no answer");
  out.samples_by_status("state_store_requests_total", state_store.replies);
  out.counter("state_store_throttled_total",
              "requests over this node's share of the state store's limits",
              state_store.refused_locally);
  out.header("cloud_requests_total", "counter", "requests to the cloud by status, 0: no answer");
  out.samples_by_status("cloud_requests_total", controller.fleet().cloud().reply_counts());
}

void add_user_request_metrics(MetricsText& out, const JobApi::Counters& counters) {
  static const std::string kSubmitLabel = R"(kind="submit")";
  static const std::string kPollLabel = R"(kind="poll")";
  static const std::string kCancelLabel = R"(kind="cancel")";
  out.header("user_requests_total", "counter", "answers to users by kind and status");
  out.samples_by_status("user_requests_total", counters.submits, kSubmitLabel);
  out.samples_by_status("user_requests_total", counters.polls, kPollLabel);
  out.samples_by_status("user_requests_total", counters.cancels, kCancelLabel);
  out.header("user_latency_seconds", "histogram", "from a user's request to its answer");
  out.histogram("user_latency_seconds", kSubmitLabel, counters.submit_latency);
  out.histogram("user_latency_seconds", kPollLabel, counters.poll_latency);
  out.histogram("user_latency_seconds", kCancelLabel, counters.cancel_latency);
}

}  // namespace

std::string metrics_text(const Controller& controller) {
  MetricsText out;
  out.gauge("ready", "1 when this node serves users", controller.job_api().ready() ? 1 : 0);
  if (controller.settings().upgrade.enabled) add_version_metrics(out, controller);
  add_cluster_metrics(out, controller.state_store());
  add_partition_metrics(out, controller.partition_leader());
  add_leadership_metrics(out, controller.partition_leader().counters());
  add_fleet_metrics(out, controller.fleet());
  add_outbound_request_metrics(out, controller);
  add_user_request_metrics(out, controller.job_api().counters());
  out.gauge("resident_bytes", "memory held by the process", resident_bytes());
  return out.text();
}

}  // namespace eiderreel
