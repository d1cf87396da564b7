#include "control/rollout_pace.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace ridgehold {
namespace {

// A stream that is aborted and not resumed is lost to its caller; one that continues with the new
// weights only pauses for the load. One lost stream weighs as much as this many paused ones.
constexpr std::uint32_t kPausesPerLoss = 2;
// Loads that peers reported longer ago than this are unknown.
constexpr std::chrono::milliseconds kMaxLoadAge{1'000};

}  // namespace

std::uint32_t RolloutPace::Concurrency(const std::vector<RolloutStep>& engines,
                                       TimePoint now) const {
  if (engines.empty()) return 1;
  const std::uint32_t default_concurrency = DefaultLoadConcurrency(
      state_.directory(), engines.front().engine->entry.service, options_.engines_per_load);
  std::vector<Duration> time_left;
  for (const RolloutStep& step : engines) {
    const auto deadline = DeadlineOf(step, now);
    if (!deadline) continue;
    time_left.push_back(
        std::chrono::duration_cast<Duration>(*deadline - options_.deadline_margin - now));
  }
  const std::uint32_t required = RequiredLoadConcurrency(default_concurrency, std::move(time_left),
                                                         options_.expected_load_time);
  if (!options_.limit_by_measured_loads) return required;
  return std::max(default_concurrency,
                  std::min(required, load_durations_.MaxUsefulConcurrency(default_concurrency)));
}

Duration RolloutPace::DrainTime(const RolloutStep& step, TimePoint now) const {
  const Duration longest = MaxDrainTime(step, now);
  const auto deadline = DeadlineOf(step, now);
  if (!deadline) return longest;
  const auto slack = *deadline - options_.deadline_margin - options_.expected_load_time - now;
  return std::clamp<Duration>(std::chrono::duration_cast<Duration>(slack),
                              options_.hold_propagation, longest);
}

Duration RolloutPace::MaxDrainTime(const RolloutStep& step, TimePoint now) const {
  const double unused_fraction = 1 - PrefillLoad(step.engine->entry.service, now);
  const Duration span = options_.max_drain - options_.min_drain;
  return options_.min_drain + std::chrono::duration_cast<Duration>(unused_fraction * span);
}

double RolloutPace::PrefillLoad(const ServiceId& service, TimePoint now) const {
  const auto& snapshot = state_.snapshot();
  const Duration objective = snapshot ? snapshot->ShortestObjective(service) : Duration(0);
  const std::vector<BackendPtr> engines = state_.directory().Usable(service, now);
  if (objective <= Duration::zero() || engines.empty()) return 0;
  double queued_tokens = 0;
  std::uint32_t available = 0;
  for (const BackendPtr& engine : engines) {
    if (engine->hold_until > now || engine->avoid_until > now) continue;
    if (!IsLoadKnown(*engine, now)) continue;
    queued_tokens += engine->unprefilled_tokens + engine->peers.unread_tokens;
    ++available;
  }
  if (available == 0) return 1;
  const std::chrono::duration<double, std::milli> objective_ms = objective;
  const double queue_ms = queued_tokens / available / state_.TokensPerMs(service);
  return std::clamp(queue_ms / objective_ms.count(), 0.0, 1.0);
}

bool RolloutPace::IsLoadKnown(const Backend& engine, TimePoint now) const {
  return !state_.queries_peers() || now - engine.peers_updated_at <= kMaxLoadAge;
}

ReloadMode RolloutPace::ModeFor(const RolloutStep& step, TimePoint now) const {
  // Other instances may have streams there that cannot be resumed.
  if (!IsLoadKnown(*step.engine, now)) return ReloadMode::kContinueRequests;
  if (Unrepeatable(step) == 0) {
    const std::uint32_t lost = options_.preserve_retry_budget ? Uncovered(step, now) : 0;
    const bool most_resumed = kPausesPerLoss * lost <= Running(step);
    return most_resumed ? ReloadMode::kAbortRequests : ReloadMode::kContinueRequests;
  }
  const auto deadline = DeadlineOf(step, now);
  const bool time_left =
      !deadline || now + options_.worst_case_finish + options_.deadline_margin < *deadline;
  const double tokens_per_ms = state_.TokensPerMs(step.engine->entry.service);
  const Duration finish = BackendDirectory::ExpectedWait(*step.engine, tokens_per_ms, now);
  // Waiting for resumable streams to finish would block the engine for seconds.
  const bool none_resumable = Unrepeatable(step) >= Running(step);
  const bool short_runs = none_resumable && finish <= options_.max_expected_finish;
  return time_left && short_runs ? ReloadMode::kFinishRequests : ReloadMode::kContinueRequests;
}

std::optional<TimePoint> RolloutPace::DeadlineOf(const RolloutStep& step, TimePoint now) const {
  const auto naming =
      state_.named_weights().SupersededBy(step.model, step.engine->weights.at(step.model));
  if (!naming) return std::nullopt;
  if (naming->assumed && now - started_ < options_.assumed_age_grace) return std::nullopt;
  return naming->at + state_.limits().older_weights;
}

}  // namespace ridgehold
