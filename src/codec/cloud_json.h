// The cloud's catalog, its list of machines, and requests to scale out and in, in JSON; section
// "Controller nodes -> cloud" of the protocol.
#pragma once
#include <string>
#include <vector>

#include "codec/decode_error.h"
#include "model/machine.h"

namespace eiderreel::codec {

/// A machine as the cloud lists it. The list may be behind by a minute and more.
struct ListedMachine {
  std::string id;
  std::string addr;  // IP:PORT of its worker
  std::string type;
  std::string zone;
  std::string phase;  // starting, running or failed
  bool spot = false;
  double held_s = 0;  // since the request that rented it
};

/// A page of the list.
struct MachineList {
  std::vector<ListedMachine> machines;
  bool more = false;  // further pages follow
};

/// The answer to "GET /catalog".
Decoded<std::vector<MachineType>> parse_catalog(const std::string& body);
/// The answer to "GET /machines".
Decoded<MachineList> parse_machines(const std::string& body);
/// The answer to "POST /machines": the ids of the machines that were rented.
Decoded<std::vector<std::string>> parse_provisioned(const std::string& body);
/// The body of "POST /machines". A request id must never be used twice.
std::string scale_out_body(const std::string& request_id, const std::string& type,
                           const std::string& zone, bool spot, int count);
/// The body of "POST /machines/return".
std::string scale_in_body(const std::vector<std::string>& machines);

}  // namespace eiderreel::codec
