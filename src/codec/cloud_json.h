// The cloud's catalog, its list of machines, and requests to scale out and in, in JSON.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "model/machine.h"

namespace eiderreel::codec {

struct ListedMachine {
  std::string id, addr, type, zone, phase;
  bool spot = false;
  double held_s = 0;
};
struct MachineList {
  std::vector<ListedMachine> machines;
  bool more = false;
};
std::optional<std::vector<MachineType>> parse_catalog(const std::string& body);
std::optional<MachineList> parse_machines(const std::string& body);
std::optional<std::vector<std::string>> parse_provisioned(const std::string& body);
std::string scale_out_body(const std::string& charter, const std::string& type,
                           const std::string& zone, bool spot, int count);
std::string scale_in_body(const std::vector<std::string>& machines);

}  // namespace eiderreel::codec
