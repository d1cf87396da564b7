// Follows the required size of an interactive group without moving engines too often.

#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

#include "base/ids.h"

namespace ridgehold {

/// Grows at once, because too small a group makes streams late, and shrinks slowly, because each
/// change moves homes and cached prompts. Not thread-safe; the caller passes in the time.
class GroupSizer {
 public:
  /// Minimum time between a change and a decrease: half of the half-life of the demand, so that a
  /// lull of a second or two costs one engine.
  static constexpr std::chrono::seconds kShrinkInterval{2};

  /// Takes in what RequiredGroupSize() returned and returns the new size, at most `max_size`; zero:
  /// there is no group.
  std::size_t Update(std::optional<std::size_t> required, std::size_t max_size, TimePoint now);

  std::size_t size() const { return size_; }

 private:
  std::size_t NextSize(std::size_t required, TimePoint now) const;

  std::size_t size_ = 0;
  TimePoint changed_at_{};
};

}  // namespace ridgehold
