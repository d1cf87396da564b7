#include "daemon/engine_monitor.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "http/client.h"
#include "log/log.h"
#include "metrics/metrics.h"

namespace ridgehold {
namespace {

using nlohmann::json;

constexpr int kHttpOk = 200;
constexpr std::chrono::milliseconds kPollTimeout{1'000};

std::vector<BlockHash> ReadBlocks(const json& list) {
  std::vector<BlockHash> blocks;
  blocks.reserve(list.size());
  for (const json& entry : list) {
    const auto& text = entry.get_ref<const std::string&>();
    BlockHash block = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), block, 16);
    if (error != std::errc{} || end != text.data() + text.size()) {
      throw std::invalid_argument("not a block hash");
    }
    blocks.push_back(block);
  }
  return blocks;
}

LoadReport ReadLoad(const json& load) {
  LoadReport report;
  report.incarnation = Incarnation(load.at("incarnation").get<std::string>());
  report.weights = WeightsVersion(load.at("weights").get<std::string>());
  report.waiting_tokens = load.value("waiting_tokens", 0.0);
  report.prefill_tokens_per_s = load.value("prefill_tokens_per_s", 0.0);
  report.leaving = load.value("leaving", false);
  return report;
}

}  // namespace

EngineMonitor::EngineMonitor(Router& router, HttpClient& client, Metrics& metrics, Options options)
    : router_(router),
      client_(client),
      metrics_(metrics),
      options_(options),
      jitter_(std::random_device()()) {}

void EngineMonitor::Poll(TimePoint now) {
  const std::vector<BackendState> rows = router_.Rows();
  const std::lock_guard lock(mutex_);
  for (const BackendState& row : rows) {
    if (!row.present || !row.server.is_engine()) {
      follows_.erase(row.server.id);
      continue;
    }
    Follow& follow = follows_[row.server.id];
    if (follow.url != row.server.url) {
      follow = Follow{};
      follow.url = row.server.url;
    }
    if (!follow.polling && now >= follow.next_poll) {
      // Jitter keeps daemons that started together from polling together.
      const auto spread = static_cast<std::int64_t>(jitter_() % 50);
      follow.next_poll = now + options_.poll * (75 + spread) / 100;
      StartPoll(row.server.id, follow);
    }
    const bool may_sync = options_.events && follow.needs_sync && !follow.syncing &&
                          syncs_running_ < options_.resyncs_at_once && now >= follow.next_sync;
    if (may_sync && !follow.incarnation.value().empty()) StartSync(row.server.id, follow, now);
  }
}

bool EngineMonitor::FirstSyncDone() const {
  if (!options_.events) return true;
  // Asked of the router's rows, not of those followed so far: before the first
  // Poll nothing is followed yet.
  const std::vector<BackendState> rows = router_.Rows();
  const std::lock_guard lock(mutex_);
  return std::ranges::all_of(rows, [&](const BackendState& row) {
    if (!row.present || !row.server.is_engine()) return true;
    const auto found = follows_.find(row.server.id);
    return found != follows_.end() && found->second.synced_once;
  });
}

void EngineMonitor::StartPoll(const BackendId& engine, Follow& follow) {
  follow.polling = true;
  const std::string path = options_.events
                               ? "/ridgehold/events?after=" + std::to_string(follow.last_sequence)
                               : "/ridgehold/load";
  Get(follow.url + path, [this, engine](PollAnswer answer) {
    {
      const std::lock_guard lock(mutex_);
      const auto found = follows_.find(engine);
      if (found == follows_.end()) return;
      found->second.polling = false;
      // Nothing to read from an engine that is away or tells nothing.
      if (answer.status != kHttpOk) found->second.synced_once = true;
    }
    if (answer.status == kHttpOk) TakeEvents(engine, answer.body, Clock::now());
    if (answer.status == 0) router_.TakeUnreachable(engine, Clock::now());
  });
}

void EngineMonitor::StartSync(const BackendId& engine, Follow& follow, TimePoint now) {
  follow.syncing = true;
  follow.needs_sync = false;
  follow.next_sync = now + options_.resync_pause;
  ++syncs_running_;
  metrics_.GetCounter("ridgehold_cache_resyncs").Add();
  const std::string url =
      follow.url + "/ridgehold/blocks?most=" + std::to_string(options_.resync_blocks);
  Get(url, [this, engine](PollAnswer answer) {
    if (answer.status == kHttpOk) TakeBlocks(engine, answer.body, Clock::now());
    const std::lock_guard lock(mutex_);
    --syncs_running_;
    const auto found = follows_.find(engine);
    if (found == follows_.end()) return;
    found->second.syncing = false;
    found->second.synced_once = true;
  });
}

void EngineMonitor::Get(const std::string& url, std::function<void(PollAnswer)> on_answer) {
  auto answer = std::make_shared<PollAnswer>();
  HttpCall call;
  call.url = url;
  call.total_timeout = kPollTimeout;
  client_.Start(std::move(call),
                {.on_head = [answer](int status, const Headers&) { answer->status = status; },
                 .on_body =
                     [answer](std::string_view bytes) {
                       answer->body += bytes;
                       return true;
                     },
                 .on_end =
                     [answer, on_answer = std::move(on_answer)](const TransferEnd& end) {
                       if (end.outcome != TransferOutcome::kComplete) answer->status = 0;
                       on_answer(std::move(*answer));
                     }});
}

void EngineMonitor::TakeEvents(const BackendId& engine, const std::string& body, TimePoint now) {
  try {
    const json parsed = json::parse(body);
    const json& load = parsed.contains("load") ? parsed["load"] : parsed;
    // A report of another incarnation than the events' lags behind a restart.
    const LoadReport report = ReadLoad(load);
    router_.TakeReport(engine, report, now);
    const std::lock_guard lock(mutex_);
    Follow& follow = follows_[engine];
    if (follow.incarnation != report.incarnation) {
      follow.incarnation = report.incarnation;
      follow.last_sequence = 0;
      follow.needs_sync = true;
      return;
    }
    if (parsed.value("incarnation", report.incarnation.value()) != report.incarnation.value()) {
      return;
    }
    for (const json& event : parsed.value("events", json::array())) {
      const auto sequence = event.at("seq").get<std::uint64_t>();
      if (sequence <= follow.last_sequence) continue;
      if (sequence != follow.last_sequence + 1) {
        follow.needs_sync = true;
        metrics_.GetCounter("ridgehold_cache_event_gaps").Add();
      }
      follow.last_sequence = sequence;
      metrics_.GetCounter("ridgehold_cache_events").Add();
      const std::vector<BlockHash> blocks = ReadBlocks(event.at("blocks"));
      const std::string kind = event.at("kind").get<std::string>();
      if (kind == "stored") router_.TakeStored(engine, follow.incarnation, blocks, now);
      if (kind == "removed") router_.TakeRemoved(engine, follow.incarnation, blocks);
      if (kind == "cleared") router_.TakeWhole(engine, follow.incarnation, {}, now);
    }
  } catch (const std::exception& error) {
    CountMalformed(engine, error.what());
  }
}

void EngineMonitor::TakeBlocks(const BackendId& engine, const std::string& body, TimePoint now) {
  try {
    const json parsed = json::parse(body);
    const Incarnation incarnation(parsed.at("incarnation").get<std::string>());
    const std::vector<BlockHash> blocks = ReadBlocks(parsed.at("blocks"));
    const auto sequence = parsed.at("seq").get<std::uint64_t>();
    const std::lock_guard lock(mutex_);
    Follow& follow = follows_[engine];
    if (follow.incarnation != incarnation) return;
    follow.last_sequence = std::max(follow.last_sequence, sequence);
    router_.TakeWhole(engine, incarnation, blocks, now);
  } catch (const std::exception& error) {
    CountMalformed(engine, error.what());
  }
}

void EngineMonitor::CountMalformed(const BackendId& engine, const std::string& what) {
  metrics_.GetCounter("ridgehold_cache_malformed").Add();
  Log(LogLevel::kWarn, "malformed answer of an engine",
      {{"backend", engine.value()}, {"detail", what}});
}

}  // namespace ridgehold
