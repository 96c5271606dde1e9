// The machine inventory: reads the cloud's list page by page and concludes which machines are gone
// and which are to be given back.
#include "fleet/machine_inventory.h"

#include <string_view>
#include <utility>

namespace eiderreel {
namespace {

namespace k = constants;

// Phases in the cloud's list.
constexpr std::string_view kStarting = "starting";
constexpr std::string_view kFailed = "failed";

// A list is up to twice as old as the settings say.
constexpr double kLagMsPerSecond = 2000;
// A machine that was provisioned and is not listed after so many lags is lost.
constexpr Ms kLostAfterLags = 4;

}  // namespace

void MachineInventory::tick() {
  if (!listing_ && runtime_.now() - listed_at_ >= k::kListEveryMs) begin_list();
}

Ms MachineInventory::lag() const {
  return static_cast<Ms>(settings_.list_lag_s * kLagMsPerSecond * (1 + k::kDrift));
}

void MachineInventory::begin_list() {
  listing_ = true;
  in_list_.clear();
  list_sent_ = runtime_.now();
  read_page("");
}

void MachineInventory::read_page(const std::string& since) {
  cloud_.list_machines(
      since, [this, since](const CloudResult<codec::MachineList>& page) { on_page(since, page); });
}

void MachineInventory::on_page(const std::string& since,
                               const CloudResult<codec::MachineList>& page) {
  if (!page) {
    // A list of more pages than the rate limit allows at once began anew for ever, and was never
    // read to its end. So it goes on where it was refused.
    const bool over_limit = page.error() == CloudError::over_limit;
    if (over_limit && !since.empty() && partition_leader_.is_cluster_leader()) {
      runtime_.after(k::kRetryMs, [this, since] { read_page(since); });
    } else {
      end_list();
    }
    return;
  }
  const Ms now = runtime_.now();
  for (const auto& machine : page->machines) {
    in_list_.insert(machine.id);
    machines_[machine.id] = {machine, now};
  }
  if (page->has_more && !page->machines.empty()) return read_page(page->machines.back().id);
  end_list();
  on_list_complete();
}

void MachineInventory::end_list() {
  listing_ = false;
  listed_at_ = runtime_.now();
}

void MachineInventory::on_list_complete() {
  add_known_machines();
  const std::vector<std::string> gone = remove_gone();
  release_failed();
  terminator_.forget(gone);
  std::set<std::string> listed;
  for (const auto& [id, entry] : machines_) listed.insert(id);
  provisioner_.drop_lost(listed, kLostAfterLags * lag());
}

// A key may stand for a machine that was gone before we led, and that a late copy of a
// heartbeat brought back. It is known from now on, and forgotten when lists go on without it.
void MachineInventory::add_known_machines() {
  for (const auto& [id, machine] : state_store_.view().machines) {
    const auto [entry, is_new] = machines_.try_emplace(id);
    if (!is_new) continue;
    const codec::MachineRecord& record = machine.record;
    entry->second.last_seen = runtime_.now();
    entry->second.listed = {id, record.addr, record.type, record.zone, "", record.spot, 0};
  }
}

// Once listed a machine stays listed until it is gone. The newest list describes a moment not
// earlier than the lag before it was asked for, so it is newer than the last that had the machine.
std::vector<std::string> MachineInventory::remove_gone() {
  std::vector<std::string> gone;
  for (const auto& [id, entry] : machines_)
    if (!in_list_.contains(id) && list_sent_ - lag() > entry.last_seen) gone.push_back(id);
  for (const auto& id : gone) {
    provisioner_.forget(id);
    machines_.erase(id);
  }
  return gone;
}

// Machines that failed, and machines without a partition that do not come up, are given back.
void MachineInventory::release_failed() {
  const auto& keys = state_store_.view().machines;
  for (const auto& [id, entry] : machines_) {
    const codec::ListedMachine& listed = entry.listed;
    const bool failed = listed.phase == kFailed;
    if (!in_list_.contains(id) || (!failed && !is_stuck(listed))) continue;
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
  return type != nullptr && machine.rental_age_s > type->boot_s * k::kStuckBoots;
}

std::vector<MachineInventory::PendingMachine> MachineInventory::pending_machines() const {
  std::vector<PendingMachine> pending;
  const auto add = [&](const std::string& type_name, const std::string& zone, bool spot) {
    if (const MachineType* type = catalog_.find(type_name)) pending.push_back({type, zone, spot});
  };
  for (const auto& [id, machine] : provisioner_.provisioned())
    add(machine.type, machine.zone, machine.spot);
  // When all controllers start at once, hundreds of machines may be up that no partition has yet.
  for (const auto& [id, entry] : machines_) {
    if (entry.listed.phase == kFailed || provisioner_.provisioned().contains(id) ||
        state_store_.view().machines.contains(id))
      continue;
    add(entry.listed.type, entry.listed.zone, entry.listed.spot);
  }
  return pending;
}

}  // namespace eiderreel
