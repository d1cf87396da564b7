#include "gateway/deferred_requests.h"

#include <algorithm>
#include <iterator>

namespace ridgehold {

DeferredRequests::Ticket::Ticket(DeferredRequests& queue, int priority, bool over_share)
    : queue_(queue), position_{false, over_share, priority, ++queue.last_number_} {
  queue_.positions_.insert(position_);
}

DeferredRequests::Ticket::~Ticket() { queue_.positions_.erase(position_); }

void DeferredRequests::Ticket::MarkLate() {
  if (position_.late) return;
  queue_.positions_.erase(position_);
  position_.late = true;
  queue_.positions_.insert(position_);
}

bool DeferredRequests::Ticket::MayPoll() const {
  const auto polling = static_cast<std::ptrdiff_t>(std::min(kMaxPolling, queue_.positions_.size()));
  const auto first = queue_.positions_.begin();
  return std::any_of(first, std::next(first, polling),
                     [this](const Position& position) { return position == position_; });
}

}  // namespace ridgehold
