#include "gateway/polled_choice.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "gateway/engine_grouping.h"
#include "gateway/request_ordering.h"

namespace ridgehold {
namespace {

ShortlistQuery QueryFor(GatewayState& state, const ExchangePlan& plan,
                        const InboundRequest& request, TimePoint now) {
  ShortlistQuery query;
  query.own_zone = state.zone();
  query.gateway = state.gateway_hash();
  query.random_seed = state.gateway_hash() + state.NextSequence();
  query.now = now;
  query.weighs_homes = state.UsesPerformance(plan.service);
  query.group = PlacementGroupOf(state, plan, now);
  if (!request.generation) return query;
  query.chain = &*plan.chain;
  query.model = request.generation->model;
  query.newest_weights = state.named_weights().Newest(query.model);
  if (!query.chain->parts.empty()) {
    query.segment = state.sampled_shares().SegmentOf(query.chain->parts.front().hash);
  }
  return query;
}

LoadQuestion MakeLoadQuestion(const GatewayState& state, const ShortlistQuery& query,
                              const ExchangePlan& plan, std::vector<BackendPtr> backends) {
  LoadQuestion question;
  question.backends = std::move(backends);
  if (query.chain == nullptr) return question;
  if (plan.group && state.limits().groups.enabled) question.service = plan.service;
  question.model = query.model;
  question.weights = query.newest_weights.value_or(WeightsNumber());
  if (plan.order && plan.workspace != nullptr) {
    question.workspace = WorkspaceHashOf(plan);
    question.workspace_weight = plan.snapshot->ShareWeightOf(*plan.workspace);
  }
  if (query.chain->shared_tokens < kMinFetchTokens) return question;
  question.parts = query.chain->parts;
  if (const KvCacheStore* store = KvStoreForPrompt(state, plan)) {
    question.store = StoreQuery{LinkOf(store->address), store->zone};
  }
  return question;
}

/// Polls candidates and chooses among them, for one request.
class CandidatePoll {
 public:
  CandidatePoll(GatewayState& state, const ExchangePlan& plan, const InboundRequest& request,
                const std::set<BackendId>& tried, ScopedCandidates candidates)
      : state_(state),
        plan_(plan),
        request_(request),
        tried_(tried),
        candidates_(std::move(candidates)),
        query_(QueryFor(state, plan, request, Clock::now())) {
    group_ = query_.group;
    if (HasLongPrefix()) home_ = HomeOfPrompt();
  }

  net::awaitable<void> Run() {
    std::vector<BackendPtr> first = Shortlist(query_, candidates_.backends);
    co_await Poll(std::move(first), true);
    std::vector<BackendPtr> follow_up = FollowUpCandidates();
    if (!follow_up.empty()) co_await Poll(std::move(follow_up), false);
    if (MayLeaveGroup()) {
      query_.group.reset();
      follow_up = FollowUpCandidates();
      if (!follow_up.empty()) co_await Poll(std::move(follow_up), false);
    }
    if (choice_) choice_->home = home_;
  }

  std::optional<BackendChoice>& choice() { return choice_; }
  const std::optional<RequestGroup>& group() const { return group_; }
  std::uint32_t asked() const { return static_cast<std::uint32_t>(polled_.size()); }
  std::uint32_t answered() const { return static_cast<std::uint32_t>(answer_.backends.size()); }

 private:
  bool HasLongPrefix() const {
    return query_.chain != nullptr && query_.chain->shared_tokens >= kMinFetchTokens;
  }

  /// The prompt's home: the same engine for all gateways, whatever their scope and whatever each
  /// knows of individual engines, such as their home weights. Its tracker knows which engines of
  /// any scope hold the prompt.
  BackendPtr HomeOfPrompt() const {
    const auto engines = state_.directory().Usable(plan_.service, query_.now);
    const auto homes = HomesOf(*query_.chain, RingSegment(), engines, 1);
    return homes.empty() ? nullptr : homes.front();
  }

  /// Queries the load of `backends` and chooses among all candidates polled so far.
  net::awaitable<void> Poll(std::vector<BackendPtr> backends, bool first) {
    polled_.insert(polled_.end(), backends.begin(), backends.end());
    LoadQuestion question = MakeLoadQuestion(state_, query_, plan_, std::move(backends));
    if (first) question.home = home_;
    if (!first) question.store.reset();
    LoadAnswer answer = co_await state_.QueryLoads(std::move(question));
    answer_.backends.merge(std::move(answer.backends));
    if (first) answer_.store = answer.store;
    if (first) answer_.holders = std::move(answer.holders);
    choice_ = ChooseAmong(state_, plan_, request_, polled_, &answer_, Clock::now());
  }

  /// More candidates to poll: engines that hold parts the chosen one lacks, and random ones if all
  /// polled so far are busy.
  std::vector<BackendPtr> FollowUpCandidates() const {
    std::vector<BackendPtr> follow_up;
    const bool lacks_prefix =
        HasLongPrefix() && choice_->known_tokens + kMinFetchTokens < query_.chain->shared_tokens;
    for (const BackendHash hash : answer_.holders) {
      const BackendPtr holder = state_.directory().FindByHash(hash);
      const bool may_take = MayTake(holder) && IsOfGroup(query_.group, *holder);
      if (lacks_prefix && may_take && !IsPolled(holder)) follow_up.push_back(holder);
    }
    if (!IsBusy(*choice_, query_.chain == nullptr)) return follow_up;
    std::vector<BackendPtr> polled = polled_;
    polled.insert(polled.end(), follow_up.begin(), follow_up.end());
    const std::vector<BackendPtr> extension = ExtendShortlist(query_, AllCandidates(), polled);
    follow_up.insert(follow_up.end(), extension.begin(), extension.end());
    return follow_up;
  }

  /// Whether the request may be placed outside its group, because all members polled are busy. Bulk
  /// requests may not: each of them would delay many streams.
  bool MayLeaveGroup() const {
    return query_.group == RequestGroup::kInteractive && IsBusy(*choice_, false);
  }

  /// The candidates of any scope.
  std::vector<BackendPtr> AllCandidates() const {
    if (candidates_.scope == PlacementScope::kAll) return candidates_.backends;
    return CandidatesFor(state_, plan_, request_, tried_, query_.now);
  }

  /// Whether the request may be sent to the backend server, in whatever scope. On its last trial,
  /// the request has its only candidate already.
  bool MayTake(const BackendPtr& backend) const {
    return backend && IsUsable(*backend, query_.now) && !IsOnLastTrial(state_, plan_, query_.now) &&
           MayGetRequest(state_, plan_, request_, tried_, *backend, query_.now);
  }
  bool IsPolled(const BackendPtr& backend) const {
    return std::ranges::find(polled_, backend) != polled_.end();
  }

  GatewayState& state_;
  const ExchangePlan& plan_;
  const InboundRequest& request_;
  const std::set<BackendId>& tried_;
  ScopedCandidates candidates_;
  ShortlistQuery query_;
  std::optional<RequestGroup> group_;
  BackendPtr home_;
  std::vector<BackendPtr> polled_;  ///< candidates polled so far
  LoadAnswer answer_;
  std::optional<BackendChoice> choice_;
};

}  // namespace

net::awaitable<PolledChoice> PollAndChoose(GatewayState& state, const ExchangePlan& plan,
                                           const InboundRequest& request,
                                           const std::set<BackendId>& tried) {
  PolledChoice result;
  const TimePoint start = Clock::now();
  ScopedCandidates candidates = NearCandidatesFor(state, plan, request, tried, start);
  if (candidates.backends.empty()) co_return result;
  CandidatePoll candidate_poll(state, plan, request, tried, std::move(candidates));
  co_await candidate_poll.Run();
  result.choice = std::move(candidate_poll.choice());
  result.poll.group = candidate_poll.group();
  result.poll.left_group = result.choice && !IsOfGroup(result.poll.group, *result.choice->backend);
  result.poll.asked = candidate_poll.asked();
  result.poll.answered = candidate_poll.answered();
  result.poll.took = std::chrono::duration_cast<Duration>(Clock::now() - start);
  co_return result;
}

}  // namespace ridgehold
