#include "entry/process_signals.h"

#include <csignal>
#include <utility>

namespace ridgehold {
namespace {

sigset_t HandledSignals() {
  sigset_t signals;
  ::sigemptyset(&signals);
  for (const int signal : {SIGHUP, SIGTERM, SIGINT}) ::sigaddset(&signals, signal);
  return signals;
}

}  // namespace

void ProcessSignals::Block() {
  const sigset_t signals = HandledSignals();
  ::sigprocmask(SIG_BLOCK, &signals, nullptr);
}

ProcessSignals::ProcessSignals(net::io_context& io, Handler handler)
    : signals_(io, SIGHUP, SIGTERM, SIGINT), handler_(std::move(handler)) {
  Wait();
  // The parent process may have blocked them, too.
  const sigset_t signals = HandledSignals();
  ::sigprocmask(SIG_UNBLOCK, &signals, nullptr);
}

ProcessSignals::~ProcessSignals() { Block(); }

void ProcessSignals::Wait() {
  signals_.async_wait([this](const ErrorCode& error, int signal) {
    if (error) return;
    Wait();
    handler_(signal);
  });
}

}  // namespace ridgehold
