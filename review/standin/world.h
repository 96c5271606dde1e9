// The event loop, the clock, the record, and HTTP over loopback, shared by all stand-ins of a case.
// Stand-ins are written from the published protocol alone; they use no code of the service.
#pragma once
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace review {

using Json = rapidjson::Document;
using Value = rapidjson::Value;

inline std::string text_of(const Value& value) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  value.Accept(writer);
  return {buffer.GetString(), buffer.GetSize()};
}

inline std::string format(const char* fmt, ...) __attribute__((format(printf, 1, 2)));
inline std::string format(const char* fmt, ...) {
  va_list args, again;
  va_start(args, fmt);
  va_copy(again, args);
  std::string text(static_cast<std::size_t>(vsnprintf(nullptr, 0, fmt, args)), '\0');
  va_end(args);
  vsnprintf(text.data(), text.size() + 1, fmt, again);
  va_end(again);
  return text;
}

/// The event loop, the steady clock in seconds since the start, and the record of the case.
class World {
 public:
  explicit World(const char* record_file)
      : base(event_base_new()), record_(std::fopen(record_file, "w")), started_(steady()) {
    if (!record_) std::exit(2);
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // this program ends with the script that started it
    alarm(119);
    random.seed(std::random_device{}());
  }
  double now() const { return steady() - started_; }
  void record(const std::string& line) {
    std::fprintf(record_, "%8.3f %s\n", now(), line.c_str());
    std::fflush(record_);
  }
  double uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random);
  }
  void after(double seconds, std::function<void()> action) {
    timeval delay{static_cast<time_t>(seconds),
                  static_cast<suseconds_t>(
                      (seconds - static_cast<double>(static_cast<time_t>(seconds))) * 1e6)};
    event_base_once(
        base, -1, EV_TIMEOUT,
        [](evutil_socket_t, short, void* arg) {
          std::unique_ptr<std::function<void()>> call(static_cast<std::function<void()>*>(arg));
          (*call)();
        },
        new std::function<void()>(std::move(action)), &delay);
  }
  /// Calls `action` every `seconds` until it returns false.
  void every(double seconds, std::function<bool()> action) {
    after(seconds, [this, seconds, action] {
      if (action()) every(seconds, action);
    });
  }
  /// Runs the loop until `condition` holds, until the time `end` at the latest.
  bool run_until(double end, const std::function<bool()>& condition) {
    while (now() < end) {
      if (condition()) return true;
      timeval step{0, 20000};
      event_base_loopexit(base, &step);
      event_base_dispatch(base);
    }
    return condition();
  }
  void run_for(double seconds) {
    run_until(now() + seconds, [] { return false; });
  }

  event_base* base;
  std::mt19937_64 random;

 private:
  static double steady() {
    timespec time{};
    clock_gettime(CLOCK_MONOTONIC, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
  }
  FILE* record_;
  double started_;
};

/// A reply that is owed to a request. Never answering it leaves the caller waiting.
class Responder {
 public:
  explicit Responder(evhttp_request* request) : request_(request) {
    evhttp_request_own(request);
    evhttp_connection_set_closecb(
        evhttp_request_get_connection(request),
        [](evhttp_connection*, void* self) { static_cast<Responder*>(self)->closed_ = true; },
        this);
  }
  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;
  bool closed() const { return closed_; }
  void send(int status, const std::string& body) {
    if (!request_) return;
    evhttp_request* request = request_;
    request_ = nullptr;
    if (closed_) {
      evhttp_request_free(request);
      return;
    }
    evhttp_connection_set_closecb(evhttp_request_get_connection(request), nullptr, nullptr);
    evhttp_add_header(evhttp_request_get_output_headers(request), "Content-Type",
                      "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    request->flags &= ~EVHTTP_USER_OWNED;
    evhttp_send_reply(request, status, "status", nullptr);
  }

 private:
  evhttp_request* request_;
  bool closed_ = false;
};
using ResponderPtr = std::shared_ptr<Responder>;

struct Request {
  std::string method, path, body;
  std::map<std::string, std::string> query;
};

/// An HTTP server on 127.0.0.1 with a port that the system chooses.
class Server {
 public:
  using Handler = std::function<void(const Request&, ResponderPtr)>;
  Server(World& world, Handler handler) : handler_(std::move(handler)) {
    http_ = evhttp_new(world.base);
    evhttp_set_allowed_methods(http_, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_DELETE);
    evhttp_set_gencb(http_, &Server::on_request, this);
    evhttp_bound_socket* bound = evhttp_bind_socket_with_handle(http_, "127.0.0.1", 0);
    if (!bound) std::exit(2);
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
  }
  int port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

 private:
  static void on_request(evhttp_request* raw, void* self) {
    Request request;
    switch (evhttp_request_get_command(raw)) {
      case EVHTTP_REQ_GET:
        request.method = "GET";
        break;
      case EVHTTP_REQ_DELETE:
        request.method = "DELETE";
        break;
      default:
        request.method = "POST";
    }
    const std::string uri = evhttp_request_get_uri(raw);
    const auto mark = uri.find('?');
    request.path = uri.substr(0, mark);
    if (mark != std::string::npos) {
      evkeyvalq query{};
      evhttp_parse_query_str(uri.substr(mark + 1).c_str(), &query);
      for (evkeyval* field = query.tqh_first; field; field = field->next.tqe_next)
        request.query[field->key] = field->value;
      evhttp_clear_headers(&query);
    }
    evbuffer* input = evhttp_request_get_input_buffer(raw);
    request.body.resize(evbuffer_get_length(input));
    evbuffer_remove(input, request.body.data(), request.body.size());
    static_cast<Server*>(self)->handler_(request, std::make_shared<Responder>(raw));
  }
  evhttp* http_ = nullptr;
  Handler handler_;
  int port_ = 0;
};

/// The answer to a request; status 0 if there was none.
struct Answer {
  int status = 0;
  std::string body;
};

/// Sends one request on a connection of its own.
inline void call(World& world, int port, const std::string& method, const std::string& path,
                 const std::string& body, double timeout_s, std::function<void(Answer)> done) {
  struct Call {
    World* world;
    evhttp_connection* connection;
    std::function<void(Answer)> done;
    bool ended = false;
  };
  auto* state = new std::shared_ptr<Call>(std::make_shared<Call>());
  (*state)->world = &world;
  (*state)->done = std::move(done);
  evhttp_connection* connection =
      evhttp_connection_base_new(world.base, nullptr, "127.0.0.1", static_cast<ev_uint16_t>(port));
  (*state)->connection = connection;
  timeval timeout{static_cast<time_t>(timeout_s),
                  static_cast<suseconds_t>(
                      (timeout_s - static_cast<double>(static_cast<time_t>(timeout_s))) * 1e6)};
  evhttp_connection_set_timeout_tv(connection, &timeout);
  evhttp_request* request = evhttp_request_new(
      [](evhttp_request* reply, void* arg) {
        std::unique_ptr<std::shared_ptr<Call>> held(static_cast<std::shared_ptr<Call>*>(arg));
        const std::shared_ptr<Call> call = *held;
        Answer answer;
        if (reply && evhttp_request_get_response_code(reply) != 0) {
          answer.status = evhttp_request_get_response_code(reply);
          evbuffer* input = evhttp_request_get_input_buffer(reply);
          answer.body.resize(evbuffer_get_length(input));
          evbuffer_remove(input, answer.body.data(), answer.body.size());
        }
        call->world->after(0, [call, answer] {
          evhttp_connection_free(call->connection);
          call->done(answer);
        });
      },
      state);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Host", "127.0.0.1");
  evhttp_add_header(headers, "Connection", "close");
  if (!body.empty()) {
    evhttp_add_header(headers, "Content-Type", "application/json");
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
  }
  evhttp_make_request(connection, request, method == "GET" ? EVHTTP_REQ_GET : EVHTTP_REQ_POST,
                      path.c_str());
}

/// A loopback port that is free now, from below the range of ephemeral ports.
inline int free_port() {
  static int next = 12000 + static_cast<int>(getpid() % 900) * 20;
  for (;; ++next) {
    const int probe = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(next));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool bound = bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    close(probe);
    if (bound) return next++;
  }
}

}  // namespace review
