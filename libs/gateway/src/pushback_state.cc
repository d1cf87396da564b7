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

bool PushbackState::ApplyPushback(const BackendPushback& pushback, TimePoint sent, TimePoint now) {
  last_response_at_ = now;
  if (pushback.backoff)
    backoff_until_ = std::max<TimePoint>(backoff_until_, now + *pushback.backoff);
  // The server accepts requests from this gateway, whatever back-offs it requests from others.
  if (!pushback.backoff && sent > last_peer_backoff_at_) peer_backoffs_.Clear();
  bool changed = pushback.leaving && !leaving_;
  leaving_ = leaving_ || pushback.leaving;
  // A response to a request sent before the limit was known does not show that the limit has ended.
  const bool sent_after_change = sent > changed_at_;
  if (sent_after_change && !pushback.limit_malformed && pushback.limit != limit_) {
    SetLimit(pushback.limit, now);
    changed = true;
  }
  if (!changed) return false;
  ++number_;
  changed_at_ = now;
  return true;
}

bool PushbackState::ApplyUpdate(const PushbackUpdate& update, TimePoint now) {
  // A shutdown announcement is final, even in a stale update.
  const bool newly_leaving = update.leaving && !leaving_;
  leaving_ = leaving_ || update.leaving;
  if (newly_leaving) changed_at_ = now;
  if (update.number < number_) return update.limit != limit_ || update.leaving != leaving_;
  const bool same = update.number == number_;
  if (same && !IsStricter(update.limit, limit_)) return false;
  SetLimit(update.limit, now);
  number_ = update.number;
  changed_at_ = now;
  return false;
}

PushbackUpdate PushbackState::ToUpdate(BackendHash backend) const {
  return {backend, number_, limit_, leaving_};
}

bool PushbackState::RecordPeerBackoff(std::uint64_t gateway, TimePoint until, TimePoint now) {
  const bool was_deprioritized = deprioritized_until() > now;
  peer_backoffs_.Record(gateway, until);
  last_peer_backoff_at_ = now;
  return !was_deprioritized && deprioritized_until() > now;
}

bool PushbackState::TryBeginBroadcast(TimePoint now) {
  // Shorter than the time over which the gossip repeats an update.
  constexpr std::chrono::milliseconds kBroadcastTime{400};
  if (broadcast_started_at_ != TimePoint() && now - broadcast_started_at_ < kBroadcastTime)
    return false;
  broadcast_started_at_ = now;
  return true;
}

void PushbackState::SetLimit(const std::optional<RequestRate>& limit, TimePoint now) {
  if (!limit_) limited_since_ = now;
  limit_ = limit;
  // An earlier denial of a permit applied to the former limit.
  permit_blocked_until_ = {};
}

TimePoint PushbackState::blocked_until() const {
  return limit_ ? std::max(backoff_until_, permit_blocked_until_) : backoff_until_;
}

void PushbackState::BlockUntilPermit(TimePoint until) {
  permit_blocked_until_ = std::max(permit_blocked_until_, until);
}

bool PushbackState::TryUseFallbackSlot(BackendHash backend, std::uint64_t gateway,
                                       std::uint32_t gateways, TimePoint now) {
  const std::int64_t slot = FallbackSlots::SlotAt(now);
  const bool selected =
      limit_ && FallbackSlots::IsSelected({backend, gateway, gateways, *limit_}, slot);
  if (!selected || last_fallback_slot_ == slot) return false;
  last_fallback_slot_ = slot;
  return true;
}

}  // namespace ridgehold
