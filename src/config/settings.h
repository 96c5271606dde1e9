// The settings of a controller as values; settings_file.cc reads them.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "config/config_problem.h"
#include "config/upgrade_settings.h"
#include "constants.h"
#include "model/team.h"

namespace eiderreel {

/// Another controller, as the settings file lists it.
struct Peer {
  std::string name;
  std::string zone;
  std::string peer_addr;  ///< IP:PORT where it listens for peers.
};

/// Values of settings before a file is read; the file must state all of them.
namespace default_settings {

inline constexpr double kCancelS = 40;
inline constexpr double kStateRps = 50;
inline constexpr double kStateWriteRps = 20;

}  // namespace default_settings

/// The settings of one controller. The platform's file gives everything except `upgrade`.
struct Settings {
  std::string node;       ///< Name of this controller.
  std::string zone;       ///< Zone it runs in.
  std::string api_addr;   ///< IP:PORT where it serves HTTP.
  std::string peer_addr;  ///< IP:PORT where it listens for peers.
  std::vector<Peer> peers;
  std::string cloud_addr;  ///< IP:PORT of the cloud's API.
  std::string state_addr;  ///< IP:PORT of the state store.

  int partition_count = 1;
  std::vector<std::string> zones;
  double skew_ms = 0;  ///< Milliseconds by which wall clocks may differ.
  std::vector<Team> teams;

  /// Objectives for the completion of jobs, by job class.
  std::map<std::string, std::vector<CompletionObjective>> completion_objectives;
  /// Seconds within which work inside a team's fair share should start.
  double fair_share_start_s = constants::kDefaultFairShareStartS;
  /// Seconds within which the tasks of a job should start, by job class.
  std::map<std::string, double> start_objectives_s;

  double heartbeat_interval_s = 1;               ///< Seconds between heartbeats of a worker.
  double lease_s = 10;                           ///< Seconds that a worker's lease lasts.
  double cancel_s = default_settings::kCancelS;  ///< Seconds that a worker may take to stop a task.

  // Limits of the state store. Where the file announces future limits (`params.state.next`), these
  // are the lower of the present and the future ones.
  double state_rps =
      default_settings::kStateRps;  ///< Requests a second, of all controllers together.
  double state_write_rps =
      default_settings::kStateWriteRps;  ///< Changes a second, of all controllers together.
  double state_value_kb = 8;             ///< KiB in one value.
  int state_txn_ops = 16;                ///< Changes in one transaction.

  double cloud_rps = 4;   ///< Requests a second that the cloud accepts.
  double list_lag_s = 5;  ///< Seconds by which the cloud's list of machines may lag.

  double core_share = 1;   ///< CPUs that this controller may use.
  double memory_mb = 64;   ///< MiB of memory that it may use.
  int max_sockets = 1000;  ///< Sockets that it may have open.

  upgrade::UpgradeSettings upgrade;  ///< From the operators' file; see load_upgrade_settings.

  /// Names of all controllers, sorted, so that every controller has the same list.
  std::vector<std::string> node_names() const;
  /// Changes in one transaction at most. A transaction with more changes than the state store
  /// accepts in a second would be refused every time it is retried.
  int batch() const;
  /// The partition of a team, -1 if the team is unknown. Teams are dealt out in the order of the
  /// settings file.
  int partition_of_team(const std::string& team) const;
  /// The teams of a partition, in the order of the settings file.
  std::vector<Team> teams_of(int partition) const;
  /// The controller that leads the partition when all controllers are up.
  std::string preferred_leader_of(int partition) const;
};

/// What was read from a settings file. The settings may only be used if there are no problems.
struct SettingsResult {
  Settings settings;
  std::vector<ConfigProblem> problems;
};

/// Reads the platform's settings file and reports all of its problems at once.
SettingsResult load_settings(const std::string& file);

}  // namespace eiderreel
