// A request rate in thousandths of a request per second.

#pragma once

#include <algorithm>
#include <cmath>
#include <compare>
#include <cstdint>
#include <optional>

namespace ridgehold {

/// A request rate with a fixed resolution of 1/1000 request per second, so that all instances that
/// receive a rate use the same value.
class RequestRate {
 public:
  static constexpr std::uint32_t kThousandthsPerRequest = 1'000;

  constexpr RequestRate() = default;
  static constexpr RequestRate FromThousandths(std::uint32_t thousandths) {
    return RequestRate(thousandths);
  }

  /// Returns nullopt for a negative or non-finite value. Larger values than the type can represent
  /// are clamped to its maximum, which is no effective limit.
  static std::optional<RequestRate> FromPerSecond(double per_second) {
    if (!std::isfinite(per_second) || per_second < 0) return std::nullopt;
    constexpr double kMaxUnits = 4'000'000'000;
    return RequestRate(static_cast<std::uint32_t>(
        std::min(kMaxUnits, std::floor(per_second * kThousandthsPerRequest))));
  }

  constexpr std::uint32_t thousandths() const { return thousandths_; }
  constexpr double per_second() const {
    return static_cast<double>(thousandths_) / kThousandthsPerRequest;
  }

  constexpr auto operator<=>(const RequestRate&) const = default;

 private:
  explicit constexpr RequestRate(std::uint32_t thousandths) : thousandths_(thousandths) {}

  std::uint32_t thousandths_ = 0;
};

}  // namespace ridgehold
