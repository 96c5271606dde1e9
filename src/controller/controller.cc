#include "controller/controller.h"

#include <spdlog/spdlog.h>

#include "controller/metrics.h"
#include "upgrade/http_routes.h"

namespace eiderreel {

namespace k = constants;

Controller::Controller(Runtime& rt, const Settings& s)
    : rt_(rt),
      s_(s),
      state_store_(rt, s),
      owner_(rt, s, state_store_),
      job_api_(rt, s, state_store_, owner_),
      fleet_(rt, s, state_store_, owner_),
      upgrades_(rt, s, state_store_, owner_) {}

void Controller::send(const std::string& node, const mesh::Body& body) {
  rt_.send(node, mesh::encode({s_.node, body}));
}

void Controller::broadcast(const mesh::Body& body) {
  const std::string bytes = mesh::encode({s_.node, body});
  for (const auto& p : s_.peers) rt_.send(p.name, bytes);
}

void Controller::start() {
  owner_.start({[this](const Report& r, Reply reply) { fleet_.assign(r, std::move(reply)); },
                [this](const mesh::Body& b) { broadcast(b); }});
  job_api_.start({[this](const std::string& node, const mesh::Ask& a) { send(node, a); }});
  fleet_.start({[this](const std::vector<MachineType>& types) {
                  owner_.types_known(types);
                  job_api_.types_known(types);
                },
                [this](const std::string& node, const mesh::Body& b) { send(node, b); },
                [this](const std::vector<std::string>& ids) {
                  owner_.machines_gone(ids);
                  broadcast(mesh::Gone{ids});
                }});
  state_store_.start({[this](const std::string& id) { owner_.job_opened(id); },
                      [this](const std::string& id) { owner_.job_ready(id); },
                      [this](const std::string& id) { owner_.job_closed(id); },
                      [this](const std::string& id) { owner_.urgency_changed(id); },
                      [this](const std::string& id) { owner_.machine_changed(id); },
                      [this](int part) { owner_.part_changed(part); }},
                     [this] { owner_.grant_lost(); });
}

void Controller::tick() {
  state_store_.tick();
  owner_.tick();
  fleet_.tick();
  upgrades_.tick();
}

void Controller::frame(const std::string& bytes) {
  auto m = mesh::decode(bytes);
  if (!m) {
    spdlog::warn("mesh frame malformed bytes={}", bytes.size());
    return;
  }
  struct Visitor {
    Controller& n;
    const std::string& from;
    void operator()(const mesh::Ask& a) {
      n.owner_.ask(a, [node = &n, from = from, number = a.number](int status, std::string body) {
        node->send(from, mesh::Answer{number, status, std::move(body)});
      });
    }
    void operator()(const mesh::Answer& a) { n.job_api_.peer_answer(a); }
    void operator()(const mesh::Status& s) { n.owner_.peer_status(from, s); }
    void operator()(const mesh::Move& mv) { n.owner_.move(mv); }
    void operator()(const mesh::Shed& sh) { n.owner_.shed(sh); }
    void operator()(const mesh::Gone& g) { n.owner_.machines_gone(g.machines); }
    void operator()(const mesh::PromiseRequest& a) { n.send(from, n.owner_.give_promise(from, a)); }
    void operator()(const mesh::Promise& p) { n.owner_.take_promise(from, p); }
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
    auto r = codec::parse_report(body);
    if (!r) return reply(400, codec::error_body("malformed report"));
    return owner_.report(*r, std::move(reply));
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
