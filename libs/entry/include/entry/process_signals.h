// The signals that ask a process to reload its settings or to shut down.

#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>

#include "net/beast.h"

namespace ridgehold {

/// Takes SIGHUP, SIGTERM and SIGINT. A signal that arrives before this object exists is delivered
/// to it if Block() was called first, or if the parent process had blocked the signal.
class ProcessSignals {
 public:
  using Handler = std::function<void(int signal)>;

  /// Keeps the signals pending. Call before the process starts a thread.
  static void Block();

  /// Calls `handler` on the executor of `io` for each signal, pending ones included.
  ProcessSignals(net::io_context& io, Handler handler);
  /// From here on signals stay pending: without a handler they would end a process that is ending
  /// in order.
  ~ProcessSignals();
  ProcessSignals(const ProcessSignals&) = delete;
  ProcessSignals& operator=(const ProcessSignals&) = delete;

 private:
  void Wait();

  net::signal_set signals_;
  Handler handler_;
};

}  // namespace ridgehold
