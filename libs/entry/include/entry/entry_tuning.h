// Settings of an entry instance that the platform does not provide.

#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "gateway/admission.h"
#include "gateway/backend_prober.h"
#include "gateway/placement.h"
#include "gateway/poison_detector.h"
#include "groups/group_size.h"
#include "performance/performance_options.h"
#include "priority/urgency.h"

namespace ridgehold {

/// Settings that do not come from the platform: those that TuningOptions reads, and fixed timings.
struct EntryTuning {
  PlacementCosts placement;
  /// Time until a call without a response head is tried elsewhere, in latency objectives.
  double call_timeout_objectives = 3;
  /// The same for streaming calls, also in latency objectives.
  double stream_timeout_objectives = 8;
  AdmissionOptions admission;
  /// See GatewayLimits::strict_pause.
  std::uint32_t strict_pause_ms = 0;
  PerformanceOptions performance;
  PriorityOptions priority;
  GroupLimits groups;
  /// See GatewayLimits::memory_enabled.
  bool memory_enabled = true;
  PoisonOptions poison;
  BackendProber::Options probing;
  /// Connections to backend servers go to this IP address, at the port of the backend server;
  /// empty: to the backend server itself.
  std::string egress_address;
  /// Whether running requests are aborted for a weights load only while the retry budget allows.
  bool preserve_retry_budget = true;
  /// Whether concurrent loads are limited to as many as help, judged by measured load durations.
  bool limit_by_measured_loads = true;
  /// Minimum drain time of an engine, used when all engines are busy.
  std::uint32_t min_drain_ms = 300;
  /// Placement adds no cost for older weights for this long after newer ones were announced.
  std::uint32_t older_weights_grace_ms = 1'000;
  /// At most one of this many engines loads weights at a time: the platform slows loads down when
  /// more than a fifth of the engines load.
  std::uint32_t engines_per_load = 5;

  /// In fleets of up to this many gateways, each placed request is broadcast to all of them. In
  /// larger fleets only the gateways that track the backend server are notified and queried.
  std::uint32_t max_broadcast_peers = 32;

  /// A call to the store takes 4 ms, and 0.4 s when the store is slow.
  std::chrono::milliseconds store_call_timeout{1'000};
  std::chrono::milliseconds control_call_timeout{800};
  /// Subtracted from the time for which API keys may be trusted, to allow for messages in transit.
  std::chrono::milliseconds key_trust_margin{300};
  /// The instance becomes unready when the configuration has not been confirmed for this fraction
  /// of the time for which API keys may be trusted, so that the balancer moves traffic away before
  /// requests must be refused.
  double ready_fraction = 0.6;
  std::chrono::milliseconds rollout_lease_ttl{2'000};
  /// Instances apply for a free lease in the order of their names, each this long after the
  /// previous one. Longer than acquiring the lease takes.
  std::chrono::milliseconds election_stagger{250};
  /// Above this rank instances apply in groups, in case those before them are partitioned off; see
  /// ElectionStagger.
  std::size_t max_election_rank = 6;
  /// See QuotaTolerance.
  double quota_tolerance_fraction = QuotaTolerance().granted_fraction;
  /// See LimitTolerance.
  double limit_tolerance_fraction = LimitTolerance().used_fraction;
  /// A quota lease holder that cannot reach the store keeps granting for 0.8 of this. API keys are
  /// trusted for less time without the store, so a store outage alone does not stop quota grants.
  /// When a holder crashes, its zone's share is unavailable for this long; the other zones' shares
  /// suffice for workspaces that use up to three quarters of their quotas.
  std::chrono::milliseconds quota_lease_ttl{8'000};
  /// Interval at which an instance checks whether it may take back the share that its previous
  /// process held. Until then a fleet that starts all at once serves no workspace with a quota.
  std::chrono::milliseconds quota_poll_interval{50};
  /// Renewals of membership keys are most of the store calls in a large fleet. Three renewals in
  /// 15 s tolerate the loss of two. An instance that crashes is still counted as a member for 10 to
  /// 15 s, which reduces the other instances' shares of the retry budget for as long.
  std::chrono::milliseconds member_ttl{15'000};
  int member_renewals_per_ttl = 3;
  /// A watch without changes returns after this. One gateway watches the store for all others,
  /// whose copies may be at most 1 s old; the difference leaves time for two hops.
  std::chrono::milliseconds watch_timeout{700};
  /// After the first listing, an instance waits this long for a relay before it watches the store
  /// itself. Otherwise every instance of a fleet that starts all at once would watch the store.
  std::chrono::milliseconds relay_wait{500};
  std::chrono::milliseconds housekeeping_interval{500};
  /// The balancer checks readiness once per second and needs two failures. Requests that come
  /// later are refused, so that none is aborted at the end of the shutdown.
  std::chrono::milliseconds lame_duck{2'600};
  /// Maximum time in which an engine completes a load that it was ordered to do.
  std::chrono::milliseconds max_load_time{1'500};
  /// Requests still waiting when this much of the shutdown time remains are answered at that point:
  /// a gateway on a throttled core is stalled for up to 100 ms, the deadline is checked every
  /// 100 ms, and the response takes a few ms to reach the caller.
  std::chrono::milliseconds final_response_margin{300};
  /// How long a connection stays open during a shutdown after a response that did not announce its
  /// end: a client may be sending its next request, which is then refused as not run.
  std::chrono::milliseconds final_request_time{1'000};
  /// Time between the end of the shutdown and the moment when the process is killed.
  std::chrono::milliseconds shutdown_margin{700};
  /// Requests stop starting on older weights this long before the limit: closing a connection takes
  /// a few ms to reach the engine, a gateway on a throttled core is stalled for up to 100 ms, and
  /// an engine checks its connections after each step of 75 ms.
  std::chrono::milliseconds weights_margin{400};
  /// After a start, the time at which the current weights were announced is unknown; requests may
  /// then start on older weights for this long, less `weights_margin`. Peers provide the time
  /// within 0.5 s, and a resumed rollout brings the first engines up to date within 2 s.
  std::chrono::milliseconds unknown_weights_grace{3'000};
};

}  // namespace ridgehold
