// Timers on the clock of all decisions.

#pragma once

#include <boost/asio/basic_waitable_timer.hpp>

#include "base/clock.h"
#include "net/beast.h"

namespace ridgehold {

/// The kernel wakes Asio by a clock that stands still while the machine is suspended. But
/// whenever it wakes for the earliest timer, Asio ends all that are due by their own clock;
/// the prober looks up each 50 ms, so no timer is late by more than that after a suspension.
using Timer = net::basic_waitable_timer<Clock>;

}  // namespace ridgehold
