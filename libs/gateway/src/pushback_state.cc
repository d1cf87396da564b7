#include "gateway/pushback_state.h"

#include <algorithm>
#include <chrono>

#include "gateway/fallback_slots.h"

namespace ridgehold {
namespace {

/// Of two updates with the same number, the stricter limit applies.
bool IsStricter(const std::optional<RequestRate>& limit, const std::optional<RequestRate>& other) {
  return limit && (!other || *limit < *other);
}

}  // namespace

bool PushbackState::TakeNotice(const BackendPushback& notice, TimePoint sent, TimePoint now) {
  heard_at_ = now;
  if (notice.rest) rest_until_ = std::max<TimePoint>(rest_until_, now + *notice.rest);
  // The server accepts requests from this gateway, whatever back-offs it requests from others.
  if (!notice.rest && sent > others_heard_at_) others_.Clear();
  bool changed = notice.leaving && !leaving_;
  leaving_ = leaving_ || notice.leaving;
  // A response to a request sent before the limit was known does not show that the limit has ended.
  const bool sent_after_change = sent > known_at_;
  if (sent_after_change && !notice.limit_unreadable && notice.limit != limit_) {
    SetLimit(notice.limit, now);
    changed = true;
  }
  if (!changed) return false;
  ++number_;
  known_at_ = now;
  return true;
}

bool PushbackState::TakeNews(const PushbackUpdate& news, TimePoint now) {
  // A shutdown announcement is final, even in a stale update.
  const bool newly_leaving = news.leaving && !leaving_;
  leaving_ = leaving_ || news.leaving;
  if (newly_leaving) known_at_ = now;
  if (news.number < number_) return news.limit != limit_ || news.leaving != leaving_;
  const bool same = news.number == number_;
  if (same && !IsStricter(news.limit, limit_)) return false;
  SetLimit(news.limit, now);
  number_ = news.number;
  known_at_ = now;
  return false;
}

PushbackUpdate PushbackState::News(BackendHash backend) const {
  return {backend, number_, limit_, leaving_};
}

bool PushbackState::RecordPeerBackoff(std::uint64_t gateway, TimePoint until, TimePoint now) {
  const bool was_deprioritized = deprioritized_until() > now;
  others_.Note(gateway, until);
  others_heard_at_ = now;
  return !was_deprioritized && deprioritized_until() > now;
}

bool PushbackState::TryBeginBroadcast(TimePoint now) {
  // Shorter than the time over which the gossip repeats an update.
  constexpr std::chrono::milliseconds kBroadcastTime{400};
  if (told_from_ != TimePoint() && now - told_from_ < kBroadcastTime) return false;
  told_from_ = now;
  return true;
}

void PushbackState::SetLimit(const std::optional<RequestRate>& limit, TimePoint now) {
  if (!limit_) limited_since_ = now;
  limit_ = limit;
  // An earlier denial of a permit applied to the former limit.
  no_permit_until_ = {};
}

TimePoint PushbackState::barred_until() const {
  return limit_ ? std::max(rest_until_, no_permit_until_) : rest_until_;
}

void PushbackState::BlockUntilPermit(TimePoint until) {
  no_permit_until_ = std::max(no_permit_until_, until);
}

bool PushbackState::TryUseFallbackSlot(BackendHash backend, std::uint64_t gateway,
                                       std::uint32_t gateways, TimePoint now) {
  const std::int64_t slot = FallbackSlots::TurnAt(now);
  const bool selected =
      limit_ && FallbackSlots::IsDrawn({backend, gateway, gateways, *limit_}, slot);
  if (!selected || uncounted_turn_ == slot) return false;
  uncounted_turn_ = slot;
  return true;
}

}  // namespace ridgehold
