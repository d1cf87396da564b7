#include "gateway/asked_choice.h"

#include <chrono>
#include <utility>

namespace ridgehold {
namespace {

// With more than this before the best of the first ones, further ones are asked
// about: an engine reads a long prompt and a half in it, and objectives are 400 ms
// and more.
constexpr double kBusyAheadMs = 100;
// The same for plain calls, as cost: two running calls and the way to another zone.
constexpr double kBusyCallCost = 50;

ShortlistQuery QueryFor(GatewayState& state, const ExchangePlan& plan,
                        const InboundRequest& request, TimePoint now) {
  ShortlistQuery query;
  query.own_zone = state.zone();
  query.gateway = state.gateway_hash();
  query.draw = state.gateway_hash() + state.NextSequence();
  query.now = now;
  if (!request.generation) return query;
  query.chain = &*plan.chain;
  query.model = request.generation->model;
  query.newest_weights = state.named_weights().Newest(query.model);
  return query;
}

LoadQuestion QuestionAbout(const ShortlistQuery& query, const ExchangePlan& plan,
                           std::vector<BackendPtr> backends) {
  LoadQuestion question;
  question.backends = std::move(backends);
  if (query.chain == nullptr) return question;
  question.model = query.model;
  question.weights = query.newest_weights.value_or(WeightsNumber());
  if (query.chain->shared_tokens < kWorthFetching) return question;
  question.parts = query.chain->parts;
  if (const KvCacheStore* store = StoreFor(plan)) {
    question.store = AskedStore{LinkOf(store->address), store->zone};
  }
  return question;
}

bool IsBusy(const BackendChoice& choice, bool plain_call) {
  return plain_call ? choice.expected_ms > kBusyCallCost : choice.ahead_ms > kBusyAheadMs;
}

void Add(LoadAnswer& answer, LoadAnswer more) { answer.backends.merge(std::move(more.backends)); }

}  // namespace

net::awaitable<AskedChoice> AskAndChoose(GatewayState& state, const ExchangePlan& plan,
                                         const InboundRequest& request,
                                         const std::set<BackendId>& tried) {
  AskedChoice result;
  const TimePoint began = Clock::now();
  const std::vector<BackendPtr> candidates = CandidatesFor(state, plan, request, tried, began);
  if (candidates.empty()) co_return result;
  const ShortlistQuery query = QueryFor(state, plan, request, began);
  std::vector<BackendPtr> listed = Shortlist(query, candidates);
  LoadQuestion question = QuestionAbout(query, plan, listed);
  LoadAnswer answer = co_await state.AskLoads(std::move(question));
  result.choice = ChooseAmong(state, plan, request, listed, &answer, Clock::now());
  if (IsBusy(*result.choice, query.chain == nullptr)) {
    std::vector<BackendPtr> more = Widen(query, candidates, listed);
    listed.insert(listed.end(), more.begin(), more.end());
    LoadQuestion further = QuestionAbout(query, plan, std::move(more));
    further.store.reset();
    LoadAnswer further_answer = co_await state.AskLoads(std::move(further));
    Add(answer, std::move(further_answer));
    result.choice = ChooseAmong(state, plan, request, listed, &answer, Clock::now());
  }
  result.asking.asked = static_cast<std::uint32_t>(listed.size());
  result.asking.answered = static_cast<std::uint32_t>(answer.backends.size());
  result.asking.took = std::chrono::duration_cast<Duration>(Clock::now() - began);
  co_return result;
}

}  // namespace ridgehold
