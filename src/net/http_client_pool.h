// The HTTP clients of all addresses that a controller calls.
#pragma once
#include <map>
#include <memory>
#include <string>

#include "net/http_client.h"

namespace eiderreel::net {

/// One HttpClient for each address, made when the address is first called.
class HttpClientPool {
 public:
  /// `base` must outlive the pool.
  explicit HttpClientPool(event_base* base) : base_(base) {}

  /// The client of an address of the form IP:PORT; null if it does not have that form.
  HttpClient* client_of(const std::string& address);

 private:
  event_base* base_;
  std::map<std::string, std::unique_ptr<HttpClient>> clients_;  // by address
};

}  // namespace eiderreel::net
