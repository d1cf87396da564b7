#include "engine.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <asio.hpp>
#include <future>
#include <nlohmann/json.hpp>
#include <thread>

#include "base/ids.h"
#include "base/random_id.h"
#include "block_cache.h"
#include "cache/backend_headers.h"
#include "cache/block_chain.h"
#include "cache/prompt.h"
#include "event_log.h"
#include "http/request.h"
#include "http/responder.h"
#include "http/server.h"

namespace ridgehold::standin {
namespace {

using nlohmann::json;
namespace header = ridgehold::backend_header;

constexpr std::size_t kDefaultMaxTokens = 16;
constexpr int kBusyRetrySeconds = 1;

/// One request from arrival to its last token.
struct Job {
  Responder responder;
  std::string request_id;
  std::string salt;
  Prompt prompt;
  std::vector<BlockHash> chain;
  bool chat = true;
  int priority = 0;
  std::size_t next = 0;  // offset of the next frame
  std::size_t tokens = 0;
  std::size_t cached_tokens = 0;
  std::string whole;  // the answer so far, when not streamed
  bool gone = false;
};

std::uint64_t QueryNumber(const std::string& query, const std::string& name) {
  const std::size_t at = query.find(name + "=");
  return at == std::string::npos ? 0 : std::stoull(query.substr(at + name.size() + 1));
}

}  // namespace

std::string AnswerToken(const std::string& prompt, std::size_t offset) {
  const auto hash = XXH3_64bits_withSeed(prompt.data(), prompt.size(), offset);
  return "t" + std::to_string(hash % 10'000) + " ";
}

struct Engine::Impl {
  explicit Impl(const EngineOptions& engine_options)
      : options(engine_options),
        weights(engine_options.weights),
        incarnation(RandomId().substr(0, 16)),
        cache(engine_options.cache_blocks),
        event_log(engine_options.event_delay, engine_options.event_loss),
        work(asio::make_work_guard(io)),
        prefill_timer(io),
        decode_timer(io),
        load_timer(io) {}

  EngineOptions options;
  std::string weights;
  std::string incarnation;
  BlockCache cache;
  EventLog event_log;
  asio::io_context io;
  asio::executor_work_guard<asio::io_context::executor_type> work;
  asio::steady_timer prefill_timer;
  asio::steady_timer decode_timer;
  asio::steady_timer load_timer;
  std::vector<std::shared_ptr<Job>> waiting;
  std::shared_ptr<Job> prefilling;
  std::vector<std::shared_ptr<Job>> running;
  bool decoding = false;
  bool frozen = false;
  bool leaving = false;
  std::uint64_t highest_fencing = 0;
  std::string load_report;  // lags; empty before the first
  EngineCounts counts;
  std::unique_ptr<HttpServer> server;
  std::thread thread;

  // Everything below runs on the one thread of `io`.

  void Serve(const HttpRequest& request, const Responder& responder) {
    const bool chat = request.path == "/v1/chat/completions";
    if (chat || request.path == "/v1/completions") return Admit(request, responder, chat);
    if (request.path == "/ridgehold/load") return SendJson(responder, load_report);
    if (request.path == "/ridgehold/events") return SendEvents(request.query, responder);
    if (request.path == "/ridgehold/blocks") return SendBlocks(request.query, responder);
    if (request.path == "/ridgehold/orders") return TakeOrder(request.body, responder);
    if (request.path == "/standin/counts") return SendCounts(responder);
    if (request.path == "/standin/faults") return SetFaults(request.body, responder);
    responder.Send(404, {}, "");
  }

  static void SendJson(const Responder& responder, const std::string& body) {
    responder.Send(200, {{"Content-Type", "application/json"}}, body);
  }

  Headers Identity(const std::string& request_id, const std::string& salt) const {
    return {{header::kRequestId, request_id},
            {header::kIncarnation, incarnation},
            {header::kWeights, weights},
            {header::kCacheSalt, salt}};
  }

  void Refuse(const Responder& responder, const std::string& request_id, int status,
              const std::string& why) {
    Headers headers = Identity(request_id, "");
    headers.Add(header::kNotRun, "1");
    headers.Add("Retry-After", std::to_string(kBusyRetrySeconds));
    if (leaving) headers.Add(header::kLeaving, "1");
    headers.Add("Content-Type", "application/json");
    responder.Send(status, headers, json{{"error", {{"message", why}}}}.dump());
  }

  void Admit(const HttpRequest& request, const Responder& responder, bool chat) {
    const std::string id = request.headers.Get(header::kRequestId);
    if (leaving) return Refuse(responder, id, 503, "leaving");
    const std::string expected = request.headers.Get(header::kIncarnation);
    if (!expected.empty() && expected != incarnation) {
      return Refuse(responder, id, 409, "another incarnation");
    }
    if (request.headers.Get(header::kWeights) != weights) {
      return Refuse(responder, id, 409, "other weights are loaded");
    }
    const auto prompt =
        ValueOr([&]() -> Result<std::optional<Prompt>> { return ParsePrompt(request.body); },
                [](const Failure&) { return std::optional<Prompt>(); });
    if (!prompt) return Refuse(responder, id, 400, "the body cannot be read");
    auto job = std::make_shared<Job>(Job{responder,
                                         id,
                                         request.headers.Get(header::kCacheSalt),
                                         *prompt,
                                         {},
                                         chat,
                                         0,
                                         0,
                                         0,
                                         0,
                                         "",
                                         false});
    job->chain = HashBlocks(prompt->text, job->salt);
    job->tokens = prompt->max_tokens != 0 ? prompt->max_tokens : kDefaultMaxTokens;
    job->next = ResumeOffset(request.body);
    const std::string priority = request.headers.Get(header::kPriority);
    job->priority = priority.empty() ? 0 : std::stoi(priority);
    ++counts.requests;
    waiting.push_back(job);
    if (prompt->stream) {
      Headers headers = Identity(id, job->salt);
      headers.Add("Content-Type", "text/event-stream");
      responder.Begin(200, headers);
    }
    StartPrefill();
  }

  static std::size_t ResumeOffset(const std::string& body) {
    const json parsed = json::parse(body, nullptr, false);
    const auto resume = parsed.find("ridgehold_resume");
    return resume == parsed.end() ? 0 : resume->value("offset", std::size_t{0});
  }

  void StartPrefill() {
    if (prefilling || waiting.empty() || frozen) return;
    const auto first =
        std::ranges::max_element(waiting, {}, [](const auto& job) { return job->priority; });
    prefilling = *first;
    waiting.erase(first);
    const std::size_t total = CountTokens(prefilling->prompt.text);
    const std::size_t cached = std::min(total, cache.Match(prefilling->chain) * kBlockTokens);
    prefilling->cached_tokens = cached;
    counts.prompt_tokens += total;
    counts.cached_tokens += cached;
    const auto cost = std::chrono::microseconds(static_cast<std::int64_t>(
        static_cast<double>(total - cached) / options.prefill_tokens_per_s * 1e6));
    prefill_timer.expires_after(options.prefill_overhead + cost);
    prefill_timer.async_wait([this](const asio::error_code& error) {
      if (!error) EndPrefill();
    });
  }

  void EndPrefill() {
    const std::shared_ptr<Job> job = std::exchange(prefilling, nullptr);
    std::vector<BlockHash> added;
    std::vector<BlockHash> evicted;
    cache.Store(job->chain, added, evicted);
    event_log.Publish("stored", std::move(added));
    event_log.Publish("removed", std::move(evicted));
    if (job->prompt.stream) {
      WriteEvent(job, "event: ridgehold\n", json{{"cached_tokens", job->cached_tokens}}.dump());
    }
    running.push_back(job);
    if (!decoding) ScheduleDecode();
    StartPrefill();
  }

  void ScheduleDecode() {
    decoding = !running.empty() && !frozen;
    if (!decoding) return;
    const double slower = 1 + options.decode_slowdown * static_cast<double>(running.size() - 1);
    const auto step = std::chrono::microseconds(
        static_cast<std::int64_t>(static_cast<double>(options.decode_step.count()) * slower));
    decode_timer.expires_after(step);
    decode_timer.async_wait([this](const asio::error_code& error) {
      if (!error) DecodeStep();
    });
  }

  void DecodeStep() {
    for (const auto& job : running) EmitToken(job);
    std::erase_if(running, [](const auto& job) { return job->gone || job->next >= job->tokens; });
    ScheduleDecode();
  }

  void EmitToken(const std::shared_ptr<Job>& job) {
    if (job->gone) return;
    if (job->next < job->tokens) {
      const std::string token = AnswerToken(job->prompt.text, job->next);
      if (job->prompt.stream) {
        WriteFrame(job, TokenChunk(*job, token).dump());
      } else {
        job->whole += token;
        ++job->next;
      }
    }
    if (job->next >= job->tokens) Finish(job);
  }

  json TokenChunk(const Job& job, const std::string& token) const {
    json choice = {{"index", 0}, {"finish_reason", nullptr}};
    if (job.chat) {
      choice["delta"] = {{"content", token}};
    } else {
      choice["text"] = token;
    }
    return Envelope(job, job.chat ? "chat.completion.chunk" : "text_completion", choice);
  }

  json Envelope(const Job& job, const char* object, const json& choice) const {
    return {{"id", "cmpl-" + job.request_id},
            {"object", object},
            {"model", job.prompt.model.value()},
            {"choices", {choice}}};
  }

  void Finish(const std::shared_ptr<Job>& job) {
    json choice = {{"index", 0}, {"finish_reason", "length"}};
    if (job->prompt.stream) {
      if (job->chat) {
        choice["delta"] = json::object();
      } else {
        choice["text"] = "";
      }
      const char* object = job->chat ? "chat.completion.chunk" : "text_completion";
      WriteFrame(job, Envelope(*job, object, choice).dump());
      WriteFrame(job, "[DONE]");
      job->responder.End();
      return;
    }
    if (job->chat) {
      choice["message"] = {{"role", "assistant"}, {"content", job->whole}};
    } else {
      choice["text"] = job->whole;
    }
    json body = Envelope(*job, job->chat ? "chat.completion" : "text_completion", choice);
    const std::size_t prompt_tokens = CountTokens(job->prompt.text);
    body["usage"] = {{"prompt_tokens", prompt_tokens},
                     {"completion_tokens", job->tokens},
                     {"total_tokens", prompt_tokens + job->tokens},
                     {"prompt_tokens_details", {{"cached_tokens", job->cached_tokens}}}};
    Headers headers = Identity(job->request_id, job->salt);
    headers.Add("Content-Type", "application/json");
    headers.Add(header::kCachedTokens, std::to_string(job->cached_tokens));
    job->responder.Send(200, headers, body.dump());
  }

  void WriteFrame(const std::shared_ptr<Job>& job, const std::string& data) {
    const std::string id =
        job->request_id + " " + incarnation + " " + weights + " " + std::to_string(job->next++);
    WriteEvent(job, "id: " + id + "\n", data);
  }

  void WriteEvent(const std::shared_ptr<Job>& job, const std::string& fields,
                  const std::string& data) {
    job->responder.Write(fields + "data: " + data + "\n\n", [this, job](bool ok) {
      if (ok) return;
      asio::post(io, [this, job] {
        if (!std::exchange(job->gone, true)) ++counts.cancelled;
      });
    });
  }

  void ReportLoad() {
    std::size_t waiting_tokens = 0;
    for (const auto& job : waiting) waiting_tokens += Uncached(*job);
    if (prefilling) waiting_tokens += Uncached(*prefilling);
    const std::string report = json{
        {"incarnation", incarnation},
        {"weights", weights},
        {"waiting_tokens", waiting_tokens},
        {"running", running.size()},
        {"prefill_tokens_per_s", options.prefill_tokens_per_s},
        {"leaving", leaving}}.dump();
    if (load_report.empty()) load_report = report;
    load_timer.expires_after(options.load_lag);
    load_timer.async_wait([this, report](const asio::error_code& error) {
      if (error) return;
      load_report = report;
      ReportLoad();
    });
  }

  std::size_t Uncached(const Job& job) const {
    const std::size_t total = CountTokens(job.prompt.text);
    return total - std::min(total, cache.Match(job.chain) * kBlockTokens);
  }

  void SendEvents(const std::string& query, const Responder& responder) {
    const std::uint64_t after = QueryNumber(query, "after");
    SendJson(responder, json{{"incarnation", incarnation},
                             {"load", json::parse(load_report)},
                             {"events", event_log.After(after)}}
                            .dump());
  }

  void SendBlocks(const std::string& query, const Responder& responder) {
    constexpr std::uint64_t kDefaultMost = 10'000;
    const std::uint64_t most = QueryNumber(query, "most");
    SendJson(responder, json{{"incarnation", incarnation},
                             {"seq", event_log.last_sequence()},
                             {"blocks", HexList(cache.Recent(most != 0 ? most : kDefaultMost))}}
                            .dump());
  }

  void TakeOrder(const std::string& body, const Responder& responder) {
    const json order = json::parse(body, nullptr, false);
    if (order.is_discarded()) return responder.Send(400, {}, "");
    const auto fencing = order.value("fencing", std::uint64_t{0});
    const bool old = options.checks_fencing && fencing < highest_fencing;
    const bool unexpected = order.contains("if_weights") && order["if_weights"] != weights;
    if (old || unexpected) return responder.Send(409, {}, json{{"weights", weights}}.dump());
    highest_fencing = std::max(highest_fencing, fencing);
    LoadWeights(order.value("weights", weights));
    SendJson(responder, json{{"weights", weights}}.dump());
  }

  void LoadWeights(const std::string& version) {
    if (version == weights) return;
    weights = version;
    cache.Clear();
    event_log.Publish("cleared", {0});
  }

  void SendCounts(const Responder& responder) const {
    SendJson(responder, json{{"requests", counts.requests},
                             {"prompt_tokens", counts.prompt_tokens},
                             {"cached_tokens", counts.cached_tokens},
                             {"cancelled", counts.cancelled}}
                            .dump());
  }

  void SetFaults(const std::string& body, const Responder& responder) {
    const json faults = json::parse(body, nullptr, false);
    if (faults.is_discarded()) return responder.Send(400, {}, "");
    if (faults.contains("leaving")) leaving = faults["leaving"];
    if (faults.contains("frozen")) Freeze(faults["frozen"]);
    if (faults.value("crash", false)) Crash();
    SendJson(responder, "{}");
  }

  void Freeze(bool freeze) {
    frozen = freeze;
    if (frozen) {
      decode_timer.cancel();
      decoding = false;
      return;
    }
    StartPrefill();
    if (!decoding) ScheduleDecode();
  }

  void Crash() {
    prefill_timer.cancel();
    incarnation = RandomId().substr(0, 16);
    cache.Clear();
    event_log.Clear();
    std::vector<std::shared_ptr<Job>> lost = std::exchange(waiting, {});
    if (prefilling) lost.push_back(std::exchange(prefilling, nullptr));
    std::ranges::move(std::exchange(running, {}), std::back_inserter(lost));
    for (const auto& job : lost) {
      if (job->prompt.stream) {
        job->responder.End();
      } else {
        job->responder.Send(502, {}, "");
      }
    }
  }
};

Engine::Engine(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Engine::~Engine() {
  impl_->work.reset();
  impl_->io.stop();
  if (impl_->thread.joinable()) impl_->thread.join();
  impl_->waiting.clear();
  impl_->running.clear();
  impl_->prefilling.reset();
  impl_->server.reset();
}

Result<std::unique_ptr<Engine>> Engine::Create(const EngineOptions& options) {
  auto impl = std::make_unique<Impl>(options);
  HttpServerOptions server_options;
  server_options.address = options.address;
  server_options.port = options.port;
  server_options.threads = 1;
  auto handler = [raw = impl.get()](HttpRequest request, Responder responder) {
    asio::post(raw->io, [raw, request = std::move(request), responder = std::move(responder)] {
      raw->Serve(request, responder);
    });
  };
  BOOST_LEAF_ASSIGN(impl->server, HttpServer::Create(server_options, std::move(handler)));
  impl->ReportLoad();
  impl->thread = std::thread([raw = impl.get()] { raw->io.run(); });
  return std::unique_ptr<Engine>(new Engine(std::move(impl)));
}

std::uint16_t Engine::port() const { return impl_->server->port(); }

std::string Engine::url() const { return "http://127.0.0.1:" + std::to_string(port()); }

namespace {

/// Runs `operation` on the engine's thread and returns its value.
template <class Operation>
auto RunOn(asio::io_context& io, Operation operation) {
  std::packaged_task<decltype(operation())()> task(std::move(operation));
  auto future = task.get_future();
  asio::post(io, [&task] { task(); });
  return future.get();
}

}  // namespace

std::string Engine::incarnation() const {
  return RunOn(impl_->io, [this] { return impl_->incarnation; });
}

std::string Engine::weights() const {
  return RunOn(impl_->io, [this] { return impl_->weights; });
}

EngineCounts Engine::counts() const {
  return RunOn(impl_->io, [this] { return impl_->counts; });
}

void Engine::SetLeaving(bool leaving) {
  RunOn(impl_->io, [&] { impl_->leaving = leaving; });
}

void Engine::SetFrozen(bool frozen) {
  RunOn(impl_->io, [&] { impl_->Freeze(frozen); });
}

void Engine::SetWeights(const std::string& weights) {
  RunOn(impl_->io, [&] { impl_->LoadWeights(weights); });
}

void Engine::Crash() {
  RunOn(impl_->io, [this] { impl_->Crash(); });
}

}  // namespace ridgehold::standin
