// Tells an instance that has lost its network path from backend servers that have failed.

#pragma once

#include <chrono>
#include <cstddef>
#include <map>

#include "base/ids.h"

namespace ridgehold {

/// Backend servers fail one at a time; if several are lost and none has responded for some time,
/// the instance is probably partitioned from all of them. Not thread-safe; takes the current time
/// as a parameter.
class ContactMonitor {
 public:
  struct Options {
    /// Backend servers that must have been lost since the last contact; all of them if fewer are
    /// known, but at least two.
    std::size_t min_lost = 3;
    /// Time without contact; a sound backend server may be silent for about as long.
    std::chrono::milliseconds min_silence{1'000};
    /// Time without contact after which a loss makes other servers be probed.
    std::chrono::milliseconds verify_after{250};
    /// A loss that is not confirmed by another is forgotten after this.
    std::chrono::milliseconds memory{3'000};
  };

  explicit ContactMonitor(Options options) : options_(options) {}

  /// Records that a backend server responded, or accepted a connection, over a direct path. Returns
  /// whether this ends an isolation that RecordLoss reported.
  bool RecordContact(TimePoint now);

  /// Records that one of `known` backend servers could not be reached. Returns whether the instance
  /// is isolated and was not before.
  bool RecordLoss(const BackendId& backend, std::size_t known, TimePoint now);

  /// Whether other backend servers should be probed, because the last contact was too long ago to
  /// tell whether only some are lost.
  bool ShouldVerify(TimePoint now) const;

  /// Whether the instance is probably partitioned from all backend servers.
  bool IsIsolated(TimePoint now) const;

 private:
  Options options_;
  std::size_t known_ = 0;
  TimePoint last_contact_{};
  std::map<BackendId, TimePoint> lost_;  ///< since the last contact, with the time of the last loss
  bool reported_ = false;
};

}  // namespace ridgehold
