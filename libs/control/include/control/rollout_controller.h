// Rolls out new weights to the engines. Only the instance that holds the rollout lock does so.

#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "control/backend_control.h"
#include "control/leased_key.h"
#include "control/rollout_options.h"
#include "control/rollout_pace.h"
#include "control/rollout_plan.h"
#include "control/rollout_step_log.h"
#include "gateway/gateway_state.h"
#include "log/log.h"
#include "net/wait.h"
#include "task/spawn.h"

namespace ridgehold {

/// Drains each engine with outdated weights and orders it to load the newest ones. Sends orders
/// only while it certainly holds the rollout lock and the handover delay after the previous holder
/// has passed (see LeasedKey). Tracks progress by the engines' reports, not by the orders that were
/// sent. The deadline is measured from the time at which the operator named the weights; the
/// concurrency rises as it approaches. Runs on one executor.
template <BackendControl Control, StateStore Store>
class RolloutController {
 public:
  using Options = RolloutOptions;

  RolloutController(Control& control, LeasedKey<Store>& lock, GatewayState& state, Options options)
      : control_(control),
        lock_(lock),
        state_(state),
        options_(std::move(options)),
        pace_(state, options_),
        timer_(state.executor()) {}

  net::awaitable<void> Run() {
    pace_.Start(Clock::now());
    while (!stopped_) {
      const TimePoint now = Clock::now();
      LogMayOrder(lock_.MayAct(now));
      if (MayDrain(now)) StartSteps(now);
      co_await WaitFor(timer_, options_.poll_interval);
    }
  }

  void Stop() {
    stopped_ = true;
    timer_.cancel();
  }

  /// Returns whether no step is in progress.
  bool idle() const { return steps_.empty(); }

  /// Returns whether no engine is left to update at present.
  bool finished() const { return idle() && PendingEngines(Clock::now()).empty(); }

 private:
  /// Progress of an engine's step.
  struct StepState {
    TimePoint start{};
    bool answered = false;                ///< it has reported its status
    std::optional<TimePoint> load_start;  ///< when its load was about to be ordered
  };

  void LogMayOrder(bool may_order) {
    if (std::exchange(may_order_, may_order) == may_order) return;
    Log(LogLevel::kInfo, may_order ? "rollout may order" : "rollout may not order",
        {{"fencing", std::to_string(lock_.fencing_token())},
         {"key_held", lock_.IsHeld(Clock::now()) ? "yes" : "no"}});
  }

  bool MayOrder(TimePoint now) const { return !stopped_ && lock_.MayAct(now); }

  /// Engines may drain during the handover delay, so that they are ready when it ends.
  bool MayDrain(TimePoint now) const {
    return !stopped_ && lock_.IsHeld(now) && now >= lock_.active_from() - options_.max_drain;
  }

  void StartSteps(TimePoint now) {
    std::erase_if(backed_off_, [&](const auto& entry) { return now >= entry.second; });
    std::vector<RolloutStep> pending = PendingEngines(now);
    const std::size_t limit = ConcurrencyAt(now);
    const std::size_t active = CountActiveSteps(now);
    if (active >= limit) return;
    pending.resize(std::min(pending.size(), limit - active));
    for (const RolloutStep& step : pending) {
      steps_[step.engine->entry.id].start = now;
      Spawn(state_.executor(), "rollout step", RunStep(step),
            [this, id = step.engine->entry.id] { steps_.erase(id); });
    }
  }

  /// Returns the outdated engines without a step in progress.
  std::vector<RolloutStep> PendingEngines(TimePoint now) const {
    std::vector<RolloutStep> pending = ResponsiveEngines(now);
    std::erase_if(pending,
                  [&](const RolloutStep& step) { return steps_.contains(step.engine->entry.id); });
    return pending;
  }

  /// Returns the outdated engines, except those in back-off because they recently gave no report.
  std::vector<RolloutStep> ResponsiveEngines(TimePoint now) const {
    std::vector<RolloutStep> engines = OutdatedEngines(state_.directory(), state_.named_weights());
    std::erase_if(engines, [&](const RolloutStep& step) {
      const auto found = backed_off_.find(step.engine->entry.id);
      return found != backed_off_.end() && now < found->second;
    });
    return engines;
  }

  /// Returns the number of steps that count against the concurrency limit. An engine that does not
  /// answer promptly is not counted.
  std::size_t CountActiveSteps(TimePoint now) const {
    return static_cast<std::size_t>(std::ranges::count_if(steps_, [&](const auto& entry) {
      return entry.second.answered || now - entry.second.start < options_.prompt_response_time;
    }));
  }

  /// Returns how many engines may drain or load concurrently.
  std::size_t ConcurrencyAt(TimePoint now) const {
    return pace_.Concurrency(ResponsiveEngines(now), now) + CountLoadsEnding(now);
  }

  std::size_t CountAnswered() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(steps_, [](const auto& entry) { return entry.second.answered; }));
  }

  /// Returns the number of loads that are expected to end before another engine has drained.
  std::size_t CountLoadsEnding(TimePoint now) const {
    return static_cast<std::size_t>(std::ranges::count_if(steps_, [&](const auto& entry) {
      return entry.second.load_start && now - *entry.second.load_start >= options_.first_load_poll;
    }));
  }

  std::size_t CountLoading() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        steps_, [](const auto& entry) { return entry.second.load_start.has_value(); }));
  }

  /// Drains one engine, sends the order, and waits until the engine reports the weights.
  net::awaitable<void> RunStep(RolloutStep step) {
    const BackendId id = step.engine->entry.id;
    Timer timer(state_.executor());
    StepTimes times;
    times.start = Clock::now();
    const auto report = co_await FetchReport(step);
    if (!report) {
      times.outcome = "no_report";
      BackOff(step);
    } else if (ApplyReport(step, *report, std::nullopt)) {
      times.outcome = "loaded";
    } else if (CountAnswered() >= ConcurrencyAt(Clock::now())) {
      // The report was late, and the steps of other engines have reached the concurrency limit
      // meanwhile. Holding requests back from this engine would only leave it idle; a later poll
      // starts its step again.
      steps_.erase(id);
      co_return;
    } else {
      steps_[id].answered = true;
      co_await DrainAndLoad(step, timer, times);
    }
    LogRolloutStep(state_, step, times);
    steps_.erase(id);
  }

  /// Fetches the engine's status. A report from a later process at the same address is discarded:
  /// that process counts its orders from zero, and its registration is about to arrive.
  net::awaitable<std::optional<EngineStatus>> FetchReport(const RolloutStep& step) {
    std::optional<EngineStatus> report = co_await control_.FetchStatus(step.engine->entry);
    const StartStamp known = step.engine->entry.started;
    const bool compared = report && known != StartStamp() && report->started != StartStamp();
    if (compared && report->started != known) {
      Log(LogLevel::kInfo, "report of another incarnation",
          {{"backend", step.engine->entry.id.value()},
           {"started", std::to_string(report->started.value())},
           {"known", std::to_string(known.value())}});
      report.reset();
    }
    co_return report;
  }

  /// Refreshes the number of requests that all instances have at the engine.
  net::awaitable<void> RefreshLoad(const RolloutStep& step) {
    if (!state_.queries_peers()) co_return;
    LoadQuestion question;
    question.backends.push_back(step.engine);
    question.model = step.model;
    co_await state_.QueryLoads(std::move(question));
  }

  net::awaitable<void> DrainAndLoad(const RolloutStep& step, Timer& timer, StepTimes& times) {
    co_await Drain(step, timer);
    co_await WaitForTurn(step, timer);
    co_await RefreshLoad(step);
    times.drained = Clock::now();
    steps_[step.engine->entry.id].load_start = times.drained;
    co_await Load(step, timer, times);
    state_.Hold(*step.engine, std::chrono::milliseconds(0), Clock::now());
  }

  /// Waits, for at most the drain time, until all requests at the engine can be resumed elsewhere.
  net::awaitable<void> Drain(const RolloutStep& step, Timer& timer) {
    const TimePoint start = Clock::now();
    bool drained = false;
    while (!drained && !stopped_ && Clock::now() - start < pace_.DrainTime(step, Clock::now())) {
      RenewHold(step);
      co_await WaitFor(timer, options_.hold_propagation);
      co_await RefreshLoad(step);
      drained = RolloutPace::Unrepeatable(step) == 0;
    }
  }

  /// Waits until orders may be sent and, at the concurrency limit, until the load of another engine
  /// has ended.
  net::awaitable<void> WaitForTurn(const RolloutStep& step, Timer& timer) {
    while (!stopped_ && lock_.IsHeld(Clock::now())) {
      const TimePoint now = Clock::now();
      if (MayOrder(now) && CountLoading() < pace_.Concurrency(ResponsiveEngines(now), now)) break;
      RenewHold(step);
      co_await WaitFor(timer, options_.poll_interval);
    }
  }

  /// Renews the hold, which keeps new requests away from the engine. Holds are short, so that they
  /// expire soon if this instance dies.
  void RenewHold(const RolloutStep& step) {
    const TimePoint now = Clock::now();
    if (step.engine->hold_until - now >= options_.hold_duration / 2) return;
    state_.Hold(*step.engine, options_.hold_duration, now);
  }

  void BackOff(const RolloutStep& step) {
    const TimePoint now = Clock::now();
    backed_off_[step.engine->entry.id] = now + options_.unresponsive_backoff;
    // Possibly only the pooled connections are unresponsive, and the engine accepts new ones.
    state_.pool().CloseIdle(step.engine->entry.address);
    state_.directory().RecordFailure(step.engine, now);
  }

  net::awaitable<void> Load(const RolloutStep& step, Timer& timer, StepTimes& times) {
    const TimePoint deadline = Clock::now() + options_.load_timeout;
    std::optional<WeightsNumber> ordered;
    std::uint32_t concurrency = 0;
    while (Clock::now() < deadline && !stopped_ && !step.engine->removed) {
      const auto report = co_await FetchReport(step);
      if (!report) {
        times.outcome = "no_report";
        BackOff(step);
        break;
      }
      if (ApplyReport(step, *report, ordered)) {
        times.outcome = "loaded";
        if (ordered) pace_.NoteLoad(concurrency, ElapsedSince(*times.ordered));
        break;
      }
      if (!ordered && !MayOrder(Clock::now())) {
        times.outcome = "duty_lost";
        break;
      }
      std::chrono::milliseconds pause = options_.load_poll_interval;
      if (!ordered && !report->busy) {
        ordered = co_await Order(step, *report, times);
        concurrency = static_cast<std::uint32_t>(CountLoading());
        if (ordered) pause = options_.first_load_poll;
      }
      RenewHold(step);
      co_await WaitFor(timer, pause);
    }
  }

  /// Returns whether the engine has the weights that it was ordered to load, or the newest ones if
  /// it was not ordered. Weights that were named in the meantime are loaded in a step of their own.
  bool ApplyReport(const RolloutStep& step, const EngineStatus& report,
                   std::optional<WeightsNumber> ordered) {
    const auto found = report.weights.find(step.model);
    const auto newest = state_.named_weights().Newest(step.model);
    if (found == report.weights.end() || !newest) return true;
    state_.NoteWeights(*step.engine, step.model, found->second);
    const bool loaded = found->second >= ordered.value_or(*newest);
    if (loaded) {
      Log(LogLevel::kInfo, "engine loaded weights",
          {{"backend", step.engine->entry.id.value()},
           {"weights", std::to_string(found->second.value())}});
    }
    return loaded;
  }

  /// Returns the weights that the engine is loading, or nullopt if it did not accept the order.
  net::awaitable<std::optional<WeightsNumber>> Order(const RolloutStep& step,
                                                     const EngineStatus& report, StepTimes& times) {
    LoadOrder load;
    load.model = step.model;
    load.number = *state_.named_weights().Newest(step.model);
    load.holder = options_.self;
    load.fencing_token = lock_.fencing_token();
    load.mode = pace_.ModeFor(step, Clock::now());
    load.expected_orders_taken = report.orders_taken;
    times.ordered = Clock::now();
    times.left_to_end = RolloutPace::Unrepeatable(step);
    times.mode = load.mode;
    // The lock can be lost while the report is fetched and the connection is made.
    const ridgehold::OrderPrecondition may_send = [this] { return MayOrder(Clock::now()); };
    const OrderOutcome outcome =
        co_await control_.SendLoadOrder(step.engine->entry, load, may_send);
    const std::string outcome_name(NameOf(outcome));
    Log(LogLevel::kInfo, "ordered weights",
        {{"backend", step.engine->entry.id.value()},
         {"model", load.model.value()},
         {"weights", std::to_string(load.number.value())},
         {"fencing", std::to_string(load.fencing_token)},
         {"mode", std::string(NameOf(load.mode))},
         {"orders_taken", std::to_string(load.expected_orders_taken)},
         {"outcome", outcome_name}});
    state_.metrics().GetCounter("ridgehold_weight_orders").Add();
    const bool accepted =
        outcome == OrderOutcome::kStarted || outcome == OrderOutcome::kAlreadyLoaded;
    co_return accepted ? std::optional(load.number) : std::nullopt;
  }

  static Duration ElapsedSince(TimePoint moment) {
    return std::chrono::duration_cast<Duration>(Clock::now() - moment);
  }

  Control& control_;
  LeasedKey<Store>& lock_;
  GatewayState& state_;
  Options options_;
  RolloutPace pace_;
  Timer timer_;
  std::map<BackendId, StepState> steps_;
  std::map<BackendId, TimePoint> backed_off_;  ///< end of the back-off after a missing report
  bool may_order_ = false;
  bool stopped_ = false;
};

}  // namespace ridgehold
