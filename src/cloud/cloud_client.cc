// The cloud client: the cloud's HTTP interface and its rate limit.
#include "cloud/cloud_client.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "runtime/http_status.h"

namespace eiderreel {
namespace {

namespace k = constants;

CloudError error_of(int status) {
  switch (status) {
    case http_status::kNoAnswer:
      return CloudError::no_answer;
    case http_status::kTooManyRequests:
      return CloudError::over_limit;
    case http_status::kBadRequest:
    case http_status::kServiceUnavailable:
      return CloudError::rejected;
    default:
      return CloudError::failed;
  }
}

template <class T>
CloudResult<T> parsed(const CloudResult<std::string>& body,
                      codec::Decoded<T> (*parse)(const std::string&)) {
  if (!body) return tl::unexpected(body.error());
  codec::Decoded<T> value = parse(*body);
  if (!value) return tl::unexpected(CloudError::unreadable);
  return *std::move(value);
}

}  // namespace

void CloudClient::start() {
  refilled_at_ = runtime_.now();
  tokens_ = settings_.cloud_rps / 2;
}

void CloudClient::get_catalog(CloudCallback<std::vector<MachineType>> done) {
  call("GET", "/catalog", "", [done = std::move(done)](const CloudResult<std::string>& body) {
    done(parsed(body, codec::parse_catalog));
  });
}

void CloudClient::list_machines(const std::string& since, CloudCallback<codec::MachineList> done) {
  std::string path = "/machines?page=" + std::to_string(k::kListPageItems);
  if (!since.empty()) path += "&since=" + since;
  call("GET", path, "", [done = std::move(done)](const CloudResult<std::string>& body) {
    done(parsed(body, codec::parse_machines));
  });
}

void CloudClient::provision(const ProvisionRequest& request,
                            CloudCallback<std::vector<std::string>> done) {
  const std::string body =
      codec::scale_out_body(request.name, request.type, request.zone, request.spot, request.count);
  call("POST", "/machines", body, [done = std::move(done)](const CloudResult<std::string>& reply) {
    if (!reply) return done(tl::unexpected(reply.error()));
    // The request is carried out, so it is not repeated: machines whose names cannot be read show
    // up in the list.
    done(codec::parse_provisioned(*reply).value_or(std::vector<std::string>{}));
  });
}

void CloudClient::terminate(const std::vector<std::string>& machines, CloudCallback<void> done) {
  call("POST", "/machines/return", codec::scale_in_body(machines),
       [done = std::move(done)](const CloudResult<std::string>& reply) {
         if (!reply) return done(tl::unexpected(reply.error()));
         done({});
       });
}

bool CloudClient::take_token() {
  const Ms now = runtime_.now();
  const double seconds = static_cast<double>(now - refilled_at_) / 1000.0;
  tokens_ =
      std::min(settings_.cloud_rps, tokens_ + seconds * settings_.cloud_rps * k::kUsableRateShare);
  refilled_at_ = now;
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

// A call over the limit is refused here as the cloud would refuse it; its caller tries again.
void CloudClient::call(const std::string& method, const std::string& path, const std::string& body,
                       BodyCallback done) {
  if (!take_token()) {
    runtime_.after(k::kRetryDelayMs,
                   [done = std::move(done)] { done(tl::unexpected(CloudError::over_limit)); });
    return;
  }
  HttpRequest request{settings_.cloud_addr, method, path, body, k::kCloudTimeoutMs};
  runtime_.http(std::move(request), [this, done = std::move(done)](HttpReply reply) {
    ++replies_[reply.status];
    if (reply.status != http_status::kOk) return done(tl::unexpected(error_of(reply.status)));
    done(std::move(reply.body));
  });
}

}  // namespace eiderreel
