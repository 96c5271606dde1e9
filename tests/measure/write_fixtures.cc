// Wrote tests/fixtures/state_store.json and peer_messages.txt: what controllers of the sources
// before the renaming of issue 33 keep in the state store and say to each other. Kept as a record
// of how they were made; whoever runs it again replaces what tests/stored_state_test.cc holds later
// sources to. Not a test, and not part of CI:
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

constexpr double kDayS = 125;  // s; what ends in a day ends long before

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

// Controllers that take no part in cluster versions.
StoredValues first_day() {
  UpgradeCluster cluster(stored_day_options());
  submit_all(cluster, jobs_of_first_day());
  submit_all(cluster, {{done_job(), 12, {0, 1}}, {cancelled_job(), 12}});
  cluster.at(20, [&cluster] { cluster.cancel(cancelled_job().id); });
  cluster.run_until(kDayS);
  return values_of(cluster);
}

// A machine fails, and is released; the cloud does not take it back before the day is over.
void release_a_machine(UpgradeCluster& cluster) {
  cluster.kill_machine(kReleasedMachine);
  while (cluster.count_trace_lines("machine released") == 0)
    cluster.run_until(cluster.now() + 0.01);
  cluster.set_cloud_outage(true);
}

// Steps of every kind, and a machine that is released.
StoredValues second_day() {
  Options options = stored_day_options();
  options.upgrades = enabled_upgrades();
  UpgradeCluster cluster(options);
  cluster.ask(12, 0, Action::advance);
  cluster.ask(18, 1, Action::abort);
  cluster.ask(24, 2, Action::advance);
  cluster.ask(30, 0, Action::finalize, {"n1", "n2"});
  submit_all(cluster, jobs_of_second_day());
  cluster.run_until(8);
  release_a_machine(cluster);
  cluster.run_until(kDayS);
  return values_of(cluster);
}

// Values of a kind that no short day leaves behind.
void add_rare_values(StoredValues& values) {
  const std::string nonce = "n0.b1.999";
  values[codec::job_key(every_field_set().id)] = codec::encode(every_field_set(), nonce);
  values[codec::machine_key(kSpotMachine)] = codec::encode(spot_machine(), nonce);
  values[codec::progress_key(1, done_job().id, kLeftOverRange)] =
      codec::encode_progress(left_over_tasks(), kLeftOverRange, upgrade::ProgressForm::bits, nonce);
}

// The jobs of both days, and the rest as the second day left it; one controller has still the
// record of the first.
StoredValues merged(const StoredValues& first, StoredValues values) {
  for (const auto& [key, value] : first)
    if (key.starts_with("e/job/") || key.starts_with("e/awaits/") || key.starts_with("e/final/") ||
        key.starts_with("d/") || key == codec::node_key("n2"))
      values[key] = value;
  return values;
}

// A row a line, the values byte for byte as they are stored.
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
  StoredValues values = merged(first_day(), second_day());
  add_rare_values(values);
  write_values(directory + "/state_store.json", values);
  write_messages(directory + "/peer_messages.txt");
}
