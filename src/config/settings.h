// The settings of a controller; settings_file.cc reads them from a file.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "config/config_problem.h"
#include "config/upgrade_settings.h"
#include "constants.h"
#include "model/team.h"

namespace eiderreel {

/// Another controller of the cluster, as listed in the settings file.
struct Peer {
  std::string name;
  std::string zone;
  std::string peer_addr;  ///< IP:PORT on which it listens for other controllers.
};

/// Initial values of settings that every settings file must state; they only apply where no file is
/// read.
namespace default_settings {

inline constexpr double kCancelS = 40;        // s
inline constexpr double kStateRps = 50;       // requests per second
inline constexpr double kStateWriteRps = 20;  // changes per second

}  // namespace default_settings

/// The settings of one controller. All except `upgrade` come from the platform's settings file.
struct Settings {
  std::string node;       ///< Name of this controller.
  std::string zone;       ///< Zone in which this controller runs.
  std::string api_addr;   ///< IP:PORT on which it serves HTTP.
  std::string peer_addr;  ///< IP:PORT on which it listens for other controllers.
  std::vector<Peer> peers;
  std::string cloud_addr;  ///< IP:PORT of the cloud's API.
  std::string state_addr;  ///< IP:PORT of the state store.

  int partition_count = 1;
  std::vector<std::string> zones;
  double skew_ms = 0;  ///< Maximum difference between wall clocks, in milliseconds.
  std::vector<Team> teams;

  /// Objectives for the completion time of jobs, by job class.
  std::map<std::string, std::vector<CompletionObjective>> completion_objectives;
  /// Objective for the start of tasks within a team's fair share, in seconds.
  double fair_share_start_s = constants::kDefaultFairShareStartS;
  /// Objective for the start of a job's tasks, in seconds, by job class.
  std::map<std::string, double> start_objectives_s;

  double heartbeat_interval_s = 1;  ///< Seconds between two heartbeats of a worker.
  double lease_s = 10;              ///< Duration of a worker's lease in seconds.
  double cancel_s =
      default_settings::kCancelS;  ///< Seconds within which a worker must stop a task.

  // Limits of the state store. If the file announces future limits (`params.state.next`), each is
  // the lower of the present and the future limit.
  double state_rps =
      default_settings::kStateRps;  ///< Requests per second of all controllers together.
  double state_write_rps =
      default_settings::kStateWriteRps;  ///< Changes per second of all controllers together.
  double state_value_kb = 8;             ///< Largest size of a value in KiB.
  int state_txn_ops = 16;                ///< Most changes in one transaction.

  double cloud_rps = 4;   ///< Requests per second that the cloud accepts.
  double list_lag_s = 5;  ///< Longest lag of the cloud's list of machines in seconds.

  double core_share = 1;   ///< CPUs that this controller may use.
  double memory_mb = 64;   ///< MiB of memory that this controller may use.
  int max_sockets = 1000;  ///< Sockets that this controller may have open.

  upgrade::UpgradeSettings upgrade;  ///< From the upgrade file; see load_upgrade_settings.

  /// Names of all controllers, sorted so that every controller has the same list.
  std::vector<std::string> node_names() const;
  /// The largest number of changes in one transaction. A transaction with more changes than the
  /// state store accepts in a second would be refused at every retry.
  int max_transaction_writes() const;
  /// The partition of a team, or -1 if the team is unknown. Teams are assigned to partitions
  /// round-robin, in the order of the settings file.
  int partition_of_team(const std::string& team) const;
  /// The teams of a partition, in the order of the settings file.
  std::vector<Team> teams_of(int partition) const;
  /// The controller that leads the partition when all controllers are up.
  std::string preferred_leader_of(int partition) const;
};

/// The result of reading a settings file. The settings may only be used if there are no problems.
struct SettingsResult {
  Settings settings;
  std::vector<ConfigProblem> problems;
};

/// Reads the platform's settings file and reports all of its problems at once.
SettingsResult load_settings(const std::string& file);

}  // namespace eiderreel
