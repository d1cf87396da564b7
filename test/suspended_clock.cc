#include "suspended_clock.h"

#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>
#include <ctime>

namespace {

constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;

std::atomic<std::int64_t> g_suspended_ns{0};

}  // namespace

/// Takes the place of the C library's, for this program and the libraries it loads.
extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept {
  const auto result = static_cast<int>(::syscall(SYS_clock_gettime, clock, time));
  if (result != 0 || (clock != CLOCK_BOOTTIME && clock != CLOCK_REALTIME)) return result;
  const std::int64_t ns = time->tv_nsec + g_suspended_ns.load();
  time->tv_sec += ns / kNanosecondsPerSecond;
  time->tv_nsec = ns % kNanosecondsPerSecond;
  return result;
}

namespace ridgehold::test {

void Suspend(std::chrono::milliseconds time) {
  g_suspended_ns += std::chrono::nanoseconds(time).count();
}

}  // namespace ridgehold::test
