#include "poison_simulation.h"

#include "gateway/poison_guard.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <vector>

namespace ridgehold::test {
namespace {

using namespace std::chrono_literals;

const TimePoint kStart{1h};
constexpr Duration kLength = 60s;
constexpr int kGateways = 8;
constexpr int kRunning = 8;  // requests at a server, on average
constexpr Duration kMeanRun = 700ms;
constexpr Duration kGossipDelay = 6ms;
constexpr Duration kConfirmDelay = 13ms;  // delay before an interrupted request is retried
constexpr Duration kClientRetryDelay = 200ms;
constexpr Duration kRestartDelay = 3s;  // delay before a crashed server is replaced
constexpr Duration kCrashDelay = 110ms;
constexpr int kConcurrentCopies = 3;  // concurrent copies of a poison request
constexpr int kSends = 2;
constexpr int kClientTries = 2;
constexpr double kPopularFraction = 0.1;
constexpr int kPopular = 5;
constexpr std::uint64_t kFirstPoison = 1;
constexpr std::uint64_t kFirstPopular = 100;
constexpr std::uint64_t kFirstOther = 1'000;

struct Server {
  BackendPtr backend;  ///< current process; null if crashed
  std::set<std::size_t> requests;
};

struct Request {
  RequestFingerprint content;
  std::size_t gateway = 0;
  int sends = 0;
  int tries = 1;
  std::uint64_t run = 0;  ///< incremented, to distinguish the end of an earlier run
};

class Simulation {
 public:
  explicit Simulation(const SimulationConfig& config)
      : config_(config), random_(config.seed), servers_(static_cast<std::size_t>(config.servers)) {
    for (int i = 0; i < kGateways; ++i) guards_.push_back(MakeGuard(static_cast<std::size_t>(i)));
    for (Server& server : servers_) server.backend = MakeBackend();
  }

  SimulationResult Simulate() {
    ScheduleArrival();
    for (int i = 0; i < config_.poison_requests; ++i) StartPoison(i);
    StartCrashes();
    while (!events_.empty() && now_ < kStart + kLength) {
      Event event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
    for (const auto& [content, crashes] : crashes_by_) {
      outcome_.max_crashes_by_one = std::max(outcome_.max_crashes_by_one, crashes);
    }
    return outcome_;
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
  Duration RandomDuration(Duration mean) {
    const auto value = std::exponential_distribution<double>(1.0)(random_);
    return Duration(1 + static_cast<Duration::rep>(value * static_cast<double>(mean.count())));
  }
  bool IsPoison(RequestFingerprint content) const {
    return content.value() < kFirstPoison + static_cast<std::uint64_t>(config_.poison_requests);
  }

  void ScheduleArrival() {
    After(RandomDuration(kMeanRun) / (config_.servers * kRunning), [this] {
      const bool popular = std::bernoulli_distribution(kPopularFraction)(random_);
      const std::uint64_t content =
          popular ? kFirstPopular + RandomIndex(kPopular) : ++last_content_;
      ++outcome_.innocent;
      Start(RequestFingerprint(content));
      ScheduleArrival();
    });
  }

  void StartPoison(int number) {
    const auto content = RequestFingerprint(kFirstPoison + static_cast<std::uint64_t>(number));
    for (int copy = 0; copy < 45; ++copy) {
      After(5s + number * 18s + copy / kConcurrentCopies * 1s, [this, content] { Start(content); });
    }
  }

  void Start(RequestFingerprint content) {
    requests_.push_back({content, RandomIndex(kGateways)});
    Send(requests_.size() - 1);
  }

  void Send(std::size_t number) {
    Request& request = requests_[number];
    const Suspicion suspicion = guards_[request.gateway]->SuspicionOf(request.content, now_);
    if (suspicion == Suspicion::kQuarantined) {
      if (IsPoison(request.content)) return;
      ++(AnyAlive() ? outcome_.rejected : outcome_.rejected_in_outage);
      return;
    }
    Server* server =
        suspicion == Suspicion::kLastTrial ? TrialServer(request.content) : AnyServer();
    if (server == nullptr) return RetryByClient(number);
    ++request.sends;
    Run(number, *server);
  }

  bool AnyAlive() const {
    return std::ranges::any_of(servers_,
                               [](const Server& server) { return server.backend != nullptr; });
  }

  Server* AnyServer() {
    for (int i = 0; i < 4 * config_.servers; ++i) {
      Server& server = servers_[RandomIndex(servers_.size())];
      if (server.backend) return &server;
    }
    return nullptr;
  }

  Server* TrialServer(RequestFingerprint content) {
    std::vector<BackendPtr> alive;
    for (const Server& server : servers_) {
      if (server.backend) alive.push_back(server.backend);
    }
    if (alive.empty()) return nullptr;
    const BackendPtr chosen = TrialBackend(content, alive);
    return &*std::ranges::find(servers_, chosen, &Server::backend);
  }

  void Run(std::size_t number, Server& server) {
    server.requests.insert(number);
    const std::uint64_t run = ++requests_[number].run;
    const RequestFingerprint content = requests_[number].content;
    if (IsPoison(content)) {
      After(kCrashDelay, [this, &server, content, backend = server.backend] {
        if (server.backend != backend) return;
        ++crashes_by_[content];
        Crash(server);
      });
      return;
    }
    After(RandomDuration(kMeanRun), [this, number, run, &server] {
      if (requests_[number].run != run || server.requests.erase(number) == 0) return;
      Succeed(number);
    });
  }

  void Succeed(std::size_t number) {
    const Request& request = requests_[number];
    guards_[request.gateway]->RecordCompletion(request.content, now_);
  }

  void Crash(Server& server) {
    ++outcome_.crashes;
    const BackendPtr backend = std::exchange(server.backend, nullptr);
    const std::set<std::size_t> present = std::exchange(server.requests, {});
    std::set<std::size_t> gateways;
    for (const std::size_t number : present) {
      Request& request = requests_[number];
      ++request.run;
      guards_[request.gateway]->RecordInterruption(*backend, request.content, now_);
      gateways.insert(request.gateway);
      const bool again = request.sends < kSends;
      After(kConfirmDelay, [this, number, again] { again ? Send(number) : RetryByClient(number); });
    }
    for (const std::size_t gateway : gateways) {
      guards_[gateway]->RecordCrash(*backend, "refused", now_);
    }
    After(kRestartDelay, [this, &server] { server.backend = MakeBackend(); });
  }

  /// The client retries at a random gateway.
  void RetryByClient(std::size_t number) {
    if (requests_[number].tries >= kClientTries) return;
    After(kClientRetryDelay, [this, number] {
      Request& request = requests_[number];
      ++request.tries;
      request.sends = 0;
      request.gateway = RandomIndex(kGateways);
      Send(number);
    });
  }

  std::unique_ptr<PoisonGuard> MakeGuard(std::size_t gateway) {
    auto guard = std::make_unique<PoisonGuard>(metrics_, config_.rule);
    guard->SetUpdateListener([this, gateway] { Gossip(gateway); });
    return guard;
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

  void CrashIfAlive(Server& server) {
    if (server.backend) Crash(server);
  }

  void StartCrashes() {
    switch (config_.pattern) {
      case CrashPattern::kNone:
        return;
      case CrashPattern::kIndependent:
        for (Server& server : servers_) ScheduleCrash(server, 30s);
        return;
      case CrashPattern::kRelease:
        return CrashSequentially(
            10s, std::min<Duration>(kRestartDelay + 500ms, Duration(30s) / config_.servers));
      case CrashPattern::kCascade:
        CrashSequentially(5s, 500ms);
        return CrashSequentially(35s, 500ms);
      case CrashPattern::kZoneLost:
        for (const Duration at : {20s, 40s}) {
          for (std::size_t i = 0; i < servers_.size() / 3 + 1; ++i) {
            After(at, [this, i] { CrashIfAlive(servers_[i]); });
          }
        }
        return;
      case CrashPattern::kFlapping:
        for (std::size_t i = 0; i < std::max<std::size_t>(servers_.size() / 4, 1); ++i) {
          ScheduleCrash(servers_[i], 4s);
        }
    }
  }

  void CrashSequentially(Duration first, Duration gap) {
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      After(first + static_cast<int>(i) * gap, [this, i] { CrashIfAlive(servers_[i]); });
    }
  }

  void ScheduleCrash(Server& server, Duration mean) {
    After(RandomDuration(mean), [this, &server, mean] {
      CrashIfAlive(server);
      ScheduleCrash(server, mean);
    });
  }

  SimulationConfig config_;
  std::mt19937_64 random_;
  TimePoint now_ = kStart;
  std::vector<Server> servers_;
  Metrics metrics_;
  std::vector<std::unique_ptr<PoisonGuard>> guards_;
  std::set<std::size_t> gossiping_;
  std::deque<Request> requests_;
  std::priority_queue<Event> events_;
  std::map<RequestFingerprint, std::uint64_t> crashes_by_;
  SimulationResult outcome_;
  std::uint64_t last_event_ = 0;
  std::uint64_t last_content_ = kFirstOther;
  int last_server_ = 0;
};

}  // namespace

std::string_view NameOf(CrashPattern pattern) {
  switch (pattern) {
    case CrashPattern::kNone:
      return "no trouble";
    case CrashPattern::kIndependent:
      return "crashes";
    case CrashPattern::kRelease:
      return "release without drains";
    case CrashPattern::kCascade:
      return "cascade";
    case CrashPattern::kZoneLost:
      return "zone lost";
    case CrashPattern::kFlapping:
      return "flapping servers";
  }
  return "unknown";
}

SimulationResult RunSimulation(const SimulationConfig& config) {
  return Simulation(config).Simulate();
}

}  // namespace ridgehold::test
