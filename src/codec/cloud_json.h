// JSON codec of the cloud's API: machine catalog, machine list, and requests to scale out and in.
// See the section "Controller nodes -> cloud" of the protocol.
#pragma once
#include <string>
#include <vector>

#include "codec/decode_error.h"
#include "model/machine.h"

namespace eiderreel::codec {

/// A machine as listed by the cloud. The list may lag by more than a minute.
struct ListedMachine {
  std::string id;
  std::string addr;  // IP:PORT of the worker
  std::string type;
  std::string zone;
  std::string phase;  // starting, running or failed
  bool spot = false;
  double rental_age_s = 0;  // since the request that provisioned the machine
};

/// One page of the cloud's list of machines.
struct MachineList {
  std::vector<ListedMachine> machines;
  bool has_more = false;  // whether further pages follow
};

/// Parses the answer to "GET /catalog".
Decoded<std::vector<MachineType>> parse_catalog(const std::string& body);
/// Parses the answer to "GET /machines".
Decoded<MachineList> parse_machines(const std::string& body);
/// Parses the answer to "POST /machines": the ids of the provisioned machines.
Decoded<std::vector<std::string>> parse_provisioned(const std::string& body);
/// The body of "POST /machines". Every request must have a new `request_id`.
std::string scale_out_body(const std::string& request_id, const std::string& type,
                           const std::string& zone, bool spot, int count);
/// The body of "POST /machines/return".
std::string scale_in_body(const std::vector<std::string>& machines);

}  // namespace eiderreel::codec
