// The cloud client: typed calls to the cloud's HTTP interface, within its rate limit. Only this
// file and codec/cloud_json.h depend on the paths, bodies and status codes of that interface.
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "codec/cloud_json.h"
#include "config/settings.h"
#include "runtime/runtime.h"

namespace eiderreel {

/// Why a request to the cloud failed.
enum class CloudError : std::uint8_t {
  no_reply,           ///< no reply; the request may have been carried out, or still may be
  rate_limited,       ///< rejected by the rate limit of this client or of the cloud; no effect
  rejected,           ///< malformed request, no capacity or an outage; no effect
  unexpected_status,  ///< any other status; whether the request was carried out is unknown
  malformed_reply,    ///< the body of the reply does not conform to the protocol
};

template <class T>
using CloudResult = tl::expected<T, CloudError>;
template <class T>
using CloudCallback = std::function<void(CloudResult<T>)>;

/// Machines to be provisioned. `name` is the idempotency key of the request: the cloud carries out
/// each name at most once, so no controller may reuse a name for another request.
struct ProvisionRequest {
  std::string name;
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 0;
};

/// Sends requests to the cloud. Every callback is called exactly once, after the method has
/// returned. The client does not retry.
class CloudClient {
 public:
  CloudClient(Runtime& runtime, const Settings& settings)
      : runtime_(runtime), settings_(settings) {}
  /// Must be called once, before the first request.
  void start();

  /// Reads the machine types with their current prices.
  void get_catalog(CloudCallback<std::vector<MachineType>> done);
  /// Reads one page of the machines, sorted by name, starting after the name `since`; if that is
  /// empty, starting with the first machine.
  void list_machines(const std::string& since, CloudCallback<codec::MachineList> done);
  /// Provisions machines. The result has their names, which may be fewer than requested, and is
  /// empty if the names in a successful reply cannot be parsed.
  void provision(const ProvisionRequest& request, CloudCallback<std::vector<std::string>> done);
  /// Deletes at most constants::kMaxTerminateMachines machines. On success they no longer run.
  void terminate(const std::vector<std::string>& machines, CloudCallback<void> done);

  /// Number of replies of the cloud by HTTP status. Key 0 counts the requests without a reply.
  const std::map<int, std::uint64_t>& reply_counts() const { return reply_counts_; }

 private:
  // Receives the body of a successful reply.
  using BodyCallback = CloudCallback<std::string>;

  bool acquire_token();
  void send_request(const std::string& method, const std::string& path, const std::string& body,
                    BodyCallback done);

  Runtime& runtime_;
  const Settings& settings_;
  double tokens_ = 0;
  Ms refilled_at_ = 0;
  std::map<int, std::uint64_t> reply_counts_;
};

}  // namespace eiderreel
