// Wakes up coroutines when something was updated.

#pragma once

#include <memory>
#include <utility>
#include <vector>

#include "net/timer.h"
#include "net/wait.h"

namespace ridgehold {

/// Runs on one executor.
class UpdateSignal {
 public:
  explicit UpdateSignal(net::any_io_executor executor) : executor_(std::move(executor)) {}

  /// Waits for the next Notify(), at most until `limit`.
  net::awaitable<void> WaitUntil(TimePoint limit) {
    const auto timer = std::make_shared<Timer>(executor_);
    waiting_.push_back(timer);
    co_await ridgehold::WaitUntil(*timer, limit);
  }

  void Notify() {
    for (const auto& timer : std::exchange(waiting_, {})) timer->cancel();
  }

 private:
  net::any_io_executor executor_;
  std::vector<std::shared_ptr<Timer>> waiting_;  ///< includes those whose wait has ended
};

}  // namespace ridgehold
