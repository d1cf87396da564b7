// Judges whether all instances together keep to the bound on retries.

#pragma once

#include <set>
#include <string>
#include <vector>

#include "sleep.h"
#include "verdict.h"

namespace ridgehold::soak {

/// Counts each arrival of a request at an engine but its first, rejected ones included.
class RetryCheck {
 public:
  explicit RetryCheck(Verdict& verdict) : verdict_(verdict) {}

  void Sent(TimePoint at) { sent_.push_back(at); }
  void Arrived(const std::string& request);
  /// Call at the end of a run.
  void Judge();

  std::size_t retries() const { return retries_.size(); }

 private:
  /// The requests that earn the retries of the window that begins at `from`.
  std::size_t RequestsFor(TimePoint from) const;

  Verdict& verdict_;
  std::vector<TimePoint> sent_;
  std::set<std::string> arrived_;
  std::vector<TimePoint> retries_;
};

}  // namespace ridgehold::soak
