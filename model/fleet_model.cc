#include "model/fleet_model.h"

#include <algorithm>
#include <utility>

#include "gateway/backend_permit.h"

namespace ridgehold::model {
namespace {

const ServiceId kEngines("engines");
const ModelId kModel("m");
const ZoneId kZone("a");
constexpr const char* kHost = "h";
constexpr std::chrono::milliseconds kStep{5};
// Ids of subjects and of requests' own parts do not meet.
constexpr std::uint64_t kOwnParts = std::uint64_t{1} << 40;

// Any size of a token will do; the link's speed goes with it.
constexpr double kTokenBytes = 1'000;

double LinkMbps(const EngineFigures& figures) { return 8.0 / figures.link_ms_per_token; }

ServiceRule EnginesOf(const Pattern& pattern) {
  ServiceRule engines;
  engines.id = kEngines;
  engines.engine = EngineProfile{.slots = 64,
                                 .cache_tokens = pattern.figures.cache_tokens,
                                 .token_bytes = kTokenBytes,
                                 .link_mbps = LinkMbps(pattern.figures)};
  return engines;
}

RouteRule RouteOf(const Demand& demand) {
  RouteRule route;
  route.id = RuleId(demand.path);
  route.host = kHost;
  route.path_prefix = demand.path;
  route.kind = RouteKind::kStream;
  route.latency_objective = demand.objective;
  route.priority = demand.priority;
  route.is_public = true;
  route.timeout = std::chrono::seconds(10);
  route.targets = {{kEngines, 1}};
  return route;
}

}  // namespace

FleetModel::FleetModel(Pattern pattern, GatewayLimits limits, PlacementCosts weights)
    : pattern_(std::move(pattern)),
      state_(io_.get_executor(), kZone, limits, weights, metrics_),
      admission_(limits.admission),
      random_(pattern_.seed),
      start_(std::chrono::hours(1)),
      now_(start_) {
  Configure();
}

void FleetModel::Configure() {
  RoutingConfig parts;
  parts.version = ConfigVersion(1);
  parts.services.push_back(EnginesOf(pattern_));
  if (pattern_.has_store) {
    ServiceRule store;
    store.id = ServiceId("store");
    store.kv_store = KvCacheStore{"store:1", kZone, 5 * pattern_.figures.cache_tokens,
                                  LinkMbps(pattern_.figures)};
    parts.services.push_back(store);
  }
  for (const Demand& demand : pattern_.demands) parts.routes.push_back(RouteOf(demand));
  auto snapshot = RoutingSnapshot::Create(std::move(parts));
  if (snapshot) state_.TakeSnapshot(*snapshot);
  for (std::size_t i = 0; i < pattern_.engines; ++i) {
    BackendEntry entry;
    entry.id = BackendId("e" + std::to_string(i));
    entry.service = kEngines;
    entry.address = "engine" + std::to_string(i) + ":1";
    entry.zone = kZone;
    entry.weights[kModel] = WeightsNumber(1);
    state_.directory().Put(entry);
    engines_.emplace(entry.id, EngineModel(pattern_.figures));
    if (i >= pattern_.engines_limited) continue;
    Backend& backend = *state_.directory().Find(entry.id);
    const BackendPushback notice{RequestRate::FromPerSecond(pattern_.limit), false, false,
                                 std::nullopt};
    state_.pushback().ApplyPushback(backend, notice, start_, start_);
    granted_.emplace(entry.id, TokenBucket(state_.pushback().TermsFor(backend), start_));
  }
}

std::vector<FleetModel::Arrival> FleetModel::DrawArrivals() {
  std::vector<Arrival> arrivals;
  for (std::size_t i = 0; i < pattern_.demands.size(); ++i) {
    const Demand& demand = pattern_.demands[i];
    std::exponential_distribution<double> gap_s(demand.per_second);
    std::uniform_int_distribution<std::uint64_t> subject(1, demand.subjects);
    TimePoint at = start_;
    for (;;) {
      at += std::chrono::duration_cast<Clock::duration>(
          std::chrono::duration<double>(gap_s(random_)));
      if (at >= start_ + pattern_.length) break;
      arrivals.push_back({at, i, subject(random_) + i * kOwnParts * 2});
    }
  }
  std::ranges::sort(arrivals, {}, &Arrival::at);
  return arrivals;
}

std::map<std::string, Outcome> FleetModel::Play() {
  const std::vector<Arrival> arrivals = DrawArrivals();
  auto next = arrivals.begin();
  // What is open at the end is given the longest objective to begin.
  const TimePoint end = start_ + pattern_.length + std::chrono::seconds(3);
  for (; now_ < end; now_ += kStep) {
    SetEnginesLeft();
    AdvanceEngines();
    for (; next != arrivals.end() && next->at <= now_; ++next) Arrive(*next);
    SendWaiting();
  }
  return outcomes_;
}

void FleetModel::LoadWeights() {
  for (auto& [id, engine] : engines_) {
    engine.Forget();
    BackendDirectory::RecordWeights(*state_.directory().Find(id), kModel, WeightsNumber(2));
  }
}

void FleetModel::SetEnginesLeft() {
  const bool lost = now_ >= start_ + pattern_.lost_from && now_ < start_ + pattern_.lost_until;
  if (lost && std::exchange(pattern_.new_weights, false)) LoadWeights();
  std::size_t index = 0;
  for (const auto& [id, backend] : state_.directory().all()) {
    const bool out = lost && index++ >= pattern_.engines_left;
    backend->hold_until = out ? now_ + kStep * 2 : TimePoint{};
  }
}

void FleetModel::Arrive(const Arrival& arrival) {
  const Demand& demand = pattern_.demands[arrival.demand];
  const std::uint64_t number = ++last_number_;
  ++outcomes_[demand.path].requests;
  Open open;
  open.demand = arrival.demand;
  open.request.id = RequestId(std::to_string(number));
  open.request.host = kHost;
  open.request.path = demand.path + "x";
  open.request.received = arrival.at;
  GenerationRequest generation;
  generation.model = kModel;
  generation.prompt_tokens = demand.shared_tokens + demand.own_tokens;
  if (demand.shared_tokens > 0) generation.parts = {{arrival.subject, demand.shared_tokens}};
  generation.parts.push_back({kOwnParts + number, demand.own_tokens});
  open.request.generation = std::move(generation);
  auto plan = PlanExchange(state_, open.request, now_);
  if (!plan) return;
  open.plan = std::move(*plan);
  state_.prompt_sizes().Record(open.plan.service, open.plan.chain->prompt_tokens);
  line_.push_back(number);
  open_.emplace(number, std::move(open));
}

void FleetModel::SendWaiting() {
  std::ranges::stable_sort(line_, {}, [this](std::uint64_t number) {
    const Open& open = open_.at(number);
    return std::tuple(open.late, open.plan.priority.value_or(0), number);
  });
  std::erase_if(line_, [this](std::uint64_t number) { return TrySend(number, open_.at(number)); });
}

bool FleetModel::GetPermit(const BackendPtr& backend) {
  const auto bucket = granted_.find(backend->entry.id);
  if (bucket == granted_.end()) return true;
  const QuotaAmount needed = QuotaScale(1).FromTokens(kQuotaTokensPerRequest);
  QuotaOutcome outcome;
  outcome.verdict = QuotaVerdict::kGranted;
  if (!bucket->second.TryConsume(needed, now_)) {
    outcome.verdict = QuotaVerdict::kOverQuota;
    outcome.retry_after = kStep;
  }
  return ResolvePermit(*backend, outcome, {}, now_) == PermitVerdict::kGranted;
}

/// As BackendSearch does.
std::optional<BackendChoice> FleetModel::Choose(Open& open) {
  for (;;) {
    open.plan.avoid_rate_limited =
        pattern_.spare_limited && AvoidsRateLimited(state_, open.plan, now_);
    auto choice = ChooseFor(state_, open.plan, open.request, {}, now_);
    const auto may_send = [&] {
      return choice && admission_.MaySend(AdmissionQueryFor(open.plan, *choice, now_));
    };
    if (std::exchange(open.plan.avoid_rate_limited, false) && !choice) {
      choice = ChooseFor(state_, open.plan, open.request, {}, now_);
    }
    if (choice) open.late = !Admission::MeetsObjective(AdmissionQueryFor(open.plan, *choice, now_));
    if (!may_send()) return std::nullopt;
    if (GetPermit(choice->backend)) return choice;
  }
}

bool FleetModel::TrySend(std::uint64_t number, Open& open) {
  const auto choice = Choose(open);
  if (!choice) return false;
  open.backend = choice->backend;
  open.tokens_to_prefill = choice->tokens_to_prefill;
  open.queued_tokens = choice->queued_tokens;
  open.sent = now_;
  ModelRequest request;
  request.number = number;
  request.parts = open.plan.chain->parts;
  request.own_tokens = open.plan.chain->own_tokens();
  request.fetches = choice->fetch_duration > Duration::zero();
  request.parts_there = now_;
  if (request.fetches) {
    const LinkHash link = LinkOf(*choice->fetch_from);
    request.parts_there += links_.QueueDelay(link, now_) + choice->fetch_duration;
    links_.Reserve(link, choice->fetch_duration, now_);
  }
  ++open.backend->in_flight;
  open.backend->unprefilled_tokens += open.tokens_to_prefill;
  state_.ApplyPlacement(PlacementUpdateOf(open.plan, open.request, *choice), now_);
  engines_.at(open.backend->entry.id).Send(std::move(request), now_);
  return true;
}

void FleetModel::AdvanceEngines() {
  for (auto& [id, engine] : engines_) {
    for (const Beginning& begun : engine.Advance(now_)) {
      Open& open = open_.at(begun.number);
      const Demand& demand = pattern_.demands[open.demand];
      Outcome& outcome = outcomes_[demand.path];
      const auto waited = std::chrono::duration_cast<Duration>(begun.at - open.sent);
      ++outcome.begun;
      outcome.shared_read += begun.shared_read;
      if (begun.at - open.request.received <= demand.objective) ++outcome.in_time;
      --open.backend->in_flight;
      open.backend->unprefilled_tokens -= open.tokens_to_prefill;
      state_.prefill_rate_estimator(kEngines).Record(open.queued_tokens + open.tokens_to_prefill,
                                                     waited + PrefillRateEstimator::kFixedOverhead);
      open_.erase(begun.number);
    }
  }
}

}  // namespace ridgehold::model
