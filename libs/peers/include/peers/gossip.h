// Repeated broadcast of updates to all gateways.

#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <concepts>
#include <cstddef>
#include <deque>
#include <utility>
#include <vector>

#include "base/ids.h"

namespace ridgehold {

/// Updates that are idempotent and can be merged into one message.
template <class News>
concept Mergeable = requires(const News& news, News& sum, std::size_t max_items) {
  { news.empty() } -> std::convertible_to<bool>;
  AppendNews(sum, news, max_items);
};

/// Appends items until `to` holds `max_items`.
template <class Item>
void AppendItems(std::vector<Item>& to, const std::vector<Item>& items, std::size_t max_items) {
  const std::size_t room = max_items - std::min(max_items, to.size());
  const auto end = items.begin() + static_cast<std::ptrdiff_t>(std::min(room, items.size()));
  to.insert(to.end(), items.begin(), end);
}

/// Datagrams are lost, about one in a hundred on a bad link, and a gateway that misses an item
/// repeats a mistake that the item would have prevented. Each item is therefore sent three times.
/// Not thread-safe; time is passed in.
template <Mergeable News>
class Gossip {
 public:
  /// Times since an item was added at which it is sent. Connections broken by one crash are
  /// reported within a millisecond and sent together.
  static constexpr std::array<std::chrono::milliseconds, 3> kSendSchedule{
      std::chrono::milliseconds{1}, std::chrono::milliseconds{100}, std::chrono::milliseconds{500}};
  /// Limit on items in one datagram, which is then about 20 kB.
  static constexpr std::size_t kMaxItemsPerMessage = 1'000;
  /// Limit on pending batches; the oldest are evicted. Far more than arise in a second.
  static constexpr std::size_t kMaxBatches = 1'000;

  void Add(News news, TimePoint now) {
    if (news.empty()) return;
    if (batches_.size() >= kMaxBatches) batches_.pop_front();
    batches_.push_back({std::move(news), now});
  }

  /// Returns the items that are due and advances their schedule.
  News TakeDue(TimePoint now) {
    News due;
    for (Batch& batch : batches_) {
      if (now < batch.NextSend()) continue;
      AppendNews(due, batch.news, kMaxItemsPerMessage);
      ++batch.send_count;
    }
    std::erase_if(batches_,
                  [](const Batch& batch) { return batch.send_count >= kSendSchedule.size(); });
    return due;
  }

  /// Returns when an item is due next; far in the future if none is pending.
  TimePoint NextDue(TimePoint now) const {
    TimePoint next = now + kIdleInterval;
    for (const Batch& batch : batches_) next = std::min(next, batch.NextSend());
    return next;
  }

 private:
  static constexpr std::chrono::seconds kIdleInterval{60};

  struct Batch {
    News news;
    TimePoint added_at{};
    std::size_t send_count = 0;

    TimePoint NextSend() const { return added_at + kSendSchedule[send_count]; }
  };

  std::deque<Batch> batches_;
};

}  // namespace ridgehold
