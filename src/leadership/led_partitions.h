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

/// Owns every led partition. A reference to one holds until `step_down`.
class LedPartitions {
 public:
  using Map = std::map<int, LedPartition>;

  explicit LedPartitions(const LeadershipVotes& votes) : votes_(votes) {}

  /// Null: it is not led here.
  LedPartition* find(int partition);
  /// Null: the term is over.
  LedPartition* find(const LeadershipTerm& term);
  /// Null: it is not led here, or this controller may not act for it now.
  LedPartition* find_acting(int partition);
  /// Whether the partition is led here.
  bool contains(int partition) const { return led_.contains(partition); }
  /// Whether no partition is led here.
  bool empty() const { return led_.empty(); }

  /// Invariant 6: whether the partition is active here and this controller is surely its leader.
  bool acting(int partition) const;

  /// Begins a term; the partition must not be led here yet.
  LedPartition& add(int partition) { return led_[partition]; }
  /// Ends a term: machines that wait for a reply are sent away. Nothing happens if it is not led.
  void step_down(int partition, const char* reason);
  /// Stops leading all partitions; `reason` is logged.
  void step_down_from_all(const char* reason);

  /// Each partition that is led, with its fencing token.
  std::vector<std::pair<int, std::uint64_t>> fencing_tokens() const;

  /// The partitions in ascending order.
  Map::iterator begin() { return led_.begin(); }
  Map::iterator end() { return led_.end(); }
  Map::const_iterator begin() const { return led_.begin(); }
  Map::const_iterator end() const { return led_.end(); }

 private:
  const LeadershipVotes& votes_;
  Map led_;
};

}  // namespace eiderreel
