#include "processes/process_cluster.h"

#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace eiderreel::standin {
namespace {

constexpr int kControllers = 3;
constexpr Ms kPollIntervalMs = 2;          // pace of the simulated cluster
constexpr double kCommandTimeoutS = 60;    // above the bounded time of every command
constexpr Ms kControllerTimeoutMs = 5000;  // for requests without a timeout of their own

Ms steady_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

}  // namespace

ProcessCluster::ProcessCluster(Options options, const std::string& directory)
    : options_(std::move(options)),
      directory_(directory),
      base_(event_base_new()),
      controllers_(kControllers) {
  std::filesystem::create_directories(directory_);
  for (int node = 0; node < kControllers; ++node) {
    addresses_.push_back(
        {fmt::format("127.0.0.1:{}", free_port()), fmt::format("127.0.0.1:{}", free_port())});
    const net::Address api = net::parse_address(addresses_.back().api).value();
    clients_.push_back(std::make_unique<net::HttpClient>(base_.get(), api));
  }
  options_.process_request = [this](int node, HttpRequest request,
                                    std::function<void(HttpReply)> done) {
    call_controller(node, request, std::move(done));
  };
  options_.worker_address = [this](const std::string& machine) { return add_worker(machine); };
  started_at_ = steady_ms();
  simulated_cluster_ = std::make_unique<UpgradeCluster>(options_);
  state_ = std::make_unique<StandInServer>(base_.get(), stand_in("state"));
  cloud_ = std::make_unique<StandInServer>(base_.get(), stand_in("cloud"));
  for (int node = 0; node < kControllers; ++node)
    std::ofstream(fmt::format("{}/n{}.toml", directory_, node)) << settings_text(node);
  std::ofstream(directory_ + "/upgrade.toml") << "[upgrade]\nconversion_share = 0.5\n";
}

ProcessCluster::~ProcessCluster() {
  controllers_.clear();
  simulated_cluster_.reset();
  workers_.clear();
  state_.reset();
  cloud_.reset();
  clients_.clear();
  event_base_loop(base_.get(),
                  EVLOOP_NONBLOCK);  // runs deferred callbacks of the closed connections
}

StandInServer::Handler ProcessCluster::stand_in(const std::string& name) {
  return [this, name](const HttpRequest& request, std::function<void(HttpReply)> done) {
    simulated_cluster_->serve(name, request, std::move(done));
  };
}

// Each machine has its own port; the simulated cluster identifies the machine by that address.
std::string ProcessCluster::add_worker(const std::string& machine) {
  auto& server = workers_[machine];
  server = std::make_unique<StandInServer>(
      base_.get(),
      [this, machine](const HttpRequest& request, std::function<void(HttpReply)> done) {
        simulated_cluster_->serve(workers_.at(machine)->address(), request, std::move(done));
      });
  return server->address();
}

void ProcessCluster::call_controller(int node, const HttpRequest& request,
                                     std::function<void(HttpReply)> done) {
  HttpRequest sent = request;
  sent.addr = addresses_[static_cast<std::size_t>(node)].api;
  if (sent.timeout == 0) sent.timeout = kControllerTimeoutMs;
  clients_[static_cast<std::size_t>(node)]->send(std::move(sent), std::move(done));
}

std::string ProcessCluster::settings_text(int node) const {
  const auto& own = addresses_[static_cast<std::size_t>(node)];
  std::string text =
      fmt::format("node_name = \"n{}\"\narea = \"{}\"\napi_addr = \"{}\"\nmesh_addr = \"{}\"\n",
                  node, node % 2 ? "b" : "a", own.api, own.peer_rpc);
  for (int peer = 0; peer < kControllers; ++peer)
    if (peer != node)
      text += fmt::format("[[known]]\nnode_name = \"n{}\"\narea = \"a\"\nendpoint = \"{}\"\n", peer,
                          addresses_[static_cast<std::size_t>(peer)].peer_rpc);
  text += fmt::format("[outside]\ncloud = \"{}\"\nstate = \"{}\"\n", cloud_->address(),
                      state_->address());
  text +=
      fmt::format("[params]\nsize = {}\nzones = [\"a\", \"b\"]\nskew_ms = 25.0\n", kControllers);
  for (const Team& team : options_.teams)
    text += fmt::format(
        "[[params.teams]]\nname = \"{}\"\ncpus = {}\ncpus_max = {}\ngpus = 0\ngpus_max = 0\n",
        team.name, team.fair_share_cpus, team.quota_cpus);
  text += fmt::format("[params.workers]\nreport_s = {}\nlease_s = {}\ncancel_s = {}\n",
                      options_.heartbeat_interval_s, options_.lease_s, options_.cancel_s);
  text += fmt::format("[params.state]\nrps = {}\nwrite_rps = {}\nvalue_kb = {}\ntxn_ops = {}\n",
                      options_.state_rps, options_.state_write_rps, options_.value_kb,
                      options_.txn_ops);
  return text +
         "[params.cloud]\nrps = 4.0\nlist_lag_s = 1.0\n"
         "[params.quota]\ncore_share = 1.0\nmemory_mb = 200\nmax_sockets = 1000\n";
}

void ProcessCluster::start(int node, const ControllerBuild& build) {
  std::vector<std::string> words = {build.program, "serve"};
  if (build.takes_upgrade_file) {
    words.push_back("--upgrade");
    words.push_back(directory_ + "/upgrade.toml");
  }
  words.push_back("--config");
  words.push_back(fmt::format("{}/n{}.toml", directory_, node));
  controllers_[static_cast<std::size_t>(node)] =
      std::make_unique<ChildProcess>(words, fmt::format("{}/n{}.log", directory_, node));
}

std::optional<int> ProcessCluster::exit_code_of(int node) {
  auto& controller = controllers_[static_cast<std::size_t>(node)];
  return controller ? controller->exit_code() : std::nullopt;
}

double ProcessCluster::now() const { return static_cast<double>(steady_ms() - started_at_) / 1000; }

bool ProcessCluster::run_until(double seconds_from_now, const std::function<bool()>& condition) {
  const double end = now() + seconds_from_now;
  while (now() < end) {
    simulated_cluster_->run_until(now());
    event_base_loop(base_.get(), EVLOOP_NONBLOCK);
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(kPollIntervalMs));
  }
  return condition();
}

int ProcessCluster::run_command(const ControllerBuild& build, std::vector<std::string> words) {
  words.insert(words.begin(), {build.program, "upgrade"});
  for (const auto& address : addresses_) words.insert(words.end(), {"--addr", address.api});
  const std::string output = directory_ + "/command.log";
  std::filesystem::remove(output);
  std::string line = "$ eiderreel";
  for (std::size_t i = 1; i < words.size(); ++i) line += " " + words[i];
  ChildProcess child(words, output);
  run_until(kCommandTimeoutS, [&] { return child.exit_code().has_value(); });
  const int code = child.exit_code().value_or(-1);
  std::printf("%s\n%s-> %d\n", line.c_str(), last_output().c_str(), code);
  return code;
}

std::string ProcessCluster::last_output() const {
  std::ostringstream text;
  text << std::ifstream(directory_ + "/command.log").rdbuf();
  return text.str();
}

}  // namespace eiderreel::standin
