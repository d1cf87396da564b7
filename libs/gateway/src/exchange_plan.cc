#include "gateway/exchange_plan.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <iterator>

#include "drain/shutdown_admission.h"
#include "gateway/request_ordering.h"

namespace ridgehold {
namespace {

// Backoff after a refusal by a full or reloading backend server, so that other requests do not try
// it at once.
constexpr std::chrono::milliseconds kRefusalBackoff{120};
// An engine on older weights that refuses is most likely loading newer ones, which takes 0.8 s.
constexpr std::chrono::milliseconds kReloadBackoff{500};
// Longest gap between events of a stream; a healthy engine stays well below it, and callers give up
// after 4 s or more.
constexpr std::chrono::milliseconds kMaxStreamSilence{3'000};
// Largest queue priority of a request; 0 is the most urgent.
constexpr int kMaxQueuePriority = 9;
// If the best server of a scope has a longer queue than this, others are considered. An engine
// prefills about one and a half long prompts in this time, and objectives are 400 ms and more.
constexpr double kBusyQueueMs = 100;
// The corresponding threshold for calls to plain services, as a placement cost: two running calls
// and a round trip to another zone.
constexpr double kBusyCallCost = 50;
constexpr int kMisdirected = 421;
constexpr int kServiceUnavailable = 503;
constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;
constexpr int kFirstServerError = 500;

std::chrono::milliseconds EffectiveTimeout(const RouteRule& route, const InboundRequest& request) {
  if (!request.time_limit) return route.timeout;
  if (route.timeout.count() <= 0) return *request.time_limit;
  return std::min(route.timeout, *request.time_limit);
}

Result<const WorkspaceRule*> Authorize(const GatewayState& state, const RoutingSnapshot& snapshot,
                                       const RouteRule& route, const InboundRequest& request,
                                       TimePoint now) {
  if (route.is_public || !snapshot.requires_keys()) return nullptr;
  if (!state.MayTrustKeys(now)) return Fail(ResultCode::kConfigStale, "");
  const WorkspaceRule* workspace = snapshot.FindWorkspace(request.key);
  if (workspace == nullptr) return Fail(ResultCode::kUnauthorized, "");
  return workspace;
}

Duration DurationOf(double milliseconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

PromptChain ChainOf(const GenerationRequest& request, const std::string& cache_scope) {
  return PromptChain::Of(request, cache_scope + ":" + request.model.value());
}

std::optional<WeightsNumber> WeightsOf(const Backend& backend, const ModelId& model) {
  const auto found = backend.weights.find(model);
  return found == backend.weights.end() ? std::nullopt : std::optional(found->second);
}

/// Whether a request that is sent at `now` can still begin on the weights of the backend server.
/// The bound applies to the time when the request begins, so the expected wait in its queue is
/// added.
bool MayStartOnWeights(const GatewayState& state, const Backend& backend, const ModelId& model,
                       TimePoint now) {
  const auto current = WeightsOf(backend, model);
  if (!current) return true;
  const auto outdated = state.named_weights().SupersededSince(model, *current);
  if (!outdated) return true;
  const double speed = state.TokensPerMs(backend.entry.service);
  const TimePoint begins = now + BackendDirectory::ExpectedWait(backend, speed, now);
  return begins - *outdated < state.limits().older_weights;
}

/// How long a backend server gets no requests after it refused one.
std::chrono::milliseconds BackoffAfterRefusal(const GatewayState& state,
                                              const InboundRequest& request, const Backend& backend,
                                              const RetryDecisionInput& facts) {
  if (facts.status == kMisdirected) return BackendDirectory::kInitialBackoff;
  if (!request.generation) return kRefusalBackoff;
  const ModelId& model = request.generation->model;
  const auto current = WeightsOf(backend, model);
  const bool outdated = current && state.named_weights().SupersededSince(model, *current);
  return outdated ? kReloadBackoff : kRefusalBackoff;
}

std::optional<QuotaDemand> QuotaDemandOf(const GatewayState& state, const ExchangePlan& plan,
                                         const InboundRequest& request) {
  if (plan.workspace == nullptr || !plan.workspace->quota) return std::nullopt;
  const WorkspaceQuota& quota = *plan.workspace->quota;
  std::optional<std::uint64_t> tokens;
  if (request.generation) {
    tokens =
        std::uint64_t{request.generation->prompt_tokens} + request.generation->max_output_tokens;
  }
  QuotaDemand demand;
  demand.subject = WorkspaceSubject(plan.workspace->id);
  demand.tokens = quota.CostOf(tokens);
  demand.limits =
      EffectiveLimits(quota, state.limits().quota_tolerance, plan.snapshot->version().value());
  demand.deadline = plan.received + plan.route->latency_objective / 4;
  demand.recovery_deadline = plan.received + (plan.answer_by - plan.received) / 2;
  return demand;
}

const EngineProfile* ProfileOf(const ExchangePlan& plan) {
  const ServiceRule* service = plan.snapshot->FindService(plan.service);
  return service != nullptr && service->engine ? &*service->engine : nullptr;
}

/// The room that the request needs in an engine's memory; nothing where that is not limited. Fails
/// if no engine can run the request.
Result<std::optional<MemoryFit>> MemoryNeededBy(const GatewayState& state, const ExchangePlan& plan,
                                                const GenerationRequest& request) {
  const EngineProfile* engine = ProfileOf(plan);
  if (engine == nullptr || engine->cache_tokens == 0 || !state.LimitsMemory(plan.service)) {
    return std::optional<MemoryFit>();
  }
  RequestSize size;
  size.prompt_tokens = request.prompt_tokens;
  size.max_output_tokens = request.max_output_tokens;
  size.shared_parts = static_cast<std::uint32_t>(plan.chain->parts.size());
  if (size.shared_parts > 0) size.first_part_tokens = plan.chain->parts.front().tokens;
  const MemoryFit memory{RequestMemory::Of(size), engine->slots, engine->cache_tokens};
  if (memory.EverFits()) return std::optional(memory);
  return Fail(ResultCode::kPromptTooLarge,
              "the prompt with its longest output takes " + std::to_string(memory.request.total) +
                  " tokens of memory; an engine has " + std::to_string(memory.capacity));
}

/// The usable backend servers of the plan's service. Those of a stream that has begun are of its
/// release, even if this is withheld from new requests.
std::vector<BackendPtr> UsableFor(const GatewayState& state, const ExchangePlan& plan,
                                  TimePoint now) {
  if (!plan.release) {
    return plan.route->IsResumable() ? state.directory().UsableForStart(plan.service, now)
                                     : state.directory().Usable(plan.service, now);
  }
  std::vector<BackendPtr> usable;
  std::ranges::copy_if(state.directory().OfService(plan.service), std::back_inserter(usable),
                       [&](const BackendPtr& backend) {
                         return IsUsable(*backend, now) && MayResumeAt(state, plan, *backend);
                       });
  return usable;
}

double EngineLinkMbps(const ExchangePlan& plan) {
  const EngineProfile* engine = ProfileOf(plan);
  return engine != nullptr ? engine->link_mbps : 0;
}

/// Milliseconds to transfer one token of KV cache over a link of `link_mbps`; 0: not known.
double LinkMsPerToken(const ExchangePlan& plan, double link_mbps) {
  const EngineProfile* engine = ProfileOf(plan);
  if (engine == nullptr || link_mbps <= 0) return 0;
  constexpr double kBitsPerByte = 8;
  constexpr double kBitsPerMsAtOneMbps = 1'000;
  return engine->token_bytes * kBitsPerByte / (link_mbps * kBitsPerMsAtOneMbps);
}

PauseCost PauseCostFor(const GatewayState& state, const ExchangePlan& plan) {
  return {state.AveragePause(plan.service),
          static_cast<double>(plan.route->pause_objective.count()),
          state.limits().performance.late_pause_ms};
}

/// Parts that the chosen engine lacks, or may lack, are fetched from the fastest source and saved
/// in the store after the prefill. A source that has nothing costs 1 ms, so the store is queried
/// even when it is not known to have the parts.
void ChooseCacheSource(const GatewayState& state, const ExchangePlan& plan,
                       std::span<const BackendPtr> candidates, const Placement& placement,
                       BackendChoice& choice) {
  if (!placement.lacks_parts && !placement.may_lack_parts) return;
  if (placement.source) choice.fetch_duration = DurationOf(placement.source->link_ms);
  if (placement.source && placement.source->engine) {
    choice.fetch_backend = candidates[*placement.source->engine];
    choice.fetch_from = choice.fetch_backend->entry.address;
    return;
  }
  const KvCacheStore* store = KvStoreForPrompt(state, plan);
  if (store == nullptr) return;
  choice.fetch_from = store->address;
  choice.save_to = store->address;
  if (placement.source) return;
  const double distance =
      TransferFactor(state.topology().Between(choice.backend->entry.zone, store->zone));
  choice.save_duration =
      DurationOf(distance * LinkMsPerToken(plan, store->link_mbps) * plan.chain->shared_tokens);
}

}  // namespace

Result<ExchangePlan> PlanExchange(const GatewayState& state, const InboundRequest& request,
                                  TimePoint now) {
  if (state.rejecting_new()) return Fail(ResultCode::kShuttingDown, "");
  ExchangePlan plan;
  plan.snapshot = state.snapshot();
  if (!plan.snapshot) return Fail(ResultCode::kNotReady, "");
  plan.route = plan.snapshot->FindRoute(request.host, request.path);
  if (plan.route == nullptr) return Fail(ResultCode::kNoRoute, "");
  BOOST_LEAF_ASSIGN(plan.workspace, Authorize(state, *plan.snapshot, *plan.route, request, now));
  plan.service = PickTarget(*plan.route, request.id);
  plan.received = request.received;
  plan.answer_by = request.received + EffectiveTimeout(*plan.route, request);
  if (!FitsBeforeShutdown(state, plan, now)) {
    return Fail(ResultCode::kShuttingDown, "would take longer than the shutdown");
  }
  const bool has_workspace_priority =
      plan.workspace != nullptr && plan.workspace->priority.has_value();
  plan.priority =
      std::clamp(has_workspace_priority ? *plan.workspace->priority : plan.route->priority, 0,
                 kMaxQueuePriority);
  plan.cache_scope = plan.snapshot->CacheScopeOf(plan.workspace);
  plan.quota = QuotaDemandOf(state, plan, request);
  if (request.generation) {
    plan.chain = ChainOf(*request.generation, plan.cache_scope);
    if (state.HasStrictPauses(plan.service)) {
      plan.group = Classify(plan.chain->prompt_tokens, state.TokensPerMs(plan.service),
                            plan.snapshot->ShortestPause(plan.service));
    }
    plan.order = OrderOf(state, plan, now);
    BOOST_LEAF_ASSIGN(plan.memory, MemoryNeededBy(state, plan, *request.generation));
  }
  return plan;
}

void RefreshCacheScope(const GatewayState& state, const InboundRequest& request,
                       ExchangePlan& plan) {
  if (!plan.chain) return;
  std::string scope = state.snapshot()->CacheScopeOf(plan.workspace);
  if (scope == plan.cache_scope) return;
  plan.cache_scope = std::move(scope);
  plan.chain = ChainOf(*request.generation, plan.cache_scope);
}

bool FitsBeforeShutdown(const GatewayState& state, const ExchangePlan& plan, TimePoint now) {
  if (!state.shutting_down()) return true;
  const PendingRequest request = {plan.route->id, plan.route->MayRepeat(), plan.answer_by};
  return FitsBefore(state.response_deadline(), request, state.service_times(), now);
}

bool MayGetRequest(const GatewayState& state, const ExchangePlan& plan,
                   const InboundRequest& request, const std::set<BackendId>& tried,
                   const Backend& backend, TimePoint now) {
  if (tried.contains(backend.entry.id) || backend.notice_state.BlocksRequests(now)) return false;
  if (!state.pushback().HasRoom(backend, now)) return false;
  if (plan.avoid_rate_limited && backend.notice_state.limit()) return false;
  if (!MayResumeAt(state, plan, backend)) return false;
  return !request.generation || MayStartOnWeights(state, backend, request.generation->model, now);
}

bool IsOnLastTrial(const GatewayState& state, const ExchangePlan& plan, TimePoint now) {
  return state.poison().LastTrialOf(plan.features, now).has_value();
}

std::vector<BackendPtr> CandidatesFor(const GatewayState& state, const ExchangePlan& plan,
                                      const InboundRequest& request,
                                      const std::set<BackendId>& tried, TimePoint now) {
  std::vector<BackendPtr> candidates = UsableFor(state, plan, now);
  std::erase_if(candidates, [&](const BackendPtr& backend) {
    return !MayGetRequest(state, plan, request, tried, *backend, now);
  });
  const auto trial = state.poison().LastTrialOf(plan.features, now);
  if (trial && !candidates.empty()) candidates = {TrialBackend(*trial, candidates)};
  return candidates;
}

ScopedCandidates NearCandidatesFor(const GatewayState& state, const ExchangePlan& plan,
                                   const InboundRequest& request, const std::set<BackendId>& tried,
                                   TimePoint now) {
  ScopedCandidates near;
  if (!IsOnLastTrial(state, plan, now)) {
    const ScopeQuery query{state.zone(), state.topology(), state.weights().min_zone_servers, now};
    near.backends = UsableFor(state, plan, now);
    near.scope = ScopeFor(query, near.backends);
    std::erase_if(near.backends, [&](const BackendPtr& backend) {
      return !IsInScope(query, near.scope, *backend) ||
             !MayGetRequest(state, plan, request, tried, *backend, now);
    });
  }
  if (!near.backends.empty()) return near;
  return {PlacementScope::kAll, CandidatesFor(state, plan, request, tried, now)};
}

bool AvoidsRateLimited(const GatewayState& state, const ExchangePlan& plan, TimePoint now) {
  // If a smaller fraction of the backend servers had no rate limit, they could not carry all small
  // requests.
  constexpr double kMinUnlimitedFraction = 0.1;
  const bool small = plan.chain && state.pushback().HasRecentLimit(now) &&
                     state.prompt_sizes().IsSmall(plan.service, plan.chain->prompt_tokens);
  if (!small) return false;
  const std::vector<BackendPtr> usable = state.directory().Usable(plan.service, now);
  const auto unlimited = std::ranges::count_if(
      usable, [](const BackendPtr& backend) { return !backend->notice_state.limit(); });
  return static_cast<double>(unlimited) >=
         kMinUnlimitedFraction * static_cast<double>(usable.size());
}

std::optional<TimePoint> EarliestCapacity(const GatewayState& state, const ExchangePlan& plan,
                                          const InboundRequest& request,
                                          const std::set<BackendId>& tried, TimePoint now) {
  std::optional<TimePoint> earliest;
  for (const BackendPtr& backend : UsableFor(state, plan, now)) {
    const bool may_take =
        !request.generation || MayStartOnWeights(state, *backend, request.generation->model, now);
    if (tried.contains(backend->entry.id) || !may_take) continue;
    const TimePoint accepts_at = std::max({now, backend->notice_state.blocked_until(),
                                           state.pushback().RoomBlockedUntil(*backend, now)});
    earliest = earliest ? std::min(*earliest, accepts_at) : accepts_at;
  }
  return earliest;
}

std::chrono::milliseconds DefaultRetryAfter(const ExchangePlan& plan) {
  // A quarter of the objective leaves time to answer within it.
  const auto quarter = plan.route->latency_objective / 4;
  return std::max<std::chrono::milliseconds>(quarter, std::chrono::milliseconds(50));
}

std::chrono::milliseconds RetryAfterCapacity(const ExchangePlan& plan,
                                             const InboundRequest& request, TimePoint capacity_at,
                                             TimePoint now) {
  constexpr double kMaxJitter = 0.5;
  const std::uint64_t hash = XXH3_64bits(request.id.value().data(), request.id.value().size());
  const double jitter = static_cast<double>(hash) / static_cast<double>(UINT64_MAX);
  const auto until = std::chrono::duration<double, std::milli>(capacity_at - now);
  const std::chrono::duration<double, std::milli> least = DefaultRetryAfter(plan);
  const auto wait = std::max(until, least) * (1 + kMaxJitter * jitter);
  return std::chrono::ceil<std::chrono::milliseconds>(wait);
}

std::optional<BackendChoice> ChooseFor(GatewayState& state, const ExchangePlan& plan,
                                       const InboundRequest& request,
                                       const std::set<BackendId>& tried, TimePoint now) {
  const ScopedCandidates near = NearCandidatesFor(state, plan, request, tried, now);
  if (near.backends.empty()) return std::nullopt;
  BackendChoice choice = ChooseAmong(state, plan, request, near.backends, nullptr, now);
  if (near.scope == PlacementScope::kAll || !IsBusy(choice, !request.generation)) return choice;
  const std::vector<BackendPtr> all = CandidatesFor(state, plan, request, tried, now);
  return ChooseAmong(state, plan, request, all, nullptr, now);
}

bool IsBusy(const BackendChoice& choice, bool plain_call) {
  if (!choice.fits) return true;
  return plain_call ? choice.expected_ms > kBusyCallCost : choice.queue_ms > kBusyQueueMs;
}

/// The store is chosen by all shared parts. If it were chosen by the first part alone, a few common
/// first parts would saturate one store's link.
const KvCacheStore* KvStoreForPrompt(const GatewayState& state, const ExchangePlan& plan) {
  if (plan.chain->parts.empty()) return nullptr;
  return plan.snapshot->KvStoreFor(plan.chain->parts.back().hash, state.zone(), state.topology());
}

BackendChoice ChooseAmong(GatewayState& state, const ExchangePlan& plan,
                          const InboundRequest& request, std::span<const BackendPtr> candidates,
                          const LoadAnswer* answers, TimePoint now) {
  PlacementQuery query;
  query.own_zone = state.zone();
  query.topology = &state.topology();
  query.unheard_gateway_ratio = state.silent_gateways();
  query.tie_break = state.NextSequence();
  query.now = now;
  query.answers = answers;
  if (request.generation) {
    query.chain = &*plan.chain;
    query.tokens_per_ms = state.TokensPerMs(plan.service);
    query.uses_performance = state.UsesPerformance(plan.service);
    if (query.uses_performance) query.pause_cost = PauseCostFor(state, plan);
    if (const EngineProfile* engine = ProfileOf(plan)) query.cache_tokens = engine->cache_tokens;
    query.links = &state.links();
    query.memory = plan.memory;
    query.engine_ms_per_token = LinkMsPerToken(plan, EngineLinkMbps(plan));
    if (const KvCacheStore* store = KvStoreForPrompt(state, plan)) {
      const LinkHash link = LinkOf(store->address);
      const double token_ms = LinkMsPerToken(plan, store->link_mbps);
      query.store = KvStoreView{store->zone, link, token_ms, &state.StoreContents(link)};
    }
    // When loads are queried, only a few gateways know of a first part, so the gateways would
    // compute different segments.
    if (!plan.chain->parts.empty() && answers == nullptr) {
      query.segment = state.prefix_shares().SegmentOf(plan.chain->parts.front().hash);
    }
    query.model = request.generation->model;
    query.newest_weights = state.named_weights().Newest(query.model);
    query.newest_announced_at = state.named_weights().NewestAnnouncedAt(query.model);
  }
  const Placement placement = ChooseBackend(query, candidates, state.weights());
  BackendChoice choice;
  choice.backend = candidates[placement.index];
  choice.expected_ms = placement.cost;
  choice.queue_ms = placement.queue_ms;
  choice.first_event_ms = placement.first_event_ms;
  if (query.uses_performance) choice.slowness = placement.slowness;
  choice.memory_held = placement.memory_held;
  choice.fits = placement.fits;
  if (request.generation) {
    choice.queued_tokens = placement.queued_tokens;
    choice.known_tokens = placement.known_tokens;
    choice.tokens_to_prefill =
        plan.chain->prompt_tokens - std::min(placement.cached_tokens, plan.chain->prompt_tokens);
    choice.tokens_to_cache =
        plan.chain->prompt_tokens - std::min(placement.known_tokens, plan.chain->prompt_tokens);
    choice.weights = WeightsOf(*choice.backend, request.generation->model);
    ChooseCacheSource(state, plan, candidates, placement, choice);
  }
  return choice;
}

AdmissionQuery AdmissionQueryFor(const ExchangePlan& plan, const BackendChoice& choice,
                                 TimePoint now) {
  AdmissionQuery query;
  query.queued_work = DurationOf(choice.queue_ms);
  query.own_work = DurationOf(choice.first_event_ms - choice.queue_ms);
  query.capacity = plan.snapshot->ShortestObjective(plan.service);
  query.objective = plan.route->latency_objective;
  query.age = std::chrono::duration_cast<Duration>(now - plan.received);
  return query;
}

bool MayResumeAt(const GatewayState& state, const ExchangePlan& plan, const Backend& backend) {
  if (!plan.release) return true;
  return RunsAsRegistered(backend, state.confirmed_at()) && backend.entry.release == *plan.release;
}

ReleaseId ReleaseOnConnection(const GatewayState& state, const Backend& backend,
                              const OutboundConnection& connection) {
  const BackendEntry& entry = backend.entry;
  const StartStamp told = connection.server_start().value_or(StartStamp());
  if (!IsRegistered(entry.started, told)) return UnregisteredRelease(entry.id, told);
  const TimePoint opened = connection.opened_at();
  const bool known = entry.started != StartStamp() ||
                     backend.continuity.IsRegistered(opened, state.confirmed_at());
  return known ? entry.release : UnregisteredRelease(entry.id, opened);
}

double GatewaysPerBackend(const GatewayState& state, const ServiceId& service) {
  const std::size_t backends =
      std::max<std::size_t>(state.directory().OfService(service).size(), 1);
  return static_cast<double>(state.gateways()) / static_cast<double>(backends);
}

bool HasAnotherOfRelease(const GatewayState& state, const Backend& backend, TimePoint now) {
  return std::ranges::any_of(
      state.directory().OfService(backend.entry.service), [&](const BackendPtr& other) {
        return other.get() != &backend && other->entry.release == backend.entry.release &&
               RunsAsRegistered(*other, state.confirmed_at()) && IsUsable(*other, now);
      });
}

bool MayStillSend(const GatewayState& state, const ExchangePlan& plan,
                  const InboundRequest& request, const BackendChoice& choice, TimePoint now) {
  const Backend& backend = *choice.backend;
  if (backend.removed || !IsUsable(backend, now) || !MayResumeAt(state, plan, backend))
    return false;
  const bool starts = !plan.release && plan.route->IsResumable();
  if (starts && !state.directory().MayStartAt(backend, now)) return false;
  if (now < backend.notice_state.backoff_until()) return false;
  if (now < state.pushback().RoomBlockedUntil(backend, now)) return false;
  return !request.generation || MayStartOnWeights(state, backend, request.generation->model, now);
}

AttemptDirectives DirectivesFor(const GatewayState& state, const ExchangePlan& plan,
                                const BackendChoice& choice, TimePoint now) {
  AttemptDirectives directives;
  directives.expected_backend = choice.backend->entry.id;
  if (plan.workspace != nullptr) directives.workspace = plan.workspace->id;
  directives.time_left = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::max(plan.answer_by - now, Clock::duration::zero()));
  directives.queue_priority = plan.priority;
  if (!plan.chain) return directives;
  directives.expected_weights = choice.weights;
  const WeightsNumber number = choice.weights.value_or(WeightsNumber(0));
  directives.fetch_cache_from = choice.fetch_from;
  directives.save_cache_to = choice.save_to;
  // The configuration may have changed since the backend server was chosen.
  const std::string scope = state.snapshot()->CacheScopeOf(plan.workspace);
  directives.cache_salt = scope + ":" + std::to_string(number.value());
  return directives;
}

std::optional<OlderWeightsUse> OlderWeightsAt(const GatewayState& state,
                                              const InboundRequest& request,
                                              std::optional<WeightsNumber> weights, TimePoint now) {
  if (!request.generation || !weights) return std::nullopt;
  const auto newer = state.named_weights().SupersededBy(request.generation->model, *weights);
  if (!newer) return std::nullopt;
  OlderWeightsUse use;
  use.weights = *weights;
  use.newer = newer->number;
  use.age_when_sent = std::chrono::duration_cast<Duration>(now - newer->at);
  use.assumed = newer->assumed;
  return use;
}

TimePoint HeadPatience(const GatewayState& state, const ExchangePlan& plan,
                       const RetryDecisionInput& facts, TimePoint now) {
  if (!MayRunAgain(facts)) return TimePoint::max();
  const bool stream = plan.route->kind == RouteKind::kStream;
  const double objectives = stream ? state.limits().stream_timeout_objectives
                                   : state.limits().response_timeout_objectives;
  const auto patience = std::chrono::milliseconds(static_cast<std::int64_t>(
      static_cast<double>(plan.route->latency_objective.count()) * objectives));
  return now + patience;
}

TimePoint EventPatience(const RetryDecisionInput& facts, TimePoint now) {
  return MayRunAgain(facts) ? now + kMaxStreamSilence : TimePoint::max();
}

bool HasReplacement(GatewayState& state, const ExchangePlan& plan, const InboundRequest& request,
                    std::set<BackendId> tried, const BackendId& current) {
  const TimePoint now = Clock::now();
  tried.insert(current);
  const std::optional<BackendChoice> choice = ChooseFor(state, plan, request, tried, now);
  if (!choice || !choice->fits) return false;
  const Backend& backend = *choice->backend;
  // A permit for a server with a rate limit may be denied.
  if (!backend.reachable || now < backend.avoid_until || backend.notice_state.limit()) return false;
  return !plan.chain || IsAdmitted(state, plan, *choice, now);
}

bool IsSuccess(int status) { return status >= kFirstSuccess && status < kFirstRedirect; }

bool IsAcceptable(const BackendResponseHead& head) {
  if (head.has_content_coding) return false;
  return !IsSuccess(head.status) || head.has_signature;
}

bool IsStaleAnswer(const BackendResponseHead& head) { return !head.request.value().empty(); }

void ApplyAnswerHead(GatewayState& state, Backend& backend, const InboundRequest& request,
                     const BackendResponseHead& head, TimePoint sent) {
  // A request is misdirected if another incarnation has answered it. The notice is then about that
  // incarnation and not about this one.
  if (head.status != kMisdirected)
    state.pushback().ApplyPushback(backend, head.pushback, sent, Clock::now());
  if (!request.generation || !head.weights) return;
  state.NoteWeights(backend, request.generation->model, *head.weights);
}

void RecordOutcome(GatewayState& state, const InboundRequest& request, const BackendPtr& backend,
                   const RetryDecisionInput& facts, TimePoint now) {
  switch (facts.outcome) {
    case AttemptOutcome::kStreamed:
      return BackendDirectory::RecordSuccess(*backend);
    case AttemptOutcome::kAnswered:
      break;
    case AttemptOutcome::kNotSent:
    case AttemptOutcome::kInterrupted:
    case AttemptOutcome::kTimedOut:
      return state.directory().RecordFailure(backend, now);
    case AttemptOutcome::kCallerGone:
    case AttemptOutcome::kSkipped:
    case AttemptOutcome::kCancelled:
      return;
  }
  if (ProvesNotExecuted(facts)) {
    const auto backoff = BackoffAfterRefusal(state, request, *backend, facts);
    backend->avoid_until = std::max<TimePoint>(backend->avoid_until, now + backoff);
    const bool rejected = facts.status == kServiceUnavailable;
    if (rejected) state.metrics().GetCounter("ridgehold_rejections").Add();
    // An engine that loads weights rejects requests, too, however much room it has.
    const bool lacks_room = rejected && backoff == kRefusalBackoff;
    if (lacks_room) state.pushback().RecordRejection(*backend, now);
    return;
  }
  if (facts.status >= kFirstServerError) return BackendDirectory::RecordErrorResponse(*backend);
  BackendDirectory::RecordSuccess(*backend);
}

ResultCode NotRunCode(ResultCode last, const RetryDecisionInput& facts) {
  if (!facts.time_left) return ResultCode::kNotStartedInTime;
  return Describe(last).execution == Execution::kNotRun ? last : ResultCode::kNoBackend;
}

ResultCode MayHaveRunCode(ResultCode last) {
  return Describe(last).execution == Execution::kNotRun ? ResultCode::kBackendBroken : last;
}

std::optional<ResultCode> QuotaRefusalCode(QuotaVerdict verdict) {
  switch (verdict) {
    case QuotaVerdict::kGranted:
      return std::nullopt;
    case QuotaVerdict::kOverQuota:
      return ResultCode::kOverQuota;
    case QuotaVerdict::kTooLarge:
      return ResultCode::kOverBurst;
    case QuotaVerdict::kNotHolder:
      break;
  }
  return ResultCode::kQuotaUnknown;
}

}  // namespace ridgehold
