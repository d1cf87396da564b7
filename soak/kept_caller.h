// A caller that lets its connections idle nearly for as long as they may.

#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <memory>
#include <string>

#include "instance_process.h"
#include "kept_check.h"
#include "ledger.h"
#include "operator_log.h"
#include "random.h"

namespace ridgehold::soak {

/// Sends one request after the other to one instance, with long pauses between some of them, until
/// told to stop.
class KeptCaller : public std::enable_shared_from_this<KeptCaller> {
 public:
  KeptCaller(std::string name, const InstanceProcess& instance, Ledger& ledger,
             const OperatorLog& operator_log, KeptCheck& check, Random random)
      : name_(std::move(name)),
        instance_(instance),
        ledger_(ledger),
        operator_(operator_log),
        check_(check),
        random_(random) {}

  net::awaitable<void> Run();
  /// Takes effect after the request or pause that runs.
  void Stop() { stopping_ = true; }

 private:
  struct Connection;

  net::awaitable<void> UseConnection();
  /// Returns whether the connection may be used again.
  net::awaitable<bool> Ask(Connection& connection);
  net::awaitable<bool> ReadAnswer(Connection& connection, KeptRequest request, TimePoint sent);
  std::chrono::milliseconds DrawPause();

  std::string name_;
  const InstanceProcess& instance_;
  Ledger& ledger_;
  const OperatorLog& operator_;
  KeptCheck& check_;
  Random random_;
  int sent_ = 0;
  bool stopping_ = false;
};

}  // namespace ridgehold::soak
