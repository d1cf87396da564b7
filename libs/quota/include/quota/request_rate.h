// Requests a second, in thousandths.

#pragma once

#include <algorithm>
#include <cmath>
#include <compare>
#include <cstdint>
#include <optional>

namespace ridgehold {

/// How many requests a second somebody takes. Whole thousandths, so that all instances
/// that hear of a rate have the same.
class RequestRate {
 public:
  static constexpr std::uint32_t kThousandths = 1'000;

  constexpr RequestRate() = default;
  static constexpr RequestRate OfThousandths(std::uint32_t thousandths) {
    return RequestRate(thousandths);
  }

  /// Nothing for what is no rate: negative, not finite. Beyond what fits it is the most
  /// that does, which limits nobody.
  static std::optional<RequestRate> Of(double per_second) {
    if (!std::isfinite(per_second) || per_second < 0) return std::nullopt;
    constexpr double kMost = 4'000'000'000;
    return RequestRate(
        static_cast<std::uint32_t>(std::min(kMost, std::floor(per_second * kThousandths))));
  }

  constexpr std::uint32_t thousandths() const { return thousandths_; }
  constexpr double per_second() const { return static_cast<double>(thousandths_) / kThousandths; }

  constexpr auto operator<=>(const RequestRate&) const = default;

 private:
  explicit constexpr RequestRate(std::uint32_t thousandths) : thousandths_(thousandths) {}

  std::uint32_t thousandths_ = 0;
};

}  // namespace ridgehold
