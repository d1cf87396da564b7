// The duty of bringing engines to the newest weights; one gateway at a time has it.

#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <map>
#include <optional>
#include <string>

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
    RolloutLimits limits;
    /// Between looks for work.
    std::chrono::milliseconds look{100};
    /// Between looks at an engine that is loading.
    std::chrono::milliseconds poll{200};
    /// A load that has not shown by then is ordered again.
    std::chrono::milliseconds patience{6'000};
  };

  Rollout(Control& control, HeldKey<Store>& duty, GatewayState& state, Options options)
      : control_(control),
        duty_(duty),
        state_(state),
        options_(std::move(options)),
        timer_(state.executor()) {}

  net::awaitable<void> Run() {
    while (!stopped_) {
      if (MayOrder(Clock::now())) StartSteps();
      co_await Wait(timer_, options_.look);
    }
  }

  void Stop() {
    stopped_ = true;
    timer_.cancel();
  }

  bool idle() const { return loading_.empty(); }

 private:
  bool MayOrder(TimePoint now) const {
    return !stopped_ && duty_.Held(now) && now - duty_.held_since() >= options_.separation;
  }

  void StartSteps() {
    const auto steps = NextSteps(state_.directory(), state_.named_weights(), loading_,
                                 options_.limits);
    for (const RolloutStep& step : steps) {
      loading_[step.engine->entry.id] = Clock::now();
      net::co_spawn(state_.executor(), BringUp(step), net::detached);
    }
  }

  /// Orders one engine and waits until it reports the weights.
  net::awaitable<void> BringUp(RolloutStep step) {
    const BackendId id = step.engine->entry.id;
    const TimePoint give_up = Clock::now() + options_.patience;
    std::optional<WeightsNumber> ordered;
    net::steady_timer timer(state_.executor());
    while (Clock::now() < give_up && !stopped_ && !step.engine->removed) {
      const auto report = co_await control_.Report(step.engine->entry);
      if (!report) break;
      if (TakeReport(step, *report, ordered)) break;
      if (!ordered && !report->busy) ordered = co_await Order(step, *report);
      co_await Wait(timer, options_.poll);
    }
    loading_.erase(id);
  }

  /// Returns whether the engine has the weights it was ordered to load, or
  /// the newest. Newer ones named meanwhile are a step of their own.
  bool TakeReport(const RolloutStep& step, const EngineReport& report,
                  std::optional<WeightsNumber> ordered) {
    const auto found = report.weights.find(step.model);
    const auto newest = state_.named_weights().Newest(step.model);
    if (found == report.weights.end() || !newest) return true;
    BackendDirectory::NoteWeights(*step.engine, step.model, found->second);
    const bool there = found->second >= ordered.value_or(*newest);
    if (there) {
      Log(LogLevel::kInfo, "engine has ordered weights",
          {{"backend", step.engine->entry.id.value()},
           {"weights", std::to_string(found->second.value())}});
    }
    return there;
  }

  /// Returns the weights the engine loads now; nothing when it took no order.
  net::awaitable<std::optional<WeightsNumber>> Order(const RolloutStep& step, const EngineReport& report) {
    WeightsLoad load;
    load.model = step.model;
    load.number = *state_.named_weights().Newest(step.model);
    load.holder = options_.self;
    load.fencing = duty_.fencing();
    load.expected_orders_taken = report.orders_taken;
    // The report took time; the duty may be gone by now.
    if (!MayOrder(Clock::now())) co_return std::nullopt;
    const OrderOutcome outcome = co_await control_.Load(step.engine->entry, load);
    Log(LogLevel::kInfo, "ordered weights",
        {{"backend", step.engine->entry.id.value()},
         {"model", load.model.value()},
         {"weights", std::to_string(load.number.value())},
         {"fencing", std::to_string(load.fencing)},
         {"orders_taken", std::to_string(load.expected_orders_taken)},
         {"outcome", std::to_string(static_cast<int>(outcome))}});
    state_.metrics().GetCounter("ridgehold_weight_orders").Add();
    const bool taken = outcome == OrderOutcome::kStarted || outcome == OrderOutcome::kAlreadyHolds;
    co_return taken ? std::optional(load.number) : std::nullopt;
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
  std::map<BackendId, TimePoint> loading_;
  bool stopped_ = false;
};

}  // namespace ridgehold
