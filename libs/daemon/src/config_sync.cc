#include "daemon/config_sync.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "http/client.h"
#include "log/log.h"
#include "membership/peer_mesh.h"
#include "metrics/metrics.h"

namespace ridgehold {
namespace {

using nlohmann::json;

constexpr char kDaemonsRoot[] = "/ridgehold/daemons/";
constexpr std::chrono::seconds kRegistrationTtl{60};
constexpr std::chrono::seconds kRegistrationPause{20};
constexpr std::chrono::milliseconds kInstancesPause{2'000};
constexpr std::chrono::milliseconds kPlatformTick{100};
constexpr std::chrono::milliseconds kAskPause{200};
constexpr int kHttpOk = 200;

}  // namespace

ConfigSync::ConfigSync(DaemonIdentity identity, Options options, HttpClient& client,
                       Metrics& metrics, ConfigSyncCallbacks callbacks)
    : identity_(std::move(identity)),
      options_(std::move(options)),
      client_(client),
      metrics_(metrics),
      callbacks_(std::move(callbacks)),
      store_(client, metrics, options_.platform_url, options_.platform_timeout),
      keeper_(store_, {},
              [this](const wire::Changes& changes, ChangeOrigin origin) {
                OnApplied(changes, origin);
              }),
      members_(identity_.id, identity_.zone, options_.heartbeat) {
  members_.AddSeeds(options_.seeds);
}

ConfigSync::~ConfigSync() { Stop(); }

void ConfigSync::Start(PeerMesh& mesh) {
  mesh_ = &mesh;
  thread_ = std::thread([this] { RunPlatformThread(); });
}

void ConfigSync::Stop() {
  {
    const std::lock_guard lock(wake_mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  if (thread_.joinable()) thread_.join();
  const std::lock_guard lock(mutex_);
  if (watch_) watch_->Cancel();
}

void ConfigSync::TakePeerMessage(const wire::PeerMessage& message) {
  const TimePoint now = Clock::now();
  switch (message.body_case()) {
    case wire::PeerMessage::kHeartbeat: {
      const wire::Heartbeat& heartbeat = message.heartbeat();
      {
        const std::lock_guard lock(mutex_);
        if (!members_.Take(heartbeat, now)) return;
      }
      if (heartbeat.revision() > revision().value()) AskForChanges(heartbeat.address(), now);
      break;
    }
    case wire::PeerMessage::kChanges:
      if (keeper_.TakeFromPeer(message.changes())) AskForChanges(message.sender(), now);
      break;
    case wire::PeerMessage::kChangesWanted:
      SendChanges(message.changes_wanted().reply_to(),
                  Revision(message.changes_wanted().after_revision()));
      break;
    default:
      break;
  }
}

void ConfigSync::Tick(TimePoint now) {
  wire::PeerMessage message;
  std::vector<std::string> targets;
  std::set<BackendId> leaving;
  {
    const Revision in_force = revision();
    const std::lock_guard lock(mutex_);
    if (now < next_heartbeat_ || mesh_ == nullptr) return;
    next_heartbeat_ = now + options_.heartbeat;
    wire::Heartbeat& heartbeat = *message.mutable_heartbeat();
    heartbeat.set_daemon(identity_.id.value());
    heartbeat.set_incarnation(identity_.incarnation.value());
    heartbeat.set_zone(identity_.zone.value());
    heartbeat.set_address(mesh_->address());
    heartbeat.set_revision(in_force.value());
    heartbeat.set_leaving(leaving_);
    members_.Describe(now, in_force, round_, heartbeat);
    for (const std::set<BackendId>* marks : {&platform_leaving_, &own_marks_}) {
      for (const BackendId& id : *marks) heartbeat.add_marks()->set_backend(id.value());
    }
    targets = members_.HeartbeatTargets(now, round_++);
    leaving = members_.MarkedBackends(now);
    leaving.insert(platform_leaving_.begin(), platform_leaving_.end());
  }
  message.set_sender(mesh_->address());
  for (const std::string& target : targets) {
    if (target != mesh_->address()) mesh_->Send(target, message);
  }
  callbacks_.on_leaving(leaving);
}

void ConfigSync::SetLeaving() {
  const std::lock_guard lock(mutex_);
  leaving_ = true;
  next_heartbeat_ = {};
}

void ConfigSync::SetOwnMarks(const std::set<BackendId>& backends) {
  const std::lock_guard lock(mutex_);
  own_marks_ = backends;
}

std::vector<ZoneView> ConfigSync::Zones(TimePoint now) const {
  const Revision in_force = revision();
  const std::lock_guard lock(mutex_);
  return members_.Zones(now, in_force);
}

std::vector<Peer> ConfigSync::Peers(TimePoint now) const {
  const std::lock_guard lock(mutex_);
  return members_.LivePeers(now);
}

bool ConfigSync::IsRelay(TimePoint now) const {
  const std::lock_guard lock(mutex_);
  return members_.IsRelay(now);
}

void ConfigSync::OnApplied(const wire::Changes& changes, ChangeOrigin origin) {
  loaded_.store(true);
  callbacks_.on_config(keeper_.config());
  Log(LogLevel::kInfo, "configuration in force",
      {{"revision", std::to_string(keeper_.revision().value())}});
  if (mesh_ == nullptr || changes.has_snapshot()) return;
  std::vector<std::string> targets;
  {
    const TimePoint now = Clock::now();
    const std::lock_guard lock(mutex_);
    // The daemon that got it from the store tells its zone and the relays; the
    // relays tell their zones. Heartbeats repair what gets lost.
    if (origin == ChangeOrigin::kPeer && !members_.IsRelay(now)) return;
    targets = members_.ChangeTargets(now);
  }
  wire::PeerMessage message;
  message.set_sender(mesh_->address());
  *message.mutable_changes() = changes;
  for (const std::string& target : targets) mesh_->Send(target, message);
}

void ConfigSync::SendChanges(const std::string& address, Revision after) {
  if (mesh_ == nullptr || address.empty()) return;
  wire::PeerMessage message;
  message.set_sender(mesh_->address());
  *message.mutable_changes() = keeper_.ChangesAfter(after);
  mesh_->Send(address, message);
}

void ConfigSync::AskForChanges(const std::string& address, TimePoint now) {
  if (mesh_ == nullptr || address.empty()) return;
  {
    const std::lock_guard lock(mutex_);
    if (now < may_ask_at_) return;
    may_ask_at_ = now + kAskPause;
  }
  wire::PeerMessage message;
  message.set_sender(mesh_->address());
  message.mutable_changes_wanted()->set_reply_to(mesh_->address());
  message.mutable_changes_wanted()->set_after_revision(revision().value());
  mesh_->Send(address, message);
}

void ConfigSync::Wake() {
  {
    const std::lock_guard lock(wake_mutex_);
    refresh_wanted_ = true;
  }
  wake_.notify_all();
}

void ConfigSync::RunPlatformThread() {
  while (true) {
    bool refresh = false;
    {
      std::unique_lock lock(wake_mutex_);
      wake_.wait_for(lock, kPlatformTick, [this] { return stopping_ || refresh_wanted_; });
      if (stopping_) return;
      refresh = std::exchange(refresh_wanted_, false);
    }
    const TimePoint now = Clock::now();
    const bool relay = IsRelay(now);
    keeper_.ResolvePending();
    // Only the zone's relay asks the platform again and again; the others
    // hear of changes from it.
    const bool due = now >= next_poll_ && (relay || !Loaded());
    if (refresh || due) {
      next_poll_ = now + (Loaded() ? options_.poll : options_.platform_timeout);
      RefreshOnce();
    }
    if (relay && !watching_.load()) WatchHead();
    if (now >= next_register_) Register();
    if (relay && now >= next_instances_) ReadInstances();
    if (!relay) ForgetInstances();
  }
}

void ConfigSync::RefreshOnce() {
  const StoreView view = keeper_.Refresh();
  const StoreView before = store_view_.exchange(view);
  if (view == StoreView::kInStep) loaded_.store(true);
  if (view != before) {
    const char* text = view == StoreView::kInStep        ? "in step"
                       : view == StoreView::kUnreachable ? "unreachable"
                                                         : "diverged";
    Log(view == StoreView::kDiverged ? LogLevel::kError : LogLevel::kInfo, "platform store",
        {{"state", text}, {"revision", std::to_string(revision().value())}});
  }
}

void ConfigSync::WatchHead() {
  if (store_view_.load() == StoreView::kUnreachable) return;
  watching_.store(true);
  auto watch = store_.Watch(
      HeadKey(), [this] { Wake(); }, [this] { watching_.store(false); });
  const std::lock_guard lock(mutex_);
  watch_ = std::move(watch);
}

void ConfigSync::Register() {
  next_register_ = Clock::now() + kRegistrationPause;
  ValueOr(
      [&]() -> Result<void> {
        if (lease_) {
          BOOST_LEAF_AUTO(alive, store_.KeepAlive(*lease_));
          if (alive) return {};
        }
        BOOST_LEAF_AUTO(lease, store_.GrantLease(kRegistrationTtl));
        lease_ = lease;
        const std::string zone_root = kDaemonsRoot + identity_.zone.value() + "/";
        KvTransaction put;
        put.puts.push_back({zone_root + identity_.id.value(), mesh_->address(), lease});
        BOOST_LEAF_CHECK(store_.Commit(put));
        // Joining: one read finds the daemons of all zones.
        BOOST_LEAF_AUTO(pairs, store_.List(kDaemonsRoot, PrefixEnd(kDaemonsRoot)));
        std::vector<std::string> addresses;
        addresses.reserve(pairs.size());
        for (const KvPair& pair : pairs) addresses.push_back(pair.value);
        const std::lock_guard lock(mutex_);
        members_.AddLearned(addresses, Clock::now());
        return {};
      },
      [this](const Failure&) { next_register_ = Clock::now() + kInstancesPause; });
}

void ConfigSync::ForgetInstances() {
  // The zone's relay reads the list now; an old copy must not be passed on.
  const std::lock_guard lock(mutex_);
  platform_leaving_.clear();
}

void ConfigSync::ReadInstances() {
  next_instances_ = Clock::now() + kInstancesPause;
  ValueOr(
      [&]() -> Result<void> {
        metrics_.GetCounter("ridgehold_platform_calls", "kind=\"instances\"").Add();
        HttpCall call;
        call.url = options_.platform_url + "/instances";
        call.total_timeout = options_.platform_timeout;
        BOOST_LEAF_AUTO(answer, client_.Fetch(std::move(call)));
        const json list = json::parse(answer.body, nullptr, false);
        if (answer.status != kHttpOk || !list.is_array()) return {};
        std::set<BackendId> leaving;
        for (const json& instance : list) {
          if (!instance.is_object() || instance.value("state", "") != "leaving") continue;
          leaving.insert(BackendId(instance.value("id", "")));
        }
        const std::lock_guard lock(mutex_);
        platform_leaving_ = std::move(leaving);
        return {};
      },
      [](const Failure&) {});
}

}  // namespace ridgehold
