// An entry instance: caller server, routing state, leases, readiness and graceful shutdown.

#pragma once

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/random_id.h"
#include "control/leased_key.h"
#include "control/quarantine_writer.h"
#include "control/retry_record.h"
#include "control/rollout_controller.h"
#include "control/state_follower.h"
#include "entry/admin_server.h"
#include "entry/descriptor_shares.h"
#include "entry/election_stagger.h"
#include "entry/entry_settings.h"
#include "entry/entry_tuning.h"
#include "entry/memory_shares.h"
#include "entry/peer_discovery.h"
#include "entry/quota_coordinator.h"
#include "entry/resumption_coordinator.h"
#include "entry/state_dump.h"
#include "entry/store_copy_server.h"
#include "gateway/backend_prober.h"
#include "gateway/caller_server.h"
#include "gateway/engine_grouping.h"
#include "log/log.h"
#include "metrics/metrics.h"
#include "net/listen.h"
#include "net/read_budget.h"
#include "net/wait.h"
#include "peers/origin_codec.h"
#include "peers/peer_link.h"
#include "peers/store_copy_reader.h"
#include "task/spawn.h"
#include "tunnel/peer_paths.h"
#include "tunnel/tunnel_server.h"

namespace ridgehold {

/// The platform-dependent parts of an entry instance: request wire format, store, decoder of the
/// store's items, and control of engines.
template <class Env>
concept Environment = WireFormat<typename Env::Wire> && StateStore<typename Env::Store> &&
    ItemDecoder<typename Env::Codec> && BackendControl<typename Env::Control>;

/// Runs an entry instance. Call Create() and Start(), then run the executor until the `done`
/// callback of BeginShutdown() is called.
template <Environment Env>
class EntryInstance {
 public:
  /// Opens the listening sockets; on failure none stays open. Fails with kAddressUnavailable if
  /// another try may succeed, else with kInvalidSettings.
  static Result<std::unique_ptr<EntryInstance>> Create(net::any_io_executor executor,
                                                       EntrySettings settings, EntryTuning tuning) {
    BOOST_LEAF_AUTO(acceptor, Listen(executor, settings.caller_address));
    std::unique_ptr<EntryInstance> entry(
        new EntryInstance(executor, std::move(settings), tuning, std::move(acceptor)));
    entry->state_.SetGatewayHash(LinkOf(entry->settings_.instance_address));
    entry->state_.SetTopology(entry->settings_.topology);
    BOOST_LEAF_CHECK(entry->OpenAdmin());
    BOOST_LEAF_CHECK(entry->OpenPeers());
    return entry;
  }

  ~EntryInstance() { state_.DetachListeners(); }

  EntryInstance(const EntryInstance&) = delete;
  EntryInstance& operator=(const EntryInstance&) = delete;

  void Start() {
    SpawnDuty(executor_, "membership", [this] { return membership_.Run(); });
    SpawnDuty(executor_, "store follower", [this] { return follower_.Run(); });
    SpawnDuty(executor_, "rollout lease", [this] { return rollout_lease_.Run(); });
    SpawnDuty(executor_, "rollout", [this] { return rollout_.Run(); });
    SpawnDuty(executor_, "peer updates", [this] { return peers_->Send(); });
    SpawnDuty(executor_, "peer gossip", [this] { return peers_->SendGossip(); });
    SpawnDuty(executor_, "quarantine", [this] { return quarantine_.Run(); });
    quota_.Start(*peers_);
    peers_->SetOriginListener([this](const OriginMessage& message, const std::string& from) {
      resumption_.Handle(message, from);
    });
    resumption_.Start();
    SpawnDuty(executor_, "peer messages", [this] { return peers_->Receive(); });
    SpawnDuty(executor_, "store copy", [this] { return copy_reader_.Run(); });
    SpawnDuty(executor_, "backend prober", [this] { return prober_.Run(); });
    SpawnDuty(executor_, "housekeeping", [this] { return RunHousekeeping(); });
    admin_->Start();
    peer_server_->Start();
    server_.Start();
  }

  /// Serves metrics, state, quotas, limits and quarantine on `address:port`. Fails as Listen()
  /// does.
  Result<void> OpenMetrics(const std::string& address) {
    BOOST_LEAF_ASSIGN(metrics_server_, AdminServer::Create(executor_, address, MetricsPages(), {},
                                                           LimitsFor(&DescriptorShares::metrics)));
    metrics_server_->Start();
    return {};
  }

  /// Sets the effective values of EntryTuning that `/state` shows.
  void SetEffectiveSettings(std::map<std::string, std::string> settings) {
    effective_settings_ = std::move(settings);
  }

  /// Applies the limits of reloaded settings. Changed addresses and names are logged and take
  /// effect after a restart.
  void Apply(const EntrySettings& settings) {
    const bool needs_restart = settings.caller_address != settings_.caller_address ||
                               settings.store_address != settings_.store_address ||
                               settings.daemon != settings_.daemon;
    if (needs_restart) Log(LogLevel::kWarn, "address or daemon name changed; restart to apply");
    settings_.max_revocation_delay = settings.max_revocation_delay;
    settings_.strict_revocation = settings.strict_revocation;
    settings_.max_weights_staleness = settings.max_weights_staleness;
    settings_.shutdown_timeout = settings.shutdown_timeout;
    settings_.retries = settings.retries;
    settings_.quota_tolerance = settings.quota_tolerance;
    state_.SetLimits(LimitsOf(settings_, tuning_));
  }

  /// Becomes unready and drains. Calls `done` once all requests are answered or the shutdown
  /// deadline has passed.
  void BeginShutdown(std::function<void()> done) {
    if (state_.shutting_down()) return;
    state_.BeginShutdown();
    tunnel_server_.Stop();
    Log(LogLevel::kInfo, "shutting down",
        {{"in_flight", std::to_string(state_.in_flight())},
         {"connections", std::to_string(server_.open_connections())}});
    Spawn(executor_, "shutdown", ShutDown(done), done);
  }

  bool Ready() const {
    if (state_.shutting_down() || !follower_.ready() || !state_.snapshot()) return false;
    if (LacksPaths(Clock::now())) return false;
    if (!settings_.strict_revocation) return true;
    const auto max_age = settings_.max_revocation_delay * tuning_.ready_fraction;
    return Clock::now() - state_.confirmed_at() < max_age;
  }

  bool HoldsQuotaShare() const { return quota_.HoldsLease(Clock::now()); }

  /// Number of tunnels that it carries for peers.
  std::size_t open_tunnels() const { return tunnel_server_.open_tunnels(); }

  GatewayState& state() { return state_; }
  std::uint16_t caller_port() const { return server_.port(); }
  std::uint16_t ready_port() const { return admin_->port(); }

 private:
  EntryInstance(net::any_io_executor executor, EntrySettings settings, EntryTuning tuning,
                tcp::acceptor acceptor)
      : executor_(executor),
        settings_(std::move(settings)),
        tuning_(tuning),
        shares_(DescriptorShares::Of(settings_.max_descriptors)),
        state_owner_(std::make_shared<GatewayState>(executor, settings_.zone,
                                                    LimitsOf(settings_, tuning),
                                                    PlacementCostsOf(tuning), metrics_)),
        state_(*state_owner_),
        store_(executor, metrics_, settings_.store_address, tuning.store_call_timeout),
        follower_(store_, state_, records_, FollowerOptions()),
        copy_server_(state_, follower_),
        discovery_(
            store_, executor, records_, DiscoveryOptions(),
            [this] { return RelayPositionWithout({}); }, [this] { return follower_.ready(); }),
        membership_(store_, executor, MembershipOptions(), [] { return true; }),
        rollout_lease_(store_, executor, RolloutLeaseOptions(),
                       [this] { return MayAcquireRolloutLease(); }),
        election_stagger_(tuning.election_stagger, tuning.max_election_rank),
        quota_(store_, state_, records_, settings_, tuning_,
               [this] { return follower_.connected(); }),
        control_(state_.pool(), tuning.control_call_timeout),
        prober_(state_, tuning.probing),
        rollout_(control_, rollout_lease_, state_, RolloutOptions()),
        server_(state_, std::move(acceptor), shares_.callers),
        resumption_(store_, state_, records_, settings_, ResumptionCallbacks()),
        retry_record_(store_, executor, RetryRecordOptions()),
        quarantine_(store_, executor, state_.poison(), records_, {settings_.daemon, MemberKey()}),
        copy_reader_(
            state_, follower_, CopyOptions(), [this] { return PeerAddresses(); },
            [this](const std::set<std::string>& excluded) { return FindRelay(excluded); }),
        tunnel_server_(
            TunnelServerOptions(), [this](const BackendId& id) { return ResolveTunnel(id); },
            [this](const BackendId& id, TunnelResult result) { OnTunnelConnect(id, result); },
            metrics_),
        peer_paths_(executor, PeerPathOptions(),
                    TunnelPeers(settings_.topology.RegionOf(settings_.zone),
                                LinkOf(settings_.instance_address), TunnelPeers::Options()),
                    metrics_),
        timer_(executor) {
    peer_paths_.SetPeerSource([this](TunnelPeers& peers) { UpdateTunnelPeers(peers); });
    state_.SetPeerPathOpener([this](BackendPtr backend, TimePoint deadline) {
      return OpenPeerPath(std::move(backend), deadline);
    });
    if (settings_.memory_bytes) {
      ReadBudget::Of(executor).SetCapacity(MemoryShares::Of(*settings_.memory_bytes).unparsed);
    }
    ErrorCode error;
    const auto egress = net::ip::make_address(tuning_.egress_address, error);
    if (!error) state_.pool().SetEgressAddress(egress);
    state_.SetRetryHandlers(
        {[this](TimePoint now) { return RetryStandingAt(now); },
         [this](TimePoint deadline) { return retry_record_.Acquire(deadline); }});
    state_.SetCrashHandlers(
        {[this](BackendPtr backend) { return prober_.ConfirmCrash(std::move(backend)); },
         [this](const RequestFeatures& request, TimePoint limit) {
           return prober_.AwaitCrashProof(request, limit);
         }});
  }

  using Store = typename Env::Store;
  using Lease = LeasedKey<Store>;
  using Follower = StateFollower<Store, typename Env::Codec>;

  static GatewayLimits LimitsOf(const EntrySettings& settings, const EntryTuning& tuning) {
    GatewayLimits limits;
    if (settings.strict_revocation) {
      limits.key_trust = settings.max_revocation_delay - tuning.key_trust_margin;
    }
    limits.older_weights = settings.max_weights_staleness - tuning.weights_margin;
    limits.retries = settings.retries;
    limits.quota_tolerance = settings.quota_tolerance;
    limits.quota_tolerance.granted_fraction = tuning.quota_tolerance_fraction;
    limits.backend_limits.used_fraction = tuning.limit_tolerance_fraction;
    limits.admission = tuning.admission;
    limits.priority = tuning.priority;
    limits.strict_pause = std::chrono::milliseconds(tuning.strict_pause_ms);
    limits.performance = tuning.performance;
    limits.groups = tuning.groups;
    limits.memory_enabled = tuning.memory_enabled;
    limits.poison = tuning.poison;
    limits.response_timeout_objectives = tuning.call_timeout_objectives;
    limits.stream_timeout_objectives = tuning.stream_timeout_objectives;
    if (settings.memory_bytes) {
      const MemoryShares shares = MemoryShares::Of(*settings.memory_bytes);
      limits.max_request_bytes = shares.request_bodies;
      limits.max_buffered_bytes = shares.response_bodies;
    }
    return limits;
  }

  static PlacementCosts PlacementCostsOf(const EntryTuning& tuning) {
    PlacementCosts costs = tuning.placement;
    costs.older_weights_grace = std::chrono::milliseconds(tuning.older_weights_grace_ms);
    return costs;
  }

  PortLimits LimitsFor(std::size_t DescriptorShares::*port) const {
    PortLimits limits;
    limits.max_connections = shares_.*port;
    return limits;
  }

  std::string MemberKey() const { return MemberKeyOf(settings_.zone, settings_.daemon); }

  typename Lease::Options MembershipOptions() const {
    typename Lease::Options options;
    options.key = MemberKey();
    options.value = EncodeMember({settings_.instance_address, settings_.zone});
    options.ttl = std::max(tuning_.member_ttl, settings_.min_lease_ttl);
    options.renewals_per_ttl = tuning_.member_renewals_per_ttl;
    options.exclusive = false;
    return options;
  }

  typename ResumptionCoordinator<Store>::Callbacks ResumptionCallbacks() {
    typename ResumptionCoordinator<Store>::Callbacks callbacks;
    callbacks.send = [this](const std::string& address, const OriginMessage& message) {
      peers_->SendTo(address, Encode(settings_.daemon, message));
    };
    callbacks.peers = [this] { return PeerAddresses(); };
    callbacks.connected = [this] { return follower_.connected(); };
    return callbacks;
  }

  typename RetryRecord<Store>::Options RetryRecordOptions() const {
    typename RetryRecord<Store>::Options options;
    options.key = kRetryRecordPrefix + settings_.daemon.value();
    options.value = settings_.instance_address + " " + RandomId();
    options.counted_span = [this] { return state_.retries().CountedSpan(); };
    return options;
  }

  RetryStanding RetryStandingAt(TimePoint now) const {
    RetryStandingInput input;
    input.process_started = retry_record_.created();
    if (membership_.IsHeld(now)) input.member_since = membership_.exclusive_since();
    input.recorded = retry_record_.Covers(now);
    const StoreItem* record = records_.Find(retry_record_.key());
    input.predecessor_recorded = record != nullptr && record->value != retry_record_.value();
    input.counted_span = state_.retries().CountedSpan();
    return RetryStandingOf(input, now);
  }

  typename Lease::Options RolloutLeaseOptions() const {
    typename Lease::Options options;
    options.key = kRolloutHolderKey;
    // The address distinguishes this instance from a later one with the same name.
    options.value = settings_.daemon.value() + " " + settings_.instance_address;
    options.predecessor_may_hold = [this, holder = options.value] {
      return follower_.connected() && records_.IsHeldBy(kRolloutHolderKey, holder);
    };
    options.handover_delay = settings_.lease_handover_delay;
    options.ttl = std::max(tuning_.rollout_lease_ttl, settings_.min_lease_ttl);
    return options;
  }

  typename RolloutController<typename Env::Control, Store>::Options RolloutOptions() const {
    typename RolloutController<typename Env::Control, Store>::Options options;
    options.self = settings_.daemon;
    options.engines_per_load = tuning_.engines_per_load;
    options.preserve_retry_budget = tuning_.preserve_retry_budget;
    options.limit_by_measured_loads = tuning_.limit_by_measured_loads;
    options.min_drain = std::chrono::milliseconds{tuning_.min_drain_ms};
    return options;
  }

  /// Instances apply for the lease in the order of their membership keys.
  bool MayAcquireRolloutLease() {
    const bool vacant = !state_.shutting_down() && follower_.connected() &&
                        !state_.IsIsolated(Clock::now()) &&
                        records_.Find(kRolloutHolderKey) == nullptr;
    const std::size_t rank = records_.MemberRank(MemberKey());
    return election_stagger_.MayCampaign(vacant, rank, Clock::now());
  }

  Result<void> OpenAdmin() {
    AdminServer::Pages pages;
    pages[Env::kReadyPath] = [this](const std::string& /*query*/) {
      const bool ready = Ready();
      return AdminPage{ready ? http::status::ok : http::status::service_unavailable, "text/plain",
                       ready ? "ready\n" : "not ready\n"};
    };
    BOOST_LEAF_ASSIGN(admin_,
                      AdminServer::Create(executor_, settings_.ready_address, std::move(pages), {},
                                          LimitsFor(&DescriptorShares::readiness)));
    return {};
  }

  Result<void> OpenPeers() {
    PeerLink::Options options;
    options.self = settings_.daemon;
    options.address = settings_.instance_address;
    options.port = settings_.first_peer_port;
    options.max_broadcast_gateways = tuning_.max_broadcast_peers;
    BOOST_LEAF_ASSIGN(
        peers_, PeerLink::Create(state_, std::move(options), records_, settings_.seed_addresses));
    const std::string address =
        settings_.instance_address + ":" + std::to_string(settings_.first_peer_port);
    BOOST_LEAF_ASSIGN(peer_server_, AdminServer::Create(executor_, address, {}, PeerPages(),
                                                        LimitsFor(&DescriptorShares::peers)));
    peer_server_->SetConnectHandler([this](tcp::socket socket, RequestMessage request) {
      return tunnel_server_.Serve(std::move(socket), std::move(request));
    });
    return {};
  }

  static constexpr TcpLiveness kTunnelLiveness{std::chrono::milliseconds(2'500),
                                               std::chrono::seconds(1)};

  TunnelServer::Options TunnelServerOptions() const {
    TunnelServer::Options options;
    options.max_tunnels = shares_.tunnels;
    options.liveness = kTunnelLiveness;
    return options;
  }

  PeerPaths::Options PeerPathOptions() const {
    PeerPaths::Options options;
    options.port = settings_.first_peer_port;
    options.liveness = kTunnelLiveness;
    return options;
  }

  /// Where a tunnel of a peer to a backend server leads.
  TunnelServer::Destination ResolveTunnel(const BackendId& id) const {
    constexpr std::chrono::milliseconds kProbeTtl{500};
    const TimePoint now = Clock::now();
    const BackendPtr backend = state_.directory().Find(id);
    if (!backend) return {TunnelResult::kUnknownBackend, {}};
    if (!IsUsable(*backend, now)) return {TunnelResult::kLeaving, {}};
    if (state_.IsIsolated(now)) return {TunnelResult::kIsolated, {}};
    const bool lost = !backend->reachable && now - backend->probed_at < kProbeTtl;
    if (lost) return {TunnelResult::kUnreachable, {}};
    return {TunnelResult::kOpen, state_.pool().EndpointOf(backend->entry.address)};
  }

  void OnTunnelConnect(const BackendId& id, TunnelResult result) {
    const BackendPtr backend = state_.directory().Find(id);
    if (result == TunnelResult::kOpen) return state_.RecordContact();
    if (!backend) return;
    state_.RecordLoss(backend);
    state_.directory().RequestProbe(backend);
  }

  void UpdateTunnelPeers(TunnelPeers& peers) {
    if (tunnel_members_version_ == records_.members_version()) return;
    tunnel_members_version_ = records_.members_version();
    std::vector<TunnelPeer> known;
    for (const Member& member : records_.Members()) {
      if (member.address == settings_.instance_address) continue;
      known.push_back({member.address, settings_.topology.RegionOf(member.zone)});
    }
    peers.SetPeers(std::move(known));
  }

  net::awaitable<PeerPath> OpenPeerPath(BackendPtr backend, TimePoint deadline) {
    TunnelTarget target{backend->entry.id, settings_.topology.RegionOf(backend->entry.zone)};
    PeerPath path = co_await peer_paths_.Open(std::move(target), deadline);
    if (path.connection) last_peer_path_at_ = Clock::now();
    co_return path;
  }

  /// Whether the instance has reached no backend server for some time, neither directly nor through
  /// a peer.
  bool LacksPaths(TimePoint now) const {
    constexpr std::chrono::milliseconds kPatience{2'000};
    if (!state_.IsIsolated(now)) return false;
    return now - std::max(state_.isolated_since(), last_peer_path_at_) >= kPatience;
  }

  /// Pages for other instances.
  AdminServer::DelayedPages PeerPages() {
    AdminServer::DelayedPages pages;
    pages[kStoreCopyPath] = [this](std::string query) {
      return copy_server_.Respond(std::move(query));
    };
    return pages;
  }

  typename Follower::Options FollowerOptions() {
    typename Follower::Options options;
    options.follows_peer = [this] { return FollowsRelay(); };
    options.survey = [this] { return SurveyFleet(); };
    options.on_large_store = [this] { SearchRelay(); };
    options.awaits_copy = [this] { return discovery_.AwaitsCopy(Clock::now()); };
    options.on_update = [this] { copy_server_.NotifyUpdated(); };
    options.backoff_scale = [this] { return StoreBackoffScale(); };
    options.watch_timeout = tuning_.watch_timeout;
    options.relay_wait = tuning_.relay_wait;
    options.assumed_age = std::max(settings_.max_weights_staleness - tuning_.unknown_weights_grace,
                                   std::chrono::milliseconds(0));
    return options;
  }

  typename PeerDiscovery<Store>::Options DiscoveryOptions() const {
    typename PeerDiscovery<Store>::Options options;
    options.zone = settings_.zone;
    return options;
  }

  net::awaitable<StoreResult<StoreSize>> SurveyFleet() {
    const StoreResult<StoreSize> size = co_await discovery_.Survey();
    if (size.has_value() && *size == StoreSize::kLarge) SearchRelay();
    co_return size;
  }

  void SearchRelay() {
    Spawn(executor_, "relay search", discovery_.Search(), [this] { discovery_.GiveUp(); });
  }

  /// Returns this instance's place in the tree of relays if the members at these addresses are left
  /// out.
  RelayPosition RelayPositionWithout(const std::set<std::string>& excluded) const {
    return records_.RelayPositionOf(MemberKey(), settings_.zone, excluded);
  }

  /// Returns the address of the instance from which this one follows the store.
  std::optional<std::string> FindRelay(const std::set<std::string>& excluded) const {
    const RelayPosition position = RelayPositionWithout(excluded);
    return position.upstream ? std::optional(position.upstream->address) : std::nullopt;
  }

  /// Returns how much more rarely this instance calls a store that does not answer. The calls of a
  /// large fleet then cost no more than those of kUnscaledFleet instances; the instances next to
  /// the store in the tree of relays call it as often as ever and tell the others when it is back.
  double StoreBackoffScale() const {
    constexpr double kUnscaledFleet = 64;
    if (RelayPositionWithout({}).depth <= 1) return 1;
    return std::max(1.0, static_cast<double>(records_.Members().size()) / kUnscaledFleet);
  }

  /// Returns whether the relay's copy is current. Otherwise this instance watches the store itself.
  bool FollowsRelay() const { return copy_reader_.RelayIsCurrent(Clock::now()); }

  typename StoreCopyReader<Follower>::Options CopyOptions() const {
    typename StoreCopyReader<Follower>::Options options;
    options.port = settings_.first_peer_port;
    options.depth = [this] { return RelayPositionWithout({}).depth; };
    return options;
  }

  std::vector<std::string> PeerAddresses() const {
    std::vector<std::string> addresses;
    for (const Member& member : records_.Members()) addresses.push_back(member.address);
    // Until the store has been read, only the seeds are known.
    if (addresses.empty()) addresses = settings_.seed_addresses;
    std::erase(addresses, settings_.instance_address);
    return addresses;
  }

  AdminServer::Pages MetricsPages() {
    AdminServer::Pages pages;
    pages["/metrics"] = [this](const std::string& /*query*/) {
      UpdateGauges();
      return AdminPage{http::status::ok, "text/plain; version=0.0.4", metrics_.Print()};
    };
    pages["/quotas"] = [this](const std::string& /*query*/) {
      const auto usages = quota_.WorkspaceUsages();
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

  /// Lists quarantined requests. `release=FINGERPRINT` in the query first releases that one.
  AdminPage QuarantinePage(const std::string& query) {
    const std::string prefix = "release=";
    if (query.starts_with(prefix)) {
      const auto request = ParseQuarantineKey(kQuarantinePrefix + query.substr(prefix.size()));
      if (!request) return {http::status::bad_request, "text/plain", "not a fingerprint\n"};
      state_.poison().Release(*request, Clock::now());
    }
    return {http::status::ok, "application/json", DumpQuarantine(state_.poison(), Clock::now())};
  }

  void UpdateGauges() const {
    const TimePoint now = Clock::now();
    Metrics& metrics = state_.metrics();
    metrics.SetGauge("ridgehold_in_flight", "", state_.in_flight());
    metrics.SetGauge("ridgehold_request_body_bytes", "",
                     static_cast<double>(state_.body_gate()->queue().used()));
    metrics.SetGauge("ridgehold_waiting_bodies", "",
                     static_cast<double>(state_.body_gate()->queue().waiting()));
    metrics.SetGauge("ridgehold_unparsed_bytes", "",
                     static_cast<double>(ReadBudget::Of(executor_).used()));
    metrics.SetGauge("ridgehold_unparsed_bytes_refused", "",
                     static_cast<double>(ReadBudget::Of(executor_).refused()));
    metrics.SetGauge("ridgehold_port_connections_replaced", "port=\"readiness\"",
                     static_cast<double>(admin_->replaced_connections()));
    metrics.SetGauge("ridgehold_port_connections_replaced", "port=\"peers\"",
                     static_cast<double>(peer_server_->replaced_connections()));
    metrics.SetGauge("ridgehold_port_connections_replaced", "port=\"metrics\"",
                     static_cast<double>(metrics_server_->replaced_connections()));
    metrics.SetGauge("ridgehold_stored_origins", "",
                     static_cast<double>(resumption_.stored_streams()));
    metrics.SetGauge("ridgehold_unreachable_backends", "",
                     static_cast<double>(state_.directory().UnreachableCount()));
    metrics.SetGauge("ridgehold_retry_sharers", "", state_.retries().Sharers(now));
    metrics.SetGauge("ridgehold_isolated", "", state_.IsIsolated(now) ? 1 : 0);
    metrics.SetGauge("ridgehold_open_tunnels", "",
                     static_cast<double>(tunnel_server_.open_tunnels()));
    metrics.SetGauge("ridgehold_quarantined_requests", "",
                     static_cast<double>(state_.poison().Quarantines(now).size()));
    metrics.SetGauge("ridgehold_suspected_requests", "",
                     static_cast<double>(state_.poison().suspects()));
    metrics.SetGauge("ridgehold_suspected_parts", "",
                     static_cast<double>(state_.poison().suspected_parts()));
    metrics.SetGauge("ridgehold_holds_rollout", "", rollout_lease_.IsHeld(now) ? 1 : 0);
    metrics.SetGauge("ridgehold_holds_quota_share", "", quota_.HoldsLease(now) ? 1 : 0);
    metrics.SetGauge(
        "ridgehold_engines_on_older_weights", "",
        static_cast<double>(OutdatedEngines(state_.directory(), state_.named_weights()).size()));
    UpdateGroupGauges(state_);
  }

  std::string Dump() const {
    InstanceStatus status;
    status.daemon = settings_.daemon;
    status.ready = Ready();
    status.holds_rollout = rollout_lease_.IsHeld(Clock::now());
    status.connections = server_.open_connections();
    status.settings = effective_settings_;
    return DumpState(state_, status, Clock::now());
  }

  net::awaitable<void> RunHousekeeping() {
    bool was_ready = false;
    while (!stopped_) {
      const TimePoint now = Clock::now();
      state_.pool().CloseExpired(now);
      for (AdminServer* server : {admin_.get(), peer_server_.get(), metrics_server_.get()}) {
        if (server != nullptr) server->CloseExpired(now);
      }
      state_.SetReportingGateways(peers_->active_peers());
      resumption_.Update(now);
      for (const BackendId& id : state_.directory().Expire(now)) {
        Log(LogLevel::kInfo, "backend removed after its grace period", {{"backend", id.value()}});
      }
      if (ShouldStepDown(now)) {
        Log(LogLevel::kInfo, "rollout handed over: no engine can be ordered from here");
        co_await rollout_lease_.StepDown();
      }
      if (const bool ready = Ready(); ready != was_ready) {
        was_ready = ready;
        LogReadiness(ready, now);
      }
      co_await WaitFor(timer_, tuning_.housekeeping_interval);
    }
  }

  /// Lets a started rollout finish first, since the next lease holder must wait before it may send
  /// orders. Does not release the lease while the outcome of an order is unknown, until `deadline`.
  net::awaitable<void> ReleaseRolloutLease(TimePoint deadline) {
    Timer timer(executor_);
    const TimePoint stop_by = deadline - tuning_.max_load_time;
    while (rollout_lease_.IsHeld(Clock::now()) && !rollout_.finished() && Clock::now() < stop_by) {
      co_await WaitFor(timer, tuning_.housekeeping_interval / 5);
    }
    rollout_.Stop();
    while (!rollout_.idle() && Clock::now() < deadline) {
      co_await WaitFor(timer, tuning_.housekeeping_interval / 5);
    }
    co_await rollout_lease_.Release();
    rollout_lease_released_ = true;
  }

  /// Orders are not sent through peers, since only one instance may send them. An isolated holder
  /// leaves them to another one once no order is under way.
  bool ShouldStepDown(TimePoint now) const {
    constexpr std::chrono::milliseconds kPatience{1'000};
    const bool isolated = state_.IsIsolated(now) && now - state_.isolated_since() >= kPatience;
    return isolated && rollout_lease_.IsHeld(now) && rollout_.idle();
  }

  void LogReadiness(bool ready, TimePoint now) const {
    const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - state_.confirmed_at());
    Log(LogLevel::kInfo, ready ? "ready" : "not ready",
        {{"config", state_.snapshot() ? std::to_string(state_.snapshot()->version().value()) : ""},
         {"config_age_ms", std::to_string(age.count())}});
  }

  net::awaitable<void> ShutDown(std::function<void()> done) {
    const TimePoint started = Clock::now();
    const TimePoint deadline = started + settings_.shutdown_timeout - tuning_.shutdown_margin;
    state_.SetResponseDeadline(deadline - tuning_.final_response_margin);
    Timer timer(executor_);
    Spawn(executor_, "rollout lease release", ReleaseRolloutLease(deadline),
          [this] { rollout_lease_released_ = true; });
    co_await membership_.Release();
    co_await quota_.Release();
    // What begins at the end of the lame-duck time needs time, too.
    const auto lame_duck = std::min(tuning_.lame_duck, settings_.shutdown_timeout / 3);
    co_await WaitFor(timer, std::chrono::duration_cast<std::chrono::milliseconds>(
                                started + lame_duck - Clock::now()));
    // A loop that was held up handles what has arrived before it is told that time is over.
    co_await WaitFor(timer, tuning_.housekeeping_interval / 5);
    server_.Stop();
    state_.RejectNewRequests();
    for (bool over = false; !over;) {
      over = Clock::now() >= deadline;
      server_.CloseIdle(tuning_.final_request_time);
      if (Clock::now() >= state_.response_deadline()) server_.FailPending();
      const bool drained = state_.in_flight() == 0 && server_.open_connections() == 0 &&
                           tunnel_server_.open_tunnels() == 0;
      if (drained && rollout_lease_released_) break;
      co_await WaitFor(timer, tuning_.housekeeping_interval / 5);
    }
    Log(LogLevel::kInfo, "stopped", {{"in_flight", std::to_string(state_.in_flight())}});
    stopped_ = true;
    tunnel_server_.Abort();
    follower_.Stop();
    peers_->Stop();
    copy_reader_.Stop();
    retry_record_.Stop();
    quarantine_.Stop();
    quota_.Stop();
    resumption_.Stop();
    done();
  }

  net::any_io_executor executor_;
  EntrySettings settings_;
  EntryTuning tuning_;
  DescriptorShares shares_;
  std::map<std::string, std::string> effective_settings_;
  Metrics metrics_;
  std::shared_ptr<GatewayState> state_owner_;  ///< shared with the exchanges in progress
  GatewayState& state_;
  InstanceRecords records_;
  Store store_;
  Follower follower_;
  StoreCopyServer<Follower> copy_server_;
  PeerDiscovery<Store> discovery_;
  Lease membership_;
  Lease rollout_lease_;
  ElectionStagger election_stagger_;
  QuotaCoordinator<Store> quota_;
  typename Env::Control control_;
  BackendProber prober_;
  RolloutController<typename Env::Control, Store> rollout_;
  CallerServer<typename Env::Wire> server_;
  std::unique_ptr<AdminServer> admin_;
  std::unique_ptr<PeerLink> peers_;
  std::unique_ptr<AdminServer> peer_server_;
  ResumptionCoordinator<Store> resumption_;
  RetryRecord<Store> retry_record_;
  QuarantineWriter<Store> quarantine_;
  StoreCopyReader<Follower> copy_reader_;
  std::unique_ptr<AdminServer> metrics_server_;
  TunnelServer tunnel_server_;
  PeerPaths peer_paths_;
  std::uint64_t tunnel_members_version_ = 0;
  TimePoint last_peer_path_at_{};
  Timer timer_;
  bool rollout_lease_released_ = false;
  bool stopped_ = false;
};

}  // namespace ridgehold
