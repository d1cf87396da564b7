// The backend servers known to a gateway: their registrations, load and health.

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "gateway/engine_cache.h"
#include "gateway/gateway_gossip.h"
#include "gateway/inbound_request.h"
#include "gateway/pushback_state.h"
#include "incarnation/connection_ends.h"
#include "incarnation/process_continuity.h"
#include "incarnation/process_statement.h"
#include "performance/engine_performance.h"
#include "performance/known_performance.h"
#include "registration/registered_process.h"
#include "rejection/room_estimate.h"

namespace ridgehold {

class OutboundConnection;

/// A backend server's registration. A restarted process may register under its previous id;
/// `started` then distinguishes the two.
struct BackendEntry {
  BackendId id;
  StartStamp started;
  ServiceId service;
  std::string address;
  ZoneId zone;
  ReleaseId release;
  std::uint32_t slots = 1;
  bool draining = false;
  std::chrono::milliseconds warm_up_left{0};
  std::map<ModelId, WeightsNumber> weights;
};

/// The load that other gateways last reported for a backend server.
struct PeerLoad {
  std::uint32_t running = 0;
  std::uint32_t unread_tokens = 0;
  std::uint32_t unrepeatable = 0;
  std::uint32_t uncovered = 0;  ///< could be resumed, but their retries are used up
  /// Tokens of KV cache that the requests hold, see RequestMemory.
  std::uint64_t memory_tokens = 0;
};

/// One backend server. Shared between the directory and the requests that run on it.
struct Backend {
  BackendEntry entry;
  std::map<ModelId, WeightsNumber> weights;  ///< highest version reported by any source
  std::optional<TimePoint> grace_until;      ///< registration lapsed; removed at this time
  bool removed = false;
  bool reachable = true;       ///< as of the last probe
  bool has_peer_path = false;  ///< unreachable here, but a peer last connected to it
  TimePoint peer_path_checked_at{};
  bool needs_probe = false;  ///< an attempt failed here, or a peer cannot reach it
  TimePoint probed_at{};
  bool probing = false;  ///< a probe is in flight
  RegisteredProcess process;
  /// Start of the process that last told it on a connection to the address; 0: none has.
  StartStamp answering_start;
  ProcessContinuity continuity;    ///< of a server that does not tell its start
  ConnectionEnds connection_ends;  ///< of direct ones of this gateway
  /// Direct ones of this gateway, see ConnectionUse.
  std::vector<OutboundConnection*> connections_in_use;
  bool superseded = false;      ///< another incarnation at its address has replaced it
  bool shares_address = false;  ///< others are registered at its address
  bool active = false;          ///< listed in BackendDirectory::Active()
  /// Member of its service's interactive group, see UpdateEngineGroup().
  bool in_interactive_group = false;

  std::uint32_t in_flight = 0;     ///< requests of this gateway
  std::uint32_t unrepeatable = 0;  ///< of these, requests that cannot be resumed elsewhere
  PeerLoad peers;                  ///< load from all other gateways, as far as known
  PeerLoad direct_peers;           ///< load from the gateways that report directly to this one
  TimePoint peers_updated_at{};    ///< when another gateway last updated `peers`
  TimePoint hold_until{};          ///< until then, gets no new requests that others can take
  double unprefilled_tokens = 0;   ///< prompt tokens of requests without a first event
  TimePoint avoid_until{};         ///< backoff after failures, or while it loads weights
  std::uint32_t failures = 0;      ///< consecutive
  double error_rate = 0;           ///< moving average of the fraction of failed answers
  Duration first_event_wait{0};    ///< recently observed wait for the first event
  TimePoint first_event_wait_at{};
  std::multiset<TimePoint> waiting_since;  ///< send times of requests without a first event
  EngineCache cache;                       ///< estimated, for the weights it runs now
  PushbackState notice_state;
  RoomEstimate room;  ///< only used while its service is fragile
  /// Learned from the gateways that report directly to this one, if it is a tracker.
  EnginePerformance performance;
  KnownPerformance reported_performance;  ///< as last reported by a tracker
  /// Tokens of KV cache that requests of this gateway hold, see RequestMemory.
  std::uint64_t memory_tokens = 0;
};

using BackendPtr = std::shared_ptr<Backend>;

/// Identifies this incarnation of the backend server.
BackendHash HashOf(const Backend& backend);

/// Whether the backend server is chosen only if there is no other: it recently failed or refused a
/// request of this gateway, or other gateways report that it did.
inline bool IsAvoided(const Backend& backend, TimePoint now) {
  return backend.avoid_until > now || backend.notice_state.deprioritized_until() > now;
}

/// Requests of all gateways at the backend server, as far as known.
inline std::uint32_t RunningAt(const Backend& backend) {
  return backend.in_flight + backend.peers.running;
}

/// Whether requests reach the backend server, directly or through a peer.
inline bool HasPath(const Backend& backend) { return backend.reachable || backend.has_peer_path; }

/// Whether the backend server may get new requests, by its registration and its own notices.
bool IsUsable(const Backend& backend, TimePoint now);

/// Whether the process at its address may be the registered one. Another one, whose registration
/// has not been read yet, may be of another release and has none of its memory. Registrations are
/// known as of `confirmed_at`.
inline bool RunsAsRegistered(const Backend& backend, TimePoint confirmed_at) {
  if (backend.entry.started == StartStamp()) return backend.continuity.IsRegistered(confirmed_at);
  const ProcessStatement last{true, backend.answering_start};
  return Match(backend.entry.started, last) != ProcessMatch::kOther;
}

/// How a registration changed the directory.
enum class Registration : std::uint8_t {
  kAdded,
  kChanged,
  kRestarted,  ///< the id was known from a process that started earlier
  kStale,      ///< from a process that has since been replaced; ignored
};

/// The backend servers by id. Not thread-safe; takes the current time as a parameter.
class BackendDirectory {
 public:
  /// Backoff after the first failure; doubled after each consecutive one.
  static constexpr std::chrono::milliseconds kInitialBackoff{250};
  static constexpr std::chrono::milliseconds kMaxBackoff{2'000};
  /// How long other backend servers are preferred to one whose process is not the registered one.
  static constexpr std::chrono::milliseconds kRegistrationDelay{1'000};
  /// Smoothing factor of `error_rate`.
  static constexpr double kErrorRateStep = 0.15;

  /// Adds or updates a registration. Of those at one address, only the process that runs there gets
  /// requests, because the others' registrations lapse only seconds later and each request sent
  /// there meanwhile costs a retry (184 in 14 s when a third of the engines crashed three times);
  /// all of them if it is not known which that is. A later start under a known id replaces the
  /// entry, because the new process has none of the old one's cache or requests.
  Registration Put(const BackendEntry& entry);

  /// Sets the services of the configuration. Registrations for other services are kept, in case the
  /// configuration adds them later, but supersede no other backend server and get no requests.
  void SetServices(std::set<ServiceId> services);
  /// The last update of the registrations.
  RegistrationNumber last_update() const { return last_update_; }
  /// Records that the backend server has answered a request that was sent after `update`.
  void RecordAnswer(Backend& backend, RegistrationNumber update);
  bool IsServed(const ServiceId& service) const {
    return services_.empty() || services_.contains(service);
  }

  /// Withholds requests from a service's backend servers of `release`, as long as it has others.
  /// nullopt withholds none.
  void Withhold(const ServiceId& service, std::optional<ReleaseId> release);

  /// Sets the releases of a service that begin no stream that may be resumed, as long as servers of
  /// others can be reached.
  void SetUnrecorded(const ServiceId& service, std::set<ReleaseId> releases);

  /// Sets the function that is called for each registration that is not outdated.
  void SetRegistrationListener(std::function<void(const BackendEntry&)> listener) {
    on_registration_ = std::move(listener);
  }

  /// Sets the function that is called for each incarnation that ended without having announced its
  /// shutdown.
  void SetTerminationListener(std::function<void(const Backend&)> listener) {
    on_termination_ = std::move(listener);
  }

  /// Removes a registration. With `grace` above zero the backend server stays in use for that long,
  /// in case the registration comes back.
  void Remove(const BackendId& id, Duration grace, TimePoint now);

  /// Replaces all registrations; those not in `entries` are removed with `grace`. Returns how each
  /// of `entries` changed the directory.
  std::vector<Registration> Replace(const std::vector<BackendEntry>& entries, Duration grace,
                                    TimePoint now);

  /// Drops backend servers whose grace period is over. Returns their ids.
  std::vector<BackendId> Expire(TimePoint now);

  /// The backend servers of `service` that may get new requests; those of a withheld release only
  /// if there are no others.
  std::vector<BackendPtr> Usable(const ServiceId& service, TimePoint now) const;

  /// Those of Usable() that may begin a stream that may be resumed.
  std::vector<BackendPtr> UsableForStart(const ServiceId& service, TimePoint now) const;
  /// Whether such a stream may still begin at the backend server, whose registration may have
  /// changed since it was chosen.
  bool MayStartAt(const Backend& backend, TimePoint now) const;

  /// All registered backend servers of `service`, in the order of their ids.
  std::span<const BackendPtr> OfService(const ServiceId& service) const;
  /// Increases with each registration that is added, changed or dropped.
  std::uint64_t version() const { return version_; }
  /// Whether requests are withheld from the backend server, see Withhold().
  bool IsWithheld(const Backend& backend) const;

  /// Lists the backend server in Active(), because this gateway has requests there or probes it.
  void MarkActive(const BackendPtr& backend);
  /// Has the backend server probed, because it may be unreachable.
  void RequestProbe(const BackendPtr& backend);

  /// The backend servers with requests of this gateway, or that it probes: a few dozen, whatever
  /// the size of the fleet. Drops those that have neither any more.
  const std::vector<BackendPtr>& Active();

  /// Up to `count` different backend servers, chosen by `seed`.
  std::vector<BackendPtr> Sample(std::size_t count, std::uint64_t seed) const;
  /// Number of backend servers whose last probe by this gateway failed.
  std::size_t UnreachableCount() const;

  BackendPtr Find(const BackendId& id) const;
  /// The backend servers registered at the address.
  std::vector<BackendPtr> AtAddress(const std::string& address) const;
  BackendPtr FindByHash(BackendHash hash) const;
  const std::map<BackendId, BackendPtr>& all() const { return backends_; }
  /// The releases of the service's registered backend servers.
  std::set<ReleaseId> ReleasesOf(const ServiceId& service) const;

  /// Expected time until the engine begins a request that is sent now: the maximum of the recently
  /// observed wait, the age of the oldest request without a first event, and the time to prefill
  /// all tokens that the gateways have sent there.
  static Duration ExpectedWait(const Backend& backend, double tokens_per_ms, TimePoint now);
  /// Records that a request's first event came after `waited`.
  static void RecordFirstEvent(Backend& backend, Duration waited, TimePoint now);

  /// Records which process answers at the backend server's address. If it is not the registered
  /// one, others are preferred until its registration can have come.
  static void RecordProcess(Backend& backend, StartStamp started, TimePoint now);

  /// Records the evidence of a connection, opened at `opened`, that the process which showed life
  /// at `alive_at` has ended, see ProcessContinuity. Has the next process probed, and others
  /// preferred until its registration can have come. Returns false if the end is known, or does not
  /// matter since the server tells its start.
  bool RecordProcessEnd(const BackendPtr& backend, TimePoint opened, TimePoint alive_at,
                        TimePoint now);

  /// Records that another gateway has seen the end of the process which last showed life at
  /// `alive_at`.
  void RecordReportedEnd(const BackendPtr& backend, TimePoint alive_at, TimePoint now);

  /// Records that a probe reached the backend server.
  static void RecordReachable(Backend& backend);

  static void RecordSuccess(Backend& backend);
  /// Records that the backend server could not be reached or broke the connection, and has it
  /// probed.
  void RecordFailure(const BackendPtr& backend, TimePoint now);
  /// Records an answer that reports a server error.
  static void RecordErrorResponse(Backend& backend);
  /// Records the weights that the backend server runs. Newer weights empty its cache.
  static void RecordWeights(Backend& backend, const ModelId& model, WeightsNumber weights);

 private:
  /// All that may get requests by their registrations, whatever their release.
  std::vector<BackendPtr> UsableOfAnyRelease(const ServiceId& service, TimePoint now) const;
  /// Leaves out a withheld release, if there are others.
  std::vector<BackendPtr> WithoutWithheld(const ServiceId& service,
                                          std::vector<BackendPtr> backends) const;
  bool IsUnrecorded(const Backend& backend) const;

  /// Bounds `known_ids_`, which tells that a registration arrives late, and `saved_notices_`.
  static constexpr std::size_t kMaxRememberedIds = 20'000;

  Registration Classify(const BackendEntry& entry) const;
  /// Applies a registration, unless it is stale.
  Registration Apply(const BackendEntry& entry);
  void Store(const BackendEntry& entry, Registration registration);
  /// Returns when the id was first read.
  RegistrationNumber Remember(const BackendEntry& entry, Registration registration);
  void Drop(const BackendId& id);
  void SaveNotice(const Backend& backend);
  void RestoreNotice(Backend& backend);
  void NotifyTermination(const Backend& backend) const;
  /// Determines anew which of the backend servers at the address are superseded.
  void UpdateAddress(const std::string& address);
  /// Maintains the indexes over `backends_`.
  void AddToIndexes(const BackendPtr& backend);
  void RemoveFromIndexes(const BackendPtr& backend);

  std::map<BackendId, BackendPtr> backends_;
  std::unordered_multimap<std::string, BackendPtr> by_address_;
  /// In the order of their ids.
  std::unordered_map<ServiceId, std::vector<BackendPtr>> by_service_;
  std::uint64_t version_ = 0;
  std::vector<BackendPtr> active_;
  std::set<BackendId> in_grace_;  ///< some may have returned or have been removed since
  std::unordered_map<BackendHash, BackendPtr> by_hash_;
  /// What is remembered of an id, also after its registration has gone.
  struct KnownId {
    StartStamp started;  ///< latest known
    /// When it was first read. A registration that lapses and comes back is no later one.
    RegistrationNumber registered;
  };
  std::unordered_map<BackendId, KnownId> known_ids_;
  RegistrationNumber last_update_;
  /// Notices of backend servers that are gone. A registration that lapses and comes back is of the
  /// same process, so its notices still hold.
  std::unordered_map<BackendHash, PushbackState> saved_notices_;
  std::function<void(const Backend&)> on_termination_;
  std::function<void(const BackendEntry&)> on_registration_;
  std::unordered_map<ServiceId, ReleaseId> withheld_releases_;
  std::unordered_map<ServiceId, std::set<ReleaseId>> unrecorded_releases_;  ///< none is empty
  std::set<ServiceId> services_;  ///< empty until the configuration is known
};

}  // namespace ridgehold
