#include "gateway/poison_detector.h"

#include <algorithm>

namespace ridgehold {

bool PoisonDetector::TakeEnd(RequestFingerprint request, BackendHash backend, TimePoint now) {
  if (rule_.most_ends == 0) return false;
  if (!records_.contains(request)) MakeRoom(now);
  Record& record = records_[request];
  if (std::ranges::find(record.ends, backend) != record.ends.end()) return false;
  const bool lapsed = !record.ends.empty() && now >= ForgottenAt(record);
  if (lapsed) record = Record{};
  record.ends.push_back(backend);
  record.last = now;
  const bool quarantines = record.counted() >= rule_.most_ends && now >= record.until;
  if (quarantines) record.until = now + rule_.quarantine;
  return quarantines;
}

bool PoisonDetector::ClearSuspicion(RequestFingerprint request, TimePoint now) {
  const auto found = records_.find(request);
  if (found == records_.end()) return false;
  Record& record = found->second;
  const bool any = record.counted() > 0 || now < record.until;
  // The crashes are kept because they may be reported again.
  record.forgiven = record.ends.size();
  record.until = TimePoint();
  return any;
}

bool PoisonDetector::TakeQuarantine(RequestFingerprint request, Duration left, TimePoint now) {
  if (SuspicionOf(request, now) == Suspicion::kQuarantined) return false;
  if (!records_.contains(request)) MakeRoom(now);
  Record& record = records_[request];
  record.last = now;
  record.until = now + std::min<Duration>(left, rule_.quarantine);
  return true;
}

Suspicion PoisonDetector::SuspicionOf(RequestFingerprint request, TimePoint now) const {
  const auto found = records_.find(request);
  if (found == records_.end()) return Suspicion::kNone;
  const Record& record = found->second;
  if (now < record.until) return Suspicion::kQuarantined;
  if (now >= ForgottenAt(record)) return Suspicion::kNone;
  const bool was_quarantined = record.until != TimePoint();
  if (was_quarantined || record.counted() + 1 >= rule_.most_ends) return Suspicion::kLastTrial;
  return record.counted() > 0 ? Suspicion::kSuspect : Suspicion::kNone;
}

std::uint32_t PoisonDetector::CrashesOf(RequestFingerprint request) const {
  const auto found = records_.find(request);
  return found == records_.end() ? 0 : found->second.counted();
}

std::vector<PoisonDetector::Quarantine> PoisonDetector::Quarantined(TimePoint now) const {
  std::vector<Quarantine> quarantined;
  for (const auto& [request, record] : records_) {
    if (now < record.until) quarantined.push_back({request, record.until});
  }
  return quarantined;
}

TimePoint PoisonDetector::ForgottenAt(const Record& record) const {
  return std::max(record.last, record.until) + rule_.memory;
}

void PoisonDetector::MakeRoom(TimePoint now) {
  if (records_.size() < rule_.max_suspects) return;
  std::erase_if(records_, [&](const auto& entry) { return now >= ForgottenAt(entry.second); });
  if (records_.size() < rule_.max_suspects) return;
  // Quarantines are kept in preference to suspicions; their later end time already ensures this.
  const auto oldest = std::ranges::min_element(records_, {}, [](const auto& entry) {
    return std::max(entry.second.last, entry.second.until);
  });
  records_.erase(oldest);
}

}  // namespace ridgehold
