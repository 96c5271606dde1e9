// JSON codec of the cloud's API.
#include "codec/cloud_json.h"

#include <utility>

#include "codec/json_fields.h"
#include "codec/wire_names.h"

namespace eiderreel::codec {

using namespace fields;

namespace {

Decoded<MachineType> parse_type(const Value& object) {
  FieldReader reader(object);
  MachineType type;
  reader.required(wire::cloud::kTypeName, type.name);
  reader.required(wire::cloud::kCpus, type.cpus);
  reader.required(wire::cloud::kMemoryGb, type.memory_gb);
  reader.optional(wire::cloud::kGpus, type.gpus);
  reader.optional(wire::cloud::kCacheGb, type.cache_gb);
  reader.optional(wire::cloud::kFetchGbPerS, type.fetch_gb_per_s);
  reader.optional(wire::cloud::kPrice, type.price);
  reader.optional(wire::cloud::kSpotPrice, type.spot_price);
  reader.optional(wire::cloud::kBootS, type.boot_s);
  if (const Value* zones = find_field(object, wire::cloud::kZones))
    type.zones = string_elements(*zones);
  return reader.result(std::move(type));
}

Decoded<ListedMachine> parse_machine(const Value& object) {
  FieldReader reader(object);
  ListedMachine machine;
  reader.required(wire::cloud::kMachineId, machine.id);
  reader.optional(wire::cloud::kAddress, machine.addr);
  reader.optional(wire::cloud::kMachineType, machine.type);
  reader.optional(wire::cloud::kZone, machine.zone);
  reader.optional(wire::cloud::kSpot, machine.spot);
  reader.optional(wire::cloud::kPhase, machine.phase);
  reader.optional(wire::cloud::kRentalAgeS, machine.rental_age_s);
  return reader.result(std::move(machine));
}

}  // namespace

Decoded<std::vector<MachineType>> parse_catalog(const std::string& body) {
  const auto document = parse_object(body);
  if (!document) return tl::unexpected(document.error());
  return parse_objects(*document, wire::cloud::kMachineTypes, parse_type);
}

Decoded<MachineList> parse_machines(const std::string& body) {
  const auto document = parse_object(body);
  if (!document) return tl::unexpected(document.error());
  auto machines = parse_objects(*document, wire::cloud::kMachines, parse_machine);
  if (!machines) return tl::unexpected(machines.error());
  MachineList list;
  list.machines = std::move(*machines);
  FieldReader reader(*document);
  reader.required(wire::cloud::kMore, list.has_more);
  return reader.result(std::move(list));
}

Decoded<std::vector<std::string>> parse_provisioned(const std::string& body) {
  const auto document = parse_object(body);
  if (!document) return tl::unexpected(document.error());
  const Value* machines = find_field(*document, wire::cloud::kMachines);
  if (machines == nullptr || !machines->IsArray())
    return field_error(DecodeFault::missing_or_invalid, wire::cloud::kMachines);
  return string_elements(*machines);
}

std::string scale_out_body(const std::string& request_id, const std::string& type,
                           const std::string& zone, bool spot, int count) {
  return encode_object([&](Writer& writer) {
    put(writer, wire::cloud::kRequestId, request_id);
    put(writer, wire::cloud::kMachineType, type);
    put(writer, wire::cloud::kZone, zone);
    put(writer, wire::cloud::kSpot, spot);
    put(writer, wire::cloud::kCount, count);
  });
}

std::string scale_in_body(const std::vector<std::string>& machines) {
  return encode_object(
      [&](Writer& writer) { put_strings(writer, wire::cloud::kMachines, machines); });
}

}  // namespace eiderreel::codec
