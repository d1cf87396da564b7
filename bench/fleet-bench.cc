// fleet-bench: how fast changes come into force on many daemons, and what control costs.

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <future>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "base/ids.h"
#include "base/result.h"
#include "http/client.h"
#include "simple_http.h"

namespace ridgehold::bench {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

struct Options {
  std::vector<std::string> daemons;  // operator URLs
  std::string platform;
  int changes = 200;
  double idle_seconds = 10;
  std::string faults;       // set at the platform before the changes
  bool lose_after = false;  // the platform goes down right after each acceptance
};

constexpr milliseconds kLongestWait{30'000};
constexpr milliseconds kPollPause{1};

std::uint64_t RevisionOf(HttpClient& client, const std::string& daemon) {
  int status = 0;
  const std::string text = Send(client, "GET", daemon + "/v1/revision", "", status);
  return status == 200 ? std::stoull(text) : 0;
}

/// Sums of the daemons' counters, by name with labels.
std::map<std::string, double> ReadCounters(HttpClient& client,
                                           const std::vector<std::string>& daemons) {
  std::map<std::string, double> sums;
  for (const std::string& daemon : daemons) {
    int status = 0;
    std::istringstream lines(Send(client, "GET", daemon + "/metrics", "", status));
    for (std::string line; std::getline(lines, line);) {
      if (line.starts_with('#')) continue;
      const std::size_t blank = line.rfind(' ');
      if (blank != std::string::npos) sums[line.substr(0, blank)] += std::stod(line.substr(blank));
    }
  }
  return sums;
}

void SetFaults(HttpClient& client, const Options& options, const std::string& faults) {
  int status = 0;
  Send(client, "POST", options.platform + "/standin/faults", faults, status);
}

/// Waits until every daemon is at `revision`; returns whether all got there.
bool WaitForAll(HttpClient& client, const Options& options, std::uint64_t revision) {
  const TimePoint end = Clock::now() + kLongestWait;
  std::vector<std::string> behind = options.daemons;
  while (!behind.empty()) {
    std::erase_if(
        behind, [&](const std::string& daemon) { return RevisionOf(client, daemon) >= revision; });
    if (Clock::now() >= end) return false;
    if (!behind.empty()) std::this_thread::sleep_for(kPollPause);
  }
  return true;
}

struct ChangeTimes {
  std::vector<double> accepted_ms;
  std::vector<double> in_force_ms;
  int unresolved = 0;
  int failed = 0;
  int late = 0;
};

/// Makes one change and waits until it is in force everywhere. Times count
/// from the acceptance.
void MakeChange(HttpClient& client, const Options& options, int number, ChangeTimes& times) {
  const std::string& daemon =
      options.daemons[static_cast<std::size_t>(number) % options.daemons.size()];
  int status = 0;
  const TimePoint asked = Clock::now();
  const std::string text = "change workspace w0 share " + std::to_string(number % 100 + 1);
  const std::string body = Send(client, "POST", daemon + "/v1/command", text, status);
  const TimePoint accepted = Clock::now();
  if (options.lose_after) SetFaults(client, options, R"({"down":true})");
  if (status == 200) {
    const std::string revision = json::parse(body)["rows"][0][1];
    times.late += WaitForAll(client, options, std::stoull(revision)) ? 0 : 1;
    const std::chrono::duration<double, std::milli> took = Clock::now() - accepted;
    const std::chrono::duration<double, std::milli> waited = accepted - asked;
    times.in_force_ms.push_back(took.count());
    times.accepted_ms.push_back(waited.count());
  } else {
    (status == 202 ? times.unresolved : times.failed) += 1;
  }
  if (options.lose_after) SetFaults(client, options, "{}");
}

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto at = static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1));
  return std::round(values[at] * 100) / 100;
}

json MeasureIdle(HttpClient& client, const Options& options) {
  const auto before = ReadCounters(client, options.daemons);
  std::this_thread::sleep_for(std::chrono::duration<double>(options.idle_seconds));
  auto after = ReadCounters(client, options.daemons);
  const double each = options.idle_seconds * static_cast<double>(options.daemons.size());
  json idle;
  for (const auto& [name, value] : after) {
    const auto found = before.find(name);
    const double growth = value - (found == before.end() ? 0 : found->second);
    const bool of_interest =
        name.starts_with("ridgehold_peer") || name.starts_with("ridgehold_platform");
    if (of_interest && growth > 0) idle[name + " a daemon and second"] = growth / each;
  }
  return idle;
}

Result<int> Run(const Options& options) {
  BOOST_LEAF_AUTO(client, HttpClient::Create());
  json report = {{"daemons", options.daemons.size()}, {"changes", options.changes}};
  if (options.idle_seconds > 0) report["idle"] = MeasureIdle(*client, options);
  if (options.changes > 0) {
    if (!options.faults.empty()) SetFaults(*client, options, options.faults);
    ChangeTimes times;
    for (int i = 0; i < options.changes; ++i) MakeChange(*client, options, i, times);
    if (!options.faults.empty()) SetFaults(*client, options, "{}");
    report["faults"] = options.lose_after ? "down right after each acceptance" : options.faults;
    report["in_force_everywhere_ms"] = {{"p50", Quantile(times.in_force_ms, 0.5)},
                                        {"p99", Quantile(times.in_force_ms, 0.99)},
                                        {"max", Quantile(times.in_force_ms, 1)}};
    report["acceptance_ms"] = {{"p50", Quantile(times.accepted_ms, 0.5)},
                               {"max", Quantile(times.accepted_ms, 1)}};
    report["unresolved"] = times.unresolved;
    report["failed"] = times.failed;
    report["not_in_force_after_30_s"] = times.late;
  }
  std::cout << report.dump() << "\n";
  return 0;
}

}  // namespace

int Main(int argc, char** argv) {
  Options options;
  CLI::App app("fleet-bench measures configuration spread and the cost of control");
  app.add_option("--operator", options.daemons, "operator URL, once for each daemon")->required();
  app.add_option("--platform", options.platform, "URL of the platform stand-in")->required();
  app.add_option("--changes", options.changes);
  app.add_option("--idle-seconds", options.idle_seconds, "measure control without changes; 0: not");
  app.add_option("--faults", options.faults, "JSON for the platform stand-in during the changes");
  app.add_flag("--lose-after", options.lose_after, "platform down right after each acceptance");
  CLI11_PARSE(app, argc, argv);
  return ValueOr([&] { return Run(options); },
                 [](const Failure& failure) {
                   std::cerr << failure.detail << "\n";
                   return 2;
                 });
}

}  // namespace ridgehold::bench

int main(int argc, char** argv) { return ridgehold::bench::Main(argc, argv); }
