// A whole entry instance: caller server, state from the store, duties, readiness, shutdown.

#pragma once

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdlib>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "control/leased_key.h"
#include "control/quarantine_writer.h"
#include "control/rollout_controller.h"
#include "control/state_follower.h"
#include "entry/admin_server.h"
#include "entry/duty_turn.h"
#include "entry/entry_settings.h"
#include "entry/entry_tuning.h"
#include "entry/quota_duty.h"
#include "entry/state_dump.h"
#include "gateway/backend_prober.h"
#include "gateway/caller_server.h"
#include "log/log.h"
#include "metrics/metrics.h"
#include "net/wait.h"
#include "peers/peer_link.h"
#include "peers/store_copy.h"
#include "peers/store_copy_reader.h"

namespace ridgehold {

/// What an environment must bring: how it spells requests, its store, the
/// meaning of the store's keys, and control of engines.
template <class Env>
concept Environment = WireFormat<typename Env::Wire> && StateStore<typename Env::Store> &&
    ItemDecoder<typename Env::Codec> && BackendControl<typename Env::Control>;

/// Create, Start, then run the executor until `done` is called.
template <Environment Env>
class EntryInstance {
 public:
  /// Opens the listening sockets. Fails with kInvalidSettings.
  static Result<std::unique_ptr<EntryInstance>> Create(net::any_io_executor executor,
                                                       EntrySettings settings, EntryTuning tuning) {
    BOOST_LEAF_AUTO(acceptor, Listen(executor, settings.caller_address));
    std::unique_ptr<EntryInstance> entry(
        new EntryInstance(executor, std::move(settings), tuning, std::move(acceptor)));
    entry->state_.SetGatewayHash(LinkOf(entry->settings_.instance_address));
    BOOST_LEAF_CHECK(entry->OpenAdmin());
    BOOST_LEAF_CHECK(entry->OpenPeers());
    return entry;
  }

  void Start() {
    net::co_spawn(executor_, follower_.Run(), net::detached);
    net::co_spawn(executor_, member_.Run(), net::detached);
    net::co_spawn(executor_, duty_.Run(), net::detached);
    net::co_spawn(executor_, rollout_.Run(), net::detached);
    net::co_spawn(executor_, peers_->Send(), net::detached);
    net::co_spawn(executor_, peers_->SendGossip(), net::detached);
    net::co_spawn(executor_, quarantine_.Run(), net::detached);
    quota_.Start(*peers_);
    net::co_spawn(executor_, peers_->Receive(), net::detached);
    net::co_spawn(executor_, copy_reader_.Run(), net::detached);
    net::co_spawn(executor_, prober_.Run(), net::detached);
    net::co_spawn(executor_, KeepHouse(), net::detached);
    server_.Start();
  }

  /// Serves `/metrics` and `/state` on `address:port` too.
  Result<void> OpenMetrics(const std::string& address) {
    BOOST_LEAF_ASSIGN(metrics_server_, AdminServer::Create(executor_, address, MetricsPages()));
    return {};
  }

  /// The settings of the product's own that are in force, for `/state`.
  void ShowSettings(std::map<std::string, std::string> settings) {
    settings_in_force_ = std::move(settings);
  }

  /// Takes the bounds of settings that were read again. Addresses and names are
  /// those of the start; that another is wanted is logged.
  void Apply(const EntrySettings& settings) {
    const bool moved = settings.caller_address != settings_.caller_address ||
                       settings.store_address != settings_.store_address ||
                       settings.daemon != settings_.daemon;
    if (moved) Log(LogLevel::kWarn, "address or name changed, in force after a restart");
    settings_.revocation_limit = settings.revocation_limit;
    settings_.strict_revocation = settings.strict_revocation;
    settings_.weights_limit = settings.weights_limit;
    settings_.shutdown_limit = settings.shutdown_limit;
    settings_.retries = settings.retries;
    settings_.quota_tolerance = settings.quota_tolerance;
    state_.SetLimits(LimitsOf(settings_, tuning_));
  }

  /// Not ready from now on; `done` is called when nothing is left to answer.
  void BeginShutdown(std::function<void()> done) {
    if (state_.shutting_down()) return;
    state_.BeginShutdown();
    Log(LogLevel::kInfo, "shutting down",
        {{"in_flight", std::to_string(state_.in_flight())},
         {"connections", std::to_string(server_.open_connections())}});
    net::co_spawn(executor_, ShutDown(std::move(done)), net::detached);
  }

  bool Ready() const {
    if (state_.shutting_down() || !follower_.ready() || !state_.snapshot()) return false;
    if (!settings_.strict_revocation) return true;
    const auto trust = settings_.revocation_limit * tuning_.ready_part;
    return Clock::now() - state_.confirmed_at() < trust;
  }

  bool HoldsQuotaShare() const { return quota_.Held(Clock::now()); }

  GatewayState& state() { return state_; }
  std::uint16_t caller_port() const { return server_.port(); }
  std::uint16_t ready_port() const { return admin_->port(); }

 private:
  EntryInstance(net::any_io_executor executor, EntrySettings settings, EntryTuning tuning,
                tcp::acceptor acceptor)
      : executor_(executor),
        settings_(std::move(settings)),
        tuning_(tuning),
        state_(executor, settings_.zone, LimitsOf(settings_, tuning), WeightsOf(tuning), metrics_),
        store_(executor, metrics_, settings_.store_address, tuning.store_call),
        follower_(store_, state_, records_, FollowerOptions()),
        member_(store_, executor, MemberOptions(), [] { return true; }),
        duty_(store_, executor, DutyOptions(), [this] { return MayApplyForDuty(); }),
        duty_turn_(tuning.duty_turn, tuning.duty_turns),
        quota_(store_, state_, records_, settings_, tuning_,
               [this] { return follower_.connected(); }),
        control_(state_.pool(), tuning.control_call),
        prober_(state_, tuning.probing),
        rollout_(control_, duty_, state_, RolloutOptions()),
        server_(state_, std::move(acceptor), MostConnections(settings_)),
        quarantine_(store_, executor, state_.poison(), records_, {settings_.daemon}),
        copy_reader_(
            state_, follower_, CopyOptions(), [this] { return PeerAddresses(); },
            [this](const std::set<std::string>& passed_over) { return Relay(passed_over); }),
        timer_(executor) {
    state_.SetEndConfirmer(
        [this](BackendPtr backend) { return prober_.Confirm(std::move(backend)); });
  }

  using Store = typename Env::Store;
  using Duty = LeasedKey<Store>;
  using Follower = StateFollower<Store, typename Env::Codec>;

  static GatewayLimits LimitsOf(const EntrySettings& settings, const EntryTuning& tuning) {
    GatewayLimits limits;
    if (settings.strict_revocation) {
      limits.key_trust = settings.revocation_limit - tuning.key_margin;
    }
    limits.older_weights = settings.weights_limit - tuning.weights_margin;
    limits.retries = settings.retries;
    limits.quota_tolerance = settings.quota_tolerance;
    limits.quota_tolerance.granted_fraction = tuning.quota_tolerance_part;
    limits.backend_limits.used_fraction = tuning.limit_tolerance_part;
    limits.admission = tuning.admission;
    limits.poison = tuning.poison;
    limits.patience_objectives = tuning.call_patience;
    limits.stream_patience_objectives = tuning.stream_patience;
    return limits;
  }

  static PlacementCosts WeightsOf(const EntryTuning& tuning) {
    PlacementCosts weights = tuning.placement;
    weights.older_weights_grace = std::chrono::milliseconds(tuning.older_weights_free_ms);
    return weights;
  }

  static std::size_t MostConnections(const EntrySettings& settings) {
    // Half of the descriptors; the other half is for backend servers and files.
    return settings.max_descriptors / 2;
  }

  typename Duty::Options MemberOptions() const {
    typename Duty::Options options;
    options.key = kMemberPrefix + settings_.daemon.value();
    options.value = EncodeMember({settings_.instance_address, settings_.zone});
    options.ttl = std::max(tuning_.member_ttl, settings_.least_lease_ttl);
    options.renewals_per_ttl = tuning_.member_renewals;
    options.exclusive = false;
    return options;
  }

  typename Duty::Options DutyOptions() const {
    typename Duty::Options options;
    options.key = kRolloutHolderKey;
    // The address tells an instance from a later one of the same name.
    options.value = settings_.daemon.value() + " " + settings_.instance_address;
    options.handover_delay = settings_.holder_separation;
    options.ttl = std::max(tuning_.duty_ttl, settings_.least_lease_ttl);
    return options;
  }

  typename RolloutController<typename Env::Control, Store>::Options RolloutOptions() const {
    typename RolloutController<typename Env::Control, Store>::Options options;
    options.self = settings_.daemon;
    options.engines_per_load = tuning_.engines_for_each_load;
    options.preserve_retry_budget = tuning_.spare_retries;
    options.limit_by_measured_loads = tuning_.observe_loads;
    options.min_drain = std::chrono::milliseconds{tuning_.shortest_drain_ms};
    return options;
  }

  /// In the order of the members' names.
  bool MayApplyForDuty() {
    const bool free = !state_.shutting_down() && follower_.connected() &&
                      records_.Find(kRolloutHolderKey) == nullptr;
    const std::size_t before = records_.MemberRank(kMemberPrefix + settings_.daemon.value());
    return duty_turn_.MayApply(free, before, Clock::now());
  }

  Result<void> OpenAdmin() {
    AdminServer::Pages pages;
    pages[Env::kReadyPath] = [this](const std::string& /*query*/) {
      const bool ready = Ready();
      return AdminPage{ready ? http::status::ok : http::status::service_unavailable, "text/plain",
                       ready ? "ready\n" : "not ready\n"};
    };
    BOOST_LEAF_ASSIGN(admin_,
                      AdminServer::Create(executor_, settings_.ready_address, std::move(pages)));
    return {};
  }

  Result<void> OpenPeers() {
    PeerLink::Options options;
    options.self = settings_.daemon;
    options.address = settings_.instance_address;
    options.port = settings_.first_peer_port;
    options.max_broadcast_gateways = tuning_.most_told;
    BOOST_LEAF_ASSIGN(
        peers_, PeerLink::Create(state_, std::move(options), records_, settings_.seed_addresses));
    const std::string address =
        settings_.instance_address + ":" + std::to_string(settings_.first_peer_port);
    BOOST_LEAF_ASSIGN(peer_server_, AdminServer::Create(executor_, address, PeerPages()));
    return {};
  }

  /// What other gateways may ask for; nothing before the store was read.
  AdminServer::Pages PeerPages() {
    AdminServer::Pages pages;
    pages[kStoreCopyPath] = [this](const std::string& query) { return StoreCopyPage(query); };
    return pages;
  }

  /// Changes since the revision in the query, or all where they are not known.
  AdminPage StoreCopyPage(const std::string& query) const {
    if (!follower_.ready()) return {http::status::service_unavailable, "text/plain", ""};
    StoreCopy copy;
    copy.revision = follower_.revision();
    copy.age =
        std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - state_.confirmed_at());
    // Rounded up, so that nothing looks fresher than it is.
    copy.age += std::chrono::milliseconds(1);
    copy.grace = std::chrono::duration_cast<std::chrono::milliseconds>(
        follower_.connectivity().RemainingGrace(Clock::now()));
    copy.store_unreachable = follower_.connectivity().failing();
    auto changes = follower_.ChangesAfter(StoreRevision(std::strtoull(query.c_str(), nullptr, 10)));
    copy.is_snapshot = !changes.has_value();
    if (changes) {
      copy.changes = std::move(*changes);
    } else {
      for (const auto& [key, item] : follower_.items()) {
        copy.changes.push_back({key, item.revision, item});
      }
    }
    return {http::status::ok, "application/x-protobuf", EncodeStoreCopy(copy)};
  }

  typename Follower::Options FollowerOptions() {
    typename Follower::Options options;
    options.follows_peer = [this] { return FollowsRelay(); };
    options.watch_timeout = tuning_.watch;
    options.relay_wait = tuning_.relay_patience;
    options.assumed_age = std::max(settings_.weights_limit - tuning_.unknown_weights_use,
                                   std::chrono::milliseconds(0));
    return options;
  }

  /// The other instance that keeps this one current with the store.
  std::optional<std::string> Relay(const std::set<std::string>& passed_over) const {
    const auto relay =
        records_.UpstreamRelay({settings_.instance_address, settings_.zone}, passed_over);
    return relay ? std::optional(relay->address) : std::nullopt;
  }

  /// Whether the relay does so now; else this instance asks the store.
  bool FollowsRelay() const { return copy_reader_.RelayIsCurrent(Clock::now()); }

  typename StoreCopyReader<Follower>::Options CopyOptions() const {
    typename StoreCopyReader<Follower>::Options options;
    options.port = settings_.first_peer_port;
    return options;
  }

  std::vector<std::string> PeerAddresses() const {
    std::vector<std::string> addresses;
    for (const Member& member : records_.Members()) addresses.push_back(member.address);
    // Before the store was read only the seeds are known.
    if (addresses.empty()) addresses = settings_.seed_addresses;
    std::erase(addresses, settings_.instance_address);
    return addresses;
  }

  AdminServer::Pages MetricsPages() {
    AdminServer::Pages pages;
    pages["/metrics"] = [this](const std::string& /*query*/) {
      SetGauges();
      return AdminPage{http::status::ok, "text/plain; version=0.0.4", metrics_.Print()};
    };
    pages["/quotas"] = [this](const std::string& /*query*/) {
      const auto usages = quota_.Usages();
      return AdminPage{http::status::ok, "application/json",
                       DumpQuotas(state_, quota_.HoldersByZone(), usages)};
    };
    pages["/limits"] = [this](const std::string& /*query*/) {
      const auto usages = quota_.BackendUsages();
      return AdminPage{http::status::ok, "application/json",
                       DumpLimits(state_, quota_.HoldersByZone(), usages, Clock::now())};
    };
    pages["/quarantine"] = [this](const std::string& query) { return QuarantinePage(query); };
    pages["/state"] = [this](const std::string& /*query*/) {
      return AdminPage{http::status::ok, "application/json", Dump()};
    };
    return pages;
  }

  /// Lists quarantined requests; `release=FINGERPRINT` in the query lifts one first.
  AdminPage QuarantinePage(const std::string& query) {
    const std::string prefix = "release=";
    if (query.starts_with(prefix)) {
      const auto request = ParseQuarantineKey(kQuarantinePrefix + query.substr(prefix.size()));
      if (!request) return {http::status::bad_request, "text/plain", "not a fingerprint\n"};
      state_.poison().Release(*request, Clock::now());
    }
    return {http::status::ok, "application/json", DumpQuarantine(state_.poison(), Clock::now())};
  }

  void SetGauges() const {
    const TimePoint now = Clock::now();
    Metrics& metrics = state_.metrics();
    metrics.SetGauge("ridgehold_in_flight", "", state_.in_flight());
    metrics.SetGauge("ridgehold_quarantined_requests", "",
                     static_cast<double>(state_.poison().Quarantined(now).size()));
    metrics.SetGauge("ridgehold_suspected_requests", "",
                     static_cast<double>(state_.poison().suspects()));
    metrics.SetGauge("ridgehold_holds_rollout", "", duty_.IsHeld(now) ? 1 : 0);
    metrics.SetGauge("ridgehold_holds_quota_share", "", quota_.Held(now) ? 1 : 0);
    metrics.SetGauge(
        "ridgehold_engines_on_older_weights", "",
        static_cast<double>(OutdatedEngines(state_.directory(), state_.named_weights()).size()));
  }

  std::string Dump() const {
    InstanceFacts facts;
    facts.daemon = settings_.daemon;
    facts.ready = Ready();
    facts.holds_rollout = duty_.IsHeld(Clock::now());
    facts.connections = server_.open_connections();
    facts.settings = settings_in_force_;
    return DumpState(state_, facts, Clock::now());
  }

  net::awaitable<void> KeepHouse() {
    bool was_ready = false;
    while (!done_) {
      const TimePoint now = Clock::now();
      state_.pool().Sweep(now);
      state_.SetHeardGateways(peers_->active_peers());
      for (const BackendId& id : state_.directory().Expire(now)) {
        Log(LogLevel::kInfo, "backend gone", {{"backend", id.value()}});
      }
      if (const bool ready = Ready(); ready != was_ready) {
        was_ready = ready;
        LogReadiness(ready, now);
      }
      co_await WaitFor(timer_, tuning_.housekeeping);
    }
  }

  /// A rollout that has begun is ended first, since the next holder must wait
  /// before it may order; and the duty is not given up with an order unsettled.
  net::awaitable<void> HandOverDuty(TimePoint latest) {
    Timer timer(executor_);
    const TimePoint stop_by = latest - tuning_.longest_load;
    while (duty_.IsHeld(Clock::now()) && !rollout_.finished() && Clock::now() < stop_by) {
      co_await WaitFor(timer, tuning_.housekeeping / 5);
    }
    rollout_.Stop();
    while (!rollout_.idle() && Clock::now() < latest) {
      co_await WaitFor(timer, tuning_.housekeeping / 5);
    }
    co_await duty_.Release();
    duty_handed_over_ = true;
  }

  void LogReadiness(bool ready, TimePoint now) const {
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - state_.confirmed_at());
    Log(LogLevel::kInfo, ready ? "ready" : "not ready",
        {{"config", state_.snapshot() ? std::to_string(state_.snapshot()->version().value()) : ""},
         {"config_age_ms", std::to_string(age.count())}});
  }

  net::awaitable<void> ShutDown(std::function<void()> done) {
    const TimePoint begun = Clock::now();
    const TimePoint latest = begun + settings_.shutdown_limit - tuning_.shutdown_margin;
    state_.SetLastAnswers(latest - tuning_.last_answers);
    Timer timer(executor_);
    net::co_spawn(executor_, HandOverDuty(latest), net::detached);
    co_await member_.Release();
    co_await quota_.Release();
    co_await WaitFor(timer, std::chrono::duration_cast<std::chrono::milliseconds>(
                                begun + tuning_.lame_duck - Clock::now()));
    server_.Stop();
    state_.RefuseNewRequests();
    while (Clock::now() < latest) {
      server_.CloseIdle();
      if (Clock::now() >= state_.last_answers()) server_.AnswerWaiting();
      const bool empty = state_.in_flight() == 0 && server_.open_connections() == 0;
      if (empty && duty_handed_over_) break;
      co_await WaitFor(timer, tuning_.housekeeping / 5);
    }
    Log(LogLevel::kInfo, "stopped", {{"in_flight", std::to_string(state_.in_flight())}});
    done_ = true;
    follower_.Stop();
    peers_->Stop();
    copy_reader_.Stop();
    quarantine_.Stop();
    quota_.Stop();
    done();
  }

  net::any_io_executor executor_;
  EntrySettings settings_;
  EntryTuning tuning_;
  std::map<std::string, std::string> settings_in_force_;
  Metrics metrics_;
  mutable GatewayState state_;
  InstanceRecords records_;
  Store store_;
  Follower follower_;
  Duty member_;
  Duty duty_;
  DutyTurn duty_turn_;
  QuotaDuty<Store> quota_;
  typename Env::Control control_;
  BackendProber prober_;
  RolloutController<typename Env::Control, Store> rollout_;
  CallerServer<typename Env::Wire> server_;
  std::unique_ptr<AdminServer> admin_;
  std::unique_ptr<PeerLink> peers_;
  std::unique_ptr<AdminServer> peer_server_;
  QuarantineWriter<Store> quarantine_;
  StoreCopyReader<Follower> copy_reader_;
  std::unique_ptr<AdminServer> metrics_server_;
  Timer timer_;
  bool duty_handed_over_ = false;
  bool done_ = false;
};

}  // namespace ridgehold
