#include "gateway/gateway_state.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

#include "gateway/connection_use.h"
#include "incarnation/connection_end.h"
#include "log/log.h"

namespace ridgehold {

std::uint64_t HashOf(const ServiceId& service) {
  return XXH3_64bits(service.value().data(), service.value().size());
}

PrefillRateEstimator& GatewayState::prefill_rate_estimator(const ServiceId& service) {
  return prefill_rate_estimators_.try_emplace(service, placement_weights_.prefill_tokens_per_ms)
      .first->second;
}

double GatewayState::TokensPerMs(const ServiceId& service) const {
  const auto found = prefill_rate_estimators_.find(service);
  const bool observed =
      placement_weights_.estimate_prefill_rate && found != prefill_rate_estimators_.end();
  return observed ? found->second.tokens_per_ms() : placement_weights_.prefill_tokens_per_ms;
}

bool GatewayState::HasStrictPauses(const ServiceId& service) const {
  if (!queries_peers() || !snapshot_) return false;
  const auto pause = snapshot_->ShortestPause(service);
  return pause.count() > 0 && pause <= limits_.strict_pause;
}

double GatewayState::AveragePause(const ServiceId& service) const {
  const auto found = performance_meters_.find(service);
  return found == performance_meters_.end()
             ? 0
             : found->second.AveragePause(RequestGroup::kInteractive);
}

void GatewayState::RecordPause(Backend& backend, RequestGroup group, Duration pause) {
  PerformanceMeter& meter = performance_meters_[backend.entry.service];
  PublishPerformance(backend, meter.RecordPause(group, pause));
}

void GatewayState::RecordFirstEventWait(Backend& backend, RequestGroup group, double tokens,
                                        Duration waited) {
  const std::chrono::duration<double, std::milli> prefill(tokens /
                                                          TokensPerMs(backend.entry.service));
  const auto expected =
      std::chrono::duration_cast<Duration>(prefill + PrefillRateEstimator::kFixedOverhead);
  PerformanceMeter& meter = performance_meters_[backend.entry.service];
  PublishPerformance(backend, meter.RecordFirstEvent(group, expected, waited));
}

void GatewayState::PublishPerformance(Backend& backend,
                                      const std::optional<PerformanceSample>& sample) {
  if (!sample) return;
  // If this gateway tracks the engine, it gets no message from itself.
  backend.performance.Add(*sample);
  pending_performance_.Add({HashOf(backend), *sample});
}

bool GatewayState::OrdersRequests(const ServiceId& service) const {
  if (!queries_peers() || !snapshot_) return false;
  return ridgehold::OrdersRequests(limits_.priority, snapshot_->ShortestObjective(service),
                                   snapshot_->LongestObjective(service));
}

ServiceGroups* GatewayState::EngineGroupsOf(const ServiceId& service) {
  if (!limits_.groups.enabled || !HasStrictPauses(service)) return nullptr;
  return &engine_groups_[service];
}

std::optional<DemandSample> GatewayState::OwnDemandFor(std::uint64_t service, TimePoint now) {
  if (service == 0 || !snapshot_) return std::nullopt;
  for (const ServiceRule& rule : snapshot_->services()) {
    if (HashOf(rule.id) != service) continue;
    const ServiceGroups* groups = EngineGroupsOf(rule.id);
    return groups != nullptr ? std::optional(groups->own_demand.Sample(now)) : std::nullopt;
  }
  return std::nullopt;
}

GossipItems GatewayState::TakePendingUpdates(std::size_t max_placements) {
  GossipItems taken;
  std::swap(taken.holds, pending_updates_.holds);
  std::swap(taken.weights, pending_updates_.weights);
  std::swap(taken.unreachable, pending_updates_.unreachable);
  std::swap(taken.ended, pending_updates_.ended);
  taken.performance = pending_performance_.Take();
  const auto end =
      pending_updates_.placed.begin() +
      static_cast<std::ptrdiff_t>(std::min(max_placements, pending_updates_.placed.size()));
  taken.placed.assign(std::make_move_iterator(pending_updates_.placed.begin()),
                      std::make_move_iterator(end));
  pending_updates_.placed.erase(pending_updates_.placed.begin(), end);
  return taken;
}

std::uint64_t GatewayState::CacheTokensOf(const ServiceId& service) const {
  const ServiceRule* rule = snapshot_ ? snapshot_->FindService(service) : nullptr;
  return rule != nullptr && rule->engine ? rule->engine->cache_tokens : 0;
}

const KvCacheStore* GatewayState::StoreAt(LinkHash link) const {
  if (!snapshot_) return nullptr;
  for (const ServiceRule& service : snapshot_->services()) {
    if (service.kv_store && LinkOf(service.kv_store->address) == link) return &*service.kv_store;
  }
  return nullptr;
}

std::vector<BackendHash> GatewayState::HoldersOf(const std::vector<SharedPart>& parts,
                                                 TimePoint now) const {
  constexpr std::size_t kMostHolders = 2;
  if (parts.empty()) return {};
  std::vector<BackendPtr> holders;
  for (const auto& [id, backend] : directory_.all()) {
    const bool usable = !backend->superseded && !backend->grace_until && HasPath(*backend) &&
                        backend->hold_until <= now;
    if (usable && backend->cache.Contains(parts.back().hash)) holders.push_back(backend);
  }
  const auto weights = [](const BackendPtr& backend) {
    return backend->weights.empty() ? WeightsNumber() : backend->weights.begin()->second;
  };
  std::ranges::stable_sort(holders, std::greater(), weights);
  std::vector<BackendHash> hashes;
  for (std::size_t i = 0; i < std::min(kMostHolders, holders.size()); ++i) {
    hashes.push_back(HashOf(*holders[i]));
  }
  return hashes;
}

LoadUpdate GatewayState::LocalLoadAt(const Backend& backend, TimePoint now) {
  return {HashOf(backend),
          backend.in_flight,
          static_cast<std::uint32_t>(std::max(0.0, backend.unprefilled_tokens)),
          backend.unrepeatable,
          Uncovered(backend, now),
          backend.memory_tokens};
}

void GatewayState::NoteTransfers(const PlacementUpdate& placed, TimePoint now) {
  if (placed.fetched_from != 0) links_.Reserve(placed.fetched_from, placed.fetch_duration, now);
  if (placed.saved_to == 0) return;
  links_.Reserve(placed.saved_to, placed.save_duration, now);
  const std::vector<SharedPart> parts = StoredParts(placed.parts, placed.weights);
  const KvCacheStore* store = StoreAt(placed.saved_to);
  store_contents_[placed.saved_to].Use(parts, 0, store != nullptr ? store->cache_tokens : 0, now);
}

void GatewayState::ApplyPlacement(const PlacementUpdate& placed, TimePoint now) {
  if (!placed.parts.empty()) {
    prefix_shares_.Record(placed.parts.front().hash, placed.new_tokens, now);
  }
  NoteTransfers(placed, now);
  const BackendPtr backend = directory_.FindByHash(placed.backend);
  if (!backend) return;
  backend->cache.Use(placed.parts, placed.own_tokens, CacheTokensOf(backend->entry.service), now);
}

void GatewayState::PublishPlacement(PlacementUpdate placed) {
  const TimePoint now = Clock::now();
  if (!placed.parts.empty()) own_shares_.Record(placed.parts.front().hash, placed.new_tokens, now);
  ApplyPlacement(placed, now);
  pending_updates_.placed.push_back(std::move(placed));
  if (on_placement_) on_placement_();
}

net::awaitable<QuotaOutcome> GatewayState::AcquireQuota(QuotaDemand demand) {
  // Without a quota client no request is allowed.
  if (!quota_handlers_.acquire) co_return QuotaOutcome();
  QuotaOutcome outcome = co_await quota_handlers_.acquire(std::move(demand));
  co_return outcome;
}

net::awaitable<OriginFinding> GatewayState::FindOrigin(RequestId attempt, WorkspaceId workspace,
                                                       ServiceId service) {
  if (origin_handlers_.find) {
    OriginFinding finding = co_await origin_handlers_.find(std::move(attempt), std::move(workspace),
                                                           std::move(service));
    co_return finding;
  }
  const std::set<ReleaseId> releases = directory_.ReleasesOf(service);
  OriginFinding finding;
  if (releases.size() == 1) {
    finding.source = OriginSource::kSingleRelease;
    finding.release = *releases.begin();
  }
  co_return finding;
}

net::awaitable<std::optional<RetryReservation>> GatewayState::ReserveRetry(ServiceId service,
                                                                           TimePoint deadline) {
  constexpr std::chrono::milliseconds kMaxRecordingTime{200};
  const TimePoint now = Clock::now();
  auto reserved = retries_.TryReserve(service, now, RetryStandingAt(now));
  const bool may_record = !reserved && retry_handlers_.record && RetriesLeft(service, now) >= 1;
  if (may_record) {
    const TimePoint wait_until = std::min(deadline, now + kMaxRecordingTime);
    const bool recorded = co_await retry_handlers_.record(wait_until);
    const TimePoint then = Clock::now();
    if (recorded) reserved = retries_.TryReserve(service, then, RetryStandingAt(then));
  }
  metrics_.GetCounter(reserved ? "ridgehold_retries_granted" : "ridgehold_retries_denied").Add();
  co_return reserved;
}

double GatewayState::RetriesLeft(const ServiceId& service, TimePoint now) {
  RetryStanding standing = RetryStandingAt(now);
  standing.recorded = true;
  return retries_.Available(service, now, standing);
}

net::awaitable<LoadAnswer> GatewayState::QueryLoads(LoadQuestion question) {
  const LoadQuestion asked = question;
  LoadAnswer answer = co_await query_loads_(std::move(question));
  const TimePoint now = Clock::now();
  for (const auto& [hash, report] : answer.backends) TakeReport(asked, report, now);
  for (const PrefixSample& sample : answer.samples) {
    if (asked.parts.empty()) break;
    sampled_shares_.Record(asked.parts.front().hash, sample.tokens, sample.total, now);
  }
  for (const WorkspaceSample& sample : answer.workspace_samples) {
    priority_.shares.RecordSample(asked.workspace, asked.workspace_weight, sample, now);
  }
  if (ServiceGroups* groups = EngineGroupsOf(asked.service)) {
    for (const DemandSample& demand : answer.demands) groups->peer_demand.Record(demand, now);
  }
  co_return answer;
}

void GatewayState::TakeReport(const LoadQuestion& question, const BackendReport& report,
                              TimePoint now) {
  const BackendPtr backend = directory_.FindByHash(report.backend);
  if (!backend) return;
  backend->peers = report.work;
  backend->peers_updated_at = now;
  backend->hold_until = now + report.hold;
  backend->reported_performance.Update(report.performance, now);
  if (!report.reachable) directory_.RequestProbe(backend);
  if (report.ended) directory_.RecordReportedEnd(backend, now - *report.ended, now);
  if (report.weights != WeightsNumber()) {
    BackendDirectory::RecordWeights(*backend, question.model, report.weights);
  }
}

BackendReport GatewayState::ReportOn(const Backend& backend, const LoadQuestion& question,
                                     TimePoint now) {
  BackendReport report;
  report.backend = HashOf(backend);
  const LoadUpdate own = LocalLoadAt(backend, now);
  report.work = backend.direct_peers;
  report.work.running += own.running;
  report.work.unread_tokens += own.unread_tokens;
  report.work.unrepeatable += own.unrepeatable;
  report.work.uncovered += own.uncovered;
  report.work.memory_tokens += own.memory_tokens;
  report.hold =
      std::max(Duration::zero(), std::chrono::duration_cast<Duration>(backend.hold_until - now));
  const auto weights = backend.weights.find(question.model);
  if (weights != backend.weights.end()) report.weights = weights->second;
  report.prefix_match = backend.cache.Find(question.parts, placement_weights_.prefill_delay, now);
  report.link_wait = links_.QueueDelay(LinkOf(backend.entry.address), now);
  report.reachable = backend.reachable;
  report.performance = backend.performance.Report();
  if (const auto alive_at = backend.continuity.PendingEnd(confirmed_at())) {
    report.ended = std::chrono::duration_cast<std::chrono::milliseconds>(now - *alive_at);
  }
  return report;
}

StoreReport GatewayState::ReportOn(const StoreQuery& store, const LoadQuestion& question,
                                   TimePoint now) {
  const std::vector<SharedPart> parts = StoredParts(question.parts, question.weights);
  return {store.link,
          store_contents_[store.link].Find(parts, placement_weights_.prefill_delay, now).prefilled,
          links_.QueueDelay(store.link, now)};
}

void GatewayState::Hold(Backend& backend, std::chrono::milliseconds length, TimePoint now) {
  backend.hold_until = now + length;
  pending_updates_.holds.push_back({HashOf(backend), length});
  NotifyLoadChanged();
}

void GatewayState::ReportUnreachable(const BackendPtr& backend, bool silent) {
  directory_.RequestProbe(backend);
  if (!std::exchange(backend->reachable, false)) return;
  pending_updates_.unreachable.push_back(HashOf(*backend));
  NotifyLoadChanged();
  if (silent) unanswered_attempts_.CancelAt(backend->entry.id);
}

void GatewayState::RecordContact() {
  if (!contacts_.RecordContact(Clock::now())) return;
  Log(LogLevel::kInfo, "isolation ended: a backend server responded directly");
}

void GatewayState::RecordLoss(const BackendPtr& backend) {
  const TimePoint now = Clock::now();
  if (!contacts_.RecordLoss(backend->entry.id, directory_.all().size(), now)) return;
  isolated_since_ = now;
  metrics_.GetCounter("ridgehold_isolations").Add();
  Log(LogLevel::kWarn, "isolated: no backend server responds directly",
      {{"backends", std::to_string(directory_.all().size())},
       {"peer_paths", open_peer_path_ ? "yes" : "no"}});
  const std::vector<BackendPtr> active = directory_.Active();
  for (const BackendPtr& other : active) directory_.RequestProbe(other);
}

void GatewayState::RecordRefusal(const BackendPtr& backend) {
  const TimePoint now = Clock::now();
  // A partition may refuse new connections only.
  if (IsIsolated(now) || HasOpenConnection(*backend)) return;
  RecordProcessEnd(backend, {now, now}, now);
}

void GatewayState::RecordBrokenExchange(const BackendPtr& backend, TimePoint opened,
                                        TimePoint alive_at) {
  ConnectionEnd end;
  end.opened = opened;
  end.alive_at = alive_at;
  end.amid_exchange = true;
  end.others_open = HasOpenConnection(*backend);
  RecordConnectionEnd(backend, end);
  pool_.CloseEnded(backend->entry.address);
}

void GatewayState::RecordClosed(const std::string& address, const ClosedConnection& closed) {
  for (const BackendPtr& backend : directory_.AtAddress(address)) {
    ConnectionEnd end;
    end.opened = closed.opened_at;
    end.alive_at = closed.idle_since;
    end.idle = std::chrono::duration_cast<Duration>(closed.closed_at - closed.idle_since);
    end.idle_timeout = closed.keep_alive;
    end.others_open = closed.others_open || HasOpenUse(*backend);
    RecordConnectionEnd(backend, end);
  }
}

bool GatewayState::HasOpenConnection(const Backend& backend) {
  return HasOpenUse(backend) || pool_.HasOpenConnection(backend.entry.address);
}

void GatewayState::RecordConnectionEnd(const BackendPtr& backend, const ConnectionEnd& end) {
  const TimePoint now = Clock::now();
  const auto process = backend->connection_ends.Record(end, now);
  if (process) RecordProcessEnd(backend, *process, now);
}

void GatewayState::RecordProcessEnd(const BackendPtr& backend,
                                    const ConnectionEnds::ProcessEnd& end, TimePoint now) {
  if (!directory_.RecordProcessEnd(backend, end.opened, end.alive_at, now)) return;
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - end.alive_at);
  pending_updates_.ended.push_back({HashOf(*backend), age});
  NotifyLoadChanged();
}

net::awaitable<PeerPath> GatewayState::OpenPeerPath(BackendPtr backend, TimePoint deadline) {
  PeerPath path;
  if (!open_peer_path_) co_return path;
  backend->peer_path_checked_at = Clock::now();
  path = co_await open_peer_path_(backend, deadline);
  backend->has_peer_path = !backend->reachable && path.connection != nullptr;
  co_return path;
}

std::uint32_t GatewayState::Uncovered(const Backend& backend, TimePoint now) {
  // Half of the budget is reserved for another engine that is interrupted or fails at the same
  // time.
  constexpr double kBudgetFractionPerEngine = 0.5;
  const double covered = kBudgetFractionPerEngine * RetriesLeft(backend.entry.service, now);
  const double resumable = backend.in_flight - std::min(backend.in_flight, backend.unrepeatable);
  return static_cast<std::uint32_t>(std::max(0.0, resumable - covered));
}

void GatewayState::NoteWeights(Backend& backend, const ModelId& model, WeightsNumber number) {
  const auto known = backend.weights.find(model);
  if (known != backend.weights.end() && known->second >= number) return;
  BackendDirectory::RecordWeights(backend, model, number);
  pending_updates_.weights.push_back({HashOf(backend), model, number});
  NotifyLoadChanged();
}

}  // namespace ridgehold
