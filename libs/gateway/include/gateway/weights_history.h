// The weights that the operator has named, and when this gateway learned of each.

#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "gateway/inbound_request.h"

namespace ridgehold {

/// Not thread-safe; time comes in as a value.
class WeightsHistory {
 public:
  /// Numbers remembered of a model; by far more than are named within the
  /// time that a rollout may take.
  static constexpr std::size_t kMaxEntries = 64;

  /// One number of one model.
  struct Announcement {
    WeightsNumber number;
    TimePoint at{};
    bool assumed = false;  ///< `at` is a careful guess, not known
  };

  /// Takes a number that was named at `at`. What is known replaces what was
  /// assumed; of two alike the earlier moment holds. Returns whether the
  /// number is newer than all known ones.
  bool Record(const ModelId& model, WeightsNumber number, TimePoint at, bool assumed = false);

  /// Called after each Record that changed something.
  void SetListener(std::function<void()> listener) { on_change_ = std::move(listener); }

  /// All that is remembered, ascending by number.
  const std::map<ModelId, std::vector<Announcement>>& all() const { return announcements_; }

  /// The newest number, if any was named.
  std::optional<WeightsNumber> Newest(const ModelId& model) const;

  /// When the newest was named.
  std::optional<TimePoint> NewestAnnouncedAt(const ModelId& model) const;

  /// The naming since which `number` has not been the newest, at the latest;
  /// nothing while it is.
  std::optional<Announcement> SupersededBy(const ModelId& model, WeightsNumber number) const;

  /// Its moment alone.
  std::optional<TimePoint> SupersededSince(const ModelId& model, WeightsNumber number) const;

  /// Whether the moment of any naming is a guess, so that others are to be asked.
  bool has_assumed_times() const {
    return std::ranges::any_of(announcements_, [](const auto& model) {
      return std::ranges::any_of(model.second, &Announcement::assumed);
    });
  }

 private:
  void NotifyChanged() const {
    if (on_change_) on_change_();
  }

  std::function<void()> on_change_;
  std::map<ModelId, std::vector<Announcement>> announcements_;
};

}  // namespace ridgehold
