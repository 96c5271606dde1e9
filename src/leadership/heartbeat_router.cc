// Routes heartbeats: to a partition that this controller leads, or by redirect to the leader of the
// machine's partition.
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
    if (led_partitions_.is_acting_leader(0)) return assign_machine_(heartbeat, std::move(reply));
    return redirect(heartbeat, 0, std::move(reply));
  }
  const int partition = machine->second.record.partition;
  const bool released = partition < 0;  // the machine is being returned to the cloud
  if (released) return reply(http_status::kServiceUnavailable, "");
  LedPartition* led = led_partitions_.find_acting(partition);
  if (!led) return redirect(heartbeat, partition, std::move(reply));
  process(*led, heartbeat, std::move(reply));
}

void HeartbeatRouter::process(LedPartition& led, const Heartbeat& heartbeat, Reply reply) {
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
  const Ms deferral = answer.commands.empty() ? led.scheduler->defer_ms(machine) : 0;
  if (deferral > 0) {
    ++counters_.deferred;
    led.deferred[machine] = {std::move(reply), now + deferral};
    return;
  }
  commands_.reply_to_heartbeat(led, machine, answer.commands, reply);
}

// Whether the last known leader of a partition is a peer whose status messages have stopped.
bool HeartbeatRouter::leader_silent(int partition) const {
  const auto leader = claims_.last_leader(partition);
  return leader && *leader != settings_.node && !peers_.alive(*leader);
}

// A worker that is redirected to a stopped leader waits 4 s for an answer a second time, and its
// lease expires meanwhile. If the leader is silent, the heartbeat is therefore held until another
// controller takes over the partition, at most kHeartbeatHoldMs.
void HeartbeatRouter::redirect(const Heartbeat& heartbeat, int partition, Reply reply) {
  if (!leader_silent(partition)) return redirect_to_leader(partition, reply);
  held_[heartbeat.machine] = {heartbeat, partition, std::move(reply),
                              runtime_.now() + k::kHeartbeatHoldMs};
}

void HeartbeatRouter::redirect_to_leader(int partition, const Reply& reply) const {
  const auto& partitions = state_store_.view().partitions;
  const auto stored = partitions.find(partition);
  if (stored == partitions.end() || stored->second.leader == settings_.node)
    return reply(http_status::kServiceUnavailable, "");
  reply(http_status::kMisdirectedRequest, codec::redirect_body(stored->second.leader));
}

// Silence does not prove that the leader has stopped, so the worker is redirected to it once the
// hold time is over.
void HeartbeatRouter::release_held() {
  std::vector<HeldHeartbeat> ready;
  for (auto held = held_.begin(); held != held_.end();) {
    if (leader_silent(held->second.partition) && runtime_.now() < held->second.hold_until) {
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
