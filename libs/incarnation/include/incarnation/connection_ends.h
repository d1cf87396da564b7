// Whether the ends of a server's connections show that its process has ended.

#pragma once

#include <chrono>
#include <cstddef>
#include <optional>

#include "base/ids.h"

namespace ridgehold {

struct ConnectionEnd;

/// The connections of a process end together. A server that lives closes connections that have been
/// idle for long, and breaks single exchanges off. Takes the time as a parameter.
class ConnectionEnds {
 public:
  /// Time within which the ends of all connections of a process are seen.
  static constexpr std::chrono::milliseconds kMaxSpread{250};

  /// Of a process that has ended.
  struct ProcessEnd {
    TimePoint opened;    ///< the last of its connections
    TimePoint alive_at;  ///< when it last showed life
  };

  /// Records an end that is seen at `now`. Returns a value if it shows, with those before, that the
  /// process has ended.
  std::optional<ProcessEnd> Record(const ConnectionEnd& end, TimePoint now);

 private:
  /// Ends that were seen together while other connections were open.
  struct Group {
    ProcessEnd process;
    TimePoint seen_at{};  ///< the first of them
    std::size_t ends = 0;
    bool closed_early = false;   ///< an idle connection, before its stated timeout
    bool broken_in_use = false;  ///< a connection with an exchange
  };

  Group group_;
};

}  // namespace ridgehold
