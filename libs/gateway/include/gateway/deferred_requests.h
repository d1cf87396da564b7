// The requests of one gateway that wait for room at an engine, in the order of their turns.

#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <set>

#include "base/ids.h"

namespace ridgehold {

/// Those that can still be in time go first, then the more urgent, then those
/// that wait longer. Runs on one executor; outlives its tickets.
class DeferredRequests {
 public:
  /// Requests that look for room at the same time; those behind them wait, as
  /// the first ones would be passed over by later ones otherwise.
  static constexpr std::size_t kLooking = 4;
  /// Between two looks: reading a piece of a prompt takes an engine 50 ms.
  static constexpr std::chrono::milliseconds kLook{15};
  /// The same where a look costs questions to other gateways.
  static constexpr std::chrono::milliseconds kAskingLook{50};

  /// Compares as the turns go.
  struct Place {
    bool late = false;
    int priority = 0;
    std::uint64_t number = 0;

    auto operator<=>(const Place&) const = default;
  };

  /// A place in the line for as long as it lives.
  class Ticket {
   public:
    Ticket(DeferredRequests& line, int priority);
    ~Ticket();

    Ticket(const Ticket&) = delete;
    Ticket& operator=(const Ticket&) = delete;

    /// Can't be in time any more: goes behind those that can.
    void SetLate();

    /// Whether few enough are before it.
    bool MayLook() const;

   private:
    DeferredRequests& line_;
    Place place_;
  };

  std::size_t size() const { return places_.size(); }

 private:
  std::set<Place> places_;
  std::uint64_t last_number_ = 0;
};

}  // namespace ridgehold
