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

}  // namespace ridgehold
