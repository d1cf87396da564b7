#include "incarnation/process_continuity.h"

#include <algorithm>

namespace ridgehold {

bool ProcessContinuity::RecordEnd(TimePoint opened, TimePoint alive_at, TimePoint now) {
  const bool known = end_ && opened <= end_->alive_at;
  // The connections of a process end together, but not all are seen at once.
  if (known) return false;
  const bool pending = end_ && !end_->settled;
  // Connections are refused for as long as no process listens.
  const bool same_downtime = pending && !end_->contact;
  End end{alive_at, now, std::nullopt, false};
  if (pending) end.alive_at = std::min(end.alive_at, end_->alive_at);
  end_ = end;
  return !same_downtime;
}

bool ProcessContinuity::RecordReportedEnd(TimePoint alive_at, TimePoint now) {
  const bool known = end_ && alive_at <= end_->seen_at + kMaxReportDelay;
  return !known && RecordEnd(alive_at, alive_at, now);
}

void ProcessContinuity::RecordContact(TimePoint opened) {
  if (end_ && !end_->contact && opened >= end_->seen_at) end_->contact = opened;
}

void ProcessContinuity::RecordAnswer(TimePoint opened, TimePoint sent) {
  if (!end_ || sent <= end_->seen_at) return;
  // The evidence was wrong; what comes next is judged by itself.
  if (opened <= end_->alive_at) return end_.reset();
  end_->contact = std::min(end_->contact.value_or(opened), opened);
}

void ProcessContinuity::RecordNextRegistration() {
  if (end_) end_->settled = true;
}

bool ProcessContinuity::IsRegistered(TimePoint confirmed_at) const {
  if (!end_ || end_->settled) return true;
  return end_->contact && confirmed_at >= *end_->contact + kRegistrationTime;
}

bool ProcessContinuity::IsRegistered(TimePoint opened, TimePoint confirmed_at) const {
  if (IsRegistered(confirmed_at) || opened <= end_->alive_at) return true;
  return confirmed_at >= opened + kRegistrationTime;
}

std::optional<TimePoint> ProcessContinuity::PendingEnd(TimePoint confirmed_at) const {
  if (IsRegistered(confirmed_at)) return std::nullopt;
  return end_->alive_at;
}

}  // namespace ridgehold
