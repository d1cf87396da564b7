// Holds the own availability zone's share of all quotas, and counts the requests of its
// backend servers that name a limit, when it is this instance's turn.

#pragma once

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "control/instance_records.h"
#include "control/leased_key.h"
#include "entry/duty_turn.h"
#include "entry/entry_settings.h"
#include "entry/entry_tuning.h"
#include "gateway/gateway_state.h"
#include "peers/peer_link.h"
#include "peers/quota_codec.h"
#include "peers/quota_link.h"

namespace ridgehold {

/// One key in the store for each availability zone, held under a lease. Nothing is done
/// while the configuration has no quota and no backend server names a limit. A backend
/// server's limit is not shared out: all of it is granted by the holder of its zone, since
/// a zone that is cut off takes its backend servers along. Runs on one executor.
template <StateStore Store>
class QuotaDuty {
 public:
  QuotaDuty(Store& store, GatewayState& state, const InstanceRecords& records,
            const EntrySettings& settings, const EntryTuning& tuning,
            std::function<bool()> store_is_followed)
      : state_(state),
        records_(records),
        settings_(settings),
        store_is_followed_(std::move(store_is_followed)),
        look_(tuning.quota_look),
        turn_(tuning.duty_turn, tuning.duty_turns),
        key_(store, state.executor(), KeyOptions(tuning), [this] { return MayApply(); }),
        begin_timer_(state.executor()),
        workspaces_(state.executor(), state.metrics(), WorkspaceOptions(), WorkspaceLink()),
        backends_(state.executor(), state.metrics(), BackendOptions(), BackendLink()) {}

  void Start(PeerLink& peers) {
    peers_ = &peers;
    peers.SetQuotaListener(
        [this](const QuotaMessage& message, const std::string& from) { Take(message, from); });
    GatewayState::QuotaAsker asker;
    asker.acquire = [this](QuotaDemand demand) {
      QuotaLink& link = LinkFor(demand.subject);
      return link.Acquire(std::move(demand));
    };
    asker.give_back = [this](const QuotaTicket& ticket) { LinkOf(ticket.id).Refund(ticket); };
    state_.SetQuotaAsker(std::move(asker));
    state_.words().SetLimitListener([this] { begin_timer_.cancel(); });
    net::co_spawn(state_.executor(), HoldKey(), net::detached);
    net::co_spawn(state_.executor(), workspaces_.Run(), net::detached);
    net::co_spawn(state_.executor(), backends_.Run(), net::detached);
  }

  /// Gives the share up, so that another instance takes it at once.
  net::awaitable<void> Release() { return key_.Release(); }
  void Stop() {
    stopped_ = true;
    state_.words().SetLimitListener({});
    begin_timer_.cancel();
    workspaces_.Stop();
    backends_.Stop();
  }

  bool Held(TimePoint now) const { return key_.MayAct(now); }
  std::vector<QuotaHolder::Usage> Usages() { return workspaces_.Usages(); }
  std::vector<QuotaHolder::Usage> BackendUsages() { return backends_.Usages(); }

  /// The holders of all shares as the store says, by zone.
  std::map<ZoneId, std::string> HoldersByZone() const {
    std::map<ZoneId, std::string> holders;
    const std::string prefix = kQuotaHolderPrefix;
    for (const StoreItem* item : records_.ItemsWithPrefix(prefix)) {
      holders[ZoneId(item->key.substr(prefix.size()))] = AddressIn(item->value);
    }
    return holders;
  }

 private:
  /// Twenty looks a second, in a fleet that has no quota, would be a fifth of all wake-ups.
  net::awaitable<void> HoldKey() {
    constexpr std::chrono::milliseconds kLookForQuota{500};
    while (!HasToCount()) {
      if (stopped_) co_return;
      co_await WaitFor(begin_timer_, state_.snapshot() ? kLookForQuota : look_);
    }
    co_await key_.Run();
  }

  bool HasToCount() const {
    const bool quotas = state_.snapshot() && state_.snapshot()->has_quotas();
    return quotas || state_.words().AnyLimit(Clock::now());
  }

  static bool IsBackend(const QuotaSubject& subject) { return BackendHashOf(subject).has_value(); }
  QuotaLink& LinkFor(const QuotaSubject& subject) {
    return IsBackend(subject) ? backends_ : workspaces_;
  }

  QuotaLink& LinkOf(const QuotaRequestId& own) {
    return backends_.IsOwn(own) ? backends_ : workspaces_;
  }

  void Take(const QuotaMessage& message, const std::string& from) {
    if (const auto* request = std::get_if<QuotaRequest>(&message)) {
      return LinkFor(request->subject).Handle(message, from);
    }
    if (const auto* reply = std::get_if<QuotaReply>(&message)) {
      return LinkOf(reply->id).Handle(message, from);
    }
    // A refund names no subject; the holder that did not grant it knows nothing of it.
    workspaces_.Handle(message, from);
    backends_.Handle(message, from);
  }

  std::string Key() const { return kQuotaHolderPrefix + settings_.zone.value(); }
  /// The address tells an instance from a later one of the same name.
  std::string Value() const { return settings_.daemon.value() + " " + settings_.instance_address; }

  /// The second word.
  static std::string AddressIn(const std::string& value) {
    const std::size_t begin = std::min(value.find(' '), value.size() - 1) + 1;
    return value.substr(begin, value.find(' ', begin) - begin);
  }

  typename LeasedKey<Store>::Options KeyOptions(const EntryTuning& tuning) {
    typename LeasedKey<Store>::Options options;
    options.key = Key();
    options.value = Value();
    options.ttl = std::max(tuning.quota_ttl, settings_.least_lease_ttl);
    options.poll_interval = tuning.quota_look;
    options.predecessor_may_hold = [this] {
      const StoreItem* item = records_.Find(Key());
      return store_is_followed_() && item != nullptr && item->value.starts_with(Value());
    };
    return options;
  }

  static std::uint64_t DrawIncarnation() {
    std::random_device random;
    return (std::uint64_t{random()} << 32U) | random();
  }

  QuotaLink::Options WorkspaceOptions() const {
    const auto shares = std::max<std::size_t>(1, settings_.zones.size());
    return {"workspaces", settings_.instance_address, static_cast<std::uint32_t>(shares),
            DrawIncarnation()};
  }
  QuotaLink::Options BackendOptions() const {
    return {"backends", settings_.instance_address, 1, DrawIncarnation()};
  }

  QuotaLink::Callbacks CommonSurroundings() {
    QuotaLink::Callbacks surroundings;
    surroundings.send = [this](const std::string& to, const QuotaMessage& message) {
      Send(to, message);
    };
    surroundings.find_lease = [this](TimePoint now) { return Taking(now); };
    return surroundings;
  }
  QuotaLink::Callbacks WorkspaceLink() {
    QuotaLink::Callbacks surroundings = CommonSurroundings();
    surroundings.find_holders = [this](const QuotaSubject& /*subject*/) { return Holders(); };
    surroundings.find_lenders = [this] { return Holders().others; };
    surroundings.take_changed_limits = [this] { return TakeNewTerms(); };
    return surroundings;
  }
  QuotaLink::Callbacks BackendLink() {
    QuotaLink::Callbacks surroundings = CommonSurroundings();
    surroundings.find_holders = [this](const QuotaSubject& subject) {
      return HolderOfBackend(subject);
    };
    surroundings.find_lenders = [] { return std::vector<std::string>(); };
    surroundings.take_changed_limits = [this] { return state_.words().TakeNewTerms(); };
    return surroundings;
  }

  /// All instances find the same one: two would grant the limit twice.
  QuotaHolders HolderOfBackend(const QuotaSubject& subject) const {
    const BackendPtr backend =
        state_.directory().FindByHash(BackendHashOf(subject).value_or(BackendHash{0}));
    if (!backend) return {};
    const auto holders = HoldersByZone();
    const auto found = holders.find(CountingZone(*backend));
    return {found == holders.end() ? "" : found->second, {}};
  }

  /// Its own zone; where no instance can be, as the settings have no such zone, the one
  /// that its hash picks.
  ZoneId CountingZone(const Backend& backend) const {
    const std::vector<ZoneId>& zones = settings_.zones;
    if (zones.empty()) return settings_.zone;
    if (std::ranges::find(zones, backend.entry.zone) != zones.end()) return backend.entry.zone;
    std::set<ZoneId> sorted(zones.begin(), zones.end());
    return *std::next(sorted.begin(), static_cast<std::ptrdiff_t>(HashOf(backend) % sorted.size()));
  }

  bool MayApply() {
    const bool free = HasToCount() && !state_.shutting_down() && store_is_followed_() &&
                      records_.Find(Key()) == nullptr;
    return turn_.MayApply(free, TurnInZone(), Clock::now());
  }

  /// Instances with much processor time go first: one with an eighth of a core is slow to
  /// answer while it is busy itself. The zone's first member by name relays the store
  /// already, so it comes after the second.
  std::size_t TurnInZone() const {
    constexpr double kMuchProcessor = 0.25;
    std::size_t before = 0;
    for (const Member& member : records_.Members()) {
      if (member.address == settings_.instance_address) break;
      if (member.zone == settings_.zone) ++before;
    }
    if (before <= 1) before = 1 - before;
    return settings_.cpu_share >= kMuchProcessor ? std::min<std::size_t>(before, 1) : before + 1;
  }

  std::optional<QuotaHolder::Lease> Taking(TimePoint now) const {
    if (!key_.MayAct(now)) return std::nullopt;
    return QuotaHolder::Lease{key_.fencing_token(), key_.exclusive_since()};
  }

  std::map<QuotaSubject, QuotaLimits> TakeNewTerms() {
    std::map<QuotaSubject, QuotaLimits> terms;
    const auto& snapshot = state_.snapshot();
    if (!snapshot || snapshot->version() == terms_of_) return terms;
    terms_of_ = snapshot->version();
    for (const WorkspaceRule& workspace : snapshot->workspaces()) {
      if (!workspace.quota) continue;
      terms[WorkspaceSubject(workspace.id)] = EffectiveLimits(
          *workspace.quota, state_.limits().quota_tolerance, snapshot->version().value());
    }
    return terms;
  }

  QuotaHolders Holders() const {
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
  std::function<bool()> store_is_followed_;
  std::chrono::milliseconds look_;
  DutyTurn turn_;
  LeasedKey<Store> key_;
  Timer begin_timer_;
  QuotaLink workspaces_;
  QuotaLink backends_;
  PeerLink* peers_ = nullptr;
  ConfigVersion terms_of_;  ///< that the holder has heard of
  bool stopped_ = false;
};

}  // namespace ridgehold
