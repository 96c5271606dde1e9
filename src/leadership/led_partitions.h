// The partitions that this controller leads, and whether it may act for them.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "leadership/leadership_votes.h"
#include "leadership/led_partition.h"

namespace eiderreel {

/// Owns every led partition. A reference to one stays valid until `step_down`.
class LedPartitions {
 public:
  using Map = std::map<int, LedPartition>;

  explicit LedPartitions(const LeadershipVotes& votes) : votes_(votes) {}

  /// Returns null if this controller does not lead the partition.
  LedPartition* find(int partition);
  /// Returns null if the term is over.
  LedPartition* find(const LeadershipTerm& term);
  /// Returns null if this controller does not lead the partition or may not act for it now.
  LedPartition* find_acting(int partition);
  /// Whether this controller leads the partition.
  bool contains(int partition) const { return partitions_.contains(partition); }
  /// Whether this controller leads no partition.
  bool empty() const { return partitions_.empty(); }

  /// Invariant 6: whether the partition is active here and this controller is certain to lead it.
  bool is_acting_leader(int partition) const;

  /// Begins a term. This controller must not lead the partition yet.
  LedPartition& add(int partition) { return partitions_[partition]; }
  /// Ends a term: deferred heartbeats are answered with 503. Does nothing if this controller does
  /// not lead the partition. `reason` is logged.
  void step_down(int partition, const char* reason);
  /// Stops leading all partitions; `reason` is logged.
  void step_down_from_all(const char* reason);

  /// The led partitions with their fencing tokens.
  std::vector<std::pair<int, std::uint64_t>> fencing_tokens() const;

  /// The partitions in ascending order.
  Map::iterator begin() { return partitions_.begin(); }
  Map::iterator end() { return partitions_.end(); }
  Map::const_iterator begin() const { return partitions_.begin(); }
  Map::const_iterator end() const { return partitions_.end(); }

 private:
  const LeadershipVotes& votes_;
  Map partitions_;
};

}  // namespace eiderreel
