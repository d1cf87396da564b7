// Linked into the instances' program: its steady clock stands still while it is suspended.
// The soak stops the process, and tells it how long it slept before it goes on.

#include <sys/syscall.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdint>
#include <ctime>

namespace {

constexpr std::int64_t kNanosecondsPerSecond = 1'000'000'000;
constexpr std::int64_t kNanosecondsPerMillisecond = 1'000'000;

std::atomic<std::int64_t> g_asleep_ns{0};

void OnWakeUp(int /*signal*/, siginfo_t* info, void* /*context*/) {
  g_asleep_ns += info->si_value.sival_int * kNanosecondsPerMillisecond;
}

/// The signal is pending when the process goes on, so it is handled before all else.
const bool kInstalled = [] {
  struct sigaction action {};
  action.sa_sigaction = OnWakeUp;
  action.sa_flags = SA_SIGINFO | SA_RESTART;
  const bool installed = ::sigaction(SIGRTMIN, &action, nullptr) == 0;
  sigset_t signals;
  ::sigemptyset(&signals);
  ::sigaddset(&signals, SIGRTMIN);
  return ::sigprocmask(SIG_UNBLOCK, &signals, nullptr) == 0 && installed;
}();

}  // namespace

/// Takes the place of the C library's, for this program and the libraries it loads.
extern "C" int clock_gettime(clockid_t clock, timespec* time) noexcept {
  const auto result = static_cast<int>(::syscall(SYS_clock_gettime, clock, time));
  if (result != 0 || clock != CLOCK_MONOTONIC) return result;
  const std::int64_t ns = time->tv_sec * kNanosecondsPerSecond + time->tv_nsec - g_asleep_ns.load();
  time->tv_sec = ns / kNanosecondsPerSecond;
  time->tv_nsec = ns % kNanosecondsPerSecond;
  return result;
}
