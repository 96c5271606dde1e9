// The fields of a job. Users submit a job in this form, and its record in the state store has the
// same form.
#pragma once
#include <string>
#include <vector>

#include "codec/json_fields.h"
#include "model/job.h"

namespace eiderreel::codec::fields {

/// What a user has submitted, but for the prerequisites ("POST /v1/jobs"). The error names the
/// first field that is missing or invalid.
Decoded<JobSpec> parse_spec(const Value& object);
/// A list of job ids, each taken once; a missing list is an empty one.
Decoded<std::vector<std::string>> parse_job_ids(const Value& object, const char* name);
/// Writes the fields of a job, but for its prerequisites.
void put_spec(Writer& writer, const JobSpec& spec);

}  // namespace eiderreel::codec::fields
