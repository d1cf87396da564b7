// Draws what callers ask for.

#pragma once

#include <string>

#include "operator_log.h"
#include "random.h"
#include "request_record.h"

namespace ridgehold::soak {

/// A request of any kind under `id`, to the process with the serial number `process`. It has not
/// been sent.
RequestRecord DrawRequest(const std::string& id, const OperatorLog& operator_log, int process,
                          Random& random);

}  // namespace ridgehold::soak
