// The facade of the leadership modules: forwards events to them and runs their periodic work.
#include "leadership/partition_leader.h"

#include <utility>

#include "runtime/http_status.h"

namespace eiderreel {

namespace k = constants;

PartitionLeader::PartitionLeader(Runtime& runtime, const Settings& settings,
                                 StateStoreClient& state_store)
    : runtime_(runtime),
      settings_(settings),
      state_store_(state_store),
      votes_(runtime, settings, state_store),
      led_partitions_(votes_),
      peers_(runtime, settings, state_store),
      workers_(runtime, settings, state_store),
      commands_(runtime, led_partitions_, counters_),
      finalizer_(runtime, settings, state_store, led_partitions_),
      persistence_(runtime, settings, state_store, led_partitions_, finalizer_),
      jobs_(runtime, settings, state_store, led_partitions_, finalizer_, commands_),
      machines_(runtime, state_store, led_partitions_, counters_),
      transfers_(runtime, settings, state_store, led_partitions_),
      activation_(runtime, settings, state_store, led_partitions_, jobs_, counters_),
      handover_(runtime, settings, state_store, led_partitions_, peers_, workers_, counters_),
      claims_(runtime, settings, state_store, led_partitions_, peers_, workers_, handover_,
              activation_),
      vote_granter_(runtime, state_store, led_partitions_, claims_),
      router_(runtime, settings, state_store, led_partitions_, peers_, claims_, commands_,
              counters_) {}

void PartitionLeader::start(Hooks hooks) {
  hooks_ = std::move(hooks);
  router_.start(hooks_.assign_machine);
}

// ------------------------------------------------------------------ requests and messages

void PartitionLeader::heartbeat(const Heartbeat& heartbeat, Reply reply) {
  ++counters_.heartbeats;
  workers_.record_contact();
  router_.receive(heartbeat, std::move(reply));
}

void PartitionLeader::query_job(const peer_rpc::JobQuery& query, const JobQueryDone& done) {
  jobs_.query(query, done);
}

void PartitionLeader::transfer_machines(const peer_rpc::TransferRequest& request) {
  transfers_.transfer(request);
}

void PartitionLeader::cordon(const peer_rpc::CordonRequest& request) { machines_.cordon(request); }

void PartitionLeader::peer_status(const std::string& node, const peer_rpc::PeerStatus& status) {
  peers_.receive(node, status);
}

void PartitionLeader::machines_terminated(const std::vector<std::string>& machines) {
  machines_.machines_terminated(machines);
}

peer_rpc::Vote PartitionLeader::vote_on(const std::string& node,
                                        const peer_rpc::VoteRequest& request) {
  return vote_granter_.vote_on(node, request);
}

void PartitionLeader::receive_vote(const std::string& node, const peer_rpc::Vote& vote) {
  votes_.receive(node, vote);
}

void PartitionLeader::types_known(const std::vector<MachineType>& types) {
  activation_.set_types(types);
}

// ------------------------------------------------------------ changes of the replicated view

void PartitionLeader::job_opened(const std::string& job) { jobs_.job_opened(job); }

void PartitionLeader::job_ready(const std::string& job) { jobs_.job_ready(job); }

void PartitionLeader::job_closed(const std::string& job) { jobs_.job_closed(job); }

void PartitionLeader::urgency_changed(const std::string& job) { jobs_.urgency_changed(job); }

void PartitionLeader::machine_changed(const std::string& machine) {
  machines_.machine_changed(machine);
}

void PartitionLeader::partition_changed(int partition) { claims_.partition_changed(partition); }

void PartitionLeader::lease_lost() { claims_.lease_lost(); }

// ------------------------------------------------------------------- state for other modules

bool PartitionLeader::is_acting_leader(int partition) const {
  return led_partitions_.is_acting_leader(partition);
}

bool PartitionLeader::peer_alive(const std::string& node) const { return peers_.alive(node); }

bool PartitionLeader::has_peer_without_prerequisites() const {
  return peers_.has_peer_without_prerequisites();
}

std::map<int, PartitionLoad> PartitionLeader::partition_loads() const {
  std::map<int, PartitionLoad> loads = peers_.partition_loads();
  for (const auto& [partition, led] : led_partitions_)
    if (led_partitions_.is_acting_leader(partition))
      loads[partition] = led.scheduler->load(runtime_.now());
  return loads;
}

std::map<int, const PartitionScheduler*> PartitionLeader::partitions() const {
  std::map<int, const PartitionScheduler*> schedulers;
  for (const auto& [partition, led] : led_partitions_) schedulers[partition] = led.scheduler.get();
  return schedulers;
}

std::optional<ConversionProgress> PartitionLeader::conversion() const {
  return persistence_.conversion();
}

std::optional<ConversionProgress> PartitionLeader::peer_conversion(const std::string& node) const {
  return peers_.conversion(node);
}

std::vector<int> PartitionLeader::unreported_partitions() const {
  const auto reported = partition_loads();
  std::vector<int> unreported;
  for (int partition = 0; partition < settings_.partition_count; ++partition)
    if (!reported.contains(partition)) unreported.push_back(partition);
  return unreported;
}

// ----------------------------------------------------------------------------------- ticks

void PartitionLeader::tick() {
  workers_.tick();
  claims_.claim_vacant();
  handover_.fail_back();
  // Peers should learn that this controller has lost contact with workers before they see the claim
  // deleted.
  if (handover_.relinquish_if_workers_lost()) status_sent_at_ = 0;
  if (const auto request = votes_.next_request(led_partitions_.fencing_tokens()))
    hooks_.broadcast(*request);
  router_.release_held();
  for (auto& [partition, led] : led_partitions_)
    if (led.active) tick_partition(led);
  if (runtime_.now() - status_sent_at_ >= k::kPeerStatusIntervalMs) broadcast_status();
}

void PartitionLeader::tick_partition(LedPartition& led) {
  machines_.expire_leases(led);
  if (!led_partitions_.is_acting_leader(led.scheduler->index())) {
    // This controller may not act for the partition at present: it answers the deferred heartbeats
    // with 503 and starts nothing.
    const auto deferred = std::exchange(led.deferred, {});
    for (const auto& [machine, deferred_reply] : deferred)
      deferred_reply.reply(http_status::kServiceUnavailable, "");
    return;
  }
  commands_.send_kills(led);
  commands_.answer_deferred(led);
  persistence_.tick(led);
}

void PartitionLeader::broadcast_status() {
  const Ms now = runtime_.now();
  status_sent_at_ = now;
  peer_rpc::PeerStatus status;
  for (const auto& [partition, led] : std::as_const(led_partitions_))
    if (led_partitions_.is_acting_leader(partition))
      status.partition_loads.emplace_back(partition, led.scheduler->load(now));
  status.store_usage = state_store_.usage();
  status.receives_heartbeats = workers_.has_worker_contact();
  status.features = k::kBuildFeatureBits;
  status.conversion = conversion();
  hooks_.broadcast(status);
}

}  // namespace eiderreel
