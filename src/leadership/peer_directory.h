// What the peers have last told of themselves.
#pragma once
#include <map>
#include <optional>
#include <string>

#include "config/settings.h"
#include "model/load.h"
#include "peer_rpc/messages.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// The newest status of every peer.
class PeerDirectory {
 public:
  PeerDirectory(Runtime& runtime, const Settings& settings, StateStoreClient& state_store)
      : runtime_(runtime), settings_(settings), state_store_(state_store) {}

  /// Takes in the status of a peer.
  void receive(const std::string& node, const peer_rpc::PeerStatus& status);

  /// Whether the peer has sent a status lately.
  bool alive(const std::string& node) const;
  /// Whether a living peer says that it hears no worker.
  bool has_lost_workers(const std::string& node) const;
  /// Whether any living peer that is known to the state store hears workers.
  bool any_hears_workers() const;
  /// Whether a peer is known to run a build that knows no prerequisites. A peer of which nothing
  /// is known does not count: it may be away for long.
  bool has_old_peer() const;
  /// The load of every partition that a living peer acts for.
  std::map<int, PartitionLoad> partition_loads() const;
  /// A living peer's conversion of stored progress; nothing if it does not tell.
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
