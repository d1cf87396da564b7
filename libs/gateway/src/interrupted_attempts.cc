#include "gateway/interrupted_attempts.h"

#include <algorithm>

namespace ridgehold {

bool InterruptedAttempts::Note(BackendHash backend, RequestFingerprint request, TimePoint now) {
  Expire(now);
  if (HasCrashed(backend)) return true;
  if (broken_.size() >= kMost) broken_.pop_front();
  broken_.push_back({backend, request, now});
  return false;
}

std::vector<RequestFingerprint> InterruptedAttempts::End(BackendHash backend, TimePoint now) {
  Expire(now);
  std::vector<RequestFingerprint> present;
  if (!ended_.emplace(backend, now).second) return present;
  std::erase_if(broken_, [&](const Broken& broken) {
    if (broken.backend != backend) return false;
    present.push_back(broken.request);
    return true;
  });
  return present;
}

void InterruptedAttempts::Expire(TimePoint now) {
  while (!broken_.empty() && now - broken_.front().at >= kSameCause) broken_.pop_front();
  std::erase_if(ended_, [&](const auto& entry) { return now - entry.second >= kSameCause; });
}

}  // namespace ridgehold
