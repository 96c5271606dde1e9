// Jobs as users submit and see them, in JSON; section "Users -> controller nodes" of the protocol.
#pragma once
#include <optional>
#include <string>

#include "model/job.h"

namespace eiderreel::codec {

/// A submission, and what is wrong with it.
struct ParsedJob {
  // Also there if the prerequisites alone are invalid: the job may be known, whatever they say.
  std::optional<JobSpec> spec;
  std::string error;  // what is wrong, as the user is told; empty: nothing
};

/// The body of "POST /v1/jobs".
ParsedJob parse_job(const std::string& body);
/// Whether the id has the form that all ids of jobs have: `run-` and 1 to 60 digits.
bool valid_job_id(const std::string& id);
/// The answer to an accepted submission or a cancellation.
std::string job_answer(const std::string& id, JobPhase phase);
/// The answer to "GET /v1/jobs/{id}".
std::string job_status(const std::string& id, const JobStatus& status);
/// The body of an answer that tells of an error.
std::string error_body(const std::string& text);
/// The name of a phase, for users and in records.
const char* phase_name(JobPhase phase);

}  // namespace eiderreel::codec
