// The cloud client: typed calls to the cloud's HTTP interface, within its rate limit. Paths,
// bodies and status codes of that interface are known here and in codec/cloud_json.h alone.
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

/// Why a call to the cloud gave no result.
enum class CloudError : std::uint8_t {
  no_answer,   ///< it may have been carried out, or still may be
  over_limit,  ///< the rate limit, here or in the cloud; nothing was done
  rejected,    ///< malformed, no capacity or an outage; nothing was done
  failed,      ///< any other status; whether it was carried out is not known
  unreadable,  ///< the reply has not the form that the protocol says
};

template <class T>
using CloudResult = tl::expected<T, CloudError>;
template <class T>
using CloudCallback = std::function<void(CloudResult<T>)>;

/// Machines to be provisioned. The cloud carries out a request of the same name once at most, so a
/// name must never be used for another request, by any controller.
struct ProvisionRequest {
  std::string name;
  std::string type;
  std::string zone;
  bool spot = false;
  int count = 0;
};

/// Calls to the cloud. Every callback is called once, later. Nothing is retried here.
class CloudClient {
 public:
  CloudClient(Runtime& runtime, const Settings& settings)
      : runtime_(runtime), settings_(settings) {}
  /// To be called once, before the first call.
  void start();

  /// The machine types with their current prices.
  void get_catalog(CloudCallback<std::vector<MachineType>> done);
  /// One page of the machines, in the order of their names, after `since`; empty: from the first.
  void list_machines(const std::string& since, CloudCallback<codec::MachineList> done);
  /// The names of the machines that were provisioned, which may be fewer than asked for.
  void provision(const ProvisionRequest& request, CloudCallback<std::vector<std::string>> done);
  /// Deletes machines, constants::kMaxTerminateMachines at most. Once it succeeds they are surely
  /// gone.
  void terminate(const std::vector<std::string>& machines, CloudCallback<void> done);

  /// How often the cloud has answered with each HTTP status; 0: not at all.
  const std::map<int, std::uint64_t>& replies() const { return replies_; }

 private:
  // The body of a successful reply.
  using BodyCallback = CloudCallback<std::string>;

  bool take_token();
  void call(const std::string& method, const std::string& path, const std::string& body,
            BodyCallback done);

  Runtime& runtime_;
  const Settings& settings_;
  double tokens_ = 0;
  Ms refilled_at_ = 0;
  std::map<int, std::uint64_t> replies_;
};

}  // namespace eiderreel
