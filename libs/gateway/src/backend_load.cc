#include "gateway/backend_load.h"

#include <utility>

namespace ridgehold {

BackendLoad::BackendLoad(GatewayState& state, const ExchangePlan& plan,
                         const InboundRequest& request, const BackendChoice& choice)
    : backend_(choice.backend),
      unread_tokens_(choice.tokens_to_read),
      unrepeatable_(!plan.route->MayRepeat()) {
  ++backend_->in_flight;
  backend_->unprefilled_tokens += unread_tokens_;
  if (unrepeatable_) ++backend_->unrepeatable;
  if (!plan.chain) return;
  PlacedNews placed;
  placed.backend = HashOf(backend_->entry.id);
  placed.new_tokens = choice.tokens_to_store + request.generation->max_output_tokens;
  for (const PromptChain::Link& link : plan.chain->links) placed.parts.push_back(link.hash);
  state.TellPlaced(std::move(placed));
}

BackendLoad::~BackendLoad() {
  EndReading();
  --backend_->in_flight;
  if (unrepeatable_) --backend_->unrepeatable;
}

void BackendLoad::EndReading() { backend_->unprefilled_tokens -= std::exchange(unread_tokens_, 0); }

}  // namespace ridgehold
