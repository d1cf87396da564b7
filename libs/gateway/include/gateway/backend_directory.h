// The backend servers a gateway knows: what they say of themselves and how they fare.

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
#include "gateway/backend_word.h"
#include "gateway/engine_cache.h"
#include "gateway/gateway_gossip.h"
#include "gateway/inbound_request.h"

namespace ridgehold {

/// What a backend server has registered about itself. A process that starts
/// again may do so under the id that it had; `started` then tells the two apart.
struct BackendEntry {
  BackendId id;
  StartStamp started;
  ServiceId service;
  std::string address;
  ZoneId zone;
  std::uint32_t slots = 1;
  bool draining = false;
  std::chrono::milliseconds warm_up_left{0};
  std::map<ModelId, WeightsNumber> weights;
};

/// What other gateways do at a backend server, as they told last.
struct PeerLoad {
  std::uint32_t running = 0;
  std::uint32_t unread_tokens = 0;
  std::uint32_t unrepeatable = 0;
  std::uint32_t uncovered = 0;  ///< could be resumed, but retries are used up
};

/// One backend server. Requests that run there share it with the directory.
struct Backend {
  BackendEntry entry;
  std::map<ModelId, WeightsNumber> weights;  ///< newest news of any source
  std::optional<TimePoint> grace_until;      ///< registration lapsed; gone from then on
  bool removed = false;
  bool reachable = true;     ///< as of the last probe
  bool needs_probe = false;  ///< an attempt failed, or a peer cannot reach it: to be probed
  TimePoint probed_at{};
  bool probing = false;     ///< a probe is on its way
  bool superseded = false;  ///< another incarnation has registered at its address

  std::uint32_t in_flight = 0;     ///< requests of this gateway
  std::uint32_t unrepeatable = 0;  ///< those of them that cannot be resumed elsewhere
  PeerLoad peers;                  ///< of the other gateways, as far as is known
  PeerLoad direct_peers;           ///< of those that told this gateway themselves
  TimePoint peers_updated_at{};    ///< when another gateway last said what `peers` is
  TimePoint hold_until{};          ///< to get no new requests before, if others can take them
  double unprefilled_tokens = 0;   ///< of requests that have no first event yet
  TimePoint avoid_until{};         ///< after failures, or while it loads weights
  std::uint32_t failures = 0;      ///< in a row
  double error_rate = 0;           ///< moving mean of failed answers
  Duration first_event_wait{0};    ///< until the first event, as requests waited lately
  TimePoint first_event_wait_at{};
  std::multiset<TimePoint> waiting_since;  ///< of this gateway's requests without an event
  EngineCache cache;                       ///< under the weights it runs now
  BackendWord notice_state;
};

using BackendPtr = std::shared_ptr<Backend>;

/// Of this incarnation.
BackendHash HashOf(const Backend& backend);

/// Whether it is to be chosen last: it failed or refused here, or others say so.
inline bool IsAvoided(const Backend& backend, TimePoint now) {
  return backend.avoid_until > now || backend.notice_state.doubted_until() > now;
}

/// What a registration meant to the directory.
enum class Registration : std::uint8_t {
  kAdded,
  kChanged,
  kRestarted,  ///< the id is known, from a process that started earlier
  kStale,      ///< of a process that was followed by another; ignored
};

/// Not thread-safe; time comes in as a value.
class BackendDirectory {
 public:
  /// Backoff after the first failure; doubled with each further one.
  static constexpr std::chrono::milliseconds kInitialBackoff{250};
  static constexpr std::chrono::milliseconds kMaxBackoff{2'000};
  /// Weight of the newest answer in `error_rate`.
  static constexpr double kErrorRateStep = 0.15;

  /// A backend server has registered or changed its entry. A new one at an
  /// address ends those that were there before: their own entries lapse only
  /// seconds later, and each request sent there meanwhile costs a retry (184 in
  /// 14 s, when a third of the engines crashed three times). A later start under
  /// a known id begins anew: that process holds nothing of what was sent before.
  Registration Put(const BackendEntry& entry);

  /// The services that the configuration has. Registrations for others are kept,
  /// in case it comes later, but end nobody and are given nothing.
  void SetServices(std::set<ServiceId> services);
  bool IsServed(const ServiceId& service) const {
    return services_.empty() || services_.contains(service);
  }

  /// Called for each incarnation that is found to be gone and has not announced that
  /// it leaves.
  void SetTerminationListener(std::function<void(const Backend&)> listener) {
    on_termination_ = std::move(listener);
  }

  /// An entry is gone. With `grace` above zero the backend server is used on
  /// until it has passed, in case the entry comes back.
  void Remove(const BackendId& id, Duration grace, TimePoint now);

  /// Takes a full list; entries that are not in it are removed with `grace`.
  void Replace(const std::vector<BackendEntry>& entries, Duration grace, TimePoint now);

  /// Drops what was missing for too long. Returns the ids that were dropped.
  std::vector<BackendId> Expire(TimePoint now);

  /// Those of `service` that may be given new requests at all.
  std::vector<BackendPtr> Usable(const ServiceId& service, TimePoint now) const;

  BackendPtr Find(const BackendId& id) const;
  BackendPtr FindByHash(BackendHash hash) const;
  const std::map<BackendId, BackendPtr>& all() const { return backends_; }

  /// How long a request that is sent now waits until the engine begins it: as
  /// long as the last ones did, as the one that has waited longest by now, and as
  /// reading takes what all gateways have sent there.
  static Duration ExpectedWait(const Backend& backend, double tokens_per_ms, TimePoint now);
  /// The first event has come after `waited`.
  static void RecordFirstEvent(Backend& backend, Duration waited, TimePoint now);

  /// A probe has reached it.
  static void RecordReachable(Backend& backend);

  static void RecordSuccess(Backend& backend);
  /// The backend server could not be reached or broke off.
  static void RecordFailure(Backend& backend, TimePoint now);
  /// It answered, but with a failure of its own.
  static void RecordErrorResponse(Backend& backend);
  /// News of the weights it runs.
  /// Newer weights empty its cache.
  static void RecordWeights(Backend& backend, const ModelId& model, WeightsNumber weights);

 private:
  /// Restarts remembered for entries that come late; more are forgotten with
  /// their backend servers. So are words.
  static constexpr std::size_t kMaxRememberedStarts = 20'000;

  Registration Classify(const BackendEntry& entry) const;
  /// Puts what Classify has not found outdated, without regard to others.
  void Store(const BackendEntry& entry, Registration registration);
  void RecordStart(const BackendEntry& entry);
  void Drop(const BackendId& id);
  void SaveNotice(const Backend& backend);
  void RestoreNotice(Backend& backend);
  void NotifyTermination(const Backend& backend) const;
  /// Ends those at the address of `newcomer`, if that is not known yet.
  void Supersede(const BackendEntry& newcomer);

  std::map<BackendId, BackendPtr> backends_;
  std::unordered_map<BackendHash, BackendPtr> by_hash_;
  std::unordered_map<BackendId, StartStamp> starts_;  ///< the latest known
  /// Of backend servers that are gone: a registration that lapses and comes back is of
  /// the same process, and what that has said holds on.
  std::unordered_map<BackendHash, BackendWord> saved_notices_;
  std::function<void(const Backend&)> on_termination_;
  std::set<ServiceId> services_;  ///< empty: not known yet
};

}  // namespace ridgehold
