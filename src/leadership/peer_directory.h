// Keeps the latest status message of each peer.
#pragma once
#include <map>
#include <optional>
#include <string>

#include "config/settings.h"
#include "model/load.h"
#include "peer_rpc/messages.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// The latest status of each peer. A peer is alive while its status is newer than
/// constants::kPeerStatusTtlMs.
class PeerDirectory {
 public:
  PeerDirectory(Runtime& runtime, const Settings& settings, StateStoreClient& state_store)
      : runtime_(runtime), settings_(settings), state_store_(state_store) {}

  /// Stores the status of a peer and passes its state store usage to the state store client.
  void receive(const std::string& node, const peer_rpc::PeerStatus& status);

  /// Whether the peer's last status is newer than constants::kPeerStatusTtlMs.
  bool alive(const std::string& node) const;
  /// Whether the peer is alive and reports that it has lost contact with workers.
  bool has_lost_workers(const std::string& node) const;
  /// Whether any live peer with a node record in the state store has contact with workers.
  bool any_has_worker_contact() const;
  /// Whether a peer is known to run a build without support for prerequisites. A peer without a
  /// record or a recent status does not count, since it may be down for a long time.
  bool has_peer_without_prerequisites() const;
  /// The load of each partition for which a live peer is the acting leader.
  std::map<int, PartitionLoad> partition_loads() const;
  /// A live peer's conversion of stored progress, or std::nullopt if the peer does not report it.
  std::optional<ConversionProgress> conversion(const std::string& node) const;

 private:
  struct Entry {
    Ms received_at = 0;
    peer_rpc::PeerStatus status;
  };
  bool is_fresh(const Entry& entry) const;

  Runtime& runtime_;
  const Settings& settings_;
  StateStoreClient& state_store_;
  std::map<std::string, Entry> peers_;
};

}  // namespace eiderreel
