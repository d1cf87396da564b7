// Whether an answer that ended with its connection is complete.

#pragma once

#include <cstdint>
#include <string_view>

#include "incarnation/process_statement.h"

namespace ridgehold {

/// What was found out about the process that wrote an answer, after the end of its connection.
struct EndEvidence {
  StartStamp writer;  ///< start of the process that wrote the answer; 0 if not known
  /// A process at its address responded to a query that was sent after the end.
  bool responded = false;
  /// It did so on a connection that had been opened before the end. The connections of a killed
  /// process end together, so the writer's process lives on.
  bool on_older_connection = false;
  ProcessStatement statement;  ///< if it responded
  bool refused = false;        ///< its host refuses connections: no process listens
};

enum class EndVerdict : std::uint8_t {
  kComplete,   ///< the process that wrote the answer lives on: it has closed the connection itself
  kCutOff,     ///< it has ended, and its kernel has closed the connection
  kUndecided,  ///< it could not be asked
};

/// An answer with neither a length nor chunks ends with its connection, which the kernel closes in
/// the same way when the process is killed.
EndVerdict JudgeEnd(const EndEvidence& evidence);

std::string_view NameOf(EndVerdict verdict);

}  // namespace ridgehold
