#include "part_simulation.h"

#include "gateway/poison_guard.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace ridgehold::test {
namespace {

using namespace std::chrono_literals;

const TimePoint kStart{1h};
const TimePoint kOnset = kStart + 20s;
constexpr Duration kLength = 40s;
constexpr double kRequestsPerServer = 7;  // per second
constexpr Duration kGossipDelay = 6ms;
constexpr Duration kRestartDelay = 3s;
constexpr Duration kMinWait = 15ms;
constexpr Duration kMaxWait = 200ms;
constexpr Duration kStream = 150ms;  // from the first event to the last
constexpr Duration kMinProof = 20ms;
constexpr Duration kMaxProof = 85ms;
constexpr Duration kHeldBackPoll = 2ms;
constexpr int kMaxSends = 2;
constexpr int kSubjects = 40;
constexpr std::uint64_t kWorkspaces = 8;
constexpr std::uint64_t kCrashPart = 7;
constexpr std::uint64_t kDecisive = 5;
constexpr Duration kContact = 3s;
const ModelId kModel("m");

struct Server {
  BackendPtr backend;  ///< current process; null if crashed
  std::set<std::size_t> requests;
};

struct Request {
  RequestFeatures features;
  bool crashes = false;
  std::uint64_t first_part = 0;
  std::size_t gateway = 0;
  int sends = 0;
  std::uint64_t run = 0;  ///< incremented, to distinguish the end of an earlier run
  TimePoint arrived{};
  TimePoint sent{};
  std::optional<TimePoint> begun;
  TimePoint held_until{};
};

class Simulation {
 public:
  explicit Simulation(const PartSimulationConfig& config)
      : config_(config), random_(config.seed), servers_(static_cast<std::size_t>(config.servers)) {
    for (int i = 0; i < config.gateways; ++i) {
      guards_.push_back(std::make_unique<PoisonGuard>(metrics_, PoisonOptions{}, config.rule));
      const auto number = static_cast<std::size_t>(i);
      guards_.back()->SetGateways(number + 1, static_cast<std::uint32_t>(config.gateways));
      guards_.back()->SetUpdateListener([this, number] { Gossip(number); });
    }
    for (Server& server : servers_) server.backend = MakeBackend();
  }

  PartSimulationResult Simulate() {
    ScheduleSound();
    if (config_.crash_requests_per_s > 0) {
      const Duration appears = config_.was_sound ? Duration(0) : Duration(20s);
      After(appears, [this] { ScheduleCrashRequest(); });
    }
    StartCrashes();
    while (!events_.empty() && now_ < kStart + kLength) {
      Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
    const PartFeature part = FeatureOf(PartFingerprint(kModel, kCrashPart), 1);
    result_.identified = std::ranges::all_of(guards_, [&](const auto& guard) {
      const RequestFeatures any{RequestFingerprint(0), 1, {part}};
      return guard->QuarantineOf(any, now_).has_value();
    });
    CountFalseVerdicts();
    return result_;
  }

 private:
  struct Event {
    TimePoint at;
    std::uint64_t number = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::pair(at, number) > std::pair(other.at, other.number);
    }
  };

  void After(Duration time, std::function<void()> action) {
    events_.push({now_ + time, ++last_event_, std::move(action)});
  }
  std::size_t RandomIndex(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
  }
  Duration Between(Duration least, Duration most) {
    return Duration(
        std::uniform_int_distribution<Duration::rep>(least.count(), most.count())(random_));
  }
  Duration Interval(double per_second) {
    const double value = std::exponential_distribution<double>(per_second)(random_);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
  }

  void ScheduleSound() {
    After(Interval(kRequestsPerServer * config_.servers), [this] {
      const std::uint64_t first = 1 + RandomIndex(2);
      ++result_.sound;
      Start(first, 100 * first + RandomIndex(kSubjects), false, RandomIndex(kWorkspaces) + 1);
      ScheduleSound();
    });
  }

  void ScheduleCrashRequest() {
    const std::uint64_t subject = config_.same_subject ? 100 : 100 + RandomIndex(kSubjects);
    const auto workspaces = static_cast<std::size_t>(config_.crash_workspaces);
    Start(1, subject, true, RandomIndex(workspaces) + 1);
    After(Interval(config_.crash_requests_per_s), [this] { ScheduleCrashRequest(); });
  }

  void Start(std::uint64_t first, std::uint64_t subject, bool with_part, WorkspaceHash workspace) {
    Request request;
    request.features.content = RequestFingerprint(++last_content_);
    request.features.workspace = workspace;
    std::vector<std::uint64_t> ids{first, subject};
    if (with_part) ids.insert(ids.begin() + 1, kCrashPart);
    request.features.AddParts(kModel, ids);
    request.crashes = with_part && now_ >= kOnset;
    request.first_part = first;
    request.gateway = RandomIndex(guards_.size());
    request.arrived = now_;
    requests_.push_back(std::move(request));
    if (!with_part && first == 1 && IsLate(now_ - kContact)) ++result_.siblings_late;
    Send(requests_.size() - 1);
  }

  bool IsLate(TimePoint at) const { return fifth_crash_ && at > *fifth_crash_ + kContact; }

  void Send(std::size_t number) {
    Request& request = requests_[number];
    PoisonGuard& guard = *guards_[request.gateway];
    if (guard.QuarantineOf(request.features, now_)) {
      if (!request.crashes) ++result_.rejected;
      return;
    }
    if (guard.AwaitsProof(request.features, now_)) {
      if (request.held_until == TimePoint()) {
        request.held_until = now_ + UnprovenCrashes::kProofTime;
      }
      if (now_ < request.held_until) return After(kHeldBackPoll, [this, number] { Send(number); });
    }
    request.held_until = TimePoint();
    Server* server = ServerFor(guard.LastTrialOf(request.features, now_));
    if (server == nullptr) return;
    ++request.sends;
    if (request.crashes && IsLate(now_)) ++result_.late_sends;
    Run(number, *server);
  }

  Server* ServerFor(std::optional<RequestFingerprint> trial) {
    std::vector<BackendPtr> alive;
    for (const Server& server : servers_) {
      if (server.backend) alive.push_back(server.backend);
    }
    if (alive.empty()) return nullptr;
    const BackendPtr chosen =
        trial ? TrialBackend(*trial, alive) : alive[RandomIndex(alive.size())];
    return &*std::ranges::find(servers_, chosen, &Server::backend);
  }

  void Run(std::size_t number, Server& server) {
    Request& request = requests_[number];
    server.requests.insert(number);
    const std::uint64_t run = ++request.run;
    request.sent = now_;
    request.begun.reset();
    const Duration wait = Between(kMinWait, kMaxWait);
    After(wait, [this, number, run, &server, backend = server.backend] {
      Request& begun = requests_[number];
      if (begun.run != run || server.backend != backend) return;
      if (begun.crashes) {
        if (++result_.part_crashes == kDecisive) fifth_crash_ = now_;
        return Crash(server);
      }
      begun.begun = now_;
      RecordWait(begun);
      After(kStream, [this, number, run, &server] { Complete(number, run, server); });
    });
  }

  void Complete(std::size_t number, std::uint64_t run, Server& server) {
    Request& request = requests_[number];
    if (request.run != run || server.requests.erase(number) == 0) return;
    PoisonGuard& guard = *guards_[request.gateway];
    guard.RecordCompletion(request.features.content, now_);
    guard.RecordSurvival(request.features, *request.begun, now_);
    const bool sibling = request.first_part == 1 && !request.crashes;
    const bool counted = sibling && IsLate(request.arrived - kContact);
    if (counted && request.sends == 1) ++result_.siblings_served;
  }

  void RecordWait(const Request& request) {
    const double share = static_cast<double>(guards_.size()) / static_cast<double>(servers_.size());
    const TimePoint end = request.begun.value_or(now_);
    guards_[request.gateway]->RecordWait(
        request.features, std::chrono::duration_cast<Duration>(end - request.sent), share, now_);
  }

  void Crash(Server& server) {
    ++result_.crashes;
    const BackendPtr backend = std::exchange(server.backend, nullptr);
    const std::set<std::size_t> present = std::exchange(server.requests, {});
    std::set<std::size_t> gateways;
    for (const std::size_t number : present) {
      Request& request = requests_[number];
      ++request.run;
      gateways.insert(request.gateway);
      if (request.begun) {
        guards_[request.gateway]->RecordInterruption(*backend, request.features, false, now_);
        continue;
      }
      RecordWait(request);
      guards_[request.gateway]->RecordPossibleCrash(
          *backend, request.features, static_cast<std::uint32_t>(guards_.size()), now_);
    }
    for (const std::size_t gateway : gateways) {
      After(Between(kMinProof, kMaxProof), [this, gateway, backend, present] {
        guards_[gateway]->RecordCrash(*backend, "refused", now_);
        After(kGossipDelay, [this, gateway, present] { RetryFrom(gateway, present); });
      });
    }
    After(kRestartDelay, [this, &server] { server.backend = MakeBackend(); });
  }

  void RetryFrom(std::size_t gateway, const std::set<std::size_t>& interrupted) {
    for (const std::size_t number : interrupted) {
      const Request& request = requests_[number];
      if (request.gateway == gateway && request.sends < kMaxSends) Send(number);
    }
  }

  /// Sends pending updates after a short delay, as the gossip does.
  void Gossip(std::size_t from) {
    if (!gossiping_.insert(from).second) return;
    After(1ms, [this, from] {
      gossiping_.erase(from);
      After(kGossipDelay - 1ms, [this, from, update = guards_[from]->TakeUpdate()] {
        for (std::size_t i = 0; i < guards_.size(); ++i) {
          if (i != from) guards_[i]->ApplyUpdate(update, now_);
        }
      });
    });
  }

  BackendPtr MakeBackend() {
    auto backend = std::make_shared<Backend>();
    backend->entry.id = BackendId(std::to_string(++last_server_));
    return backend;
  }

  void CountFalseVerdicts() {
    std::set<RequestFingerprint> all;
    for (const auto& guard : guards_) {
      for (const auto& [fingerprint, until] : guard->Quarantines(now_)) all.insert(fingerprint);
    }
    const RequestFingerprint culprit = PartFingerprint(kModel, kCrashPart);
    all.erase(culprit);
    for (WorkspaceHash workspace = 1; workspace <= kWorkspaces; ++workspace) {
      all.erase(FeatureOf(culprit, workspace).in_workspace);
    }
    result_.false_verdicts = all.size();
  }

  void CrashIfAlive(Server& server) {
    if (server.backend) Crash(server);
  }

  void StartCrashes() {
    switch (config_.pattern) {
      case CrashPattern::kNone:
        return;
      case CrashPattern::kIndependent:
        for (Server& server : servers_) ScheduleCrash(server, 30);
        return;
      case CrashPattern::kRelease:
        return CrashSequentially(10s, Duration(20s) / config_.servers);
      case CrashPattern::kCascade:
        CrashSequentially(5s, 100ms);
        return CrashSequentially(15s, 500ms);
      case CrashPattern::kZoneLost:
        for (const Duration at : {8s, 25s}) {
          for (std::size_t i = 0; i < servers_.size() / 3 + 1; ++i) {
            After(at, [this, i] { CrashIfAlive(servers_[i]); });
          }
        }
        return;
      case CrashPattern::kFlapping:
        for (std::size_t i = 0; i < std::max<std::size_t>(servers_.size() / 4, 1); ++i) {
          ScheduleCrash(servers_[i], 4);
        }
    }
  }

  void CrashSequentially(Duration first, Duration gap) {
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      After(first + static_cast<int>(i) * gap, [this, i] { CrashIfAlive(servers_[i]); });
    }
  }

  void ScheduleCrash(Server& server, double mean_s) {
    After(Interval(1 / mean_s), [this, &server, mean_s] {
      CrashIfAlive(server);
      ScheduleCrash(server, mean_s);
    });
  }

  PartSimulationConfig config_;
  std::mt19937_64 random_;
  TimePoint now_ = kStart;
  std::vector<Server> servers_;
  Metrics metrics_;
  std::vector<std::unique_ptr<PoisonGuard>> guards_;
  std::set<std::size_t> gossiping_;
  std::deque<Request> requests_;
  std::priority_queue<Event> events_;
  std::optional<TimePoint> fifth_crash_;
  PartSimulationResult result_;
  std::uint64_t last_event_ = 0;
  std::uint64_t last_content_ = 0;
  int last_server_ = 0;
};

}  // namespace

PartSimulationResult RunPartSimulation(const PartSimulationConfig& config) {
  return Simulation(config).Simulate();
}

}  // namespace ridgehold::test
