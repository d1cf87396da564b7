// Settings of the learning of engine speeds.

#pragma once

namespace ridgehold {

struct PerformanceOptions {
  bool enabled = true;
  /// Highest cost of an expected pause in placement, in ms: about the prefill of one long prompt,
  /// so that a late pause is worth a move to another engine, but not a miss of the cached prefix
  /// on every request.
  double late_pause_ms = 100;
};

}  // namespace ridgehold
