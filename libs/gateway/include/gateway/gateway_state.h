// State shared by the exchanges of one gateway: configuration, backend servers, budgets, freshness.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/ids.h"
#include "buffering/body_gate.h"
#include "drain/service_times.h"
#include "gateway/admission.h"
#include "gateway/backend_directory.h"
#include "gateway/deferred_requests.h"
#include "gateway/gateway_gossip.h"
#include "gateway/load_report.h"
#include "gateway/placement.h"
#include "gateway/poison_guard.h"
#include "gateway/prefill_rate.h"
#include "gateway/prefix_shares.h"
#include "gateway/prompt_sizes.h"
#include "gateway/pushback_registry.h"
#include "gateway/queued_attempts.h"
#include "gateway/routing_snapshot.h"
#include "gateway/sampled_shares.h"
#include "gateway/unanswered_attempts.h"
#include "gateway/weights_history.h"
#include "gateway/zone_topology.h"
#include "groups/group_size.h"
#include "groups/service_groups.h"
#include "metrics/metrics.h"
#include "net/byte_budget.h"
#include "net/connection_pool.h"
#include "performance/pending_performance.h"
#include "performance/performance_meter.h"
#include "performance/performance_options.h"
#include "priority/priority_state.h"
#include "priority/urgency.h"
#include "quota/quota_client.h"
#include "resumption/origin_finding.h"
#include "retry/sliding_retry_budget.h"
#include "tunnel/contact_monitor.h"
#include "tunnel/peer_paths.h"

namespace ridgehold {

/// Limits of a gateway, from the platform's settings and its own.
struct GatewayLimits {
  /// How long an API key is trusted after the configuration was last confirmed to be the newest;
  /// empty: indefinitely.
  std::optional<std::chrono::milliseconds> key_trust;
  /// How long after the announcement of newer weights requests may start on older ones.
  std::chrono::milliseconds older_weights{10'000};
  RetryBudgetLimits retries;
  QuotaTolerance quota_tolerance;
  LimitTolerance backend_limits;
  /// Maximum size of a buffered, non-streamed response.
  std::size_t max_response_bytes = std::size_t{16} << 20;
  /// Maximum size of all responses that are buffered at the same time, see ByteBudget.
  std::size_t max_buffered_bytes = std::size_t{32} << 20;
  /// Maximum size of all large request bodies that are held at the same time, see BodyGate.
  std::size_t max_request_bytes = std::numeric_limits<std::size_t>::max();
  /// Response time-out of a repeatable call in multiples of its objective, after which it is
  /// retried elsewhere.
  double response_timeout_objectives = 3;
  /// Response time-out of resumable streams, which may be queued at the engine.
  double stream_timeout_objectives = 5;
  AdmissionOptions admission;
  PoisonOptions poison;
  /// Longest pause objective that counts as strict, see HasStrictPauses(); zero: none.
  std::chrono::milliseconds strict_pause{0};
  PerformanceOptions performance;
  PriorityOptions priority;
  GroupLimits groups;
  /// Whether requests wait for room in an engine's memory, see GatewayState::LimitsMemory().
  bool memory_enabled = true;
  /// Minimum remaining time for another attempt.
  std::chrono::milliseconds min_attempt_time{30};
};

static_assert(SlidingRetryBudget::kMaxConnectDelay >= ConnectionPool::Options{}.connect_timeout);

/// Identifies a service in messages between gateways.
std::uint64_t HashOf(const ServiceId& service);

/// Runs on one executor; not thread-safe. Must outlive all exchanges, which share its ownership if
/// it is owned by a shared pointer.
class GatewayState : public std::enable_shared_from_this<GatewayState> {
 public:
  GatewayState(net::any_io_executor executor, ZoneId zone, GatewayLimits limits,
               PlacementCosts weights, Metrics& metrics)
      : executor_(executor),
        zone_(std::move(zone)),
        limits_(limits),
        placement_weights_(weights),
        metrics_(metrics),
        pool_(executor, ConnectionPool::Options{}),
        retries_(limits.retries),
        poison_(metrics, limits.poison),
        response_budget_(limits.max_buffered_bytes),
        body_gate_(BodyGate::Create(executor, limits.max_request_bytes)),
        queued_attempts_(executor, named_weights_, limits.older_weights) {
    pushback_.SetTolerance(limits.backend_limits);
    named_weights_.SetListener([this] { queued_attempts_.CancelExpired(); });
    pool_.SetCloseListener([this](const std::string& address, const ClosedConnection& closed) {
      RecordClosed(address, closed);
    });
    directory_.SetTerminationListener([this](const Backend& backend) {
      poison_.RecordCrash(backend, "registration", Clock::now());
    });
  }

  GatewayState(const GatewayState&) = delete;
  GatewayState& operator=(const GatewayState&) = delete;

  net::any_io_executor executor() const { return executor_; }
  const ZoneId& zone() const { return zone_; }
  const ZoneTopology& topology() const { return topology_; }
  void SetTopology(ZoneTopology topology) { topology_ = std::move(topology); }
  /// Unique for each gateway.
  std::uint64_t gateway_hash() const { return gateway_hash_; }
  void SetGatewayHash(std::uint64_t hash) {
    gateway_hash_ = hash;
    pushback_.SetGateways(gateway_hash_, gateways_);
    poison_.SetGateways(gateway_hash_, gateways_);
  }
  const GatewayLimits& limits() const { return limits_; }
  /// Applies to later decisions only.
  void SetLimits(const GatewayLimits& limits) {
    limits_ = limits;
    retries_.SetLimits(limits.retries);
    pushback_.SetTolerance(limits.backend_limits);
    queued_attempts_.SetLimit(limits.older_weights);
  }
  const PlacementCosts& weights() const { return placement_weights_; }
  Metrics& metrics() { return metrics_; }
  ConnectionPool& pool() { return pool_; }
  BackendDirectory& directory() { return directory_; }
  const BackendDirectory& directory() const { return directory_; }
  SlidingRetryBudget& retries() { return retries_; }

  const std::shared_ptr<const RoutingSnapshot>& snapshot() const { return snapshot_; }

  /// Installs a newer configuration; returns false if it is not newer.
  bool TakeSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot) {
    if (snapshot_ && snapshot->version() <= snapshot_->version()) return false;
    snapshot_ = std::move(snapshot);
    return true;
  }

  /// Records that the configuration was the newest one at `moment`.
  void ConfirmSnapshot(TimePoint moment) { confirmed_at_ = std::max(confirmed_at_, moment); }
  TimePoint confirmed_at() const { return confirmed_at_; }

  /// Whether API keys of the current configuration may be trusted at `now`.
  bool MayTrustKeys(TimePoint now) const {
    return !limits_.key_trust || now - confirmed_at_ < *limits_.key_trust;
  }

  PrefixShares& prefix_shares() { return prefix_shares_; }
  const SampledShares& sampled_shares() const { return sampled_shares_; }
  /// Sample of this gateway's own requests with the prompt prefix `first`.
  PrefixSample SampleOf(std::uint64_t first) const {
    return {own_shares_.TokensOf(first), own_shares_.total()};
  }
  const TransferLinks& links() const { return links_; }

  /// Estimated content of a KV cache store, see StoredPart.
  const EngineCache& StoreContents(LinkHash store) { return store_contents_[store]; }

  /// Observed prefill speed of a service's engines.
  PrefillRateEstimator& prefill_rate_estimator(const ServiceId& service);
  /// Prefill speed in tokens per millisecond; the configured value before any observation.
  double TokensPerMs(const ServiceId& service) const;

  PromptSizes& prompt_sizes() { return prompt_sizes_; }
  const PromptSizes& prompt_sizes() const { return prompt_sizes_; }

  WeightsHistory& named_weights() { return named_weights_; }
  const WeightsHistory& named_weights() const { return named_weights_; }
  QueuedAttempts& queued_attempts() { return queued_attempts_; }
  UnansweredAttempts& unanswered_attempts() { return unanswered_attempts_; }
  PoisonGuard& poison() { return poison_; }
  const PoisonGuard& poison() const { return poison_; }
  ByteBudget& response_budget() { return response_budget_; }
  const std::shared_ptr<BodyGate>& body_gate() const { return body_gate_; }

  /// Waits a few milliseconds until it is known whether a backend server with an interrupted
  /// attempt has crashed, see BackendProber::ConfirmCrash.
  net::awaitable<void> ConfirmCrash(BackendPtr backend) {
    if (crash_handlers_.confirm) co_await crash_handlers_.confirm(std::move(backend));
  }
  /// Waits until it is known which backend servers have crashed while running the request, see
  /// BackendProber::AwaitCrashProof.
  net::awaitable<void> AwaitCrashProof(const RequestFeatures& request, TimePoint limit) {
    if (crash_handlers_.await_proof) co_await crash_handlers_.await_proof(request, limit);
  }
  struct CrashHandlers {
    std::function<net::awaitable<void>(BackendPtr)> confirm;
    std::function<net::awaitable<void>(const RequestFeatures&, TimePoint)> await_proof;
  };
  void SetCrashHandlers(CrashHandlers handlers) { crash_handlers_ = std::move(handlers); }

  /// Callbacks that acquire and refund quota.
  struct QuotaHandlers {
    std::function<net::awaitable<QuotaOutcome>(QuotaDemand)> acquire;
    std::function<void(const QuotaTicket&)> refund;
  };
  void SetQuotaHandlers(QuotaHandlers handlers) { quota_handlers_ = std::move(handlers); }
  net::awaitable<QuotaOutcome> AcquireQuota(QuotaDemand demand);
  /// Refunds quota acquired for a request that was not executed.
  void RefundQuota(const QuotaTicket& ticket) {
    if (quota_handlers_.refund) quota_handlers_.refund(ticket);
  }

  /// Callbacks that share the origins of streams with the other gateways, see OriginLink.
  struct OriginHandlers {
    std::function<net::awaitable<OriginFinding>(RequestId, WorkspaceId, ServiceId)> find;
    std::function<void(const RequestId&, const WorkspaceId&, const ServiceId&, const ReleaseId&)>
        record;
  };
  void SetOriginHandlers(OriginHandlers handlers) { origin_handlers_ = std::move(handlers); }
  /// Finds the release that began the stream of a client's attempt.
  net::awaitable<OriginFinding> FindOrigin(RequestId attempt, WorkspaceId workspace,
                                           ServiceId service);
  /// Records that `release` began the stream of this attempt.
  void RecordOrigin(const RequestId& attempt, const WorkspaceId& workspace,
                    const ServiceId& service, const ReleaseId& release) {
    if (origin_handlers_.record) origin_handlers_.record(attempt, workspace, service, release);
  }

  /// Callbacks that tell which part of the retry budget may be spent.
  struct RetryHandlers {
    std::function<RetryStanding(TimePoint)> standing;
    /// Records in the store that this process sends retries. Returns whether that is certain.
    std::function<net::awaitable<bool>(TimePoint deadline)> record;
  };
  void SetRetryHandlers(RetryHandlers handlers) { retry_handlers_ = std::move(handlers); }
  RetryStanding RetryStandingAt(TimePoint now) const {
    return retry_handlers_.standing ? retry_handlers_.standing(now) : RetryStanding();
  }
  /// Reserves a retry for `service`; nothing if the budget is exhausted. May wait for the store,
  /// at most until `deadline`.
  net::awaitable<std::optional<RetryReservation>> ReserveRetry(ServiceId service,
                                                               TimePoint deadline);
  /// Number of retries for `service` that the budget allows if the store responds.
  double RetriesLeft(const ServiceId& service, TimePoint now);

  PushbackRegistry& pushback() { return pushback_; }
  const PushbackRegistry& pushback() const { return pushback_; }

  DeferredRequests& deferred_requests() { return deferred_requests_; }

  PriorityState& priority() { return priority_; }
  const PriorityState& priority() const { return priority_; }

  /// Number of live gateways, including this one.
  std::uint32_t gateways() const { return gateways_; }
  void SetGateways(std::uint32_t gateways, TimePoint now) {
    gateways_ = std::max(gateways, 1U);
    retries_.SetGateways(gateways_, now);
    pushback_.SetGateways(gateway_hash_, gateways_);
    poison_.SetGateways(gateway_hash_, gateways_);
  }

  /// Queries the gateways that track backend servers; see SetLoadAsker.
  using LoadAsker = std::function<net::awaitable<LoadAnswer>(LoadQuestion)>;

  /// Whether peers are queried before a request is placed. In a small fleet all gateways broadcast
  /// their load, so queries are unnecessary.
  bool queries_peers() const { return static_cast<bool>(query_loads_); }
  /// Enables queries to peers; an empty function disables them.
  void SetLoadAsker(LoadAsker query) { query_loads_ = std::move(query); }

  /// Whether pauses of the service's streams matter for placement: the shortest pause objective of
  /// its routes is strict, and gateways query each other.
  bool HasStrictPauses(const ServiceId& service) const;

  /// Whether the speed of each engine of the service is learned and considered in placement.
  bool UsesPerformance(const ServiceId& service) const {
    return limits_.performance.enabled && HasStrictPauses(service);
  }
  /// Average pause of the service's interactive streams at this gateway in ms; 0 if not known.
  double AveragePause(const ServiceId& service) const;
  /// Records a pause between two events that an engine sent. Requires UsesPerformance().
  void RecordPause(Backend& backend, RequestGroup group, Duration pause);
  /// Records that a first event came `waited` after its request was sent to an engine with `tokens`
  /// left to prefill. Requires UsesPerformance().
  void RecordFirstEventWait(Backend& backend, RequestGroup group, double tokens, Duration waited);
  /// Whether the service's requests are ordered by urgency and workspace shares: its objectives
  /// differ enough, and gateways query each other.
  bool OrdersRequests(const ServiceId& service) const;
  /// The engine groups of a service with strict pauses; null if engines are not divided into
  /// groups.
  ServiceGroups* EngineGroupsOf(const ServiceId& service);
  const std::map<ServiceId, ServiceGroups>& engine_groups() const { return engine_groups_; }
  /// This gateway's own demand for the engines of the service with this hash, see HashOf(); nothing
  /// if its engines are not divided into groups.
  std::optional<DemandSample> OwnDemandFor(std::uint64_t service, TimePoint now);
  /// Whether requests are sent only to engines with room in their memory: a preempted stream misses
  /// its pause objective.
  bool LimitsMemory(const ServiceId& service) const {
    return limits_.memory_enabled && HasStrictPauses(service);
  }

  /// Queries peers and applies their reports. Requires queries_peers().
  net::awaitable<LoadAnswer> QueryLoads(LoadQuestion question);

  /// Up to two engines that are estimated to have all these parts cached, those with the newest
  /// weights first. Only the gateway that tracks the prompt's home server knows all of them.
  std::vector<BackendHash> HoldersOf(const std::vector<SharedPart>& parts, TimePoint now) const;

  /// Load of this gateway's own requests at the backend server.
  LoadUpdate LocalLoadAt(const Backend& backend, TimePoint now);

  /// The KV cache store at this link; null if the configuration has none.
  const KvCacheStore* StoreAt(LinkHash link) const;

  /// Report on a backend server for a querying gateway, which must subtract its own requests from
  /// `work`.
  BackendReport ReportOn(const Backend& backend, const LoadQuestion& question, TimePoint now);
  StoreReport ReportOn(const StoreQuery& store, const LoadQuestion& question, TimePoint now);

  /// Number of live peers that do not report their load.
  double silent_gateways() const {
    if (queries_peers()) return 0;
    return std::max(0.0, static_cast<double>(gateways_) - 1 - reporting_gateways_);
  }
  void SetReportingGateways(std::size_t reporting) {
    reporting_gateways_ = static_cast<double>(reporting);
  }

  /// Updates pending for the other gateways.
  const GossipItems& pending_updates() const { return pending_updates_; }

  /// Applies the placement of a request by this or another gateway.
  void ApplyPlacement(const PlacementUpdate& placed, TimePoint now);
  /// Applies a placement by this gateway and queues it for its peers.
  void PublishPlacement(PlacementUpdate placed);
  /// `listener` is called after each PublishPlacement.
  void SetPlacementListener(std::function<void()> listener) { on_placement_ = std::move(listener); }

  /// Reports a load change to the gateways that track the backend server.
  void NotifyLoadChanged() {
    if (on_load_change_) on_load_change_();
  }
  void SetLoadListener(std::function<void()> listener) { on_load_change_ = std::move(listener); }

  /// Removes and returns pending updates, with at most `max_placements` placements.
  GossipItems TakePendingUpdates(std::size_t max_placements);

  /// Stops new requests to a backend server for `length` at all gateways; zero resumes them.
  void Hold(Backend& backend, std::chrono::milliseconds length, TimePoint now);

  /// Records the weights that a backend server was observed to run.
  void NoteWeights(Backend& backend, const ModelId& model, WeightsNumber number);

  /// Marks a backend server unreachable after a failed probe of this gateway, and prompts peers to
  /// probe it. If it is `silent`, requests that wait for it are retried elsewhere; if it refuses
  /// new connections, those that are open may live on.
  void ReportUnreachable(const BackendPtr& backend, bool silent);

  /// Records that a backend server responded, or accepted a connection, over a direct path.
  void RecordContact();
  /// Records that a backend server could not be reached directly. If this shows that the instance
  /// is isolated, probes the others.
  void RecordLoss(const BackendPtr& backend);
  /// Records that the backend server has refused a connection.
  void RecordRefusal(const BackendPtr& backend);
  /// Records that the backend server has broken off an exchange on a direct connection that was
  /// opened at `opened`; the server last showed life on it at `alive_at`.
  void RecordBrokenExchange(const BackendPtr& backend, TimePoint opened, TimePoint alive_at);
  /// Whether this gateway has probably lost its paths to all backend servers.
  bool IsIsolated(TimePoint now) const { return contacts_.IsIsolated(now); }
  /// Whether other backend servers should be probed to find out, see ContactMonitor.
  bool ShouldVerifyContact(TimePoint now) const { return contacts_.ShouldVerify(now); }
  /// When it was last found to be isolated.
  TimePoint isolated_since() const { return isolated_since_; }

  /// Opens a connection to the backend server through a peer.
  net::awaitable<PeerPath> OpenPeerPath(BackendPtr backend, TimePoint deadline);
  using PeerPathOpener = std::function<net::awaitable<PeerPath>(BackendPtr, TimePoint deadline)>;
  void SetPeerPathOpener(PeerPathOpener open) { open_peer_path_ = std::move(open); }
  bool has_peer_paths() const { return static_cast<bool>(open_peer_path_); }

  /// Number of this gateway's requests there that the retry budget would not cover if all were
  /// interrupted at once.
  std::uint32_t Uncovered(const Backend& backend, TimePoint now);

  bool shutting_down() const { return shutting_down_; }
  void BeginShutdown() { shutting_down_ = true; }

  /// Rejects new requests from now on, as they could not complete before shutdown.
  void RejectNewRequests() { rejecting_new_ = true; }
  bool rejecting_new() const { return rejecting_new_; }

  /// Requests without a response at `moment` are failed then.
  void SetResponseDeadline(TimePoint moment) { response_deadline_ = moment; }
  TimePoint response_deadline() const { return response_deadline_; }

  ServiceTimes& service_times() { return service_times_; }
  const ServiceTimes& service_times() const { return service_times_; }

  std::uint32_t in_flight() const { return in_flight_; }
  void OnRequestStarted() { ++in_flight_; }
  void OnRequestFinished() { --in_flight_; }

  /// Drops all callbacks. Call when their receivers end: exchanges that are still in progress then
  /// are destroyed with the executor, after the receivers.
  void DetachListeners() {
    on_placement_ = nullptr;
    on_load_change_ = nullptr;
    crash_handlers_ = {};
    open_peer_path_ = nullptr;
    query_loads_ = nullptr;
    quota_handlers_ = {};
    retry_handlers_ = {};
    origin_handlers_ = {};
    directory_.SetRegistrationListener({});
    poison_.SetUpdateListener({});
    pushback_.SetUpdateListener({});
    pushback_.SetLimitListener({});
  }

  /// Sequence number for round-robin selection among equal backend servers.
  std::uint64_t NextSequence() { return ++sequence_; }

 private:
  /// Records that the server at the address has closed an idle connection.
  void RecordClosed(const std::string& address, const ClosedConnection& closed);
  /// Whether a direct connection of this gateway to the backend server is open.
  bool HasOpenConnection(const Backend& backend);
  void RecordConnectionEnd(const BackendPtr& backend, const ConnectionEnd& end);
  /// Records the end of the server's process, and tells peers of it.
  void RecordProcessEnd(const BackendPtr& backend, const ConnectionEnds::ProcessEnd& end,
                        TimePoint now);
  /// KV cache capacity of the service's engines in tokens; 0: unknown.
  std::uint64_t CacheTokensOf(const ServiceId& service) const;
  void NoteTransfers(const PlacementUpdate& placed, TimePoint now);
  /// Adds a sample to this gateway's view, and queues it for the engine's trackers.
  void PublishPerformance(Backend& backend, const std::optional<PerformanceSample>& sample);
  void TakeReport(const LoadQuestion& question, const BackendReport& report, TimePoint now);

  net::any_io_executor executor_;
  ZoneId zone_;
  ZoneTopology topology_;
  std::uint64_t gateway_hash_ = 0;
  GatewayLimits limits_;
  PlacementCosts placement_weights_;
  Metrics& metrics_;
  ConnectionPool pool_;
  BackendDirectory directory_;
  PushbackRegistry pushback_{directory_};
  SlidingRetryBudget retries_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
  TimePoint confirmed_at_{};
  PrefixShares prefix_shares_;
  PrefixShares own_shares_;       ///< from this gateway's requests
  SampledShares sampled_shares_;  ///< from all requests, as reported by peers
  TransferLinks links_;
  std::unordered_map<LinkHash, EngineCache> store_contents_;  ///< by store
  std::map<ServiceId, PrefillRateEstimator> prefill_rate_estimators_;
  std::map<ServiceId, PerformanceMeter> performance_meters_;
  PendingPerformance pending_performance_;
  std::map<ServiceId, ServiceGroups> engine_groups_;
  PromptSizes prompt_sizes_;
  WeightsHistory named_weights_;
  PoisonGuard poison_;
  ByteBudget response_budget_;
  std::shared_ptr<BodyGate> body_gate_;  ///< shared with requests that are being sent
  CrashHandlers crash_handlers_;
  ContactMonitor contacts_{ContactMonitor::Options()};
  PeerPathOpener open_peer_path_;
  TimePoint isolated_since_{};
  QuotaHandlers quota_handlers_;
  RetryHandlers retry_handlers_;
  OriginHandlers origin_handlers_;
  QueuedAttempts queued_attempts_;
  UnansweredAttempts unanswered_attempts_;
  DeferredRequests deferred_requests_;
  PriorityState priority_;
  std::uint32_t gateways_ = 1;
  double reporting_gateways_ = 0;
  GossipItems pending_updates_;
  std::function<void()> on_placement_;
  std::function<void()> on_load_change_;
  LoadAsker query_loads_;
  ServiceTimes service_times_;
  std::uint32_t in_flight_ = 0;
  std::uint64_t sequence_ = 0;
  TimePoint response_deadline_ = TimePoint::max();
  bool shutting_down_ = false;
  bool rejecting_new_ = false;
};

}  // namespace ridgehold
