// Where a heartbeat goes: to a partition led here, or to the node that leads its partition.
#include "leadership/heartbeat_router.h"

#include <utility>
#include <vector>

#include "codec/worker_json.h"
#include "runtime/http_status.h"

namespace eiderreel {

namespace k = constants;

void HeartbeatRouter::receive(const Heartbeat& heartbeat, Reply reply) {
  // The worker has sent a newer heartbeat, so it no longer waits for the reply to the held one.
  if (const auto held = held_.find(heartbeat.machine); held != held_.end()) {
    const Reply superseded = std::move(held->second.reply);
    held_.erase(held);
    superseded(http_status::kServiceUnavailable, "");
  }
  dispatch(heartbeat, std::move(reply));
}

void HeartbeatRouter::dispatch(const Heartbeat& heartbeat, Reply reply) {
  const ClusterView& view = state_store_.view();
  if (!view.ready) return reply(http_status::kServiceUnavailable, "");
  const auto machine = view.machines.find(heartbeat.machine);
  if (machine == view.machines.end()) {
    if (led_.acting(0)) return assign_(heartbeat, std::move(reply));
    return redirect(heartbeat, 0, std::move(reply));
  }
  const int partition = machine->second.record.partition;
  const bool released = partition < 0;  // it is being returned to the cloud
  if (released) return reply(http_status::kServiceUnavailable, "");
  LedPartition* led = led_.find_acting(partition);
  if (!led) return redirect(heartbeat, partition, std::move(reply));
  take_in(*led, heartbeat, std::move(reply));
}

void HeartbeatRouter::take_in(LedPartition& led, const Heartbeat& heartbeat, Reply reply) {
  const std::string& machine = heartbeat.machine;
  // The worker has sent a newer heartbeat, so it no longer waits for the reply to the deferred one.
  if (const auto superseded = led.take_deferred(machine))
    superseded(http_status::kServiceUnavailable, "");
  const Ms now = runtime_.now();
  HeartbeatReply answer = led.scheduler->on_heartbeat(heartbeat, now);
  if (answer.verdict == HeartbeatVerdict::stale) {
    ++counters_.stale_heartbeats;
    return reply(http_status::kServiceUnavailable, "");
  }
  if (heartbeat.fencing_token < answer.fencing_token)
    return commands_.reply_to_heartbeat(led, machine, answer.commands, reply);
  const auto starts = led.scheduler->place_tasks(machine, now);
  answer.commands.insert(answer.commands.end(), starts.begin(), starts.end());
  const Ms defer = answer.commands.empty() ? led.scheduler->defer_ms(machine) : 0;
  if (defer > 0) {
    ++counters_.deferred;
    led.deferred[machine] = {std::move(reply), now + defer};
    return;
  }
  commands_.reply_to_heartbeat(led, machine, answer.commands, reply);
}

// Whether the node that led a partition last is a peer that is not heard of.
bool HeartbeatRouter::leader_silent(int partition) const {
  const auto leader = claims_.last_leader(partition);
  return leader && *leader != settings_.node && !peers_.alive(*leader);
}

// A worker that is sent to a leader that has stopped waits 4 s for it, for the second time, and its
// lease ends. Where the leader is silent, the heartbeat is held for a failover.
void HeartbeatRouter::redirect(const Heartbeat& heartbeat, int partition, Reply reply) {
  if (!leader_silent(partition)) return redirect_to_leader(partition, reply);
  held_[heartbeat.machine] = {heartbeat, partition, std::move(reply),
                              runtime_.now() + k::kHoldHeartbeatMs};
}

void HeartbeatRouter::redirect_to_leader(int partition, const Reply& reply) const {
  const auto& partitions = state_store_.view().partitions;
  const auto stored = partitions.find(partition);
  if (stored == partitions.end() || stored->second.leader == settings_.node)
    return reply(http_status::kServiceUnavailable, "");
  reply(http_status::kMisdirectedRequest, codec::redirect_body(stored->second.leader));
}

// Silence is no proof that the leader has stopped, so in the end the worker is told its name all
// the same.
void HeartbeatRouter::release_held() {
  std::vector<HeldHeartbeat> ready;
  for (auto held = held_.begin(); held != held_.end();) {
    if (leader_silent(held->second.partition) && runtime_.now() < held->second.until) {
      ++held;
      continue;
    }
    ready.push_back(std::move(held->second));
    held = held_.erase(held);
  }
  for (HeldHeartbeat& held : ready) {
    if (leader_silent(held.partition))
      redirect_to_leader(held.partition, held.reply);
    else
      dispatch(held.heartbeat, std::move(held.reply));
  }
}

}  // namespace eiderreel
