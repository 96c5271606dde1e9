// The acceptance of jobs: a job is known once its record is durable, and a job that names
// prerequisites only if each of them was accepted before.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "state_store/state_store_client.h"

namespace eiderreel {

enum class AdmissionResult {
  accepted,
  known,                 // it was accepted before: its user is told its state
  unknown_prerequisite,  // a prerequisite was never accepted: neither is the job
  unconfirmed,           // the state store does not tell; the user asks again
  too_large,             // its record does not fit into a value
};

class JobAdmission {
 public:
  using Done = std::function<void(AdmissionResult)>;

  JobAdmission(const Settings& settings, StateStoreClient& state_store)
      : settings_(settings), state_store_(state_store) {}
  void accept(JobSpec job, Done done);

 private:
  // A job with prerequisites on its way; a repeated submission waits for the same outcome.
  struct Submission {
    JobSpec job;
    std::vector<Done> waiting;
    std::string nonce;
    std::vector<std::string> chunks;  // values of its prerequisites, where they need several
    std::size_t written = 0;          // chunks that are durable
    std::uint64_t last_chunk_revision = 0;
  };
  using Pending = std::shared_ptr<Submission>;

  void check_prerequisites(const Pending& p);
  void check_accepted(const Pending& p);
  std::vector<std::string> unknown_prerequisites(const JobSpec& job) const;
  void write(const Pending& p);
  void split(Submission& submission) const;
  void write_chunks(const Pending& p);
  void commit_record(const JobSpec& job, std::string value, std::string nonce,
                     std::vector<codec::Precondition> preconditions, Done done);
  void end(const Pending& p, AdmissionResult admission);
  std::size_t value_limit() const {
    return static_cast<std::size_t>(settings_.state_value_kb * 1024);
  }

  const Settings& settings_;
  StateStoreClient& state_store_;
  std::map<std::string, Pending> pending_;
};

}  // namespace eiderreel
