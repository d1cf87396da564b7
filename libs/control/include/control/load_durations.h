// How long loads of weights took, by how many ran at once.

#pragma once

#include <cstdint>
#include <map>

#include "base/ids.h"

namespace ridgehold {

/// Tells how many loads at once bring engines up faster. Where loads share one
/// thing that bounds them, more at once only take more engines out of service:
/// nine at once took 2.9 s where two at a time take 0.7 s, and for two seconds
/// no engine was left. Not thread-safe.
class LoadDurations {
 public:
  /// A load was ordered as one of `concurrency`, itself included, and took `took`.
  void Record(std::uint32_t concurrency, Duration took);

  /// The most at once that are worth it; at least `usual`. Numbers that were
  /// never tried are believed in up to twice the largest that helped.
  std::uint32_t MaxUsefulConcurrency(std::uint32_t usual) const;

 private:
  std::map<std::uint32_t, Duration> shortest_;  ///< by number at once
};

}  // namespace ridgehold
