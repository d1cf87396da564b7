// Runs a stand-in until SIGTERM or SIGINT.

#pragma once

#include <csignal>
#include <iostream>

#include "base/result.h"

namespace ridgehold::standin {

/// Calls `create`, which returns a Result of something that runs while it
/// lives, and waits. Returns the exit code.
template <class Create>
int RunUntilSignal(Create&& create) {
  constexpr int kCannotStart = 2;
  // Blocked before any thread starts, so that sigwait alone receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return ValueOr(
      [&]() -> Result<int> {
        BOOST_LEAF_AUTO(running, create());
        int signal = 0;
        sigwait(&signals, &signal);
        return 0;
      },
      [&](const Failure& failure) {
        std::cerr << failure.detail << "\n";
        return kCannotStart;
      });
}

}  // namespace ridgehold::standin
