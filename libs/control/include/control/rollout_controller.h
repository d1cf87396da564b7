// The duty of bringing engines to the newest weights; one gateway at a time has it.

#pragma once

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
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

namespace ridgehold {

/// Orders engines only while it certainly holds the duty's key, and not before
/// the former holder's last order is old enough (LeasedKey). Judges by what
/// engines report, never by what was ordered. Counts its time from when the
/// weights were named, and hurries as their bound comes near. Runs on one
/// executor.
template <BackendControl Control, StateStore Store>
class RolloutController {
 public:
  using Options = RolloutOptions;

  RolloutController(Control& control, LeasedKey<Store>& duty, GatewayState& state, Options options)
      : control_(control),
        duty_(duty),
        state_(state),
        options_(std::move(options)),
        pace_(state, options_),
        timer_(state.executor()) {}

  net::awaitable<void> Run() {
    pace_.Start(Clock::now());
    while (!stopped_) {
      const TimePoint now = Clock::now();
      NoteMayOrder(duty_.MayAct(now));
      if (MayPrepare(now)) StartSteps(now);
      co_await WaitFor(timer_, options_.poll_interval);
    }
  }

  void Stop() {
    stopped_ = true;
    timer_.cancel();
  }

  /// Whether no engine is being brought up.
  bool idle() const { return steps_.empty(); }

  /// Whether nothing is left to do for now.
  bool finished() const { return idle() && Waiting(Clock::now()).empty(); }

 private:
  /// How far an engine is.
  struct StepState {
    TimePoint begun{};
    bool answered = false;          ///< it gave a report
    std::optional<TimePoint> turn;  ///< since when it is loading, or about to
  };

  void NoteMayOrder(bool may_order) {
    if (std::exchange(may_order_, may_order) == may_order) return;
    Log(LogLevel::kInfo, may_order ? "rollout may order" : "rollout may not order",
        {{"fencing", std::to_string(duty_.fencing_token())},
         {"key_held", duty_.IsHeld(Clock::now()) ? "yes" : "no"}});
  }

  bool OrderPrecondition(TimePoint now) const { return !stopped_ && duty_.MayAct(now); }

  /// Engines are emptied while the former holder's time runs out.
  bool MayPrepare(TimePoint now) const {
    return !stopped_ && duty_.IsHeld(now) && now >= duty_.active_from() - options_.max_drain;
  }

  void StartSteps(TimePoint now) {
    std::erase_if(left_alone_, [&](const auto& entry) { return now >= entry.second; });
    std::vector<RolloutStep> waiting = Waiting(now);
    const std::size_t turns = TurnsAt(now);
    const std::size_t taken = TurnsTaken(now);
    if (taken >= turns) return;
    waiting.resize(std::min(waiting.size(), turns - taken));
    for (const RolloutStep& step : waiting) {
      steps_[step.engine->entry.id].begun = now;
      net::co_spawn(state_.executor(), BringUp(step), net::detached);
    }
  }

  /// Engines to be brought up that nothing has been begun for.
  std::vector<RolloutStep> Waiting(TimePoint now) const {
    std::vector<RolloutStep> waiting = Answering(now);
    std::erase_if(waiting,
                  [&](const RolloutStep& step) { return steps_.contains(step.engine->entry.id); });
    return waiting;
  }

  /// Engines to be brought up, without those that gave no report lately.
  std::vector<RolloutStep> Answering(TimePoint now) const {
    std::vector<RolloutStep> engines = OutdatedEngines(state_.directory(), state_.named_weights());
    std::erase_if(engines, [&](const RolloutStep& step) {
      const auto found = left_alone_.find(step.engine->entry.id);
      return found != left_alone_.end() && now < found->second;
    });
    return engines;
  }

  /// A silent engine takes nobody's turn.
  std::size_t TurnsTaken(TimePoint now) const {
    return static_cast<std::size_t>(std::ranges::count_if(steps_, [&](const auto& entry) {
      return entry.second.answered || now - entry.second.begun < options_.prompt_status;
    }));
  }

  /// Engines that may be emptied or load at once.
  std::size_t TurnsAt(TimePoint now) const {
    return pace_.TurnsFor(Answering(now), now) + LoadsEnding(now);
  }

  std::size_t Answered() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(steps_, [](const auto& entry) { return entry.second.answered; }));
  }

  /// Loads that will end before another engine is emptied.
  std::size_t LoadsEnding(TimePoint now) const {
    return static_cast<std::size_t>(std::ranges::count_if(steps_, [&](const auto& entry) {
      return entry.second.turn && now - *entry.second.turn >= options_.first_load_poll;
    }));
  }

  std::size_t Loading() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        steps_, [](const auto& entry) { return entry.second.turn.has_value(); }));
  }

  /// Empties one engine, orders it, and waits until it reports the weights.
  net::awaitable<void> BringUp(RolloutStep step) {
    const BackendId id = step.engine->entry.id;
    Timer timer(state_.executor());
    StepTimes times;
    times.begun = Clock::now();
    const auto report = co_await AskReport(step);
    if (!report) {
      times.outcome = "no_report";
      LeaveAlone(step);
    } else if (TakeReport(step, *report, std::nullopt)) {
      times.outcome = "loaded";
    } else if (Answered() >= TurnsAt(Clock::now())) {
      // Its report was late and others have the turns. Held without one, it
      // would stand idle; the next look begins it again.
      steps_.erase(id);
      co_return;
    } else {
      steps_[id].answered = true;
      co_await EmptyAndLoad(step, timer, times);
    }
    LogRolloutStep(state_, step, times);
    steps_.erase(id);
  }

  /// A report of a later process at the address is none of this engine: that one
  /// counts its orders anew, and its registration is on the way.
  net::awaitable<std::optional<EngineStatus>> AskReport(const RolloutStep& step) {
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

  /// Brings what all gateways do at the engine up to date.
  net::awaitable<void> AskLoad(const RolloutStep& step) {
    if (!state_.asks_first()) co_return;
    LoadQuestion question;
    question.backends.push_back(step.engine);
    question.model = step.model;
    co_await state_.AskLoads(std::move(question));
  }

  net::awaitable<void> EmptyAndLoad(const RolloutStep& step, Timer& timer, StepTimes& times) {
    co_await Drain(step, timer);
    co_await AwaitTurn(step, timer);
    co_await AskLoad(step);
    times.emptied = Clock::now();
    steps_[step.engine->entry.id].turn = times.emptied;
    co_await Load(step, timer, times);
    state_.Hold(*step.engine, std::chrono::milliseconds(0), Clock::now());
  }

  /// Waits until only requests run there that can be resumed elsewhere, for a
  /// while.
  net::awaitable<void> Drain(const RolloutStep& step, Timer& timer) {
    const TimePoint begun = Clock::now();
    bool empty = false;
    while (!empty && !stopped_ && Clock::now() - begun < pace_.DrainTime(step, Clock::now())) {
      KeepHeld(step);
      co_await WaitFor(timer, options_.hold_propagation);
      co_await AskLoad(step);
      empty = RolloutPace::Unrepeatable(step) == 0;
    }
  }

  /// Waits until the holder may order, and a load of another engine has ended
  /// where too many run.
  net::awaitable<void> AwaitTurn(const RolloutStep& step, Timer& timer) {
    while (!stopped_ && duty_.IsHeld(Clock::now())) {
      const TimePoint now = Clock::now();
      if (OrderPrecondition(now) && Loading() < pace_.TurnsFor(Answering(now), now)) break;
      KeepHeld(step);
      co_await WaitFor(timer, options_.poll_interval);
    }
  }

  /// Holds are short, in case this gateway ends, so they are renewed.
  void KeepHeld(const RolloutStep& step) {
    const TimePoint now = Clock::now();
    if (step.engine->hold_until - now >= options_.hold_duration / 2) return;
    state_.Hold(*step.engine, options_.hold_duration, now);
  }

  void LeaveAlone(const RolloutStep& step) {
    const TimePoint now = Clock::now();
    left_alone_[step.engine->entry.id] = now + options_.unresponsive_backoff;
    // Its kept connections may have gone silent, and not the engine.
    state_.pool().Forget(step.engine->entry.address);
    BackendDirectory::NoteFailure(*step.engine, now);
  }

  net::awaitable<void> Load(const RolloutStep& step, Timer& timer, StepTimes& times) {
    const TimePoint give_up = Clock::now() + options_.load_timeout;
    std::optional<WeightsNumber> ordered;
    std::uint32_t concurrency = 0;
    while (Clock::now() < give_up && !stopped_ && !step.engine->removed) {
      const auto report = co_await AskReport(step);
      if (!report) {
        times.outcome = "no_report";
        LeaveAlone(step);
        break;
      }
      if (TakeReport(step, *report, ordered)) {
        times.outcome = "loaded";
        if (ordered) pace_.NoteLoad(concurrency, Since(*times.ordered));
        break;
      }
      if (!ordered && !OrderPrecondition(Clock::now())) {
        times.outcome = "duty_lost";
        break;
      }
      std::chrono::milliseconds pause = options_.load_poll_interval;
      if (!ordered && !report->busy) {
        ordered = co_await Order(step, *report, times);
        concurrency = static_cast<std::uint32_t>(Loading());
        if (ordered) pause = options_.first_load_poll;
      }
      KeepHeld(step);
      co_await WaitFor(timer, pause);
    }
  }

  /// Returns whether the engine has the weights it was ordered to load, or
  /// the newest. Newer ones named meanwhile are a step of their own.
  bool TakeReport(const RolloutStep& step, const EngineStatus& report,
                  std::optional<WeightsNumber> ordered) {
    const auto found = report.weights.find(step.model);
    const auto newest = state_.named_weights().Newest(step.model);
    if (found == report.weights.end() || !newest) return true;
    state_.NoteWeights(*step.engine, step.model, found->second);
    const bool there = found->second >= ordered.value_or(*newest);
    if (there) {
      Log(LogLevel::kInfo, "engine has ordered weights",
          {{"backend", step.engine->entry.id.value()},
           {"weights", std::to_string(found->second.value())}});
    }
    return there;
  }

  /// Returns the weights the engine loads now; nothing when it took no order.
  net::awaitable<std::optional<WeightsNumber>> Order(const RolloutStep& step,
                                                     const EngineStatus& report, StepTimes& times) {
    LoadOrder load;
    load.model = step.model;
    load.number = *state_.named_weights().Newest(step.model);
    load.holder = options_.self;
    load.fencing_token = duty_.fencing_token();
    load.mode = pace_.ModeFor(step, Clock::now());
    load.expected_orders_taken = report.orders_taken;
    times.ordered = Clock::now();
    times.left_to_end = RolloutPace::Unrepeatable(step);
    times.mode = load.mode;
    // Report and connection take time; the duty may be gone when both are there.
    const ridgehold::OrderPrecondition may_order = [this] {
      return OrderPrecondition(Clock::now());
    };
    const OrderOutcome outcome =
        co_await control_.SendLoadOrder(step.engine->entry, load, may_order);
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
    const bool taken = outcome == OrderOutcome::kStarted || outcome == OrderOutcome::kAlreadyLoaded;
    co_return taken ? std::optional(load.number) : std::nullopt;
  }

  static Duration Since(TimePoint moment) {
    return std::chrono::duration_cast<Duration>(Clock::now() - moment);
  }

  Control& control_;
  LeasedKey<Store>& duty_;
  GatewayState& state_;
  Options options_;
  RolloutPace pace_;
  Timer timer_;
  std::map<BackendId, StepState> steps_;
  std::map<BackendId, TimePoint> left_alone_;  ///< gave no report; until when
  bool may_order_ = false;
  bool stopped_ = false;
};

}  // namespace ridgehold
