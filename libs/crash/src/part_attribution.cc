#include "crash/part_attribution.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ridgehold {
namespace {

/// Log-likelihood ratio, in nats, of `present` among `all` crashes having the part as their cause
/// against a coincidence that has probability `presence` for each of them.
double CoincidenceEvidence(double present, double all, double presence) {
  const double fraction = present / all;
  if (fraction <= presence) return 0;
  const double absent = all - present;
  const double of_absent = absent > 0 ? absent * std::log((1 - fraction) / (1 - presence)) : 0;
  return present * std::log(fraction / presence) + of_absent;
}

}  // namespace

bool PartAttribution::RecordCrash(const CrashSuspect& suspect, TimePoint now) {
  if (options_.min_crashes == 0) return false;
  Expire(now);
  Crash& crash = FindOrAdd(suspect.backend, now);
  if (!crash.contents.insert(suspect.content).second) return false;
  for (const RequestFingerprint part : suspect.parts) {
    crash.parts.insert(part);
    Record& record = records_[part];
    record.workspaces.insert(suspect.workspace);
    record.last_crash = std::max(record.last_crash, crash.at);
    if (record.quarantined) crash.causes.insert(part);
  }
  return true;
}

void PartAttribution::RecordSurvival(std::span<const PartFeature> parts, TimePoint begun,
                                     TimePoint now) {
  traffic_.RecordSurvival(parts, begun, now);
  if (records_.empty()) return;
  for (const PartFeature& part : parts) {
    const auto found = records_.find(part.anywhere);
    if (found != records_.end()) Clear(part.anywhere, found->second, begun);
  }
}

void PartAttribution::ApplySurvival(RequestFingerprint fingerprint, TimePoint begun) {
  const auto part = PartOf(fingerprint);
  if (!part) return;
  Record& record = records_.at(*part);
  record.trusted = true;
  Clear(*part, record, begun);
}

std::optional<TimePoint> PartAttribution::SurvivalToReport(RequestFingerprint part,
                                                           TimePoint now) const {
  const auto survival = traffic_.LastSurvival(part);
  if (!survival) return std::nullopt;
  const Tally as_seen_elsewhere = TallyOf(part, TimePoint());
  const bool matters = Weigh(part, as_seen_elsewhere, 1, false, now).decisive;
  return matters ? survival : std::nullopt;
}

bool PartAttribution::Contradicts(RequestFingerprint fingerprint, TimePoint now) const {
  // Longer than the other gateways take to hear of a crash.
  constexpr std::chrono::seconds kRecent{2};
  const auto part = PartOf(fingerprint);
  if (!part) return false;
  const TimePoint cleared_until = records_.at(*part).cleared_until;
  if (now - cleared_until >= kRecent) return false;
  const auto crashes = std::ranges::count_if(crashes_, [&](const Crash& crash) {
    return crash.at > cleared_until && crash.parts.contains(*part);
  });
  return static_cast<std::uint32_t>(crashes) < options_.min_crashes;
}

void PartAttribution::SetQuarantined(RequestFingerprint fingerprint, bool quarantined) {
  const auto part = PartOf(fingerprint);
  if (!part) return;
  records_.at(*part).quarantined = quarantined;
  for (Crash& crash : crashes_) {
    if (!quarantined) {
      crash.causes.erase(*part);
    } else if (crash.parts.contains(*part)) {
      crash.causes.insert(*part);
    }
  }
}

PartEvidence PartAttribution::EvidenceAgainst(RequestFingerprint part, TimePoint now) const {
  const auto found = records_.find(part);
  if (found == records_.end()) return {};
  const Record& record = found->second;
  return Weigh(part, TallyOf(part, record.cleared_until), 0, IsTrusted(part, record), now);
}

std::uint32_t PartAttribution::CrashesLeft(RequestFingerprint part, std::size_t further,
                                           TimePoint now) const {
  const auto found = records_.find(part);
  const bool suspected =
      found != records_.end() && found->second.last_crash > found->second.cleared_until;
  if (!suspected && further == 0) return kNotSuspected;
  const Tally tally = suspected ? TallyOf(part, found->second.cleared_until) : Tally{};
  if (tally.crashes == 0 && further == 0) return kNotSuspected;
  const bool trusted = IsTrusted(part, found == records_.end() ? Record{} : found->second);
  for (std::uint32_t left = 0; left <= kMaxCrashesLeft; ++left) {
    const auto more = static_cast<std::uint32_t>(further) + left;
    if (Weigh(part, tally, more, trusted, now).decisive) return left;
  }
  return kNotSuspected;
}

std::optional<PartVerdict> PartAttribution::JudgeUnexplained(const CrashSuspect& suspect,
                                                             TimePoint now) {
  std::optional<PartVerdict> verdict;
  for (const RequestFingerprint part : suspect.parts) {
    const PartEvidence evidence = EvidenceAgainst(part, now);
    if (!evidence.decisive || HasRival(part, evidence, now)) continue;
    // Of equals, the later part of a prompt is shared by fewer requests.
    const bool better = !verdict || evidence.trusted < verdict->evidence.trusted ||
                        (evidence.trusted == verdict->evidence.trusted &&
                         evidence.evidence >= verdict->evidence.evidence);
    if (better) verdict = PartVerdict{part, part, evidence};
  }
  if (!verdict) return verdict;
  const std::set<WorkspaceHash>& workspaces = records_.at(verdict->part).workspaces;
  if (workspaces.size() == 1) {
    verdict->fingerprint = FeatureOf(verdict->part, *workspaces.begin()).in_workspace;
  }
  return verdict;
}

bool PartAttribution::HasRival(RequestFingerprint part, const PartEvidence& evidence,
                               TimePoint now) const {
  const auto explains_as_much = [&](RequestFingerprint other, const Record& record) {
    return std::ranges::all_of(crashes_, [&](const Crash& crash) {
      const bool counts = !IsExplainedWithout(part, crash) && crash.parts.contains(part) &&
                          crash.at > records_.at(part).cleared_until;
      return !counts || (crash.parts.contains(other) && crash.at > record.cleared_until);
    });
  };
  return std::ranges::any_of(records_, [&](const auto& entry) {
    const auto& [other, record] = entry;
    if (other == part || record.last_crash <= record.cleared_until) return false;
    if (!explains_as_much(other, record)) return false;
    const PartEvidence of_other = EvidenceAgainst(other, now);
    return of_other.trusted <= evidence.trusted && of_other.evidence > evidence.evidence;
  });
}

PartAttribution::Tally PartAttribution::TallyOf(RequestFingerprint part, TimePoint since) const {
  Tally tally;
  for (const Crash& crash : crashes_) {
    if (crash.at <= since || IsExplainedWithout(part, crash)) continue;
    const bool present = crash.parts.contains(part);
    if (tally.crashes == 0 && !present) continue;
    ++tally.all_crashes;
    tally.suspects += crash.contents.size();
    if (!present) continue;
    if (tally.crashes++ == 0) {
      tally.first = crash.at;
      tally.common_contents = crash.contents;
    } else {
      std::erase_if(tally.common_contents,
                    [&](RequestFingerprint content) { return !crash.contents.contains(content); });
    }
    tally.last = crash.at;
  }
  return tally;
}

PartEvidence PartAttribution::Weigh(RequestFingerprint part, const Tally& tally,
                                    std::uint32_t further, bool trusted, TimePoint now) const {
  PartEvidence result;
  result.crashes = tally.crashes + further;
  result.all_crashes = tally.all_crashes + further;
  result.trusted = trusted;
  if (result.crashes == 0) return result;
  const bool proved = tally.crashes > 0;
  const double suspects = proved ? static_cast<double>(tally.suspects) / tally.all_crashes : 1;
  result.presence = traffic_.PresenceOf(part, suspects, now);
  // Where other requests were survived, requests with a sound part would have been, too.
  const std::size_t survivals = proved ? traffic_.SurvivalsSince(tally.first) : 0;
  const double missing = static_cast<double>(survivals) * traffic_.OddsOf(part);
  result.evidence =
      CoincidenceEvidence(result.crashes, result.all_crashes, result.presence) + missing;
  const std::uint32_t needed = trusted ? options_.min_crashes_if_trusted : options_.min_crashes;
  // A crash yet to come is apart from those before.
  const bool spread = further > 0 || tally.last - tally.first >= options_.min_span;
  // Copies of one request crash servers because of whatever the request contains.
  const bool varied = further > 0 || tally.common_contents.empty();
  result.decisive =
      result.crashes >= needed && spread && varied && result.evidence >= options_.min_evidence;
  return result;
}

bool PartAttribution::IsTrusted(RequestFingerprint part, const Record& record) const {
  return record.trusted || traffic_.LastSurvival(part).has_value();
}

/// Answers that began before the first crash say nothing about it.
void PartAttribution::Clear(RequestFingerprint part, Record& record, TimePoint begun) {
  if (begun <= record.cleared_until) return;
  const bool contradicted = std::ranges::any_of(crashes_, [&](const Crash& crash) {
    return crash.at > record.cleared_until && crash.at < begun && crash.parts.contains(part);
  });
  if (contradicted) record.cleared_until = begun;
}

std::optional<RequestFingerprint> PartAttribution::PartOf(RequestFingerprint fingerprint) const {
  for (const auto& [part, record] : records_) {
    if (part == fingerprint) return part;
    for (const WorkspaceHash workspace : record.workspaces) {
      if (FeatureOf(part, workspace).in_workspace == fingerprint) return part;
    }
  }
  return std::nullopt;
}

PartAttribution::Crash& PartAttribution::FindOrAdd(BackendHash backend, TimePoint now) {
  const auto found = std::ranges::find(crashes_, backend, &Crash::backend);
  if (found != crashes_.end()) return *found;
  crashes_.push_back({backend, now, {}, {}, {}});
  return crashes_.back();
}

void PartAttribution::AddCause(BackendHash backend, RequestFingerprint part) {
  const auto found = std::ranges::find(crashes_, backend, &Crash::backend);
  if (found != crashes_.end()) found->causes.insert(part);
}

void PartAttribution::Expire(TimePoint now) {
  while (!crashes_.empty() && (crashes_.size() >= options_.max_crashes ||
                               now - crashes_.front().at >= options_.memory)) {
    const std::set<RequestFingerprint> parts = std::move(crashes_.front().parts);
    crashes_.pop_front();
    for (const RequestFingerprint part : parts) {
      const bool used = std::ranges::any_of(
          crashes_, [&](const Crash& crash) { return crash.parts.contains(part); });
      if (!used) records_.erase(part);
    }
  }
}

}  // namespace ridgehold
