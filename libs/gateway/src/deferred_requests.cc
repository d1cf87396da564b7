#include "gateway/deferred_requests.h"

#include <algorithm>
#include <iterator>

namespace ridgehold {

DeferredRequests::Ticket::Ticket(DeferredRequests& line, int priority)
    : line_(line), place_{false, priority, ++line.last_number_} {
  line_.places_.insert(place_);
}

DeferredRequests::Ticket::~Ticket() { line_.places_.erase(place_); }

void DeferredRequests::Ticket::MarkLate() {
  if (place_.late) return;
  line_.places_.erase(place_);
  place_.late = true;
  line_.places_.insert(place_);
}

bool DeferredRequests::Ticket::MayLook() const {
  const auto looking = static_cast<std::ptrdiff_t>(std::min(kLooking, line_.places_.size()));
  const auto first = line_.places_.begin();
  return std::any_of(first, std::next(first, looking),
                     [this](const Place& place) { return place == place_; });
}

}  // namespace ridgehold
