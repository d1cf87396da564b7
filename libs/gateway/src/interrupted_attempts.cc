#include "gateway/interrupted_attempts.h"

#include <algorithm>

namespace ridgehold {

bool InterruptedAttempts::Record(BackendHash backend, RequestFingerprint request, TimePoint now) {
  Expire(now);
  if (HasCrashed(backend)) return true;
  if (attempts_.size() >= kMaxAttempts) attempts_.pop_front();
  attempts_.push_back({backend, request, now});
  return false;
}

std::vector<RequestFingerprint> InterruptedAttempts::RecordCrash(BackendHash backend,
                                                                 TimePoint now) {
  Expire(now);
  std::vector<RequestFingerprint> interrupted;
  if (!crashed_at_.emplace(backend, now).second) return interrupted;
  std::erase_if(attempts_, [&](const Interruption& interruption) {
    if (interruption.backend != backend) return false;
    interrupted.push_back(interruption.request);
    return true;
  });
  return interrupted;
}

void InterruptedAttempts::Expire(TimePoint now) {
  while (!attempts_.empty() && now - attempts_.front().at >= kMatchWindow) attempts_.pop_front();
  std::erase_if(crashed_at_, [&](const auto& entry) { return now - entry.second >= kMatchWindow; });
}

}  // namespace ridgehold
