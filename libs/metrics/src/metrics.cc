#include "metrics/metrics.h"

// Boost.Accumulators 1.81 uses <sstream> without including it.
#include <sstream>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <string_view>

namespace ridgehold {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kQuantiles = {0.5, 0.95, 0.99};

using Accumulator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square_quantile>>;

std::string WithLabels(const std::string& name, const std::string& labels) {
  return labels.empty() ? name : name + "{" + labels + "}";
}

std::string JoinLabels(const std::string& labels, const std::string& more) {
  return labels.empty() ? more : labels + "," + more;
}

template <class Entries>
void PrintType(const Entries& entries, std::string_view type, std::string& out) {
  std::string_view last;
  for (const auto& [key, value] : entries) {
    if (key.name == last) continue;
    last = key.name;
    out += "# TYPE " + key.name + " " + std::string(type) + "\n";
  }
}

}  // namespace

struct Summary::Impl {
  mutable std::mutex mutex;
  Accumulator accumulator{acc::extended_p_square_probabilities = kQuantiles};
};

Summary::Summary() : impl_(std::make_unique<Impl>()) {}

Summary::~Summary() = default;

void Summary::Observe(double value) {
  const std::lock_guard lock(impl_->mutex);
  impl_->accumulator(value);
}

void Summary::Print(const std::string& name, const std::string& labels, std::string& out) const {
  const std::lock_guard lock(impl_->mutex);
  const auto count = acc::count(impl_->accumulator);
  for (const double quantile : kQuantiles) {
    // The P-square estimator is valid only with more samples than it has markers.
    if (count <= 2 * kQuantiles.size() + 3) break;
    const double value = acc::quantile(impl_->accumulator, acc::quantile_probability = quantile);
    const std::string label = "quantile=\"" + std::to_string(quantile).substr(0, 4) + "\"";
    out += WithLabels(name, JoinLabels(labels, label)) + " " + std::to_string(value) + "\n";
  }
  out +=
      WithLabels(name + "_sum", labels) + " " + std::to_string(acc::sum(impl_->accumulator)) + "\n";
  out += WithLabels(name + "_count", labels) + " " + std::to_string(count) + "\n";
}

Counter& Metrics::GetCounter(const std::string& name, const std::string& labels) {
  const std::lock_guard lock(mutex_);
  auto& slot = counters_[{name, labels}];
  if (!slot) slot = std::make_unique<Counter>();
  return *slot;
}

Summary& Metrics::GetSummary(const std::string& name, const std::string& labels) {
  const std::lock_guard lock(mutex_);
  auto& slot = summaries_[{name, labels}];
  if (!slot) slot = std::make_unique<Summary>();
  return *slot;
}

void Metrics::SetGauge(const std::string& name, const std::string& labels, double value) {
  const std::lock_guard lock(mutex_);
  gauges_[{name, labels}] = value;
}

std::string Metrics::Print() const {
  const std::lock_guard lock(mutex_);
  std::string out;
  PrintType(counters_, "counter", out);
  for (const auto& [key, counter] : counters_) {
    out += WithLabels(key.name, key.labels) + " " + std::to_string(counter->value()) + "\n";
  }
  PrintType(gauges_, "gauge", out);
  for (const auto& [key, value] : gauges_) {
    out += WithLabels(key.name, key.labels) + " " + std::to_string(value) + "\n";
  }
  PrintType(summaries_, "summary", out);
  for (const auto& [key, summary] : summaries_) summary->Print(key.name, key.labels, out);
  return out;
}

}  // namespace ridgehold
