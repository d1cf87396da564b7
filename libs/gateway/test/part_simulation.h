// Virtual-time simulation of generation requests, gateways and engines that a prompt part crashes.

#pragma once

#include <chrono>
#include <cstdint>

#include "crash/part_attribution.h"
#include "poison_simulation.h"

namespace ridgehold::test {

struct PartSimulationConfig {
  int servers = 9;
  int gateways = 8;
  CrashPattern pattern = CrashPattern::kNone;
  /// Requests per second with a part that crashes each engine which begins an answer to it; no two
  /// of them are alike. 0: none.
  double crash_requests_per_s = 0;
  /// Whether the part was sound, and used as often, for the first 20 s; else it appears then.
  bool was_sound = false;
  /// Whether each of these requests has the same subject, so that this is suspected as well.
  bool same_subject = false;
  /// Number of workspaces that send such requests.
  int crash_workspaces = 3;
  AttributionOptions rule;
  std::uint64_t seed = 1;
};

struct PartSimulationResult {
  std::uint64_t sound = 0;            ///< sound requests, without retries
  std::uint64_t rejected = 0;         ///< of these, rejected because of a quarantine
  std::uint64_t crashes = 0;          ///< engine crashes for any reason
  std::uint64_t part_crashes = 0;     ///< of these, by the part
  std::uint64_t late_sends = 0;       ///< sent later than 3 s after the fifth crash by the part
  std::uint64_t false_verdicts = 0;   ///< sound parts quarantined, at any gateway
  std::uint64_t siblings_late = 0;    ///< sound requests of the same first part after 6 s
  std::uint64_t siblings_served = 0;  ///< of these, served at the first attempt
  bool identified = false;            ///< the part is quarantined at all gateways at the end
};

/// Simulates 40 s. Requests arrive at 7 per second and engine, in two classes with a first part of
/// their own, 40 subjects each, and eight workspaces; an answer begins after 15 to 200 ms. Gateways
/// receive each other's updates after 6 ms and prove crashes after 20 to 85 ms. A crashed engine is
/// replaced after 3 s.
PartSimulationResult RunPartSimulation(const PartSimulationConfig& config);

}  // namespace ridgehold::test
