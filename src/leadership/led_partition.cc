// Lookups in the state of a led partition.
#include "leadership/led_partition.h"

#include <utility>

namespace eiderreel {

Reply LedPartition::take_deferred(const std::string& machine) {
  const auto found = deferred.find(machine);
  if (found == deferred.end()) return nullptr;
  Reply reply = std::move(found->second.reply);
  deferred.erase(found);
  return reply;
}

JobPersistence* LedPartition::find_persistence(const std::string& job) {
  const auto found = persistence.find(job);
  return found == persistence.end() ? nullptr : &found->second;
}

}  // namespace eiderreel
