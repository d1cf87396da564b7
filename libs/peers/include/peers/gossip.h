// What is to be told to all gateways, and how often.

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

/// News that may be told again without harm, and be put together to one message.
template <class News>
concept Tellable = requires(const News& news, News& sum, std::size_t most) {
  { news.empty() } -> std::convertible_to<bool>;
  AppendNews(sum, news, most);
};

/// Appends what `to` has room for, which holds `most` items.
template <class Item>
void AppendItems(std::vector<Item>& to, const std::vector<Item>& items, std::size_t most) {
  const std::size_t room = most - std::min(most, to.size());
  const auto end = items.begin() + static_cast<std::ptrdiff_t>(std::min(room, items.size()));
  to.insert(to.end(), items.begin(), end);
}

/// Datagrams get lost, some in a hundred on a bad link, and a gateway that misses an item
/// does once more what it should not. So each item is told three times. Not thread-safe;
/// time comes in as a value.
template <Tellable News>
class Gossip {
 public:
  /// When an item is told, after it came up. What breaks off at one end comes within a
  /// millisecond and goes out together.
  static constexpr std::array<std::chrono::milliseconds, 3> kTellings{
      std::chrono::milliseconds{1}, std::chrono::milliseconds{100}, std::chrono::milliseconds{500}};
  /// Items in one datagram, some 20 kB at most.
  static constexpr std::size_t kMostTold = 1'000;
  /// Batches that wait; the oldest go. Many for one second.
  static constexpr std::size_t kMostBatches = 1'000;

  void Add(News news, TimePoint now) {
    if (news.empty()) return;
    if (batches_.size() >= kMostBatches) batches_.pop_front();
    batches_.push_back({std::move(news), now});
  }

  /// Takes out what is due.
  News TakeDue(TimePoint now) {
    News due;
    for (Batch& batch : batches_) {
      if (now < batch.Due()) continue;
      AppendNews(due, batch.news, kMostTold);
      ++batch.told;
    }
    std::erase_if(batches_, [](const Batch& batch) { return batch.told >= kTellings.size(); });
    return due;
  }

  /// When something is due next; far ahead if nothing is.
  TimePoint NextDue(TimePoint now) const {
    TimePoint next = now + kNothingDue;
    for (const Batch& batch : batches_) next = std::min(next, batch.Due());
    return next;
  }

 private:
  static constexpr std::chrono::seconds kNothingDue{60};

  struct Batch {
    News news;
    TimePoint came_up{};
    std::size_t told = 0;

    TimePoint Due() const { return came_up + kTellings[told]; }
  };

  std::deque<Batch> batches_;
};

}  // namespace ridgehold
