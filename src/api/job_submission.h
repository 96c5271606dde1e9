// Submission of jobs by users: validation, refusal of jobs that can never run, and admission.
#pragma once
#include <functional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "api/job_admission.h"
#include "api/user_error.h"
#include "leadership/partition_leader.h"
#include "state_store/state_store_client.h"

namespace eiderreel {

/// Validates and admits submitted jobs. Any node can do so for any team.
class JobSubmission {
 public:
  /// Replies with the state of a known job.
  using LookUp = std::function<void(const std::string& id, const Reply& reply)>;

  JobSubmission(const Runtime& runtime, const Settings& settings, StateStoreClient& state_store,
                const PartitionLeader& partition_leader, LookUp look_up);

  /// Replies 201 once the job record is durable, 200 if the job is already known, or with an error.
  void submit(const std::string& body, const Reply& reply);

  /// Sets the machine types of the cloud. No job is admitted before the first call.
  void set_machine_types(const std::vector<MachineType>& types) { machine_types_ = types; }
  /// Whether the machine types of the cloud are known.
  bool has_machine_types() const { return !machine_types_.empty(); }

 private:
  tl::expected<void, UserError> check_can_run(const JobSpec& job) const;
  tl::expected<void, UserError> check_node_admits(const JobSpec& job) const;
  bool is_known(const std::string& id) const;
  void refuse_if_unknown(const std::string& id, const std::string& error, const Reply& reply);
  void admit(JobSpec job, const Reply& reply);
  void reply_admission(const std::string& id, const AdmissionResult& result, const Reply& reply);

  const Runtime& runtime_;
  const Settings& settings_;
  StateStoreClient& state_store_;
  const PartitionLeader& partition_leader_;
  JobAdmission admission_;
  LookUp look_up_;
  std::vector<MachineType> machine_types_;
};

}  // namespace eiderreel
