// Settings of an entry instance's own, as the product's settings file has them.

#pragma once

#include <chrono>
#include <cstdint>

#include "gateway/admission.h"
#include "gateway/backend_prober.h"
#include "gateway/placement.h"
#include "gateway/poison_detector.h"

namespace ridgehold {

/// Settings of an entry instance's own, as the product's settings file has them.
struct EntryTuning {
  PlacementCosts placement;
  /// Waiting this many latency objectives for an answer's head is enough.
  double call_patience = 3;
  double stream_patience = 8;
  AdmissionRule admission;
  PoisonRule poison;
  BackendProber::Options probing;
  bool spare_retries = true;
  bool observe_loads = true;
  /// How long engines are emptied at least when all are busy.
  std::uint32_t shortest_drain_ms = 300;
  std::uint32_t older_weights_free_ms = 1'000;
  /// One engine of so many loads weights at a time; the platform slows loads
  /// down beyond a fifth of them.
  std::uint32_t engines_for_each_load = 5;

  /// Gateways that tell each other of every request; in larger fleets those that
  /// track a backend server are told and asked.
  std::uint32_t most_told = 32;

  /// A call to the store takes 4 ms, and 0.4 s when the store is slow.
  std::chrono::milliseconds store_call{1'000};
  std::chrono::milliseconds control_call{800};
  /// Part of the trust in keys that is not used, for messages on their way.
  std::chrono::milliseconds key_margin{300};
  /// Not ready without news of the configuration for this part of the trust in
  /// keys: the balancer then takes others before requests must be refused.
  double ready_part = 0.6;
  std::chrono::milliseconds duty_ttl{2'000};
  /// The next by name applies for a free duty so much later, which is more than
  /// taking it takes; after so many turns all may, should those before be cut off.
  std::chrono::milliseconds duty_turn{250};
  std::size_t duty_turns = 6;
  /// See QuotaTolerance.
  double quota_tolerance_part = QuotaTolerance().granted_fraction;
  /// See LimitTolerance.
  double limit_tolerance_part = LimitTolerance().used_fraction;
  /// Holders of quotas act for 0.8 of it without the store: longer than keys are trusted
  /// without one, so a store that is away stops nothing by itself. An instance that ends
  /// takes a zone's share along for so long; the others are enough for workspaces that
  /// keep to three quarters of their quotas.
  std::chrono::milliseconds quota_ttl{8'000};
  /// How often an instance looks whether it may take its own share back: until it has,
  /// a fleet that starts together serves no workspace with a quota.
  std::chrono::milliseconds quota_look{50};
  /// Members' marks are most of the calls in a large fleet. Three renewals in 15 s
  /// bear two that are lost; an instance that dies is counted for 10 to 15 s, which
  /// makes the others' shares of the retries smaller by it for so long.
  std::chrono::milliseconds member_ttl{15'000};
  int member_renewals = 3;
  /// One gateway watches the store for all: an empty watch that is shorter than
  /// the second that a followed copy may be old leaves time for two hops.
  std::chrono::milliseconds watch{700};
  /// After the first listing a relay gets so long to show itself: a fleet that
  /// starts at once would else watch the store one by one.
  std::chrono::milliseconds relay_patience{500};
  std::chrono::milliseconds housekeeping{500};
  /// The balancer asks once a second and needs two misses. Requests that come
  /// later are refused, so that none is broken off at the end.
  std::chrono::milliseconds lame_duck{2'600};
  /// An engine that was ordered has loaded by then.
  std::chrono::milliseconds longest_load{1'500};
  /// Requests that wait so long before the end are answered then: a gateway on a
  /// capped core stands still for up to 100 ms, the end is looked for every
  /// 100 ms, and the answer needs a few ms to the caller.
  std::chrono::milliseconds last_answers{300};
  /// Left before the process is killed.
  std::chrono::milliseconds shutdown_margin{700};
  /// Requests must have begun on older weights so long before the limit: a
  /// close takes a few ms to the engine, a gateway on a capped core stands
  /// still for up to 100 ms, and an engine looks up after each step of 75 ms.
  std::chrono::milliseconds weights_margin{400};
  /// After a start, weights that were named at an unknown time let requests
  /// begin on older ones for so long, less the margin: peers tell the time
  /// within 0.5 s, and a rollout that is resumed brings up the first engines
  /// within 2 s.
  std::chrono::milliseconds unknown_weights_use{3'000};
};

}  // namespace ridgehold
