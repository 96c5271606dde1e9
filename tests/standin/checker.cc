#include "standin/checker.h"

namespace eiderreel::standin {

void Checker::broke(double t, const char* rule, const std::string& what) {
  broken_.push_back(std::to_string(t) + " " + rule + ": " + what);
}

void Checker::submit_answer(double t, const std::string& id, int status) {
  Job& j = jobs_[id];
  if (status == 200 || status == 201) j.accepted = true;
  if (j.accepted && (status == 400 || status == 422)) broke(t, "forgotten", id + " is refused");
}

void Checker::told(double t, const std::string& id, const std::string& phase) {
  auto it = jobs_.find(id);
  if (phase.empty()) {
    if (it != jobs_.end() && it->second.accepted) broke(t, "forgotten", id + " gets 404");
    return;
  }
  if (it == jobs_.end() || it->second.spec.id.empty())
    return broke(t, "invented", id + " is " + phase);
  Job& j = it->second;
  j.accepted = true;
  if (!j.final_phase.empty() && phase != j.final_phase)
    return broke(t, "went_back", id + " was " + j.final_phase + ", is " + phase);
  if (phase == "cancelled" && !j.cancel_asked) broke(t, "went_back", id + " cancelled by nobody");
  if (phase == "done" && j.done.size() < j.spec.tasks) broke(t, "not_done", id);
  if (phase == "done" || phase == "cancelled") {
    if (j.final_phase.empty() && phase == "cancelled") j.cancelled_at = t;
    j.final_phase = phase;
  }
}

void Checker::task_on(double t, const Place& p, const std::string& id, std::uint32_t index) {
  ++starts_;
  Job& j = jobs_[id];
  const std::string name = id + "/" + std::to_string(index);
  if (!j.on[index].empty()) broke(t, "ran_twice", name + " on " + p.machine);
  const JobSpec& s = j.spec;
  const bool type_ok =
      s.types.empty() || std::find(s.types.begin(), s.types.end(), p.type) != s.types.end();
  if (!type_ok || (!s.zone.empty() && s.zone != p.zone) || (p.spot && !s.spot))
    broke(t, "wrong_place", name + " on " + p.machine);
  std::uint32_t here = 1;
  for (const auto& [other, places] : j.on)
    for (const auto& [machine, place] : places) {
      if (s.one_zone && place.zone != p.zone) broke(t, "wrong_place", name + " in a second zone");
      if (place.zone == p.zone) ++here;
    }
  if (s.spread && here > (s.tasks + 1) / 2) broke(t, "wrong_place", name + " not apart");
  if (j.cancelled_at >= 0 && t > j.cancelled_at + cancel_s_)
    broke(t, "ran_cancelled", name + " starts");
  j.on[index][p.machine] = p;
  double& cpus = team_cpus_[s.team];
  cpus += s.cpus;
  for (const auto& team : teams_)
    if (team.name == s.team && cpus > team.cpus_max + 1e-6)
      broke(t, "quota", s.team + " uses " + std::to_string(cpus));
}

void Checker::task_off(const std::string& machine, const std::string& id, std::uint32_t index) {
  Job& j = jobs_[id];
  if (j.on[index].erase(machine) > 0) team_cpus_[j.spec.team] -= j.spec.cpus;
  if (j.on[index].empty()) j.on.erase(index);
}

void Checker::look(double t) {
  for (auto& [id, j] : jobs_)
    if (j.cancelled_at >= 0 && t > j.cancelled_at + cancel_s_ && !j.on.empty()) {
      broke(t, "ran_cancelled", id + " still runs");
      j.cancelled_at = t + 1e9;  // told once
    }
}

}  // namespace eiderreel::standin
