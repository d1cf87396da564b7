#include "gateway/backend_load.h"

#include <utility>

namespace ridgehold {

PlacementUpdate PlacementUpdateOf(const ExchangePlan& plan, const InboundRequest& request,
                                  const BackendChoice& choice) {
  PlacementUpdate placed;
  placed.backend = HashOf(*choice.backend);
  placed.new_tokens = choice.tokens_to_cache + request.generation->max_output_tokens;
  placed.own_tokens = plan.chain->own_tokens() + request.generation->max_output_tokens;
  placed.parts = plan.chain->parts;
  placed.weights = choice.weights.value_or(WeightsNumber(0));
  if (choice.fetch_from) placed.fetched_from = LinkOf(*choice.fetch_from);
  if (choice.home) placed.home = HashOf(*choice.home);
  if (choice.fetch_backend) placed.source = HashOf(*choice.fetch_backend);
  placed.fetch_duration = choice.fetch_duration;
  if (choice.save_to) placed.saved_to = LinkOf(*choice.save_to);
  placed.save_duration = choice.save_duration;
  return placed;
}

BackendLoad::BackendLoad(GatewayState& state, const ExchangePlan& plan,
                         const InboundRequest& request, const BackendChoice& choice, bool last_run)
    : state_(state),
      backend_(choice.backend),
      group_(plan.group),
      queued_tokens_(choice.queued_tokens),
      fetches_(choice.fetch_from.has_value()),
      unprefilled_tokens_(choice.tokens_to_prefill),
      memory_tokens_(plan.memory ? plan.memory->request.own : 0),
      unrepeatable_(last_run || !plan.route->MayRepeat()) {
  ++backend_->in_flight;
  state_.directory().MarkActive(backend_);
  backend_->unprefilled_tokens += unprefilled_tokens_;
  backend_->memory_tokens += memory_tokens_;
  if (unrepeatable_) ++backend_->unrepeatable;
  state_.NotifyLoadChanged();
  CountDemand(plan);
  if (!plan.chain) return;
  waiting_entry_ = backend_->waiting_since.insert(Clock::now());
  state.PublishPlacement(PlacementUpdateOf(plan, request, choice));
}

BackendLoad::~BackendLoad() {
  EndPrefill();
  if (demand_ != nullptr) demand_->OnEnd(*group_, Clock::now());
  --backend_->in_flight;
  backend_->memory_tokens -= memory_tokens_;
  if (unrepeatable_) --backend_->unrepeatable;
  state_.NotifyLoadChanged();
}

void BackendLoad::OnFirstEvent(TimePoint now) {
  if (!waiting_entry_) return;
  const auto waited = std::chrono::duration_cast<Duration>(now - **waiting_entry_);
  // A wait that includes a fetch does not measure prefill.
  if (!fetches_) {
    const double tokens = queued_tokens_ + unprefilled_tokens_;
    const bool learns_speed = group_ && state_.UsesPerformance(backend_->entry.service);
    if (learns_speed && unprefilled_tokens_ >= PerformanceMeter::kMinPrefillTokens) {
      state_.RecordFirstEventWait(*backend_, *group_, tokens, waited);
    }
    state_.prefill_rate_estimator(backend_->entry.service).Record(tokens, waited);
  }
  EndPrefill();
  BackendDirectory::RecordFirstEvent(*backend_, waited, now);
  state_.NotifyLoadChanged();
}

void BackendLoad::MarkUnrepeatable() {
  if (std::exchange(unrepeatable_, true)) return;
  ++backend_->unrepeatable;
  state_.NotifyLoadChanged();
}

void BackendLoad::CountDemand(const ExchangePlan& plan) {
  ServiceGroups* groups = group_ ? state_.EngineGroupsOf(plan.service) : nullptr;
  if (groups == nullptr) return;
  demand_ = &groups->own_demand;
  demand_->OnStart(*group_, unprefilled_tokens_, Clock::now());
}

void BackendLoad::EndPrefill() {
  backend_->unprefilled_tokens -= std::exchange(unprefilled_tokens_, 0);
  if (waiting_entry_) backend_->waiting_since.erase(*waiting_entry_);
  waiting_entry_.reset();
}

}  // namespace ridgehold
