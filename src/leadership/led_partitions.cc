// The partitions that this controller leads, and whether it may act for them.
#include "leadership/led_partitions.h"

#include <spdlog/spdlog.h>

#include "runtime/http_status.h"

namespace eiderreel {

LedPartition* LedPartitions::find(int partition) {
  const auto found = led_.find(partition);
  return found == led_.end() ? nullptr : &found->second;
}

LedPartition* LedPartitions::find(const LeadershipTerm& term) {
  LedPartition* led = find(term.partition);
  return led && led->scheduler->fencing_token() == term.fencing_token ? led : nullptr;
}

LedPartition* LedPartitions::find_acting(int partition) {
  return acting(partition) ? find(partition) : nullptr;
}

bool LedPartitions::acting(int partition) const {
  const auto found = led_.find(partition);
  return found != led_.end() && found->second.active && votes_.may_act();
}

void LedPartitions::step_down(int partition, const char* reason) {
  const auto found = led_.find(partition);
  if (found == led_.end()) return;
  spdlog::info("partition released partition={} fencing_token={} reason={}", partition,
               found->second.scheduler->fencing_token(), reason);
  auto deferred = std::move(found->second.deferred);
  led_.erase(found);
  for (auto& [machine, waiting] : deferred) waiting.reply(http_status::kServiceUnavailable, "");
}

void LedPartitions::step_down_from_all(const char* reason) {
  while (!led_.empty()) step_down(led_.begin()->first, reason);
}

std::vector<std::pair<int, std::uint64_t>> LedPartitions::fencing_tokens() const {
  std::vector<std::pair<int, std::uint64_t>> tokens;
  for (const auto& [partition, led] : led_)
    tokens.emplace_back(partition, led.scheduler->fencing_token());
  return tokens;
}

}  // namespace eiderreel
