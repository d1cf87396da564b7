// What the process that answers at a backend server's address says of itself.

#pragma once

#include <cstdint>

#include "base/ids.h"

namespace ridgehold {

/// The response to a status query. It is the word of the process that holds the connection on which
/// it came, whatever has been registered for the address.
struct ProcessStatement {
  bool expected_id = true;  ///< it runs under the id that the query named
  StartStamp started;       ///< 0: it does not say
};

/// Whether a statement is from the process that is meant.
enum class ProcessMatch : std::uint8_t {
  kSame,
  kOther,
  kUnknown,  ///< the id is the same, and one of the two starts is not known
};

/// `started`: of the process that is meant; 0 if not known.
ProcessMatch Match(StartStamp started, const ProcessStatement& statement);

/// Whether a process that told `told`, 0 if nothing, is certainly the registered one. A
/// registration without a start has an id that no other process bears.
bool IsRegistered(StartStamp registered, StartStamp told);

/// The release of a process that is not known to be the one registered for its id: nothing tells
/// its software version. Equals no registered release and that of no other process, so that no
/// other process goes on with what it has begun.
ReleaseId UnregisteredRelease(const BackendId& id, StartStamp started);
/// The same for a process that does not tell its start: that on the connection opened at `opened`.
ReleaseId UnregisteredRelease(const BackendId& id, TimePoint opened);

}  // namespace ridgehold
