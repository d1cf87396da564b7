// The Asio timer type on `Clock`.

#pragma once

#include <boost/asio/basic_waitable_timer.hpp>

#include "base/clock.h"
#include "net/beast.h"

namespace ridgehold {

/// Asio sleeps on a kernel clock that stops while the machine is suspended. On each wake-up it
/// fires every timer that is due by `Clock`. The backend prober wakes up every 50 ms, so after a
/// suspension no timer is late by more than that.
using Timer = net::basic_waitable_timer<Clock>;

}  // namespace ridgehold
