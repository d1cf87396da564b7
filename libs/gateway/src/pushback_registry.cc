#include "gateway/pushback_registry.h"

#include <fmt/format.h>

#include <string>

#include "log/log.h"
#include "rejection/pause_turn.h"

namespace ridgehold {
namespace {

// How long quota holders are kept after a limit was last seen.
constexpr std::chrono::seconds kQuotaRetention{60};
constexpr std::size_t kMaxChangedTerms = 4'096;
// Maximum time for which peers' back-offs deprioritize a server here. They do not bind this
// gateway, which then tries again.
constexpr std::chrono::milliseconds kMaxPeerBackoff{5'000};

void LogState(const char* event, const Backend& backend) {
  const PushbackState& state = backend.notice_state;
  const std::string limit =
      state.limit() ? fmt::format("{:.3f}", state.limit()->per_second()) : "none";
  Log(LogLevel::kInfo, event,
      {{"backend", backend.entry.id.value()},
       {"address", backend.entry.address},
       {"number", std::to_string(state.number())},
       {"limit", limit},
       {"leaving", state.leaving() ? "yes" : "no"}});
}

}  // namespace

void PushbackRegistry::ApplyPushback(Backend& backend, const BackendPushback& pushback,
                                     TimePoint sent, TimePoint now) {
  if (pushback.backoff) {
    Log(LogLevel::kInfo, "backend rests",
        {{"backend", backend.entry.id.value()},
         {"address", backend.entry.address},
         {"rest_ms", std::to_string(pushback.backoff->count())}});
  }
  const bool changed = backend.notice_state.ApplyPushback(pushback, sent, now);
  if (backend.removed && pushback.backoff) {
    // Another registration was read after the request was sent.
    const BackendPtr current = directory_.Find(backend.entry.id);
    if (current) current->notice_state.KeepBackoff(backend.notice_state.backoff_until());
  }
  if (pushback.rejection_limit) RecordFragility(backend, *pushback.rejection_limit, now);
  if (pushback.limit) quota_needed_until_ = now + kQuotaRetention;
  if (changed) {
    LogState("backend notice", backend);
    OnStateChanged(backend, now);
  }
  const bool share = changed || (pushback.backoff && backend.notice_state.ShouldShareBackoff(now));
  if (share) Share(backend, now);
}

void PushbackRegistry::Share(Backend& backend, TimePoint now) {
  if (!backend.notice_state.TryBeginBroadcast(now)) return;
  pending_.items.push_back(UpdateFor(backend, now));
  if (on_update_) on_update_();
}

void PushbackRegistry::RecordFragility(const Backend& backend, RejectionLimit limit,
                                       TimePoint now) {
  if (!fragile_services_.Record(backend.entry.service, limit, now)) return;
  Log(LogLevel::kInfo, "backends fragile",
      {{"service", backend.entry.service.value()},
       {"backend", backend.entry.id.value()},
       {"rejections_per_s", std::to_string(limit.value())}});
}

void PushbackRegistry::RecordRejection(Backend& backend, TimePoint now) {
  const auto limit = fragile_services_.LimitOf(backend.entry.service, now);
  if (!limit) return;
  const std::uint32_t running = RunningAt(backend);
  backend.room.RecordRejection(*limit, running, now);
  Log(LogLevel::kInfo, "fragile backend rejected a request",
      {{"backend", backend.entry.id.value()},
       {"address", backend.entry.address},
       {"running", std::to_string(running)},
       {"rejections_per_s", std::to_string(limit->value())}});
  Share(backend, now);
}

bool PushbackRegistry::HasRoom(const Backend& backend, TimePoint now) const {
  if (!fragile_services_.LimitOf(backend.entry.service, now)) return true;
  if (now < RoomBlockedUntil(backend, now)) return false;
  return backend.room.MayTake(RunningAt(backend), backend.entry.slots, now);
}

TimePoint PushbackRegistry::RoomBlockedUntil(const Backend& backend, TimePoint now) const {
  const bool fragile = fragile_services_.LimitOf(backend.entry.service, now).has_value();
  const RoomEstimate& room = backend.room;
  if (!fragile || room.blocked_until() == TimePoint()) return TimePoint();
  return room.blocked_until() + TurnAfterPause(self_, HashOf(backend), gateways_, room.pause());
}

PushbackUpdate PushbackRegistry::UpdateFor(const Backend& backend, TimePoint now) {
  PushbackUpdate update = backend.notice_state.ToUpdate(HashOf(backend));
  const TimePoint backoff_until = backend.notice_state.backoff_until();
  if (now < backoff_until) {
    update.backoff_left = std::chrono::ceil<std::chrono::milliseconds>(backoff_until - now);
  }
  update.room = backend.room.ToUpdate(now);
  return update;
}

void PushbackRegistry::ApplyPeerBackoff(Backend& backend, const PushbackUpdate& update,
                                        std::uint64_t gateway, TimePoint now) {
  if (!update.backoff_left) return;
  const TimePoint until = now + std::min(*update.backoff_left, kMaxPeerBackoff);
  if (!backend.notice_state.RecordPeerBackoff(gateway, until, now)) return;
  Log(LogLevel::kInfo, "backend deprioritized: two peers were asked to back off",
      {{"backend", backend.entry.id.value()},
       {"address", backend.entry.address},
       {"rest_ms", std::to_string(update.backoff_left->count())}});
}

PushbackUpdateList PushbackRegistry::ApplyUpdates(const PushbackUpdateList& updates,
                                                  std::uint64_t gateway, TimePoint now) {
  PushbackUpdateList newer;
  for (const PushbackUpdate& item : updates.items) {
    const BackendPtr backend = directory_.FindByHash(item.backend);
    if (!backend) continue;
    ApplyPeerBackoff(*backend, item, gateway, now);
    if (item.room) {
      RecordFragility(*backend, item.room->limit, now);
      backend->room.Apply(*item.room, now);
    }
    const PushbackUpdate before = backend->notice_state.ToUpdate(item.backend);
    if (backend->notice_state.ApplyUpdate(item, now)) newer.items.push_back(before);
    if (backend->notice_state.ToUpdate(item.backend) == before) continue;
    LogState("backend notice told", *backend);
    OnStateChanged(*backend, now);
  }
  return newer;
}

PushbackUpdateList PushbackRegistry::WithCurrentState(const PushbackUpdateList& updates,
                                                      TimePoint now) const {
  PushbackUpdateList refreshed;
  for (const PushbackUpdate& item : updates.items) {
    const BackendPtr backend = directory_.FindByHash(item.backend);
    if (backend) refreshed.items.push_back(UpdateFor(*backend, now));
  }
  return refreshed;
}

void PushbackRegistry::OnStateChanged(const Backend& backend, TimePoint now) {
  if (!backend.notice_state.limit()) return;
  quota_needed_until_ = now + kQuotaRetention;
  // Pending terms are not consumed while this gateway holds no quota share. They may be dropped,
  // since each request carries its terms.
  if (changed_terms_.size() >= kMaxChangedTerms) changed_terms_.clear();
  changed_terms_[SubjectFor(backend)] = TermsFor(backend);
  if (on_limit_) on_limit_();
}

QuotaSubject PushbackRegistry::SubjectFor(const Backend& backend) const {
  return BackendSubject(HashOf(backend));
}

QuotaLimits PushbackRegistry::TermsFor(const Backend& backend) const {
  return EffectiveLimits(*backend.notice_state.limit(), tolerance_, backend.notice_state.number());
}

}  // namespace ridgehold
