// What is to be told of poison requests, and how often.

#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <deque>

#include "base/ids.h"
#include "gateway/poison_news.h"

namespace ridgehold {

/// Datagrams get lost, some in a hundred on a bad link, and a gateway that misses an end
/// sends a poison request on once more. So each item is told three times. Every item may
/// be told again without harm. Not thread-safe; time comes in as a value.
class PoisonGossip {
 public:
  /// When an item is told, after it came up. What breaks off at one end comes within a
  /// millisecond and goes out together.
  static constexpr std::array<std::chrono::milliseconds, 3> kTellings{
      std::chrono::milliseconds{1}, std::chrono::milliseconds{100}, std::chrono::milliseconds{500}};
  /// Items in one datagram, some 20 kB at most.
  static constexpr std::size_t kMostTold = 1'000;
  /// Batches that wait; the oldest go. An end makes one, so these are many ends a second.
  static constexpr std::size_t kMostBatches = 1'000;

  void Add(PoisonNews news, TimePoint now);

  /// Takes out what is due.
  PoisonNews TakeDue(TimePoint now);

  /// When something is due next; far ahead if nothing is.
  TimePoint NextDue(TimePoint now) const;

 private:
  struct Batch {
    PoisonNews news;
    TimePoint came_up{};
    std::size_t told = 0;

    TimePoint Due() const { return came_up + kTellings[told]; }
  };

  std::deque<Batch> batches_;
};

}  // namespace ridgehold
