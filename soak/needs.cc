#include "needs.h"

#include "bounds.h"

namespace ridgehold::soak {
namespace {

constexpr std::chrono::milliseconds kWindow{4'000};
constexpr double kWindowSeconds = 4;
constexpr double kOverage = 1.5;
constexpr int kSlack = 5;
// An instance has taken an answer in by then.
constexpr std::chrono::milliseconds kTold{500};
constexpr int kMostInRest = 2;

}  // namespace

void Needs::Arrived(const std::string& engine, const Need& need, const RequestRecord& request) {
  if (need.limit || need.rest || need.leaving) ++arrived_;
  CheckLimit(engine, need, request);
  CheckRest({engine, request.process}, request);
  CheckLeaving({engine, request.process}, request);
}

void Needs::CheckLimit(const std::string& engine, const Need& need, const RequestRecord& request) {
  const auto found = limited_.find(engine);
  if (found == limited_.end()) return;
  if (need.limit != found->second.limit) {
    limited_.erase(found);
    return;
  }
  Limited& limited = found->second;
  const TimePoint now = Clock::now();
  const auto told = limited.told.find(request.process);
  const bool counts = told != limited.told.end() && told->second + kTold <= now &&
                      now > limited.first_named + kContact;
  if (!counts) return;
  limited.arrivals.push_back(now);
  while (limited.arrivals.front() + kWindow < now) limited.arrivals.pop_front();
  const double allowed = kOverage * kWindowSeconds * limited.limit + kSlack;
  if (static_cast<double>(limited.arrivals.size()) <= allowed) return;
  verdict_.Fail("engine gets more than it takes", engine,
                std::to_string(limited.arrivals.size()) + " in 4 s, it takes " +
                    std::to_string(limited.limit) + " a second; last " + request.id);
}

void Needs::CheckRest(const Sender& sender, const RequestRecord& request) {
  const auto found = rests_.find(sender);
  if (found == rests_.end()) return;
  const TimePoint now = Clock::now();
  std::erase_if(found->second, [&](const Rest& rest) { return rest.until <= now; });
  for (Rest& rest : found->second) {
    if (now < rest.from || ++rest.arrived <= kMostInRest) continue;
    verdict_.Fail("engine that asked for rest gets requests", request.id,
                  sender.first + " got " + std::to_string(rest.arrived));
  }
}

void Needs::CheckLeaving(const Sender& sender, const RequestRecord& request) {
  const auto found = left_.find(sender);
  if (found == left_.end() || request.sent <= found->second + kDrainLimit) return;
  verdict_.Fail("engine that leaves gets requests", request.id, sender.first);
}

void Needs::SetBrittle(std::optional<int> rejections_per_second, int engines) {
  brittle_engines_ = engines;
  if (rejections_per_second) calm_falls_ = 0;
}

void Needs::Fell(const std::string& engine, bool calm) {
  constexpr int kAllowedFalls = 2;
  constexpr int kAllowedPart = 10;  // and one in so many engines
  ++falls_;
  if (!calm || ++calm_falls_ <= kAllowedFalls + brittle_engines_ / kAllowedPart) return;
  verdict_.Fail("brittle engines fall over", engine, std::to_string(calm_falls_) + " times");
}

void Needs::Answered(const std::string& engine, const Need& need, const RequestRecord& request) {
  const TimePoint now = Clock::now();
  if (need.leaving) left_.try_emplace({engine, request.process}, now);
  if (!need.limit) return;
  Limited& limited = limited_[engine];
  if (limited.limit != *need.limit) limited = {*need.limit, now, {}, {}};
  limited.told.try_emplace(request.process, now);
}

void Needs::AskedForRest(const std::string& engine, std::chrono::milliseconds rest,
                         const RequestRecord& request) {
  const TimePoint now = Clock::now();
  rests_[{engine, request.process}].push_back({now + kTold, now + rest});
}

}  // namespace ridgehold::soak
