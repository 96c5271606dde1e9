// Synchronous HTTP requests from the command line to a running controller.
#include "cli/http_call.h"

#include <utility>

#include "net/address.h"
#include "net/http_client.h"
#include "net/libevent_handles.h"

namespace eiderreel::cli {

HttpReply http_call(const std::string& addr, const std::string& method, const std::string& path,
                    const std::string& body, Ms timeout) {
  const auto address = net::parse_address(addr);
  if (!address) return {};
  const net::EventBasePtr base(event_base_new());
  HttpReply reply;
  net::HttpClient client(base.get(), *address);
  client.send({addr, method, path, body, timeout}, [&](HttpReply answer) {
    reply = std::move(answer);
    event_base_loopbreak(base.get());
  });
  event_base_dispatch(base.get());
  return reply;
}

bool is_address(const std::string& text) { return net::parse_address(text).has_value(); }

}  // namespace eiderreel::cli
