// What the sessions of one gateway share: configuration, backend servers, budgets, freshness.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/ids.h"
#include "gateway/admission.h"
#include "gateway/backend_directory.h"
#include "gateway/backend_words.h"
#include "gateway/deferred_requests.h"
#include "gateway/gateway_gossip.h"
#include "gateway/load_report.h"
#include "gateway/placement.h"
#include "gateway/poison_guard.h"
#include "gateway/prefill_rate.h"
#include "gateway/prefix_shares.h"
#include "gateway/prompt_sizes.h"
#include "gateway/retry_allowance.h"
#include "gateway/routing_snapshot.h"
#include "gateway/sampled_shares.h"
#include "gateway/unanswered_attempts.h"
#include "gateway/waiting_attempts.h"
#include "gateway/weights_history.h"
#include "metrics/metrics.h"
#include "net/connection_pool.h"
#include "quota/quota_client.h"

namespace ridgehold {

/// Bounds a gateway keeps; from the platform's settings and its own.
struct GatewayLimits {
  /// A key may be trusted this long after the configuration was last known to
  /// be the newest; none: for ever.
  std::optional<std::chrono::milliseconds> key_trust;
  /// Requests begin on older weights at most this long after newer were named.
  std::chrono::milliseconds older_weights{10'000};
  RetryBound retries;
  QuotaTolerance quota_tolerance;
  LimitTolerance backend_limits;
  /// Whole answers larger than this are not kept.
  std::size_t max_answer_bytes = std::size_t{16} << 20;
  /// A repeatable call without an answer's head for this many objectives is
  /// tried elsewhere.
  double patience_objectives = 3;
  /// The same for resumable streams, which may wait in a queue.
  double stream_patience_objectives = 5;
  AdmissionRule admission;
  PoisonRule poison;
  /// An attempt needs at least this much time to be worth making.
  std::chrono::milliseconds least_time{30};
};

static_assert(RetryAllowance::kLongestWay >= ConnectionPool::Options{}.connect_limit);

/// Lives on one executor; not thread-safe. Outlives all sessions.
class GatewayState {
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
        waiting_attempts_(executor, named_weights_, limits.older_weights) {
    words_.SetTolerance(limits.backend_limits);
    named_weights_.SetListener([this] { waiting_attempts_.Review(); });
    directory_.SetTerminationListener([this](const Backend& backend) {
      poison_.NoteEnded(backend, "registration", Clock::now());
    });
  }

  GatewayState(const GatewayState&) = delete;
  GatewayState& operator=(const GatewayState&) = delete;

  net::any_io_executor executor() const { return executor_; }
  const ZoneId& zone() const { return zone_; }
  /// Differs by gateway.
  std::uint64_t gateway_hash() const { return gateway_hash_; }
  void SetGatewayHash(std::uint64_t hash) { gateway_hash_ = hash; }
  const GatewayLimits& limits() const { return limits_; }
  /// New limits, for requests that are decided from now on.
  void SetLimits(const GatewayLimits& limits) {
    limits_ = limits;
    retries_.SetBound(limits.retries);
    words_.SetTolerance(limits.backend_limits);
    waiting_attempts_.SetLimit(limits.older_weights);
  }
  const PlacementCosts& weights() const { return placement_weights_; }
  Metrics& metrics() { return metrics_; }
  ConnectionPool& pool() { return pool_; }
  BackendDirectory& directory() { return directory_; }
  const BackendDirectory& directory() const { return directory_; }
  RetryAllowance& retries() { return retries_; }

  const std::shared_ptr<const RoutingSnapshot>& snapshot() const { return snapshot_; }

  /// Takes a newer configuration; returns false for one that is not newer.
  bool TakeSnapshot(std::shared_ptr<const RoutingSnapshot> snapshot) {
    if (snapshot_ && snapshot->version() <= snapshot_->version()) return false;
    snapshot_ = std::move(snapshot);
    return true;
  }

  /// The configuration was the newest one at `moment`.
  void ConfirmSnapshot(TimePoint moment) { confirmed_at_ = std::max(confirmed_at_, moment); }
  TimePoint confirmed_at() const { return confirmed_at_; }

  /// Whether a key's holder is certain enough at `now`.
  bool MayTrustKeys(TimePoint now) const {
    return !limits_.key_trust || now - confirmed_at_ < *limits_.key_trust;
  }

  PrefixShares& prefix_shares() { return prefix_shares_; }
  const SampledShares& sampled_shares() const { return sampled_shares_; }
  /// What this gateway's own requests tell of a beginning.
  PrefixSample SampleOf(std::uint64_t first) const {
    return {own_shares_.TokensOf(first), own_shares_.total()};
  }
  const TransferLinks& links() const { return links_; }

  /// What a store is believed to keep, see StoredPart.
  const EngineCache& KeptAt(LinkHash store) { return kept_[store]; }

  /// Of the engines of a service.
  PrefillRateEstimator& reading_speed(const ServiceId& service);
  /// The same in tokens a millisecond; the settings' figure before any answer.
  double TokensPerMs(const ServiceId& service) const;

  PromptSizes& prompt_sizes() { return prompt_sizes_; }
  const PromptSizes& prompt_sizes() const { return prompt_sizes_; }

  WeightsHistory& named_weights() { return named_weights_; }
  const WeightsHistory& named_weights() const { return named_weights_; }
  WaitingAttempts& waiting_attempts() { return waiting_attempts_; }
  UnansweredAttempts& unanswered_attempts() { return unanswered_attempts_; }
  PoisonGuard& poison() { return poison_; }
  const PoisonGuard& poison() const { return poison_; }

  /// Waits until it is known whether the backend server, where an attempt has
  /// broken off, has ended; a few milliseconds, see BackendProber::Confirm.
  net::awaitable<void> ConfirmEnd(BackendPtr backend) {
    if (confirm_end_) co_await confirm_end_(std::move(backend));
  }
  using EndConfirmer = std::function<net::awaitable<void>(BackendPtr)>;
  void SetEndConfirmer(EndConfirmer confirm) { confirm_end_ = std::move(confirm); }

  /// Where requests of workspaces with a quota ask for their part of it.
  struct QuotaAsker {
    std::function<net::awaitable<QuotaOutcome>(QuotaDemand)> acquire;
    std::function<void(const QuotaTicket&)> give_back;
  };
  void SetQuotaAsker(QuotaAsker asker) { quota_asker_ = std::move(asker); }
  net::awaitable<QuotaOutcome> AcquireQuota(QuotaDemand demand);
  /// What was acquired for a request that has not run.
  void GiveBackQuota(const QuotaTicket& ticket) {
    if (quota_asker_.give_back) quota_asker_.give_back(ticket);
  }

  BackendWords& words() { return words_; }
  const BackendWords& words() const { return words_; }

  DeferredRequests& deferred_requests() { return deferred_requests_; }

  /// Gateways that are alive, this one included.
  std::uint32_t gateways() const { return gateways_; }
  void SetGateways(std::uint32_t gateways, TimePoint now) {
    gateways_ = std::max(gateways, 1U);
    retries_.SetGateways(gateways_, now);
  }

  /// Asks the gateways that track backend servers; see SetLoadAsker.
  using LoadAsker = std::function<net::awaitable<LoadAnswer>(LoadQuestion)>;

  /// Whether others are asked before a request is placed. In a small fleet all
  /// tell all, so everything is known here.
  bool asks_first() const { return static_cast<bool>(ask_loads_); }
  /// From now on others are asked; empty: not any more.
  void SetLoadAsker(LoadAsker ask) { ask_loads_ = std::move(ask); }

  /// Asks, and takes what is answered into the tables. Only while asks_first().
  net::awaitable<LoadAnswer> AskLoads(LoadQuestion question);

  /// Engines that are believed to have all these parts, those on the newest weights
  /// first, a few at most. Only the gateway that tracks the prompt's home is told
  /// of all of them.
  std::vector<BackendHash> HoldersOf(const std::vector<SharedPart>& parts, TimePoint now) const;

  /// This gateway's own requests there.
  LoadUpdate OwnLoadAt(const Backend& backend, TimePoint now);

  /// The store of kept cache at this link; null if the configuration has none.
  const KvCacheStore* StoreAt(LinkHash link) const;

  /// What is known here of a backend server, for a gateway that asks. Its own
  /// requests there are to be taken off `work`, which has those of all others.
  BackendReport ReportOn(const Backend& backend, const LoadQuestion& question, TimePoint now);
  StoreReport ReportOn(const StoreQuery& store, const LoadQuestion& question, TimePoint now);

  /// Other gateways that are alive but tell nothing of their work.
  double unheard_gateways() const {
    if (asks_first()) return 0;
    return std::max(0.0, static_cast<double>(gateways_) - 1 - heard_gateways_);
  }
  void SetHeardGateways(std::size_t heard) { heard_gateways_ = static_cast<double>(heard); }

  /// News for the other gateways.
  const GossipItems& news() const { return news_; }

  /// A request was sent to an engine, by this or another gateway.
  void TakePlaced(const PlacementUpdate& placed, TimePoint now);
  /// This gateway sent it: the others are to know soon.
  void TellPlaced(PlacementUpdate placed);
  /// Called after each TellPlaced.
  void SetPlacedListener(std::function<void()> listener) { on_placed_ = std::move(listener); }

  /// Something has changed that a gateway that tracks it is to hear of.
  void NoteLoadChange() {
    if (on_load_change_) on_load_change_();
  }
  void SetLoadListener(std::function<void()> listener) { on_load_change_ = std::move(listener); }

  /// Takes out what is to be told now; of placed requests at most `most_placed`.
  GossipItems TakeNews(std::size_t most_placed);

  /// Keeps new requests off a backend server, here and at the other gateways;
  /// zero lets them in again.
  void Hold(Backend& backend, std::chrono::milliseconds length, TimePoint now);

  /// A backend server was seen to run these weights.
  void NoteWeights(Backend& backend, const ModelId& model, WeightsNumber number);

  /// A probe of this gateway has not reached it; the others are to look, too.
  void NoteUnreachable(Backend& backend);

  /// Requests of this gateway there that could not all be resumed elsewhere if
  /// they were broken off together now: the retry allowance does not last.
  std::uint32_t Uncovered(const Backend& backend, TimePoint now);

  bool shutting_down() const { return shutting_down_; }
  void BeginShutdown() { shutting_down_ = true; }

  /// From now on new requests are refused: they could not end in time.
  void RefuseNewRequests() { refusing_new_ = true; }
  bool refusing_new() const { return refusing_new_; }

  /// Requests whose answer has not begun by `moment` are answered then.
  void SetLastAnswers(TimePoint moment) { last_answers_ = moment; }
  TimePoint last_answers() const { return last_answers_; }

  std::uint32_t in_flight() const { return in_flight_; }
  void RequestBegan() { ++in_flight_; }
  void RequestEnded() { --in_flight_; }

  /// Where each backend server is picked from among equals.
  std::uint64_t NextSequence() { return ++sequence_; }

 private:
  /// Memory of an engine of the service; 0: not known.
  std::uint64_t CacheTokensOf(const ServiceId& service) const;
  void NoteTransfers(const PlacementUpdate& placed, TimePoint now);
  void TakeReport(const LoadQuestion& question, const BackendReport& report, TimePoint now);

  net::any_io_executor executor_;
  ZoneId zone_;
  std::uint64_t gateway_hash_ = 0;
  GatewayLimits limits_;
  PlacementCosts placement_weights_;
  Metrics& metrics_;
  ConnectionPool pool_;
  BackendDirectory directory_;
  BackendWords words_{directory_};
  RetryAllowance retries_;
  std::shared_ptr<const RoutingSnapshot> snapshot_;
  TimePoint confirmed_at_{};
  PrefixShares prefix_shares_;
  PrefixShares own_shares_;       ///< of this gateway's requests
  SampledShares sampled_shares_;  ///< of all, as answers tell
  TransferLinks links_;
  std::unordered_map<LinkHash, EngineCache> kept_;  ///< by store
  std::map<ServiceId, PrefillRateEstimator> reading_speeds_;
  PromptSizes prompt_sizes_;
  WeightsHistory named_weights_;
  PoisonGuard poison_;
  EndConfirmer confirm_end_;
  QuotaAsker quota_asker_;
  WaitingAttempts waiting_attempts_;
  UnansweredAttempts unanswered_attempts_;
  DeferredRequests deferred_requests_;
  std::uint32_t gateways_ = 1;
  double heard_gateways_ = 0;
  GossipItems news_;
  std::function<void()> on_placed_;
  std::function<void()> on_load_change_;
  LoadAsker ask_loads_;
  std::uint32_t in_flight_ = 0;
  std::uint64_t sequence_ = 0;
  TimePoint last_answers_ = TimePoint::max();
  bool shutting_down_ = false;
  bool refusing_new_ = false;
};

}  // namespace ridgehold
