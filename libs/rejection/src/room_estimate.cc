#include "rejection/room_estimate.h"

#include <algorithm>

namespace ridgehold {
namespace {

constexpr double kReduction = 0.5;
// The room grows by one request, or by a tenth, in this time.
constexpr std::chrono::milliseconds kGrowthInterval{2'000};
constexpr std::uint32_t kGrowthDivisor = 10;
// Rejections are counted over one second.
constexpr std::chrono::milliseconds kCountedTime{1'000};
// A pause admits a few rejections of requests that are already on their way.
constexpr std::uint32_t kRejectionsPerPause = 2;

std::chrono::milliseconds PauseFor(RejectionLimit limit) {
  const std::uint32_t pauses = std::max<std::uint32_t>(1, limit.value() / kRejectionsPerPause);
  return kCountedTime / pauses;
}

}  // namespace

void RoomEstimate::RecordRejection(RejectionLimit limit, std::uint32_t running, TimePoint now) {
  limit_ = limit;
  const auto reduced = static_cast<std::uint32_t>(kReduction * running);
  Reduce(std::max<std::uint32_t>(1, reduced), now);
  blocked_until_ = std::max<TimePoint>(blocked_until_, now + PauseFor(limit));
}

void RoomEstimate::Apply(const RoomUpdate& update, TimePoint now) {
  limit_ = update.limit;
  Reduce(std::max<std::uint32_t>(1, update.room), now);
  const auto left = std::min(update.blocked_left, kCountedTime);
  blocked_until_ = std::max<TimePoint>(blocked_until_, now + left);
}

void RoomEstimate::Reduce(std::uint32_t room, TimePoint now) {
  const auto current = RoomAt(now);
  room_ = current ? std::min(*current, room) : room;
  reduced_at_ = now;
}

std::chrono::milliseconds RoomEstimate::pause() const { return PauseFor(limit_); }

std::optional<RoomUpdate> RoomEstimate::ToUpdate(TimePoint now) const {
  if (now >= blocked_until_) return std::nullopt;
  return RoomUpdate{limit_, room_.value_or(1),
                    std::chrono::ceil<std::chrono::milliseconds>(blocked_until_ - now)};
}

std::optional<std::uint32_t> RoomEstimate::RoomAt(TimePoint now) const {
  if (!room_) return std::nullopt;
  const auto steps = static_cast<std::uint32_t>(std::max<std::int64_t>(
      0, std::chrono::duration_cast<std::chrono::milliseconds>(now - reduced_at_).count() /
             kGrowthInterval.count()));
  constexpr std::uint32_t kMaxSteps = 1'000;
  return *room_ + std::min(steps, kMaxSteps) * std::max<std::uint32_t>(1, *room_ / kGrowthDivisor);
}

bool RoomEstimate::MayTake(std::uint32_t running, std::uint32_t slots, TimePoint now) const {
  if (now < blocked_until_) return false;
  const std::uint32_t room = std::min(RoomAt(now).value_or(slots), slots);
  return running < std::max<std::uint32_t>(1, room);
}

}  // namespace ridgehold
