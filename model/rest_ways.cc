#include "model/rest_ways.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <optional>

#include "gateway/pushback_state.h"
#include "model/virtual_time.h"

namespace ridgehold::model {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{seconds(1'000)};
const TimePoint kTroubleFrom = kStart + seconds(6);
const TimePoint kTroubleUntil = kStart + seconds(10);
const TimePoint kEnd = kStart + seconds(16);
constexpr milliseconds kRest{3'000};
constexpr double kServersEach = 0.8;  // for each instance
constexpr std::size_t kLeastServers = 9;
constexpr double kServiceMs = 60;
// Of what all servers can do; without a third of them nine tenths.
constexpr double kLoad = 0.6;
// What peers tell of running requests is as old as this at most.
constexpr milliseconds kPicture{20};
constexpr int kMostAttempts = 3;
constexpr double kRetriesEach = 0.1;  // that a request earns
constexpr double kMostRetries = 3;
constexpr int kDoubt = 1'000;  // requests that a doubt weighs: the last choice

struct Server {
  int running = 0;
  int pictured = 0;  ///< as instances believe
  TimePoint free_at = kStart;
};

struct Instance {
  std::vector<PushbackState> words;     ///< by server
  std::vector<TimePoint> barred_until;  ///< by server, if all heed what one was asked for
  double retries = kMostRetries;
};

struct Request {
  std::size_t instance = 0;
  TimePoint came{};
  int attempts = 0;
};

class Fleet {
 public:
  explicit Fleet(const RestPlay& play)
      : play_(play),
        time_(play.seed, kStart),
        servers_(std::max(kLeastServers, static_cast<std::size_t>(
                                             kServersEach * static_cast<double>(play.instances)))),
        instances_(play.instances) {
    for (Instance& instance : instances_) {
      instance.words.resize(servers_.size());
      instance.barred_until.resize(servers_.size());
    }
  }

  RestPlayOutcome Play() {
    for (std::size_t i = 0; i < instances_.size(); ++i) ScheduleNext(i);
    TakePicture();
    time_.RunUntil(kEnd + seconds(5));
    std::ranges::sort(begun_ms_);
    if (begun_ms_.empty()) return outcome_;
    double sum = 0;
    for (const double ms : begun_ms_) sum += ms;
    outcome_.begun_mean_ms = sum / static_cast<double>(begun_ms_.size());
    outcome_.begun_p99_ms = begun_ms_[begun_ms_.size() * 99 / 100];
    return outcome_;
  }

 private:
  TimePoint now() const { return time_.now(); }

  void ScheduleNext(std::size_t i) {
    const double all_each_ms = kLoad * static_cast<double>(servers_.size()) / kServiceMs;
    const double each_ms = all_each_ms / static_cast<double>(instances_.size());
    const TimePoint at = now() + time_.Exponential(1 / each_ms);
    if (at >= kEnd) return;
    time_.At(at, [this, i] {
      Arrive(i);
      ScheduleNext(i);
    });
  }

  void TakePicture() {
    for (Server& server : servers_) server.pictured = server.running;
    if (now() < kEnd) time_.At(now() + kPicture, [this] { TakePicture(); });
  }

  bool Counted(const Request& request) const {
    return request.came >= kTroubleFrom && request.came < kTroubleUntil;
  }

  void Arrive(std::size_t i) {
    Instance& instance = instances_[i];
    instance.retries = std::min(kMostRetries, instance.retries + kRetriesEach);
    const Request request{i, now(), 0};
    if (Counted(request)) ++outcome_.requests;
    Send(request);
  }

  /// The least loaded of those that may be asked, or nobody; of equals any.
  std::optional<std::size_t> Choose(const Instance& instance) {
    std::optional<std::size_t> best;
    int least = 0;
    const auto first = static_cast<std::size_t>(time_.Random() * 1e9) % servers_.size();
    for (std::size_t k = 0; k < servers_.size(); ++k) {
      const std::size_t s = (first + k) % servers_.size();
      if (instance.words[s].BlocksRequests(now()) || now() < instance.barred_until[s]) continue;
      const bool doubted = now() < instance.words[s].deprioritized_until();
      const int load = servers_[s].pictured + (doubted ? kDoubt : 0);
      if (best && load >= least) continue;
      best = s;
      least = load;
    }
    return best;
  }

  void Send(Request request) {
    Instance& instance = instances_[request.instance];
    const auto chosen = Choose(instance);
    if (!chosen || request.attempts == kMostAttempts ||
        (request.attempts > 0 && !MayRetry(instance))) {
      if (Counted(request)) ++outcome_.refused;
      return;
    }
    ++request.attempts;
    ++servers_[*chosen].pictured;
    time_.At(now() + milliseconds(1), [this, request, s = *chosen] { Reach(s, request); });
  }

  static bool MayRetry(Instance& instance) {
    if (instance.retries < 1) return false;
    --instance.retries;
    return true;
  }

  bool TurnsAway(std::size_t s, std::size_t instance) const {
    if (now() < kTroubleFrom || now() >= kTroubleUntil || s % 3 != 0) return false;
    return play_.trouble == RestTrouble::kAll || instance == s % instances_.size();
  }

  void Reach(std::size_t s, const Request& request) {
    if (TurnsAway(s, request.instance)) {
      if (Counted(request)) ++outcome_.turned_away;
      time_.At(now() + milliseconds(1), [this, s, request] { TakeRefusal(s, request); });
      return;
    }
    Server& server = servers_[s];
    ++server.running;
    const TimePoint begins = std::max(now(), server.free_at);
    server.free_at = begins + time_.Exponential(kServiceMs);
    if (Counted(request)) {
      begun_ms_.push_back(std::chrono::duration<double, std::milli>(begins - request.came).count());
    }
    time_.At(server.free_at, [&server] { --server.running; });
  }

  void TakeRefusal(std::size_t s, const Request& request) {
    BackendPushback notice;
    notice.backoff = kRest;
    instances_[request.instance].words[s].ApplyPushback(notice, now(), now());
    Tell(s, request.instance);
    Send(request);
  }

  void Tell(std::size_t s, std::size_t from) {
    const PushbackState& word = instances_[from].words[s];
    const bool tells = play_.way == RestWay::kToldBar ||
                       (play_.way == RestWay::kToldTwice && word.ShouldShareBackoff(now()));
    if (!tells) return;
    const TimePoint until = word.backoff_until();
    for (std::size_t i = 0; i < instances_.size(); ++i) {
      if (i == from) continue;
      ++outcome_.messages;
      time_.At(now() + milliseconds(1) + time_.Exponential(1),
               [this, i, s, from, until] { Hear(instances_[i], s, from, until); });
    }
  }

  void Hear(Instance& instance, std::size_t s, std::size_t from, TimePoint until) {
    if (play_.way == RestWay::kToldTwice) {
      instance.words[s].RecordPeerBackoff(from + 1, until, now());
    } else {
      instance.barred_until[s] = std::max(instance.barred_until[s], until);
    }
  }

  RestPlay play_;
  VirtualTime time_;
  std::vector<Server> servers_;
  std::vector<Instance> instances_;
  std::vector<double> begun_ms_;
  RestPlayOutcome outcome_;
};

}  // namespace

RestPlayOutcome PlayRest(const RestPlay& play) { return Fleet(play).Play(); }

std::string_view NameOf(RestWay way) {
  constexpr std::array<std::string_view, 3> kNames = {"not-told", "told-bar", "told-twice"};
  return kNames.at(static_cast<std::size_t>(way));
}

std::string_view NameOf(RestTrouble trouble) {
  return trouble == RestTrouble::kAll ? "all" : "one";
}

const std::vector<RestWay>& AllRestWays() {
  static const std::vector<RestWay> all = {RestWay::kNotTold, RestWay::kToldBar,
                                           RestWay::kToldTwice};
  return all;
}

const std::vector<RestTrouble>& AllRestTroubles() {
  static const std::vector<RestTrouble> all = {RestTrouble::kAll, RestTrouble::kOne};
  return all;
}

}  // namespace ridgehold::model
