// Three controllers as real processes on loopback. The state store, the cloud, the workers and the
// users are those of the simulated cluster, served over real sockets in real time.
#pragma once
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/http_client.h"
#include "processes/child_process.h"
#include "processes/stand_in_servers.h"
#include "upgrade/upgrade_cluster.h"

namespace eiderreel::standin {

// A build of the controller program.
struct ControllerBuild {
  std::string program;
  bool takes_upgrade_file = true;  // builds before cluster versions have no `--upgrade`
};

class ProcessCluster {
 public:
  ProcessCluster(Options options, const std::string& directory);
  ~ProcessCluster();

  UpgradeCluster& simulated_cluster() { return *simulated_cluster_; }
  void start(int node, const ControllerBuild& build);
  void kill(int node) { controllers_[static_cast<std::size_t>(node)].reset(); }
  void set_suspended(int node, bool suspended) {
    controllers_[static_cast<std::size_t>(node)]->set_suspended(suspended);
  }
  // The exit code of a controller that has exited on its own; nullopt while it runs.
  std::optional<int> exit_code_of(int node);
  // Runs the cluster until the condition holds, at most for `seconds_from_now`. Returns whether it
  // holds.
  bool run_until(double seconds_from_now, const std::function<bool()>& condition);
  void run_for(double seconds) {
    run_until(seconds, [] { return false; });
  }
  double now() const;
  // Runs `eiderreel upgrade ...` with the addresses of all controllers and returns its exit code.
  int run_command(const ControllerBuild& build, std::vector<std::string> words);
  const std::string& directory() const { return directory_; }
  std::string last_output() const;  // of the last command

 private:
  struct ControllerAddress {
    std::string api, peer_rpc;
  };
  std::string settings_text(int node) const;
  std::string add_worker(const std::string& machine);
  void call_controller(int node, const HttpRequest& request, std::function<void(HttpReply)> done);
  StandInServer::Handler stand_in(const std::string& name);

  Options options_;
  std::string directory_;
  net::EventBasePtr base_;
  std::vector<ControllerAddress> addresses_;
  std::vector<std::unique_ptr<net::HttpClient>> clients_;
  std::map<std::string, std::unique_ptr<StandInServer>> workers_;  // by machine
  std::unique_ptr<UpgradeCluster> simulated_cluster_;
  std::unique_ptr<StandInServer> state_, cloud_;
  std::vector<std::unique_ptr<ChildProcess>> controllers_;
  Ms started_at_ = 0;
};

}  // namespace eiderreel::standin
