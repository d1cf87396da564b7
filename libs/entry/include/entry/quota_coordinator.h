// Leases the availability zone's share of all quotas, and grants requests within the rate limits of
// the zone's backend servers.

#pragma once

#include <algorithm>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "control/instance_records.h"
#include "control/leased_key.h"
#include "entry/election_stagger.h"
#include "entry/entry_settings.h"
#include "entry/entry_tuning.h"
#include "gateway/gateway_state.h"
#include "peers/peer_link.h"
#include "peers/quota_codec.h"
#include "peers/quota_link.h"
#include "task/spawn.h"

namespace ridgehold {

/// Competes for its zone's key in the store, which one instance of the zone holds under a lease.
/// Idle while the configuration has no quota and no backend server announces a limit. A backend
/// server's limit is not divided among zones: the lease holder of its own zone grants all of it,
/// since a partition cuts a zone off together with its backend servers. Runs on one executor.
template <StateStore Store>
class QuotaCoordinator {
 public:
  QuotaCoordinator(Store& store, GatewayState& state, const InstanceRecords& records,
                   const EntrySettings& settings, const EntryTuning& tuning,
                   std::function<bool()> store_connected)
      : state_(state),
        records_(records),
        settings_(settings),
        store_connected_(std::move(store_connected)),
        poll_interval_(tuning.quota_poll_interval),
        stagger_(tuning.election_stagger, tuning.max_election_rank),
        lease_(store, state.executor(), LeaseOptions(tuning), [this] { return MayCampaign(); }),
        start_timer_(state.executor()),
        workspaces_(state.executor(), state.metrics(), WorkspaceOptions(),
                    WorkspaceLinkCallbacks()),
        backends_(state.executor(), state.metrics(), BackendOptions(), BackendLinkCallbacks()) {}

  void Start(PeerLink& peers) {
    peers_ = &peers;
    peers.SetQuotaListener(
        [this](const QuotaMessage& message, const std::string& from) { Handle(message, from); });
    GatewayState::QuotaHandlers handlers;
    handlers.acquire = [this](QuotaDemand demand) {
      QuotaLink& link = LinkForSubject(demand.subject);
      return link.Acquire(std::move(demand));
    };
    handlers.refund = [this](const QuotaTicket& ticket) {
      LinkForRequest(ticket.id).Refund(ticket);
    };
    state_.SetQuotaHandlers(std::move(handlers));
    state_.pushback().SetLimitListener([this] { start_timer_.cancel(); });
    SpawnDuty(state_.executor(), "quota lease", [this] { return RunLease(); });
    SpawnDuty(state_.executor(), "workspace quotas", [this] { return workspaces_.Run(); });
    SpawnDuty(state_.executor(), "backend limits", [this] { return backends_.Run(); });
  }

  /// Releases the lease, so that another instance can acquire it at once.
  net::awaitable<void> Release() { return lease_.Release(); }
  void Stop() {
    stopped_ = true;
    state_.pushback().SetLimitListener({});
    start_timer_.cancel();
    workspaces_.Stop();
    backends_.Stop();
  }

  bool HoldsLease(TimePoint now) const { return lease_.MayAct(now); }
  std::vector<QuotaHolder::Usage> WorkspaceUsages() { return workspaces_.Usages(); }
  std::vector<QuotaHolder::Usage> BackendUsages() { return backends_.Usages(); }

  /// Returns the addresses of all lease holders in the local copy of the store, by zone.
  std::map<ZoneId, std::string> HoldersByZone() const {
    std::map<ZoneId, std::string> holders;
    const std::string prefix = kQuotaHolderPrefix;
    for (const StoreItem* item : records_.ItemsWithPrefix(prefix)) {
      holders[ZoneId(item->key.substr(prefix.size()))] = ParseAddress(item->value);
    }
    return holders;
  }

 private:
  /// Starts to compete for the lease once there are quotas or limits. Until then it polls at a
  /// longer interval, since polling 20 times per second would cause a fifth of all wake-ups in a
  /// fleet without quotas.
  net::awaitable<void> RunLease() {
    constexpr std::chrono::milliseconds kIdlePollInterval{500};
    while (!HasQuotasOrLimits()) {
      if (stopped_) co_return;
      co_await WaitFor(start_timer_, state_.snapshot() ? kIdlePollInterval : poll_interval_);
    }
    co_await lease_.Run();
  }

  bool HasQuotasOrLimits() const {
    const bool quotas = state_.snapshot() && state_.snapshot()->has_quotas();
    return quotas || state_.pushback().HasRecentLimit(Clock::now());
  }

  static bool IsBackendSubject(const QuotaSubject& subject) {
    return BackendHashOf(subject).has_value();
  }
  QuotaLink& LinkForSubject(const QuotaSubject& subject) {
    return IsBackendSubject(subject) ? backends_ : workspaces_;
  }

  QuotaLink& LinkForRequest(const QuotaRequestId& id) {
    return backends_.IsOwn(id) ? backends_ : workspaces_;
  }

  void Handle(const QuotaMessage& message, const std::string& from) {
    if (const auto* request = std::get_if<QuotaRequest>(&message)) {
      return LinkForSubject(request->subject).Handle(message, from);
    }
    if (const auto* reply = std::get_if<QuotaReply>(&message)) {
      return LinkForRequest(reply->id).Handle(message, from);
    }
    // A refund has no subject. A holder ignores refunds of grants that it did not make.
    workspaces_.Handle(message, from);
    backends_.Handle(message, from);
  }

  std::string LeaseKey() const { return kQuotaHolderPrefix + settings_.zone.value(); }
  /// The address distinguishes this instance from a later one with the same name.
  std::string LeaseValue() const {
    return settings_.daemon.value() + " " + settings_.instance_address;
  }

  /// Returns the second word of the lease value, the holder's address.
  static std::string ParseAddress(const std::string& value) {
    const std::size_t begin = std::min(value.find(' '), value.size() - 1) + 1;
    return value.substr(begin, value.find(' ', begin) - begin);
  }

  typename LeasedKey<Store>::Options LeaseOptions(const EntryTuning& tuning) {
    typename LeasedKey<Store>::Options options;
    options.key = LeaseKey();
    options.value = LeaseValue();
    options.ttl = std::max(tuning.quota_lease_ttl, settings_.min_lease_ttl);
    options.poll_interval = tuning.quota_poll_interval;
    options.predecessor_may_hold = [this] {
      return store_connected_() && records_.IsHeldBy(LeaseKey(), LeaseValue());
    };
    return options;
  }

  static std::uint64_t RandomIncarnation() {
    std::random_device random;
    return (std::uint64_t{random()} << 32U) | random();
  }

  QuotaLink::Options WorkspaceOptions() const {
    const auto shares = std::max<std::size_t>(1, settings_.zones.size());
    return {"workspaces", settings_.instance_address, static_cast<std::uint32_t>(shares),
            RandomIncarnation()};
  }
  QuotaLink::Options BackendOptions() const {
    return {"backends", settings_.instance_address, 1, RandomIncarnation()};
  }

  QuotaLink::Callbacks CommonLinkCallbacks() {
    QuotaLink::Callbacks callbacks;
    callbacks.send = [this](const std::string& to, const QuotaMessage& message) {
      Send(to, message);
    };
    callbacks.find_lease = [this](TimePoint now) { return CurrentLease(now); };
    return callbacks;
  }
  QuotaLink::Callbacks WorkspaceLinkCallbacks() {
    QuotaLink::Callbacks callbacks = CommonLinkCallbacks();
    callbacks.find_holders = [this](const QuotaSubject& /*subject*/) { return FindShareHolders(); };
    callbacks.find_lenders = [this] { return FindShareHolders().others; };
    callbacks.take_changed_limits = [this] { return CollectChangedLimits(); };
    return callbacks;
  }
  QuotaLink::Callbacks BackendLinkCallbacks() {
    QuotaLink::Callbacks callbacks = CommonLinkCallbacks();
    callbacks.find_holders = [this](const QuotaSubject& subject) {
      return FindBackendHolder(subject);
    };
    callbacks.find_lenders = [] { return std::vector<std::string>(); };
    callbacks.take_changed_limits = [this] { return state_.pushback().TakeNewTerms(); };
    return callbacks;
  }

  /// All instances must find the same holder: two would grant the limit twice.
  QuotaHolders FindBackendHolder(const QuotaSubject& subject) const {
    const BackendPtr backend =
        state_.directory().FindByHash(BackendHashOf(subject).value_or(BackendHash{0}));
    if (!backend) return {};
    const auto holders = HoldersByZone();
    const auto found = holders.find(HolderZone(*backend));
    return {found == holders.end() ? "" : found->second, {}};
  }

  /// Returns the backend server's own zone. If the settings have no such zone, no instance can be
  /// in it, and the backend server's hash selects another.
  ZoneId HolderZone(const Backend& backend) const {
    const std::vector<ZoneId>& zones = settings_.zones;
    if (zones.empty()) return settings_.zone;
    if (std::ranges::find(zones, backend.entry.zone) != zones.end()) return backend.entry.zone;
    std::set<ZoneId> sorted(zones.begin(), zones.end());
    return *std::next(sorted.begin(), static_cast<std::ptrdiff_t>(HashOf(backend) % sorted.size()));
  }

  bool MayCampaign() {
    const bool vacant = HasQuotasOrLimits() && !state_.shutting_down() && store_connected_() &&
                        records_.Find(LeaseKey()) == nullptr;
    return stagger_.MayCampaign(vacant, ElectionRank(), Clock::now());
  }

  /// Instances with a large CPU share come first: one with an eighth of a core responds slowly when
  /// it is busy. The zone's first member by name already relays the store, so it comes second.
  std::size_t ElectionRank() const {
    constexpr double kHighCpuShare = 0.25;
    std::size_t rank = 0;
    for (const Member& member : records_.Members()) {
      if (member.address == settings_.instance_address) break;
      if (member.zone == settings_.zone) ++rank;
    }
    if (rank <= 1) rank = 1 - rank;
    return settings_.cpu_share >= kHighCpuShare ? std::min<std::size_t>(rank, 1) : rank + 1;
  }

  std::optional<QuotaHolder::Lease> CurrentLease(TimePoint now) const {
    if (!lease_.MayAct(now)) return std::nullopt;
    return QuotaHolder::Lease{lease_.fencing_token(), lease_.exclusive_since()};
  }

  std::map<QuotaSubject, QuotaLimits> CollectChangedLimits() {
    std::map<QuotaSubject, QuotaLimits> limits;
    const auto& snapshot = state_.snapshot();
    if (!snapshot || snapshot->version() == reported_version_) return limits;
    reported_version_ = snapshot->version();
    for (const WorkspaceRule& workspace : snapshot->workspaces()) {
      if (!workspace.quota) continue;
      limits[WorkspaceSubject(workspace.id)] = EffectiveLimits(
          *workspace.quota, state_.limits().quota_tolerance, snapshot->version().value());
    }
    return limits;
  }

  QuotaHolders FindShareHolders() const {
    QuotaHolders holders;
    for (auto& [zone, address] : HoldersByZone()) {
      if (zone == settings_.zone) {
        holders.own_zone = address;
      } else {
        holders.others.push_back(address);
      }
    }
    return holders;
  }

  void Send(const std::string& to, const QuotaMessage& message) {
    peers_->SendTo(to, Encode(settings_.daemon, message));
  }

  GatewayState& state_;
  const InstanceRecords& records_;
  const EntrySettings& settings_;
  std::function<bool()> store_connected_;
  std::chrono::milliseconds poll_interval_;
  ElectionStagger stagger_;
  LeasedKey<Store> lease_;
  Timer start_timer_;
  QuotaLink workspaces_;
  QuotaLink backends_;
  PeerLink* peers_ = nullptr;
  ConfigVersion reported_version_;  ///< configuration version of the limits last returned
  bool stopped_ = false;
};

}  // namespace ridgehold
