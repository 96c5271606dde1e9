// Generated tests/fixtures/state_store.json and peer_messages.txt: the stored values and peer
// messages of controllers built from the source before the renaming of issue 33. Kept to document
// how the fixtures were made. Running it again replaces the reference data of
// tests/stored_state_test.cc and the related tests. Not a test, and not part of CI:
//
//   cmake --build target --target eiderreel_write_fixtures
//   target/tests/eiderreel_write_fixtures DIRECTORY
#include <cstdio>
#include <fstream>
#include <stdexcept>

#include "fixtures/stored_state.h"

using namespace eiderreel;
using namespace eiderreel::standin;

namespace {

constexpr double kRunS = 125;  // long after the last completion in a run

void submit_all(UpgradeCluster& cluster, const std::vector<StoredJob>& jobs) {
  for (const StoredJob& job : jobs)
    cluster.at(job.submitted_s, [&cluster, job] {
      cluster.set_run_s(job.spec.id, job.run_times(2, kNeverEndsS));
      cluster.submit(job.spec);
    });
}

StoredValues values_of(UpgradeCluster& cluster) {
  if (!cluster.checker().violations().empty())
    throw std::runtime_error(cluster.checker().violations().front());
  if (cluster.count_trace_lines("lease expired") > 0)
    throw std::runtime_error("a machine was lost");
  StoredValues values;
  for (const std::string& key : cluster.keys("")) values[key] = *cluster.stored_value(key);
  return values;
}

// First run: controllers with cluster versions disabled.
StoredValues first_run() {
  UpgradeCluster cluster(stored_run_options());
  submit_all(cluster, jobs_of_first_run());
  submit_all(cluster, {{done_job(), 12, {0, 1}}, {cancelled_job(), 12}});
  cluster.at(20, [&cluster] { cluster.cancel(cancelled_job().id); });
  cluster.run_until(kRunS);
  return values_of(cluster);
}

// A machine fails and is released; a cloud outage keeps it from being returned before the run ends.
void release_a_machine(UpgradeCluster& cluster) {
  cluster.kill_machine(kReleasedMachine);
  while (cluster.count_trace_lines("machine released") == 0)
    cluster.run_until(cluster.now() + 0.01);
  cluster.set_cloud_outage(true);
}

// Second run: steps of every kind, and a released machine.
StoredValues second_run() {
  Options options = stored_run_options();
  options.upgrades = enabled_upgrades();
  UpgradeCluster cluster(options);
  cluster.request_step_at(12, 0, Action::advance);
  cluster.request_step_at(18, 1, Action::abort);
  cluster.request_step_at(24, 2, Action::advance);
  cluster.request_step_at(30, 0, Action::finalize, {"n1", "n2"});
  submit_all(cluster, jobs_of_second_run());
  cluster.run_until(8);
  release_a_machine(cluster);
  cluster.run_until(kRunS);
  return values_of(cluster);
}

// Adds values of kinds that a short run doesn't leave behind.
void add_rare_values(StoredValues& values) {
  const std::string nonce = "n0.b1.999";
  values[codec::job_key(job_with_every_field().id)] = codec::encode(job_with_every_field(), nonce);
  values[codec::machine_key(kSpotMachine)] = codec::encode(spot_machine(), nonce);
  values[codec::progress_key(1, done_job().id, kLeftoverRange)] =
      codec::encode_progress(leftover_tasks(), kLeftoverRange, upgrade::ProgressForm::bits, nonce);
}

// The jobs of both runs and the other values of the second run; one controller keeps its node
// record of the first run.
StoredValues merged(const StoredValues& first, StoredValues values) {
  for (const auto& [key, value] : first)
    if (key.starts_with("e/job/") || key.starts_with("e/awaits/") || key.starts_with("e/final/") ||
        key.starts_with("d/") || key == codec::node_key("n2"))
      values[key] = value;
  return values;
}

// Writes one row per line, with each value byte for byte as stored.
void write_values(const std::string& file, const StoredValues& values) {
  std::ofstream out(file);
  const char* separator = "[\n";
  for (const auto& [key, value] : values) {
    out << separator << "{\"key\":\"" << key << "\",\"value\":" << value << "}";
    separator = ",\n";
  }
  out << "\n]\n";
}

void write_messages(const std::string& file) {
  std::ofstream out(file);
  for (const auto& [kind, body] : peer_messages()) {
    out << kind << ' ';
    for (const char byte : peer_rpc::encode({kMessageSender, body})) {
      char digits[3];
      std::snprintf(digits, sizeof digits, "%02x", static_cast<unsigned char>(byte));
      out << digits;
    }
    out << '\n';
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::fprintf(stderr, "usage: %s DIRECTORY\n", argv[0]);
    return 2;
  }
  const std::string directory = argv[1];
  StoredValues values = merged(first_run(), second_run());
  add_rare_values(values);
  write_values(directory + "/state_store.json", values);
  write_messages(directory + "/peer_messages.txt");
}
