// The votes of peers not to claim our partitions, which let us act through an outage of the state
// store.
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

/// Asks peers for votes and counts those that hold.
class LeadershipVotes {
 public:
  LeadershipVotes(Runtime& runtime, const Settings& settings, StateStoreClient& state_store);

  /// Invariant 6: whether this controller is surely still the leader of what it leads.
  bool may_act() const;
  /// The next request for votes on these partitions with their fencing tokens; nothing while none
  /// is due.
  std::optional<peer_rpc::VoteRequest> next_request(
      std::vector<std::pair<int, std::uint64_t>> partitions);
  /// Takes in the vote of a peer; one that was not asked for is ignored.
  void receive(const std::string& node, const peer_rpc::Vote& vote);

 private:
  Runtime& runtime_;
  const Settings& settings_;
  StateStoreClient& state_store_;
  std::uint64_t last_request_number_;
  Ms requested_at_ = 0;
  std::map<std::uint64_t, Ms> request_sent_at_;  // by number
  std::map<std::string, Ms> vote_valid_until_;   // by peer
};

}  // namespace eiderreel
