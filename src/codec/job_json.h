// Jobs as users submit and see them, in JSON.
#pragma once
#include <optional>
#include <string>

#include "model/job.h"

namespace eiderreel::codec {

struct ParsedJob {
  // Also there if the prerequisites alone are invalid: the job may be known, whatever they say.
  std::optional<JobSpec> spec;
  std::string error;  // what is wrong; empty: nothing
};
ParsedJob parse_job(const std::string& body);
bool valid_job_id(const std::string& id);
std::string job_answer(const std::string& id, JobPhase phase);
std::string job_status(const std::string& id, const JobStatus& s);
std::string error_body(const std::string& text);
const char* phase_name(JobPhase p);

}  // namespace eiderreel::codec
