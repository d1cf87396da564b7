#include "model/limit_ways.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "gateway/backend_permit.h"
#include "model/virtual_time.h"
#include "quota/quota_holder.h"
#include "quota/request_limit.h"

namespace ridgehold::model {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kZoneCount = 4;
constexpr std::uint64_t kBackendHash = 77;
/// Requests that would go to the backend server, by fleet and by instance.
constexpr double kLeastOffered = 6;
constexpr double kOfferedEach = 0.3;
const TimePoint kStart{seconds(1'000)};
const TimePoint kNamedFrom = kStart + seconds(5);
const TimePoint kTroubleFrom = kStart + seconds(15);
const TimePoint kTroubleUntil = kStart + seconds(21);
const TimePoint kEnd = kStart + seconds(45);
constexpr seconds kWindow{4};
constexpr seconds kContact{3};
constexpr milliseconds kToldBefore{500};
/// From the first word of a limit until somebody holds the zone's share.
constexpr milliseconds kTakingShare{300};
constexpr milliseconds kLease{8'000};
constexpr milliseconds kBack{1'500};
constexpr std::array<milliseconds, 3> kTellings{milliseconds(1), milliseconds(100),
                                                milliseconds(500)};

std::string NameOfInstance(std::size_t i) { return "i" + std::to_string(i); }
std::size_t InstanceOf(const std::string& name) { return std::stoul(name.substr(1)); }

struct Instance {
  Backend backend;
  std::unique_ptr<QuotaClient> client;
  std::unique_ptr<QuotaHolder> holder;
  std::map<std::uint64_t, TimePoint> asking;  ///< when begun, by number
  std::optional<TimePoint> told;              ///< by an answer that named a limit
  int restarts = 0;
};

struct Arrival {
  TimePoint at{};
  bool told = false;   ///< its sender half a second before or earlier
  bool known = false;  ///< to its sender, in whatever way
  double limit = 0;    ///< that was in force
};

class Fleet {
 public:
  explicit Fleet(const LimitPlay& play) : play_(play), time_(play.seed, kStart) {
    for (std::size_t i = 0; i < play.instances; ++i) {
      instances_.push_back(std::make_unique<Instance>());
      Begin(i);
    }
  }

  LimitPlayOutcome Play() {
    ScheduleTrouble();
    for (std::size_t i = 0; i < instances_.size(); ++i) ScheduleNext(i);
    time_.RunUntil(kEnd);
    Judge();
    return outcome_;
  }

 private:
  TimePoint now() const { return time_.now(); }
  void At(TimePoint at, std::function<void()> run) { time_.At(at, std::move(run)); }
  double Random() { return time_.Random(); }
  Duration Exponential(double mean_ms) { return time_.Exponential(mean_ms); }
  static std::size_t ZoneOf(std::size_t instance) { return instance % kZoneCount; }
  bool During(LimitTrouble trouble) const {
    return play_.trouble == trouble && now() >= kTroubleFrom && now() < kTroubleUntil;
  }
  bool Down(std::size_t i) const {
    if (now() < kTroubleFrom) return false;
    if (play_.trouble == LimitTrouble::kHolderLost) return i == 0;
    if (now() >= kTroubleFrom + kBack) return false;
    if (play_.trouble == LimitTrouble::kHolderKilled) return i == 0;
    return play_.trouble == LimitTrouble::kHalfRestarts && i / kZoneCount % 2 == 0;
  }
  bool Asleep(std::size_t i) const { return During(LimitTrouble::kHolderSuspended) && i == 0; }
  /// The backend server stands in zone 0.
  bool Cut(std::size_t from_zone, std::size_t to_zone) const {
    return During(LimitTrouble::kZoneCut) && (from_zone == 0) != (to_zone == 0);
  }

  void Begin(std::size_t i) {
    Instance& instance = *instances_[i];
    instance.backend = Backend();
    instance.backend.entry.id = BackendId("b");
    QuotaClient::Options client;
    QuotaHolder::Options holder;
    instance.client =
        std::make_unique<QuotaClient>(client, 1'000'000 + 10 * i + instance.restarts++);
    instance.holder = std::make_unique<QuotaHolder>(holder);
    instance.asking.clear();
    instance.told.reset();
  }

  /// What the backend server names now.
  std::optional<RequestRate> Named() const {
    const bool ended = play_.trouble == LimitTrouble::kChanges && now() >= kStart + seconds(35);
    if (now() < kNamedFrom || ended) return std::nullopt;
    double limit = play_.limit;
    if (play_.trouble == LimitTrouble::kChanges && now() >= kTroubleFrom) limit /= 2;
    if (play_.trouble == LimitTrouble::kChanges && now() >= kTroubleUntil) limit *= 4;
    return RequestRate::FromPerSecond(limit);
  }

  void ScheduleTrouble() {
    const bool restarts = play_.trouble == LimitTrouble::kHolderKilled ||
                          play_.trouble == LimitTrouble::kHalfRestarts;
    if (restarts) At(kTroubleFrom + kBack, [this] { Restart(); });
    if (play_.trouble == LimitTrouble::kHolderLost) {
      At(kTroubleFrom + kLease, [this] { TakeShare(kZoneCount); });
    }
  }

  void Restart() {
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      const bool whole_half = play_.trouble == LimitTrouble::kHalfRestarts;
      const bool was_down = whole_half ? i / kZoneCount % 2 == 0 : i == 0;
      if (was_down) Begin(i);
    }
    TakeShare(0);  // its own key
  }

  void TakeShare(std::size_t i) {
    counting_ = i;
    taking_ = {++last_taking_, now()};
  }

  void ScheduleNext(std::size_t i) {
    const double offered =
        std::max(kLeastOffered, kOfferedEach * static_cast<double>(instances_.size()));
    const double each = offered / static_cast<double>(instances_.size());
    const TimePoint at = std::max(now(), kStart) + Exponential(1'000 / each);
    At(at, [this, i] {
      if (!Down(i) && !Asleep(i)) Arrive(i);
      ScheduleNext(i);
    });
  }

  void Arrive(std::size_t i) {
    Instance& instance = *instances_[i];
    const PushbackState& word = instance.backend.notice_state;
    if (Cut(ZoneOf(i), 0) || word.BlocksRequests(now())) return;
    if (!word.limit()) return Send(i);
    const bool known = counting_.has_value();
    instance.client->SetHolders(known ? NameOfInstance(*counting_) : "", {});
    QuotaDemand demand;
    demand.subject = BackendSubject(kBackendHash);
    demand.tokens = kQuotaTokensPerRequest;
    demand.limits = EffectiveLimits(*word.limit(), LimitTolerance(), word.number());
    QuotaOutbox outbox;
    const std::uint64_t number = instance.client->Start(demand, now(), outbox);
    instance.asking[number] = now();
    Post(i, outbox);
    Watch(i, number);
  }

  void Watch(std::size_t i, std::uint64_t number) {
    EndAsked(i, number);
    Instance& instance = *instances_[i];
    if (!instance.asking.contains(number)) return;
    const int life = instance.restarts;
    At(std::max(now(), instance.client->NextTick(number)), [this, i, number, life] {
      Instance& asker = *instances_[i];
      if (asker.restarts != life || !asker.asking.contains(number)) return;
      Post(i, asker.client->Tick(number, now()));
      Watch(i, number);
    });
  }

  void EndAsked(std::size_t i, std::uint64_t number) {
    Instance& instance = *instances_[i];
    const auto outcome = instance.client->TakeOutcome(number);
    if (!outcome) return;
    const TimePoint began = instance.asking.extract(number).mapped();
    asking_ms_.push_back(std::chrono::duration<double, std::milli>(now() - began).count());
    if (Down(i)) return;
    const PermitRequester asker{1'000 + i, static_cast<std::uint32_t>(instances_.size())};
    const PermitVerdict verdict = ResolvePermit(instance.backend, *outcome, asker, now());
    if (Permit{verdict, {}, {}}.MaySend()) Send(i);
  }

  void Send(std::size_t i) {
    const TimePoint sent = now();
    const int life = instances_[i]->restarts;
    At(now() + milliseconds(1) + Exponential(2), [this, i, sent, life] {
      const Instance& instance = *instances_[i];
      const bool told = instance.told && *instance.told + kToldBefore <= now();
      const auto limit = Named();
      arrivals_.push_back({now(), told, instance.backend.notice_state.limit().has_value(),
                           limit ? limit->per_second() : 0});
      const BackendPushback notice{limit, false, false, std::nullopt};
      At(now() + milliseconds(20) + Exponential(50), [this, i, sent, life, notice] {
        if (!Down(i) && instances_[i]->restarts == life) Answer(i, notice, sent);
      });
    });
  }

  void Answer(std::size_t i, const BackendPushback& notice, TimePoint sent) {
    Instance& instance = *instances_[i];
    if (notice.limit && !instance.told) instance.told = now();
    if (notice.limit && !first_named_) first_named_ = now();
    if (!instance.backend.notice_state.ApplyPushback(notice, sent, now())) return;
    NoteKnown(i);
    const int life = instance.restarts;
    for (const milliseconds telling : kTellings) {
      At(now() + telling, [this, i, life] {
        if (!Down(i) && instances_[i]->restarts == life) Tell(i);
      });
    }
  }

  void Tell(std::size_t i) {
    const PushbackUpdate news = instances_[i]->backend.notice_state.ToUpdate(kBackendHash);
    for (std::size_t to = 0; to < instances_.size(); ++to) {
      if (to != i) TellOne(i, to, news);
    }
  }

  void TellOne(std::size_t from, std::size_t to, const PushbackUpdate& news) {
    Carry(from, to, [this, from, to, news] {
      Instance& instance = *instances_[to];
      const PushbackUpdate better = instance.backend.notice_state.ToUpdate(kBackendHash);
      const bool behind = instance.backend.notice_state.ApplyUpdate(news, now());
      NoteKnown(to);
      // As those do that track the backend server.
      if (behind && to < 2 * kZoneCount) TellOne(to, from, better);
    });
  }

  void NoteKnown(std::size_t i) {
    const bool knows = instances_[i]->backend.notice_state.limit().has_value();
    if (knows && !counting_ && !share_wanted_ && play_.trouble != LimitTrouble::kStoreAway) {
      share_wanted_ = true;
      At(now() + kTakingShare, [this] { TakeShare(0); });
    }
    if (all_know_at_ || !knows) return;
    const bool all = std::ranges::all_of(
        instances_, [](const auto& one) { return one->backend.notice_state.limit().has_value(); });
    if (all) all_know_at_ = now();
  }

  // Messages.
  void Carry(std::size_t from, std::size_t to, std::function<void()> deliver) {
    ++outcome_.messages;
    const bool lost = Cut(ZoneOf(from), ZoneOf(to)) ||
                      (play_.trouble == LimitTrouble::kLoss && Random() < 1.0 / 40);
    if (lost) return;
    const double way_ms = ZoneOf(from) == ZoneOf(to) ? 0.1 : 1.4;
    const auto way = Duration(static_cast<std::int64_t>(1'000 * way_ms)) + Exponential(1.0);
    DeliverAt(now() + way, to, std::move(deliver));
  }

  void DeliverAt(TimePoint at, std::size_t to, std::function<void()> deliver) {
    At(at, [this, to, deliver = std::move(deliver)] {
      if (Down(to)) return;
      if (Asleep(to)) return DeliverAt(kTroubleUntil, to, deliver);
      deliver();
    });
  }

  void Post(std::size_t from, const QuotaOutbox& outbox) {
    for (const QuotaOutgoing& message : outbox) {
      const std::size_t to = InstanceOf(message.to);
      const auto deliver = [this, from, to, body = message.message] { Take(from, to, body); };
      if (from == to) {
        DeliverAt(now(), to, deliver);
      } else {
        Carry(from, to, deliver);
      }
    }
  }

  void Take(std::size_t from, std::size_t to, const QuotaMessage& body) {
    Instance& instance = *instances_[to];
    instance.holder->SetLease(counting_ == to ? std::optional(taking_) : std::nullopt);
    if (const auto* request = std::get_if<QuotaRequest>(&body)) {
      Post(to, instance.holder->Handle(*request, NameOfInstance(from), now()));
    } else if (const auto* refund = std::get_if<QuotaRefund>(&body)) {
      Post(to, instance.holder->Handle(*refund, now()));
    } else {
      const auto& reply = std::get<QuotaReply>(body);
      const auto number = instance.client->FindAcquisition(reply.id);
      if (!number) return;
      Post(to, instance.client->Handle(reply, NameOfInstance(from), now()));
      EndAsked(to, *number);
    }
  }

  void Judge() {
    std::ranges::sort(arrivals_, {}, &Arrival::at);
    const TimePoint from = first_named_.value_or(kEnd) + kContact;
    int calm = 0;
    for (std::size_t first = 0; first < arrivals_.size(); ++first) {
      const Arrival& begin = arrivals_[first];
      if (begin.at >= from && !begin.known && begin.limit > 0) ++outcome_.untold;
      const bool calm_time = begin.at >= kStart + seconds(9) && begin.at < kTroubleFrom;
      if (calm_time) ++calm;
      if (begin.at >= from) JudgeWindow(first);
    }
    const double calm_s = std::chrono::duration<double>(kTroubleFrom - kStart).count() - 9;
    outcome_.used = calm / (calm_s * play_.limit);
    if (all_know_at_ && first_named_) {
      outcome_.all_know_ms =
          std::chrono::duration<double, std::milli>(*all_know_at_ - *first_named_).count();
    }
    std::ranges::sort(asking_ms_);
    if (asking_ms_.empty()) return;
    outcome_.asking_median_ms = asking_ms_[asking_ms_.size() / 2];
    outcome_.asking_p99_ms = asking_ms_[asking_ms_.size() * 99 / 100];
  }

  /// The window that begins with an arrival; by the highest limit that was named in it or
  /// half a second before.
  void JudgeWindow(std::size_t first) {
    int told = 0;
    double limit = 0;
    for (std::size_t i = first; i-- > 0 && arrivals_[i].at + kToldBefore >= arrivals_[first].at;) {
      limit = std::max(limit, arrivals_[i].limit);
    }
    for (std::size_t i = first;
         i < arrivals_.size() && arrivals_[i].at <= arrivals_[first].at + kWindow; ++i) {
      if (arrivals_[i].limit == 0) return;  // it names none any more
      told += arrivals_[i].told ? 1 : 0;
      limit = std::max(limit, arrivals_[i].limit);
    }
    outcome_.worst_window = std::max(outcome_.worst_window, told / (1.5 * 4 * limit + 5));
  }

  LimitPlay play_;
  VirtualTime time_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::optional<std::size_t> counting_;  ///< who holds the zone's share
  QuotaHolder::Lease taking_;
  std::uint64_t last_taking_ = 0;
  bool share_wanted_ = false;
  std::vector<Arrival> arrivals_;
  std::optional<TimePoint> first_named_;
  std::optional<TimePoint> all_know_at_;
  std::vector<double> asking_ms_;
  LimitPlayOutcome outcome_;
};

}  // namespace

LimitPlayOutcome PlayLimit(const LimitPlay& play) { return Fleet(play).Play(); }

std::string_view NameOf(LimitTrouble trouble) {
  constexpr std::array<std::string_view, 9> kNames = {
      "calm",     "loss",       "holder-killed", "holder-lost", "holder-suspended",
      "zone-cut", "store-away", "half-restarts", "changes"};
  return kNames.at(static_cast<std::size_t>(trouble));
}

const std::vector<LimitTrouble>& AllLimitTroubles() {
  static const std::vector<LimitTrouble> all = {LimitTrouble::kCalm,
                                                LimitTrouble::kLoss,
                                                LimitTrouble::kHolderKilled,
                                                LimitTrouble::kHolderLost,
                                                LimitTrouble::kHolderSuspended,
                                                LimitTrouble::kZoneCut,
                                                LimitTrouble::kStoreAway,
                                                LimitTrouble::kHalfRestarts,
                                                LimitTrouble::kChanges};
  return all;
}

}  // namespace ridgehold::model
