// Micro-measurements of the pure decision, the cache picture and what peers exchange.

#include <benchmark/benchmark.h>

#include "cache/block_chain.h"
#include "cache/cache_picture.h"
#include "config/change_log.h"
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

}  // namespace
}  // namespace ridgehold::bench

BENCHMARK_MAIN();
