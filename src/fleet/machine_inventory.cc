// Implements the machine inventory: reads the cloud's machine list page by page and determines
// which machines no longer exist and which must be released.
#include "fleet/machine_inventory.h"

#include <string_view>
#include <utility>

namespace eiderreel {
namespace {

namespace k = constants;

// Phases of a machine in the cloud's list.
constexpr std::string_view kStarting = "starting";
constexpr std::string_view kFailed = "failed";

// A list is up to twice as old as the setting `list_lag_s` says.
constexpr double kMaxLagMsPerSecond = 2000;
// A provisioned machine that is still not listed after this multiple of the maximum lag is lost.
constexpr Ms kLostAfterLags = 4;

}  // namespace

void MachineInventory::tick() {
  if (!listing_ && runtime_.now() - list_ended_at_ >= k::kMachineListIntervalMs) start_listing();
}

Ms MachineInventory::max_lag_ms() const {
  return static_cast<Ms>(settings_.list_lag_s * kMaxLagMsPerSecond * (1 + k::kClockDriftShare));
}

void MachineInventory::start_listing() {
  listing_ = true;
  current_list_.clear();
  list_requested_at_ = runtime_.now();
  read_page("");
}

void MachineInventory::read_page(const std::string& since) {
  cloud_.list_machines(
      since, [this, since](const CloudResult<codec::MachineList>& page) { on_page(since, page); });
}

void MachineInventory::on_page(const std::string& since,
                               const CloudResult<codec::MachineList>& page) {
  if (!page) {
    // After a rejection by the rate limit, reading resumes at the rejected page. Restarting with
    // the first page would never finish a list with more pages than the rate limit allows at once.
    const bool rate_limited = page.error() == CloudError::rate_limited;
    if (rate_limited && !since.empty() && partition_leader_.is_cluster_leader()) {
      runtime_.after(k::kRetryDelayMs, [this, since] { read_page(since); });
    } else {
      finish_listing();
    }
    return;
  }
  const Ms now = runtime_.now();
  for (const auto& machine : page->machines) {
    current_list_.insert(machine.id);
    machines_[machine.id] = {machine, now};
  }
  if (page->has_more && !page->machines.empty()) return read_page(page->machines.back().id);
  finish_listing();
  process_list();
}

void MachineInventory::finish_listing() {
  listing_ = false;
  list_ended_at_ = runtime_.now();
}

void MachineInventory::process_list() {
  add_recorded_machines();
  const std::vector<std::string> terminated = remove_terminated();
  release_failed();
  terminator_.delete_keys(terminated);
  std::set<std::string> listed;
  for (const auto& [id, entry] : machines_) listed.insert(id);
  provisioner_.remove_assigned_and_lost(listed, kLostAfterLags * max_lag_ms());
}

// Adds the machines that have a key in the state store but are not listed. Such a key may belong to
// a machine that was terminated before this controller became cluster leader, and that a delayed
// duplicate of a heartbeat assigned again. The machine is removed when later lists lack it too.
void MachineInventory::add_recorded_machines() {
  for (const auto& [id, machine] : state_store_.view().machines) {
    const auto [entry, is_new] = machines_.try_emplace(id);
    if (!is_new) continue;
    const codec::MachineRecord& record = machine.record;
    entry->second.last_seen = runtime_.now();
    entry->second.listed = {id, record.addr, record.type, record.zone, "", record.spot, 0};
  }
}

// Removes the machines that no longer exist. Once listed, a machine stays listed until it is
// terminated. A list is at most `max_lag_ms` old when it is requested, so a list without the
// machine proves its termination if it must be newer than the last list that had the machine.
std::vector<std::string> MachineInventory::remove_terminated() {
  std::vector<std::string> terminated;
  for (const auto& [id, entry] : machines_)
    if (!current_list_.contains(id) && list_requested_at_ - max_lag_ms() > entry.last_seen)
      terminated.push_back(id);
  for (const auto& id : terminated) {
    provisioner_.remove(id);
    machines_.erase(id);
  }
  return terminated;
}

// Releases machines that failed, and machines without a partition that are stuck while starting.
void MachineInventory::release_failed() {
  const auto& keys = state_store_.view().machines;
  for (const auto& [id, entry] : machines_) {
    const codec::ListedMachine& listed = entry.listed;
    const bool failed = listed.phase == kFailed;
    if (!current_list_.contains(id) || (!failed && !is_stuck(listed))) continue;
    const codec::MachineRecord record{kReleasedPartition, listed.type, listed.zone, listed.addr,
                                      listed.spot};
    const auto key = keys.find(id);
    if (key == keys.end()) {
      terminator_.release(id, record, 0);
    } else if (key->second.record.partition >= 0 && failed) {
      terminator_.release(id, record, key->second.revision);
    }
  }
}

bool MachineInventory::is_stuck(const codec::ListedMachine& machine) const {
  if (machine.phase != kStarting) return false;
  const MachineType* type = catalog_.find(machine.type);
  return type != nullptr && machine.rental_age_s > type->boot_s * k::kStuckBootFactor;
}

std::vector<MachineInventory::PendingMachine> MachineInventory::pending_machines() const {
  std::vector<PendingMachine> pending;
  const auto add = [&](const std::string& type_name, const std::string& zone, bool spot) {
    if (const MachineType* type = catalog_.find(type_name)) pending.push_back({type, zone, spot});
  };
  for (const auto& [id, machine] : provisioner_.provisioned())
    add(machine.type, machine.zone, machine.spot);
  // When all controllers restart at once, hundreds of running machines may not be assigned to a
  // partition yet.
  for (const auto& [id, entry] : machines_) {
    if (entry.listed.phase == kFailed || provisioner_.provisioned().contains(id) ||
        state_store_.view().machines.contains(id))
      continue;
    add(entry.listed.type, entry.listed.zone, entry.listed.spot);
  }
  return pending;
}

}  // namespace eiderreel
