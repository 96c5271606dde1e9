// Submission of jobs by users: validation, refusal of what can never run, and admission.
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

/// Decides on submissions. Any node does so for any team.
class JobSubmission {
 public:
  /// Replies with the state of a job that is known already.
  using LookUp = std::function<void(const std::string& id, const Reply& reply)>;

  JobSubmission(const Runtime& runtime, const Settings& settings, StateStoreClient& state_store,
                const PartitionLeader& partition_leader, LookUp look_up);

  /// Replies 201 once the job is durable, 200 if it was known before, or with an error.
  void submit(const std::string& body, const Reply& reply);

  /// The machine types of the cloud; until they are known, no job is admitted.
  void types_known(const std::vector<MachineType>& types) { types_ = types; }
  /// Whether the machine types of the cloud are known, without which no job is admitted.
  bool knows_types() const { return !types_.empty(); }

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
  std::vector<MachineType> types_;
};

}  // namespace eiderreel
