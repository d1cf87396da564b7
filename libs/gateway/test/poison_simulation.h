// Virtual-time simulation of requests, gateways and failing servers for tests of poison request
// detection.

#pragma once

#include <cstdint>
#include <string_view>

#include "gateway/poison_detector.h"

namespace ridgehold::test {

/// Cause of server crashes other than poison requests.
enum class CrashPattern : std::uint8_t {
  kNone,
  kIndependent,  ///< independent, each server every 30 s on average
  kRelease,      ///< rolling release without draining, one server or several at a time
  kCascade,      ///< all servers sequentially at intervals of 0.5 s, twice
  kZoneLost,     ///< a third of them simultaneously, twice
  kFlapping,     ///< a quarter of them, each every 4 s on average
};

std::string_view NameOf(CrashPattern pattern);

struct SimulationConfig {
  int servers = 9;
  CrashPattern pattern = CrashPattern::kNone;
  /// Number of distinct requests that crash each server that starts them; three concurrent copies
  /// of each are sent every second for 15 s.
  int poison_requests = 0;
  PoisonOptions rule;
  std::uint64_t seed = 1;
};

struct SimulationResult {
  std::uint64_t innocent = 0;            ///< innocent requests, without retries
  std::uint64_t rejected = 0;            ///< of these, rejected as poison while a server is alive
  std::uint64_t rejected_in_outage = 0;  ///< of these, rejected as poison while no server is alive
  std::uint64_t crashes = 0;             ///< server crashes for any reason
  std::uint64_t max_crashes_by_one = 0;  ///< maximum number of crashes by one poison request
};

/// Simulates one minute with eight gateways, which receive each other's crash reports after 6 ms.
/// Requests run for 0.7 s on average, eight at a server; a tenth of them have one of five contents
/// that many clients send. Each is sent to at most two servers, and its client tries twice.
SimulationResult RunSimulation(const SimulationConfig& config);

}  // namespace ridgehold::test
