// Distinguishes requests that crash backend servers from requests that were running by coincidence.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "gateway/gateway_gossip.h"
#include "gateway/request_fingerprint.h"

namespace ridgehold {

/// Classification of all requests with one fingerprint.
enum class Suspicion : std::uint8_t {
  kNone,         ///< no recent crash, or a successful run since
  kSuspect,      ///< some crashes, fewer than the threshold
  kLastTrial,    ///< one more crash leads to quarantine
  kQuarantined,  ///< not sent to any backend server
};

/// Thresholds for treating a request as the cause of crashes.
struct PoisonOptions {
  /// Number of distinct backend servers that must crash while running it, without a success in
  /// between. An innocent request is retried on another server and may by chance share a second
  /// crash with the culprit: with 9 servers one in eight does, so two crashes prove nothing. 0
  /// disables detection.
  std::uint32_t max_crashes = 3;
  /// How long a crash counts. Copies of a request may arrive minutes apart.
  std::chrono::milliseconds memory{600'000};
  /// How long a request is not sent at all, which bounds the cost of a false positive. Then it is
  /// tried once more (kLastTrial), so a persistent poison request crashes six backend servers an
  /// hour.
  std::chrono::milliseconds quarantine{600'000};
  /// Maximum number of remembered fingerprints, about 200 bytes each; the oldest are evicted first.
  std::size_t max_suspects = 10'000;
};

/// Counts, for each fingerprint, the backend servers that crashed while running it. A successful
/// run clears the count: requests that many clients send are running at many crashes. Not
/// thread-safe; the caller supplies the time.
class PoisonDetector {
 public:
  explicit PoisonDetector(PoisonOptions options) : options_(options) {}

  /// Records a crash of the backend server while it was running the request. Idempotent for the
  /// same crash. Returns whether this puts the request in quarantine.
  bool RecordCrash(RequestFingerprint request, BackendHash backend, TimePoint now);

  /// Clears all crashes counted so far, because a backend server completed the request. Returns
  /// whether there was anything to clear.
  bool ClearSuspicion(RequestFingerprint request, TimePoint now);

  /// Applies a quarantine decided elsewhere that lasts for `left`. Returns whether it is new here.
  bool ApplyQuarantine(RequestFingerprint request, Duration left, TimePoint now);

  Suspicion SuspicionOf(RequestFingerprint request, TimePoint now) const;

  /// When the quarantine in force began; nothing if there is none.
  std::optional<TimePoint> QuarantinedAt(RequestFingerprint request, TimePoint now) const;

  /// Number of crashes that quarantine the request; 0 if it is quarantined. The largest value if
  /// detection is disabled.
  std::uint32_t CrashesLeft(RequestFingerprint request, TimePoint now) const;

  /// Number of crashes that count against it now.
  std::uint32_t CrashesOf(RequestFingerprint request) const;

  /// A quarantined request with the end of its quarantine.
  struct Quarantine {
    RequestFingerprint request;
    TimePoint until{};
  };
  std::vector<Quarantine> Quarantines(TimePoint now) const;

  std::size_t suspects() const { return records_.size(); }

 private:
  struct Record {
    std::vector<BackendHash> crashes;  ///< all reported crashes, including cleared ones
    std::size_t cleared = 0;           ///< number of leading entries that were cleared
    TimePoint last_crash{};            ///< when the last crash was reported
    TimePoint quarantined_at{};        ///< beginning of the quarantine
    TimePoint until{};                 ///< its end; epoch: none

    std::uint32_t counted() const { return static_cast<std::uint32_t>(crashes.size() - cleared); }
  };

  void MakeRoom(TimePoint now);
  TimePoint ExpiresAt(const Record& record) const;

  PoisonOptions options_;
  std::unordered_map<RequestFingerprint, Record> records_;
};

}  // namespace ridgehold
