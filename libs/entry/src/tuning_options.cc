#include "entry/tuning_options.h"

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <cmath>
#include <concepts>
#include <fstream>
#include <sstream>

#include "settings/ini_document.h"

namespace ridgehold {
namespace {

std::string FullName(const IniEntry& entry) { return entry.section + "." + entry.key; }

std::string FormatEntry(const IniEntry& entry) { return entry.key + " = " + entry.value; }

/// CLI::NonNegativeNumber is not used: its error message prints a range with 300 digits.
std::string CheckNotNegative(const std::string& text) {
  double value = 0;
  const bool fits = CLI::detail::lexical_cast(text, value) && std::isfinite(value) && value >= 0;
  return fits ? "" : text + " is not a non-negative number";
}

/// A factor below one would also apply to services whose objectives are all equal.
std::string CheckRatio(const std::string& text) {
  double value = 0;
  const bool fits = CLI::detail::lexical_cast(text, value) && (value == 0 || value >= 1);
  return fits ? "" : text + " is neither 0 nor at least 1";
}

}  // namespace

TuningOptions TuningOptions::Create(CLI::App& app, EntryTuning& tuning) {
  TuningOptions options(app);
  options.AddPlacement(tuning.placement);
  options.AddLimits(tuning);
  options.AddRollout(tuning);
  return options;
}

template <class Field>
void TuningOptions::Add(const std::string& name, Field& field, const std::string& help) {
  CLI::Option* option = app_.add_option("--" + name, field, help)->capture_default_str();
  constexpr bool kIsNumber = !std::same_as<Field, bool> && !std::same_as<Field, std::string>;
  if constexpr (kIsNumber) option->check(CheckNotNegative);
  value_getters_[name] = [&field] { return fmt::format("{}", field); };
}

void TuningOptions::AddFraction(const std::string& name, double& field, const std::string& help) {
  Add(name, field, help);
  app_.get_option("--" + name)->check(CLI::Range(0.0, 1.0));
}

void TuningOptions::AddPlacement(PlacementCosts& placement) {
  Add("placement.prefill-tokens-per-ms", placement.prefill_tokens_per_ms,
      "Prefill rate of an engine, in tokens/ms, until it has been estimated");
  Add("placement.per-running-request", placement.per_running_request,
      "Wait in ms that each running request adds");
  Add("placement.other-zone", placement.cross_zone,
      "Cost in ms of sending a request to another zone");
  Add("placement.other-region", placement.cross_region,
      "Cost in ms of sending a request to another region");
  Add("placement.zone-servers", placement.min_zone_servers,
      "Healthy servers of a zone from which on its gateways place requests only there");
  Add("placement.fetch-call", placement.fetch_call,
      "Cost in ms of fetching cached prompt parts from another engine");
  Add("placement.fetch-token", placement.fetch_token,
      "Cost in ms of each token fetched, including what it evicts");
  Add("placement.store-call", placement.store_call,
      "Cost in ms of a fetch from the KV cache store");
  Add("placement.store-token", placement.store_token,
      "Cost in ms of each token fetched from the KV cache store");
  Add("placement.copy-token", placement.copy_token,
      "Cost in ms of each token of a second copy, which evicts another");
  Add("placement.per-running-call", placement.per_running_call,
      "Wait in ms that each running call adds at a plain service");
  Add("placement.failing", placement.error_penalty,
      "Cost in ms of a backend server whose responses all fail");
  Add("placement.older-weights", placement.older_weights,
      "Cost in ms of an engine with older weights");
  AddFraction("placement.doubtful-part", placement.eviction_risk_fraction,
              "Least recently used fraction of an engine's memory that may already be evicted");
  Add("placement.observe-speed", placement.estimate_prefill_rate,
      "Estimate the prefill rate of engines from the times of first events");
  Add("placement.engines-as-sources", placement.engines_as_sources,
      "Fetch cached parts from engines even if there is a KV cache store");
  Add("placement.watch-links", placement.watch_links,
      "Let fetches wait for earlier ones on the same link");
}

void TuningOptions::AddLimits(EntryTuning& tuning) {
  Add("placement.older-weights-free-ms", tuning.older_weights_grace_ms,
      "Time in ms after newer weights are announced in which older ones cost nothing");
  Add("limits.call-patience", tuning.call_timeout_objectives,
      "Time until a call is tried elsewhere, in latency objectives");
  Add("limits.stream-patience", tuning.stream_timeout_objectives,
      "Time until a stream is tried elsewhere, in latency objectives");
  Add("admission.enabled", tuning.admission.enabled,
      "Queue completion requests in the gateway until an engine has capacity");
  AddFraction(
      "admission.full-part", tuning.admission.max_load_fraction,
      "Maximum prefill backlog of an engine, as a fraction of the shortest latency objective");
  AddFraction("admission.late-part", tuning.admission.late_load_fraction,
              "The same for requests that already miss their objective");
  Add("admission.longest-wait", tuning.admission.max_wait_objectives,
      "Maximum queueing time of a request, in latency objectives");
  Add("streams.strict-pause", tuning.strict_pause_ms,
      "Longest pause objective in ms for which streams are kept apart from prefill; 0: none");
  Add("performance.enabled", tuning.performance.enabled,
      "Learn the speed of each engine where pause objectives are strict, and place requests by it");
  Add("performance.late-pause", tuning.performance.late_pause_ms,
      "Highest cost in ms of an engine where a stream is expected to pause for too long");
  Add("priority.enabled", tuning.priority.enabled,
      "Order requests by urgency and by the shares of their workspaces");
  Add("priority.min-objective-ratio", tuning.priority.min_objective_ratio,
      "Order requests where the latency objectives of a service differ by this factor; 0: nowhere");
  app_.get_option("--priority.min-objective-ratio")->check(CheckRatio);
  Add("groups.enabled", tuning.groups.enabled,
      "Keep short prompts and prompts that delay streams on different engines");
  AddFraction("groups.urgent-part", tuning.groups.max_urgent_part,
              "Largest part of the engines for short prompts that are more urgent than long ones");
  AddFraction("groups.equal-part", tuning.groups.max_equal_part,
              "The same for short prompts that are equally urgent; 0: none of their own");
  Add("memory.enabled", tuning.memory_enabled,
      "Send requests of services with strict pauses only to engines with room in their memory");
  Add("memory.no-room", tuning.placement.no_room_penalty,
      "Cost in ms of an engine whose memory has no room for the request");
  Add("poison.most-ends", tuning.poison.max_crashes,
      "Backend servers that crash while running a request before it is quarantined; 0: never");
  AddFraction("quota.tolerance-part", tuning.quota_tolerance_fraction,
              "Fraction of the platform's tolerance above a quota that is granted");
  AddFraction(
      "limits.tolerance-part", tuning.limit_tolerance_fraction,
      "Fraction of the tolerance above a backend server's limit that is used; 0: the limit alone");
  Add("peers.most-told", tuning.max_broadcast_peers,
      "Largest fleet that broadcasts every request; in larger ones, tracking gateways are queried");
  Add("network.egress-address", tuning.egress_address,
      "IP address to which connections to backend servers go instead; empty: none");
  app_.get_option("--network.egress-address")->check(CLI::ValidIPV4);
  Add("probing.enabled", tuning.probing.enabled,
      "Probe backend servers that may be unreachable by opening connections");
}

void TuningOptions::AddRollout(EntryTuning& tuning) {
  Add("rollout.spare-retries", tuning.preserve_retry_budget,
      "Abort running requests for a load only if retry budget is left");
  Add("rollout.observe-loads", tuning.limit_by_measured_loads,
      "Limit concurrent loads to as many as help, judged by measured load durations");
  Add("rollout.shortest-drain-ms", tuning.min_drain_ms,
      "Minimum drain time in ms, used when all engines are busy");
  Add("rollout.engines-for-each-load", tuning.engines_per_load,
      "Out of this many engines, one loads weights at a time");
  app_.get_option("--rollout.engines-for-each-load")->check(CLI::PositiveNumber);
}

Result<void> TuningOptions::ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) return Fail(ResultCode::kInvalidSettings, path + ": cannot open settings file\n");
  std::ostringstream text;
  text << file.rdbuf();
  const IniDocument document = IniDocument::Parse(text.str());
  std::string errors;
  const auto add_error = [&](int line, const std::string& error) {
    errors += fmt::format("{}:{}: {}\n", path, line, error);
  };
  for (const IniEntry& entry : document.entries) {
    const std::string error = Apply(entry);
    if (!error.empty()) add_error(entry.line, error);
  }
  if (document.first_bad_line != 0) {
    add_error(document.first_bad_line, "malformed line; expected `key = value`");
  }
  if (!errors.empty()) return Fail(ResultCode::kInvalidSettings, std::move(errors));
  return {};
}

std::string TuningOptions::Apply(const IniEntry& entry) {
  const std::string name = FullName(entry);
  if (!value_getters_.contains(name))
    return fmt::format("[{}] has no key {}", entry.section, entry.key);
  if (!lines_.emplace(name, entry.line).second) return entry.key + " is set twice";
  CLI::Option* option = app_.get_option("--" + name);
  if (option->count() > 0) return "";  // set on the command line
  try {
    option->add_result(entry.value);
    option->run_callback();
  } catch (const CLI::Error& error) {
    return FormatEntry(entry) + " is invalid: " + error.what();
  }
  return "";
}

std::map<std::string, std::string> TuningOptions::EffectiveValues() const {
  std::map<std::string, std::string> values;
  for (const auto& [name, value] : value_getters_) values[name] = value();
  return values;
}

}  // namespace ridgehold
