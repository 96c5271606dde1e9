// Keeps the latest status message of each peer.
#include "leadership/peer_directory.h"

#include <algorithm>

namespace eiderreel {

namespace k = constants;

void PeerDirectory::receive(const std::string& node, const peer_rpc::PeerStatus& status) {
  peers_[node] = {runtime_.now(), status};
  state_store_.set_peer_usage(node, status.store_usage);
}

bool PeerDirectory::is_fresh(const Entry& entry) const {
  return runtime_.now() - entry.received_at < k::kPeerStatusTtlMs;
}

bool PeerDirectory::alive(const std::string& node) const {
  const auto peer = peers_.find(node);
  return peer != peers_.end() && is_fresh(peer->second);
}

bool PeerDirectory::has_lost_workers(const std::string& node) const {
  const auto peer = peers_.find(node);
  return peer != peers_.end() && !peer->second.status.receives_heartbeats && is_fresh(peer->second);
}

bool PeerDirectory::any_has_worker_contact() const {
  return std::any_of(settings_.peers.begin(), settings_.peers.end(), [&](const Peer& peer) {
    return alive(peer.name) && !has_lost_workers(peer.name) &&
           state_store_.view().nodes.contains(peer.name);
  });
}

bool PeerDirectory::has_peer_without_prerequisites() const {
  const auto& nodes = state_store_.view().nodes;
  return std::any_of(settings_.peers.begin(), settings_.peers.end(), [&](const Peer& peer) {
    const auto node = nodes.find(peer.name);
    const auto peer_entry = peers_.find(peer.name);
    return (node != nodes.end() && node->second.record.features == 0) ||
           (alive(peer.name) && peer_entry->second.status.features == 0);
  });
}

std::map<int, PartitionLoad> PeerDirectory::partition_loads() const {
  std::map<int, PartitionLoad> loads;
  for (const auto& [name, peer] : peers_) {
    if (!is_fresh(peer)) continue;
    for (const auto& [partition, load] : peer.status.partition_loads) loads[partition] = load;
  }
  return loads;
}

std::optional<ConversionProgress> PeerDirectory::conversion(const std::string& node) const {
  const auto peer = peers_.find(node);
  if (peer == peers_.end() || !is_fresh(peer->second)) return std::nullopt;
  return peer->second.status.conversion;
}

}  // namespace eiderreel
