// Pool of HTTP clients, one for each address that a controller sends requests to.
#include "net/http_client_pool.h"

namespace eiderreel::net {

HttpClient* HttpClientPool::client_of(const std::string& address) {
  if (const auto found = clients_.find(address); found != clients_.end())
    return found->second.get();
  const auto parsed = parse_address(address);
  if (!parsed) return nullptr;
  auto& client = clients_[address];
  client = std::make_unique<HttpClient>(base_, *parsed);
  return client.get();
}

}  // namespace eiderreel::net
