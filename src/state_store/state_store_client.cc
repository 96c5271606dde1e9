// Constructs and connects the components of the state store client.
#include "state_store/state_store_client.h"

#include <utility>

namespace eiderreel {

StateStoreClient::StateStoreClient(Runtime& runtime, const Settings& settings)
    : runtime_(runtime),
      replica_(runtime),
      acting_version_(settings.upgrade.enabled, settings.upgrade.range),
      nonces_(settings.node, runtime.boot_id()),
      rate_limiter_(settings),
      requests_(runtime, settings, rate_limiter_),
      waiters_(replica_),
      lease_(runtime, settings, requests_, replica_),
      reader_(runtime, settings, requests_, replica_, lease_, waiters_),
      watcher_({.runtime = runtime,
                .settings = settings,
                .rate_limiter = rate_limiter_,
                .requests = requests_,
                .reader = reader_,
                .replica = replica_,
                .waiters = waiters_}),
      prerequisite_resolver_(runtime, replica_, reader_),
      standby_(settings.node, acting_version_),
      swapper_({.runtime = runtime,
                .settings = settings,
                .requests = requests_,
                .replica = replica_,
                .lease = lease_,
                .reader = reader_,
                .waiters = waiters_,
                .acting_version = acting_version_,
                .standby = standby_}),
      node_record_writer_({.runtime = runtime,
                           .settings = settings,
                           .replica = replica_,
                           .lease = lease_,
                           .swapper = swapper_,
                           .nonces = nonces_,
                           .acting_version = acting_version_}) {}

void StateStoreClient::start(ReplicatedView::Events events, std::function<void()> lease_lost) {
  lease_.start([this, lease_lost = std::move(lease_lost)] {
    acting_version_.on_record_lost();  // the node record is bound to the lease
    lease_lost();
  });
  replica_.start(std::move(events));
  rate_limiter_.start(runtime_.now());
  watcher_.start();
}

void StateStoreClient::tick() {
  requests_.send_allowed();
  if (!view().ready) return;
  prerequisite_resolver_.tick();
  standby_.update(view().cluster);
  if (standby_.in_standby()) return;
  lease_.tick();
  node_record_writer_.tick();
}

void StateStoreClient::compare_and_swap(CompareAndSwap transaction) {
  swapper_.submit(std::move(transaction));
}

void StateStoreClient::read(const std::string& key, StoreCallback<codec::StateRow> done) {
  reader_.read(key, std::move(done));
}

void StateStoreClient::list(const std::string& prefix,
                            StoreCallback<std::vector<codec::StateRow>> done) {
  reader_.list(prefix, std::move(done));
}

void StateStoreClient::read_final_records(std::vector<std::string> ids, StoreCallback<void> done) {
  reader_.read_final_records(std::move(ids), std::move(done));
}

void StateStoreClient::find_accepted(std::vector<std::string> ids,
                                     StoreCallback<std::set<std::string>> done) {
  reader_.find_accepted(std::move(ids), std::move(done));
}

void StateStoreClient::when_applied(std::uint64_t store_revision, std::function<void()> done) {
  waiters_.when_applied(store_revision, std::move(done));
}

void StateStoreClient::set_peer_usage(const std::string& node, const StoreUsage& usage) {
  rate_limiter_.set_peer_usage(node, usage, runtime_.now());
}

}  // namespace eiderreel
