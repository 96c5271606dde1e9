#include "processes/stand_in_servers.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/http_client.h"
#include "net/http_reply.h"

namespace eiderreel::standin {
namespace {

constexpr char kLoopback[] = "127.0.0.1";
constexpr int kFirstPort = 20000;  // below the system's ephemeral port range
constexpr int kPortBlocks = 700;   // ports up to 31200; the process id selects a block
constexpr int kPortsPerBlock = 16;

int port_of(int socket) {
  sockaddr_in bound{};
  socklen_t size = sizeof bound;
  getsockname(socket, reinterpret_cast<sockaddr*>(&bound), &size);
  return ntohs(bound.sin_port);
}

bool can_bind(int port) {
  const int probe = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = net::to_sockaddr(std::string(kLoopback) + ":" + std::to_string(port));
  const bool bound = bind(probe, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  close(probe);
  return bound;
}

std::string method_of(evhttp_request* request) {
  switch (evhttp_request_get_command(request)) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    default:
      return "POST";
  }
}

}  // namespace

// Doesn't use ephemeral ports: the system may hand out the same one twice, or give it to a stand-in
// server before the controller that it was reserved for has started.
int free_port() {
  static int next = kFirstPort + getpid() % kPortBlocks * kPortsPerBlock;
  while (!can_bind(next)) ++next;
  return next++;
}

StandInServer::StandInServer(event_base* base, Handler handler)
    : server_(evhttp_new(base)), handler_(std::move(handler)) {
  evhttp_set_gencb(server_, &StandInServer::on_request, this);
  evhttp_bound_socket* bound = evhttp_bind_socket_with_handle(server_, kLoopback, 0);
  address_ =
      std::string(kLoopback) + ":" + std::to_string(port_of(evhttp_bound_socket_get_fd(bound)));
}

StandInServer::~StandInServer() {
  pending_replies_.clear();
  evhttp_free(server_);
}

void StandInServer::on_request(evhttp_request* request, void* self) {
  HttpRequest received;
  received.method = method_of(request);
  received.path = evhttp_request_get_uri(request);
  received.body = net::take_body(request);
  auto* server = static_cast<StandInServer*>(self);
  const auto pending = std::make_shared<net::PendingReply>(request);
  server->pending_replies_.insert(pending);
  server->handler_(received, [server, pending](HttpReply reply) {
    pending->send(reply.status, reply.body);
    server->pending_replies_.erase(pending);
  });
}

}  // namespace eiderreel::standin
