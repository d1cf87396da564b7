// The weights versions that the operator announced, and when this gateway learned of each.

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

/// Not thread-safe; the caller passes in the time.
class WeightsHistory {
 public:
  /// Versions kept for each model; far more than are announced during one rollout.
  static constexpr std::size_t kMaxEntries = 64;

  /// One announced version of one model.
  struct Announcement {
    WeightsNumber number;
    TimePoint at{};
    bool assumed = false;  ///< `at` is a conservative estimate
  };

  /// Records that `number` was announced at `at`. A known time replaces an assumed one; of two
  /// known or two assumed times the earlier one holds. Returns whether the number is newer than all
  /// known ones.
  bool Record(const ModelId& model, WeightsNumber number, TimePoint at, bool assumed = false);

  /// Whether `number` is among the announced versions.
  bool Contains(const ModelId& model, WeightsNumber number) const;

  /// Called after each Record that changed something.
  void SetListener(std::function<void()> listener) { on_change_ = std::move(listener); }

  /// All recorded announcements, in ascending order of their number.
  const std::map<ModelId, std::vector<Announcement>>& all() const { return announcements_; }

  /// The newest announced number, if any.
  std::optional<WeightsNumber> Newest(const ModelId& model) const;

  /// When the newest number was announced.
  std::optional<TimePoint> NewestAnnouncedAt(const ModelId& model) const;

  /// The earliest announcement by which `number` was superseded; nothing while it is the newest.
  std::optional<Announcement> SupersededBy(const ModelId& model, WeightsNumber number) const;

  /// The time of that announcement.
  std::optional<TimePoint> SupersededSince(const ModelId& model, WeightsNumber number) const;

  /// Whether the time of any announcement is assumed, so that peers should be asked for it.
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
