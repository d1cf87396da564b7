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
#include <set>
#include <string>
#include <utility>

#include "control/backend_control.h"
#include "control/held_key.h"
#include "control/rollout_plan.h"
#include "gateway/gateway_state.h"
#include "log/log.h"

namespace ridgehold {

/// Orders engines only while it certainly holds the duty's key, and not before
/// the former holder's last order is `separation` old. Judges by what engines
/// report, never by what was ordered. Runs on one executor.
template <BackendControl Control, StateStore Store>
class Rollout {
 public:
  struct Options {
    DaemonId self;
    std::chrono::milliseconds separation{3'000};
    /// One engine of so many loads at a time.
    std::uint32_t engines_for_each_load = 5;
    /// Between looks for work.
    std::chrono::milliseconds look{50};
    /// Between looks at an engine that is loading, and when the first is due.
    std::chrono::milliseconds poll{100};
    /// A load takes 0.76 s or more on the platform's sites.
    std::chrono::milliseconds first_poll{600};
    /// A load that has not shown by then is planned again.
    std::chrono::milliseconds patience{6'000};
    /// Gateways need so long to hear that an engine is held.
    std::chrono::milliseconds hold_spreads{80};
    /// Requests that cannot be resumed elsewhere get so long to end.
    std::chrono::milliseconds longest_drain{1'500};
    /// Engines are held at most so long at once, in case this gateway ends.
    std::chrono::milliseconds hold{4'000};
  };

  Rollout(Control& control, HeldKey<Store>& duty, GatewayState& state, Options options)
      : control_(control),
        duty_(duty),
        state_(state),
        options_(std::move(options)),
        timer_(state.executor()) {}

  net::awaitable<void> Run() {
    while (!stopped_) {
      NoteMayOrder(MayOrder(Clock::now()));
      if (may_order_) StartSteps();
      co_await Wait(timer_, options_.look);
    }
  }

  void Stop() {
    stopped_ = true;
    timer_.cancel();
  }

  /// Whether no engine is being brought up.
  bool idle() const { return begun_.empty(); }

  /// Whether nothing is left to do for now.
  bool finished() const {
    return idle() && NextSteps(state_.directory(), state_.named_weights(), begun_, 0,
                               options_.engines_for_each_load)
                         .empty();
  }

 private:
  /// What one engine's step took, for its line in the log.
  struct StepTimes {
    TimePoint held{};
    std::optional<TimePoint> emptied;
    std::optional<TimePoint> ordered;
    std::uint32_t left_to_end = 0;  ///< runs there that could not be resumed, when it was ordered
    const char* outcome = "given_up";
  };

  void NoteMayOrder(bool may_order) {
    if (std::exchange(may_order_, may_order) == may_order) return;
    Log(LogLevel::kInfo, may_order ? "rollout may order" : "rollout may not order",
        {{"fencing", std::to_string(duty_.fencing())},
         {"held_for_ms", Milliseconds(Clock::now() - duty_.held_since())},
         {"separation_ms", std::to_string(options_.separation.count())}});
  }

  bool MayOrder(TimePoint now) const {
    return !stopped_ && duty_.Held(now) && now - duty_.held_since() >= options_.separation;
  }

  void StartSteps() {
    const auto steps = NextSteps(state_.directory(), state_.named_weights(), begun_, LoadsEnding(),
                                 options_.engines_for_each_load);
    for (const RolloutStep& step : steps) {
      begun_.insert(step.engine->entry.id);
      net::co_spawn(state_.executor(), BringUp(step), net::detached);
    }
  }

  /// Loads that will end before another engine is emptied.
  std::size_t LoadsEnding() const {
    const TimePoint now = Clock::now();
    return static_cast<std::size_t>(std::ranges::count_if(
        load_begun_, [&](const auto& load) { return now - load.second >= options_.first_poll; }));
  }

  /// Empties one engine, orders it, and waits until it reports the weights.
  net::awaitable<void> BringUp(RolloutStep step) {
    const BackendId id = step.engine->entry.id;
    net::steady_timer timer(state_.executor());
    StepTimes times;
    times.held = Clock::now();
    state_.Hold(*step.engine, options_.hold, times.held);
    co_await Drain(step, timer);
    times.emptied = Clock::now();
    load_begun_[id] = *times.emptied;
    co_await Load(step, timer, times);
    LogStep(step, times);
    load_begun_.erase(id);
    state_.Hold(*step.engine, std::chrono::milliseconds(0), Clock::now());
    begun_.erase(id);
  }

  /// Waits until only requests run there that can be resumed elsewhere, and
  /// until a load of another engine has ended where too many run.
  net::awaitable<void> Drain(const RolloutStep& step, net::steady_timer& timer) {
    const TimePoint begun = Clock::now();
    bool empty = false;
    while (!empty && !stopped_ && Clock::now() - begun < options_.longest_drain) {
      co_await Wait(timer, options_.hold_spreads);
      empty = Unrepeatable(step) == 0;
    }
    const std::uint32_t at_once =
        LoadsAtOnce(state_.directory(), step.engine->entry.service, options_.engines_for_each_load);
    while (load_begun_.size() >= at_once && !stopped_) co_await Wait(timer, options_.look);
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
        break;
      }
      if (TakeReport(step, *report, ordered)) {
        times.outcome = "loaded";
        break;
      }
      std::chrono::milliseconds pause = options_.poll;
      if (!ordered && !report->busy) {
        ordered = co_await Order(step, *report, times);
        if (ordered) pause = options_.first_poll;
      }
      co_await Wait(timer, pause);
    }
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
    load.mode = Unrepeatable(step) == 0 ? ReloadMode::kBreakRuns : ReloadMode::kFinishRuns;
    load.expected_orders_taken = report.orders_taken;
    // The report took time; the duty may be gone by now.
    if (!MayOrder(Clock::now())) co_return std::nullopt;
    times.ordered = Clock::now();
    times.left_to_end = Unrepeatable(step);
    const OrderOutcome outcome = co_await control_.Load(step.engine->entry, load);
    Log(LogLevel::kInfo, "ordered weights",
        {{"backend", step.engine->entry.id.value()},
         {"model", load.model.value()},
         {"weights", std::to_string(load.number.value())},
         {"fencing", std::to_string(load.fencing)},
         {"mode", std::to_string(static_cast<int>(load.mode))},
         {"orders_taken", std::to_string(load.expected_orders_taken)},
         {"outcome", std::to_string(static_cast<int>(outcome))}});
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
                        {"ms", Milliseconds(now - times.held)}};
    if (times.emptied) fields.push_back({"drain_ms", Milliseconds(*times.emptied - times.held)});
    if (times.ordered) {
      fields.push_back({"load_ms", Milliseconds(now - *times.ordered)});
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
        .Observe(std::chrono::duration<double>(now - times.held).count());
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
  std::set<BackendId> begun_;
  std::map<BackendId, TimePoint> load_begun_;
  bool may_order_ = false;
  bool stopped_ = false;
};

}  // namespace ridgehold
