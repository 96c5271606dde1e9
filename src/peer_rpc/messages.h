// Messages between nodes, as values; their form on the wire is Cap'n Proto (mesh.capnp).
#pragma once
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "scheduler/partition_scheduler.h"

namespace eiderreel::mesh {

struct Ask {
  std::uint64_t number = 0;
  bool cancel = false;
  std::string job;
};
struct Answer {
  std::uint64_t number = 0;
  int status = 0;
  std::string body;
};
struct Status {
  std::vector<std::pair<int, PartNeed>> parts;
  BudgetUse use;               // of the state service by the sender
  bool hears = true;           // whether it hears of workers
  std::uint64_t features = 0;  // of the sender's build, see constants::kFeatures
  // Nothing: the sender takes no part in cluster versions.
  std::optional<ConversionProgress> conversion = std::nullopt;
};
struct Move {
  int part = 0, to = -1;
  double cpus = 0;
  bool spot = false;
};
struct Gone {  // machines that the cloud has said to be gone
  std::vector<std::string> machines;
};
struct Shed {
  int part = 0;
  double cpus = 0;
  bool drain = false;  // also machines with services
};
struct PromiseRequest {
  std::uint64_t number = 0;
  Ms life = 0;
  std::vector<std::pair<int, std::uint64_t>> parts;  // the sender's, with their revisions
  std::uint64_t store_revision = 0;                  // of the sender's view
};
struct Promise {
  std::uint64_t number = 0;
  bool given = false;
  std::vector<ClosedJob> closed;  // all that ended after the asker's store revision
};

using Body = std::variant<Ask, Answer, Status, Move, PromiseRequest, Promise, Gone, Shed>;
struct Message {
  std::string from;
  Body body;
};

std::string encode(const Message& m);  // without the frame's length
std::optional<Message> decode(const std::string& bytes);

}  // namespace eiderreel::mesh
