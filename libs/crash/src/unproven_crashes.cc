#include "crash/unproven_crashes.h"

#include <algorithm>

namespace ridgehold {

bool UnprovenCrashes::Add(BackendHash backend, RequestFingerprint request, TimePoint now) {
  Expire(now);
  if (Find(backend, request) != nullptr) return false;
  Insert(request, {backend, now, false});
  return true;
}

void UnprovenCrashes::MarkProved(BackendHash backend, RequestFingerprint request, TimePoint now) {
  Expire(now);
  if (Interruption* known = Find(backend, request)) {
    known->proved = true;
  } else {
    Insert(request, {backend, now, true});
  }
}

std::vector<BackendHash> UnprovenCrashes::SuspectsOf(RequestFingerprint request,
                                                     TimePoint now) const {
  std::vector<BackendHash> suspects;
  const auto found = interruptions_.find(request);
  if (found == interruptions_.end()) return suspects;
  for (const Interruption& interruption : found->second) {
    const bool awaited = !interruption.proved && now - interruption.at < kProofTime;
    if (awaited) suspects.push_back(interruption.backend);
  }
  return suspects;
}

bool UnprovenCrashes::AwaitsProof(RequestFingerprint request, std::uint32_t crashes_left,
                                  TimePoint now) const {
  const std::size_t suspects = SuspectsOf(request, now).size();
  return suspects > 0 && suspects + 1 >= crashes_left;
}

UnprovenCrashes::Interruption* UnprovenCrashes::Find(BackendHash backend,
                                                     RequestFingerprint request) {
  const auto found = interruptions_.find(request);
  if (found == interruptions_.end()) return nullptr;
  const auto at = std::ranges::find(found->second, backend, &Interruption::backend);
  return at == found->second.end() ? nullptr : &*at;
}

void UnprovenCrashes::Insert(RequestFingerprint request, Interruption interruption) {
  interruptions_[request].push_back(interruption);
  order_.push_back({request, interruption.backend, interruption.at});
}

void UnprovenCrashes::Expire(TimePoint now) {
  while (!order_.empty() &&
         (order_.size() >= kMaxInterruptions || now - order_.front().at >= kRetention)) {
    const auto found = interruptions_.find(order_.front().request);
    std::erase_if(found->second, [&](const Interruption& interruption) {
      return interruption.backend == order_.front().backend;
    });
    if (found->second.empty()) interruptions_.erase(found);
    order_.pop_front();
  }
}

}  // namespace ridgehold
