// JSON codec of a job's fields. Submissions by users and job records in the state store share this
// format.
#pragma once
#include <string>
#include <vector>

#include "codec/json_fields.h"
#include "model/job.h"

namespace eiderreel::codec::fields {

/// Parses a submitted job ("POST /v1/jobs") except for its prerequisites. The error names the first
/// field that is missing or invalid.
Decoded<JobSpec> parse_spec(const Value& object);
/// Parses a list of job ids and drops duplicates. A missing list counts as empty.
Decoded<std::vector<std::string>> parse_job_ids(const Value& object, const char* name);
/// Writes the fields of a job except for its prerequisites.
void put_spec(Writer& writer, const JobSpec& spec);

}  // namespace eiderreel::codec::fields
