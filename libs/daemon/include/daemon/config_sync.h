// Keeps the configuration in force: platform store, peers, and operators' changes.

#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "config/config_keeper.h"
#include "kv/etcd_gateway.h"
#include "membership/membership_table.h"
#include "ridgehold.pb.h"

namespace ridgehold {

class HttpClient;
class Metrics;
class PeerMesh;
class Transfer;

/// What ConfigSync tells the rest of the daemon.
struct ConfigSyncCallbacks {
  std::function<void(const std::shared_ptr<const Config>&)> on_config;
  std::function<void(const std::set<BackendId>&)> on_leaving;
};

/// Who this daemon is.
struct DaemonIdentity {
  DaemonId id;
  ZoneId zone;
  Incarnation incarnation;
};

/// Thread-safe. One thread of its own talks to the platform; heartbeats and
/// peer messages are handled without ever waiting for the platform. Lock
/// order: the keeper's locks, then `mutex_`.
class ConfigSync {
 public:
  struct Options {
    std::string platform_url;
    std::chrono::milliseconds platform_timeout{1'000};
    std::chrono::milliseconds poll{10'000};
    std::chrono::milliseconds heartbeat{1'000};
    std::vector<std::string> seeds;
  };

  ConfigSync(DaemonIdentity identity, Options options, HttpClient& client, Metrics& metrics,
             ConfigSyncCallbacks callbacks);
  ~ConfigSync();

  /// The mesh is created with a handler that calls TakePeerMessage, so it is
  /// handed over afterwards. Starts the platform thread.
  void Start(PeerMesh& mesh);
  void Stop();

  void TakePeerMessage(const wire::PeerMessage& message);

  /// Sends heartbeats when they are due.
  void Tick(TimePoint now);

  /// Tells peers that this daemon is leaving.
  void SetLeaving();

  /// Backend servers this daemon itself knows to be leaving, for its peers.
  void SetOwnMarks(const std::set<BackendId>& backends);

  Result<AcceptedChange> Submit(const std::string& script, std::optional<Revision> expected,
                                const std::string& author) {
    return keeper_.Submit(script, expected, author);
  }

  ChangeStatus StatusOf(const ChangeId& id) const { return keeper_.StatusOf(id); }
  Revision revision() const { return keeper_.revision(); }
  std::string digest() const { return keeper_.digest(); }
  std::shared_ptr<const Config> config() const { return keeper_.config(); }
  EtcdGateway& store() { return store_; }

  /// Whether a configuration has come from the platform or a peer, or the
  /// platform has said that there is none yet.
  bool Loaded() const { return loaded_.load(); }

  StoreView store_view() const { return store_view_.load(); }
  std::vector<ZoneView> Zones(TimePoint now) const;
  std::vector<Peer> Peers(TimePoint now) const;
  bool IsRelay(TimePoint now) const;

 private:
  void RunPlatformThread();
  void RefreshOnce();
  void WatchHead();
  void Register();
  void ReadInstances();
  void ForgetInstances();
  void OnApplied(const wire::Changes& changes, ChangeOrigin origin);
  void SendChanges(const std::string& address, Revision after);
  void AskForChanges(const std::string& address, TimePoint now);
  void Wake();

  DaemonIdentity identity_;
  Options options_;
  HttpClient& client_;
  Metrics& metrics_;
  ConfigSyncCallbacks callbacks_;
  EtcdGateway store_;
  ConfigKeeper<EtcdGateway> keeper_;
  PeerMesh* mesh_ = nullptr;
  std::atomic<bool> loaded_{false};
  std::atomic<StoreView> store_view_{StoreView::kUnreachable};
  std::atomic<bool> watching_{false};

  mutable std::mutex mutex_;  // guards what follows
  MembershipTable members_;
  std::set<BackendId> platform_leaving_;
  std::set<BackendId> own_marks_;
  std::uint64_t round_ = 0;
  TimePoint next_heartbeat_{};
  TimePoint may_ask_at_{};
  bool leaving_ = false;
  std::shared_ptr<Transfer> watch_;

  std::mutex wake_mutex_;  // guards what follows
  std::condition_variable wake_;
  bool stopping_ = false;
  bool refresh_wanted_ = true;
  std::thread thread_;

  // Used by the platform thread only.
  std::optional<LeaseId> lease_;
  TimePoint next_poll_{};
  TimePoint next_register_{};
  TimePoint next_instances_{};
};

}  // namespace ridgehold
