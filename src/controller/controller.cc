#include "controller/controller.h"

#include <spdlog/spdlog.h>

#include "codec/job_json.h"
#include "codec/worker_json.h"
#include "controller/metrics.h"
#include "runtime/http_status.h"
#include "upgrade/http_routes.h"

namespace eiderreel {

namespace k = constants;

namespace {

// The message between peers does not tell why there is no answer.
peer_rpc::JobQueryReply job_query_reply(std::uint64_t number, const JobQueryResult& result) {
  if (!result) return {number, http_status::kNoAnswer, ""};
  return {number, result->status, result->body};
}

}  // namespace

Controller::Controller(Runtime& runtime, const Settings& settings)
    : runtime_(runtime),
      settings_(settings),
      state_store_(runtime, settings),
      partition_leader_(runtime, settings, state_store_),
      job_api_(runtime, settings, state_store_, partition_leader_),
      fleet_(runtime, settings, state_store_, partition_leader_),
      upgrades_(runtime, settings, state_store_, partition_leader_) {}

void Controller::send(const std::string& node, const peer_rpc::Body& body) {
  runtime_.send(node, peer_rpc::encode({settings_.node, body}));
}

void Controller::broadcast(const peer_rpc::Body& body) {
  const std::string bytes = peer_rpc::encode({settings_.node, body});
  for (const auto& p : settings_.peers) runtime_.send(p.name, bytes);
}

void Controller::start() {
  partition_leader_.start(
      {[this](const Heartbeat& r, Reply reply) { fleet_.assign(r, std::move(reply)); },
       [this](const peer_rpc::Body& b) { broadcast(b); }});
  job_api_.start({[this](const std::string& node, const peer_rpc::JobQuery& a) { send(node, a); }});
  fleet_.start({[this](const std::vector<MachineType>& types) {
                  partition_leader_.types_known(types);
                  job_api_.types_known(types);
                },
                [this](const std::string& node, const peer_rpc::Body& b) { send(node, b); },
                [this](const std::vector<std::string>& ids) {
                  partition_leader_.machines_terminated(ids);
                  broadcast(peer_rpc::MachinesTerminated{ids});
                }});
  state_store_.start({[this](const std::string& id) { partition_leader_.job_opened(id); },
                      [this](const std::string& id) { partition_leader_.job_ready(id); },
                      [this](const std::string& id) { partition_leader_.job_closed(id); },
                      [this](const std::string& id) { partition_leader_.urgency_changed(id); },
                      [this](const std::string& id) { partition_leader_.machine_changed(id); },
                      [this](int partition) { partition_leader_.partition_changed(partition); }},
                     [this] { partition_leader_.lease_lost(); });
}

void Controller::tick() {
  state_store_.tick();
  partition_leader_.tick();
  fleet_.tick();
  upgrades_.tick();
}

void Controller::frame(const std::string& bytes) {
  auto m = peer_rpc::decode(bytes);
  if (!m) {
    spdlog::warn("peer message malformed bytes={}", bytes.size());
    return;
  }
  struct Visitor {
    Controller& n;
    const std::string& from;
    void operator()(const peer_rpc::JobQuery& a) {
      n.partition_leader_.query_job(
          a, [node = &n, from = from, number = a.number](const JobQueryResult& result) {
            node->send(from, job_query_reply(number, result));
          });
    }
    void operator()(const peer_rpc::JobQueryReply& a) { n.job_api_.on_query_reply(a); }
    void operator()(const peer_rpc::PeerStatus& s) { n.partition_leader_.peer_status(from, s); }
    void operator()(const peer_rpc::TransferRequest& mv) {
      n.partition_leader_.transfer_machines(mv);
    }
    void operator()(const peer_rpc::CordonRequest& sh) { n.partition_leader_.cordon(sh); }
    void operator()(const peer_rpc::MachinesTerminated& g) {
      n.partition_leader_.machines_terminated(g.machines);
    }
    void operator()(const peer_rpc::VoteRequest& a) {
      n.send(from, n.partition_leader_.vote_on(from, a));
    }
    void operator()(const peer_rpc::Vote& p) { n.partition_leader_.receive_vote(from, p); }
  };
  std::visit(Visitor{*this, m->from}, m->body);
}

void Controller::request(const std::string& method, const std::string& path,
                         const std::string& body, Reply reply) {
  if (body.size() > k::kBodyMax) return reply(413, codec::error_body("the body is over 64 KiB"));
  auto only = [&](const char* allowed) {
    if (method == allowed) return true;
    reply(405, codec::error_body(std::string("use ") + allowed));
    return false;
  };
  if (path == "/v1/report") {
    if (!only("POST")) return;
    auto r = codec::parse_heartbeat(body);
    if (!r) return reply(400, codec::error_body("malformed report"));
    return partition_leader_.heartbeat(*r, std::move(reply));
  }
  if (path == "/ready") {
    if (!only("GET")) return;
    return job_api_.ready() ? reply(200, "{}") : reply(503, codec::error_body("not ready yet"));
  }
  if (path == "/metrics" || path == "/status") {
    if (!only("GET")) return;
    return reply(200, path == "/metrics" ? metrics_text(*this) : status_json(*this));
  }
  if (upgrade::is_upgrade_path(path))
    return upgrade::serve(upgrades_, method, path, body, std::move(reply));
  if (path == "/v1/jobs") {
    if (!only("POST")) return;
    return job_api_.submit(body, std::move(reply));
  }
  static const std::string kJobs = "/v1/jobs/";
  static const std::string kCancel = "/cancel";
  if (path.compare(0, kJobs.size(), kJobs) == 0) {
    std::string id = path.substr(kJobs.size());
    const bool cancel = id.size() > kCancel.size() &&
                        id.compare(id.size() - kCancel.size(), kCancel.size(), kCancel) == 0;
    if (!only(cancel ? "POST" : "GET")) return;
    if (cancel) return job_api_.cancel(id.substr(0, id.size() - kCancel.size()), std::move(reply));
    return job_api_.poll(id, std::move(reply));
  }
  reply(404, codec::error_body("no such path"));
}

}  // namespace eiderreel
