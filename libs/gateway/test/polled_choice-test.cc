#include "gateway/polled_choice.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "gateway/gateway_state.h"

using namespace ridgehold;
using namespace std::chrono_literals;

namespace {

const ModelId kModel("m");
const ServiceId kService("engines");
constexpr int kEngines = 60;
constexpr int kGateways = 40;
constexpr double kTokensPerMs = 57;  // as engines of the large deployment read
constexpr std::uint32_t kShared = 6'300;
constexpr std::uint32_t kOwn = 2'900;
constexpr double kObjectiveMs = 600;

RoutingConfig Parts() {
  RoutingConfig parts;
  parts.version = ConfigVersion(1);
  ServiceRule engines;
  engines.id = kService;
  engines.engine = EngineProfile{.slots = 16, .cache_tokens = 90'000};
  parts.services.push_back(engines);
  RouteRule route;
  route.id = RuleId("r");
  route.host = "h";
  route.path_prefix = "/";
  route.kind = RouteKind::kStream;
  route.is_public = true;
  route.timeout = 4s;
  route.latency_objective = 600ms;
  route.targets = {{kService, 1}};
  parts.routes.push_back(route);
  return parts;
}

/// What is true of an engine: what it has to read, and the subjects it holds, the
/// last used first. Half of its memory is taken by what runs.
struct Engine {
  double unread = 0;
  std::deque<std::uint64_t> subjects;

  static constexpr std::size_t kMostSubjects = 8;

  bool Holds(std::uint64_t subject) const {
    return std::ranges::find(subjects, subject) != subjects.end();
  }
  void Use(std::uint64_t subject) {
    std::erase(subjects, subject);
    subjects.push_front(subject);
    if (subjects.size() > kMostSubjects) subjects.pop_back();
  }
};

/// Gateways that place prompts of 300 subjects in turn, at three quarters of what
/// the engines could read if they held nothing.
struct Fixture {
  net::io_context io;
  Metrics metrics;
  std::vector<std::unique_ptr<GatewayState>> gateways;
  std::map<BackendHash, Engine> engines;
  std::minstd_rand random{7};
  const std::set<BackendId> tried;  ///< none
  int in_time = 0;
  int placed = 0;
  double read = 0;

  Fixture() {
    for (int g = 0; g < kGateways; ++g) {
      auto state = std::make_unique<GatewayState>(io.get_executor(), ZoneOf(g), GatewayLimits{},
                                                  PlacementCosts{}, metrics);
      state->SetGatewayHash(static_cast<std::uint64_t>(g) + 1);
      state->TakeSnapshot(*RoutingSnapshot::Create(Parts()));
      for (int e = 0; e < kEngines; ++e) {
        BackendEntry entry;
        entry.id = BackendId("e" + std::to_string(e));
        entry.service = kService;
        entry.zone = ZoneOf(e);
        entry.address = "10.0.0." + std::to_string(e) + ":1";
        entry.weights[kModel] = WeightsNumber(1);
        state->directory().Put(entry);
      }
      gateways.push_back(std::move(state));
    }
  }

  static ZoneId ZoneOf(int number) { return ZoneId("z" + std::to_string(number % 4)); }

  /// All gateways are answered, or none.
  void Answer(bool answered) {
    for (auto& state : gateways) {
      state->SetLoadAsker([this, answered](LoadQuestion question) -> net::awaitable<LoadAnswer> {
        LoadAnswer answer;
        if (answered) Fill(question, answer);
        co_return answer;
      });
    }
  }

  void Fill(const LoadQuestion& question, LoadAnswer& answer) {
    for (const BackendPtr& backend : question.backends) {
      const Engine& engine = engines[HashOf(*backend)];
      BackendReport report;
      report.backend = HashOf(*backend);
      report.work.unread_tokens = static_cast<std::uint32_t>(engine.unread);
      const bool held = !question.parts.empty() && engine.Holds(question.parts.back().hash);
      if (held) report.prefix_match = {kShared, kShared, 0};
      answer.backends[report.backend] = report;
    }
    if (!question.home) return;
    for (const auto& [hash, engine] : engines) {
      if (engine.Holds(question.parts.back().hash)) answer.holders.push_back(hash);
    }
  }

  void Place(std::uint64_t subject) {
    GatewayState& state = *gateways[random() % gateways.size()];
    InboundRequest request;
    request.host = "h";
    request.path = "/p";
    request.received = Clock::now();
    request.generation =
        GenerationRequest{kModel, kShared + kOwn, 3, {{subject, kShared}, {0, kOwn}}};
    const ExchangePlan plan = *PlanExchange(state, request, Clock::now());
    std::optional<BackendChoice> choice;
    net::co_spawn(io, PollAndChoose(state, plan, request, tried),
                  [&](const std::exception_ptr& /*error*/, PolledChoice asked) {
                    choice = std::move(asked.choice);
                  });
    io.restart();
    io.run();
    BOOST_REQUIRE(choice.has_value());
    Engine& engine = engines[HashOf(*choice->backend)];
    const std::uint64_t hash = plan.chain->parts.back().hash;
    const bool there = engine.Holds(hash) || choice->fetch_backend != nullptr;
    const double tokens = kOwn + (there ? 0 : kShared);
    engine.unread += tokens;
    engine.Use(hash);
    read += tokens;
    ++placed;
    if (engine.unread / kTokensPerMs <= kObjectiveMs) ++in_time;
  }

  /// A second and a half of arrivals.
  void Play() {
    constexpr double kRequestsPerMs = 0.75 * kEngines * kTokensPerMs / (kShared + kOwn);
    double due = 0;
    for (int ms = 0; ms < 1'500; ++ms) {
      for (due += kRequestsPerMs; due >= 1; due -= 1) Place(random() % 300);
      for (auto& [hash, engine] : engines)
        engine.unread = std::max(0.0, engine.unread - kTokensPerMs);
    }
  }

  double InTime() const { return static_cast<double>(in_time) / placed; }
  double ReadEach() const { return read / placed; }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(asked_choice, Fixture)

// The pattern: caches are empty, as after weights were named, and forty gateways
// place prompts at 60 engines none of them has heard of. 0.95 is what users of the
// tail ask for in such seconds.
BOOST_AUTO_TEST_CASE(prompts_are_in_time_where_answers_tell_who_is_busy_and_who_holds) {
  Answer(true);
  Play();
  BOOST_TEST(InTime() > 0.95);
  // Most subjects are read once and found or fetched after that.
  BOOST_TEST(ReadEach() < kOwn + 0.7 * kShared);
}

// The same with every tracker silent: worse, but prompts still go to their homes.
BOOST_AUTO_TEST_CASE(silent_trackers_cost_time_and_not_the_service) {
  Answer(false);
  Play();
  const double without = InTime();
  BOOST_TEST(placed > 0);
  Fixture answered;
  answered.Answer(true);
  answered.Play();
  BOOST_TEST(without < answered.InTime());
}

BOOST_AUTO_TEST_CASE(no_candidate_gives_no_choice) {
  Answer(true);
  GatewayState& state = *gateways[0];
  for (int e = 0; e < kEngines; ++e) {
    state.directory().Remove(BackendId("e" + std::to_string(e)), Duration::zero(), Clock::now());
  }
  InboundRequest request;
  request.host = "h";
  request.path = "/p";
  request.received = Clock::now();
  const ExchangePlan plan = *PlanExchange(state, request, Clock::now());
  bool chosen = true;
  net::co_spawn(io, PollAndChoose(state, plan, request, tried),
                [&](const std::exception_ptr& /*error*/, const PolledChoice& asked) {
                  chosen = asked.choice.has_value();
                });
  io.run();
  BOOST_TEST(!chosen);
}

BOOST_AUTO_TEST_SUITE_END()
