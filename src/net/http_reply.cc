#include "net/http_reply.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include "constants.h"

namespace eiderreel::net {

namespace k = constants;

namespace {

const char* reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 409:
      return "Conflict";
    case 405:
      return "Method Not Allowed";
    case 413:
      return "Content Too Large";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Entity";
    case 503:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

}  // namespace

PendingReply::PendingReply(evhttp_request* r) : req_(r) {
  evhttp_request_own(req_);
  evhttp_connection_set_closecb(evhttp_request_get_connection(req_), &on_close, this);
}

PendingReply::~PendingReply() {
  if (!req_) return;
  // Nobody answered. A request is never left hanging.
  if (!finished_) send(503, "");
  if (req_) evhttp_request_free(req_);
}

void PendingReply::on_close(evhttp_connection*, void* arg) {
  static_cast<PendingReply*>(arg)->finished_ = true;
}

void PendingReply::send(int status, const std::string& body) {
  if (!req_ || finished_) return;
  evhttp_request* r = req_;
  req_ = nullptr;
  evhttp_connection_set_closecb(evhttp_request_get_connection(r), nullptr, nullptr);
  evkeyvalq* headers = evhttp_request_get_output_headers(r);
  evhttp_add_header(
      headers, "Content-Type",
      !body.empty() && body[0] != '{' ? "text/plain; version=0.0.4" : "application/json");
  if (status == 503 || status == 429)
    evhttp_add_header(headers, "Retry-After", std::to_string(k::kRetryAfterS).c_str());
  evbuffer* out = evhttp_request_get_output_buffer(r);
  evbuffer_add(out, body.data(), body.size());
  r->flags &= ~EVHTTP_USER_OWNED;  // from here on libevent frees it, also when the link dies
  evhttp_send_reply(r, status, reason(status), nullptr);
}

}  // namespace eiderreel::net
