#include "model/quota_ways.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "model/virtual_time.h"
#include "quota/quota_client.h"
#include "quota/quota_holder.h"

namespace ridgehold::model {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kZoneCount = 4;
constexpr std::size_t kWorkspaces = 16;
constexpr double kRequestsEachInstance = 10.7;  // a second
constexpr double kQuotaOfUsual = 1.8;
constexpr std::uint64_t kLeastQuota = 29'000;
constexpr double kHotTimes = 8;
constexpr seconds kWindow{8};
const QuotaTolerance kTolerance{kWindow, 0.1, 110'000, 0.98};
const TimePoint kStart{seconds(1'000)};
const TimePoint kTroubleFrom = kStart + seconds(8);
const TimePoint kTroubleUntil = kStart + seconds(14);
const TimePoint kEnd = kStart + seconds(20);
// Holders take their shares this long before the first request.
constexpr seconds kHeldBefore{10};
// As quota_ttl of an instance's tuning, and the part of it that a holder acts for.
constexpr milliseconds kLease{8'000};
constexpr milliseconds kActs{6'400};
// A process is back this long after it was killed, and has its own share then.
constexpr milliseconds kBack{1'500};
// Of callers: a quarter of a stream's objective, and half of the time that it is waited for.
constexpr milliseconds kPatience{200};
constexpr milliseconds kLongPatience{3'200};
// A batch: the tokens of so long, which lapse after the next span.
constexpr milliseconds kBatchOf{200};
constexpr milliseconds kBatchLapses{1'000};

struct Cost {
  std::uint64_t tokens;
  double part;
};
constexpr std::array<Cost, 3> kCosts = {{{9'197, 0.274}, {862, 0.49}, {200, 0.236}}};
constexpr double kMeanCost = 9'197 * 0.274 + 862 * 0.49 + 200 * 0.236;

std::string NameOfInstance(std::size_t i) { return "i" + std::to_string(i); }
std::size_t InstanceOf(const std::string& name) { return std::stoul(name.substr(1)); }

/// One request that was let through.
struct Used {
  TimePoint sent{};
  TimePoint run{};
  std::uint64_t tokens = 0;
};

/// Tokens that an instance has leased in a batch.
struct Batch {
  QuotaAmount left = 0;
  TimePoint until{};
  bool asked = false;
  QuotaRequestId id;
  TimePoint resend_interval{};
  double tokens_each_s = 0;  ///< demand as seen
  TimePoint last{};
};

struct Waiting {
  std::size_t workspace = 0;
  std::uint64_t tokens = 0;
  TimePoint sent{};
};

class Fleet {
 public:
  explicit Fleet(const QuotaPlay& play)
      : play_(play),
        time_(play.seed, kStart),
        shares_(play.way == QuotaWay::kZones ? kZoneCount : 1) {
    for (std::size_t i = 0; i < play.instances; ++i) {
      QuotaHolder::Options holder;
      holder.shares = shares_;
      holders_.emplace_back(holder);
      QuotaClient::Options client;
      client.shares = shares_;
      clients_.emplace_back(client, 1'000'000 + i);
      batches_.emplace_back(kWorkspaces);
      waiting_.emplace_back();
    }
    for (std::uint32_t share = 0; share < shares_; ++share) {
      holder_of_.push_back(share);
      taken_.push_back({share + 1, kStart - kHeldBefore});
    }
    MakeWorkspaces();
  }

  QuotaPlayOutcome Play() {
    ScheduleTrouble();
    for (std::size_t i = 0; i < play_.instances; ++i) ScheduleNext(i, kStart);
    time_.RunUntil(kEnd + seconds(1));
    outcome_.worst_window = WorstWindow();
    std::ranges::sort(asking_ms_);
    if (!asking_ms_.empty()) {
      outcome_.asking_median_ms = asking_ms_[asking_ms_.size() / 2];
      outcome_.asking_p99_ms = asking_ms_[asking_ms_.size() * 99 / 100];
    }
    return outcome_;
  }

 private:
  TimePoint now() const { return time_.now(); }
  void At(TimePoint at, std::function<void()> run) { time_.At(at, std::move(run)); }
  double Random() { return time_.Random(); }
  Duration Exponential(double mean_ms) { return time_.Exponential(mean_ms); }

  bool Is(QuotaTrouble trouble) const {
    return play_.trouble == trouble && now() >= kTroubleFrom && now() < kTroubleUntil;
  }
  bool HotNow() const {
    return play_.trouble != QuotaTrouble::kCalm && now() >= kTroubleFrom - seconds(4);
  }

  void MakeWorkspaces() {
    const double all = kRequestsEachInstance * static_cast<double>(play_.instances);
    double sum = 0;
    for (std::size_t w = 0; w < kWorkspaces; ++w) sum += 1.0 / static_cast<double>(w + 1);
    for (std::size_t w = 0; w < kWorkspaces; ++w) {
      const double part = 1.0 / static_cast<double>(w + 1) / sum;
      parts_.push_back(part);
      const auto usual = static_cast<std::uint64_t>(kQuotaOfUsual * part * all * kMeanCost);
      const std::uint64_t rate = std::max(kLeastQuota, usual);
      quotas_.push_back({QuotaUnit::kTokens, rate, rate, 200});
    }
    used_.resize(kWorkspaces);
  }

  QuotaLimits Terms(std::size_t workspace) const {
    WorkspaceQuota quota = quotas_[workspace];
    const bool lowered =
        play_.trouble == QuotaTrouble::kLowered && workspace == kHot && now() >= kTroubleFrom;
    if (lowered) quota.rate = quota.burst = quota.rate / 2;
    return EffectiveLimits(quota, kTolerance, lowered ? 2 : 1);
  }

  static std::size_t ZoneOf(std::size_t instance) { return instance % kZoneCount; }

  bool Dead(std::size_t instance) const { return DeadAt(instance, now()); }
  bool DeadAt(std::size_t instance, TimePoint at) const {
    const bool down = at >= kTroubleFrom && at < kTroubleFrom + kBack;
    if (!down) return false;
    if (play_.trouble == QuotaTrouble::kHolderKilled) return instance == 0;
    return play_.trouble == QuotaTrouble::kHalfLosesPower && instance / kZoneCount % 2 == 0;
  }
  bool Asleep(std::size_t instance) const {
    return Is(QuotaTrouble::kHolderSuspended) && instance == 0;
  }
  bool Cut(std::size_t from, std::size_t to) const {
    return Is(QuotaTrouble::kZoneCut) && (ZoneOf(from) == 0) != (ZoneOf(to) == 0);
  }

  void ScheduleTrouble() {
    if (play_.trouble == QuotaTrouble::kHolderSuspended) {
      // Another takes the share when the lease has ended, if it sleeps so long.
      At(kTroubleFrom + kLease, [this] { Hand(0, 0 + kZoneCount); });
    }
    const bool killed = play_.trouble == QuotaTrouble::kHolderKilled ||
                        play_.trouble == QuotaTrouble::kHalfLosesPower;
    if (killed) {
      At(kTroubleFrom + kBack, [this] {
        for (std::uint32_t share = 0; share < shares_; ++share) {
          const bool was_dead = DeadAt(holder_of_[share], now() - microseconds(1));
          if (was_dead) Restart(share);
        }
      });
    }
  }

  void Restart(std::uint32_t share) {
    QuotaHolder::Options options;
    options.shares = shares_;
    holders_[holder_of_[share]] = QuotaHolder(options);
    taken_[share] = {++last_taking_ + 100, now()};
  }

  void Hand(std::uint32_t share, std::size_t to) {
    holder_of_[share] = to;
    taken_[share] = {++last_taking_ + 100, now()};
  }

  void Touch(std::size_t instance) {
    std::optional<QuotaHolder::Lease> taking;
    std::vector<std::string> lenders;
    for (std::uint32_t share = 0; share < shares_; ++share) {
      if (holder_of_[share] == instance) {
        taking = taken_[share];
      } else {
        lenders.push_back(NameOfInstance(holder_of_[share]));
      }
    }
    // Leases are not renewed while the store is away.
    const bool lapsed = Is(QuotaTrouble::kStoreAway) && now() >= kTroubleFrom + kActs;
    holders_[instance].SetLease(lapsed ? std::nullopt : taking);
    holders_[instance].SetLenders(std::move(lenders));
  }

  void ScheduleNext(std::size_t instance, TimePoint from) {
    const double all = kRequestsEachInstance + (HotNow() ? HotRate() : 0);
    const TimePoint at = from + Exponential(1'000 / all);
    if (at >= kEnd) return;
    At(at, [this, instance] {
      if (!Dead(instance) && !Asleep(instance)) Arrive(instance);
      ScheduleNext(instance, now());
    });
  }

  /// Of the hot workspace beyond its usual, at each instance.
  double HotRate() const { return kRequestsEachInstance * parts_[kHot] * (kHotTimes - 1); }

  std::size_t DrawWorkspace() {
    double point = Random();
    if (HotNow()) {
      point *= kRequestsEachInstance + HotRate();
      if (point >= kRequestsEachInstance) return kHot;
      point /= kRequestsEachInstance;
    }
    std::size_t w = 0;
    while (w + 1 < kWorkspaces && point >= parts_[w]) point -= parts_[w++];
    return w;
  }

  void Arrive(std::size_t instance) {
    Waiting request;
    request.workspace = DrawWorkspace();
    double point = Random();
    std::size_t cost = 0;
    while (cost + 1 < kCosts.size() && point >= kCosts[cost].part) point -= kCosts[cost++].part;
    request.tokens = kCosts[cost].tokens;
    request.sent = now();
    ++outcome_.requests;
    if (request.workspace != kHot || play_.trouble == QuotaTrouble::kCalm) ++outcome_.within;
    if (play_.way == QuotaWay::kBatches) return ArriveForBatch(instance, request);
    std::vector<std::string> others;
    std::string own;
    for (std::uint32_t share = 0; share < shares_; ++share) {
      const bool in_zone = shares_ == 1 || share == ZoneOf(instance);
      (in_zone ? own : others.emplace_back()) = NameOfInstance(holder_of_[share]);
    }
    clients_[instance].SetHolders(own, others);
    QuotaOutbox outbox;
    QuotaDemand demand;
    demand.subject = QuotaSubject(std::to_string(request.workspace));
    demand.tokens = request.tokens;
    demand.limits = Terms(request.workspace);
    demand.deadline = now() + kPatience;
    demand.recovery_deadline = now() + kLongPatience;
    const std::uint64_t number = clients_[instance].Start(demand, now(), outbox);
    waiting_[instance][number] = request;
    Post(instance, outbox);
    Watch(instance, number);
  }

  void Watch(std::size_t instance, std::uint64_t number) {
    EndAsked(instance, number);
    if (!waiting_[instance].contains(number)) return;
    At(std::max(now(), clients_[instance].NextTick(number)), [this, instance, number] {
      if (!waiting_[instance].contains(number)) return;
      Post(instance, clients_[instance].Tick(number, now()));
      Watch(instance, number);
    });
  }

  void EndAsked(std::size_t instance, std::uint64_t number) {
    const auto outcome = clients_[instance].TakeOutcome(number);
    if (!outcome) return;
    const Waiting request = waiting_[instance].extract(number).mapped();
    End(request, outcome->verdict == QuotaVerdict::kGranted);
  }

  void End(const Waiting& request, bool granted) {
    asking_ms_.push_back(std::chrono::duration<double, std::milli>(now() - request.sent).count());
    if (granted) {
      used_[request.workspace].push_back({request.sent, now(), request.tokens});
    } else if (request.workspace != kHot || play_.trouble == QuotaTrouble::kCalm) {
      ++outcome_.within_refused;
    }
  }

  // Batches. A request that the batch has no room for waits for the next one.
  void ArriveForBatch(std::size_t instance, const Waiting& request) {
    Batch& batch = batches_[instance][request.workspace];
    const double passed = std::chrono::duration<double>(now() - batch.last).count();
    const double kept = std::exp(-std::min(passed, 50.0));
    batch.tokens_each_s = batch.tokens_each_s * kept + static_cast<double>(request.tokens);
    batch.last = now();
    const QuotaAmount parts = QuotaScale(1).FromTokens(request.tokens);
    if (batch.left >= parts && now() < batch.until) {
      batch.left -= parts;
      return End(request, true);
    }
    batch_line_[{instance, request.workspace}].push_back(request);
    if (!batch.asked) AskForBatch(instance, request.workspace);
  }

  void AskForBatch(std::size_t instance, std::size_t workspace) {
    Batch& batch = batches_[instance][workspace];
    std::uint64_t wanted = 0;
    for (const Waiting& one : batch_line_[{instance, workspace}]) wanted += one.tokens;
    const double ahead = batch.tokens_each_s * std::chrono::duration<double>(kBatchOf).count();
    wanted += static_cast<std::uint64_t>(ahead);
    batch.asked = true;
    batch.id = {2'000'000 + instance, ++last_batch_};
    const QuotaRequest loan{batch.id, QuotaSubject(std::to_string(workspace)),
                            QuotaScale(1).FromTokens(wanted), true, Terms(workspace)};
    Post(instance, {{NameOfInstance(holder_of_[0]), loan}});
    const QuotaRequestId id = batch.id;
    At(now() + milliseconds(36), [this, instance, workspace, id] {
      if (batches_[instance][workspace].id == id) EndBatch(instance, workspace, 0);
    });
  }

  void EndBatch(std::size_t instance, std::size_t workspace, QuotaAmount granted) {
    Batch& batch = batches_[instance][workspace];
    batch.asked = false;
    batch.id = {};
    batch.left = (now() < batch.until ? batch.left : 0) + granted;
    batch.until = now() + kBatchLapses;
    for (const Waiting& one : std::exchange(batch_line_[{instance, workspace}], {})) {
      const QuotaAmount parts = QuotaScale(1).FromTokens(one.tokens);
      const bool fits = parts <= batch.left;
      if (fits) batch.left -= parts;
      End(one, fits);
    }
  }

  void TakeBatch(std::size_t instance, const QuotaReply& reply) {
    for (std::size_t w = 0; w < kWorkspaces; ++w) {
      if (batches_[instance][w].id == reply.id) return EndBatch(instance, w, reply.granted);
    }
  }

  // Messages.
  void Post(std::size_t from, const QuotaOutbox& outbox) {
    for (const QuotaOutgoing& message : outbox) {
      const std::size_t to = InstanceOf(message.to);
      ++outcome_.messages;
      const bool lost = Cut(from, to) ||
                        (play_.trouble == QuotaTrouble::kLoss && from != to && Random() < 1.0 / 40);
      if (lost) continue;
      const double way_ms = from == to ? 0 : ZoneOf(from) == ZoneOf(to) ? 0.1 : 0.9;
      const Duration busy = from == to ? Duration(0) : Exponential(1.0);
      const auto way = Duration(static_cast<std::int64_t>(1'000 * way_ms)) + busy;
      At(now() + way, [this, from, to, body = message.message] { Deliver(from, to, body); });
    }
  }

  void Deliver(std::size_t from, std::size_t to, const QuotaMessage& body) {
    if (Dead(to)) return;
    if (Asleep(to)) {
      At(kTroubleUntil, [this, from, to, body] { Deliver(from, to, body); });
      return;
    }
    const std::string sender = NameOfInstance(from);
    Touch(to);
    if (const auto* request = std::get_if<QuotaRequest>(&body)) {
      Post(to, holders_[to].Handle(*request, sender, now()));
    } else if (const auto* refund = std::get_if<QuotaRefund>(&body)) {
      Post(to, holders_[to].Handle(*refund, now()));
    } else {
      const auto& reply = std::get<QuotaReply>(body);
      if (play_.way == QuotaWay::kBatches) return TakeBatch(to, reply);
      const auto number = clients_[to].FindAcquisition(reply.id);
      if (!number) {
        Post(to, holders_[to].Handle(reply, now()));
      } else {
        Post(to, clients_[to].Handle(reply, sender, now()));
        EndAsked(to, *number);
      }
    }
    if (const auto next = holders_[to].NextTick()) {
      At(*next, [this, to] {
        Touch(to);
        Post(to, holders_[to].Tick(now()));
      });
    }
  }

  /// Of what was sent and let through within 8 s, against what is allowed.
  double WorstWindow() const {
    double worst = 0;
    for (std::size_t w = 0; w < kWorkspaces; ++w) {
      std::vector<Used> used = used_[w];
      std::ranges::sort(used, {}, &Used::sent);
      for (std::size_t first = 0; first < used.size(); first += 7) {
        worst = std::max(worst, PartIn(used, first, w));
      }
    }
    return worst;
  }

  double PartIn(const std::vector<Used>& used, std::size_t first, std::size_t workspace) const {
    const TimePoint begin = used[first].sent;
    std::uint64_t tokens = 0;
    for (std::size_t i = first; i < used.size() && used[i].sent <= begin + kWindow; ++i) {
      if (used[i].run <= begin + kWindow) tokens += used[i].tokens;
    }
    WorkspaceQuota quota = quotas_[workspace];
    const bool lowered =
        play_.trouble == QuotaTrouble::kLowered && workspace == kHot && begin >= kTroubleFrom;
    if (lowered) quota.rate = quota.burst = quota.rate / 2;
    const double plain = static_cast<double>(quota.rate) * 8 + static_cast<double>(quota.burst);
    const double allowed = plain * (1 + kTolerance.overage) + static_cast<double>(kTolerance.slack);
    return static_cast<double>(tokens) / allowed;
  }

  /// The workspace that sends more than its usual: the fourth by size.
  static constexpr std::size_t kHot = 3;

  QuotaPlay play_;
  VirtualTime time_;
  std::uint32_t shares_;
  std::vector<QuotaHolder> holders_;
  std::vector<QuotaClient> clients_;
  std::vector<std::size_t> holder_of_;     ///< by share
  std::vector<QuotaHolder::Lease> taken_;  ///< by share
  std::vector<double> parts_;              ///< of all requests, by workspace
  std::vector<WorkspaceQuota> quotas_;
  std::vector<std::map<std::uint64_t, Waiting>> waiting_;  ///< by instance
  std::vector<std::vector<Batch>> batches_;                ///< by instance and workspace
  std::map<std::pair<std::size_t, std::size_t>, std::vector<Waiting>> batch_line_;
  std::uint64_t last_batch_ = 0;
  std::uint64_t last_taking_ = 0;
  std::vector<std::vector<Used>> used_;  ///< by workspace
  std::vector<double> asking_ms_;
  QuotaPlayOutcome outcome_;
};

}  // namespace

QuotaPlayOutcome PlayQuota(const QuotaPlay& play) { return Fleet(play).Play(); }

std::string_view NameOf(QuotaWay way) {
  constexpr std::array<std::string_view, 3> kNames = {"one-holder", "batches", "zones"};
  return kNames.at(static_cast<std::size_t>(way));
}

std::string_view NameOf(QuotaTrouble trouble) {
  constexpr std::array<std::string_view, 9> kNames = {
      "calm",    "hot-workspace", "zone-cut", "holder-killed",   "half-loses-power",
      "lowered", "store-away",    "loss",     "holder-suspended"};
  return kNames.at(static_cast<std::size_t>(trouble));
}

const std::vector<QuotaWay>& AllQuotaWays() {
  static const std::vector<QuotaWay> all = {QuotaWay::kOneHolder, QuotaWay::kBatches,
                                            QuotaWay::kZones};
  return all;
}

const std::vector<QuotaTrouble>& AllQuotaTroubles() {
  static const std::vector<QuotaTrouble> all = {
      QuotaTrouble::kCalm,         QuotaTrouble::kHotWorkspace,   QuotaTrouble::kZoneCut,
      QuotaTrouble::kHolderKilled, QuotaTrouble::kHalfLosesPower, QuotaTrouble::kLowered,
      QuotaTrouble::kStoreAway,    QuotaTrouble::kLoss,           QuotaTrouble::kHolderSuspended};
  return all;
}

}  // namespace ridgehold::model
