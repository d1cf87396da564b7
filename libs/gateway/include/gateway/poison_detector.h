// Tells requests that end the backend servers that run them from those that were just there.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "gateway/gateway_gossip.h"
#include "gateway/request_fingerprint.h"

namespace ridgehold {

/// What is believed of all requests with one fingerprint.
enum class Suspicion : std::uint8_t {
  kNone,         ///< no backend server has ended under it lately, or one has survived it since
  kSuspect,      ///< some have ended under it, fewer than it takes
  kLastTrial,    ///< one more end and it is quarantined
  kQuarantined,  ///< not sent to any backend server
};

/// When a request is taken for the cause.
struct PoisonRule {
  /// Different backend servers that ended under it, none having survived it between.
  /// A bystander is sent on to another server, and shares a second end with the cause
  /// by chance: of 9 servers one in eight does, so two prove nothing. 0: switched off.
  std::uint32_t most_ends = 3;
  /// An end counts for so long. Copies may come minutes apart.
  std::chrono::milliseconds memory{600'000};
  /// Not tried at all for so long, which bounds what a mistake costs; then once more
  /// (kLastTrial), so an incurable one ends six backend servers an hour.
  std::chrono::milliseconds quarantine{600'000};
  /// Fingerprints that are remembered, some 200 bytes each; those heard of first go.
  std::size_t most_suspects = 10'000;
};

/// Counts, for each fingerprint, the backend servers that ended while it was there. A
/// run that a server survives clears it: requests that many callers send are there at
/// many ends. Not thread-safe; time comes in as a value.
class PoisonDetector {
 public:
  explicit PoisonDetector(PoisonRule rule) : rule_(rule) {}

  /// This backend server ended while the request was there; the same end may be told
  /// again. Returns whether the request is quarantined from now on.
  bool TakeEnd(RequestFingerprint request, BackendHash backend, TimePoint now);

  /// A backend server has survived it: all ends so far are forgiven. Returns whether
  /// there was anything to forgive.
  bool TakeSurvived(RequestFingerprint request, TimePoint now);

  /// Quarantined by others, for `left`. Returns whether that is news.
  bool TakeQuarantine(RequestFingerprint request, Duration left, TimePoint now);

  Suspicion SuspicionOf(RequestFingerprint request, TimePoint now) const;

  /// Ends that count against it now.
  std::uint32_t EndsOf(RequestFingerprint request) const;

  /// A quarantine, and when it ends.
  struct Quarantine {
    RequestFingerprint request;
    TimePoint until{};
  };
  std::vector<Quarantine> Quarantined(TimePoint now) const;

  std::size_t suspects() const { return records_.size(); }

 private:
  struct Record {
    std::vector<BackendHash> ends;  ///< all that were told of, forgiven ones included
    std::size_t forgiven = 0;       ///< the first of them
    TimePoint last{};               ///< when the last one was told of
    TimePoint until{};              ///< of the quarantine; zero: none

    std::uint32_t counted() const { return static_cast<std::uint32_t>(ends.size() - forgiven); }
  };

  void MakeRoom(TimePoint now);
  TimePoint ForgottenAt(const Record& record) const;

  PoisonRule rule_;
  std::unordered_map<RequestFingerprint, Record> records_;
};

}  // namespace ridgehold
