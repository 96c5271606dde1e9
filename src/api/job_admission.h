// Admission of jobs: a job is known once its record is durable, and a job that names prerequisites
// only if each of them was accepted before.
#pragma once
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "api/prerequisite_chunk_writer.h"
#include "config/settings.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// How a job came to be known.
enum class Admission {
  accepted,      // by this request
  known_before,  // by an earlier one: the user is told the job's state
};

/// Why a job was not admitted.
enum class AdmissionFailure {
  unknown_prerequisite,  // a prerequisite was never accepted, so the job is not either
  unconfirmed,           // the state store does not tell; the user asks again
  too_large,             // the record does not fit into a value of the state store
};

using AdmissionResult = tl::expected<Admission, AdmissionFailure>;

/// Checks the prerequisites of jobs and writes their records.
class JobAdmission {
 public:
  using Done = std::function<void(AdmissionResult)>;

  JobAdmission(const Settings& settings, StateStoreClient& state_store)
      : settings_(settings), state_store_(state_store), chunk_writer_(settings, state_store) {}

  /// Admits the job and calls back with the outcome, at once or later.
  void accept(JobSpec job, Done done);

 private:
  // A job with prerequisites whose admission is not decided yet.
  struct Submission {
    JobSpec job;
    std::vector<Done> waiting;
  };
  using PendingSubmission = std::shared_ptr<Submission>;

  void check_prerequisites(const PendingSubmission& submission);
  void check_accepted(const PendingSubmission& submission);
  std::vector<std::string> unknown_prerequisites(const JobSpec& job) const;
  void write(const PendingSubmission& submission);
  void write_with_chunks(const PendingSubmission& submission, const std::string& nonce);
  void commit_record(const JobSpec& job, std::string value, std::string nonce,
                     std::vector<codec::Precondition> preconditions, Done done);
  void end(const PendingSubmission& submission, const AdmissionResult& result);

  const Settings& settings_;
  StateStoreClient& state_store_;
  PrerequisiteChunkWriter chunk_writer_;
  std::map<std::string, PendingSubmission> pending_;  // by job id
};

}  // namespace eiderreel
