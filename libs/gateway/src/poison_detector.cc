#include "gateway/poison_detector.h"

#include <algorithm>
#include <limits>

namespace ridgehold {

bool PoisonDetector::RecordCrash(RequestFingerprint request, BackendHash backend, TimePoint now) {
  if (options_.max_crashes == 0) return false;
  if (!records_.contains(request)) MakeRoom(now);
  Record& record = records_[request];
  if (std::ranges::find(record.crashes, backend) != record.crashes.end()) return false;
  const bool lapsed = !record.crashes.empty() && now >= ExpiresAt(record);
  if (lapsed) record = Record{};
  record.crashes.push_back(backend);
  record.last_crash = now;
  const bool quarantines = record.counted() >= options_.max_crashes && now >= record.until;
  if (quarantines) {
    record.quarantined_at = now;
    record.until = now + options_.quarantine;
  }
  return quarantines;
}

bool PoisonDetector::ClearSuspicion(RequestFingerprint request, TimePoint now) {
  const auto found = records_.find(request);
  if (found == records_.end()) return false;
  Record& record = found->second;
  const bool any = record.counted() > 0 || now < record.until;
  // The crashes are kept because they may be reported again.
  record.cleared = record.crashes.size();
  record.until = TimePoint();
  return any;
}

bool PoisonDetector::ApplyQuarantine(RequestFingerprint request, Duration left, TimePoint now) {
  if (SuspicionOf(request, now) == Suspicion::kQuarantined) return false;
  if (!records_.contains(request)) MakeRoom(now);
  Record& record = records_[request];
  record.last_crash = now;
  record.quarantined_at = now;
  record.until = now + std::min<Duration>(left, options_.quarantine);
  return true;
}

Suspicion PoisonDetector::SuspicionOf(RequestFingerprint request, TimePoint now) const {
  const auto found = records_.find(request);
  if (found == records_.end()) return Suspicion::kNone;
  const Record& record = found->second;
  if (now < record.until) return Suspicion::kQuarantined;
  if (now >= ExpiresAt(record)) return Suspicion::kNone;
  const bool was_quarantined = record.until != TimePoint();
  if (was_quarantined || record.counted() + 1 >= options_.max_crashes) return Suspicion::kLastTrial;
  return record.counted() > 0 ? Suspicion::kSuspect : Suspicion::kNone;
}

std::optional<TimePoint> PoisonDetector::QuarantinedAt(RequestFingerprint request,
                                                       TimePoint now) const {
  const auto found = records_.find(request);
  if (found == records_.end() || now >= found->second.until) return std::nullopt;
  return found->second.quarantined_at;
}

std::uint32_t PoisonDetector::CrashesLeft(RequestFingerprint request, TimePoint now) const {
  if (options_.max_crashes == 0) return std::numeric_limits<std::uint32_t>::max();
  switch (SuspicionOf(request, now)) {
    case Suspicion::kQuarantined:
      return 0;
    case Suspicion::kLastTrial:
      return 1;
    case Suspicion::kSuspect:
      return options_.max_crashes - CrashesOf(request);
    case Suspicion::kNone:
      break;
  }
  return options_.max_crashes;
}

std::uint32_t PoisonDetector::CrashesOf(RequestFingerprint request) const {
  const auto found = records_.find(request);
  return found == records_.end() ? 0 : found->second.counted();
}

std::vector<PoisonDetector::Quarantine> PoisonDetector::Quarantines(TimePoint now) const {
  std::vector<Quarantine> quarantined;
  for (const auto& [request, record] : records_) {
    if (now < record.until) quarantined.push_back({request, record.until});
  }
  return quarantined;
}

TimePoint PoisonDetector::ExpiresAt(const Record& record) const {
  return std::max(record.last_crash, record.until) + options_.memory;
}

void PoisonDetector::MakeRoom(TimePoint now) {
  if (records_.size() < options_.max_suspects) return;
  std::erase_if(records_, [&](const auto& entry) { return now >= ExpiresAt(entry.second); });
  if (records_.size() < options_.max_suspects) return;
  // Quarantines are kept in preference to suspicions; their later end time already ensures this.
  const auto oldest = std::ranges::min_element(records_, {}, [](const auto& entry) {
    return std::max(entry.second.last_crash, entry.second.until);
  });
  records_.erase(oldest);
}

}  // namespace ridgehold
