#include "crash/part_traffic.h"

#include <algorithm>
#include <cmath>

namespace ridgehold {
namespace {

// A gateway that has just started has observed too little for a smaller window.
constexpr std::chrono::seconds kMinWindow{5};
// Added to what was observed, so that a part that was never seen here is not thought to be absent.
constexpr std::chrono::milliseconds kPriorWait{100};

std::vector<RequestFingerprint> FingerprintsOf(std::span<const PartFeature> parts) {
  std::vector<RequestFingerprint> fingerprints;
  fingerprints.reserve(parts.size());
  for (const PartFeature& part : parts) fingerprints.push_back(part.anywhere);
  return fingerprints;
}

}  // namespace

void PartTraffic::RecordWait(std::span<const PartFeature> parts, Duration wait, double share,
                             TimePoint now) {
  Expire(now);
  if (!started_at_) started_at_ = now;
  const Duration scaled(static_cast<Duration::rep>(static_cast<double>(wait.count()) * share));
  attempts_.push_back({now, scaled, FingerprintsOf(parts)});
  total_wait_ += scaled;
  for (const RequestFingerprint part : attempts_.back().parts) {
    PartCount& count = counts_[part];
    ++count.attempts;
    count.scaled_wait += scaled;
  }
}

void PartTraffic::RecordSurvival(std::span<const PartFeature> parts, TimePoint begun,
                                 TimePoint now) {
  Expire(now);
  survivals_.push_back({begun, now, FingerprintsOf(parts)});
  for (const RequestFingerprint part : survivals_.back().parts) {
    PartCount& count = counts_[part];
    ++count.survivals;
    count.last_survival = std::max(count.last_survival, begun);
  }
}

double PartTraffic::PresenceOf(RequestFingerprint part, double suspects, TimePoint now) const {
  // The cause itself, and one more by chance.
  constexpr double kUsualExtraSuspects = 2;
  const TimePoint start = started_at_.value_or(now);
  const auto window =
      std::chrono::duration<double>(std::clamp<Clock::duration>(now - start, kMinWindow, kWindow));
  std::chrono::duration<double> wait = kPriorWait;
  const auto found = counts_.find(part);
  if (found != counts_.end()) wait += found->second.scaled_wait;
  const double usual_suspects = total_wait_ / window + kUsualExtraSuspects;
  const double crowding = std::max(1.0, suspects / usual_suspects);
  const double observed = -std::expm1(-crowding * (wait / window));
  // A gateway that has sent few requests may have missed even a common part.
  const double unobserved = suspects / static_cast<double>(attempts_.size() + 2);
  return std::min(std::max(observed, unobserved), 1.0);
}

double PartTraffic::OddsOf(RequestFingerprint part) const {
  const auto found = counts_.find(part);
  if (found == counts_.end()) return 0;
  const std::size_t with = found->second.attempts;
  const std::size_t without = attempts_.size() - with;
  return static_cast<double>(with) / static_cast<double>(std::max<std::size_t>(without, 1));
}

std::optional<TimePoint> PartTraffic::LastSurvival(RequestFingerprint part) const {
  const auto found = counts_.find(part);
  if (found == counts_.end() || found->second.survivals == 0) return std::nullopt;
  return found->second.last_survival;
}

std::size_t PartTraffic::SurvivalsSince(TimePoint since) const {
  std::size_t count = 0;
  for (auto at = survivals_.rbegin(); at != survivals_.rend() && at->at > since; ++at) {
    count += at->begun > since ? 1 : 0;
  }
  return count;
}

void PartTraffic::Expire(TimePoint now) {
  while (!attempts_.empty() &&
         (attempts_.size() >= kMaxSamples || now - attempts_.front().at >= kWindow)) {
    DropOldestAttempt();
  }
  while (!survivals_.empty() &&
         (survivals_.size() >= kMaxSamples || now - survivals_.front().at >= kWindow)) {
    DropOldestSurvival();
  }
}

void PartTraffic::DropOldestAttempt() {
  for (const RequestFingerprint part : attempts_.front().parts) {
    PartCount& count = counts_[part];
    --count.attempts;
    count.scaled_wait -= attempts_.front().scaled_wait;
    EraseIfUnused(part);
  }
  total_wait_ -= attempts_.front().scaled_wait;
  attempts_.pop_front();
}

void PartTraffic::DropOldestSurvival() {
  for (const RequestFingerprint part : survivals_.front().parts) {
    --counts_[part].survivals;
    EraseIfUnused(part);
  }
  survivals_.pop_front();
}

void PartTraffic::EraseIfUnused(RequestFingerprint part) {
  const auto found = counts_.find(part);
  if (found->second.attempts == 0 && found->second.survivals == 0) counts_.erase(found);
}

}  // namespace ridgehold
