// ridgehold-bench: an open-loop load generator for daemons in front of engine stand-ins.

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <cmath>
#include <condition_variable>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>
#include <unordered_set>

#include "base/ids.h"
#include "base/result.h"
#include "cache/block_chain.h"
#include "http/client.h"
#include "simple_http.h"
#include "workload.h"

namespace ridgehold::bench {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

struct Options {
  std::vector<std::string> daemons;
  std::vector<std::string> engines;
  std::string workload = "amakusa";
  std::string scenario = "steady";
  std::string label;
  std::string key_prefix = "key-";
  double rate = 60;
  double rush_factor = 1.5;
  double warmup = 6;
  double seconds = 10;
  int max_tokens = 32;
  std::uint64_t seed = 1;
  int concurrency = 0;  ///< so many callers one request after the other; 0: on schedule
  std::string weights;  ///< set to call an engine directly, without a daemon
};

/// What the callers saw.
struct Observations {
  std::vector<double> first_token;  ///< seconds from the intended send time
  std::vector<double> between;      ///< seconds between frames
  std::uint64_t sent = 0;
  std::uint64_t whole = 0;
  std::uint64_t refused = 0;  ///< with Retry-After, as not run
  std::uint64_t failed = 0;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t new_tokens = 0;  ///< never sent before: no policy can avoid them
};

/// The engines' own counts, added up.
struct EngineCounts {
  std::int64_t requests = 0;
  std::int64_t prompt_tokens = 0;
  std::int64_t cached_tokens = 0;
};

double Quantile(std::vector<double>& values, double quantile) {
  if (values.empty()) return 0;
  const auto at = static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
  return values[at];
}

double Ms(double seconds) { return std::round(seconds * 1e5) / 100; }

EngineCounts ReadCounts(HttpClient& client, const std::vector<std::string>& engines) {
  EngineCounts sum;
  for (const std::string& engine : engines) {
    int status = 0;
    const json counts =
        json::parse(Send(client, "GET", engine + "/standin/counts", "", status), nullptr, false);
    if (!counts.is_object()) continue;
    sum.requests += counts["requests"].get<std::int64_t>();
    sum.prompt_tokens += counts["prompt_tokens"].get<std::int64_t>();
    sum.cached_tokens += counts["cached_tokens"].get<std::int64_t>();
  }
  return sum;
}

/// Stands in for the platform's balancer: knows which daemons are ready.
class Balancer {
 public:
  Balancer(HttpClient& client, std::vector<std::string> daemons)
      : client_(client), daemons_(std::move(daemons)), ready_(daemons_.size()) {
    for (auto& ready : ready_) ready.store(true);
    thread_ = std::thread([this] { Run(); });
  }

  ~Balancer() {
    stopping_.store(true);
    thread_.join();
  }

  /// The next ready daemon in turn; any, if none is.
  const std::string& Next() {
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
      const std::size_t at = turn_++ % daemons_.size();
      if (ready_[at].load()) return daemons_[at];
    }
    return daemons_[turn_++ % daemons_.size()];
  }

 private:
  void Run() {
    while (!stopping_.load()) {
      for (std::size_t i = 0; i < daemons_.size(); ++i) {
        int status = 0;
        Send(client_, "GET", daemons_[i] + "/readyz", "", status);
        ready_[i].store(status == 200);
      }
      std::this_thread::sleep_for(milliseconds(100));
    }
  }

  HttpClient& client_;
  std::vector<std::string> daemons_;
  std::vector<std::atomic<bool>> ready_;
  std::atomic<bool> stopping_{false};
  std::size_t turn_ = 0;
  std::thread thread_;
};

/// Sends the load and collects what comes back.
class Generator {
 public:
  Generator(HttpClient& client, Balancer& balancer, const Options& options)
      : client_(client),
        balancer_(balancer),
        options_(options),
        workload_(options.workload == "tasman" ? Tasman() : Amakusa(), ScenarioOf(options),
                  options.seed) {}

  /// Sends from `from` to `to` seconds of the run, on schedule whatever the
  /// answers do, and returns without waiting for them.
  void Send(double from, double to, bool measured) {
    std::exponential_distribution<> gap(1);
    double at = from;
    while (true) {
      const bool hot = options_.scenario == "friday" && measured && at - from > (to - from) / 4;
      at += gap(random_) / (options_.rate * (hot ? options_.rush_factor : 1));
      if (at >= to) return;
      const TimePoint intended =
          start_ + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(at));
      std::this_thread::sleep_until(intended);
      SendOne(workload_.Next(at, hot), intended, measured);
    }
  }

  /// Keeps `concurrency` requests out for `seconds`; each caller sends its next
  /// request when the last one is answered. For comparing latencies only.
  void SendClosed(double seconds, bool measured) {
    const TimePoint end = Clock::now() + std::chrono::duration_cast<Clock::duration>(
                                             std::chrono::duration<double>(seconds));
    while (Clock::now() < end) {
      {
        std::unique_lock lock(mutex_);
        one_in_.wait(lock,
                     [this] { return out_ < static_cast<std::uint64_t>(options_.concurrency); });
      }
      SendOne(workload_.Next(0, false), Clock::now(), measured);
    }
  }

  /// Waits for the answers that are still out; false when some never came.
  bool WaitForAll() {
    std::unique_lock lock(mutex_);
    return all_in_.wait_for(lock, std::chrono::seconds(60), [this] { return out_ == 0; });
  }

  Observations& observations() { return observations_; }

 private:
  struct Pending {
    TimePoint intended;
    TimePoint last;
    bool measured = false;
    bool any = false;
    int status = 0;
    bool not_run = false;
    std::string tail;
  };

  static Scenario ScenarioOf(const Options& options) {
    if (options.scenario == "friday") return Scenario::kFridayNight;
    if (options.scenario == "moving") return Scenario::kMovingHotSet;
    return Scenario::kSteady;
  }

  void SendOne(const PromptSpec& prompt, TimePoint intended, bool measured) {
    CountNew(prompt, measured);
    HttpCall call;
    call.method = "POST";
    call.url = balancer_.Next() + "/v1/completions";
    call.headers = {
        {"Content-Type", "application/json"},
        {"Authorization", "Bearer " + options_.key_prefix + std::to_string(prompt.workspace)}};
    call.body = json{{"model", "m"},
                     {"stream", true},
                     {"max_tokens", options_.max_tokens},
                     {"prompt", prompt.text}}
                    .dump();
    if (!options_.weights.empty()) {
      call.headers.Add("X-Ridgehold-Weights", options_.weights);
      call.headers.Add("X-Ridgehold-Request-Id", "bench");
      call.headers.Add("X-Ridgehold-Cache-Salt", std::to_string(prompt.workspace));
    }
    call.total_timeout = milliseconds(60'000);
    auto pending = std::make_shared<Pending>();
    pending->intended = intended;
    pending->measured = measured;
    {
      const std::lock_guard lock(mutex_);
      ++out_;
      if (measured) ++observations_.sent;
    }
    client_.Start(std::move(call),
                  {.on_head =
                       [pending](int status, const Headers& headers) {
                         pending->status = status;
                         pending->not_run = headers.Get("X-Ridgehold-Execution") == "not run" &&
                                            headers.Find("Retry-After").has_value();
                       },
                   .on_body =
                       [this, pending](std::string_view bytes) {
                         Take(*pending, bytes);
                         return true;
                       },
                   .on_end = [this, pending](const TransferEnd&) { Finish(*pending); }});
  }

  void CountNew(const PromptSpec& prompt, bool measured) {
    const std::vector<BlockHash> chain = HashBlocks(prompt.text, std::to_string(prompt.workspace));
    std::uint64_t known = 0;
    for (const BlockHash block : chain) known += seen_.insert(block).second ? 0 : 1;
    if (!measured) return;
    const std::lock_guard lock(mutex_);
    observations_.prompt_tokens += CountTokens(prompt.text);
    observations_.new_tokens += CountTokens(prompt.text) - known * kBlockTokens;
  }

  void Take(Pending& pending, std::string_view bytes) {
    // An engine called directly first tells how much it had cached.
    if (!pending.any && bytes.starts_with("event:")) return;
    const TimePoint now = Clock::now();
    const std::chrono::duration<double> since =
        now - (pending.any ? pending.last : pending.intended);
    pending.tail += bytes;
    if (pending.tail.size() > 64) pending.tail.erase(0, pending.tail.size() - 64);
    pending.last = now;
    const bool first = !std::exchange(pending.any, true);
    if (!pending.measured || pending.status != 200) return;
    const std::lock_guard lock(mutex_);
    (first ? observations_.first_token : observations_.between).push_back(since.count());
  }

  void Finish(const Pending& pending) {
    const bool whole = pending.status == 200 && pending.tail.ends_with("data: [DONE]\n\n");
    const std::lock_guard lock(mutex_);
    if (pending.measured) {
      if (whole)
        ++observations_.whole;
      else if (pending.not_run)
        ++observations_.refused;
      else
        ++observations_.failed;
    }
    if (--out_ == 0) all_in_.notify_all();
    one_in_.notify_all();
  }

  HttpClient& client_;
  Balancer& balancer_;
  const Options& options_;
  Workload workload_;
  std::mt19937_64 random_{7};
  TimePoint start_ = Clock::now();
  std::unordered_set<BlockHash> seen_;
  std::mutex mutex_;  // guards what follows
  std::condition_variable all_in_;
  std::condition_variable one_in_;
  std::uint64_t out_ = 0;
  Observations observations_;
};

json Report(const Options& options, Observations& seen, const EngineCounts& before,
            const EngineCounts& after) {
  const double prompt = static_cast<double>(after.prompt_tokens - before.prompt_tokens);
  const double cached = static_cast<double>(after.cached_tokens - before.cached_tokens);
  const double bound = 1 - static_cast<double>(seen.new_tokens) /
                               std::max(1.0, static_cast<double>(seen.prompt_tokens));
  const double unavoidable = prompt * (1 - bound);
  return {{"label", options.label},
          {"workload", options.workload},
          {"scenario", options.scenario},
          {"rate", options.rate},
          {"sent", seen.sent},
          {"whole", seen.whole},
          {"refused", seen.refused},
          {"failed", seen.failed},
          {"hit_rate", prompt > 0 ? cached / prompt : 0},
          {"hit_bound", bound},
          {"wasted_tokens", std::max(0.0, prompt - cached - unavoidable)},
          {"tries_per_request", static_cast<double>(after.requests - before.requests) /
                                    std::max<double>(1, static_cast<double>(seen.sent))},
          {"first_token_p50_ms", Ms(Quantile(seen.first_token, 0.50))},
          {"first_token_p95_ms", Ms(Quantile(seen.first_token, 0.95))},
          {"first_token_p99_ms", Ms(Quantile(seen.first_token, 0.99))},
          {"between_p50_ms", Ms(Quantile(seen.between, 0.50))},
          {"between_p95_ms", Ms(Quantile(seen.between, 0.95))},
          {"between_p99_ms", Ms(Quantile(seen.between, 0.99))}};
}

Result<int> Run(const Options& options) {
  BOOST_LEAF_AUTO(client, HttpClient::Create());
  BOOST_LEAF_AUTO(side_client, HttpClient::Create());
  Balancer balancer(*side_client, options.daemons);
  Generator generator(*client, balancer, options);
  const bool closed = options.concurrency > 0;
  closed ? generator.SendClosed(options.warmup, false) : generator.Send(0, options.warmup, false);
  const EngineCounts before = ReadCounts(*side_client, options.engines);
  closed ? generator.SendClosed(options.seconds, true)
         : generator.Send(options.warmup, options.warmup + options.seconds, true);
  const bool all = generator.WaitForAll();
  const EngineCounts after = ReadCounts(*side_client, options.engines);
  json report = Report(options, generator.observations(), before, after);
  report["all_answered"] = all;
  std::cout << report.dump() << "\n";
  return 0;
}

}  // namespace

namespace {

std::string Rounded(const json& run, const char* name, double factor, int digits) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(digits) << run.value(name, 0.0) * factor;
  return text.str();
}

/// Prints runs as a table that compares policies side by side.
int PrintReport(const std::string& path) {
  std::ifstream file(path);
  std::cout << "| Workload | Scenario | Policy | Hit % (bound) | First token p50 / p95 / p99 ms | "
               "Wasted k tokens | Refused | Failed | Sent | Tries |\n"
            << "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
  for (std::string line; std::getline(file, line);) {
    const json run = json::parse(line, nullptr, false);
    if (!run.is_object()) continue;
    std::cout << "| " << run.value("workload", "") << " | " << run.value("scenario", "") << " | "
              << run.value("label", "") << " | " << Rounded(run, "hit_rate", 100, 1) << " ("
              << Rounded(run, "hit_bound", 100, 1) << ") | "
              << Rounded(run, "first_token_p50_ms", 1, 0) << " / "
              << Rounded(run, "first_token_p95_ms", 1, 0) << " / "
              << Rounded(run, "first_token_p99_ms", 1, 0) << " | "
              << Rounded(run, "wasted_tokens", 1e-3, 0) << " | " << run.value("refused", 0) << " | "
              << run.value("failed", 0) << " | " << run.value("sent", 0) << " | "
              << Rounded(run, "tries_per_request", 1, 2) << " |\n";
  }
  return 0;
}

}  // namespace

int Main(int argc, char** argv) {
  if (argc == 3 && std::string(argv[1]) == "--report") return PrintReport(argv[2]);
  Options options;
  CLI::App app("ridgehold-bench sends nested-prefix load on schedule and reports one JSON line");
  app.add_option("--daemon", options.daemons, "caller URL, once for each daemon")->required();
  app.add_option("--engine", options.engines, "engine stand-in URL, once for each");
  app.add_option("--workload", options.workload, "amakusa or tasman");
  app.add_option("--scenario", options.scenario, "steady, friday or moving; others name the run");
  app.add_option("--label", options.label, "copied into the report, such as the policy");
  app.add_option("--rate", options.rate, "requests a second");
  app.add_option("--warmup", options.warmup, "seconds not measured");
  app.add_option("--seconds", options.seconds, "seconds measured");
  app.add_option("--max-tokens", options.max_tokens, "tokens of each answer");
  app.add_option("--concurrency", options.concurrency,
                 "so many callers, each one request after the other, instead of a rate");
  app.add_option("--weights", options.weights,
                 "call engine stand-ins of this weights version directly");
  app.add_option("--seed", options.seed, "of the workload");
  app.footer("ridgehold-bench --report FILE prints the runs in FILE as a table.");
  CLI11_PARSE(app, argc, argv);
  return ValueOr([&] { return Run(options); },
                 [](const Failure& failure) {
                   std::cerr << failure.detail << "\n";
                   return 2;
                 });
}

}  // namespace ridgehold::bench

int main(int argc, char** argv) { return ridgehold::bench::Main(argc, argv); }
