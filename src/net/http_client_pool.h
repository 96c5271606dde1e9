// Pool of HTTP clients, one for each address that a controller sends requests to.
#pragma once
#include <map>
#include <memory>
#include <string>

#include "net/http_client.h"

namespace eiderreel::net {

/// One HttpClient for each address, created on the first request to that address.
class HttpClientPool {
 public:
  /// `base` must outlive the pool.
  explicit HttpClientPool(event_base* base) : base_(base) {}

  /// Returns the client for `address`; null if `address` does not have the form IP:PORT.
  HttpClient* client_of(const std::string& address);

 private:
  event_base* base_;
  std::map<std::string, std::unique_ptr<HttpClient>> clients_;  // keyed by address
};

}  // namespace eiderreel::net
