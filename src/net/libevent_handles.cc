// Conversions between types of libevent and of this program.
#include "net/libevent_handles.h"

namespace eiderreel::net {
namespace {

constexpr Ms kMsPerSecond = 1000;
constexpr Ms kUsPerMs = 1000;

}  // namespace

timeval to_timeval(Ms duration) {
  return {static_cast<time_t>(duration / kMsPerSecond),
          static_cast<suseconds_t>(duration % kMsPerSecond * kUsPerMs)};
}

std::string take_body(evhttp_request* request) {
  evbuffer* input = evhttp_request_get_input_buffer(request);
  std::string body(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, body.data(), body.size());
  return body;
}

}  // namespace eiderreel::net
