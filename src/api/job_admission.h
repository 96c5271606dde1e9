// Admission of jobs: a job is accepted once its record is durable. A job with prerequisites is
// accepted only if each of them was accepted before.
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

/// Which submission made the job accepted.
enum class Admission {
  accepted,         // this submission
  accepted_before,  // an earlier one; the reply is the job's state
};

/// Why a job was not admitted.
enum class AdmissionFailure {
  unknown_prerequisite,  // a prerequisite was never accepted
  unconfirmed,           // the state store did not confirm; the user should retry
  too_large,             // the record exceeds the value size limit of the state store
};

using AdmissionResult = tl::expected<Admission, AdmissionFailure>;

/// Checks the prerequisites of jobs and writes their records.
class JobAdmission {
 public:
  using Done = std::function<void(AdmissionResult)>;

  JobAdmission(const Settings& settings, StateStoreClient& state_store)
      : settings_(settings), state_store_(state_store), chunk_writer_(settings, state_store) {}

  /// Admits the job and calls back with the outcome, possibly before this call returns.
  void accept(JobSpec job, Done done);

 private:
  // A job with prerequisites whose admission is pending.
  struct Submission {
    JobSpec job;
    std::vector<Done> callbacks;
  };
  using PendingSubmission = std::shared_ptr<Submission>;

  void check_prerequisites(const PendingSubmission& submission);
  void check_prerequisites_accepted(const PendingSubmission& submission);
  std::vector<std::string> unknown_prerequisites(const JobSpec& job) const;
  void write_record(const PendingSubmission& submission);
  void write_with_chunks(const PendingSubmission& submission, const std::string& nonce);
  void commit_record(const JobSpec& job, std::string value, std::string nonce,
                     std::vector<codec::Precondition> preconditions, Done done);
  void finish(const PendingSubmission& submission, const AdmissionResult& result);

  const Settings& settings_;
  StateStoreClient& state_store_;
  PrerequisiteChunkWriter chunk_writer_;
  std::map<std::string, PendingSubmission> pending_;  // by job id
};

}  // namespace eiderreel
