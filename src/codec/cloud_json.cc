// The catalog, the list of machines and rentals.
#include "codec/cloud_json.h"

#include "codec/json_fields.h"

namespace eiderreel::codec {

using namespace fields;

std::optional<std::vector<MachineType>> parse_catalog(const std::string& body) {
  Doc d;
  if (!parse(d, body)) return std::nullopt;
  const Value* types = field(d, "hulls");
  if (!types || !types->IsArray()) return std::nullopt;
  std::vector<MachineType> out;
  for (const auto& e : types->GetArray()) {
    if (!e.IsObject()) return std::nullopt;
    MachineType t;
    if (!get(e, "name", t.name) || !get(e, "cores", t.cpus) || !get(e, "mem_gb", t.memory_gb))
      return std::nullopt;
    get(e, "accelerators", t.gpus);
    get(e, "cache_gb", t.cache_gb);
    get(e, "fetch_gb_per_s", t.fetch_gb_per_s);
    get(e, "price", t.price);
    get(e, "market_price", t.spot_price);
    get(e, "ready_s", t.boot_s);
    if (const Value* z = field(e, "berths"); z && z->IsArray())
      for (const auto& n : z->GetArray())
        if (n.IsString()) t.zones.emplace_back(n.GetString(), n.GetStringLength());
    out.push_back(std::move(t));
  }
  return out;
}

std::optional<MachineList> parse_machines(const std::string& body) {
  Doc d;
  if (!parse(d, body)) return std::nullopt;
  const Value* rows = field(d, "hosts");
  MachineList out;
  if (!rows || !rows->IsArray() || !get(d, "more", out.more)) return std::nullopt;
  for (const auto& e : rows->GetArray()) {
    ListedMachine m;
    if (!e.IsObject() || !get(e, "name_id", m.id)) return std::nullopt;
    get(e, "endpoint", m.addr);
    get(e, "hull", m.type);
    get(e, "berth", m.zone);
    get(e, "driftwood", m.spot);
    get(e, "phase", m.phase);
    get(e, "held_s", m.held_s);
    out.machines.push_back(std::move(m));
  }
  return out;
}

std::optional<std::vector<std::string>> parse_provisioned(const std::string& body) {
  Doc d;
  if (!parse(d, body)) return std::nullopt;
  const Value* rows = field(d, "hosts");
  if (!rows || !rows->IsArray()) return std::nullopt;
  std::vector<std::string> out;
  for (const auto& e : rows->GetArray())
    if (e.IsString()) out.emplace_back(e.GetString(), e.GetStringLength());
  return out;
}

std::string scale_out_body(const std::string& charter, const std::string& type,
                           const std::string& zone, bool spot, int count) {
  return object([&](Writer& w) {
    put(w, "charter", charter);
    put(w, "hull", type);
    put(w, "berth", zone);
    put(w, "driftwood", spot);
    put(w, "how_many", count);
  });
}

std::string scale_in_body(const std::vector<std::string>& machines) {
  return object([&](Writer& w) {
    w.Key("hosts");
    w.StartArray();
    for (const auto& m : machines) w.String(m.data(), static_cast<rapidjson::SizeType>(m.size()));
    w.EndArray();
  });
}

}  // namespace eiderreel::codec
