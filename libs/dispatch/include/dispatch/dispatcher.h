// What the sessions of a daemon share: router, HTTP client, limits, retry budget.

#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>

#include "admission/retry_budget.h"
#include "base/ids.h"

namespace ridgehold {

class HttpClient;
class Metrics;
class Router;

/// Limits for sessions, out of the settings.
struct DispatchLimits {
  std::chrono::milliseconds first_token_deadline{2'000};
  std::chrono::seconds stall_timeout{20};
  std::chrono::milliseconds service_timeout{30'000};
  std::uint64_t stream_buffer_bytes = std::uint64_t{256} << 10;
  std::uint32_t max_tries = 3;
  std::uint32_t retry_budget_percent = 10;
};

/// Thread-safe. Everything referred to outlives it.
class Dispatcher {
 public:
  Dispatcher(Router& router, HttpClient& client, Metrics& metrics, const DispatchLimits& limits)
      : router_(router),
        client_(client),
        metrics_(metrics),
        limits_(limits),
        retries_(limits.retry_budget_percent) {}

  Router& router() { return router_; }
  HttpClient& client() { return client_; }
  Metrics& metrics() { return metrics_; }
  const DispatchLimits& limits() const { return limits_; }

  /// A request's first try.
  void EarnRetry() {
    const std::lock_guard lock(mutex_);
    retries_.Earn();
  }

  /// Returns whether one more try may be made.
  bool SpendRetry() {
    const std::lock_guard lock(mutex_);
    return retries_.Spend();
  }

 private:
  Router& router_;
  HttpClient& client_;
  Metrics& metrics_;
  DispatchLimits limits_;
  std::mutex mutex_;
  RetryBudget retries_;  // guarded by mutex_
};

}  // namespace ridgehold
