// Votes of peers not to claim the partitions of this controller, which let it continue to act
// during an outage of the state store.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "config/settings.h"
#include "peer_rpc/messages.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// Requests votes from peers and keeps track of the valid ones.
class LeadershipVotes {
 public:
  LeadershipVotes(Runtime& runtime, const Settings& settings, StateStoreClient& state_store);

  /// Invariant 6: whether this controller is certain to be still the leader of its led partitions.
  bool may_act() const;
  /// Returns the next vote request for these (partition, fencing token) pairs, or std::nullopt if
  /// none is due.
  std::optional<peer_rpc::VoteRequest> next_request(
      std::vector<std::pair<int, std::uint64_t>> partitions);
  /// Records the vote of a peer. A vote that answers none of the latest requests is ignored.
  void receive(const std::string& node, const peer_rpc::Vote& vote);

 private:
  Runtime& runtime_;
  const Settings& settings_;
  StateStoreClient& state_store_;
  std::uint64_t last_request_number_;
  Ms requested_at_ = 0;
  std::map<std::uint64_t, Ms> request_sent_at_;  // by request number
  std::map<std::string, Ms> vote_valid_until_;   // by peer
};

}  // namespace eiderreel
