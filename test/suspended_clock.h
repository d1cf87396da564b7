// Makes this process's clocks tell what they would after the machine was suspended.

#pragma once

#include <chrono>

namespace ridgehold::test {

/// The boot-time clock and the time of day jump by `time`; the steady clock does not,
/// as it stands still while a machine is suspended.
void Suspend(std::chrono::milliseconds time);

}  // namespace ridgehold::test
