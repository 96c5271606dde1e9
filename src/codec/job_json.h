// JSON codec of the users' API for jobs. See the section "Users -> controller nodes" of the
// protocol.
#pragma once
#include <optional>
#include <string>

#include "model/job.h"

namespace eiderreel::codec {

/// The result of parsing a submission.
struct ParsedJob {
  // Also set if only the prerequisites are invalid: a repeated submission of a known job is
  // answered whatever prerequisites it names.
  std::optional<JobSpec> spec;
  std::string error;  // error message for the user; empty: the submission is valid
};

/// Parses the body of "POST /v1/jobs".
ParsedJob parse_job(const std::string& body);
/// Whether the id has the format of job ids: `run-` and 1 to 60 digits.
bool valid_job_id(const std::string& id);
/// The body of the answer to an accepted submission or to a cancellation.
std::string job_phase_body(const std::string& id, JobPhase phase);
/// The body of the answer to "GET /v1/jobs/{id}".
std::string job_status_body(const std::string& id, const JobStatus& status);
/// The body of an answer with an error message.
std::string error_body(const std::string& text);
/// The name of a phase, as used in answers to users and in records.
const char* phase_name(JobPhase phase);

}  // namespace eiderreel::codec
