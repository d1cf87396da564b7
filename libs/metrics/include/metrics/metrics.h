// Counters, gauges and latency quantiles of one process, as Prometheus text.

#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace ridgehold {

/// A number that only grows.
class Counter {
 public:
  void Add(std::uint64_t amount = 1) { value_.fetch_add(amount, std::memory_order_relaxed); }
  std::uint64_t value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

/// Quantiles of seconds or counts, estimated by Boost.Accumulators.
class Summary {
 public:
  Summary();
  ~Summary();

  void Observe(double value);

  /// Appends the Prometheus lines of this summary.
  void Print(const std::string& name, const std::string& labels, std::string& out) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// All metrics of a process. Objects live as long as the registry.
class Metrics {
 public:
  /// Returns the counter of this name; `labels` such as `kind="get"`.
  Counter& GetCounter(const std::string& name, const std::string& labels = "");

  /// Returns the summary of this name.
  Summary& GetSummary(const std::string& name, const std::string& labels = "");

  /// Sets a gauge.
  void SetGauge(const std::string& name, const std::string& labels, double value);

  /// Prometheus' text exposition of everything.
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
