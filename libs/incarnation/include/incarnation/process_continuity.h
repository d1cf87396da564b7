// Whether the process at a server's address is the one that wrote its registration.

#pragma once

#include <chrono>
#include <optional>

#include "base/ids.h"

namespace ridgehold {

/// What is known of the process at the address of a server that does not tell its start. A
/// connection belongs to one process; an address and an id do not. After evidence that the process
/// has ended, connections that were opened since are not known to lead to the registered release
/// until the registration has been read so late that the next process has written its own. Takes
/// the time as a parameter.
class ProcessContinuity {
 public:
  /// Time after its start in which a process has written its registration: a heartbeat of 1.2 s,
  /// and a margin.
  static constexpr std::chrono::milliseconds kRegistrationTime{1'500};

  /// Records the evidence of a connection, opened at `opened`, on which the process last showed
  /// life at `alive_at`; seen at `now`. Returns false if that end is known.
  bool RecordEnd(TimePoint opened, TimePoint alive_at, TimePoint now);

  /// Records evidence of another gateway that the process has ended, which last showed life at
  /// `alive_at`; received at `now`. Returns false if that end is known.
  bool RecordReportedEnd(TimePoint alive_at, TimePoint now);

  /// Records that a connection was opened.
  void RecordContact(TimePoint opened);

  /// Records the response to a request that was sent at `sent` on a connection opened at `opened`.
  /// After the evidence it shows since when the process at the address has been running at the
  /// latest: if the connection is older than the evidence, the process lives on.
  void RecordAnswer(TimePoint opened, TimePoint sent);

  /// Records that another release has been registered, which is that of the next process.
  void RecordNextRegistration();

  /// Whether a new connection leads to the registered process. The registration holds as of
  /// `confirmed_at`.
  bool IsRegistered(TimePoint confirmed_at) const;

  /// Whether the connection opened at `opened` leads to the registered process.
  bool IsRegistered(TimePoint opened, TimePoint confirmed_at) const;

  /// When the process that has ended last showed life, as long as its next is in doubt.
  std::optional<TimePoint> PendingEnd(TimePoint confirmed_at) const;

 private:
  /// Within which several gateways see the same end, and tell of it.
  static constexpr std::chrono::milliseconds kMaxReportDelay{500};

  struct End {
    TimePoint alive_at;  ///< connections opened until then belong to the process that has ended
    TimePoint seen_at;
    std::optional<TimePoint> contact;  ///< first connection to the next process
    bool settled = false;              ///< the next process has registered
  };

  std::optional<End> end_;
};

}  // namespace ridgehold
