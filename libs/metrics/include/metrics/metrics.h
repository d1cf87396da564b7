// A registry of counters, gauges and summaries, exported in the Prometheus text format.

#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace ridgehold {

/// A monotonically increasing counter. Thread-safe.
class Counter {
 public:
  void Add(std::uint64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

/// Streaming estimates of quantiles, by Boost.Accumulators, with count and sum. Thread-safe.
class Summary {
 public:
  Summary();
  ~Summary();

  void Observe(double value);

  /// Appends this summary to `out` in the Prometheus text format.
  void Print(const std::string& name, const std::string& labels, std::string& out) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// All metrics of a process. Returned references stay valid as long as the registry.
/// Thread-safe.
class Metrics {
 public:
  /// Returns the counter with this name and these labels, such as `kind="get"`; creates it if
  /// needed.
  Counter& GetCounter(const std::string& name, const std::string& labels = "");

  /// Returns the summary with this name and these labels; creates it if needed.
  Summary& GetSummary(const std::string& name, const std::string& labels = "");

  void SetGauge(const std::string& name, const std::string& labels, double value);

  /// Returns all metrics in the Prometheus text format.
  std::string Print() const;

 private:
  struct Key {
    std::string name;
    std::string labels;
    auto operator<=>(const Key&) const = default;
  };

  mutable std::mutex mutex_;
  std::map<Key, std::unique_ptr<Counter>> counters_;
  std::map<Key, std::unique_ptr<Summary>> summaries_;
  std::map<Key, double> gauges_;
};

}  // namespace ridgehold
