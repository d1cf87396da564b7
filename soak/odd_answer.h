// Answers of an engine that are none, or not whole.

#pragma once

#include <string>

#include "random.h"
#include "request_record.h"

namespace ridgehold::soak {

/// The bytes of an answer to `run` of the request `id` that must not reach a caller as a success.
/// Some hold the text of another answer. The engine closes the connection after them.
std::string DrawOddAnswer(const std::string& id, const Run& run, Random& random);

}  // namespace ridgehold::soak
