#include "peers/poison_gossip.h"

#include <algorithm>
#include <utility>

namespace ridgehold {
namespace {

constexpr std::chrono::seconds kNothingDue{60};

template <class Item>
void Append(std::vector<Item>& to, const std::vector<Item>& items) {
  const std::size_t room = PoisonGossip::kMostTold - std::min(PoisonGossip::kMostTold, to.size());
  const auto end = items.begin() + static_cast<std::ptrdiff_t>(std::min(room, items.size()));
  to.insert(to.end(), items.begin(), end);
}

}  // namespace

void PoisonGossip::Add(PoisonNews news, TimePoint now) {
  if (news.empty()) return;
  if (batches_.size() >= kMostBatches) batches_.pop_front();
  batches_.push_back({std::move(news), now});
}

PoisonNews PoisonGossip::TakeDue(TimePoint now) {
  PoisonNews due;
  for (Batch& batch : batches_) {
    if (now < batch.Due()) continue;
    Append(due.ends, batch.news.ends);
    Append(due.survived, batch.news.survived);
    Append(due.quarantined, batch.news.quarantined);
    ++batch.told;
  }
  std::erase_if(batches_, [](const Batch& batch) { return batch.told >= kTellings.size(); });
  return due;
}

TimePoint PoisonGossip::NextDue(TimePoint now) const {
  TimePoint next = now + kNothingDue;
  for (const Batch& batch : batches_) next = std::min(next, batch.Due());
  return next;
}

}  // namespace ridgehold
