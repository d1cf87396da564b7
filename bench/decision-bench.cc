// Micro-measurements of the pure decision, the cache picture and what peers exchange.

#include <benchmark/benchmark.h>

#include "cache/block_chain.h"
#include "cache/cache_picture.h"
#include "config/change_log.h"
#include "gateway/shortlist.h"
#include "membership/membership_table.h"
#include "routing/router.h"

namespace ridgehold::bench {
namespace {

const TimePoint kNow{std::chrono::hours(1)};
constexpr std::size_t kSharedBlocks = 16;

std::vector<BlockHash> Chain(std::uint64_t prompt, std::size_t size) {
  return HashBlocks(std::string(size * kBlockBytes, static_cast<char>('a' + prompt % 26)),
                    std::to_string(prompt));
}

Config EngineConfig(std::int64_t engines) {
  std::string script = "create model m weights w1\n";
  for (std::int64_t i = 0; i < engines; ++i) {
    script += "create backend e" + std::to_string(i) + " url http://127.0.0.1:1 zone a engine m\n";
  }
  return ValueOr([&] { return ApplyScript(Config(), script); },
                 [](const Failure&) { return Config(); });
}

/// Decisions over range(0) candidates for a prompt of range(1) blocks. The
/// first blocks are held by all candidates, the rest by three of them.
void RouteDecision(benchmark::State& state) {
  const std::int64_t engines = state.range(0);
  const auto blocks = static_cast<std::size_t>(state.range(1));
  Router router(ZoneId("a"), Duration{0}, 1'000'000);
  router.Update(EngineConfig(engines));
  const std::vector<BlockHash> chain = Chain(1, blocks);
  for (std::int64_t i = 0; i < engines; ++i) {
    const BackendId id("e" + std::to_string(i));
    LoadReport report;
    report.incarnation = Incarnation("i");
    report.weights = WeightsVersion("w1");
    router.TakeReport(id, report, kNow);
    const std::size_t held = i < 3 ? blocks : std::min(blocks, kSharedBlocks);
    router.TakeStored(id, Incarnation("i"), std::span(chain).first(held), kNow);
  }
  ModelQuery query;
  query.selection = {ModelId("m"), {}, WeightsVersion("w1"), {}};
  query.chain = chain;
  query.prompt_tokens = blocks * kBlockTokens;
  for (auto _ : state) {
    const auto route = ValueOr(
        [&]() -> Result<std::optional<Route>> {
          BOOST_LEAF_AUTO(chosen, router.RouteModel(query, kNow));
          return std::optional(std::move(chosen));
        },
        [](const Failure&) { return std::optional<Route>(); });
    router.NoteEnd(*route, false);
  }
}
BENCHMARK(RouteDecision)->ArgsProduct({{9, 100, 600}, {1, 10, 200}});

/// Time for each block of a stored event, and bytes for each block held.
void PictureAdd(benchmark::State& state) {
  const auto total = static_cast<std::size_t>(state.range(0));
  std::uint64_t prompt = 0;
  for (auto _ : state) {
    CachePicture picture(total + 1);
    for (std::size_t held = 0; held < total; held += 64) {
      picture.Add(static_cast<HolderSlot>(prompt % 12), Chain(prompt, 64), kNow);
      ++prompt;
    }
    benchmark::DoNotOptimize(picture.size());
  }
  state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(PictureAdd)->Arg(1 << 14)->Arg(1 << 18)->Unit(benchmark::kMillisecond);

void HashPrompt(benchmark::State& state) {
  const std::string text(static_cast<std::size_t>(state.range(0)) * kBytesPerToken, 'x');
  for (auto _ : state) benchmark::DoNotOptimize(HashBlocks(text, "salt"));
}
BENCHMARK(HashPrompt)->Arg(1'000)->Arg(32'000);

/// One heartbeat received, in a zone of range(0) daemons.
void TakeHeartbeat(benchmark::State& state) {
  MembershipTable table(DaemonId("d0"), ZoneId("a"), std::chrono::seconds(1));
  std::vector<std::string> messages;
  for (std::int64_t i = 1; i < state.range(0); ++i) {
    wire::PeerMessage message;
    wire::Heartbeat& heartbeat = *message.mutable_heartbeat();
    heartbeat.set_daemon("daemon-" + std::to_string(i));
    heartbeat.set_zone("a");
    heartbeat.set_address("10.0.0.1:" + std::to_string(i));
    heartbeat.set_incarnation("0000019ade1c5f6a-0a1b2c3d");
    for (int k = 0; k < 8; ++k) heartbeat.add_known_addresses("10.0.0.1:" + std::to_string(k));
    messages.push_back(message.SerializeAsString());
  }
  std::size_t at = 0;
  for (auto _ : state) {
    wire::PeerMessage message;
    message.ParseFromString(messages[at++ % messages.size()]);
    table.Take(message.heartbeat(), kNow);
  }
  state.counters["bytes"] = static_cast<double>(messages.front().size());
}
BENCHMARK(TakeHeartbeat)->Arg(8)->Arg(48);

/// One change taken by a daemon with range(0) workspaces.
void TakeChange(benchmark::State& state) {
  ChangeLog log;
  std::string script;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    script += "create workspace w" + std::to_string(i) + "\n";
  }
  const auto propose = [&](const std::string& text, const std::string& id) {
    return ValueOr([&] { return log.Propose(text, ChangeId(id), "bench"); },
                   [](const Failure&) { return wire::ChangeRecord(); });
  };
  log.Take(propose(script, "0"));
  std::uint64_t number = 0;
  for (auto _ : state) {
    state.PauseTiming();
    const std::string share = std::to_string(++number % 100 + 1);
    const auto record =
        propose("change workspace w0 share " + share + "\n", std::to_string(number));
    state.ResumeTiming();
    log.Take(record);
  }
  state.counters["snapshot_bytes"] = static_cast<double>(log.MakeSnapshot().ByteSizeLong());
}
BENCHMARK(TakeChange)->Arg(8)->Arg(860);

struct PromptSize {
  std::uint32_t first_part = 0;   ///< shared with many prompts
  std::uint32_t second_part = 0;  ///< shared with few prompts
  std::uint32_t own_part = 0;
  std::uint32_t output = 0;
};
constexpr PromptSize kLongPrompt{2'500, 3'800, 2'890, 9};
constexpr PromptSize kShortPrompt{198, 0, 628, 49};

PromptChain ChainOf(const PromptSize& prompt) {
  PromptChain chain;
  chain.parts.push_back({0x9e3779b97f4a7c15, prompt.first_part});
  if (prompt.second_part > 0) chain.parts.push_back({0xbf58476d1ce4e5b9, prompt.second_part});
  chain.shared_tokens = prompt.first_part + prompt.second_part;
  chain.prompt_tokens = chain.shared_tokens + prompt.own_part;
  return chain;
}

/// Engines of 3 zones, as large as those of deployment N (docs/design/hard-load.md). A quarter is
/// slow, and a sixth of each zone is the interactive group. Each has some load.
std::vector<BackendPtr> UnevenEngines(std::int64_t count) {
  std::vector<BackendPtr> engines;
  for (std::int64_t i = 0; i < count; ++i) {
    auto engine = std::make_shared<Backend>();
    engine->entry.id = BackendId("engine-" + std::to_string(i));
    engine->entry.zone = ZoneId("z" + std::to_string(i % 3));
    engine->weights[ModelId("m")] = WeightsNumber(1);
    engine->in_flight = static_cast<std::uint32_t>(i % 2);
    engine->peers.running = static_cast<std::uint32_t>(i % 7);
    engine->peers.unread_tokens = static_cast<std::uint32_t>(i % 5 * 1'500);
    engine->peers.memory_tokens = static_cast<std::uint64_t>(i % 7 * 9'000);
    const bool slow = i % 4 == 0;
    engine->reported_performance.Update({slow ? 2'200U : 850U, slow ? 250U : 1'000U}, kNow);
    engine->in_interactive_group = i / 3 % 6 == 0;
    engines.push_back(std::move(engine));
  }
  return engines;
}

/// A request and what the gateway knows when it selects an engine. range(0) engines; range(1): 1
/// for a long prompt; range(2): 1 with speeds, groups and memory of engines.
struct Selection {
  explicit Selection(const benchmark::State& state)
      : is_long(state.range(1) == 1),
        engines(UnevenEngines(state.range(0))),
        chain(ChainOf(prompt())) {
    query.own_zone = ZoneId("z0");
    query.gateway = 11;
    query.chain = &chain;
    query.model = ModelId("m");
    query.newest_weights = WeightsNumber(1);
    query.now = kNow;
    placement.own_zone = query.own_zone;
    placement.chain = &chain;
    placement.model = query.model;
    placement.newest_weights = query.newest_weights;
    placement.cache_tokens = 71'780;
    placement.answers = &answers;
    placement.tokens_per_ms = 110;
    placement.now = kNow;
    if (state.range(2) == 1) UseHardLoad();
    AddAnswers();
  }

  const PromptSize& prompt() const { return is_long ? kLongPrompt : kShortPrompt; }

  void UseHardLoad() {
    query.weighs_homes = true;
    query.group = is_long ? RequestGroup::kBulk : RequestGroup::kInteractive;
    placement.uses_performance = true;
    placement.pause_cost = {.average_pause_ms = 60, .objective_ms = 200, .max_cost_ms = 100};
    const RequestMemory memory =
        RequestMemory::Of({.prompt_tokens = chain.prompt_tokens,
                           .max_output_tokens = prompt().output,
                           .shared_parts = static_cast<std::uint32_t>(chain.parts.size()),
                           .first_part_tokens = prompt().first_part});
    placement.memory = MemoryFit{.request = memory, .slots = 12, .capacity = 71'780};
  }

  /// The answers of the trackers of the engines polled: four, and four of the extension.
  void AddAnswers() {
    polled = Shortlist(query, engines);
    for (const BackendPtr& engine : ExtendShortlist(query, engines, polled)) {
      polled.push_back(engine);
    }
    for (const BackendPtr& engine : polled) {
      BackendReport report;
      report.backend = HashOf(*engine);
      report.work = engine->peers;
      report.weights = WeightsNumber(1);
      report.prefix_match.tokens = report.prefix_match.prefilled = prompt().first_part;
      answers.backends.emplace(report.backend, report);
    }
  }

  bool is_long = false;
  std::vector<BackendPtr> engines;
  PromptChain chain;
  LoadAnswer answers;
  std::vector<BackendPtr> polled;
  ShortlistQuery query;
  PlacementQuery placement;
  PlacementCosts costs;
};

void ForAllSelections(benchmark::internal::Benchmark* benchmark) {
  benchmark->ArgNames({"engines", "long", "hard"})
      ->ArgsProduct({{112, 10'000}, {1, 0}, {0, 1}})
      ->Unit(benchmark::kMicrosecond);
}

/// The home whose tracker is asked for the holders of a long prompt; all engines are ranked.
void HomeOfPrompt(benchmark::State& state) {
  const Selection selection(state);
  for (auto _ : state) {
    benchmark::DoNotOptimize(HomesOf(selection.chain, RingSegment(), selection.engines, 1));
  }
}
BENCHMARK(HomeOfPrompt)
    ->ArgNames({"engines", "long", "hard"})
    ->ArgsProduct({{112, 10'000}, {1}, {0}})
    ->Unit(benchmark::kMicrosecond);

void SelectEnginesToPoll(benchmark::State& state) {
  Selection selection(state);
  for (auto _ : state) {
    ++selection.query.random_seed;
    benchmark::DoNotOptimize(Shortlist(selection.query, selection.engines));
  }
}
BENCHMARK(SelectEnginesToPoll)->Apply(ForAllSelections);

/// The choice among the engines of the first poll and of the extension.
void ChooseAmongPolled(benchmark::State& state) {
  const Selection selection(state);
  for (auto _ : state) {
    benchmark::DoNotOptimize(ChooseBackend(selection.placement, selection.polled, selection.costs));
  }
}
BENCHMARK(ChooseAmongPolled)->Apply(ForAllSelections);

/// What a gateway that polls computes for a request while no engine is busy.
void SelectEngine(benchmark::State& state) {
  Selection selection(state);
  for (auto _ : state) {
    ++selection.query.random_seed;
    if (selection.is_long) {
      benchmark::DoNotOptimize(HomesOf(selection.chain, RingSegment(), selection.engines, 1));
    }
    const std::vector<BackendPtr> polled = Shortlist(selection.query, selection.engines);
    benchmark::DoNotOptimize(ChooseBackend(selection.placement, polled, selection.costs));
  }
}
BENCHMARK(SelectEngine)->Apply(ForAllSelections);

}  // namespace
}  // namespace ridgehold::bench

BENCHMARK_MAIN();
