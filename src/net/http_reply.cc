// Deferred replies to requests that an HTTP server has received.
#include "net/http_reply.h"

#include <event2/http_struct.h>

#include "constants.h"
#include "runtime/http_status.h"

namespace eiderreel::net {
namespace {

namespace k = constants;

const char* reason_phrase(int status) {
  switch (status) {
    case http_status::kOk:
      return "OK";
    case http_status::kCreated:
      return "Created";
    case http_status::kBadRequest:
      return "Bad Request";
    case http_status::kNotFound:
      return "Not Found";
    case http_status::kMethodNotAllowed:
      return "Method Not Allowed";
    case http_status::kConflict:
      return "Conflict";
    case http_status::kContentTooLarge:
      return "Content Too Large";
    case http_status::kMisdirectedRequest:
      return "Misdirected Request";
    case http_status::kUnprocessable:
      return "Unprocessable Entity";
    case http_status::kServiceUnavailable:
      return "Service Unavailable";
    default:
      return "Status";
  }
}

// Every body is a JSON object except that of /metrics, which has the Prometheus text format.
const char* content_type(const std::string& body) {
  const bool is_json = body.empty() || body.front() == '{';
  return is_json ? "application/json" : "text/plain; version=0.0.4";
}

}  // namespace

PendingReply::PendingReply(evhttp_request* request) : request_(request) {
  evhttp_request_own(request);
  evhttp_connection_set_closecb(evhttp_request_get_connection(request), &on_close, this);
}

PendingReply::~PendingReply() { send(http_status::kServiceUnavailable, ""); }

void PendingReply::on_close(evhttp_connection* /*connection*/, void* reply) {
  static_cast<PendingReply*>(reply)->connection_closed_ = true;
}

void PendingReply::send(int status, const std::string& body) {
  if (!request_ || connection_closed_) return;
  evhttp_request* request = request_.get();
  evhttp_connection_set_closecb(evhttp_request_get_connection(request), nullptr, nullptr);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(headers, "Content-Type", content_type(body));
  if (status == http_status::kServiceUnavailable || status == http_status::kTooManyRequests)
    evhttp_add_header(headers, "Retry-After", std::to_string(k::kRetryAfterS).c_str());
  evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
  // evhttp_send_reply passes ownership back to libevent, which also frees the request if the
  // connection fails.
  static_cast<void>(request_.release());
  request->flags &= ~EVHTTP_USER_OWNED;
  evhttp_send_reply(request, status, reason_phrase(status), nullptr);
}

}  // namespace eiderreel::net
