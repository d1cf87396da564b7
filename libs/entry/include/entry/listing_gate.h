// Limits how many instances of a fleet read the whole store at once.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>

#include "base/ids.h"

namespace ridgehold {

/// What an instance knows when it lacks the content of the store.
struct ListingDemand {
  bool has_relay = false;        ///< there is an instance from which it could copy
  std::size_t depth = 0;         ///< instances between it and the store
  std::size_t zone_members = 1;  ///< known instances of its availability zone, itself included
  Duration waited{0};            ///< since it began to look for a relay
};

/// Decides when an instance that waits for its relay's copy reads the store itself. The instances
/// next to the store, of which each zone has a few, do so after a common wait, and their copies
/// serve the others. All others draw lots, so the expected number that begin to read within an
/// interval is the same however many wait in vain, and the store's link stays free for those that
/// began. Not thread-safe; takes the current time as a parameter.
class ListingGate {
 public:
  struct Options {
    /// Maximum wait for a copy. One level of relays passes a copy of a large fleet on within a
    /// second.
    std::chrono::milliseconds copy_wait{2'000};
    std::chrono::milliseconds copy_wait_per_level{1'000};
    /// Reading the store of a large fleet takes an instance between one and two seconds.
    std::chrono::milliseconds draw_interval{1'000};
    /// Expected number of instances of a zone that begin to read in each interval.
    double readers_per_zone = 2;
  };

  ListingGate(Options options, std::uint32_t seed) : options_(options), random_(seed) {}

  /// Returns whether the instance may read the whole store at `now`.
  bool MayList(const ListingDemand& demand, TimePoint now);

 private:
  bool Draw(const ListingDemand& demand, TimePoint now);

  Options options_;
  std::minstd_rand random_;
  TimePoint next_draw_{};
};

}  // namespace ridgehold
