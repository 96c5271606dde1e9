// Implements the cloud client: the cloud's HTTP interface and its rate limit.
#include "cloud/cloud_client.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "runtime/http_status.h"

namespace eiderreel {
namespace {

namespace k = constants;

CloudError to_cloud_error(int status) {
  switch (status) {
    case http_status::kNoAnswer:
      return CloudError::no_reply;
    case http_status::kTooManyRequests:
      return CloudError::rate_limited;
    case http_status::kBadRequest:
    case http_status::kServiceUnavailable:
      return CloudError::rejected;
    default:
      return CloudError::unexpected_status;
  }
}

template <class T>
CloudResult<T> parse_body(const CloudResult<std::string>& body,
                          codec::Decoded<T> (*parse)(const std::string&)) {
  if (!body) return tl::unexpected(body.error());
  codec::Decoded<T> value = parse(*body);
  if (!value) return tl::unexpected(CloudError::malformed_reply);
  return *std::move(value);
}

}  // namespace

void CloudClient::start() {
  refilled_at_ = runtime_.now();
  tokens_ = settings_.cloud_rps / 2;
}

void CloudClient::get_catalog(CloudCallback<std::vector<MachineType>> done) {
  send_request("GET", "/catalog", "",
               [done = std::move(done)](const CloudResult<std::string>& body) {
                 done(parse_body(body, codec::parse_catalog));
               });
}

void CloudClient::list_machines(const std::string& since, CloudCallback<codec::MachineList> done) {
  std::string path = "/machines?page=" + std::to_string(k::kListPageItems);
  if (!since.empty()) path += "&since=" + since;
  send_request("GET", path, "", [done = std::move(done)](const CloudResult<std::string>& body) {
    done(parse_body(body, codec::parse_machines));
  });
}

void CloudClient::provision(const ProvisionRequest& request,
                            CloudCallback<std::vector<std::string>> done) {
  const std::string body =
      codec::scale_out_body(request.name, request.type, request.zone, request.spot, request.count);
  send_request("POST", "/machines", body,
               [done = std::move(done)](const CloudResult<std::string>& reply) {
                 if (!reply) return done(tl::unexpected(reply.error()));
                 // The cloud has carried out the request, so it is not retried. If the names of the
                 // machines cannot be parsed, the machines appear in the machine list later.
                 done(codec::parse_provisioned(*reply).value_or(std::vector<std::string>{}));
               });
}

void CloudClient::terminate(const std::vector<std::string>& machines, CloudCallback<void> done) {
  send_request("POST", "/machines/return", codec::scale_in_body(machines),
               [done = std::move(done)](const CloudResult<std::string>& reply) {
                 if (!reply) return done(tl::unexpected(reply.error()));
                 done({});
               });
}

bool CloudClient::acquire_token() {
  const Ms now = runtime_.now();
  const double seconds = static_cast<double>(now - refilled_at_) / 1000.0;
  tokens_ =
      std::min(settings_.cloud_rps, tokens_ + seconds * settings_.cloud_rps * k::kUsableRateShare);
  refilled_at_ = now;
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

// A request over the rate limit is not sent. It fails after a delay, with the same error as a
// request that the cloud rejects over its own rate limit, so that the caller retries it.
void CloudClient::send_request(const std::string& method, const std::string& path,
                               const std::string& body, BodyCallback done) {
  if (!acquire_token()) {
    runtime_.after(k::kRetryDelayMs,
                   [done = std::move(done)] { done(tl::unexpected(CloudError::rate_limited)); });
    return;
  }
  HttpRequest request{settings_.cloud_addr, method, path, body, k::kCloudTimeoutMs};
  runtime_.http(std::move(request), [this, done = std::move(done)](HttpReply reply) {
    ++reply_counts_[reply.status];
    if (reply.status != http_status::kOk) return done(tl::unexpected(to_cloud_error(reply.status)));
    done(std::move(reply.body));
  });
}

}  // namespace eiderreel
