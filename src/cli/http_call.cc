#include "cli/http_call.h"

#include <event2/event.h>

#include <utility>

#include "net/http_client.h"

namespace eiderreel::cli {

HttpReply http_call(const std::string& addr, const std::string& method, const std::string& path,
                    const std::string& body, Ms timeout) {
  net::Address address;
  if (!net::parse_address(addr, address)) return {};
  const net::Base base(event_base_new());
  HttpReply reply;
  net::HttpClient client(base.get(), address);
  client.send({addr, method, path, body, timeout}, [&](HttpReply answer) {
    reply = std::move(answer);
    event_base_loopbreak(base.get());
  });
  event_base_dispatch(base.get());
  event_base_loop(base.get(), EVLOOP_NONBLOCK);  // what the client has left for later
  return reply;
}

bool is_address(const std::string& text) {
  net::Address address;
  return net::parse_address(text, address);
}

}  // namespace eiderreel::cli
