// The partitions that this controller leads, and whether it may act for them.
#include "leadership/led_partitions.h"

#include <spdlog/spdlog.h>

#include "runtime/http_status.h"

namespace eiderreel {

LedPartition* LedPartitions::find(int partition) {
  const auto found = partitions_.find(partition);
  return found == partitions_.end() ? nullptr : &found->second;
}

LedPartition* LedPartitions::find(const LeadershipTerm& term) {
  LedPartition* led = find(term.partition);
  return led && led->scheduler->fencing_token() == term.fencing_token ? led : nullptr;
}

LedPartition* LedPartitions::find_acting(int partition) {
  return is_acting_leader(partition) ? find(partition) : nullptr;
}

bool LedPartitions::is_acting_leader(int partition) const {
  const auto found = partitions_.find(partition);
  return found != partitions_.end() && found->second.active && votes_.may_act();
}

void LedPartitions::step_down(int partition, const char* reason) {
  const auto found = partitions_.find(partition);
  if (found == partitions_.end()) return;
  spdlog::info("partition released partition={} fencing_token={} reason={}", partition,
               found->second.scheduler->fencing_token(), reason);
  auto deferred = std::move(found->second.deferred);
  partitions_.erase(found);
  for (auto& [machine, deferred_reply] : deferred)
    deferred_reply.reply(http_status::kServiceUnavailable, "");
}

void LedPartitions::step_down_from_all(const char* reason) {
  while (!partitions_.empty()) step_down(partitions_.begin()->first, reason);
}

std::vector<std::pair<int, std::uint64_t>> LedPartitions::fencing_tokens() const {
  std::vector<std::pair<int, std::uint64_t>> tokens;
  for (const auto& [partition, led] : partitions_)
    tokens.emplace_back(partition, led.scheduler->fencing_token());
  return tokens;
}

}  // namespace eiderreel
