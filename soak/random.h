// Random choices that a seed determines.

#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace ridgehold::soak {

/// Draws choices; the same seed gives the same sequence.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  /// A number from `low` to `high`, both included.
  int Between(int low, int high) { return std::uniform_int_distribution<>(low, high)(engine_); }

  std::chrono::milliseconds Milliseconds(int low, int high) {
    return std::chrono::milliseconds(Between(low, high));
  }

  bool Chance(double part) { return std::uniform_real_distribution<>(0, 1)(engine_) < part; }

  /// A generator of its own, so that one user's draws do not move another's.
  Random Fork() { return Random(engine_()); }

 private:
  std::mt19937_64 engine_;
};

}  // namespace ridgehold::soak
