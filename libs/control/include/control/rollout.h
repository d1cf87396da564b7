// The duty of bringing engines to the newest weights; one gateway at a time has it.

#pragma once

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "control/backend_control.h"
#include "control/held_key.h"
#include "control/rollout_plan.h"
#include "gateway/gateway_state.h"
#include "log/log.h"

namespace ridgehold {

/// Orders engines only while it certainly holds the duty's key, and not before
/// the former holder's last order is old enough (HeldKey). Judges by what
/// engines report, never by what was ordered. Counts its time from when the
/// weights were named, and hurries as their bound comes near. Runs on one
/// executor.
template <BackendControl Control, StateStore Store>
class Rollout {
 public:
  struct Options {
    DaemonId self;
    /// One engine of so many loads at a time.
    std::uint32_t engines_for_each_load = 5;
    /// Between looks for work.
    std::chrono::milliseconds look{50};
    /// Between looks at an engine that is loading, and when the first is due.
    std::chrono::milliseconds poll{100};
    /// A load takes 0.76 s or more on the platform's sites.
    std::chrono::milliseconds first_poll{600};
    /// An order and the report that it is done, 1.05 s to 1.15 s on the
    /// platform's sites when no run has to end first.
    std::chrono::milliseconds load{1'150};
    /// A load that has not shown by then is planned again.
    std::chrono::milliseconds patience{6'000};
    /// Gateways need so long to hear that an engine is held.
    std::chrono::milliseconds hold_spreads{80};
    /// Requests that cannot be resumed elsewhere get so long to end.
    std::chrono::milliseconds longest_drain{1'500};
    /// Runs may end under an order only if that should take no longer, and only
    /// while there is time for the worst. It blocks the engine meanwhile:
    /// overloaded ones took 4.0 to 4.8 s, half of it for the last few runs.
    std::chrono::milliseconds expected_finish{1'000};
    std::chrono::milliseconds longest_finish{5'000};
    /// The last order is given so long before older weights are at their limit.
    std::chrono::milliseconds reserve{1'000};
    /// Engines are held at most so long at once, in case this gateway ends.
    std::chrono::milliseconds hold{4'000};
    /// An engine that is there answers within this; others give up their turn.
    std::chrono::milliseconds prompt_report{100};
    /// One that gave no report is left alone for so long.
    std::chrono::milliseconds silence{1'000};
    /// After a start the bound of weights that were named at an unknown time is
    /// left aside for so long, in which other gateways tell the time.
    std::chrono::milliseconds unknown_namings{1'000};
  };

  Rollout(Control& control, HeldKey<Store>& duty, GatewayState& state, Options options)
      : control_(control),
        duty_(duty),
        state_(state),
        options_(std::move(options)),
        timer_(state.executor()) {}

  net::awaitable<void> Run() {
    started_ = Clock::now();
    while (!stopped_) {
      const TimePoint now = Clock::now();
      NoteMayOrder(duty_.MayAct(now));
      if (MayPrepare(now)) StartSteps(now);
      co_await Wait(timer_, options_.look);
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

  /// What one engine's step took, for its line in the log.
  struct StepTimes {
    TimePoint begun{};
    std::optional<TimePoint> emptied;
    std::optional<TimePoint> ordered;
    ReloadMode mode = ReloadMode::kFinishRuns;
    std::uint32_t left_to_end = 0;  ///< runs there that could not be resumed, when it was ordered
    const char* outcome = "given_up";
  };

  void NoteMayOrder(bool may_order) {
    if (std::exchange(may_order_, may_order) == may_order) return;
    Log(LogLevel::kInfo, may_order ? "rollout may order" : "rollout may not order",
        {{"fencing", std::to_string(duty_.fencing())},
         {"key_held", duty_.Held(Clock::now()) ? "yes" : "no"}});
  }

  bool MayOrder(TimePoint now) const { return !stopped_ && duty_.MayAct(now); }

  /// Engines are emptied while the former holder's time runs out.
  bool MayPrepare(TimePoint now) const {
    return !stopped_ && duty_.Held(now) && now >= duty_.acts_from() - options_.longest_drain;
  }

  void StartSteps(TimePoint now) {
    std::erase_if(left_alone_, [&](const auto& entry) { return now >= entry.second; });
    std::vector<RolloutStep> waiting = Waiting(now);
    const std::size_t turns = TurnsAt(now) + LoadsEnding(now);
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
      return entry.second.answered || now - entry.second.begun < options_.prompt_report;
    }));
  }

  std::size_t Answered() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(steps_, [](const auto& entry) { return entry.second.answered; }));
  }

  /// Engines that load at once, more as the bound comes near: waiting for turns
  /// past it would keep requests on weights that are too old.
  std::uint32_t TurnsAt(TimePoint now) const {
    const std::vector<RolloutStep> engines = Answering(now);
    if (engines.empty()) return 1;
    const std::uint32_t usual = UsualLoadsAtOnce(
        state_.directory(), engines.front().engine->entry.service, options_.engines_for_each_load);
    std::vector<Duration> time_left;
    for (const RolloutStep& step : engines) {
      const auto bound = BoundOf(step, now);
      if (!bound) continue;
      time_left.push_back(std::chrono::duration_cast<Duration>(*bound - options_.reserve - now));
    }
    return LoadsAtOnce(usual, std::move(time_left), options_.load);
  }

  /// Until when requests may begin on the weights the engine has.
  std::optional<TimePoint> BoundOf(const RolloutStep& step, TimePoint now) const {
    const auto naming =
        state_.named_weights().OutdatedBy(step.model, step.engine->weights.at(step.model));
    if (!naming) return std::nullopt;
    if (naming->assumed && now - started_ < options_.unknown_namings) return std::nullopt;
    return naming->at + state_.limits().older_weights;
  }

  /// Loads that will end before another engine is emptied.
  std::size_t LoadsEnding(TimePoint now) const {
    return static_cast<std::size_t>(std::ranges::count_if(steps_, [&](const auto& entry) {
      return entry.second.turn && now - *entry.second.turn >= options_.first_poll;
    }));
  }

  std::size_t Loading() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        steps_, [](const auto& entry) { return entry.second.turn.has_value(); }));
  }

  /// Empties one engine, orders it, and waits until it reports the weights.
  net::awaitable<void> BringUp(RolloutStep step) {
    const BackendId id = step.engine->entry.id;
    net::steady_timer timer(state_.executor());
    StepTimes times;
    times.begun = Clock::now();
    const auto report = co_await control_.Report(step.engine->entry);
    if (!report) {
      times.outcome = "no_report";
      LeaveAlone(step);
    } else if (TakeReport(step, *report, std::nullopt)) {
      times.outcome = "loaded";
    } else if (Answered() >= TurnsAt(Clock::now()) + LoadsEnding(Clock::now())) {
      // Its report was late and others have the turns. Held without one, it
      // would stand idle; the next look begins it again.
      steps_.erase(id);
      co_return;
    } else {
      steps_[id].answered = true;
      co_await EmptyAndLoad(step, timer, times);
    }
    LogStep(step, times);
    steps_.erase(id);
  }

  net::awaitable<void> EmptyAndLoad(const RolloutStep& step, net::steady_timer& timer,
                                    StepTimes& times) {
    co_await Drain(step, timer);
    co_await AwaitTurn(step, timer);
    times.emptied = Clock::now();
    steps_[step.engine->entry.id].turn = times.emptied;
    co_await Load(step, timer, times);
    state_.Hold(*step.engine, std::chrono::milliseconds(0), Clock::now());
  }

  /// Waits until only requests run there that can be resumed elsewhere, for a
  /// while.
  net::awaitable<void> Drain(const RolloutStep& step, net::steady_timer& timer) {
    const TimePoint begun = Clock::now();
    bool empty = false;
    while (!empty && !stopped_ && Clock::now() - begun < DrainTime(step, Clock::now())) {
      KeepHeld(step);
      co_await Wait(timer, options_.hold_spreads);
      empty = Unrepeatable(step) == 0;
    }
  }

  /// As long as leaves the engine's order well before the bound.
  Duration DrainTime(const RolloutStep& step, TimePoint now) const {
    const auto bound = BoundOf(step, now);
    if (!bound) return options_.longest_drain;
    const auto spare = *bound - options_.reserve - options_.load - now;
    return std::clamp<Duration>(std::chrono::duration_cast<Duration>(spare), options_.hold_spreads,
                                options_.longest_drain);
  }

  /// Waits until the holder may order, and a load of another engine has ended
  /// where too many run.
  net::awaitable<void> AwaitTurn(const RolloutStep& step, net::steady_timer& timer) {
    while (!stopped_ && duty_.Held(Clock::now())) {
      const TimePoint now = Clock::now();
      if (MayOrder(now) && Loading() < TurnsAt(now)) break;
      KeepHeld(step);
      co_await Wait(timer, options_.look);
    }
  }

  /// Holds are short, in case this gateway ends, so they are renewed.
  void KeepHeld(const RolloutStep& step) {
    const TimePoint now = Clock::now();
    if (step.engine->hold_until - now >= options_.hold / 2) return;
    state_.Hold(*step.engine, options_.hold, now);
  }

  void LeaveAlone(const RolloutStep& step) {
    const TimePoint now = Clock::now();
    left_alone_[step.engine->entry.id] = now + options_.silence;
    // Its kept connections may have gone silent, and not the engine.
    state_.pool().Forget(step.engine->entry.address);
    BackendDirectory::NoteFailure(*step.engine, now);
  }

  static std::uint32_t Unrepeatable(const RolloutStep& step) {
    return step.engine->unrepeatable + step.engine->peers.unrepeatable;
  }

  net::awaitable<void> Load(const RolloutStep& step, net::steady_timer& timer, StepTimes& times) {
    const TimePoint give_up = Clock::now() + options_.patience;
    std::optional<WeightsNumber> ordered;
    while (Clock::now() < give_up && !stopped_ && !step.engine->removed) {
      const auto report = co_await control_.Report(step.engine->entry);
      if (!report) {
        times.outcome = "no_report";
        LeaveAlone(step);
        break;
      }
      if (TakeReport(step, *report, ordered)) {
        times.outcome = "loaded";
        break;
      }
      if (!ordered && !MayOrder(Clock::now())) {
        times.outcome = "duty_lost";
        break;
      }
      std::chrono::milliseconds pause = options_.poll;
      if (!ordered && !report->busy) {
        ordered = co_await Order(step, *report, times);
        if (ordered) pause = options_.first_poll;
      }
      KeepHeld(step);
      co_await Wait(timer, pause);
    }
  }

  /// What happens to the runs there: resumable ones are broken off and go on
  /// elsewhere; others end first if that is short and within the bound, else
  /// they go on under the new weights, so that no caller loses an answer.
  ReloadMode ModeFor(const RolloutStep& step, TimePoint now) const {
    if (Unrepeatable(step) == 0) return ReloadMode::kBreakRuns;
    const auto bound = BoundOf(step, now);
    const bool time_left = !bound || now + options_.longest_finish + options_.reserve < *bound;
    const bool short_runs = ExpectedFinish(step) <= options_.expected_finish;
    return time_left && short_runs ? ReloadMode::kFinishRuns : ReloadMode::kContinueRuns;
  }

  /// Until the prompts that were sent there are read; running text ends sooner.
  Duration ExpectedFinish(const RolloutStep& step) const {
    return BackendDirectory::ExpectedWait(*step.engine, state_.weights().prefill_tokens_per_ms,
                                          Clock::now());
  }

  /// Returns whether the engine has the weights it was ordered to load, or
  /// the newest. Newer ones named meanwhile are a step of their own.
  bool TakeReport(const RolloutStep& step, const EngineReport& report,
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
                                                     const EngineReport& report, StepTimes& times) {
    WeightsLoad load;
    load.model = step.model;
    load.number = *state_.named_weights().Newest(step.model);
    load.holder = options_.self;
    load.fencing = duty_.fencing();
    load.mode = ModeFor(step, Clock::now());
    load.expected_orders_taken = report.orders_taken;
    times.ordered = Clock::now();
    times.left_to_end = Unrepeatable(step);
    times.mode = load.mode;
    // Report and connection take time; the duty may be gone when both are there.
    const ridgehold::MayOrder may_order = [this] { return MayOrder(Clock::now()); };
    const OrderOutcome outcome = co_await control_.Load(step.engine->entry, load, may_order);
    Log(LogLevel::kInfo, "ordered weights",
        {{"backend", step.engine->entry.id.value()},
         {"model", load.model.value()},
         {"weights", std::to_string(load.number.value())},
         {"fencing", std::to_string(load.fencing)},
         {"mode", std::string(NameOf(load.mode))},
         {"orders_taken", std::to_string(load.expected_orders_taken)},
         {"outcome", std::string(NameOf(outcome))}});
    state_.metrics().GetCounter("ridgehold_weight_orders").Add();
    const bool taken = outcome == OrderOutcome::kStarted || outcome == OrderOutcome::kAlreadyHolds;
    co_return taken ? std::optional(load.number) : std::nullopt;
  }

  static std::string Milliseconds(Clock::duration duration) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
  }

  /// The times tell what held the engine up: runs that had to end before the
  /// order, a turn to load, or the load itself.
  void LogStep(const RolloutStep& step, const StepTimes& times) {
    const TimePoint now = Clock::now();
    LogFields fields = {{"backend", step.engine->entry.id.value()},
                        {"outcome", times.outcome},
                        {"ms", Milliseconds(now - times.begun)}};
    if (times.emptied) fields.push_back({"drain_ms", Milliseconds(*times.emptied - times.begun)});
    if (times.ordered) {
      fields.push_back({"load_ms", Milliseconds(now - *times.ordered)});
      fields.push_back({"mode", std::string(NameOf(times.mode))});
      fields.push_back({"left_to_end", std::to_string(times.left_to_end)});
    }
    if (const auto since = state_.named_weights().NewestSince(step.model)) {
      fields.push_back({"newest_age_ms", Milliseconds(now - *since)});
    }
    fields.push_back(
        {"running_there", std::to_string(step.engine->in_flight + step.engine->peers.running)});
    Log(LogLevel::kInfo, "rollout step", fields);
    state_.metrics()
        .GetSummary("ridgehold_rollout_step_seconds",
                    "outcome=\"" + std::string(times.outcome) + "\"")
        .Observe(std::chrono::duration<double>(now - times.begun).count());
  }

  static net::awaitable<void> Wait(net::steady_timer& timer, std::chrono::milliseconds time) {
    ErrorCode ignored;
    timer.expires_after(time);
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
  }

  Control& control_;
  HeldKey<Store>& duty_;
  GatewayState& state_;
  Options options_;
  net::steady_timer timer_;
  TimePoint started_{};
  std::map<BackendId, StepState> steps_;
  std::map<BackendId, TimePoint> left_alone_;  ///< gave no report; until when
  bool may_order_ = false;
  bool stopped_ = false;
};

}  // namespace ridgehold
