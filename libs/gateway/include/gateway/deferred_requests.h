// Priority queue of one gateway's requests that wait for capacity at an engine.

#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <set>

#include "base/ids.h"

namespace ridgehold {

/// Ordered by whether the request can still meet its objective, then by whether its workspace is
/// within its share, then by priority, then by arrival.
/// Runs on one executor; must outlive its tickets.
class DeferredRequests {
 public:
  /// Number of requests at the head of the queue that poll for capacity concurrently. The others
  /// wait, since later requests could overtake earlier ones otherwise.
  static constexpr std::size_t kMaxPolling = 4;
  /// Polling interval; an engine takes 50 ms to prefill one chunk of a prompt.
  static constexpr std::chrono::milliseconds kPollInterval{15};
  /// Polling interval where each poll sends queries to other gateways.
  static constexpr std::chrono::milliseconds kPeerPollInterval{50};

  /// Sort key; smaller is served first.
  struct Position {
    bool late = false;
    bool over_share = false;
    int priority = 0;
    std::uint64_t number = 0;

    auto operator<=>(const Position&) const = default;
  };

  /// Holds a position in the queue while it lives.
  class Ticket {
   public:
    Ticket(DeferredRequests& queue, int priority, bool over_share = false);
    ~Ticket();

    Ticket(const Ticket&) = delete;
    Ticket& operator=(const Ticket&) = delete;

    /// Moves the request behind those that can still meet their objective.
    void MarkLate();

    /// Whether the request is among the first kMaxPolling.
    bool MayPoll() const;

   private:
    DeferredRequests& queue_;
    Position position_;
  };

  std::size_t size() const { return positions_.size(); }

 private:
  std::set<Position> positions_;
  std::uint64_t last_number_ = 0;
};

}  // namespace ridgehold
