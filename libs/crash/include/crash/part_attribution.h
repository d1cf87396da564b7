// Determines which prompt part crashes backend servers.

#pragma once

#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>

#include "base/ids.h"
#include "crash/crash_suspect.h"
#include "crash/part_traffic.h"
#include "crash/request_features.h"

namespace ridgehold {

/// Thresholds for treating a prompt part as the cause of crashes.
struct AttributionOptions {
  /// Number of backend servers that must crash with the part among their suspects; 0 disables
  /// attribution.
  std::uint32_t min_crashes = 3;
  /// The same for a part that servers survived before its first crash.
  std::uint32_t min_crashes_if_trusted = 5;
  /// Servers that crash within this time may have one cause outside, such as a lost rack, so a part
  /// that is present only then is not the cause.
  std::chrono::milliseconds min_span{50};
  /// Log-likelihood ratio, in nats, by which the part must explain the crashes better than
  /// coincidence does.
  double min_evidence = 7;
  /// How long a crash counts.
  std::chrono::milliseconds memory{600'000};
  /// Maximum number of remembered crashes; the oldest are evicted.
  std::size_t max_crashes = 256;
};

/// How well a prompt part explains the crashes of backend servers.
struct PartEvidence {
  std::uint32_t crashes = 0;      ///< with the part among the suspects, since the last survival
  std::uint32_t all_crashes = 0;  ///< of any backend server, since the first of these
  double presence = 0;            ///< see PartTraffic::PresenceOf()
  double evidence = 0;            ///< log-likelihood ratio, in nats
  bool trusted = false;           ///< survived before the first of these crashes
  bool decisive = false;          ///< exceeds all thresholds
};

/// A part that is the cause, of crashes in several workspaces or in one.
struct PartVerdict {
  RequestFingerprint fingerprint;  ///< of the part, anywhere or in the one workspace
  RequestFingerprint part;         ///< PartFeature::anywhere
  PartEvidence evidence;
};

/// Decides from the suspects of each crash and from survivals: the cause is among the suspects of
/// each crash that it causes, and no server survives the beginning of an answer to it. The decision
/// is a sequential likelihood-ratio test of "requests with this part crash servers" against
/// "servers crash by themselves, whatever they run". Not thread-safe; the caller supplies the time.
class PartAttribution {
 public:
  /// Returned by CrashesLeft() for a part that is not suspected, and for one that it would take
  /// more than kMaxCrashesLeft crashes to decide on.
  static constexpr std::uint32_t kNotSuspected = std::numeric_limits<std::uint32_t>::max();
  static constexpr std::uint32_t kMaxCrashesLeft = 5;

  explicit PartAttribution(AttributionOptions options) : options_(options) {}

  PartTraffic& traffic() { return traffic_; }
  const PartTraffic& traffic() const { return traffic_; }

  /// Records a suspect of a crash. Returns whether it is new.
  bool RecordCrash(const CrashSuspect& suspect, TimePoint now);

  /// Records that a backend server survived the beginning of an answer, at `begun`, to a request
  /// with these parts.
  void RecordSurvival(std::span<const PartFeature> parts, TimePoint begun, TimePoint now);

  /// Records a survival that another gateway saw, or a release by an operator. `fingerprint` is one
  /// of PartFeature.
  void ApplySurvival(RequestFingerprint fingerprint, TimePoint begun);

  /// When the last answer began of which the other gateways must be told, as they might decide
  /// against the part without it. Nothing if there is no need.
  std::optional<TimePoint> SurvivalToReport(RequestFingerprint part, TimePoint now) const;

  /// Whether a survival that was seen recently followed crashes with the part, so that too few are
  /// left for a verdict. `fingerprint` is one of PartFeature.
  bool Contradicts(RequestFingerprint fingerprint, TimePoint now) const;

  /// Records whether the part is quarantined: its crashes do not count against other parts.
  /// `fingerprint` is one of PartFeature.
  void SetQuarantined(RequestFingerprint fingerprint, bool quarantined);

  PartEvidence EvidenceAgainst(RequestFingerprint part, TimePoint now) const;

  /// Number of crashes that would be decisive after `further` others, all with the part among their
  /// suspects; 0 if none is needed.
  std::uint32_t CrashesLeft(RequestFingerprint part, std::size_t further, TimePoint now) const;

  /// The cause of the crash among the parts of `suspect`, if it is known. `is_quarantined` tells of
  /// a fingerprint whether it is quarantined already, also by another gateway before this one knew
  /// of a crash.
  template <std::predicate<RequestFingerprint> IsQuarantined>
  std::optional<PartVerdict> Judge(const CrashSuspect& suspect, TimePoint now,
                                   IsQuarantined is_quarantined) {
    for (const RequestFingerprint part : suspect.parts) {
      const PartFeature feature = FeatureOf(part, suspect.workspace);
      if (!is_quarantined(feature.anywhere) && !is_quarantined(feature.in_workspace)) continue;
      AddCause(suspect.backend, part);
      return std::nullopt;
    }
    return JudgeUnexplained(suspect, now);
  }

  /// Number of parts among the suspects of remembered crashes.
  std::size_t suspected_parts() const { return records_.size(); }

 private:
  struct Crash {
    BackendHash backend = 0;
    TimePoint at{};
    std::set<RequestFingerprint> contents;
    std::set<RequestFingerprint> parts;
    std::set<RequestFingerprint> causes;  ///< of the parts, those that are quarantined
  };
  struct Record {
    bool quarantined = false;            ///< in all workspaces or in some
    std::set<WorkspaceHash> workspaces;  ///< of all suspects with the part
    TimePoint last_crash{};
    TimePoint cleared_until{};  ///< crashes up to then do not count
    bool trusted = false;       ///< by another gateway
  };
  /// Crashes that count against a part.
  struct Tally {
    std::uint32_t crashes = 0;
    std::uint32_t all_crashes = 0;
    std::size_t suspects = 0;  ///< of these crashes together
    TimePoint first{};
    TimePoint last{};
    std::set<RequestFingerprint> common_contents;  ///< suspects of each of these crashes
  };

  /// Of the crashes after `since` that are not explained.
  Tally TallyOf(RequestFingerprint part, TimePoint since) const;
  /// Whether another part is known to have caused the crash.
  static bool IsExplainedWithout(RequestFingerprint part, const Crash& crash) {
    return crash.causes.size() > crash.causes.count(part);
  }
  PartEvidence Weigh(RequestFingerprint part, const Tally& tally, std::uint32_t further,
                     bool trusted, TimePoint now) const;
  std::optional<PartVerdict> JudgeUnexplained(const CrashSuspect& suspect, TimePoint now);
  /// Whether another part, present at all crashes that count against this one, explains them
  /// better.
  bool HasRival(RequestFingerprint part, const PartEvidence& evidence, TimePoint now) const;
  bool IsTrusted(RequestFingerprint part, const Record& record) const;
  void AddCause(BackendHash backend, RequestFingerprint part);
  void Clear(RequestFingerprint part, Record& record, TimePoint begun);
  /// The suspected part that a fingerprint of PartFeature stands for, if there is one.
  std::optional<RequestFingerprint> PartOf(RequestFingerprint fingerprint) const;
  Crash& FindOrAdd(BackendHash backend, TimePoint now);
  void Expire(TimePoint now);

  AttributionOptions options_;
  PartTraffic traffic_;
  std::deque<Crash> crashes_;  ///< by time
  std::unordered_map<RequestFingerprint, Record> records_;
};

}  // namespace ridgehold
