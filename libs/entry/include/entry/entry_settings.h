// Settings that the platform gives to an entry instance.

#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"
#include "gateway/gateway_state.h"

namespace ridgehold {

/// Settings of one process on an entry instance.
struct EntrySettings {
  DaemonId daemon;
  ZoneId zone;
  /// All availability zones, this one included; each holds a share of every quota.
  std::vector<ZoneId> zones;
  ZoneTopology topology;              ///< the regions of these zones
  std::string caller_address;         ///< `address:port` of the listener for callers
  std::string ready_address;          ///< `address:port` of the balancer's readiness check
  std::string instance_address;       ///< without a port; for metrics and peers
  std::uint16_t first_peer_port = 0;  ///< first port reserved for traffic between instances
  /// Addresses of some other instances, without a port; may be out of date.
  std::vector<std::string> seed_addresses;
  std::string store_address;
  /// Shortest lease that the store grants.
  std::chrono::milliseconds min_lease_ttl{1'000};
  /// Conditional and other writing calls that the store takes from all instances together.
  double store_writes_per_second = 400;
  /// Reading calls that the store takes from all instances together.
  double store_reads_per_second = 2'000;
  /// Whether no process of the fleet has run before.
  bool first_start = false;
  std::uint32_t max_descriptors = 1'024;
  /// Memory that the process may use; empty: not stated.
  std::optional<std::uint64_t> memory_bytes;
  double cpu_share = 1;  ///< in cores

  /// An API key may be accepted this long after the configuration that removed it was stored.
  std::chrono::milliseconds max_revocation_delay{5'000};
  /// Whether requests are refused when the configuration has not been confirmed for that long,
  /// since their API keys may have been revoked.
  bool strict_revocation = false;
  /// Minimum time between the orders of two successive rollout lease holders.
  std::chrono::milliseconds lease_handover_delay{3'000};
  /// Requests may start on older weights for this long after newer ones were announced.
  std::chrono::milliseconds max_weights_staleness{10'000};
  /// Time from the shutdown signal until the process is killed.
  std::chrono::milliseconds shutdown_timeout{8'000};
  RetryBudgetLimits retries;
  QuotaTolerance quota_tolerance;
};

}  // namespace ridgehold
