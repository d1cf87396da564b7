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

std::string NameOf(const IniEntry& entry) { return entry.section + "." + entry.key; }

std::string Says(const IniEntry& entry) { return entry.key + " = " + entry.value; }

/// CLI11's own check for this names a range of three hundred digits.
std::string CheckNotNegative(const std::string& text) {
  double value = 0;
  const bool fits = CLI::detail::lexical_cast(text, value) && std::isfinite(value) && value >= 0;
  return fits ? "" : text + " is not a number of 0 or more";
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
  if constexpr (!std::same_as<Field, bool>) option->check(CheckNotNegative);
  values_[name] = [&field] { return fmt::format("{}", field); };
}

void TuningOptions::AddPart(const std::string& name, double& field, const std::string& help) {
  Add(name, field, help);
  app_.get_option("--" + name)->check(CLI::Range(0.0, 1.0));
}

void TuningOptions::AddPlacement(PlacementCosts& placement) {
  Add("placement.prefill-tokens-per-ms", placement.prefill_tokens_per_ms, "Speed of an engine");
  Add("placement.per-running-request", placement.per_running_request,
      "ms that a running request adds to the wait");
  Add("placement.other-zone", placement.cross_zone, "ms to another zone");
  Add("placement.fetch-call", placement.fetch_call, "ms of a fetch of shared parts");
  Add("placement.fetch-token", placement.fetch_token,
      "ms for each token fetched, with what it evicts");
  Add("placement.store-call", placement.store_call, "ms of a fetch from the store of kept cache");
  Add("placement.store-token", placement.store_token, "ms for each token fetched from the store");
  Add("placement.copy-token", placement.copy_token,
      "ms for each token of a second copy, which evicts another");
  Add("placement.per-running-call", placement.per_running_call,
      "ms that a running call adds at a plain service");
  Add("placement.failing", placement.error_penalty,
      "ms by which a server is worse whose answers all fail");
  Add("placement.older-weights", placement.older_weights, "ms by which older weights are worse");
  AddPart("placement.doubtful-part", placement.eviction_risk_fraction,
          "part of an engine's memory, its oldest, where cached parts may be evicted");
  Add("placement.observe-speed", placement.estimate_prefill_rate,
      "the speed of engines is taken from first events");
  Add("placement.engines-as-sources", placement.engines_as_sources,
      "parts are fetched from engines, too, where there is a store");
  Add("placement.watch-links", placement.watch_links,
      "fetches wait for those before them on the same link");
}

void TuningOptions::AddLimits(EntryTuning& tuning) {
  Add("placement.older-weights-free-ms", tuning.older_weights_free_ms,
      "ms after a naming in which older weights are as good");
  Add("limits.call-patience", tuning.call_patience,
      "latency objectives until a call is tried elsewhere");
  Add("limits.stream-patience", tuning.stream_patience,
      "latency objectives until a stream is tried elsewhere");
  Add("admission.enabled", tuning.admission.enabled,
      "requests for text wait here for room at an engine");
  AddPart("admission.full-part", tuning.admission.full_part,
          "part of the shortest objective that an engine may have to read");
  AddPart("admission.late-part", tuning.admission.late_part,
          "the same for requests that are late already");
  Add("admission.longest-wait", tuning.admission.longest_wait,
      "latency objectives that a request waits for room");
  Add("poison.most-ends", tuning.poison.most_ends,
      "servers that end under a request before it is quarantined; 0: none is");
  AddPart("quota.tolerance-part", tuning.quota_tolerance_part,
          "part of the platform's tolerance above a quota that is granted");
  AddPart("limits.tolerance-part", tuning.limit_tolerance_part,
          "part of what is tolerated above a server's own limit that is used; 0: the limit alone");
  Add("peers.most-told", tuning.most_told,
      "gateways that all tell each other; in larger fleets those that track are asked");
  Add("probing.enabled", tuning.probing.enabled,
      "servers that may be out of reach are probed by connections");
}

void TuningOptions::AddRollout(EntryTuning& tuning) {
  Add("rollout.spare-retries", tuning.spare_retries,
      "runs are broken off for a load only if retries are left");
  Add("rollout.observe-loads", tuning.observe_loads,
      "no more loads at once than were seen to help");
  Add("rollout.shortest-drain-ms", tuning.shortest_drain_ms,
      "ms that an engine is emptied at least when all are busy");
  Add("rollout.engines-for-each-load", tuning.engines_for_each_load,
      "one engine of so many loads weights at a time");
  app_.get_option("--rollout.engines-for-each-load")->check(CLI::PositiveNumber);
}

Result<void> TuningOptions::ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) return Fail(ResultCode::kInvalidSettings, path + ": cannot be opened\n");
  std::ostringstream text;
  text << file.rdbuf();
  const IniDocument document = IniDocument::Parse(text.str());
  std::string faults;
  const auto add_fault = [&](int line, const std::string& fault) {
    faults += fmt::format("{}:{}: {}\n", path, line, fault);
  };
  for (const IniEntry& entry : document.entries) {
    const std::string fault = Apply(entry);
    if (!fault.empty()) add_fault(entry.line, fault);
  }
  if (document.first_bad_line != 0) {
    add_fault(document.first_bad_line, "cannot be read as `key = value`");
  }
  if (!faults.empty()) return Fail(ResultCode::kInvalidSettings, std::move(faults));
  return {};
}

std::string TuningOptions::Apply(const IniEntry& entry) {
  const std::string name = NameOf(entry);
  if (!values_.contains(name)) return fmt::format("[{}] has no key {}", entry.section, entry.key);
  if (!lines_.emplace(name, entry.line).second) return entry.key + " is set twice";
  CLI::Option* option = app_.get_option("--" + name);
  if (option->count() > 0) return "";  // set on the command line
  try {
    option->add_result(entry.value);
    option->run_callback();
  } catch (const CLI::Error& error) {
    return Says(entry) + " does not fit: " + error.what();
  }
  return "";
}

std::map<std::string, std::string> TuningOptions::InForce() const {
  std::map<std::string, std::string> values;
  for (const auto& [name, value] : values_) values[name] = value();
  return values;
}

}  // namespace ridgehold
