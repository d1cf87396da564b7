#include "control/rollout_pace.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace ridgehold {
namespace {

// A stream that is broken off and not resumed is lost to its caller; one that
// goes on under the new weights pauses for the load. The one is as bad as so
// many of the other.
constexpr std::uint32_t kLossAgainstPause = 2;
// What engines that were asked about had to read so long ago still tells how busy
// they are on the whole; the others are left out.
constexpr std::chrono::milliseconds kLoadRemembered{1'000};

}  // namespace

std::uint32_t RolloutPace::TurnsFor(const std::vector<RolloutStep>& engines, TimePoint now) const {
  if (engines.empty()) return 1;
  const std::uint32_t usual = DefaultLoadConcurrency(
      state_.directory(), engines.front().engine->entry.service, options_.engines_per_load);
  std::vector<Duration> time_left;
  for (const RolloutStep& step : engines) {
    const auto bound = BoundOf(step, now);
    if (!bound) continue;
    time_left.push_back(
        std::chrono::duration_cast<Duration>(*bound - options_.deadline_margin - now));
  }
  const std::uint32_t in_time =
      RequiredLoadConcurrency(usual, std::move(time_left), options_.expected_load);
  if (!options_.limit_by_measured_loads) return in_time;
  return std::max(usual, std::min(in_time, load_durations_.MaxUsefulConcurrency(usual)));
}

Duration RolloutPace::DrainTime(const RolloutStep& step, TimePoint now) const {
  const Duration worth = DrainWorth(step, now);
  const auto bound = BoundOf(step, now);
  if (!bound) return worth;
  const auto spare = *bound - options_.deadline_margin - options_.expected_load - now;
  return std::clamp<Duration>(std::chrono::duration_cast<Duration>(spare),
                              options_.hold_propagation, worth);
}

Duration RolloutPace::DrainWorth(const RolloutStep& step, TimePoint now) const {
  const double idle = 1 - PressureAt(step.engine->entry.service, now);
  const Duration span = options_.max_drain - options_.min_drain;
  return options_.min_drain + std::chrono::duration_cast<Duration>(idle * span);
}

double RolloutPace::PressureAt(const ServiceId& service, TimePoint now) const {
  const auto& snapshot = state_.snapshot();
  const Duration room = snapshot ? snapshot->ShortestObjective(service) : Duration(0);
  const std::vector<BackendPtr> engines = state_.directory().Usable(service, now);
  if (room <= Duration::zero() || engines.empty()) return 0;
  double unread = 0;
  std::uint32_t open = 0;
  for (const BackendPtr& engine : engines) {
    if (engine->hold_until > now || engine->avoid_until > now) continue;
    if (state_.asks_first() && now - engine->peers_seen > kLoadRemembered) continue;
    unread += engine->unprefilled_tokens + engine->peers.unread_tokens;
    ++open;
  }
  if (open == 0) return 1;
  const std::chrono::duration<double, std::milli> room_ms = room;
  const double ahead_ms = unread / open / state_.TokensPerMs(service);
  return std::clamp(ahead_ms / room_ms.count(), 0.0, 1.0);
}

ReloadMode RolloutPace::ModeFor(const RolloutStep& step, TimePoint now) const {
  if (Unrepeatable(step) == 0) {
    const std::uint32_t lost = options_.preserve_retry_budget ? Uncovered(step, now) : 0;
    const bool most_resumed = kLossAgainstPause * lost <= Running(step);
    return most_resumed ? ReloadMode::kAbortRequests : ReloadMode::kContinueRequests;
  }
  const auto bound = BoundOf(step, now);
  const bool time_left = !bound || now + options_.max_finish + options_.deadline_margin < *bound;
  const double speed = state_.TokensPerMs(step.engine->entry.service);
  const Duration finish = BackendDirectory::ExpectedWait(*step.engine, speed, now);
  // Streams that could be resumed would hold the engine up for seconds.
  const bool only_these = Unrepeatable(step) >= Running(step);
  const bool short_runs = only_these && finish <= options_.max_expected_finish;
  return time_left && short_runs ? ReloadMode::kFinishRequests : ReloadMode::kContinueRequests;
}

std::optional<TimePoint> RolloutPace::BoundOf(const RolloutStep& step, TimePoint now) const {
  const auto naming =
      state_.named_weights().OutdatedBy(step.model, step.engine->weights.at(step.model));
  if (!naming) return std::nullopt;
  if (naming->assumed && now - started_ < options_.assumed_age_grace) return std::nullopt;
  return naming->at + state_.limits().older_weights;
}

}  // namespace ridgehold
